//! The rows of hosts, and those that a copy of the store lacks for now.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_platform::StoreEra;
use dillspool_schema::Name;
use dillspool_watch::TableReplica;
use tokio::time::Instant;

use crate::sources::{HostRow, should_register};
use crate::unreadable_rows::UnreadableRows;

/// Start of the keys of hosts.
pub(crate) const HOST_PREFIX: &str = "hosts/";
/// Time in which hosts write their rows again that a restored store has lost: their delay, and as long again for
/// rows that come back by relays.
const WRITTEN_AGAIN: Duration = Duration::from_secs(10);

/// Hosts by the keys of their rows.
#[derive(Debug, Default)]
pub(crate) struct HostRows {
    era: StoreEra,
    stored: BTreeMap<Name, HostRow>,
    /// Rows of before a restoration, and until when they count.
    kept: Option<(Instant, BTreeMap<Name, HostRow>)>,
}

impl HostRows {
    /// Takes the rows of the table.
    pub(crate) fn take(&mut self, name: &Name, table: &TableReplica, unreadable: &UnreadableRows) {
        let era = table.version.era();
        if era > self.era {
            let before = self.listed_by_key();
            self.kept = Some((Instant::now() + WRITTEN_AGAIN, before));
            self.era = era;
        }
        let hosts = table.rows.iter().filter(|(key, _row)| key.starts_with(HOST_PREFIX));
        let rows = hosts.filter_map(|(key, row)| {
            let decoded = serde_json::from_str(row.value.as_deref()?);
            let told = decoded.inspect_err(|error| {
                unreadable.note(name, key, row.version, &error.to_string());
            });
            Some((Name::clone(key), told.ok()?))
        });
        self.stored = rows.collect();
        self.kept.take_if(|(until, _rows)| *until <= Instant::now());
    }

    /// Whether a host should record itself: the store has lost its row, or has too few others.
    pub(crate) fn lacks(&self, own: &HostRow) -> bool {
        let listed = self.listed();
        if listed.contains(own) {
            !self.stored.values().any(|row| row == own)
        } else {
            should_register(&listed, own)
        }
    }

    /// Hosts that may be relied on.
    pub(crate) fn listed(&self) -> Vec<HostRow> {
        self.listed_by_key().into_values().collect()
    }

    fn listed_by_key(&self) -> BTreeMap<Name, HostRow> {
        let mut rows = self.kept.as_ref().map(|(_until, rows)| rows.clone()).unwrap_or_default();
        rows.extend(self.stored.iter().map(|(key, row)| (Name::clone(key), row.clone())));
        rows
    }

    /// When hosts are forgotten whose rows were not written again.
    pub(crate) fn next_end(&self) -> Option<Instant> {
        self.kept.as_ref().map(|(until, _rows)| *until)
    }
}
