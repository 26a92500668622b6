//! Writes back the rows of this host that a restored table lost.

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

/// Maximum number of rows checked in one read.
const PAGE_ROWS: usize = 128;
/// A failed check is retried after the check interval divided by this. Retries are short because
/// other hosts begin calls again `restore_settle_time` after the restore, whether or not this host
/// has written its rows back by then.
const RETRY_DIVISOR: u32 = 5;

/// Outcome of checking one page of rows.
enum CheckOutcome {
    /// No rows are left to check.
    Done,
    /// More rows must be checked.
    More,
    /// The table did not respond, or some rows could not be written.
    Failed,
}

/// What to do about a cached row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowCheck {
    /// The row is present.
    Present,
    /// Write the row back with this precondition.
    Rewrite(RowPrecondition),
    /// Another attempt replaced the row, but may still free the key.
    Displaced,
    /// Another attempt replaced the row permanently.
    Lost,
}

fn check_row(own: &CallRecord, found: Option<&TableRow>) -> RowCheck {
    let Some(row) = found else { return RowCheck::Rewrite(RowPrecondition::Absent) };
    let Some(record) = CallRecord::parse(&row.value) else { return RowCheck::Lost };
    let is_own = record.token == own.token;
    match record.state {
        CallState::Intent if is_own && own.state != CallState::Intent => {
            RowCheck::Rewrite(RowPrecondition::Version(row.version))
        }
        _any if is_own => RowCheck::Present,
        CallState::NotRun => RowCheck::Rewrite(RowPrecondition::Version(row.version)),
        // It may have been written across the restore, by an attempt that its host will abandon.
        CallState::Intent => RowCheck::Displaced,
        CallState::Answered | CallState::Expired => RowCheck::Lost,
    }
}

impl CallLedger {
    /// Checks for restores of the table and writes lost rows back, until the ledger is cancelled.
    pub(crate) async fn watch_restores(self) {
        let interval = self.settings.restore_check_interval;
        loop {
            let started = Instant::now();
            let is_needed = self.row_cache().needs_checks(self.settings.begin_timeout, started);
            let outcome = if is_needed { self.check_page().await } else { CheckOutcome::Done };
            let pause = match outcome {
                CheckOutcome::Done => interval,
                CheckOutcome::More => Duration::ZERO,
                CheckOutcome::Failed => interval / RETRY_DIVISOR,
            };
            tokio::select! {
                () = tokio::time::sleep_until(started + pause) => {}
                () = self.cancel.cancelled() => return,
            }
        }
    }

    /// Reads rows and records the version of the table.
    pub(crate) async fn read_rows(
        &self,
        keys: Vec<Name>,
    ) -> Result<(Vec<Option<TableRow>>, StoreVersion), PlatformError> {
        let reply = (self.table.read)(ReadRequest { keys }).await?;
        let settle = self.settings.restore_settle_time;
        if self.row_cache().observe_version(reply.version, settle, Instant::now()) {
            log::warn!("event=table_restored version={}", reply.version);
        }
        Ok((reply.rows, reply.version))
    }

    /// Checks one page of rows against the table and writes back those that it lacks.
    async fn check_page(&self) -> CheckOutcome {
        let unchecked = self.row_cache().unchecked(PAGE_ROWS);
        // Without rows to check, a read of any key returns the version of the table.
        let keys = if unchecked.is_empty() {
            vec![ROW_PREFIX.into()]
        } else {
            unchecked.iter().map(|(key, _record)| Name::clone(key.row_key())).collect()
        };
        let Ok((rows, version)) = self.read_rows(keys).await else { return CheckOutcome::Failed };
        let mut writes = JoinSet::new();
        for ((key, record), found) in unchecked.into_iter().zip(rows) {
            match check_row(&record, found.as_ref()) {
                RowCheck::Present => self.row_cache().mark_present(&key, &record, version.era()),
                RowCheck::Rewrite(expect) => {
                    writes.spawn(self.clone().rewrite_row(key, record, expect, version));
                }
                RowCheck::Displaced => {
                    if self.row_cache().mark_displaced(&key, &record.token) {
                        log::warn!(
                            "event=call_row_lost row={} token={}",
                            key.row_key(),
                            record.token
                        );
                    }
                }
                RowCheck::Lost => {
                    log::warn!("event=call_row_lost row={} token={}", key.row_key(), record.token);
                    self.row_cache().remove_attempt(&key, &record.token);
                }
            }
        }
        let are_written = writes.join_all().await.into_iter().all(|is_written| is_written);
        match (are_written, self.row_cache().has_unchecked()) {
            (false, _) => CheckOutcome::Failed,
            (true, true) => CheckOutcome::More,
            (true, false) => CheckOutcome::Done,
        }
    }

    async fn rewrite_row(
        self,
        key: CallKey,
        record: CallRecord,
        expect: RowPrecondition,
        read_at: StoreVersion,
    ) -> bool {
        let write = RowWrite { key: Name::clone(key.row_key()), expect, value: record.to_json() };
        if self.writer.write(write, read_at).await != WriteOutcome::Written {
            return false;
        }
        log::info!("event=call_row_written_again row={} token={}", key.row_key(), record.token);
        self.row_cache().mark_present(&key, &record, read_at.era());
        true
    }
}
