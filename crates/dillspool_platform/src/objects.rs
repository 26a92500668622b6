//! The object store: texts by key, written and read whole.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{BoxFuture, HttpClient};
use dillspool_schema::Name;
use serde::{Deserialize, Serialize};

use crate::PlatformError;
use crate::table::post_json;

/// Request to write an object.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PutRequest {
    /// Key of the object.
    pub key: Name,
    /// Text of the object.
    pub text: String,
}

/// An object that was read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ObjectReply {
    /// Text of the object; `None` if it does not exist.
    pub text: Option<String>,
}

/// Request to list a range of keys.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListRequest {
    /// Prefix of all keys.
    pub prefix: Name,
    /// Key after which the list begins; empty to begin with the first key.
    pub after: Name,
}

/// One page of keys.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListReply {
    /// Keys in order.
    pub keys: Vec<Name>,
    /// Whether more keys follow the last one.
    pub has_more: bool,
}

type GetFn = dyn Fn(Name) -> BoxFuture<Result<ObjectReply, PlatformError>> + Send + Sync;
type PutFn = dyn Fn(PutRequest) -> BoxFuture<Result<(), PlatformError>> + Send + Sync;
type ListFn = dyn Fn(ListRequest) -> BoxFuture<Result<ListReply, PlatformError>> + Send + Sync;
type DeleteFn = dyn Fn(Name) -> BoxFuture<Result<(), PlatformError>> + Send + Sync;

/// Client of the object store.
#[derive(Clone)]
pub struct ObjectStore {
    /// Reads an object.
    pub get: Arc<GetFn>,
    /// Writes an object; writing the same text again is harmless.
    pub put: Arc<PutFn>,
    /// Lists keys by prefix.
    pub list: Arc<ListFn>,
    /// Deletes an object; deleting a missing object succeeds.
    pub delete: Arc<DeleteFn>,
}

impl fmt::Debug for ObjectStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ObjectStore")
    }
}

impl ObjectStore {
    /// Creates a client of the service at an address, over HTTP; each call ends within `timeout`.
    pub fn http(client: &HttpClient, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            get: post_json(client, address, "/objects/get", timeout),
            put: post_json(client, address, "/objects/put", timeout),
            list: post_json(client, address, "/objects/list", timeout),
            delete: post_json(client, address, "/objects/delete", timeout),
        }
    }

    /// Lists all keys with a prefix, page by page.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the call for a page fails.
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
