//! This host's replica of one table.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use dillspool_io::StallDetector;
use dillspool_part::{RowCounts, TableSubset};
use dillspool_platform::{ChangedRow, StoreVersion, TableDelta};
use dillspool_schema::Name;
use tokio::sync::watch;

use crate::freshness::TableFreshness;

/// Maximum age at which a table is relayed. A source polls every second or two, and fails several
/// times before it is replaced by another one.
const DEFAULT_MAX_AGE: Duration = Duration::from_secs(4);

/// Maximum number of tombstones. When there are more, the newest half of this number is kept.
const MAX_TOMBSTONES: usize = 2_000;

/// One row, or the tombstone of a deleted one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRow {
    /// Version of the row's last change.
    pub version: StoreVersion,
    /// Text of the row; `None` for a tombstone.
    pub value: Option<Arc<str>>,
    /// Class of the row, computed on first use; `None` if its text names none.
    class: OnceLock<Option<Name>>,
}

impl ReplicaRow {
    fn new(version: StoreVersion, value: Option<Arc<str>>) -> Self {
        Self { version, value, class: OnceLock::new() }
    }

    fn class(&self, key: &str, classifier: &RowClassifier) -> Option<&Name> {
        let text = self.value.as_deref()?;
        self.class.get_or_init(|| (classifier.0)(key, text)).as_ref()
    }
}

type ClassifyFn = dyn Fn(&str, &str) -> Option<Name> + Send + Sync;

/// Computes the class of a row from its key and text; `None` for a row that is not used.
#[derive(Clone)]
pub struct RowClassifier(Arc<ClassifyFn>);

impl RowClassifier {
    /// Creates a classifier from a function.
    pub fn new(classifier: impl Fn(&str, &str) -> Option<Name> + Send + Sync + 'static) -> Self {
        Self(Arc::new(classifier))
    }
}

impl fmt::Debug for RowClassifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RowClassifier")
    }
}

/// The rows of one table, and the tombstones of recently deleted ones.
#[derive(Clone, Debug)]
pub struct TableReplica {
    /// Version of the store up to which the replica is complete; the default version before the
    /// first rows.
    pub version: StoreVersion,
    /// Rows by key.
    pub rows: BTreeMap<Name, ReplicaRow>,
    /// Version of the newest snapshot; rows that it did not contain did not exist then.
    snapshot_version: StoreVersion,
    /// The subset of rows held; `None` for all.
    pub subset: Option<Arc<TableSubset>>,
    /// Whether the store was restored from a backup since the replica was first filled. From then
    /// on a row that is written again with its restored text counts as changed.
    is_restored: bool,
    /// Version of the newest tombstone that was compacted; the default version while all are kept.
    compacted_at: StoreVersion,
    /// Tombstones among [`Self::rows`], and their maximum number.
    tombstones: usize,
    max_tombstones: usize,
}

impl Default for TableReplica {
    fn default() -> Self {
        Self::with_tombstone_limit(MAX_TOMBSTONES)
    }
}

impl TableReplica {
    /// An empty replica that keeps at most `max_tombstones` tombstones.
    pub fn with_tombstone_limit(max_tombstones: usize) -> Self {
        Self {
            version: StoreVersion::default(),
            rows: BTreeMap::new(),
            snapshot_version: StoreVersion::default(),
            is_restored: false,
            subset: None,
            compacted_at: StoreVersion::default(),
            tombstones: 0,
            max_tombstones,
        }
    }

    /// Merges the rows that are newer; returns whether a row changed.
    pub fn merge(&mut self, delta: &TableDelta) -> bool {
        let mut changed = false;
        self.is_restored |= self.version.is_known() && delta.version.era() > self.version.era();
        // An unknown row that is not newer than the newest compacted tombstone may have been
        // deleted. In a snapshot that is at least as new, the row is known to exist.
        let shows_existing = delta.full && delta.version >= self.compacted_at;
        let compacted = if shows_existing { StoreVersion::default() } else { self.compacted_at };
        for row in &delta.rows {
            changed |= self.merge_row(row, compacted);
        }
        if delta.full {
            changed |= self.delete_absent(delta);
            self.snapshot_version = self.snapshot_version.max(delta.version);
        }
        self.version = self.version.max(delta.version);
        self.compact_tombstones();
        changed
    }

    /// Removes the oldest tombstones when there are too many. Tombstones serve only to tell peers
    /// of a deletion; a peer that has not heard of a compacted one is sent the whole table.
    fn compact_tombstones(&mut self) {
        if self.tombstones <= self.max_tombstones {
            return;
        }
        let deleted = self.rows.values().filter(|row| row.value.is_none());
        let mut versions: Vec<StoreVersion> = deleted.map(|row| row.version).collect();
        versions.sort_unstable();
        let kept = self.max_tombstones / 2;
        let compacted = versions.len().checked_sub(kept + 1).and_then(|last| versions.get(last));
        let Some(newest) = compacted.copied() else { return };
        self.rows.retain(|_key, row| row.value.is_some() || row.version > newest);
        self.compacted_at = self.compacted_at.max(newest);
        self.count_tombstones();
    }

    fn count_tombstones(&mut self) {
        self.tombstones = self.rows.values().filter(|row| row.value.is_none()).count();
    }

    fn merge_row(&mut self, row: &ChangedRow, compacted: StoreVersion) -> bool {
        let known = self.rows.get(&row.key);
        // The newest snapshot already contained any change up to its version.
        let oldest = known.map_or(compacted, |known| known.version).max(self.snapshot_version);
        if row.version <= oldest {
            return false;
        }
        let is_same_value = known.is_some_and(|known| known.value == row.value);
        let is_same_number =
            known.is_some_and(|known| known.version.number() == row.version.number());
        if is_same_value && is_same_number {
            // The row came through the restore unchanged, so it is not sent to peers again.
            return false;
        }
        self.tombstones -= usize::from(known.is_some_and(|known| known.value.is_none()));
        self.tombstones += usize::from(row.value.is_none());
        let stored = ReplicaRow::new(row.version, row.value.clone());
        self.rows.insert(Name::clone(&row.key), stored);
        !is_same_value || self.is_restored
    }

    /// Deletes the rows that are absent from a snapshot, unless they are newer than it.
    fn delete_absent(&mut self, delta: &TableDelta) -> bool {
        let present: BTreeSet<&Name> = delta.rows.iter().map(|row| &row.key).collect();
        let mut changed = false;
        for (key, stored) in &mut self.rows {
            if present.contains(key) || stored.value.is_none() || stored.version > delta.version {
                continue;
            }
            *stored = ReplicaRow::new(delta.version, None);
            self.tombstones += 1;
            changed = true;
        }
        changed
    }

    /// Replaces the replica with another subset of the table, given all of that subset's rows. Rows
    /// known to be newer are kept, so a sender with an older replica undoes nothing.
    fn switch_subset(&mut self, delta: &TableDelta, subset: Option<Arc<TableSubset>>) -> bool {
        let before = std::mem::replace(self, Self::with_tombstone_limit(self.max_tombstones));
        self.subset = subset;
        self.is_restored = before.is_restored || delta.version.era() > before.version.era();
        self.compacted_at = before.compacted_at.min(delta.version);
        self.merge(delta);
        let listed: BTreeSet<&Name> = delta.rows.iter().map(|row| &row.key).collect();
        for (key, known) in before.rows {
            let is_newer =
                self.rows.get(&key).map_or(delta.version, |row| row.version) < known.version;
            // A row that only the previous replica had may belong to the previous subset.
            if is_newer && (listed.contains(&key) || known.value.is_none()) {
                self.rows.insert(key, known);
            }
        }
        self.compacted_at = self.compacted_at.max(before.compacted_at);
        self.count_tombstones();
        true
    }

    /// Drops the rows that are not in a subset.
    fn restrict_to(&mut self, subset: &Arc<TableSubset>, classifier: &RowClassifier) {
        self.rows
            .retain(|key, row| row.value.is_none() || is_in_subset(subset, key, row, classifier));
        self.subset = Some(Arc::clone(subset));
    }

    /// The rows that are newer than a version, including tombstones. All rows for the default
    /// version, or if a later tombstone was compacted.
    pub fn changes_since(&self, version: StoreVersion) -> TableDelta {
        self.changes_of(self.delta_base(version), |_key, _row| true)
    }

    /// The version from which incremental changes bring a peer up to date; the default version if
    /// it needs all rows.
    fn delta_base(&self, version: StoreVersion) -> StoreVersion {
        if version < self.compacted_at { StoreVersion::default() } else { version }
    }

    fn changes_of(
        &self,
        version: StoreVersion,
        wanted: impl Fn(&str, &ReplicaRow) -> bool,
    ) -> TableDelta {
        let newer = self.rows.iter().filter(|(_key, stored)| stored.version > version);
        let newer = newer.filter(|(key, stored)| wanted(key, stored));
        let row = |(key, stored): (&Name, &ReplicaRow)| ChangedRow {
            key: Name::clone(key),
            version: stored.version,
            value: stored.value.clone(),
        };
        TableDelta {
            full: !version.is_known(),
            version: self.version,
            rows: newer.map(row).collect(),
        }
    }

    /// The text of a row that exists.
    pub fn value(&self, key: &str) -> Option<&Arc<str>> {
        self.rows.get(key)?.value.as_ref()
    }
}

/// A replica that the follower writes and other tasks watch.
#[derive(Clone, Debug)]
pub struct SharedReplica {
    /// Name of the table.
    pub table: Name,
    sender: watch::Sender<TableReplica>,
    freshness: TableFreshness,
    max_age: Duration,
    /// Set for a table of which hosts may hold subsets.
    classifier: Option<RowClassifier>,
}

impl SharedReplica {
    /// An empty replica, whose age is measured by the clock of `awake`.
    pub fn new(table: Name, awake: StallDetector) -> Self {
        Self {
            table,
            sender: watch::Sender::new(TableReplica::default()),
            freshness: TableFreshness::new(awake),
            max_age: DEFAULT_MAX_AGE,
            classifier: None,
        }
    }

    /// Lets hosts hold subsets of the table by the classes of its rows.
    #[must_use]
    pub fn with_classifier(self, classifier: RowClassifier) -> Self {
        Self { classifier: Some(classifier), ..self }
    }

    /// Sets the maximum age at which the table is relayed, for a table that is polled rarely.
    #[must_use]
    pub fn with_max_age(self, max_age: Duration) -> Self {
        Self { max_age, ..self }
    }

    /// Time since the table was last known to be complete; `None` before the first time.
    pub fn age(&self) -> Option<Duration> {
        self.freshness.age()
    }

    /// The age, if the table may be relayed at that age.
    pub(crate) fn relay_age(&self) -> Option<Duration> {
        self.age().filter(|age| *age < self.max_age)
    }

    /// When the table was last polled and relayed.
    pub(crate) fn freshness(&self) -> &TableFreshness {
        &self.freshness
    }

    /// Merges an update from the store, and notifies receivers if a row changed or the first
    /// version became known.
    ///
    /// A snapshot turns a subset into the whole table again. Of incremental changes, a subset takes
    /// those of its own rows.
    pub fn merge(&self, delta: &TableDelta) -> bool {
        self.modify(|replica| {
            if delta.full && replica.subset.is_some() {
                return replica.switch_subset(delta, None);
            }
            self.merge_into(replica, delta)
        })
    }

    /// Merges an update that a peer relayed, which has the rows of a subset, or all.
    pub(crate) fn merge_relayed(
        &self,
        delta: &TableDelta,
        subset: Option<&Arc<TableSubset>>,
    ) -> bool {
        self.modify(|replica| {
            if replica.subset.as_ref() == subset {
                return self.merge_into(replica, delta);
            }
            if delta.full {
                return replica.switch_subset(delta, subset.cloned());
            }
            if let (Some(subset), Some(classifier)) = (subset, &self.classifier) {
                // A snapshot was read from the store meanwhile, but the peer sends only changes of
                // the subset.
                replica.restrict_to(subset, classifier);
            }
            self.merge_into(replica, delta);
            true
        })
    }

    /// Merges an update that covers the same subset. Of incremental changes, a subset takes those
    /// of its own rows.
    fn merge_into(&self, replica: &mut TableReplica, delta: &TableDelta) -> bool {
        let (Some(subset), Some(classifier), false) =
            (&replica.subset, &self.classifier, delta.full)
        else {
            return replica.merge(delta);
        };
        let is_wanted = |row: &&ChangedRow| {
            let changed_row = ReplicaRow::new(row.version, row.value.clone());
            replica.rows.contains_key(&row.key)
                || is_in_subset(subset, &row.key, &changed_row, classifier)
        };
        let rows = delta.rows.iter().filter(is_wanted).cloned().collect();
        replica.merge(&TableDelta { full: false, version: delta.version, rows })
    }

    fn modify(&self, change: impl FnOnce(&mut TableReplica) -> bool) -> bool {
        let mut changed = false;
        self.sender.send_if_modified(|replica| {
            let before = replica.version;
            changed = change(replica);
            changed || (!before.is_known() && replica.version.is_known())
        });
        changed
    }

    /// Whether this host holds only a subset of the table, and cannot relay it.
    pub(crate) fn is_subset(&self) -> bool {
        self.sender.borrow().subset.is_some()
    }

    /// Number of rows by class; `None` for a table that every host holds whole.
    pub(crate) fn count_rows(&self, hosts: Option<usize>) -> Option<RowCounts> {
        let classifier = self.classifier.as_ref()?;
        let replica = self.sender.borrow();
        let mut counts = RowCounts { hosts, ..RowCounts::default() };
        for (key, row) in &replica.rows {
            if let Some(class) = row.class(key, classifier) {
                *counts.rows.entry(Name::clone(class)).or_default() += 1;
            }
        }
        Some(counts)
    }

    /// Subscribes to changes of the replica.
    pub fn subscribe(&self) -> watch::Receiver<TableReplica> {
        self.sender.subscribe()
    }

    /// Version up to which the replica is complete.
    pub fn version(&self) -> StoreVersion {
        self.sender.borrow().version
    }

    /// The rows that are newer than a version; all of them for the default version.
    pub fn changes_since(&self, version: StoreVersion) -> TableDelta {
        self.sender.borrow().changes_since(version)
    }

    /// The rows newer than a version that a host needs to keep a subset up to date; the whole
    /// subset for the default version.
    pub(crate) fn subset_changes_since(
        &self,
        version: StoreVersion,
        subset: &TableSubset,
    ) -> TableDelta {
        let Some(classifier) = &self.classifier else { return self.changes_since(version) };
        let replica = self.sender.borrow();
        let version = replica.delta_base(version);
        replica.changes_of(version, |key, row| {
            // The host may hold a row that was deleted or has changed its class.
            let may_be_known =
                version.is_known() && (row.value.is_none() || subset.may_contain(key));
            may_be_known || is_in_subset(subset, key, row, classifier)
        })
    }
}

/// Whether a row exists and is in a subset.
fn is_in_subset(
    subset: &TableSubset,
    key: &str,
    row: &ReplicaRow,
    classifier: &RowClassifier,
) -> bool {
    row.class(key, classifier).is_some_and(|class| subset.for_class(class).contains(key))
}
