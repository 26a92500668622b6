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

/// A range of keys to list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListRequest {
    /// Start that all keys share.
    pub prefix: Name,
    /// Key after which to begin; empty for the first.
    pub after: Name,
}

/// A page of keys in their order.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListReply {
    /// The keys.
    pub keys: Vec<Name>,
    /// Whether there are more after the last one.
    pub has_more: bool,
}

type GetFn = dyn Fn(Name) -> BoxFuture<Result<ObjectReply, PlatformError>> + Send + Sync;
type PutFn = dyn Fn(PutRequest) -> BoxFuture<Result<(), PlatformError>> + Send + Sync;
type ListFn = dyn Fn(ListRequest) -> BoxFuture<Result<ListReply, PlatformError>> + Send + Sync;
type DeleteFn = dyn Fn(Name) -> BoxFuture<Result<(), PlatformError>> + Send + Sync;

/// The object store.
#[derive(Clone)]
pub struct ObjectStore {
    /// Reads an object.
    pub get: Arc<GetFn>,
    /// Writes an object; writing the same text again is harmless.
    pub put: Arc<PutFn>,
    /// Lists keys by their start.
    pub list: Arc<ListFn>,
    /// Deletes an object; one that is not there counts as deleted.
    pub delete: Arc<DeleteFn>,
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
            list: post(client, address, "/objects/list", limit),
            delete: post(client, address, "/objects/delete", limit),
        }
    }

    /// Lists all keys that share a start, page by page.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the service does not answer for a page.
    pub async fn list_all(&self, prefix: &Name) -> Result<Vec<Name>, PlatformError> {
        let mut keys: Vec<Name> = Vec::new();
        loop {
            let after = keys.last().map_or_else(|| "".into(), Name::clone);
            let page = (self.list)(ListRequest { prefix: Name::clone(prefix), after }).await?;
            let is_last = !page.has_more || page.keys.is_empty();
            keys.extend(page.keys);
            if is_last {
                return Ok(keys);
            }
        }
    }
}
