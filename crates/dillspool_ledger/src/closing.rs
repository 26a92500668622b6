//! Attempts that were given up: their intents are closed as not run.

use std::sync::PoisonError;
use std::time::Duration;

use dillspool_io::UnixMillis;
use dillspool_platform::{PlatformError, RowPrecondition, RowWrite, TableRow};
use dillspool_schema::Name;
use dillspool_version::{StoreEra, StoreVersion};

use crate::batch::WriteOutcome;
use crate::call::CallKey;
use crate::ledger::CallLedger;
use crate::record::{CallRecord, CallState};

/// Pause between two tries to close an attempt that was given up.
const CLOSE_PAUSE: Duration = Duration::from_secs(1);
/// Time for which the place of an attempt is reserved that was written across a restore and given up. It covers
/// `restore_settle` and the difference of two hosts' clocks.
const RESERVE_TIME: Duration = Duration::from_secs(10);

/// What an attempt that was given up does next.
enum ClosingStep {
    /// It writes `not_run` on this condition.
    Write { expect: RowPrecondition, reserved_until: Option<UnixMillis> },
    /// It looks again later.
    Wait,
    /// Its intent does not stand and cannot come.
    Closed,
}

impl CallLedger {
    /// Whether an attempt was given up, and no restore since may have lost another attempt's row in its place.
    pub(crate) fn has_given_up(&self, token: &Name) -> bool {
        let given_up = self.given_up.lock().unwrap_or_else(PoisonError::into_inner);
        let era = given_up.get(token).copied();
        drop(given_up);
        era.is_some() && era == self.memory().known().map(StoreVersion::era)
    }

    /// Marks an attempt that began in `era` as never sent, now for this process and soon in the table.
    pub(crate) fn close_later(&self, key: CallKey, intent: &CallRecord, era: StoreEra) {
        let token = Name::clone(&intent.token);
        let given_up = || self.given_up.lock().unwrap_or_else(PoisonError::into_inner);
        given_up().insert(Name::clone(&token), era);
        let ledger = self.clone();
        let record = CallRecord { state: CallState::NotRun, answer: None, ..intent.clone() };
        tokio::spawn(async move {
            ledger.close(&key, record, era).await;
            ledger.given_up.lock().unwrap_or_else(PoisonError::into_inner).remove(&token);
        });
    }

    /// Writes `not_run` over the attempt's own intent, or in its place before it can come late.
    async fn close(&self, key: &CallKey, record: CallRecord, era: StoreEra) {
        loop {
            let closed = self.try_close(key, &record, era).await;
            if closed.unwrap_or(false) {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(CLOSE_PAUSE) => {}
                () = self.cancel.cancelled() => return,
            }
        }
    }

    /// Tries to close an attempt once; whether it is closed.
    ///
    /// After a restore the intent may stand for a lost row of another attempt, which gets its place if the journal
    /// names it. The place is else reserved for a while, so that a host that has the row finds it before any other
    /// call can begin.
    async fn try_close(
        &self,
        key: &CallKey,
        record: &CallRecord,
        era: StoreEra,
    ) -> Result<bool, PlatformError> {
        let (row, read_at) = self.read_row(key).await?;
        let (expect, reserved_until) = match self.judge_closing(row.as_ref(), &record.token) {
            ClosingStep::Write { expect, reserved_until } => (expect, reserved_until),
            ClosingStep::Wait => return Ok(false),
            ClosingStep::Closed => return Ok(true),
        };
        let now = self.clock.now();
        let mut record = CallRecord { at: now, reserved_until, ..record.clone() };
        if read_at.era() != era {
            record.reserved_until = Some(now + RESERVE_TIME);
            if let Some(lost) = self.lost_attempt(key, &record.token).await? {
                log::info!("event=call_place_returned row={} token={}", key.row(), lost.token);
                record = lost;
            }
        }
        let write = RowWrite { key: Name::clone(key.row()), expect, value: record.text() };
        Ok(self.writer.write(write, read_at).await == WriteOutcome::Written)
    }

    /// What closes an attempt whose intent may stand, or may yet come in place of a row that is free.
    fn judge_closing(&self, row: Option<&TableRow>, token: &Name) -> ClosingStep {
        let Some(row) = row else {
            return ClosingStep::Write { expect: RowPrecondition::Absent, reserved_until: None };
        };
        let Some(record) = CallRecord::parse(&row.value) else { return ClosingStep::Closed };
        let is_own = record.token == *token;
        let expect = RowPrecondition::Version(row.version);
        match record.state {
            CallState::Intent if is_own => ClosingStep::Write { expect, reserved_until: None },
            // The own intent may come over it until the row has another version.
            CallState::NotRun if !is_own => {
                ClosingStep::Write { expect, reserved_until: record.reserved_until }
            }
            // Free for attempts of this process, as this one was; it is closed by its own attempt.
            CallState::Intent if self.has_given_up(&record.token) => ClosingStep::Wait,
            CallState::Intent | CallState::NotRun | CallState::Answered | CallState::Expired => {
                ClosingStep::Closed
            }
        }
    }
}
