//! Closes abandoned attempts, by writing their intents as not run.

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

/// Delay before closing an abandoned attempt is retried.
const CLOSE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// How long a key stays reserved when an attempt was abandoned whose intent was written across a
/// restore. Covers `restore_settle_time` and the clock difference between two hosts.
const RESERVATION_TIME: Duration = Duration::from_secs(10);

/// How to close an abandoned attempt.
enum CloseAction {
    /// Write `not_run` with this precondition.
    Write { expect: RowPrecondition, reserved_until: Option<UnixMillis> },
    /// Read the row again later.
    Retry,
    /// Nothing to do: the intent is not in the table and cannot be written any more.
    Done,
}

impl CallLedger {
    /// Whether an attempt of this process was abandoned, and no restore since then may have lost
    /// another attempt's row that its intent replaced.
    pub(crate) fn is_abandoned(&self, token: &Name) -> bool {
        let abandoned = self.abandoned_attempts.lock().unwrap_or_else(PoisonError::into_inner);
        let era = abandoned.get(token).copied();
        drop(abandoned);
        era.is_some() && era == self.row_cache().known_version().map(StoreVersion::era)
    }

    /// Marks an attempt that began in `era` as never sent: at once for this process, and in the
    /// table by a background task.
    pub(crate) fn close_in_background(&self, key: CallKey, intent: &CallRecord, era: StoreEra) {
        let token = Name::clone(&intent.token);
        let abandoned = || self.abandoned_attempts.lock().unwrap_or_else(PoisonError::into_inner);
        abandoned().insert(Name::clone(&token), era);
        let ledger = self.clone();
        let record = CallRecord { state: CallState::NotRun, response: None, ..intent.clone() };
        tokio::spawn(async move {
            ledger.close(&key, record, era).await;
            ledger.abandoned_attempts.lock().unwrap_or_else(PoisonError::into_inner).remove(&token);
        });
    }

    /// Writes `not_run` over the attempt's own intent, or in its place before a delayed write of
    /// the intent takes effect.
    async fn close(&self, key: &CallKey, record: CallRecord, era: StoreEra) {
        loop {
            let closed = self.try_close(key, &record, era).await;
            if closed.unwrap_or(false) {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(CLOSE_RETRY_DELAY) => {}
                () = self.cancel.cancelled() => return,
            }
        }
    }

    /// Tries once to close an attempt; returns whether it is closed.
    ///
    /// After a restore, the intent may have replaced a lost row of another attempt. That row is
    /// written back if the journal lists it. Otherwise the key is reserved for a while, so that a
    /// host that still has the row can restore it before another call begins.
    async fn try_close(
        &self,
        key: &CallKey,
        record: &CallRecord,
        era: StoreEra,
    ) -> Result<bool, PlatformError> {
        let (row, read_at) = self.read_row(key).await?;
        let (expect, reserved_until) = match self.close_action(row.as_ref(), &record.token) {
            CloseAction::Write { expect, reserved_until } => (expect, reserved_until),
            CloseAction::Retry => return Ok(false),
            CloseAction::Done => return Ok(true),
        };
        let now = self.clock.now();
        let mut record = CallRecord { at: now, reserved_until, ..record.clone() };
        if read_at.era() != era {
            record.reserved_until = Some(now + RESERVATION_TIME);
            if let Some(lost) = self.find_lost_attempt(key, &record.token).await? {
                log::info!("event=call_place_returned row={} token={}", key.row_key(), lost.token);
                record = lost;
            }
        }
        let write = RowWrite { key: Name::clone(key.row_key()), expect, value: record.to_json() };
        Ok(self.writer.write(write, read_at).await == WriteOutcome::Written)
    }

    /// Decides how to close an attempt whose intent may be in the table, or may still be written to
    /// a free key.
    fn close_action(&self, row: Option<&TableRow>, token: &Name) -> CloseAction {
        let Some(row) = row else {
            return CloseAction::Write { expect: RowPrecondition::Absent, reserved_until: None };
        };
        let Some(record) = CallRecord::parse(&row.value) else { return CloseAction::Done };
        let is_own = record.token == *token;
        let expect = RowPrecondition::Version(row.version);
        match record.state {
            CallState::Intent if is_own => CloseAction::Write { expect, reserved_until: None },
            // A delayed write of the own intent may still replace this row until its version
            // changes.
            CallState::NotRun if !is_own => {
                CloseAction::Write { expect, reserved_until: record.reserved_until }
            }
            // Attempts of this process, such as this one, may replace an abandoned intent; the
            // attempt that wrote it closes it.
            CallState::Intent if self.is_abandoned(&record.token) => CloseAction::Retry,
            CallState::Intent | CallState::NotRun | CallState::Answered | CallState::Expired => {
                CloseAction::Done
            }
        }
    }
}
