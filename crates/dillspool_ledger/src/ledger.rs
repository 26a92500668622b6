//! Begins and finishes non-idempotent calls.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dillspool_io::WallClock;
use dillspool_platform::{
    MemoryObjects, ObjectStore, PlatformError, RowPrecondition, RowWrite, TableRow, TableStore,
};
use dillspool_schema::Name;
use dillspool_version::{StoreEra, StoreVersion};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::batch::{BatchWriter, WriteOutcome};
use crate::call::{CallKey, CallRequest, ROW_PREFIX};
use crate::journal::CallJournal;
use crate::recent_keys::RecentKeys;
use crate::record::{CallRecord, CallState, RecordedResponse};
use crate::recovery::JournalLookups;
use crate::row_cache::{RowCache, RowState};

/// Delay before a write of unknown outcome is retried.
const UNKNOWN_WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay before recording a response is retried.
const FINISH_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Number of tries to record a response before the outcome of the call is left unknown.
const MAX_FINISH_TRIES: u32 = 20;

/// Timing of the ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerSettings {
    /// Minimum time between the starts of two commits of this host.
    pub min_commit_interval: Duration,
    /// Time within which the intent must be written; otherwise the call is refused as not run.
    pub begin_timeout: Duration,
    /// Interval between two checks for a restore of the table.
    pub restore_check_interval: Duration,
    /// Time after a restore in which hosts write lost rows back, and no call begins whose row is
    /// absent. It is longer than a check interval, and longer than [`Self::begin_timeout`], within
    /// which a call that began before the restore is sent.
    pub restore_settle_time: Duration,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            min_commit_interval: Duration::from_millis(20),
            begin_timeout: Duration::from_secs(2),
            restore_check_interval: Duration::from_secs(1),
            restore_settle_time: Duration::from_millis(2500),
        }
    }
}

/// What the caller must do with a call.
#[derive(Debug)]
pub enum BeginOutcome {
    /// Send the call, once.
    Run(CallTicket),
    /// The call ran before; return this response.
    Recorded(RecordedResponse),
    /// The call was begun before, and it is unknown whether it ran.
    Unknown {
        /// Whether a response may still be recorded.
        in_progress: bool,
    },
    /// The key was used for a different call.
    Mismatch,
    /// The call did not run and this attempt will never run it.
    NotRun,
}

/// Permission to send a call once.
#[derive(Debug)]
pub struct CallTicket {
    request: CallRequest,
    token: Name,
    started_at: Instant,
    record: CallRecord,
    /// Era in which the intent was written.
    era: StoreEra,
}

impl CallTicket {
    /// Time since the call began, including pauses of the process.
    pub fn age(&self) -> Duration {
        self.started_at.elapsed()
    }
}

/// An entry host's handle to the ledger.
#[derive(Clone)]
pub struct CallLedger {
    pub(crate) table: TableStore,
    pub(crate) writer: BatchWriter,
    pub(crate) clock: WallClock,
    pub(crate) settings: LedgerSettings,
    pub(crate) journal: CallJournal,
    pub(crate) journal_lookups: Arc<JournalLookups>,
    owner: Name,
    sequence: Arc<AtomicU64>,
    row_cache: Arc<Mutex<RowCache>>,
    /// Keys whose calls this process was allowed to send.
    sent_keys: RecentKeys,
    /// Attempts abandoned while the outcome of writing their intent was unknown, with the era that
    /// they began in.
    pub(crate) abandoned_attempts: Arc<Mutex<BTreeMap<Name, StoreEra>>>,
    pub(crate) cancel: CancellationToken,
}

impl fmt::Debug for CallLedger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CallLedger({})", self.owner)
    }
}

/// An attempt to begin a call.
struct CallAttempt {
    request: CallRequest,
    /// Intent of the attempt.
    record: CallRecord,
    started_at: Instant,
    /// Era of the table when the attempt began.
    era: StoreEra,
    /// Precondition for writing the intent.
    expect: RowPrecondition,
    /// Whether the journal lists the attempt.
    is_journaled: bool,
    /// Whether a write of the intent may have taken effect, or may still.
    may_be_written: bool,
}

/// What the row of a key means for a new attempt.
enum RowDecision {
    /// The row is this attempt's own intent.
    Owned,
    /// The intent may be written with this precondition.
    Writable(RowPrecondition),
    /// The attempt ends with this outcome.
    Final(BeginOutcome),
}

impl CallLedger {
    /// Creates the ledger of the process `owner`, which identifies host and incarnation. Its
    /// journal is not visible to other processes.
    pub fn new(
        table: TableStore,
        clock: WallClock,
        settings: LedgerSettings,
        owner: Name,
        cancel: CancellationToken,
    ) -> Self {
        Self::with_journal(table, MemoryObjects::new().store(), clock, settings, owner, cancel)
    }

    /// Creates a ledger with its journal in the object store, where other processes find the
    /// attempts of this one after the table lost them.
    pub fn with_journal(
        table: TableStore,
        objects: ObjectStore,
        clock: WallClock,
        settings: LedgerSettings,
        owner: Name,
        cancel: CancellationToken,
    ) -> Self {
        let min_interval = settings.min_commit_interval;
        let writer = BatchWriter::start(table.clone(), min_interval, cancel.clone());
        let journal =
            CallJournal::start(objects, min_interval, Name::clone(&owner), cancel.clone());
        let ledger = Self {
            table,
            writer,
            clock,
            settings,
            journal,
            journal_lookups: Arc::default(),
            owner,
            sequence: Arc::default(),
            row_cache: Arc::default(),
            sent_keys: RecentKeys::default(),
            abandoned_attempts: Arc::default(),
            cancel,
        };
        tokio::spawn(ledger.clone().watch_restores());
        tokio::spawn(ledger.clone().watch_recovery());
        ledger
    }

    pub(crate) fn owner(&self) -> Name {
        Name::clone(&self.owner)
    }

    pub(crate) fn row_cache(&self) -> MutexGuard<'_, RowCache> {
        self.row_cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time for which this host still begins no call whose row is absent, because the table was
    /// restored.
    pub fn settle_time_left(&self) -> Option<Duration> {
        self.row_cache().settle_time_left(Instant::now())
    }

    /// The era of the table; `None` if the table has never responded.
    async fn table_era(&self) -> Option<StoreEra> {
        self.row_cache().record_use(Instant::now());
        let known = self.row_cache().known_version();
        if let Some(known) = known {
            return Some(known.era());
        }
        let read = self.read_rows(vec![ROW_PREFIX.into()]).await;
        read.ok().map(|(_rows, version)| version.era())
    }

    /// Writes the intent of a call to the table, or returns why the call must not be sent.
    ///
    /// [`BeginOutcome::NotRun`] only covers this attempt. If this process remembers that it sent
    /// the call before, the outcome is unknown instead, also during an outage of the table.
    pub async fn begin(&self, request: CallRequest) -> BeginOutcome {
        let key = request.key.clone();
        let Some(mut attempt) = self.new_attempt(request).await else {
            return self.refuse(&key);
        };
        let outcome = self.write_until_decided(&mut attempt).await;
        if attempt.is_journaled && !matches!(outcome, BeginOutcome::Run(_)) {
            self.close_unsent(&attempt);
        }
        let was_sent =
            |token| self.sent_keys.contains(&key) || !self.row_cache().contains(&key, token);
        match outcome {
            // The table lost the row of the first attempt. The intent that replaces it keeps other
            // hosts from running the call.
            BeginOutcome::Run(ticket) if was_sent(&ticket.token) => {
                log::warn!("event=call_row_lost token={}", ticket.token);
                BeginOutcome::Unknown { in_progress: false }
            }
            BeginOutcome::Run(ticket) => {
                self.sent_keys.insert(key);
                BeginOutcome::Run(ticket)
            }
            BeginOutcome::NotRun => self.refuse(&key),
            BeginOutcome::Recorded(_) | BeginOutcome::Unknown { .. } | BeginOutcome::Mismatch => {
                outcome
            }
        }
    }

    /// Records in the journal that an attempt never sent its call and never will.
    fn close_unsent(&self, attempt: &CallAttempt) {
        let CallAttempt { request, record, era, .. } = attempt;
        self.journal.record_not_run(&request.key, record);
        let known = self.row_cache().known_version().map(StoreVersion::era);
        if known != Some(*era) {
            // The host that recovers the rows may have read the journal before this entry, and
            // written the intent.
            self.close_in_background(request.key.clone(), record, *era);
        }
    }

    /// The outcome for an attempt that did not run: unknown if this process sent the call before.
    fn refuse(&self, key: &CallKey) -> BeginOutcome {
        if self.sent_keys.contains(key) {
            return BeginOutcome::Unknown { in_progress: true };
        }
        BeginOutcome::NotRun
    }

    /// Creates an attempt; `None` if the table has never responded.
    async fn new_attempt(&self, request: CallRequest) -> Option<CallAttempt> {
        let started_at = Instant::now();
        let era = self.table_era().await?;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let record = CallRecord {
            state: CallState::Intent,
            token: format!("{}.{sequence}", self.owner).into(),
            fingerprint: Name::clone(&request.fingerprint),
            at: self.clock.now(),
            response: None,
            reserved_until: None,
        };
        Some(CallAttempt {
            request,
            record,
            started_at,
            era,
            expect: RowPrecondition::Absent,
            is_journaled: false,
            may_be_written: false,
        })
    }

    async fn write_until_decided(&self, attempt: &mut CallAttempt) -> BeginOutcome {
        loop {
            let decision = if self.settle_time_left().is_some() {
                // Nothing was written, so a failed read adds no uncertainty.
                let could_be_written = attempt.may_be_written;
                let decision = self.reread_row(attempt).await;
                attempt.may_be_written = could_be_written;
                decision
            } else {
                self.write_intent(attempt).await
            };
            match decision {
                RowDecision::Owned => return self.grant(attempt),
                RowDecision::Final(outcome) => return outcome,
                RowDecision::Writable(next) => attempt.expect = next,
            }
            let is_late = attempt.started_at.elapsed() >= self.settings.begin_timeout;
            if is_late || self.settle_time_left().is_some() {
                if attempt.may_be_written {
                    self.close_in_background(
                        attempt.request.key.clone(),
                        &attempt.record,
                        attempt.era,
                    );
                }
                return BeginOutcome::NotRun;
            }
            if attempt.may_be_written {
                tokio::time::sleep(UNKNOWN_WRITE_RETRY_DELAY).await;
            }
        }
    }

    /// Permits a call whose intent is written, if that was confirmed in time and no restore
    /// happened in between.
    fn grant(&self, attempt: &CallAttempt) -> BeginOutcome {
        let CallAttempt { request, record, started_at, era, .. } = attempt;
        if started_at.elapsed() < self.settings.begin_timeout
            && self.row_cache().keep_intent(&request.key, record, *era, Instant::now())
        {
            return BeginOutcome::Run(CallTicket {
                request: request.clone(),
                token: Name::clone(&record.token),
                started_at: *started_at,
                record: record.clone(),
                era: *era,
            });
        }
        // The confirmation was late, or the intent was written across a restore and may have
        // replaced a lost row.
        self.close_in_background(request.key.clone(), record, *era);
        BeginOutcome::NotRun
    }

    /// Writes the intent once and evaluates the result. The attempt is journaled first, so that the
    /// intent cannot be lost with the table.
    async fn write_intent(&self, attempt: &mut CallAttempt) -> RowDecision {
        let key = &attempt.request.key;
        if !attempt.is_journaled {
            if !self.journal.record_attempt(key, &attempt.record).await {
                return RowDecision::Final(BeginOutcome::NotRun);
            }
            attempt.is_journaled = true;
        }
        let value = attempt.record.to_json();
        let write = RowWrite { key: Name::clone(key.row_key()), expect: attempt.expect, value };
        match self.writer.write(write, StoreVersion::new(attempt.era, 0)).await {
            WriteOutcome::Written => return RowDecision::Owned,
            WriteOutcome::NotDone if !attempt.may_be_written => {
                return RowDecision::Final(BeginOutcome::NotRun);
            }
            WriteOutcome::Unknown => attempt.may_be_written = true,
            WriteOutcome::NotDone | WriteOutcome::Conflict => {}
        }
        self.reread_row(attempt).await
    }

    /// Reads the row back. If the read fails, the same write may be retried.
    async fn reread_row(&self, attempt: &mut CallAttempt) -> RowDecision {
        let CallAttempt { request, record, .. } = &*attempt;
        match self.read_row(&request.key).await {
            Ok((Some(row), _era)) => self.evaluate_row(request, &record.token, &row),
            // The conflicting row was deleted, or the write of unknown outcome has not taken effect
            // yet.
            Ok((None, _era)) => RowDecision::Writable(RowPrecondition::Absent),
            Err(_any) => {
                attempt.may_be_written = true;
                RowDecision::Writable(attempt.expect)
            }
        }
    }

    pub(crate) async fn read_row(
        &self,
        key: &CallKey,
    ) -> Result<(Option<TableRow>, StoreVersion), PlatformError> {
        let (rows, version) = self.read_rows(vec![Name::clone(key.row_key())]).await?;
        Ok((rows.into_iter().next().flatten(), version))
    }

    fn evaluate_row(&self, request: &CallRequest, token: &Name, row: &TableRow) -> RowDecision {
        let Some(record) = CallRecord::parse(&row.value) else {
            return RowDecision::Final(BeginOutcome::Unknown { in_progress: false });
        };
        if record.token == *token && record.state == CallState::Intent {
            return RowDecision::Owned;
        }
        if record.fingerprint != request.fingerprint && record.state != CallState::NotRun {
            return RowDecision::Final(BeginOutcome::Mismatch);
        }
        match record.state {
            CallState::NotRun
                if record.reserved_until.is_some_and(|until| self.clock.now() < until) =>
            {
                RowDecision::Final(BeginOutcome::NotRun)
            }
            CallState::NotRun => RowDecision::Writable(RowPrecondition::Version(row.version)),
            CallState::Answered => {
                let unknown = BeginOutcome::Unknown { in_progress: false };
                RowDecision::Final(record.response.map_or(unknown, BeginOutcome::Recorded))
            }
            CallState::Expired => RowDecision::Final(BeginOutcome::Unknown { in_progress: false }),
            // Only the process that abandoned an attempt knows that it never sent the call.
            CallState::Intent if self.is_abandoned(&record.token) => {
                RowDecision::Writable(RowPrecondition::Version(row.version))
            }
            CallState::Intent => RowDecision::Final(BeginOutcome::Unknown { in_progress: true }),
        }
    }

    /// Records the response of a call that ran. Retries until it is stored, or gives up when the
    /// table stays unavailable.
    pub async fn finish(&self, ticket: CallTicket, response: RecordedResponse) {
        let CallTicket { request, token, record, era, .. } = ticket;
        let record = CallRecord { state: CallState::Answered, response: Some(response), ..record };
        let written_era =
            self.row_cache().keep_response(&request.key, &record, era, Instant::now());
        for _ in 0..MAX_FINISH_TRIES {
            let state = self.row_cache().row_state(&request.key, &token);
            match state {
                // The table was restored, and the cached row was found there or written back.
                RowState::Present(era) if era != written_era => return,
                RowState::Present(_) => {
                    // An intent is never replaced, so the row is this ticket's own.
                    let write = RowWrite {
                        key: Name::clone(request.key.row_key()),
                        expect: RowPrecondition::Any,
                        value: record.to_json(),
                    };
                    match self.writer.write(write, StoreVersion::new(written_era, 0)).await {
                        WriteOutcome::Written => return,
                        WriteOutcome::Conflict | WriteOutcome::NotDone | WriteOutcome::Unknown => {}
                    }
                }
                RowState::Unchecked => {}
                RowState::Missing => break,
            }
            tokio::select! {
                () = tokio::time::sleep(FINISH_RETRY_DELAY) => {}
                () = self.cancel.cancelled() => return,
            }
        }
        log::warn!("event=answer_not_recorded token={token}");
    }

    /// Frees the key of a call that was not sent and never will be.
    pub fn abandon(&self, ticket: CallTicket) {
        self.sent_keys.remove(&ticket.request.key);
        self.row_cache().remove_attempt(&ticket.request.key, &ticket.token);
        self.journal.record_not_run(&ticket.request.key, &ticket.record);
        self.close_in_background(ticket.request.key, &ticket.record, ticket.era);
    }
}
