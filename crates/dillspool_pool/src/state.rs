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
use crate::engines::{DecodeState, PrefillState, time_at};
use crate::placing::LOOKAHEAD;
use crate::queue::{FairQueue, QueuedRequest};

/// Longest time between two looks at a queue that is not empty.
const LONGEST_NAP: Duration = Duration::from_millis(20);
/// Requests that may wait in one pool.
const QUEUE_LIMIT: usize = 4096;
/// Shortest and longest time after which a refused caller is told to come back.
pub(crate) const RETRY_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(30));
/// Hold time that is assumed before one was observed.
const FIRST_HOLD: Duration = Duration::from_secs(4);

/// What became of a submitted request.
#[derive(Clone, Debug, PartialEq)]
pub enum ReserveOutcome {
    /// It waits; its answer comes from a later pump.
    Queued,
    /// It was answered at once.
    Answered(ReserveAnswer),
}

/// Queue, engines and placements of one pool.
#[derive(Debug)]
pub struct PoolState {
    pub(crate) pool: PoolEntry,
    /// Shared by all pools of a host: the groups are many.
    pub(crate) snapshot: Arc<ConfigSnapshot>,
    pub(crate) prefills: Vec<PrefillState>,
    pub(crate) decodes: BTreeMap<Name, DecodeState>,
    pub(crate) placements: BTreeMap<StreamId, Name>,
    pub(crate) queue: FairQueue,
    pub(crate) released: BTreeMap<StreamId, Instant>,
    pub(crate) mean_hold: Duration,
    pub(crate) service: ClassService,
    draining: bool,
}

impl PoolState {
    /// An empty scheduler for a pool of a configuration.
    pub fn new(pool: &PoolEntry, snapshot: &Arc<ConfigSnapshot>, now: Instant) -> Self {
        let mut state = Self {
            pool: pool.clone(),
            snapshot: Arc::clone(snapshot),
            prefills: Vec::new(),
            decodes: BTreeMap::new(),
            placements: BTreeMap::new(),
            queue: FairQueue::default(),
            released: BTreeMap::new(),
            mean_hold: FIRST_HOLD,
            service: ClassService::new(now),
            draining: false,
        };
        state.apply_config(snapshot, now);
        state
    }

    /// Takes a new configuration over; placements on engines that stay are kept.
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

    /// Marks which backend servers the host list shows as leaving.
    pub fn set_leaving(&mut self, is_leaving: impl Fn(&str) -> bool) {
        for prefill in &mut self.prefills {
            prefill.leaving = is_leaving(&prefill.entry.name);
        }
        for decode in self.decodes.values_mut() {
            decode.leaving = is_leaving(&decode.entry.name);
        }
    }

    /// Refuses all new requests from now on, because this host drains.
    pub fn set_draining(&mut self) {
        self.draining = true;
    }

    /// Requests waiting and slots held.
    pub fn counts(&self) -> (usize, usize) {
        (self.queue.len(), self.placements.len())
    }

    /// Takes a request in; [`PoolState::dispatch`] gives the answers.
    pub fn submit(&mut self, message: ReserveMessage, now: Instant) -> ReserveOutcome {
        let refuse =
            |cause, retry| ReserveOutcome::Answered(refusal(&message.stream, cause, retry));
        if self.draining {
            return refuse(RefuseCause::Draining, RETRY_RANGE.0);
        }
        if self.queue.len() >= QUEUE_LIMIT {
            return refuse(RefuseCause::QueueFull, self.mean_hold);
        }
        let Some(group) = self.snapshot.group(&message.group) else {
            return refuse(RefuseCause::UnknownPool, RETRY_RANGE.1);
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

    /// Share of the pool's time that a request takes: prefill and slot time in one figure.
    fn cost(&self, message: &ReserveMessage) -> Duration {
        let rate: u64 = self.prefills.iter().map(|it| it.entry.prefill_tokens_per_s).sum();
        let slots: u32 = self.decodes.values().map(|it| it.entry.slots).sum();
        let prefill = time_at(message.prompt, rate);
        let step =
            self.decodes.values().next().map_or(Duration::ZERO, |it| it.step_time(it.entry.slots));
        let hold = step * u32::try_from(message.output).unwrap_or(u32::MAX);
        prefill + hold / slots.max(1)
    }

    /// When to pump again if nothing happens before, `None` when nothing waits.
    pub fn next_dispatch(&self, now: Instant) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        let starts = self.prefills.iter().filter_map(|it| it.free_at.checked_sub(LOOKAHEAD));
        let next = starts.filter(|start| *start > now).min();
        let latest = now + LONGEST_NAP;
        Some(next.map_or(latest, |next| next.min(latest)))
    }

    /// Whether a stream waits or is placed.
    pub(crate) fn is_known(&self, stream: &StreamId) -> bool {
        self.placements.contains_key(stream) || self.queue.tag_of(stream).is_some()
    }

    /// Streams placed now.
    pub fn placed_streams(&self) -> impl Iterator<Item = &StreamId> {
        self.placements.keys()
    }
}

pub(crate) fn refusal(stream: &StreamId, cause: RefuseCause, retry: Duration) -> ReserveAnswer {
    let retry = retry.clamp(RETRY_RANGE.0, RETRY_RANGE.1);
    let retry_ms = u32::try_from(retry.as_millis()).unwrap_or(u32::MAX);
    let refusal = ReserveRefusal { cause, retry_ms };
    ReserveAnswer { stream: stream.clone(), grant: None, refusal: Some(refusal) }
}
