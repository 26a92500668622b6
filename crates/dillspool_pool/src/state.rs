//! Queue, engines and placements of one pool.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dillspool_config::ConfigSnapshot;
use dillspool_schema::configuration::{BackendRole, PoolEntry};
use dillspool_schema::messages::{RefuseCause, ReserveAnswer, ReserveMessage, ReserveRefusal};
use dillspool_schema::{Name, StreamId};
use tokio::time::Instant;

use crate::class_service::ClassService;
use crate::dispatch::GRANT_LOOKAHEAD;
use crate::engines::{DecodeState, PrefillState, duration_at_rate};
use crate::queue::{FairQueue, QueuedRequest};

/// Longest time between two dispatches of a non-empty queue.
const MAX_DISPATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of queued requests in a pool.
const MAX_QUEUED: usize = 4096;
/// Shortest and longest retry delay in a refusal.
pub(crate) const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(30));
/// Initial estimate of the slot time, used before the first observation.
const INITIAL_SLOT_TIME: Duration = Duration::from_secs(4);

/// Outcome of a submitted request.
#[derive(Clone, Debug, PartialEq)]
pub enum ReserveOutcome {
    /// Queued; a later dispatch answers it.
    Queued,
    /// Answered immediately.
    Answered(ReserveAnswer),
}

/// Queue, engines and placements of one pool.
#[derive(Debug)]
pub struct PoolState {
    pub(crate) pool: PoolEntry,
    /// Shared by all pools of a host, because there are many groups.
    pub(crate) snapshot: Arc<ConfigSnapshot>,
    pub(crate) prefills: Vec<PrefillState>,
    pub(crate) decodes: BTreeMap<Name, DecodeState>,
    pub(crate) placements: BTreeMap<StreamId, Name>,
    pub(crate) queue: FairQueue,
    pub(crate) released: BTreeMap<StreamId, Instant>,
    pub(crate) mean_slot_time: Duration,
    pub(crate) service: ClassService,
    draining: bool,
}

impl PoolState {
    /// Creates the state of a pool without requests.
    pub fn new(pool: &PoolEntry, snapshot: &Arc<ConfigSnapshot>, now: Instant) -> Self {
        let mut state = Self {
            pool: pool.clone(),
            snapshot: Arc::clone(snapshot),
            prefills: Vec::new(),
            decodes: BTreeMap::new(),
            placements: BTreeMap::new(),
            queue: FairQueue::default(),
            released: BTreeMap::new(),
            mean_slot_time: INITIAL_SLOT_TIME,
            service: ClassService::new(now),
            draining: false,
        };
        state.apply_config(snapshot, now);
        state
    }

    /// Applies a new configuration; keeps placements on engines that remain.
    pub fn apply_config(&mut self, snapshot: &Arc<ConfigSnapshot>, now: Instant) {
        if let Some(pool) = snapshot.pool(&self.pool.name) {
            self.pool = pool.clone();
        }
        self.snapshot = Arc::clone(snapshot);
        let mut old: BTreeMap<Name, PrefillState> = std::mem::take(&mut self.prefills)
            .into_iter()
            .map(|prefill| (Name::clone(&prefill.entry.name), prefill))
            .collect();
        for entry in snapshot.backends(&self.pool.name, BackendRole::Prefill) {
            let mut state = match old.remove(&entry.name) {
                Some(state) => state,
                None => PrefillState::new(entry.clone(), now),
            };
            state.entry = entry.clone();
            self.prefills.push(state);
        }
        let mut old = std::mem::take(&mut self.decodes);
        for entry in snapshot.backends(&self.pool.name, BackendRole::Decode) {
            let mut state = match old.remove(&entry.name) {
                Some(state) => state,
                None => DecodeState::new(entry.clone(), now),
            };
            state.entry = entry.clone();
            self.decodes.insert(Name::clone(&entry.name), state);
        }
        let decodes = &self.decodes;
        self.placements.retain(|_, decode| decodes.contains_key(decode));
    }

    /// Marks the backend servers that the host list shows as leaving.
    pub fn set_leaving(&mut self, is_leaving: impl Fn(&str) -> bool) {
        for prefill in &mut self.prefills {
            prefill.leaving = is_leaving(&prefill.entry.name);
        }
        for decode in self.decodes.values_mut() {
            decode.leaving = is_leaving(&decode.entry.name);
        }
    }

    /// Refuses all new requests from now on, because this host is draining.
    pub fn set_draining(&mut self) {
        self.draining = true;
    }

    /// Returns the number of queued requests and of slots in use.
    pub fn counts(&self) -> (usize, usize) {
        (self.queue.len(), self.placements.len())
    }

    /// Queues or refuses a request; [`PoolState::dispatch`] returns the answers to queued requests.
    pub fn submit(&mut self, message: ReserveMessage, now: Instant) -> ReserveOutcome {
        let refuse =
            |cause, retry| ReserveOutcome::Answered(refusal(&message.stream, cause, retry));
        if self.draining {
            return refuse(RefuseCause::Draining, RETRY_AFTER_RANGE.0);
        }
        if self.queue.len() >= MAX_QUEUED {
            return refuse(RefuseCause::QueueFull, self.mean_slot_time);
        }
        let Some(group) = self.snapshot.group(&message.group) else {
            return refuse(RefuseCause::UnknownPool, RETRY_AFTER_RANGE.1);
        };
        let (share, priority) = (group.share, group.priority);
        let request = QueuedRequest {
            first_token_deadline: now + Duration::from_millis(message.wait_ms.into()),
            cost: self.cost(&message),
            per_token: Duration::from_millis(group.per_token_ms.into()),
            priority,
            message,
        };
        self.queue.push(request, share, priority);
        ReserveOutcome::Queued
    }

    /// Pool time that a request takes, combining prefill and slot time.
    fn cost(&self, message: &ReserveMessage) -> Duration {
        let rate: u64 = self.prefills.iter().map(|it| it.entry.prefill_tokens_per_s).sum();
        let slots: u32 = self.decodes.values().map(|it| it.entry.slots).sum();
        let prefill = duration_at_rate(message.prompt, rate);
        let step =
            self.decodes.values().next().map_or(Duration::ZERO, |it| it.step_time(it.entry.slots));
        let slot_time = step * u32::try_from(message.output).unwrap_or(u32::MAX);
        prefill + slot_time / slots.max(1)
    }

    /// When to dispatch next if nothing else happens; `None` if the queue is empty.
    pub fn next_dispatch(&self, now: Instant) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        let starts =
            self.prefills.iter().filter_map(|it| it.available_at.checked_sub(GRANT_LOOKAHEAD));
        let next = starts.filter(|start| *start > now).min();
        let latest = now + MAX_DISPATCH_INTERVAL;
        Some(next.map_or(latest, |next| next.min(latest)))
    }

    /// Whether a stream is queued or placed.
    pub(crate) fn is_known(&self, stream: &StreamId) -> bool {
        self.placements.contains_key(stream) || self.queue.tag_of(stream).is_some()
    }

    /// Iterates over the streams that are placed.
    pub fn placed_streams(&self) -> impl Iterator<Item = &StreamId> {
        self.placements.keys()
    }
}

pub(crate) fn refusal(stream: &StreamId, cause: RefuseCause, retry: Duration) -> ReserveAnswer {
    let retry = retry.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
    let retry_ms = u32::try_from(retry.as_millis()).unwrap_or(u32::MAX);
    let refusal = ReserveRefusal { cause, retry_ms };
    ReserveAnswer { stream: stream.clone(), grant: None, refusal: Some(refusal) }
}
