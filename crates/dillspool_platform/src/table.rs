//! The transactional table: rows by key, read, scanned and committed on conditions.

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

/// A row as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct TableRow {
    /// Text of the row.
    pub value: String,
    /// Grows with each write of the row; the service sets it.
    pub version: StoreVersion,
}

/// What a row must be for a commit to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RowPrecondition {
    /// Anything.
    Any,
    /// Not there.
    Absent,
    /// There, with this version.
    Version(StoreVersion),
}

/// One row of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: Name,
    /// Condition on the row as it is.
    pub expect: RowPrecondition,
    /// New text, or `None` to delete the row.
    pub value: Option<String>,
}

/// Rows written together, or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct CommitRequest {
    /// The rows.
    pub writes: Vec<RowWrite>,
    /// Version of the store at the read on which the conditions rest. A store that was restored since may hold
    /// them by chance, so its commit then counts as unknown.
    #[serde(default)]
    pub read_at: Option<StoreVersion>,
}

/// What became of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitReply {
    /// All rows were written.
    Committed,
    /// Nothing was written; the conditions of these keys did not hold.
    Conflict(Vec<Name>),
}

/// Keys to read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadRequest {
    /// The keys.
    pub keys: Vec<Name>,
}

/// Rows in the order of the keys.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadReply {
    /// A row for each key, `None` where there is none.
    pub rows: Vec<Option<TableRow>>,
    /// Newest version of the store.
    #[serde(default)]
    pub version: StoreVersion,
}

/// A range of keys to read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ScanRequest {
    /// Start that all keys share.
    pub prefix: Name,
    /// Key after which to begin; empty for the first.
    pub after: Name,
    /// Rows at most.
    pub limit: usize,
}

/// A row of a scan.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ScannedRow {
    /// Key of the row.
    pub key: Name,
    /// The row.
    pub row: TableRow,
}

/// Rows of a scan in the order of their keys.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ScanReply {
    /// The rows.
    pub rows: Vec<ScannedRow>,
}

type Call<Q, R> = Arc<dyn Fn(Q) -> BoxFuture<Result<R, PlatformError>> + Send + Sync>;

/// The table service.
#[derive(Clone)]
pub struct TableStore {
    /// Reads rows by key.
    pub read: Call<ReadRequest, ReadReply>,
    /// Reads a range of rows.
    pub scan: Call<ScanRequest, ScanReply>,
    /// Writes rows together on conditions.
    pub commit: Call<CommitRequest, CommitReply>,
}

impl fmt::Debug for TableStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TableStore")
    }
}

impl TableStore {
    /// The service at an address, reached over HTTP; each call ends within `limit`.
    pub fn http(client: &HttpClient, address: SocketAddr, limit: Duration) -> Self {
        Self {
            read: post(client, address, "/table/read", limit),
            scan: post(client, address, "/table/scan", limit),
            commit: post(client, address, "/table/commit", limit),
        }
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the service does not answer.
    pub async fn read_one(&self, key: Name) -> Result<Option<TableRow>, PlatformError> {
        let reply = (self.read)(ReadRequest { keys: vec![key] }).await?;
        Ok(reply.rows.into_iter().next().flatten())
    }

    /// Commits rows together.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unknown`] when the commit may have taken effect.
    pub async fn commit(&self, writes: Vec<RowWrite>) -> Result<CommitReply, PlatformError> {
        (self.commit)(CommitRequest { writes, read_at: None }).await
    }
}

pub(crate) fn post<Q, R>(
    client: &HttpClient,
    address: SocketAddr,
    path: &'static str,
    limit: Duration,
) -> Call<Q, R>
where
    Q: Serialize + Send + Sync + 'static,
    R: serde::de::DeserializeOwned + Send + 'static,
{
    let client = client.clone();
    Arc::new(move |query| {
        let client = client.clone();
        Box::pin(async move {
            let reply = client.call(Method::POST, address, path, &query, limit).await?;
            Ok(reply)
        })
    })
}
