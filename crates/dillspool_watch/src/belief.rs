//! The rows of one table as this host believes them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::AwakeWatch;
use dillspool_platform::{ChangedRow, TableDelta};
use dillspool_schema::Name;
use tokio::sync::watch;

use crate::age::TableAge;

/// Age beyond which a table is not relayed; a source asks every second or two, and fails some
/// times before it gives way to another one.
const USUAL_AGE_LIMIT: Duration = Duration::from_secs(4);

/// One row, or the fact that it was deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowBelief {
    /// Version that its last change gave it.
    pub version: u64,
    /// Its text, `None` once it was deleted.
    pub value: Option<Arc<str>>,
}

/// The rows of one table, deleted ones included.
#[derive(Clone, Debug, Default)]
pub struct TableBelief {
    /// Version of the store up to which this is complete; 0 before the first rows.
    pub version: u64,
    /// Rows by key.
    pub rows: BTreeMap<Name, RowBelief>,
    /// Version of the newest whole read; rows that it did not show did not exist then.
    whole_at: u64,
}

impl TableBelief {
    /// Takes what is newer; returns whether a row changed.
    pub fn merge(&mut self, delta: &TableDelta) -> bool {
        let mut changed = false;
        for row in &delta.rows {
            changed |= self.merge_row(row);
        }
        if delta.full {
            changed |= self.delete_missing(delta);
            self.whole_at = self.whole_at.max(delta.version);
        }
        self.version = self.version.max(delta.version);
        changed
    }

    fn merge_row(&mut self, row: &ChangedRow) -> bool {
        let known = self.rows.get(&row.key);
        // A change up to the newest whole read would have been in it.
        let oldest = known.map_or(0, |known| known.version).max(self.whole_at);
        if row.version <= oldest {
            return false;
        }
        let same = known.is_some_and(|known| known.value == row.value);
        let belief = RowBelief { version: row.version, value: row.value.clone() };
        self.rows.insert(Name::clone(&row.key), belief);
        !same
    }

    /// Rows that a whole read does not show were deleted, unless they are newer than the read.
    fn delete_missing(&mut self, delta: &TableDelta) -> bool {
        let shown: BTreeSet<&Name> = delta.rows.iter().map(|row| &row.key).collect();
        let mut changed = false;
        for (key, belief) in &mut self.rows {
            if shown.contains(key) || belief.value.is_none() || belief.version > delta.version {
                continue;
            }
            *belief = RowBelief { version: delta.version, value: None };
            changed = true;
        }
        changed
    }

    /// The rows that are newer than a version, deleted ones included; all of them behind 0.
    pub fn changes_since(&self, version: u64) -> TableDelta {
        let newer = self.rows.iter().filter(|(_key, belief)| belief.version > version);
        let row = |(key, belief): (&Name, &RowBelief)| ChangedRow {
            key: Name::clone(key),
            version: belief.version,
            value: belief.value.clone(),
        };
        TableDelta { full: version == 0, version: self.version, rows: newer.map(row).collect() }
    }

    /// The text of a row that exists.
    pub fn value(&self, key: &str) -> Option<&Arc<str>> {
        self.rows.get(key)?.value.as_ref()
    }
}

/// A table's belief that the follower writes and everybody else watches.
#[derive(Clone, Debug)]
pub struct SharedBelief {
    /// Name of the table.
    pub table: Name,
    sender: watch::Sender<TableBelief>,
    heard: TableAge,
    age_limit: Duration,
}

impl SharedBelief {
    /// An empty belief, which grows old by a clock.
    pub fn new(table: Name, awake: AwakeWatch) -> Self {
        Self {
            table,
            sender: watch::Sender::new(TableBelief::default()),
            heard: TableAge::new(awake),
            age_limit: USUAL_AGE_LIMIT,
        }
    }

    /// Sets the age beyond which the table is not relayed, for one that is asked for rarely.
    #[must_use]
    pub fn with_age_limit(self, age_limit: Duration) -> Self {
        Self { age_limit, ..self }
    }

    /// Time since this host last knew the table to be complete; `None` before the first time.
    pub fn age(&self) -> Option<Duration> {
        self.heard.age()
    }

    /// The age, if the table may be relayed at it.
    pub(crate) fn relay_age(&self) -> Option<Duration> {
        self.age().filter(|age| *age < self.age_limit)
    }

    /// What was heard of the table, and when.
    pub(crate) fn heard(&self) -> &TableAge {
        &self.heard
    }

    /// Merges a delta and wakes the watchers if anything changed, also only the version from 0.
    pub fn merge(&self, delta: &TableDelta) -> bool {
        let mut changed = false;
        self.sender.send_if_modified(|belief| {
            let first = belief.version == 0 && delta.version > 0;
            changed = belief.merge(delta);
            changed || first
        });
        changed
    }

    /// Watches the belief.
    pub fn subscribe(&self) -> watch::Receiver<TableBelief> {
        self.sender.subscribe()
    }

    /// Version up to which the belief is complete.
    pub fn version(&self) -> u64 {
        self.sender.borrow().version
    }

    /// The rows that are newer than a version, the whole belief behind 0.
    pub fn changes_since(&self, version: u64) -> TableDelta {
        self.sender.borrow().changes_since(version)
    }
}
