//! The journal of attempts: an object for each run of attempts of a host, written before their intents.
//!
//! A restored table may lack the intent of a call that ran, and the host that wrote it may have ended, stand still or
//! be cut off. Any host can then learn of the attempt here. See `docs/design/ledger.md`.

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

/// Prefix of all segments.
pub(crate) const SEGMENT_PREFIX: &str = "call_journal/";
/// Entries in one segment at most, since a segment is written whole with each further entry.
const SEGMENT_ENTRIES: usize = 128;
/// Time after which a new segment is begun, so that old ones can be deleted.
pub(crate) const SEGMENT_TIME: Duration = Duration::from_mins(1);
/// Entries waiting to be written at most; more are refused at once.
const QUEUE_LIMIT: usize = 8192;
/// Segments read at a time.
const READS_AT_ONCE: usize = 8;

/// What an attempt may do to the backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct JournalEntry {
    /// Row of the call.
    pub(crate) row: Name,
    /// The intent, or [`CallState::NotRun`] for an attempt that never sent its call and never will.
    pub(crate) record: CallRecord,
}

struct PendingEntry {
    entry: JournalEntry,
    /// Told whether the entry stands; nobody waits for that of an attempt that ended.
    answer: Option<oneshot::Sender<bool>>,
}

/// Writes the attempts of this host, and reads those of all hosts.
#[derive(Clone, Debug)]
pub(crate) struct CallJournal {
    objects: ObjectStore,
    queue: mpsc::Sender<PendingEntry>,
}

impl CallJournal {
    /// A journal of the process `owner`; writes are at least `spacing` apart, which bounds the store's load.
    pub(crate) fn start(
        objects: ObjectStore,
        spacing: Duration,
        owner: Name,
        cancel: CancellationToken,
    ) -> Self {
        let (queue, pending) = mpsc::channel(QUEUE_LIMIT);
        let writer = SegmentWriter::new(objects.clone(), owner);
        tokio::spawn(writer.write_segments(spacing, pending, cancel));
        Self { objects, queue }
    }

    /// Enters an attempt; whether the entry stands, so that its intent may be written.
    pub(crate) async fn enter(&self, key: &CallKey, intent: &CallRecord) -> bool {
        let (answer, outcome) = oneshot::channel();
        let entry = JournalEntry { row: Name::clone(key.row()), record: intent.clone() };
        let pending = PendingEntry { entry, answer: Some(answer) };
        self.queue.try_send(pending).is_ok() && outcome.await.unwrap_or(false)
    }

    /// Enters that an attempt never sent its call and never will, so that a restore does not block its key.
    pub(crate) fn enter_not_run(&self, key: &CallKey, intent: &CallRecord) {
        let record = CallRecord { state: CallState::NotRun, ..intent.clone() };
        let entry = JournalEntry { row: Name::clone(key.row()), record };
        if self.queue.try_send(PendingEntry { entry, answer: None }).is_err() {
            log::debug!("event=call_journal_full token={}", intent.token);
        }
    }

    /// Names of all segments, by the process that wrote them.
    pub(crate) async fn segments(&self) -> Result<Vec<Vec<Name>>, PlatformError> {
        let mut by_owner: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        for segment in self.objects.list_all(&SEGMENT_PREFIX.into()).await? {
            let owner = segment.rsplit_once('/').map_or(&*segment, |(owner, _number)| owner);
            by_owner.entry(owner.into()).or_default().push(segment);
        }
        Ok(by_owner.into_values().collect())
    }

    /// The attempts of a process that may have sent their calls.
    pub(crate) async fn open_attempts(
        &self,
        segments: Vec<Name>,
    ) -> Result<Vec<JournalEntry>, PlatformError> {
        let mut entries = Vec::new();
        let mut reads = JoinSet::new();
        let mut segments = segments.into_iter();
        loop {
            while reads.len() < READS_AT_ONCE
                && let Some(segment) = segments.next()
            {
                reads.spawn((self.objects.get)(segment));
            }
            let Some(read) = reads.join_next().await else { break };
            let reason = "the read was ended".to_owned();
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

/// Writes the segments of one process, one after the other.
struct SegmentWriter {
    objects: ObjectStore,
    owner: Name,
    number: u64,
    begun: Instant,
    lines: Vec<Arc<str>>,
}

impl SegmentWriter {
    fn new(objects: ObjectStore, owner: Name) -> Self {
        Self { objects, owner, number: 0, begun: Instant::now(), lines: Vec::new() }
    }

    async fn write_segments(
        mut self,
        spacing: Duration,
        mut pending: mpsc::Receiver<PendingEntry>,
        cancel: CancellationToken,
    ) {
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                count = pending.recv_many(&mut batch, SEGMENT_ENTRIES) => {
                    if count == 0 {
                        return;
                    }
                }
                () = cancel.cancelled() => return,
            }
            let started = Instant::now();
            let is_written = self.append(&batch).await;
            for answer in batch.drain(..).filter_map(|pending| pending.answer) {
                let _asker_left = answer.send(is_written);
            }
            tokio::time::sleep_until(started + spacing).await;
        }
    }

    async fn append(&mut self, batch: &[PendingEntry]) -> bool {
        let is_full = self.lines.len() + batch.len() > SEGMENT_ENTRIES;
        if is_full || self.begun.elapsed() >= SEGMENT_TIME {
            self.begin_segment();
        }
        let lines = batch.iter().filter_map(|it| serde_json::to_string(&it.entry).ok());
        self.lines.extend(lines.map(Arc::from));
        let key = format!("{SEGMENT_PREFIX}{}/{:012}", self.owner, self.number).into();
        let put = PutRequest { key, text: self.lines.join("\n") };
        let outcome = (self.objects.put)(put).await;
        if let Err(error) = &outcome {
            log::warn!("event=call_journal_not_written owner={} error=\"{error}\"", self.owner);
            // The write may come late, and would then replace a newer state of the same segment.
            self.begin_segment();
        }
        outcome.is_ok()
    }

    fn begin_segment(&mut self) {
        self.number += 1;
        self.begun = Instant::now();
        self.lines.clear();
    }
}
