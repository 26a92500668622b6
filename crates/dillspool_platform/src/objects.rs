//! The object store: texts by key, written once and read whole.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{BoxFuture, HttpClient};
use dillspool_schema::Name;
use serde::{Deserialize, Serialize};

use crate::PlatformError;
use crate::table::post;

/// An object to write.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PutRequest {
    /// Key of the object.
    pub key: Name,
    /// Text of the object.
    pub text: String,
}

/// An object as read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ObjectReply {
    /// The text, or `None` where there is no such object.
    pub text: Option<String>,
}

type GetFn = dyn Fn(Name) -> BoxFuture<Result<ObjectReply, PlatformError>> + Send + Sync;
type PutFn = dyn Fn(PutRequest) -> BoxFuture<Result<(), PlatformError>> + Send + Sync;

/// The object store.
#[derive(Clone)]
pub struct ObjectStore {
    /// Reads an object.
    pub get: Arc<GetFn>,
    /// Writes an object; writing the same text again is harmless.
    pub put: Arc<PutFn>,
}

impl fmt::Debug for ObjectStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ObjectStore")
    }
}

impl ObjectStore {
    /// The store at an address, reached over HTTP; each call ends within `limit`.
    pub fn http(client: &HttpClient, address: SocketAddr, limit: Duration) -> Self {
        Self {
            get: post(client, address, "/objects/get", limit),
            put: post(client, address, "/objects/put", limit),
        }
    }
}
