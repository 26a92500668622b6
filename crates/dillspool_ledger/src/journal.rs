//! The journal of attempts: objects that list the attempts of a host, written before their intents.
//!
//! A restored table may lack the intent of a call that ran, while the host that wrote it has ended,
//! is paused or is partitioned. Any other host can find the attempt in the journal. See
//! `docs/design/ledger.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dillspool_platform::{ObjectStore, PlatformError, PutRequest};
use dillspool_schema::Name;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::call::CallKey;
use crate::record::{CallRecord, CallState};

/// Prefix of the keys of all segments.
pub(crate) const SEGMENT_PREFIX: &str = "call_journal/";
/// Maximum number of entries in a segment, because each append rewrites the whole segment.
const MAX_SEGMENT_ENTRIES: usize = 128;
/// Age at which a segment is rotated, so that old ones can be deleted.
pub(crate) const MAX_SEGMENT_AGE: Duration = Duration::from_mins(1);
/// Maximum number of queued entries; further entries are rejected at once.
const MAX_QUEUED_ENTRIES: usize = 8192;
/// Maximum number of segments that are read concurrently.
const MAX_CONCURRENT_READS: usize = 8;

/// A journal entry: an attempt that may send its call, or one that never did.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct JournalEntry {
    /// Key of the call's row in the table.
    pub(crate) row: Name,
    /// The intent, or a [`CallState::NotRun`] record for an attempt that never sent its call and
    /// never will.
    pub(crate) record: CallRecord,
}

struct PendingEntry {
    entry: JournalEntry,
    /// Receives whether the entry was written; `None` for attempts that ended, since nothing waits
    /// for those entries.
    written_tx: Option<oneshot::Sender<bool>>,
}

/// Writes the attempts of this process, and reads those of all processes.
#[derive(Clone, Debug)]
pub(crate) struct CallJournal {
    objects: ObjectStore,
    queue: mpsc::Sender<PendingEntry>,
}

impl CallJournal {
    /// Starts the journal of the process `owner`. Writes start at least `min_interval` apart, which
    /// bounds the load on the object store.
    pub(crate) fn start(
        objects: ObjectStore,
        min_interval: Duration,
        owner: Name,
        cancel: CancellationToken,
    ) -> Self {
        let (queue, pending) = mpsc::channel(MAX_QUEUED_ENTRIES);
        let writer = SegmentWriter::new(objects.clone(), owner);
        tokio::spawn(writer.write_segments(min_interval, pending, cancel));
        Self { objects, queue }
    }

    /// Writes an attempt to the journal. Returns whether the entry is stored, so that the intent
    /// may be written.
    pub(crate) async fn record_attempt(&self, key: &CallKey, intent: &CallRecord) -> bool {
        let (written_tx, outcome) = oneshot::channel();
        let entry = JournalEntry { row: Name::clone(key.row_key()), record: intent.clone() };
        let pending = PendingEntry { entry, written_tx: Some(written_tx) };
        self.queue.try_send(pending).is_ok() && outcome.await.unwrap_or(false)
    }

    /// Queues an entry which says that an attempt never sent its call and never will, so that a
    /// restore does not block its key.
    pub(crate) fn record_not_run(&self, key: &CallKey, intent: &CallRecord) {
        let record = CallRecord { state: CallState::NotRun, ..intent.clone() };
        let entry = JournalEntry { row: Name::clone(key.row_key()), record };
        if self.queue.try_send(PendingEntry { entry, written_tx: None }).is_err() {
            log::debug!("event=call_journal_full token={}", intent.token);
        }
    }

    /// Lists the keys of all segments, grouped by the process that wrote them.
    pub(crate) async fn list_segments(&self) -> Result<Vec<Vec<Name>>, PlatformError> {
        let mut by_owner: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        for segment in self.objects.list_all(&SEGMENT_PREFIX.into()).await? {
            let owner = segment.rsplit_once('/').map_or(&*segment, |(owner, _number)| owner);
            by_owner.entry(owner.into()).or_default().push(segment);
        }
        Ok(by_owner.into_values().collect())
    }

    /// Reads the attempts of one process that may have sent their calls.
    pub(crate) async fn read_open_attempts(
        &self,
        segments: Vec<Name>,
    ) -> Result<Vec<JournalEntry>, PlatformError> {
        let mut entries = Vec::new();
        let mut reads = JoinSet::new();
        let mut segments = segments.into_iter();
        loop {
            while reads.len() < MAX_CONCURRENT_READS
                && let Some(segment) = segments.next()
            {
                reads.spawn((self.objects.get)(segment));
            }
            let Some(read) = reads.join_next().await else { break };
            let reason = "the read task was cancelled".to_owned();
            let reply = read.map_err(|_ended| PlatformError::NotDone { reason })??;
            entries.extend(parse_segment(&reply.text.unwrap_or_default()));
        }
        let not_run: BTreeSet<Name> = entries
            .iter()
            .filter(|entry| entry.record.state == CallState::NotRun)
            .map(|entry| Name::clone(&entry.record.token))
            .collect();
        entries.retain(|entry| !not_run.contains(&entry.record.token));
        Ok(entries)
    }
}

fn parse_segment(text: &str) -> impl Iterator<Item = JournalEntry> {
    text.lines().filter_map(|line| serde_json::from_str(line).ok())
}

/// Writes the segments of one process, one after another.
struct SegmentWriter {
    objects: ObjectStore,
    owner: Name,
    number: u64,
    started_at: Instant,
    lines: Vec<Arc<str>>,
}

impl SegmentWriter {
    fn new(objects: ObjectStore, owner: Name) -> Self {
        Self { objects, owner, number: 0, started_at: Instant::now(), lines: Vec::new() }
    }

    async fn write_segments(
        mut self,
        min_interval: Duration,
        mut pending: mpsc::Receiver<PendingEntry>,
        cancel: CancellationToken,
    ) {
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                count = pending.recv_many(&mut batch, MAX_SEGMENT_ENTRIES) => {
                    if count == 0 {
                        return;
                    }
                }
                () = cancel.cancelled() => return,
            }
            let started = Instant::now();
            let is_written = self.append(&batch).await;
            for written_tx in batch.drain(..).filter_map(|pending| pending.written_tx) {
                let _receiver_dropped = written_tx.send(is_written);
            }
            tokio::time::sleep_until(started + min_interval).await;
        }
    }

    async fn append(&mut self, batch: &[PendingEntry]) -> bool {
        let is_full = self.lines.len() + batch.len() > MAX_SEGMENT_ENTRIES;
        if is_full || self.started_at.elapsed() >= MAX_SEGMENT_AGE {
            self.rotate();
        }
        let lines = batch.iter().filter_map(|it| serde_json::to_string(&it.entry).ok());
        self.lines.extend(lines.map(Arc::from));
        let key = format!("{SEGMENT_PREFIX}{}/{:012}", self.owner, self.number).into();
        let put = PutRequest { key, text: self.lines.join("\n") };
        let outcome = (self.objects.put)(put).await;
        if let Err(error) = &outcome {
            log::warn!("event=call_journal_not_written owner={} error=\"{error}\"", self.owner);
            // The write may still take effect later, and must not replace newer contents of the
            // same segment.
            self.rotate();
        }
        outcome.is_ok()
    }

    fn rotate(&mut self) {
        self.number += 1;
        self.started_at = Instant::now();
        self.lines.clear();
    }
}
