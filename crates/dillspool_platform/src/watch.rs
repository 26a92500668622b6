//! Whole tables with their version, and what changed in them since.

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
    /// Version that its change gave it.
    pub version: StoreVersion,
    /// Its text, `None` when it was deleted.
    pub value: Option<Arc<str>>,
}

/// Rows of one table, complete up to a version of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableDelta {
    /// Whether rows that are missing here do not exist.
    pub full: bool,
    /// Version of the store up to which this is complete.
    pub version: StoreVersion,
    /// The rows.
    pub rows: Vec<ChangedRow>,
}

/// Why a watch gave nothing.
#[derive(Clone, Debug, Snafu)]
pub enum WatchError {
    /// The store keeps no changes as old as asked for.
    #[snafu(display("the store's history is gone; read the whole table"))]
    HistoryGone,
    /// The store came back from a copy after the version that was asked for.
    #[snafu(display("the store is restored in era {era}; read the whole table"))]
    Restored {
        /// Its era now.
        era: StoreEra,
    },
    /// The store did not answer as it should.
    #[snafu(display("{source}"))]
    Store {
        /// What went wrong.
        source: PlatformError,
    },
}

type SnapshotFn = dyn Fn(Name) -> BoxFuture<Result<TableDelta, PlatformError>> + Send + Sync;
type ChangesFn =
    dyn Fn(Name, StoreVersion, Duration) -> BoxFuture<Result<TableDelta, WatchError>> + Send + Sync;

/// Reads tables whole and follows their changes.
#[derive(Clone)]
pub struct TableWatch {
    /// Reads a table whole.
    pub snapshot: Arc<SnapshotFn>,
    /// Waits up to a time for changes behind a version of the store.
    pub changes: Arc<ChangesFn>,
}

impl fmt::Debug for TableWatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TableWatch")
    }
}
