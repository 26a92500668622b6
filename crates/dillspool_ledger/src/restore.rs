//! Writes the rows of this host again that a restored table lost.

use std::time::Duration;

use dillspool_platform::{PlatformError, ReadRequest, RowPrecondition, RowWrite, TableRow};
use dillspool_schema::Name;
use dillspool_version::StoreVersion;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::batch::WriteOutcome;
use crate::call::{CallKey, ROW_PREFIX};
use crate::ledger::CallLedger;
use crate::record::{CallRecord, CallState};

/// Rows checked in one read.
const PAGE_ROWS: usize = 128;
/// Parts of the check interval after which a check that failed is tried again: other hosts begin calls again
/// `restore_settle` after the restore, whether or not this host has written its rows by then.
const RETRY_PART: u32 = 5;

/// What became of a check.
enum CheckOutcome {
    /// All rows stand, as far as is known.
    Done,
    /// There are more rows.
    More,
    /// The table did not answer, or not all rows could be written.
    Failed,
}

/// What is to be done about a row of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LostJudgement {
    /// It stands.
    Stands,
    /// It is written again on this condition.
    Write(RowPrecondition),
    /// Another attempt has its place, and may free it yet.
    Taken,
    /// Another attempt has its place for good.
    Lost,
}

fn judge_lost(own: &CallRecord, found: Option<&TableRow>) -> LostJudgement {
    let Some(row) = found else { return LostJudgement::Write(RowPrecondition::Absent) };
    let Some(record) = CallRecord::parse(&row.value) else { return LostJudgement::Lost };
    let is_own = record.token == own.token;
    match record.state {
        CallState::Intent if is_own && own.state != CallState::Intent => {
            LostJudgement::Write(RowPrecondition::Version(row.version))
        }
        _any if is_own => LostJudgement::Stands,
        CallState::NotRun => LostJudgement::Write(RowPrecondition::Version(row.version)),
        // It may have been written across the restore, by an attempt that its host gives up.
        CallState::Intent => LostJudgement::Taken,
        CallState::Answered | CallState::Expired => LostJudgement::Lost,
    }
}

impl CallLedger {
    /// Looks for restores of the table, and writes rows again, until the ledger is cancelled.
    pub(crate) async fn watch_restores(self) {
        let interval = self.settings.restore_check;
        loop {
            let started = Instant::now();
            let is_needed = self.memory().needs_checks(self.settings.begin_limit, started);
            let outcome = if is_needed { self.check_page().await } else { CheckOutcome::Done };
            let pause = match outcome {
                CheckOutcome::Done => interval,
                CheckOutcome::More => Duration::ZERO,
                CheckOutcome::Failed => interval / RETRY_PART,
            };
            tokio::select! {
                () = tokio::time::sleep_until(started + pause) => {}
                () = self.cancel.cancelled() => return,
            }
        }
    }

    /// Reads rows and notes the version of the table.
    pub(crate) async fn read_rows(
        &self,
        keys: Vec<Name>,
    ) -> Result<(Vec<Option<TableRow>>, StoreVersion), PlatformError> {
        let reply = (self.table.read)(ReadRequest { keys }).await?;
        let settle = self.settings.restore_settle;
        if self.memory().note(reply.version, settle, Instant::now()) {
            log::warn!("event=table_restored version={}", reply.version);
        }
        Ok((reply.rows, reply.version))
    }

    /// Checks rows against the table, and writes those again that it lacks.
    async fn check_page(&self) -> CheckOutcome {
        let unchecked = self.memory().unchecked(PAGE_ROWS);
        // Without rows to check, any key tells the version of the table.
        let keys = if unchecked.is_empty() {
            vec![ROW_PREFIX.into()]
        } else {
            unchecked.iter().map(|(key, _record)| Name::clone(key.row())).collect()
        };
        let Ok((rows, version)) = self.read_rows(keys).await else { return CheckOutcome::Failed };
        let mut writes = JoinSet::new();
        for ((key, record), found) in unchecked.into_iter().zip(rows) {
            match judge_lost(&record, found.as_ref()) {
                LostJudgement::Stands => self.memory().stands(&key, &record, version.era()),
                LostJudgement::Write(expect) => {
                    writes.spawn(self.clone().write_again(key, record, expect, version));
                }
                LostJudgement::Taken => {
                    if self.memory().taken(&key, &record.token) {
                        log::warn!("event=call_row_lost row={} token={}", key.row(), record.token);
                    }
                }
                LostJudgement::Lost => {
                    log::warn!("event=call_row_lost row={} token={}", key.row(), record.token);
                    self.memory().forget(&key, &record.token);
                }
            }
        }
        let are_written = writes.join_all().await.into_iter().all(|is_written| is_written);
        match (are_written, self.memory().has_unchecked()) {
            (false, _) => CheckOutcome::Failed,
            (true, true) => CheckOutcome::More,
            (true, false) => CheckOutcome::Done,
        }
    }

    async fn write_again(
        self,
        key: CallKey,
        record: CallRecord,
        expect: RowPrecondition,
        read_at: StoreVersion,
    ) -> bool {
        let write = RowWrite { key: Name::clone(key.row()), expect, value: record.text() };
        if self.writer.write(write, read_at).await != WriteOutcome::Written {
            return false;
        }
        log::info!("event=call_row_written_again row={} token={}", key.row(), record.token);
        self.memory().stands(&key, &record, read_at.era());
        true
    }
}
