//! Cache of the rows that this host wrote, to write them back after the table was restored.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dillspool_schema::Name;
use dillspool_version::{StoreEra, StoreVersion};
use tokio::time::Instant;

use crate::call::CallKey;
use crate::record::{CallRecord, CallState};

/// Maximum number of cached rows; the oldest are evicted.
const MAX_ROWS: usize = 16_384;
/// Maximum size of the cached rows in bytes.
const MAX_BYTES: usize = 8 * 1024 * 1024;
/// Estimated size of a row without its text: structures, tree nodes and three reference counts.
const ROW_OVERHEAD_BYTES: usize = 256;
/// How long a row is cached. The snapshot of a restored table is seconds old; the longer time
/// covers an outage of the table.
const ROW_TTL: Duration = Duration::from_hours(24);
/// Retry-after time while the rows of all hosts have not been recovered.
const RECOVERY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of a cached row in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RowState {
    /// The row is present in this era, the newest known one.
    Present(StoreEra),
    /// The table was restored since, and the row has not been checked; or another attempt's intent
    /// was found in its place.
    Unchecked,
    /// The row is not cached, or another attempt replaced it.
    Missing,
}

#[derive(Debug)]
struct CachedRow {
    record: CallRecord,
    /// Newest era in which the row was known to be present.
    present_era: StoreEra,
    /// Number of consecutive checks that found another attempt's intent in place of the row.
    displaced_checks: u8,
    /// Position in insertion order.
    position: u64,
    cached_at: Instant,
}

impl CachedRow {
    fn bytes(&self, key: &CallKey) -> usize {
        let response_bytes =
            self.record.response.as_ref().map_or(0, |it| it.body.len() + it.content_type.len());
        let texts = key.row_key().len() + self.record.token.len() + self.record.fingerprint.len();
        ROW_OVERHEAD_BYTES + texts + response_bytes
    }
}

/// Rows of this host, and the newest version of the table that it knows.
#[derive(Debug, Default)]
pub(crate) struct RowCache {
    version: Option<StoreVersion>,
    /// Time until which no call begins whose row is absent from the table.
    settles_at: Option<Instant>,
    /// Newest era in which the rows of all hosts were recovered. The first era lost none.
    recovered: StoreEra,
    last_used: Option<Instant>,
    rows: BTreeMap<CallKey, CachedRow>,
    /// Keys in insertion order.
    order: BTreeMap<u64, CallKey>,
    /// Positions of rows with a response.
    responses: BTreeSet<u64>,
    /// Positions of rows that have not been checked since the table was restored.
    unchecked: BTreeSet<u64>,
    /// Positions of rows in whose place another attempt's intent was found.
    displaced: BTreeSet<u64>,
    next_position: u64,
    bytes: usize,
}

impl RowCache {
    /// Records a version that the table reported. Returns whether it shows a restore since the last
    /// report, or one before the first report.
    ///
    /// A reply of an earlier era was sent before the restore and changes nothing.
    pub(crate) fn observe_version(
        &mut self,
        version: StoreVersion,
        settle: Duration,
        now: Instant,
    ) -> bool {
        let known_era = self.version.map(StoreVersion::era);
        self.version = self.version.max(Some(version));
        let is_restored = version.era() > known_era.unwrap_or_default();
        if is_restored {
            self.settles_at = Some(now + settle);
            self.unchecked = self.order.keys().copied().collect();
            self.displaced.clear();
        }
        is_restored
    }

    /// Newest known version of the table.
    pub(crate) fn known_version(&self) -> Option<StoreVersion> {
        self.version
    }

    /// The era of the table, while rows of earlier eras may not have been recovered yet.
    pub(crate) fn unrecovered(&self) -> Option<StoreEra> {
        self.version.map(StoreVersion::era).filter(|era| *era > self.recovered)
    }

    /// Records that the rows of all hosts were recovered in an era.
    pub(crate) fn record_recovered(&mut self, era: StoreEra) {
        self.recovered = self.recovered.max(era);
    }

    /// Time for which no call may begin whose row is absent from the table.
    pub(crate) fn settle_time_left(&self, now: Instant) -> Option<Duration> {
        let mut left = self.settles_at?.saturating_duration_since(now);
        if self.unrecovered().is_some() {
            left = left.max(RECOVERY_RETRY_AFTER);
        }
        (!left.is_zero()).then_some(left)
    }

    /// Records that a call is beginning.
    pub(crate) fn record_use(&mut self, now: Instant) {
        self.last_used = Some(now);
    }

    /// Whether a restore could lose a cached row, or one that is being written, which takes at most
    /// `begin_timeout`.
    pub(crate) fn needs_checks(&mut self, begin_timeout: Duration, now: Instant) -> bool {
        self.evict(now);
        let is_in_use = self.last_used.is_some_and(|used| now - used < begin_timeout);
        self.version.is_none() || is_in_use || !self.rows.is_empty()
    }

    /// Caches the intent of a call that may be sent. Returns false if the table was restored since
    /// `era`.
    pub(crate) fn keep_intent(
        &mut self,
        key: &CallKey,
        record: &CallRecord,
        era: StoreEra,
        now: Instant,
    ) -> bool {
        if self.version.map(StoreVersion::era) != Some(era) {
            return false;
        }
        if !self.rows.contains_key(key) {
            self.insert(key, record.clone(), era, now);
        }
        true
    }

    /// Caches the response of a call whose intent was written in `era`. Returns the era in which
    /// its row is known to be present.
    pub(crate) fn keep_response(
        &mut self,
        key: &CallKey,
        record: &CallRecord,
        era: StoreEra,
        now: Instant,
    ) -> StoreEra {
        let known = self.rows.get(key).filter(|row| row.record.token == record.token);
        let present_era = known.map_or(era, |row| row.present_era);
        self.insert(key, record.clone(), present_era, now);
        present_era
    }

    fn insert(&mut self, key: &CallKey, record: CallRecord, present_era: StoreEra, now: Instant) {
        self.remove(key);
        let position = self.next_position;
        self.next_position += 1;
        let row = CachedRow { record, present_era, displaced_checks: 0, position, cached_at: now };
        self.bytes += row.bytes(key);
        if row.record.response.is_some() {
            self.responses.insert(position);
        }
        if self.version.map(StoreVersion::era) != Some(present_era) {
            self.unchecked.insert(position);
        }
        self.order.insert(position, key.clone());
        self.rows.insert(key.clone(), row);
        self.evict(now);
    }

    /// Evicts down to the limits. Responses are dropped first, since a row without its response
    /// still keeps the call from running again.
    fn evict(&mut self, now: Instant) {
        while self.bytes > MAX_BYTES
            && let Some(position) = self.responses.pop_first()
        {
            let Some(key) = self.order.get(&position) else { continue };
            let Some(row) = self.rows.get_mut(key) else { continue };
            self.bytes -= row.bytes(key);
            row.record.response = None;
            row.record.state = CallState::Expired;
            self.bytes += row.bytes(key);
        }
        while let Some((_position, key)) = self.order.first_key_value() {
            let is_old = self.rows.get(key).is_some_and(|row| now - row.cached_at >= ROW_TTL);
            if !is_old && self.rows.len() <= MAX_ROWS && self.bytes <= MAX_BYTES {
                return;
            }
            let key = key.clone();
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &CallKey) {
        let Some(row) = self.rows.remove(key) else { return };
        self.bytes -= row.bytes(key);
        self.order.remove(&row.position);
        for positions in [&mut self.responses, &mut self.unchecked, &mut self.displaced] {
            positions.remove(&row.position);
        }
    }

    /// Removes the row of an attempt that was not sent, or that another attempt replaced.
    pub(crate) fn remove_attempt(&mut self, key: &CallKey, token: &Name) {
        if self.rows.get(key).is_some_and(|row| row.record.token == *token) {
            self.remove(key);
        }
    }

    /// Whether the row of an attempt is cached.
    pub(crate) fn contains(&self, key: &CallKey, token: &Name) -> bool {
        self.rows.get(key).is_some_and(|row| row.record.token == *token)
    }

    /// State of an attempt's row in the table.
    pub(crate) fn row_state(&self, key: &CallKey, token: &Name) -> RowState {
        match self.rows.get(key).filter(|row| row.record.token == *token) {
            Some(row) if self.unchecked.contains(&row.position) => RowState::Unchecked,
            Some(row) if self.displaced.contains(&row.position) => RowState::Unchecked,
            Some(row) => RowState::Present(row.present_era),
            None => RowState::Missing,
        }
    }

    /// Rows to check after a restore of the table. The newest come first, since the snapshot most
    /// likely lacks them; rows in whose place another attempt was found come last.
    pub(crate) fn unchecked(&self, limit: usize) -> Vec<(CallKey, CallRecord)> {
        let positions = self.unchecked.iter().rev().chain(self.displaced.iter().rev());
        let keys = positions.filter_map(|position| self.order.get(position));
        keys.filter_map(|key| Some((key.clone(), self.rows.get(key)?.record.clone())))
            .take(limit)
            .collect()
    }

    /// Whether there are rows to check.
    pub(crate) fn has_unchecked(&self) -> bool {
        !self.unchecked.is_empty()
    }

    /// Marks a row as present in an era, unless the row or the era has changed since it was read.
    pub(crate) fn mark_present(&mut self, key: &CallKey, record: &CallRecord, era: StoreEra) {
        if self.version.map(StoreVersion::era) == Some(era)
            && let Some(row) = self.rows.get_mut(key)
            && row.record == *record
        {
            (row.present_era, row.displaced_checks) = (era, 0);
            self.unchecked.remove(&row.position);
            self.displaced.remove(&row.position);
        }
    }

    /// Marks a row as displaced by another attempt's intent. Returns whether this is the second
    /// consecutive check that finds one, so the other host is not just about to abandon it.
    pub(crate) fn mark_displaced(&mut self, key: &CallKey, token: &Name) -> bool {
        let Some(row) = self.rows.get_mut(key).filter(|row| row.record.token == *token) else {
            return false;
        };
        self.unchecked.remove(&row.position);
        self.displaced.insert(row.position);
        row.displaced_checks = row.displaced_checks.saturating_add(1);
        row.displaced_checks == 2
    }
}
