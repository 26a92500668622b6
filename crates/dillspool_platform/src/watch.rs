//! Table snapshots with their version, and the changes after it.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::BoxFuture;
use dillspool_schema::Name;
use dillspool_version::{StoreEra, StoreVersion};
use snafu::Snafu;

use crate::PlatformError;

/// A row that was written or deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangedRow {
    /// Key of the row.
    pub key: Name,
    /// Version that this change gave the row.
    pub version: StoreVersion,
    /// Text of the row; `None` if it was deleted.
    pub value: Option<Arc<str>>,
}

/// Rows of one table, complete up to a version of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableDelta {
    /// Whether this is a snapshot: rows that are missing here do not exist.
    pub full: bool,
    /// Version of the store up to which the rows are complete.
    pub version: StoreVersion,
    /// Rows of the snapshot, or changed rows.
    pub rows: Vec<ChangedRow>,
}

/// Error of a watch for changes.
#[derive(Clone, Debug, Snafu)]
pub enum WatchError {
    /// The store does not keep changes as old as the requested version.
    #[snafu(display("the store no longer keeps changes this old; read the whole table"))]
    HistoryGone,
    /// The store was restored from a snapshot after the requested version.
    #[snafu(display("the store was restored and is now in era {era}; read the whole table"))]
    Restored {
        /// Current era of the store.
        era: StoreEra,
    },
    /// The call to the store failed.
    #[snafu(display("{source}"))]
    Store {
        /// Cause of the failure.
        source: PlatformError,
    },
}

type SnapshotFn = dyn Fn(Name) -> BoxFuture<Result<TableDelta, PlatformError>> + Send + Sync;
type ChangesFn =
    dyn Fn(Name, StoreVersion, Duration) -> BoxFuture<Result<TableDelta, WatchError>> + Send + Sync;

/// Reads table snapshots and follows their changes.
#[derive(Clone)]
pub struct TableWatch {
    /// Reads a snapshot of a table.
    pub snapshot: Arc<SnapshotFn>,
    /// Waits up to the given time for changes after a version of the store.
    pub changes: Arc<ChangesFn>,
}

impl fmt::Debug for TableWatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TableWatch")
    }
}
