//! Rows of the store that could not be read, each told once.
//!
//! Tables may have rows of other writers, or of other versions of this program. One that cannot be read is
//! as if it were not there; what it costs is bounded: one line a version of a row, and a few numbers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use dillspool_metrics::write_labels;
use dillspool_platform::StoreVersion;
use dillspool_schema::Name;
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Rows that are remembered as told; beyond them some are told again.
const MOST_TOLD: usize = 4096;

/// A table of the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TableLabels {
    pub(crate) table: Name,
}

impl EncodeLabelSet for TableLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        write_labels(encoder, &[("table", &*self.table)])
    }
}

/// What was told of rows that could not be read.
#[derive(Clone, Debug, Default)]
pub struct UnreadableRows {
    counts: Family<TableLabels, Counter>,
    /// Version of each row that was told, by table and key.
    told: Arc<Mutex<HashMap<(Name, Name), StoreVersion>>>,
}

impl UnreadableRows {
    /// Registers the counter.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "rows_unreadable",
            "Versions of rows that could not be read",
            self.counts.clone(),
        );
    }

    /// Versions of rows of a table that could not be read.
    pub fn count(&self, table: &Name) -> u64 {
        self.counts.get_or_create(&TableLabels { table: Name::clone(table) }).get()
    }

    /// Tells of a row, once for each of its versions.
    pub(crate) fn note(&self, table: &Name, key: &Name, version: StoreVersion, cause: &str) {
        {
            let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
            if told.len() >= MOST_TOLD {
                told.clear();
            }
            let before = told.insert((Name::clone(table), Name::clone(key)), version);
            if before == Some(version) {
                return;
            }
        }
        self.counts.get_or_create(&TableLabels { table: Name::clone(table) }).inc();
        let key = key.escape_debug();
        log::error!("event=row_unreadable table={table} key={key} row={version} cause=\"{cause}\"");
    }
}
