//! Recovers the intents of all hosts that a restored table lost, from the journal of attempts.
//!
//! No call whose row is absent begins before the recovery of the table's era is complete. One host
//! runs it for all. It is safe for another host to take over or to repeat it, since each write has
//! a precondition.

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
use crate::fence::fence_earlier_eras;
use crate::journal::JournalEntry;
use crate::ledger::CallLedger;
use crate::record::{CallRecord, CallState};

/// Key of the row with the progress of the recovery.
const RECOVERY_KEY: &str = "call_recovery";
/// Interval at which the recovery is polled while calls wait for it.
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Age of an unchanged claim at which another host takes over the recovery.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of rows compared with the table in one read.
const PAGE_ROWS: usize = 128;

/// Progress of the recovery of an era, as stored in the table.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct RecoveryRecord {
    /// Number of the era.
    era: u64,
    /// Process that runs the recovery.
    owner: Name,
    is_done: bool,
}

/// State of the recovery of an era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecoveryState {
    /// The recovery is complete.
    Done,
    /// Another process claimed it, with the row of this version.
    Claimed(StoreVersion),
    /// It can be claimed with this precondition.
    Free(RowPrecondition),
}

fn recovery_state(row: Option<&TableRow>, era: StoreEra) -> RecoveryState {
    let Some(row) = row else { return RecoveryState::Free(RowPrecondition::Absent) };
    let record: Option<RecoveryRecord> = serde_json::from_str(&row.value).ok();
    match record.filter(|record| record.era == era.number()) {
        Some(RecoveryRecord { is_done: true, .. }) => RecoveryState::Done,
        Some(_) => RecoveryState::Claimed(row.version),
        None => RecoveryState::Free(RowPrecondition::Version(row.version)),
    }
}

/// Precondition for writing the intent of an attempt back; `None` if the present row already keeps
/// the call from running.
fn rewrite_precondition(record: &CallRecord, row: Option<&TableRow>) -> Option<RowPrecondition> {
    let Some(row) = row else { return Some(RowPrecondition::Absent) };
    let found = CallRecord::parse(&row.value)?;
    let is_other = found.token != record.token;
    (found.state == CallState::NotRun && is_other).then_some(RowPrecondition::Version(row.version))
}

impl CallLedger {
    /// Recovers the rows of all hosts after each restore of the table, until the ledger is
    /// cancelled.
    pub(crate) async fn watch_recovery(self) {
        let mut claim = None;
        loop {
            let unrecovered = self.row_cache().unrecovered();
            if let Some(era) = unrecovered
                && let Err(error) = self.advance_recovery(era, &mut claim).await
            {
                log::warn!("event=call_recovery_failed era={era} error=\"{error}\"");
            }
            tokio::select! {
                () = tokio::time::sleep(RECOVERY_POLL_INTERVAL) => {}
                () = self.cancel.cancelled() => return,
            }
        }
    }

    /// Checks the recovery of an era and runs it if no other process does. `claim` is another
    /// process's claim and the local time at which it was first seen, since the clocks of two hosts
    /// may differ.
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
        let expect = match recovery_state(row.as_ref(), era) {
            RecoveryState::Done => {
                self.row_cache().record_recovered(era);
                return Ok(());
            }
            RecoveryState::Free(expect) => expect,
            RecoveryState::Claimed(version) => {
                let (known, since) = *claim.get_or_insert((version, Instant::now()));
                if known != version {
                    *claim = None;
                }
                if known != version || since.elapsed() < CLAIM_TIMEOUT {
                    return Ok(());
                }
                RowPrecondition::Version(version)
            }
        };
        if self.write_recovery(expect, read_at, false).await
            && self.fence_earlier_eras(read_at).await
            && self.recover_rows().await?
            && self.write_recovery(RowPrecondition::Any, read_at, true).await
        {
            log::info!("event=calls_recovered era={era}");
            self.row_cache().record_recovered(era);
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

    /// Fences off commits of earlier eras, so that they cannot replace rows written from now on.
    async fn fence_earlier_eras(&self, read_at: StoreVersion) -> bool {
        let mut tasks = JoinSet::new();
        for fence in fence_earlier_eras(read_at.era()) {
            let ledger = self.clone();
            tasks.spawn(async move { ledger.writer.write(fence, read_at).await });
        }
        let outcomes = tasks.join_all().await;
        outcomes.into_iter().all(|outcome| outcome == WriteOutcome::Written)
    }

    /// Writes back the intents that the table lacks. Returns false if some could not be written.
    async fn recover_rows(&self) -> Result<bool, PlatformError> {
        let mut are_written = true;
        for segments in self.journal.list_segments().await? {
            let attempts = self.journal.read_open_attempts(segments).await?;
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
            let Some(expect) = rewrite_precondition(&entry.record, row.as_ref()) else { continue };
            log::info!("event=call_row_recovered row={} token={}", entry.row, entry.record.token);
            let value = entry.record.to_json();
            let write = RowWrite { key: Name::clone(&entry.row), expect, value };
            let ledger = self.clone();
            tasks.spawn(async move { ledger.writer.write(write, reply.version).await });
        }
        let outcomes = tasks.join_all().await;
        Ok(outcomes.into_iter().all(|outcome| outcome == WriteOutcome::Written))
    }

    /// Finds another attempt at the same call that a restored table may have lost.
    ///
    /// Concurrent lookups share one read of the journal.
    pub(crate) async fn find_lost_attempt(
        &self,
        key: &CallKey,
        own: &Name,
    ) -> Result<Option<CallRecord>, PlatformError> {
        self.journal_lookups.requested().insert(Name::clone(key.row_key()));
        let mut found = self.journal_lookups.found.lock().await;
        if !found.contains_key(key.row_key()) {
            let mut requested = std::mem::take(&mut *self.journal_lookups.requested());
            requested.insert(Name::clone(key.row_key()));
            found.extend(self.read_attempts(requested).await?);
        }
        let records = found.remove(key.row_key()).unwrap_or_default();
        Ok(records.into_iter().find(|record| record.token != *own))
    }

    async fn read_attempts(
        &self,
        rows: BTreeSet<Name>,
    ) -> Result<BTreeMap<Name, Vec<CallRecord>>, PlatformError> {
        let mut attempts: BTreeMap<Name, Vec<CallRecord>> =
            rows.into_iter().map(|row| (row, Vec::new())).collect();
        for segments in self.journal.list_segments().await? {
            for entry in self.journal.read_open_attempts(segments).await? {
                if let Some(records) = attempts.get_mut(&entry.row) {
                    records.push(entry.record);
                }
            }
        }
        Ok(attempts)
    }
}

/// Pending and finished lookups of calls in the journal.
#[derive(Debug, Default)]
pub(crate) struct JournalLookups {
    requested: Mutex<BTreeSet<Name>>,
    found: tokio::sync::Mutex<BTreeMap<Name, Vec<CallRecord>>>,
}

impl JournalLookups {
    fn requested(&self) -> MutexGuard<'_, BTreeSet<Name>> {
        self.requested.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
