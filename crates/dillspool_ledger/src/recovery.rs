//! Writes the intents of all hosts again that a restored table lost, from the journal of attempts.
//!
//! No call begins whose row is absent before this is done in the table's era. One host does it for all; a host that
//! takes over from it, or does it a second time, does no harm, since each row is written on a condition.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dillspool_platform::{PlatformError, ReadRequest, RowPrecondition, RowWrite, TableRow};
use dillspool_schema::Name;
use dillspool_version::{StoreEra, StoreVersion};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::batch::WriteOutcome;
use crate::call::CallKey;
use crate::guard::end_earlier_eras;
use crate::journal::JournalEntry;
use crate::ledger::CallLedger;
use crate::record::{CallRecord, CallState};

/// Key of the row that tells how far the recovery is.
const RECOVERY_KEY: &str = "call_recovery";
/// Pause between two looks at the recovery while calls wait for it.
const RECOVERY_PAUSE: Duration = Duration::from_millis(200);
/// Time after which another host takes the recovery over.
const CLAIM_TIME: Duration = Duration::from_secs(3);
/// Rows compared with the table in one read.
const PAGE_ROWS: usize = 128;

/// How far the recovery of an era is.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct RecoveryRecord {
    /// Number of the era.
    era: u64,
    /// The process that recovers.
    owner: Name,
    is_done: bool,
}

/// What to do about the recovery of an era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecoveryStep {
    /// It is done.
    Done,
    /// Another process is at it, by the row of this version.
    Claimed(StoreVersion),
    /// It is free, on this condition.
    Free(RowPrecondition),
}

fn judge_recovery(row: Option<&TableRow>, era: StoreEra) -> RecoveryStep {
    let Some(row) = row else { return RecoveryStep::Free(RowPrecondition::Absent) };
    let record: Option<RecoveryRecord> = serde_json::from_str(&row.value).ok();
    match record.filter(|record| record.era == era.number()) {
        Some(RecoveryRecord { is_done: true, .. }) => RecoveryStep::Done,
        Some(_) => RecoveryStep::Claimed(row.version),
        None => RecoveryStep::Free(RowPrecondition::Version(row.version)),
    }
}

/// On what condition the intent of an attempt is written again; `None` if its call cannot begin as it is.
fn judge_attempt(record: &CallRecord, row: Option<&TableRow>) -> Option<RowPrecondition> {
    let Some(row) = row else { return Some(RowPrecondition::Absent) };
    let found = CallRecord::parse(&row.value)?;
    let is_other = found.token != record.token;
    (found.state == CallState::NotRun && is_other).then_some(RowPrecondition::Version(row.version))
}

impl CallLedger {
    /// Has the rows of all hosts written again after each restore of the table, until the ledger is cancelled.
    pub(crate) async fn watch_recovery(self) {
        let mut claim = None;
        loop {
            let unrecovered = self.memory().unrecovered();
            if let Some(era) = unrecovered
                && let Err(error) = self.advance_recovery(era, &mut claim).await
            {
                log::warn!("event=call_recovery_failed era={era} error=\"{error}\"");
            }
            tokio::select! {
                () = tokio::time::sleep(RECOVERY_PAUSE) => {}
                () = self.cancel.cancelled() => return,
            }
        }
    }

    /// Looks how far the recovery of an era is, and does it if nobody else does. `claim` is that of another process,
    /// and since when this one has seen it: clocks of two hosts need not agree.
    async fn advance_recovery(
        &self,
        era: StoreEra,
        claim: &mut Option<(StoreVersion, Instant)>,
    ) -> Result<(), PlatformError> {
        let (rows, read_at) = self.read_rows(vec![RECOVERY_KEY.into()]).await?;
        if read_at.era() != era {
            return Ok(());
        }
        let row = rows.into_iter().next().flatten();
        let expect = match judge_recovery(row.as_ref(), era) {
            RecoveryStep::Done => {
                self.memory().note_recovered(era);
                return Ok(());
            }
            RecoveryStep::Free(expect) => expect,
            RecoveryStep::Claimed(version) => {
                let (known, since) = *claim.get_or_insert((version, Instant::now()));
                if known != version {
                    *claim = None;
                }
                if known != version || since.elapsed() < CLAIM_TIME {
                    return Ok(());
                }
                RowPrecondition::Version(version)
            }
        };
        if self.write_recovery(expect, read_at, false).await
            && self.end_earlier_eras(read_at).await
            && self.recover_rows().await?
            && self.write_recovery(RowPrecondition::Any, read_at, true).await
        {
            log::info!("event=calls_recovered era={era}");
            self.memory().note_recovered(era);
        }
        Ok(())
    }

    async fn write_recovery(
        &self,
        expect: RowPrecondition,
        read_at: StoreVersion,
        is_done: bool,
    ) -> bool {
        let record = RecoveryRecord { era: read_at.era().number(), owner: self.owner(), is_done };
        let value = serde_json::to_string(&record).ok();
        let write = RowWrite { key: RECOVERY_KEY.into(), expect, value };
        self.writer.write(write, read_at).await == WriteOutcome::Written
    }

    /// Keeps commits of earlier eras from replacing what is written from now on.
    async fn end_earlier_eras(&self, read_at: StoreVersion) -> bool {
        let mut tasks = JoinSet::new();
        for guard in end_earlier_eras(read_at.era()) {
            let ledger = self.clone();
            tasks.spawn(async move { ledger.writer.write(guard, read_at).await });
        }
        let outcomes = tasks.join_all().await;
        outcomes.into_iter().all(|outcome| outcome == WriteOutcome::Written)
    }

    /// Writes the intents again that the table lacks; false if some of them could not be written.
    async fn recover_rows(&self) -> Result<bool, PlatformError> {
        let mut are_written = true;
        for segments in self.journal.segments().await? {
            let attempts = self.journal.open_attempts(segments).await?;
            for page in attempts.chunks(PAGE_ROWS) {
                are_written &= self.recover_page(page).await?;
            }
        }
        Ok(are_written)
    }

    async fn recover_page(&self, page: &[JournalEntry]) -> Result<bool, PlatformError> {
        let keys = page.iter().map(|entry| Name::clone(&entry.row)).collect();
        let reply = (self.table.read)(ReadRequest { keys }).await?;
        let mut tasks = JoinSet::new();
        for (entry, row) in page.iter().zip(reply.rows) {
            let Some(expect) = judge_attempt(&entry.record, row.as_ref()) else { continue };
            log::info!("event=call_row_recovered row={} token={}", entry.row, entry.record.token);
            let value = entry.record.text();
            let write = RowWrite { key: Name::clone(&entry.row), expect, value };
            let ledger = self.clone();
            tasks.spawn(async move { ledger.writer.write(write, reply.version).await });
        }
        let outcomes = tasks.join_all().await;
        Ok(outcomes.into_iter().all(|outcome| outcome == WriteOutcome::Written))
    }

    /// An attempt of another host at the same call that a restored table may have lost.
    ///
    /// Calls that ask meanwhile are answered by one reading of the journal.
    pub(crate) async fn lost_attempt(
        &self,
        key: &CallKey,
        own: &Name,
    ) -> Result<Option<CallRecord>, PlatformError> {
        self.lost_rows.asked().insert(Name::clone(key.row()));
        let mut found = self.lost_rows.found.lock().await;
        if !found.contains_key(key.row()) {
            let mut asked = std::mem::take(&mut *self.lost_rows.asked());
            asked.insert(Name::clone(key.row()));
            found.extend(self.attempts_of(asked).await?);
        }
        let records = found.remove(key.row()).unwrap_or_default();
        Ok(records.into_iter().find(|record| record.token != *own))
    }

    async fn attempts_of(
        &self,
        rows: BTreeSet<Name>,
    ) -> Result<BTreeMap<Name, Vec<CallRecord>>, PlatformError> {
        let mut attempts: BTreeMap<Name, Vec<CallRecord>> =
            rows.into_iter().map(|row| (row, Vec::new())).collect();
        for segments in self.journal.segments().await? {
            for entry in self.journal.open_attempts(segments).await? {
                if let Some(records) = attempts.get_mut(&entry.row) {
                    records.push(entry.record);
                }
            }
        }
        Ok(attempts)
    }
}

/// Calls whose attempts are looked for in the journal.
#[derive(Debug, Default)]
pub(crate) struct LostRows {
    asked: Mutex<BTreeSet<Name>>,
    found: tokio::sync::Mutex<BTreeMap<Name, Vec<CallRecord>>>,
}

impl LostRows {
    fn asked(&self) -> MutexGuard<'_, BTreeSet<Name>> {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
