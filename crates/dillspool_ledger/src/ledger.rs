//! Beginning and finishing an unrepeatable call.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::WallClock;
use dillspool_platform::{PlatformError, RowExpect, RowWrite, TableRow, TableStore};
use dillspool_schema::Name;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::batch::{BatchWriter, WriteOutcome};
use crate::call::CallRequest;
use crate::recent::RecentKeys;
use crate::record::{CallRecord, CallState, RecordedAnswer};

/// Pause between two tries to settle what became of an unclear write.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two tries to close an attempt that was given up.
const CLOSE_PAUSE: Duration = Duration::from_secs(1);
/// Tries to record an answer before the call is left as unknown.
const FINISH_TRIES: u32 = 20;

/// Times of the ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerSettings {
    /// Least time between two commits of this host.
    pub commit_spacing: Duration,
    /// Time in which the intent must stand, else the call is refused as not run.
    pub begin_limit: Duration,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self { commit_spacing: Duration::from_millis(20), begin_limit: Duration::from_secs(2) }
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
    table: TableStore,
    writer: BatchWriter,
    clock: WallClock,
    settings: LedgerSettings,
    owner: Name,
    sequence: Arc<AtomicU64>,
    /// Keys whose call this process was allowed to send.
    sent_here: RecentKeys,
    /// Attempts given up while it was unclear whether their intent was written.
    given_up: Arc<Mutex<BTreeSet<Name>>>,
    cancel: CancellationToken,
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
        Self {
            table,
            writer,
            clock,
            settings,
            owner,
            sequence: Arc::default(),
            sent_here: RecentKeys::default(),
            given_up: Arc::default(),
            cancel,
        }
    }

    /// Puts the intent of a call into the table, or tells why the call must not be sent.
    ///
    /// A refusal as not run speaks for this sending; if this process remembers that it sent the
    /// call before, the answer is unknown instead, also while the table is out.
    pub async fn begin(&self, request: CallRequest) -> BeginOutcome {
        let key = request.key.clone();
        let outcome = self.enter(request).await;
        match outcome {
            // The table has lost the row of the first sending; the intent that stands now keeps other hosts off.
            BeginOutcome::Run(ticket) if self.sent_here.contains(&key) => {
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
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let token: Name = format!("{}.{sequence}", self.owner).into();
        let record = CallRecord {
            state: CallState::Intent,
            token: Name::clone(&token),
            fingerprint: Name::clone(&request.fingerprint),
            at: self.clock.now(),
            answer: None,
        };
        let mut expect = RowExpect::Absent;
        let mut unclear = false;
        loop {
            match self.write_intent(&request, &record, expect, &mut unclear).await {
                RowJudgement::Own if begun.elapsed() < self.settings.begin_limit => {
                    return BeginOutcome::Run(CallTicket { request, token, begun, record });
                }
                RowJudgement::Own => {
                    self.close_later(request, token);
                    return BeginOutcome::NotRun;
                }
                RowJudgement::End(outcome) => {
                    return outcome;
                }
                RowJudgement::Free(next) => expect = next,
            }
            if begun.elapsed() >= self.settings.begin_limit {
                self.give_up(request, token, unclear);
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
        unclear: &mut bool,
    ) -> RowJudgement {
        let write = RowWrite { key: Name::clone(request.key.row()), expect, value: record.text() };
        match self.writer.write(write).await {
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
        match self.table.read_one(Name::clone(request.key.row())).await {
            Ok(Some(row)) => self.judge(request, token, &row),
            // Not there: whoever conflicted has gone, or the unclear write has not come yet.
            Ok(None) => RowJudgement::Free(RowExpect::Absent),
            Err(_any) => {
                *unclear = true;
                RowJudgement::Free(expect)
            }
        }
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
        let record =
            CallRecord { state: CallState::Answered, answer: Some(answer), ..ticket.record };
        for _ in 0..FINISH_TRIES {
            // An intent is never superseded, so the row is this ticket's own.
            let write = RowWrite {
                key: Name::clone(ticket.request.key.row()),
                expect: RowExpect::Any,
                value: record.text(),
            };
            match self.writer.write(write).await {
                WriteOutcome::Written => return,
                WriteOutcome::Conflict | WriteOutcome::NotDone | WriteOutcome::Unknown => {}
            }
            tokio::select! {
                () = tokio::time::sleep(CLOSE_PAUSE) => {}
                () = self.cancel.cancelled() => return,
            }
        }
        log::warn!("event=answer_not_recorded token={}", ticket.token);
    }

    /// Frees the key of a call that was not sent and never will be.
    pub fn abandon(&self, ticket: CallTicket) {
        self.sent_here.remove(&ticket.request.key);
        self.close_later(ticket.request, ticket.token);
    }

    fn has_given_up(&self, token: &Name) -> bool {
        let given_up = self.given_up.lock().unwrap_or_else(PoisonError::into_inner);
        given_up.contains(token)
    }

    fn give_up(&self, request: CallRequest, token: Name, unclear: bool) {
        if unclear {
            self.close_later(request, token);
        }
    }

    /// Marks an attempt as never sent, now for this process and soon in the table.
    fn close_later(&self, request: CallRequest, token: Name) {
        let given_up = || self.given_up.lock().unwrap_or_else(PoisonError::into_inner);
        given_up().insert(Name::clone(&token));
        let ledger = self.clone();
        tokio::spawn(async move {
            ledger.close(&request, &token).await;
            ledger.given_up.lock().unwrap_or_else(PoisonError::into_inner).remove(&token);
        });
    }

    /// Writes `not_run` over the attempt's own intent, or in its place before it can come late.
    async fn close(&self, request: &CallRequest, token: &Name) {
        let key = request.key.row();
        loop {
            let closed = match self.table.read_one(Name::clone(key)).await {
                Ok(None) => self.write_not_run(request, token, RowExpect::Absent).await,
                Ok(Some(row)) => match CallRecord::parse(&row.value) {
                    Some(record) if record.token == *token && record.state == CallState::Intent => {
                        let expect = RowExpect::Version(row.version);
                        self.write_not_run(request, token, expect).await
                    }
                    _another => true,
                },
                Err(PlatformError::NotDone { .. } | PlatformError::Unknown { .. }) => false,
            };
            if closed {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(CLOSE_PAUSE) => {}
                () = self.cancel.cancelled() => return,
            }
        }
    }

    async fn write_not_run(&self, request: &CallRequest, token: &Name, expect: RowExpect) -> bool {
        let record = CallRecord {
            state: CallState::NotRun,
            token: Name::clone(token),
            fingerprint: Name::clone(&request.fingerprint),
            at: self.clock.now(),
            answer: None,
        };
        let key = Name::clone(request.key.row());
        let write = RowWrite { key, expect, value: record.text() };
        self.writer.write(write).await == WriteOutcome::Written
    }
}
