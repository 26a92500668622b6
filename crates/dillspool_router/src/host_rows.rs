//! The rows of hosts, including those that are temporarily missing from a restored store.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_platform::StoreEra;
use dillspool_schema::Name;
use dillspool_watch::TableReplica;
use tokio::time::Instant;

use crate::gone_hosts::StoredHost;
use crate::sources::{HostRow, should_register};
use crate::unreadable_rows::UnreadableRows;

/// Key prefix of host rows.
pub(crate) const HOST_KEY_PREFIX: &str = "hosts/";
/// Time in which hosts write rows again that a restored store has lost: their registration delay,
/// plus the same time for rows that arrive by relays.
const RETENTION_AFTER_RESTORE: Duration = Duration::from_secs(10);

/// Host rows by key.
#[derive(Debug, Default)]
pub(crate) struct HostRows {
    era: StoreEra,
    stored: BTreeMap<Name, StoredHost>,
    /// Rows from before a restore, and until when they are valid.
    retained: Option<(Instant, BTreeMap<Name, HostRow>)>,
}

impl HostRows {
    /// Applies the rows of the table.
    pub(crate) fn update(
        &mut self,
        name: &Name,
        table: &TableReplica,
        unreadable: &UnreadableRows,
    ) {
        let era = table.version.era();
        if era > self.era {
            let before = self.hosts_by_key();
            self.retained = Some((Instant::now() + RETENTION_AFTER_RESTORE, before));
            self.era = era;
        }
        let hosts = table.rows.iter().filter(|(key, _row)| key.starts_with(HOST_KEY_PREFIX));
        let rows = hosts.filter_map(|(key, row)| {
            let decoded = serde_json::from_str(row.value.as_deref()?);
            let reported = decoded.inspect_err(|error| {
                unreadable.record(name, key, row.version, &error.to_string());
            });
            let (key, version) = (Name::clone(key), row.version);
            Some((Name::clone(&key), StoredHost { key, version, row: reported.ok()? }))
        });
        self.stored = rows.collect();
        self.retained.take_if(|(until, _rows)| *until <= Instant::now());
    }

    /// Returns whether a host should register: the store has lost its row, or has too few others.
    pub(crate) fn needs_registration(&self, own: &HostRow) -> bool {
        let hosts = self.hosts();
        if hosts.contains(own) {
            !self.stored.values().any(|stored| stored.row == *own)
        } else {
            should_register(&hosts, own)
        }
    }

    /// Rows of the other hosts of the failure domain of a host that has no place among them; empty if it has one, or
    /// may register beside them.
    pub(crate) fn occupied_places(&self, own: &HostRow) -> Vec<StoredHost> {
        let hosts = self.hosts();
        if hosts.contains(own) || should_register(&hosts, own) {
            return Vec::new();
        }
        let stored = self.stored.values();
        stored.filter(|it| it.row.failure_domain == own.failure_domain).cloned().collect()
    }

    /// Rows of all known hosts.
    pub(crate) fn hosts(&self) -> Vec<HostRow> {
        self.hosts_by_key().into_values().collect()
    }

    fn hosts_by_key(&self) -> BTreeMap<Name, HostRow> {
        let mut rows =
            self.retained.as_ref().map(|(_until, rows)| rows.clone()).unwrap_or_default();
        rows.extend(self.stored.iter().map(|(key, stored)| (Name::clone(key), stored.row.clone())));
        rows
    }

    /// When retained rows that were not written again expire.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.retained.as_ref().map(|(until, _rows)| *until)
    }
}
