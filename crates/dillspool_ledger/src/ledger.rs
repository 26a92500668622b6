//! Beginning and finishing an unrepeatable call.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dillspool_io::WallClock;
use dillspool_platform::{PlatformError, RowExpect, RowWrite, TableRow, TableStore};
use dillspool_schema::Name;
use dillspool_version::{StoreEra, StoreVersion};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::batch::{BatchWriter, WriteOutcome};
use crate::call::{CallKey, CallRequest, ROW_PREFIX};
use crate::memory::{RowMemory, RowState};
use crate::recent::RecentKeys;
use crate::record::{CallRecord, CallState, RecordedAnswer};

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
    Recorded(RecordedAnswer),
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

/// What a row tells a new attempt.
enum RowJudgement {
    /// This attempt's own intent stands.
    Own,
    /// The row may be written on this condition.
    Free(RowExpect),
    /// The attempt ends with this.
    End(BeginOutcome),
}

impl CallLedger {
    /// A ledger of the process `owner`, which names host and incarnation.
    pub fn new(
        table: TableStore,
        clock: WallClock,
        settings: LedgerSettings,
        owner: Name,
        cancel: CancellationToken,
    ) -> Self {
        let writer = BatchWriter::start(table.clone(), settings.commit_spacing, cancel.clone());
        let ledger = Self {
            table,
            writer,
            clock,
            settings,
            owner,
            sequence: Arc::default(),
            memory: Arc::default(),
            sent_here: RecentKeys::default(),
            given_up: Arc::default(),
            cancel,
        };
        tokio::spawn(ledger.clone().watch_restores());
        ledger
    }

    pub(crate) fn memory(&self) -> MutexGuard<'_, RowMemory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long this host begins no call whose row is absent, since the table was restored.
    pub fn settle_left(&self) -> Option<Duration> {
        self.memory().settle_left(Instant::now())
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
        let outcome = self.enter(request).await;
        let was_sent = |token| self.sent_here.contains(&key) || !self.memory().holds(&key, token);
        match outcome {
            // The table has lost the row of the first sending; the intent that stands now keeps other hosts off.
            BeginOutcome::Run(ticket) if was_sent(&ticket.token) => {
                log::warn!("event=call_row_lost token={}", ticket.token);
                return BeginOutcome::Unknown { in_progress: false };
            }
            BeginOutcome::Run(_) => self.sent_here.add(key),
            BeginOutcome::NotRun if self.sent_here.contains(&key) => {
                return BeginOutcome::Unknown { in_progress: true };
            }
            BeginOutcome::NotRun
            | BeginOutcome::Recorded(_)
            | BeginOutcome::Unknown { .. }
            | BeginOutcome::Mismatch => {}
        }
        outcome
    }

    async fn enter(&self, request: CallRequest) -> BeginOutcome {
        let begun = Instant::now();
        let Some(era) = self.table_era().await else { return BeginOutcome::NotRun };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let token: Name = format!("{}.{sequence}", self.owner).into();
        let record = CallRecord {
            state: CallState::Intent,
            token: Name::clone(&token),
            fingerprint: Name::clone(&request.fingerprint),
            at: self.clock.now(),
            answer: None,
            reserved_until: None,
        };
        let mut expect = RowExpect::Absent;
        let mut unclear = false;
        loop {
            let judgement = if self.settle_left().is_some() {
                // Nothing is written, so a read without an answer leaves nothing unclear.
                let mut is_unread = unclear;
                self.judge_again(&request, &token, expect, &mut is_unread).await
            } else {
                self.write_intent(&request, &record, expect, era, &mut unclear).await
            };
            match judgement {
                RowJudgement::Own if begun.elapsed() < self.settings.begin_limit => {
                    if self.memory().hold_intent(&request.key, &record, era, Instant::now()) {
                        return BeginOutcome::Run(CallTicket {
                            request,
                            token,
                            begun,
                            record,
                            era,
                        });
                    }
                    // Written across a restore, perhaps in the place of a row that was lost.
                    self.close_later(request.key, &record, era);
                    return BeginOutcome::NotRun;
                }
                RowJudgement::Own => {
                    self.close_later(request.key, &record, era);
                    return BeginOutcome::NotRun;
                }
                RowJudgement::End(outcome) => {
                    return outcome;
                }
                RowJudgement::Free(next) => expect = next,
            }
            if begun.elapsed() >= self.settings.begin_limit || self.settle_left().is_some() {
                self.give_up(request.key, &record, era, unclear);
                return BeginOutcome::NotRun;
            }
            if unclear {
                tokio::time::sleep(SETTLE_PAUSE).await;
            }
        }
    }

    /// Writes the intent once and tells what became of it.
    async fn write_intent(
        &self,
        request: &CallRequest,
        record: &CallRecord,
        expect: RowExpect,
        era: StoreEra,
        unclear: &mut bool,
    ) -> RowJudgement {
        let write = RowWrite { key: Name::clone(request.key.row()), expect, value: record.text() };
        match self.writer.write(write, StoreVersion::new(era, 0)).await {
            WriteOutcome::Written => return RowJudgement::Own,
            WriteOutcome::NotDone if !*unclear => {
                return RowJudgement::End(BeginOutcome::NotRun);
            }
            WriteOutcome::Unknown => *unclear = true,
            WriteOutcome::NotDone | WriteOutcome::Conflict => {}
        }
        self.judge_again(request, &record.token, expect, unclear).await
    }

    /// Reads the row back; without an answer, the same write may be tried again.
    async fn judge_again(
        &self,
        request: &CallRequest,
        token: &Name,
        expect: RowExpect,
        unclear: &mut bool,
    ) -> RowJudgement {
        match self.read_row(&request.key).await {
            Ok((Some(row), _era)) => self.judge(request, token, &row),
            // Not there: whoever conflicted has gone, or the unclear write has not come yet.
            Ok((None, _era)) => RowJudgement::Free(RowExpect::Absent),
            Err(_any) => {
                *unclear = true;
                RowJudgement::Free(expect)
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
            CallState::NotRun => RowJudgement::Free(RowExpect::Version(row.version)),
            CallState::Answered => {
                let unknown = BeginOutcome::Unknown { in_progress: false };
                RowJudgement::End(record.answer.map_or(unknown, BeginOutcome::Recorded))
            }
            CallState::Expired => RowJudgement::End(BeginOutcome::Unknown { in_progress: false }),
            // Only the process that gave an attempt up knows that it never sent it.
            CallState::Intent if self.has_given_up(&record.token) => {
                RowJudgement::Free(RowExpect::Version(row.version))
            }
            CallState::Intent => RowJudgement::End(BeginOutcome::Unknown { in_progress: true }),
        }
    }

    /// Records the answer of a call that ran; tries until it stands or the table stays away.
    pub async fn finish(&self, ticket: CallTicket, answer: RecordedAnswer) {
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
                        expect: RowExpect::Any,
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
        self.close_later(ticket.request.key, &ticket.record, ticket.era);
    }
}
