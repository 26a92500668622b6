//! Rows that this host wrote, kept in memory to write them again after the table was restored.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dillspool_schema::Name;
use dillspool_version::{StoreEra, StoreVersion};
use tokio::time::Instant;

use crate::call::CallKey;
use crate::record::{CallRecord, CallState};

/// Rows kept at most, the newest.
const ROW_LIMIT: usize = 16_384;
/// Bytes of kept rows at most.
const BYTE_LIMIT: usize = 8 * 1024 * 1024;
/// Estimated bytes of a row besides its text: the structures, their tree nodes, three reference counts.
const ROW_OVERHEAD: usize = 256;
/// How long a row is kept. The copy of a restored table is seconds old; the time covers a table that was away.
const ROW_LIFE: Duration = Duration::from_hours(24);
/// When to come back while the rows of all hosts have not been written again.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// What the table says about a row that it should hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RowState {
    /// It stands in the newest era that is known, which is this one.
    Stands(StoreEra),
    /// The table was restored since, and the row has not been checked.
    Unchecked,
    /// It is not kept, or another attempt has taken it.
    Gone,
}

#[derive(Debug)]
struct HeldRow {
    record: CallRecord,
    /// The era in which the row is known to stand.
    stands_in: StoreEra,
    /// Checks in a row that found another attempt's intent in its stead.
    taken_checks: u8,
    /// Position in the order of writes.
    place: u64,
    held_at: Instant,
}

impl HeldRow {
    fn bytes(&self, key: &CallKey) -> usize {
        let answer =
            self.record.answer.as_ref().map_or(0, |it| it.body.len() + it.content_type.len());
        let texts = key.row().len() + self.record.token.len() + self.record.fingerprint.len();
        ROW_OVERHEAD + texts + answer
    }
}

/// Rows of this host, and the era of the table that it knows.
#[derive(Debug, Default)]
pub(crate) struct RowMemory {
    known: Option<StoreVersion>,
    /// Until when no call may begin whose row the table lacks.
    settled_at: Option<Instant>,
    /// The newest era in which the rows of all hosts were written again; the first one lost none.
    recovered: StoreEra,
    used_at: Option<Instant>,
    rows: BTreeMap<CallKey, HeldRow>,
    /// Keys in the order of writes.
    order: BTreeMap<u64, CallKey>,
    /// Places of rows with an answer.
    answers: BTreeSet<u64>,
    /// Places of rows that have not been checked since the table was restored.
    unchecked: BTreeSet<u64>,
    /// Places of rows in whose stead another attempt's intent was found.
    taken: BTreeSet<u64>,
    next_place: u64,
    bytes: usize,
}

impl RowMemory {
    /// Takes the version that the table reported; whether it was restored since the last one, or lately.
    ///
    /// A reply of an earlier era was sent before the restore, and changes nothing.
    pub(crate) fn note(&mut self, version: StoreVersion, settle: Duration, now: Instant) -> bool {
        let known_era = self.known.map(StoreVersion::era);
        self.known = self.known.max(Some(version));
        let is_restored = version.era() > known_era.unwrap_or_default();
        if is_restored {
            self.settled_at = Some(now + settle);
            self.unchecked = self.order.keys().copied().collect();
            self.taken.clear();
        }
        is_restored
    }

    /// The newest version of the table that is known.
    pub(crate) fn known(&self) -> Option<StoreVersion> {
        self.known
    }

    /// The era of the table, while rows of hosts may be lacking that an earlier era had.
    pub(crate) fn unrecovered(&self) -> Option<StoreEra> {
        self.known.map(StoreVersion::era).filter(|era| *era > self.recovered)
    }

    /// Notes that the rows of all hosts were written again in an era.
    pub(crate) fn note_recovered(&mut self, era: StoreEra) {
        self.recovered = self.recovered.max(era);
    }

    /// How long no call may begin yet whose row the table lacks.
    pub(crate) fn settle_time_left(&self, now: Instant) -> Option<Duration> {
        let mut left = self.settled_at?.saturating_duration_since(now);
        if self.unrecovered().is_some() {
            left = left.max(RECOVERY_TIME);
        }
        (!left.is_zero()).then_some(left)
    }

    /// Notes that a call is being entered.
    pub(crate) fn use_at(&mut self, now: Instant) {
        self.used_at = Some(now);
    }

    /// Whether a restore could lose a row of this host, or one that it enters, which takes `begin_limit` at most.
    pub(crate) fn needs_checks(&mut self, begin_limit: Duration, now: Instant) -> bool {
        self.shrink(now);
        let is_entering = self.used_at.is_some_and(|used| now - used < begin_limit);
        self.known.is_none() || is_entering || !self.rows.is_empty()
    }

    /// Keeps the intent of a call that may be sent; false if the table was restored since `era`.
    pub(crate) fn hold_intent(
        &mut self,
        key: &CallKey,
        record: &CallRecord,
        era: StoreEra,
        now: Instant,
    ) -> bool {
        if self.known.map(StoreVersion::era) != Some(era) {
            return false;
        }
        if !self.rows.contains_key(key) {
            self.insert(key, record.clone(), era, now);
        }
        true
    }

    /// Keeps the answer of a call whose intent was written in `era`; the era in which its row is known to stand.
    pub(crate) fn hold_answer(
        &mut self,
        key: &CallKey,
        record: &CallRecord,
        era: StoreEra,
        now: Instant,
    ) -> StoreEra {
        let known = self.rows.get(key).filter(|row| row.record.token == record.token);
        let stands_in = known.map_or(era, |row| row.stands_in);
        self.insert(key, record.clone(), stands_in, now);
        stands_in
    }

    fn insert(&mut self, key: &CallKey, record: CallRecord, stands_in: StoreEra, now: Instant) {
        self.remove(key);
        let place = self.next_place;
        self.next_place += 1;
        let row = HeldRow { record, stands_in, taken_checks: 0, place, held_at: now };
        self.bytes += row.bytes(key);
        if row.record.answer.is_some() {
            self.answers.insert(place);
        }
        if self.known.map(StoreVersion::era) != Some(stands_in) {
            self.unchecked.insert(place);
        }
        self.order.insert(place, key.clone());
        self.rows.insert(key.clone(), row);
        self.shrink(now);
    }

    /// Drops answers first: without its answer, a row still keeps its call from running again.
    fn shrink(&mut self, now: Instant) {
        while self.bytes > BYTE_LIMIT
            && let Some(place) = self.answers.pop_first()
        {
            let Some(key) = self.order.get(&place) else { continue };
            let Some(row) = self.rows.get_mut(key) else { continue };
            self.bytes -= row.bytes(key);
            row.record.answer = None;
            row.record.state = CallState::Expired;
            self.bytes += row.bytes(key);
        }
        while let Some((_place, key)) = self.order.first_key_value() {
            let is_old = self.rows.get(key).is_some_and(|row| now - row.held_at >= ROW_LIFE);
            if !is_old && self.rows.len() <= ROW_LIMIT && self.bytes <= BYTE_LIMIT {
                return;
            }
            let key = key.clone();
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &CallKey) {
        let Some(row) = self.rows.remove(key) else { return };
        self.bytes -= row.bytes(key);
        self.order.remove(&row.place);
        for places in [&mut self.answers, &mut self.unchecked, &mut self.taken] {
            places.remove(&row.place);
        }
    }

    /// Forgets the row of an attempt that was not sent, or whose place another one has.
    pub(crate) fn forget(&mut self, key: &CallKey, token: &Name) {
        if self.rows.get(key).is_some_and(|row| row.record.token == *token) {
            self.remove(key);
        }
    }

    /// Whether an attempt's row is kept.
    pub(crate) fn holds(&self, key: &CallKey, token: &Name) -> bool {
        self.rows.get(key).is_some_and(|row| row.record.token == *token)
    }

    /// How an attempt's row stands.
    pub(crate) fn state(&self, key: &CallKey, token: &Name) -> RowState {
        match self.rows.get(key).filter(|row| row.record.token == *token) {
            Some(row) if self.unchecked.contains(&row.place) => RowState::Unchecked,
            Some(row) if self.taken.contains(&row.place) => RowState::Unchecked,
            Some(row) => RowState::Stands(row.stands_in),
            None => RowState::Gone,
        }
    }

    /// Rows to be checked since the table was restored: the newest first, since a copy lacks these, and those last
    /// in whose stead another attempt was found.
    pub(crate) fn unchecked(&self, limit: usize) -> Vec<(CallKey, CallRecord)> {
        let places = self.unchecked.iter().rev().chain(self.taken.iter().rev());
        let keys = places.filter_map(|place| self.order.get(place));
        keys.filter_map(|key| Some((key.clone(), self.rows.get(key)?.record.clone())))
            .take(limit)
            .collect()
    }

    /// Whether rows wait to be checked.
    pub(crate) fn has_unchecked(&self) -> bool {
        !self.unchecked.is_empty()
    }

    /// Notes that a row stands in an era, unless it or the era has changed since it was looked at.
    pub(crate) fn stands(&mut self, key: &CallKey, record: &CallRecord, era: StoreEra) {
        if self.known.map(StoreVersion::era) == Some(era)
            && let Some(row) = self.rows.get_mut(key)
            && row.record == *record
        {
            (row.stands_in, row.taken_checks) = (era, 0);
            self.unchecked.remove(&row.place);
            self.taken.remove(&row.place);
        }
    }

    /// Notes that another attempt's intent stands for a row; whether this is the second check in a row that finds
    /// one, so that it is not about to be given up.
    pub(crate) fn taken(&mut self, key: &CallKey, token: &Name) -> bool {
        let Some(row) = self.rows.get_mut(key).filter(|row| row.record.token == *token) else {
            return false;
        };
        self.unchecked.remove(&row.place);
        self.taken.insert(row.place);
        row.taken_checks = row.taken_checks.saturating_add(1);
        row.taken_checks == 2
    }
}
