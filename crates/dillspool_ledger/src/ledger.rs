//! Beginning and finishing an unrepeatable call.

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
use crate::memory::{RowMemory, RowState};
use crate::recent::RecentKeys;
use crate::record::{CallRecord, CallState, RecordedResponse};
use crate::recovery::LostRows;

/// Pause between two tries to settle what became of an unclear write.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two tries to record an answer.
const FINISH_PAUSE: Duration = Duration::from_secs(1);
/// Tries to record an answer before the call is left as unknown.
const FINISH_TRIES: u32 = 20;

/// Times of the ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerSettings {
    /// Least time between two commits of this host.
    pub commit_spacing: Duration,
    /// Time in which the intent must stand, else the call is refused as not run.
    pub begin_limit: Duration,
    /// Time between two checks whether the table was restored.
    pub restore_check: Duration,
    /// Time after a restore in which other hosts write their rows again, and no call begins whose row is absent. It
    /// is longer than a check and [`Self::begin_limit`], within which a call is sent that began before the restore.
    pub restore_settle: Duration,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            commit_spacing: Duration::from_millis(20),
            begin_limit: Duration::from_secs(2),
            restore_check: Duration::from_secs(1),
            restore_settle: Duration::from_millis(2500),
        }
    }
}

/// What to do with a call.
#[derive(Debug)]
pub enum BeginOutcome {
    /// Send it, once.
    Run(CallTicket),
    /// It ran before; give this answer.
    Recorded(RecordedResponse),
    /// It was begun before, and it is not known whether it ran.
    Unknown {
        /// Whether an answer may still be recorded.
        in_progress: bool,
    },
    /// The key was used for another call.
    Mismatch,
    /// It did not run and this attempt never will.
    NotRun,
}

/// The right to send a call once.
#[derive(Debug)]
pub struct CallTicket {
    request: CallRequest,
    token: Name,
    begun: Instant,
    record: CallRecord,
    /// The era in which the intent was written.
    era: StoreEra,
}

impl CallTicket {
    /// How long ago the call began, pauses of the process included.
    pub fn age(&self) -> Duration {
        self.begun.elapsed()
    }
}

/// The ledger as an entry host uses it.
#[derive(Clone)]
pub struct CallLedger {
    pub(crate) table: TableStore,
    pub(crate) writer: BatchWriter,
    pub(crate) clock: WallClock,
    pub(crate) settings: LedgerSettings,
    pub(crate) journal: CallJournal,
    pub(crate) lost_rows: Arc<LostRows>,
    owner: Name,
    sequence: Arc<AtomicU64>,
    memory: Arc<Mutex<RowMemory>>,
    /// Keys whose call this process was allowed to send.
    sent_here: RecentKeys,
    /// Attempts given up while it was unclear whether their intent was written, with the era that they began in.
    pub(crate) given_up: Arc<Mutex<BTreeMap<Name, StoreEra>>>,
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
    /// Its intent.
    record: CallRecord,
    begun: Instant,
    /// The era of the table when it began.
    era: StoreEra,
    /// On what condition its intent is written.
    expect: RowPrecondition,
    /// Whether the journal names it.
    is_journaled: bool,
    /// Whether a write of its intent may have taken effect.
    is_unclear: bool,
}

/// What a row tells a new attempt.
enum RowJudgement {
    /// This attempt's own intent stands.
    Own,
    /// The row may be written on this condition.
    Free(RowPrecondition),
    /// The attempt ends with this.
    End(BeginOutcome),
}

impl CallLedger {
    /// A ledger of the process `owner`, which names host and incarnation, with a journal that no other process reads.
    pub fn new(
        table: TableStore,
        clock: WallClock,
        settings: LedgerSettings,
        owner: Name,
        cancel: CancellationToken,
    ) -> Self {
        Self::with_journal(table, MemoryObjects::new().store(), clock, settings, owner, cancel)
    }

    /// A ledger whose attempts are in a journal in the object store, where other processes find what this one began
    /// after the table lost it.
    pub fn with_journal(
        table: TableStore,
        objects: ObjectStore,
        clock: WallClock,
        settings: LedgerSettings,
        owner: Name,
        cancel: CancellationToken,
    ) -> Self {
        let spacing = settings.commit_spacing;
        let writer = BatchWriter::start(table.clone(), spacing, cancel.clone());
        let journal = CallJournal::start(objects, spacing, Name::clone(&owner), cancel.clone());
        let ledger = Self {
            table,
            writer,
            clock,
            settings,
            journal,
            lost_rows: Arc::default(),
            owner,
            sequence: Arc::default(),
            memory: Arc::default(),
            sent_here: RecentKeys::default(),
            given_up: Arc::default(),
            cancel,
        };
        tokio::spawn(ledger.clone().watch_restores());
        tokio::spawn(ledger.clone().watch_recovery());
        ledger
    }

    pub(crate) fn owner(&self) -> Name {
        Name::clone(&self.owner)
    }

    pub(crate) fn memory(&self) -> MutexGuard<'_, RowMemory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long this host begins no call whose row is absent, since the table was restored.
    pub fn settle_time_left(&self) -> Option<Duration> {
        self.memory().settle_time_left(Instant::now())
    }

    /// The era of the table; `None` while the table has never answered.
    async fn table_era(&self) -> Option<StoreEra> {
        self.memory().use_at(Instant::now());
        let known = self.memory().known();
        if let Some(known) = known {
            return Some(known.era());
        }
        let read = self.read_rows(vec![ROW_PREFIX.into()]).await;
        read.ok().map(|(_rows, version)| version.era())
    }

    /// Puts the intent of a call into the table, or tells why the call must not be sent.
    ///
    /// A refusal as not run speaks for this sending; if this process remembers that it sent the
    /// call before, the answer is unknown instead, also while the table is out.
    pub async fn begin(&self, request: CallRequest) -> BeginOutcome {
        let key = request.key.clone();
        let Some(mut attempt) = self.new_attempt(request).await else {
            return self.refuse(&key);
        };
        let outcome = self.enter(&mut attempt).await;
        if attempt.is_journaled && !matches!(outcome, BeginOutcome::Run(_)) {
            self.end_attempt(&attempt);
        }
        let was_sent = |token| self.sent_here.contains(&key) || !self.memory().holds(&key, token);
        match outcome {
            // The table has lost the row of the first sending; the intent that stands now keeps other hosts off.
            BeginOutcome::Run(ticket) if was_sent(&ticket.token) => {
                log::warn!("event=call_row_lost token={}", ticket.token);
                BeginOutcome::Unknown { in_progress: false }
            }
            BeginOutcome::Run(ticket) => {
                self.sent_here.add(key);
                BeginOutcome::Run(ticket)
            }
            BeginOutcome::NotRun => self.refuse(&key),
            BeginOutcome::Recorded(_) | BeginOutcome::Unknown { .. } | BeginOutcome::Mismatch => {
                outcome
            }
        }
    }

    /// Notes that a journaled attempt never sent its call and never will.
    fn end_attempt(&self, attempt: &CallAttempt) {
        let CallAttempt { request, record, era, .. } = attempt;
        self.journal.enter_not_run(&request.key, record);
        let known = self.memory().known().map(StoreVersion::era);
        if known != Some(*era) {
            // Whoever recovers the rows may have read the journal before, and written the intent.
            self.close_later(request.key.clone(), record, *era);
        }
    }

    /// Tells that a sending did not run.
    fn refuse(&self, key: &CallKey) -> BeginOutcome {
        if self.sent_here.contains(key) {
            return BeginOutcome::Unknown { in_progress: true };
        }
        BeginOutcome::NotRun
    }

    /// `None` while the table has never answered.
    async fn new_attempt(&self, request: CallRequest) -> Option<CallAttempt> {
        let begun = Instant::now();
        let era = self.table_era().await?;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let record = CallRecord {
            state: CallState::Intent,
            token: format!("{}.{sequence}", self.owner).into(),
            fingerprint: Name::clone(&request.fingerprint),
            at: self.clock.now(),
            answer: None,
            reserved_until: None,
        };
        Some(CallAttempt {
            request,
            record,
            begun,
            era,
            expect: RowPrecondition::Absent,
            is_journaled: false,
            is_unclear: false,
        })
    }

    async fn enter(&self, attempt: &mut CallAttempt) -> BeginOutcome {
        loop {
            let judgement = if self.settle_time_left().is_some() {
                // Nothing is written, so a read without an answer leaves nothing unclear.
                let was_unclear = attempt.is_unclear;
                let judgement = self.judge_again(attempt).await;
                attempt.is_unclear = was_unclear;
                judgement
            } else {
                self.write_intent(attempt).await
            };
            match judgement {
                RowJudgement::Own => return self.take_place(attempt),
                RowJudgement::End(outcome) => return outcome,
                RowJudgement::Free(next) => attempt.expect = next,
            }
            let is_late = attempt.begun.elapsed() >= self.settings.begin_limit;
            if is_late || self.settle_time_left().is_some() {
                if attempt.is_unclear {
                    self.close_later(attempt.request.key.clone(), &attempt.record, attempt.era);
                }
                return BeginOutcome::NotRun;
            }
            if attempt.is_unclear {
                tokio::time::sleep(SETTLE_PAUSE).await;
            }
        }
    }

    /// Lets a call run whose intent stands, if that is known in time and no restore came between.
    fn take_place(&self, attempt: &CallAttempt) -> BeginOutcome {
        let CallAttempt { request, record, begun, era, .. } = attempt;
        if begun.elapsed() < self.settings.begin_limit
            && self.memory().hold_intent(&request.key, record, *era, Instant::now())
        {
            return BeginOutcome::Run(CallTicket {
                request: request.clone(),
                token: Name::clone(&record.token),
                begun: *begun,
                record: record.clone(),
                era: *era,
            });
        }
        // Written across a restore, perhaps in the place of a row that was lost, or late.
        self.close_later(request.key.clone(), record, *era);
        BeginOutcome::NotRun
    }

    /// Writes the intent once and tells what became of it. The journal has the attempt before, so that the intent
    /// cannot be lost with the table.
    async fn write_intent(&self, attempt: &mut CallAttempt) -> RowJudgement {
        let key = &attempt.request.key;
        if !attempt.is_journaled {
            if !self.journal.enter(key, &attempt.record).await {
                return RowJudgement::End(BeginOutcome::NotRun);
            }
            attempt.is_journaled = true;
        }
        let value = attempt.record.text();
        let write = RowWrite { key: Name::clone(key.row()), expect: attempt.expect, value };
        match self.writer.write(write, StoreVersion::new(attempt.era, 0)).await {
            WriteOutcome::Written => return RowJudgement::Own,
            WriteOutcome::NotDone if !attempt.is_unclear => {
                return RowJudgement::End(BeginOutcome::NotRun);
            }
            WriteOutcome::Unknown => attempt.is_unclear = true,
            WriteOutcome::NotDone | WriteOutcome::Conflict => {}
        }
        self.judge_again(attempt).await
    }

    /// Reads the row back; without an answer, the same write may be tried again.
    async fn judge_again(&self, attempt: &mut CallAttempt) -> RowJudgement {
        let CallAttempt { request, record, .. } = &*attempt;
        match self.read_row(&request.key).await {
            Ok((Some(row), _era)) => self.judge(request, &record.token, &row),
            // Not there: whoever conflicted has gone, or the unclear write has not come yet.
            Ok((None, _era)) => RowJudgement::Free(RowPrecondition::Absent),
            Err(_any) => {
                attempt.is_unclear = true;
                RowJudgement::Free(attempt.expect)
            }
        }
    }

    pub(crate) async fn read_row(
        &self,
        key: &CallKey,
    ) -> Result<(Option<TableRow>, StoreVersion), PlatformError> {
        let (rows, version) = self.read_rows(vec![Name::clone(key.row())]).await?;
        Ok((rows.into_iter().next().flatten(), version))
    }

    fn judge(&self, request: &CallRequest, token: &Name, row: &TableRow) -> RowJudgement {
        let Some(record) = CallRecord::parse(&row.value) else {
            return RowJudgement::End(BeginOutcome::Unknown { in_progress: false });
        };
        if record.token == *token && record.state == CallState::Intent {
            return RowJudgement::Own;
        }
        if record.fingerprint != request.fingerprint && record.state != CallState::NotRun {
            return RowJudgement::End(BeginOutcome::Mismatch);
        }
        match record.state {
            CallState::NotRun
                if record.reserved_until.is_some_and(|until| self.clock.now() < until) =>
            {
                RowJudgement::End(BeginOutcome::NotRun)
            }
            CallState::NotRun => RowJudgement::Free(RowPrecondition::Version(row.version)),
            CallState::Answered => {
                let unknown = BeginOutcome::Unknown { in_progress: false };
                RowJudgement::End(record.answer.map_or(unknown, BeginOutcome::Recorded))
            }
            CallState::Expired => RowJudgement::End(BeginOutcome::Unknown { in_progress: false }),
            // Only the process that gave an attempt up knows that it never sent it.
            CallState::Intent if self.has_given_up(&record.token) => {
                RowJudgement::Free(RowPrecondition::Version(row.version))
            }
            CallState::Intent => RowJudgement::End(BeginOutcome::Unknown { in_progress: true }),
        }
    }

    /// Records the answer of a call that ran; tries until it stands or the table stays away.
    pub async fn finish(&self, ticket: CallTicket, answer: RecordedResponse) {
        let CallTicket { request, token, record, era, .. } = ticket;
        let record = CallRecord { state: CallState::Answered, answer: Some(answer), ..record };
        let stood_in = self.memory().hold_answer(&request.key, &record, era, Instant::now());
        for _ in 0..FINISH_TRIES {
            let state = self.memory().state(&request.key, &token);
            match state {
                // The table was restored and the row, as it is kept, was found or written again.
                RowState::Stands(era) if era != stood_in => return,
                RowState::Stands(_) => {
                    // An intent is never superseded, so the row is this ticket's own.
                    let write = RowWrite {
                        key: Name::clone(request.key.row()),
                        expect: RowPrecondition::Any,
                        value: record.text(),
                    };
                    match self.writer.write(write, StoreVersion::new(stood_in, 0)).await {
                        WriteOutcome::Written => return,
                        WriteOutcome::Conflict | WriteOutcome::NotDone | WriteOutcome::Unknown => {}
                    }
                }
                RowState::Unchecked => {}
                RowState::Gone => break,
            }
            tokio::select! {
                () = tokio::time::sleep(FINISH_PAUSE) => {}
                () = self.cancel.cancelled() => return,
            }
        }
        log::warn!("event=answer_not_recorded token={token}");
    }

    /// Frees the key of a call that was not sent and never will be.
    pub fn abandon(&self, ticket: CallTicket) {
        self.sent_here.remove(&ticket.request.key);
        self.memory().forget(&ticket.request.key, &ticket.token);
        self.journal.enter_not_run(&ticket.request.key, &ticket.record);
        self.close_later(ticket.request.key, &ticket.record, ticket.era);
    }
}
