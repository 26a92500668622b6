//! The transactional table: rows by key, with reads, scans and conditional commits.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{BoxFuture, HttpClient};
use dillspool_schema::Name;
use dillspool_version::StoreVersion;
use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// A stored row.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct TableRow {
    /// Text of the row.
    pub value: String,
    /// Version of the row, set by the service; grows with each write.
    pub version: StoreVersion,
}

/// Precondition on a row for a commit to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RowPrecondition {
    /// No condition.
    Any,
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    Version(StoreVersion),
}

/// A conditional write of one row.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: Name,
    /// Precondition on the current row.
    pub expect: RowPrecondition,
    /// New text, or `None` to delete the row.
    pub value: Option<String>,
}

/// An atomic write of several rows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct CommitRequest {
    /// Writes of the commit.
    pub writes: Vec<RowWrite>,
    /// Version of the store at the read that the preconditions are based on. In a store that was
    /// restored since, they may hold by chance, so the outcome of the commit is then unknown.
    #[serde(default)]
    pub read_at: Option<StoreVersion>,
}

/// Outcome of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitReply {
    /// All rows were written.
    Committed,
    /// Nothing was written, because the preconditions of these keys did not hold.
    Conflict(Vec<Name>),
}

/// Request to read rows by key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadRequest {
    /// Keys of the rows.
    pub keys: Vec<Name>,
}

/// Rows that were read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadReply {
    /// The row of each requested key, in the order of the request; `None` if there is none.
    pub rows: Vec<Option<TableRow>>,
    /// Newest version of the store.
    #[serde(default)]
    pub version: StoreVersion,
}

/// Request to scan a range of keys.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ScanRequest {
    /// Prefix of all keys.
    pub prefix: Name,
    /// Key after which the scan begins; empty to begin with the first key.
    pub after: Name,
    /// Maximum number of rows.
    pub limit: usize,
}

/// A row of a scan.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ScannedRow {
    /// Key of the row.
    pub key: Name,
    /// Text and version of the row.
    pub row: TableRow,
}

/// One page of a scan.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ScanReply {
    /// Rows in key order.
    pub rows: Vec<ScannedRow>,
}

type StoreFn<Q, R> = Arc<dyn Fn(Q) -> BoxFuture<Result<R, PlatformError>> + Send + Sync>;

/// Client of the table service.
#[derive(Clone)]
pub struct TableStore {
    /// Reads rows by key.
    pub read: StoreFn<ReadRequest, ReadReply>,
    /// Scans a range of rows.
    pub scan: StoreFn<ScanRequest, ScanReply>,
    /// Writes rows atomically if all preconditions hold.
    pub commit: StoreFn<CommitRequest, CommitReply>,
}

impl fmt::Debug for TableStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TableStore")
    }
}

impl TableStore {
    /// Creates a client of the service at an address, over HTTP; each call ends within `timeout`.
    pub fn http(client: &HttpClient, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            read: post_json(client, address, "/table/read", timeout),
            scan: post_json(client, address, "/table/scan", timeout),
            commit: post_json(client, address, "/table/commit", timeout),
        }
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the call fails.
    pub async fn read_one(&self, key: Name) -> Result<Option<TableRow>, PlatformError> {
        let reply = (self.read)(ReadRequest { keys: vec![key] }).await?;
        Ok(reply.rows.into_iter().next().flatten())
    }

    /// Commits rows atomically.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unknown`] if the commit may have taken effect, [`PlatformError::NotDone`]
    /// if it did not.
    pub async fn commit(&self, writes: Vec<RowWrite>) -> Result<CommitReply, PlatformError> {
        (self.commit)(CommitRequest { writes, read_at: None }).await
    }
}

pub(crate) fn post_json<Q, R>(
    client: &HttpClient,
    address: SocketAddr,
    path: &'static str,
    timeout: Duration,
) -> StoreFn<Q, R>
where
    Q: Serialize + Send + Sync + 'static,
    R: serde::de::DeserializeOwned + Send + 'static,
{
    let client = client.clone();
    Arc::new(move |query| {
        let client = client.clone();
        Box::pin(async move {
            let reply = client.call(Method::POST, address, path, &query, timeout).await?;
            Ok(reply)
        })
    })
}
