//! The rows of one table as this host believes them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use dillspool_io::AwakeWatch;
use dillspool_part::{RowCounts, TableSubset};
use dillspool_platform::{ChangedRow, StoreVersion, TableDelta};
use dillspool_schema::Name;
use tokio::sync::watch;

use crate::age::TableAge;

/// Age beyond which a table is not relayed; a source asks every second or two, and fails some
/// times before it gives way to another one.
const USUAL_AGE_LIMIT: Duration = Duration::from_secs(4);

/// Deleted rows that are remembered at most; where there are more, the newest half stays.
const MOST_DELETED: usize = 2_000;

/// One row, or the fact that it was deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRow {
    /// Version that its last change gave it.
    pub version: StoreVersion,
    /// Its text, `None` once it was deleted.
    pub value: Option<Arc<str>>,
    /// Its class, once somebody asked; `None` where its text tells none.
    class: OnceLock<Option<Name>>,
}

impl ReplicaRow {
    fn new(version: StoreVersion, value: Option<Arc<str>>) -> Self {
        Self { version, value, class: OnceLock::new() }
    }

    fn class(&self, key: &str, classify: &RowClassifier) -> Option<&Name> {
        let text = self.value.as_deref()?;
        self.class.get_or_init(|| (classify.0)(key, text)).as_ref()
    }
}

type ClassifyFn = dyn Fn(&str, &str) -> Option<Name> + Send + Sync;

/// Tells the class of a row from its key and text; none for a row that is of no use.
#[derive(Clone)]
pub struct RowClassifier(Arc<ClassifyFn>);

impl RowClassifier {
    /// Rows are of the classes that a function names.
    pub fn new(classify: impl Fn(&str, &str) -> Option<Name> + Send + Sync + 'static) -> Self {
        Self(Arc::new(classify))
    }
}

impl fmt::Debug for RowClassifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RowClassifier")
    }
}

/// The rows of one table, and those that were deleted lately.
#[derive(Clone, Debug)]
pub struct TableReplica {
    /// Version of the store up to which this is complete; the default one before the first rows.
    pub version: StoreVersion,
    /// Rows by key.
    pub rows: BTreeMap<Name, ReplicaRow>,
    /// Version of the newest whole read; rows that it did not show did not exist then.
    whole_at: StoreVersion,
    /// Which rows this has; `None` for all.
    pub part: Option<Arc<TableSubset>>,
    /// Whether the store has come back from a copy since this was first known. A row that is written again as the copy
    /// shows it is news then.
    is_restored: bool,
    /// Version of the newest deletion that is not remembered any more; the default one while all
    /// are.
    forgotten_at: StoreVersion,
    /// Deleted rows among [`Self::rows`], and how many there may be.
    deleted: usize,
    most_deleted: usize,
}

impl Default for TableReplica {
    fn default() -> Self {
        Self::with_tombstone_limit(MOST_DELETED)
    }
}

impl TableReplica {
    /// An empty belief that remembers so many deleted rows.
    pub fn with_tombstone_limit(most_deleted: usize) -> Self {
        Self {
            version: StoreVersion::default(),
            rows: BTreeMap::new(),
            whole_at: StoreVersion::default(),
            is_restored: false,
            part: None,
            forgotten_at: StoreVersion::default(),
            deleted: 0,
            most_deleted,
        }
    }

    /// Takes what is newer; returns whether a row changed.
    pub fn merge(&mut self, delta: &TableDelta) -> bool {
        let mut changed = false;
        self.is_restored |= self.version.is_known() && delta.version.era() > self.version.era();
        // A row that is not known here was deleted since, as far as that may have been forgotten; a whole read
        // that is newer shows what exists.
        let shows = delta.full && delta.version >= self.forgotten_at;
        let forgotten = if shows { StoreVersion::default() } else { self.forgotten_at };
        for row in &delta.rows {
            changed |= self.merge_row(row, forgotten);
        }
        if delta.full {
            changed |= self.delete_missing(delta);
            self.whole_at = self.whole_at.max(delta.version);
        }
        self.version = self.version.max(delta.version);
        self.forget_deleted();
        changed
    }

    /// Forgets the older of the deleted rows where there are too many. Only what tells others of a deletion
    /// goes: who has not heard of it yet gets the whole table.
    fn forget_deleted(&mut self) {
        if self.deleted <= self.most_deleted {
            return;
        }
        let deleted = self.rows.values().filter(|row| row.value.is_none());
        let mut versions: Vec<StoreVersion> = deleted.map(|row| row.version).collect();
        versions.sort_unstable();
        let kept = self.most_deleted / 2;
        let forgotten = versions.len().checked_sub(kept + 1).and_then(|last| versions.get(last));
        let Some(newest) = forgotten.copied() else { return };
        self.rows.retain(|_key, row| row.value.is_some() || row.version > newest);
        self.forgotten_at = self.forgotten_at.max(newest);
        self.count_deleted();
    }

    fn count_deleted(&mut self) {
        self.deleted = self.rows.values().filter(|row| row.value.is_none()).count();
    }

    fn merge_row(&mut self, row: &ChangedRow, forgotten: StoreVersion) -> bool {
        let known = self.rows.get(&row.key);
        // A change up to the newest whole read would have been in it.
        let oldest = known.map_or(forgotten, |known| known.version).max(self.whole_at);
        if row.version <= oldest {
            return false;
        }
        let same = known.is_some_and(|known| known.value == row.value);
        let is_copied = known.is_some_and(|known| known.version.number() == row.version.number());
        if same && is_copied {
            // A copy shows it as it was: no news for hosts that this one tells.
            return false;
        }
        self.deleted -= usize::from(known.is_some_and(|known| known.value.is_none()));
        self.deleted += usize::from(row.value.is_none());
        let belief = ReplicaRow::new(row.version, row.value.clone());
        self.rows.insert(Name::clone(&row.key), belief);
        !same || self.is_restored
    }

    /// Rows that a whole read does not show were deleted, unless they are newer than the read.
    fn delete_missing(&mut self, delta: &TableDelta) -> bool {
        let shown: BTreeSet<&Name> = delta.rows.iter().map(|row| &row.key).collect();
        let mut changed = false;
        for (key, belief) in &mut self.rows {
            if shown.contains(key) || belief.value.is_none() || belief.version > delta.version {
                continue;
            }
            *belief = ReplicaRow::new(delta.version, None);
            self.deleted += 1;
            changed = true;
        }
        changed
    }

    /// Becomes another part of the table, from rows that are all of it. What is known to be newer stays, so a
    /// sender that knows less takes nothing back.
    fn become_part(&mut self, delta: &TableDelta, part: Option<Arc<TableSubset>>) -> bool {
        let before = std::mem::replace(self, Self::with_tombstone_limit(self.most_deleted));
        self.part = part;
        self.is_restored = before.is_restored || delta.version.era() > before.version.era();
        self.forgotten_at = before.forgotten_at.min(delta.version);
        self.merge(delta);
        let named: BTreeSet<&Name> = delta.rows.iter().map(|row| &row.key).collect();
        for (key, known) in before.rows {
            let is_newer =
                self.rows.get(&key).map_or(delta.version, |row| row.version) < known.version;
            // A row that only the belief before had may be of the other part.
            if is_newer && (named.contains(&key) || known.value.is_none()) {
                self.rows.insert(key, known);
            }
        }
        self.forgotten_at = self.forgotten_at.max(before.forgotten_at);
        self.count_deleted();
        true
    }

    /// Drops the rows that are not of a part.
    fn narrow(&mut self, part: &Arc<TableSubset>, classify: &RowClassifier) {
        self.rows.retain(|key, row| row.value.is_none() || is_held(part, key, row, classify));
        self.part = Some(Arc::clone(part));
    }

    /// The rows that are newer than a version, deleted ones included; all of them behind the default version, or where
    /// a deletion since then is forgotten.
    pub fn changes_since(&self, version: StoreVersion) -> TableDelta {
        self.changes_of(self.told_from(version), |_key, _row| true)
    }

    /// The version behind which changes bring who has one up to date; the default one where only
    /// all rows do.
    fn told_from(&self, version: StoreVersion) -> StoreVersion {
        if version < self.forgotten_at { StoreVersion::default() } else { version }
    }

    fn changes_of(
        &self,
        version: StoreVersion,
        wanted: impl Fn(&str, &ReplicaRow) -> bool,
    ) -> TableDelta {
        let newer = self.rows.iter().filter(|(_key, belief)| belief.version > version);
        let newer = newer.filter(|(key, belief)| wanted(key, belief));
        let row = |(key, belief): (&Name, &ReplicaRow)| ChangedRow {
            key: Name::clone(key),
            version: belief.version,
            value: belief.value.clone(),
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

/// A table's belief that the follower writes and everybody else watches.
#[derive(Clone, Debug)]
pub struct SharedReplica {
    /// Name of the table.
    pub table: Name,
    sender: watch::Sender<TableReplica>,
    heard: TableAge,
    age_limit: Duration,
    /// Set for a table of which a host may hold a part.
    classify: Option<RowClassifier>,
}

impl SharedReplica {
    /// An empty belief, which grows old by a clock.
    pub fn new(table: Name, awake: AwakeWatch) -> Self {
        Self {
            table,
            sender: watch::Sender::new(TableReplica::default()),
            heard: TableAge::new(awake),
            age_limit: USUAL_AGE_LIMIT,
            classify: None,
        }
    }

    /// Lets hosts hold parts of the table by the classes of its rows.
    #[must_use]
    pub fn with_classifier(self, classify: RowClassifier) -> Self {
        Self { classify: Some(classify), ..self }
    }

    /// Sets the age beyond which the table is not relayed, for one that is asked for rarely.
    #[must_use]
    pub fn with_max_age(self, age_limit: Duration) -> Self {
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

    /// Merges what the store says and wakes the watchers if anything changed, also only the first version.
    ///
    /// A whole read makes a part the whole table again; of changes, a part takes those of its own rows.
    pub fn merge(&self, delta: &TableDelta) -> bool {
        self.modify(|belief| {
            if delta.full && belief.part.is_some() {
                return belief.become_part(delta, None);
            }
            self.merge_into(belief, delta)
        })
    }

    /// Merges what a peer relays, which has the rows of a part, or all.
    pub(crate) fn merge_relayed(
        &self,
        delta: &TableDelta,
        part: Option<&Arc<TableSubset>>,
    ) -> bool {
        self.modify(|belief| {
            if belief.part.as_ref() == part {
                return self.merge_into(belief, delta);
            }
            if delta.full {
                return belief.become_part(delta, part.cloned());
            }
            if let (Some(part), Some(classify)) = (part, &self.classify) {
                // The store was read whole meanwhile; the peer tells changes of the part only.
                belief.narrow(part, classify);
            }
            self.merge_into(belief, delta);
            true
        })
    }

    /// Merges rows into what is of the same part; of changes, a part takes those of its own rows.
    fn merge_into(&self, belief: &mut TableReplica, delta: &TableDelta) -> bool {
        let (Some(part), Some(classify), false) = (&belief.part, &self.classify, delta.full) else {
            return belief.merge(delta);
        };
        let is_wanted = |row: &&ChangedRow| {
            let told = ReplicaRow::new(row.version, row.value.clone());
            belief.rows.contains_key(&row.key) || is_held(part, &row.key, &told, classify)
        };
        let rows = delta.rows.iter().filter(is_wanted).cloned().collect();
        belief.merge(&TableDelta { full: false, version: delta.version, rows })
    }

    fn modify(&self, change: impl FnOnce(&mut TableReplica) -> bool) -> bool {
        let mut changed = false;
        self.sender.send_if_modified(|belief| {
            let before = belief.version;
            changed = change(belief);
            changed || (!before.is_known() && belief.version.is_known())
        });
        changed
    }

    /// Whether this host holds a part of the table only, and cannot relay it.
    pub(crate) fn is_part(&self) -> bool {
        self.sender.borrow().part.is_some()
    }

    /// Rows by class; `None` for a table that every host holds whole.
    pub(crate) fn count_rows(&self, hosts: Option<usize>) -> Option<RowCounts> {
        let classify = self.classify.as_ref()?;
        let belief = self.sender.borrow();
        let mut counts = RowCounts { hosts, ..RowCounts::default() };
        for (key, row) in &belief.rows {
            if let Some(class) = row.class(key, classify) {
                *counts.rows.entry(Name::clone(class)).or_default() += 1;
            }
        }
        Some(counts)
    }

    /// Watches the belief.
    pub fn subscribe(&self) -> watch::Receiver<TableReplica> {
        self.sender.subscribe()
    }

    /// Version up to which the belief is complete.
    pub fn version(&self) -> StoreVersion {
        self.sender.borrow().version
    }

    /// The rows that are newer than a version, the whole belief behind the default one.
    pub fn changes_since(&self, version: StoreVersion) -> TableDelta {
        self.sender.borrow().changes_since(version)
    }

    /// The rows that are newer than a version and that a host needs to keep up a part, which it has from the
    /// default one on.
    pub(crate) fn part_changes_since(
        &self,
        version: StoreVersion,
        part: &TableSubset,
    ) -> TableDelta {
        let Some(classify) = &self.classify else { return self.changes_since(version) };
        let belief = self.sender.borrow();
        let version = belief.told_from(version);
        belief.changes_of(version, |key, row| {
            // The host may hold a row that is of another class now, or was deleted.
            let may_be_known = version.is_known() && (row.value.is_none() || part.may_contain(key));
            may_be_known || is_held(part, key, row, classify)
        })
    }
}

/// Whether a row exists and is of a part.
fn is_held(part: &TableSubset, key: &str, row: &ReplicaRow, classify: &RowClassifier) -> bool {
    row.class(key, classify).is_some_and(|class| part.for_class(class).contains(key))
}
