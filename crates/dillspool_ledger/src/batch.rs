//! Many rows in one commit: the table takes several hundred writes a second in all.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use dillspool_platform::{CommitReply, CommitRequest, PlatformError, RowWrite, TableStore};
use dillspool_schema::Name;
use dillspool_version::StoreVersion;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::guard::hold_to_era;

/// Rows in one commit at most.
const BATCH_LIMIT: usize = 128;
/// Rows waiting for a commit at most; more are refused at once.
const QUEUE_LIMIT: usize = 8192;

/// What became of one row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was written.
    Written,
    /// Its condition did not hold, or the table was restored since; it was not written.
    Conflict,
    /// It was not written and will not be.
    NotDone,
    /// It may have been written, or may yet be.
    Unknown,
}

struct PendingWrite {
    write: RowWrite,
    read_at: StoreVersion,
    answer: oneshot::Sender<WriteOutcome>,
}

/// Collects rows while a commit is under way and writes them together in the next.
#[derive(Clone, Debug)]
pub struct BatchWriter {
    queue: mpsc::Sender<PendingWrite>,
}

impl BatchWriter {
    /// Starts the writer; commits are at least `spacing` apart, which bounds the table's load.
    pub fn start(table: TableStore, spacing: Duration, cancel: CancellationToken) -> Self {
        let (queue, pending) = mpsc::channel(QUEUE_LIMIT);
        tokio::spawn(write_batches(table, spacing, pending, cancel));
        Self { queue }
    }

    /// Writes a row with the next batch. If the table was restored since `read_at`, the outcome is not
    /// [`WriteOutcome::Written`].
    pub async fn write(&self, write: RowWrite, read_at: StoreVersion) -> WriteOutcome {
        let (answer, outcome) = oneshot::channel();
        if self.queue.try_send(PendingWrite { write, read_at, answer }).is_err() {
            return WriteOutcome::NotDone;
        }
        // A writer that stopped with the row in its queue never committed it; one that stopped
        // in the middle of a commit may have.
        outcome.await.unwrap_or(WriteOutcome::Unknown)
    }
}

async fn write_batches(
    table: TableStore,
    spacing: Duration,
    mut pending: mpsc::Receiver<PendingWrite>,
    cancel: CancellationToken,
) {
    let mut waiting: VecDeque<PendingWrite> = VecDeque::new();
    loop {
        if waiting.is_empty() {
            let next = tokio::select! {
                next = pending.recv() => next,
                () = cancel.cancelled() => return,
            };
            let Some(next) = next else { return };
            waiting.push_back(next);
        }
        while let Ok(more) = pending.try_recv() {
            waiting.push_back(more);
        }
        let batch = take_batch(&mut waiting);
        let started = tokio::time::Instant::now();
        let retry = commit_batch(&table, batch).await;
        waiting.extend(retry);
        tokio::time::sleep_until(started + spacing).await;
    }
}

/// Takes rows of different keys and one era; a second write of a key waits for the next batch, and so do writes
/// that rest on another era, since a commit has one version at which its conditions were read.
fn take_batch(waiting: &mut VecDeque<PendingWrite>) -> Vec<PendingWrite> {
    let mut keys = BTreeSet::new();
    let era = waiting.front().map(|first| first.read_at.era());
    let (mut batch, mut later) = (Vec::new(), VecDeque::new());
    for write in waiting.drain(..) {
        let is_of_era = Some(write.read_at.era()) == era;
        let has_room = batch.len() < BATCH_LIMIT && is_of_era;
        if has_room && keys.insert(Name::clone(&write.write.key)) {
            batch.push(write);
        } else {
            later.push_back(write);
        }
    }
    *waiting = later;
    batch
}

/// Commits a batch; returns the rows to try again because another row's condition failed.
async fn commit_batch(table: &TableStore, batch: Vec<PendingWrite>) -> Vec<PendingWrite> {
    let mut writes: Vec<RowWrite> = batch.iter().map(|pending| pending.write.clone()).collect();
    let read_at = batch.iter().map(|pending| pending.read_at).min();
    let guard = hold_to_era(read_at.map(StoreVersion::era).unwrap_or_default());
    let guard_key = Name::clone(&guard.key);
    writes.push(guard);
    let reply = (table.commit)(CommitRequest { writes, read_at }).await;
    let mut retry = Vec::new();
    for pending in batch {
        let outcome = match &reply {
            Ok(CommitReply::Committed) => WriteOutcome::Written,
            Ok(CommitReply::Conflict(keys))
                if keys.contains(&pending.write.key) || keys.contains(&guard_key) =>
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
        // An asker that has gone reads the row back if it ever needs to.
        let _asker_left = pending.answer.send(outcome);
    }
    retry
}
