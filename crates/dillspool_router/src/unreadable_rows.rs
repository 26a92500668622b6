//! Reports rows of the store that cannot be decoded, each once.
//!
//! Tables may contain rows written by others or by other versions of this program. An unreadable
//! row is treated as missing; its cost is limited to one log line per row version and a small map
//! entry.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use dillspool_metrics::write_labels;
use dillspool_platform::StoreVersion;
use dillspool_schema::Name;
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Maximum number of rows remembered as reported; beyond that, some are reported again.
const MAX_REPORTED: usize = 4096;

/// Name of a table in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TableLabels {
    pub(crate) table: Name,
}

impl EncodeLabelSet for TableLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        write_labels(encoder, &[("table", &*self.table)])
    }
}

/// Counts and log records of unreadable rows.
#[derive(Clone, Debug, Default)]
pub struct UnreadableRows {
    counts: Family<TableLabels, Counter>,
    /// Last reported version of each row, by table and key.
    reported: Arc<Mutex<HashMap<(Name, Name), StoreVersion>>>,
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

    /// Number of unreadable row versions in a table.
    pub fn count(&self, table: &Name) -> u64 {
        self.counts.get_or_create(&TableLabels { table: Name::clone(table) }).get()
    }

    /// Logs and counts an unreadable row, once for each of its versions.
    pub(crate) fn record(&self, table: &Name, key: &Name, version: StoreVersion, cause: &str) {
        {
            let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
            if reported.len() >= MAX_REPORTED {
                reported.clear();
            }
            let before = reported.insert((Name::clone(table), Name::clone(key)), version);
            if before == Some(version) {
                return;
            }
        }
        self.counts.get_or_create(&TableLabels { table: Name::clone(table) }).inc();
        let key = key.escape_debug();
        log::error!("event=row_unreadable table={table} key={key} row={version} cause=\"{cause}\"");
    }
}
