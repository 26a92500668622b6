//! Batches the writes of many rows into one commit, because the table accepts only several hundred
//! writes per second in total.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use dillspool_platform::{CommitReply, CommitRequest, PlatformError, RowWrite, TableStore};
use dillspool_schema::Name;
use dillspool_version::StoreVersion;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::fence::require_era;

/// Maximum number of rows in one commit.
const MAX_BATCH_ROWS: usize = 128;
/// Maximum number of queued rows; further writes are rejected at once.
const MAX_QUEUED_ROWS: usize = 8192;

/// Outcome of the write of one row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The row was written.
    Written,
    /// The precondition did not hold, or the table was restored since the read; the row was not
    /// written.
    Conflict,
    /// The row was not written and will not be.
    NotDone,
    /// The row may have been written, or may still be.
    Unknown,
}

struct PendingWrite {
    write: RowWrite,
    read_at: StoreVersion,
    outcome_tx: oneshot::Sender<WriteOutcome>,
}

/// Collects rows while a commit is in progress and writes them together in the next one.
#[derive(Clone, Debug)]
pub struct BatchWriter {
    queue: mpsc::Sender<PendingWrite>,
}

impl BatchWriter {
    /// Starts the writer task. Commits start at least `min_interval` apart, which bounds the load
    /// on the table.
    pub fn start(table: TableStore, min_interval: Duration, cancel: CancellationToken) -> Self {
        let (queue, pending) = mpsc::channel(MAX_QUEUED_ROWS);
        tokio::spawn(write_batches(table, min_interval, pending, cancel));
        Self { queue }
    }

    /// Writes a row with the next batch. If the table was restored since `read_at`, the outcome is
    /// never [`WriteOutcome::Written`].
    pub async fn write(&self, write: RowWrite, read_at: StoreVersion) -> WriteOutcome {
        let (outcome_tx, outcome) = oneshot::channel();
        if self.queue.try_send(PendingWrite { write, read_at, outcome_tx }).is_err() {
            return WriteOutcome::NotDone;
        }
        // A dropped sender counts as unknown: a writer that stopped with the row still queued never
        // committed it, but one that stopped during a commit may have.
        outcome.await.unwrap_or(WriteOutcome::Unknown)
    }
}

async fn write_batches(
    table: TableStore,
    min_interval: Duration,
    mut pending: mpsc::Receiver<PendingWrite>,
    cancel: CancellationToken,
) {
    let mut queued: VecDeque<PendingWrite> = VecDeque::new();
    loop {
        if queued.is_empty() {
            let next = tokio::select! {
                next = pending.recv() => next,
                () = cancel.cancelled() => return,
            };
            let Some(next) = next else { return };
            queued.push_back(next);
        }
        while let Ok(more) = pending.try_recv() {
            queued.push_back(more);
        }
        let batch = take_batch(&mut queued);
        let started = tokio::time::Instant::now();
        let retry = commit_batch(&table, batch).await;
        queued.extend(retry);
        tokio::time::sleep_until(started + min_interval).await;
    }
}

/// Takes rows with distinct keys and the same era. A second write of a key waits for the next
/// batch, and so does a write that was read in another era, since a commit has a single `read_at`
/// version.
fn take_batch(queued: &mut VecDeque<PendingWrite>) -> Vec<PendingWrite> {
    let mut keys = BTreeSet::new();
    let era = queued.front().map(|first| first.read_at.era());
    let (mut batch, mut deferred) = (Vec::new(), VecDeque::new());
    for write in queued.drain(..) {
        let is_same_era = Some(write.read_at.era()) == era;
        let has_room = batch.len() < MAX_BATCH_ROWS && is_same_era;
        if has_room && keys.insert(Name::clone(&write.write.key)) {
            batch.push(write);
        } else {
            deferred.push_back(write);
        }
    }
    *queued = deferred;
    batch
}

/// Commits a batch. Returns the rows to retry because only other rows of the batch conflicted.
async fn commit_batch(table: &TableStore, batch: Vec<PendingWrite>) -> Vec<PendingWrite> {
    let mut writes: Vec<RowWrite> = batch.iter().map(|pending| pending.write.clone()).collect();
    let read_at = batch.iter().map(|pending| pending.read_at).min();
    let fence = require_era(read_at.map(StoreVersion::era).unwrap_or_default());
    let fence_key = Name::clone(&fence.key);
    writes.push(fence);
    let reply = (table.commit)(CommitRequest { writes, read_at }).await;
    let mut retry = Vec::new();
    for pending in batch {
        let outcome = match &reply {
            Ok(CommitReply::Committed) => WriteOutcome::Written,
            Ok(CommitReply::Conflict(keys))
                if keys.contains(&pending.write.key) || keys.contains(&fence_key) =>
            {
                WriteOutcome::Conflict
            }
            Ok(CommitReply::Conflict(_)) => {
                retry.push(pending);
                continue;
            }
            Err(PlatformError::NotDone { .. }) => WriteOutcome::NotDone,
            Err(PlatformError::Unknown { .. }) => WriteOutcome::Unknown,
        };
        // A caller that dropped the receiver reads the row back if it needs the outcome.
        let _receiver_dropped = pending.outcome_tx.send(outcome);
    }
    retry
}
