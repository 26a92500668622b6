//! Places, queues or rejects the requests of one pool.
//!
//! [`choose`] selects engines, [`wait`] decides whether and how long a request is queued, and
//! [`events`] records the results. This file holds the state that they share.

mod choose;
mod completion;
mod events;
mod wait;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, BackendStart};
use dillspool_schema::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::decode_state::{DecodeState, StreamRecord};
use crate::lifetime::LifetimeModel;
use crate::prefill_state::{PrefillRate, PrefillState};
use crate::queue::WaitQueue;
use crate::request::{
    AdmissionPolicy, EngineCapacity, PlacementDecision, PlacementRejection, PlacementRequest,
    PoolEngine, StreamPlacement, TicketId, WorkClass,
};

/// Minimum number of tokens reserved for an answer.
const MIN_ANSWER_TOKENS: u64 = 500;
/// Time to the first event beyond the prefill itself: calls, transfer of the KV cache and the first
/// token.
const FIRST_TOKEN_OVERHEAD: Duration = Duration::from_millis(40);
/// Maximum prefill wait of a late answer; a longer one would hold decode memory without using it.
const MAX_LATE_PREFILL_WAIT: Duration = Duration::from_millis(250);
/// Retry delay after several engines refused reservations for which they appeared to have memory.
const REFUSED_RETRY_AFTER_MS: std::ops::Range<u64> = 100..400;

/// The planner's view of a pool, for logging.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolSnapshot {
    /// Decode engines that accept requests.
    pub decode_engines: usize,
    /// Prefill engines that accept prompts.
    pub prefill_engines: usize,
    /// Streams on all decode engines.
    pub streams: usize,
    /// Queued requests.
    pub queued: usize,
    /// Wait of the oldest queued request.
    pub longest_wait: Duration,
    /// Forecast rate at which memory is released, in tokens per second.
    pub released_tokens_per_s: f64,
    /// Shortest queue wait of any prefill engine.
    pub min_prefill_wait: Duration,
}

/// The engines that hold work of a request.
#[derive(Clone, Debug)]
struct PlacementRecord {
    decode_engine: Name,
    /// Engine whose queue holds the prompt, or that is prefilling it.
    prefill_engine: Option<Name>,
    /// Engine that completed the prefill.
    prefilled_by: Option<Name>,
}

/// Why a request cannot be placed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlacementBlocker {
    NoEngine,
    /// No engine has enough memory; memory may become free later.
    NoMemory,
    /// The prompt cannot be prefilled in time.
    SlowPrefill,
    /// The answer would most likely not complete before its deadline.
    Deadline,
}

/// Decides on the requests of one pool.
#[derive(Debug)]
pub struct PoolPlanner {
    engine_capacity: EngineCapacity,
    policy: AdmissionPolicy,
    decode_engines: BTreeMap<Name, DecodeState>,
    prefill_engines: BTreeMap<Name, PrefillState>,
    placements: HashMap<TicketId, PlacementRecord>,
    queue: WaitQueue,
    lifetimes: LifetimeModel,
    prefill_rate: PrefillRate,
    /// Moving average of the time between two events of a stream.
    event_gap: Option<Duration>,
    rng: SmallRng,
}

impl PoolPlanner {
    /// Creates a planner without engines; `seed` randomizes the choice among equal engines.
    pub fn new(capacity: EngineCapacity, policy: AdmissionPolicy, seed: u64) -> Self {
        Self {
            engine_capacity: capacity,
            policy,
            decode_engines: BTreeMap::new(),
            prefill_engines: BTreeMap::new(),
            placements: HashMap::new(),
            queue: WaitQueue::default(),
            lifetimes: LifetimeModel::default(),
            prefill_rate: PrefillRate::default(),
            event_gap: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Applies a changed engine capacity.
    pub fn set_engine_capacity(&mut self, capacity: EngineCapacity) {
        self.engine_capacity = capacity;
    }

    /// Replaces the set of engines that accept requests. A restarted engine holds no earlier
    /// streams, and its faults before the restart no longer count.
    pub fn set_engines(&mut self, engines: impl Iterator<Item = PoolEngine>) {
        let (mut decode, mut prefill) = (BTreeMap::new(), BTreeMap::new());
        for engine in engines {
            let PoolEngine { backend, failure_domain, is_prefill, software } = engine;
            let BackendInstance { id, start } = backend;
            if BackendStart::are_different(self.engine_start(&id), start) {
                self.remove_engine(&id);
            }
            if is_prefill {
                let state = self.prefill_engines.remove(&id);
                let mut state = state
                    .unwrap_or_else(|| PrefillState::new(failure_domain, start, software.clone()));
                state.start = start.or(state.start);
                state.software = software;
                prefill.insert(id, state);
            } else {
                let state = self.decode_engines.remove(&id);
                let mut state = state
                    .unwrap_or_else(|| DecodeState::new(failure_domain, start, software.clone()));
                state.start = start.or(state.start);
                state.software = software;
                decode.insert(id, state);
            }
        }
        (self.decode_engines, self.prefill_engines) = (decode, prefill);
    }

    /// The last known start of an engine, if any was reported.
    fn engine_start(&self, engine: &Name) -> Option<BackendStart> {
        let decode = self.decode_engines.get(engine).and_then(|state| state.start);
        decode.or_else(|| self.prefill_engines.get(engine).and_then(|state| state.start))
    }

    /// Removes all state of an engine; its requests lose their placement there.
    fn remove_engine(&mut self, engine: &Name) {
        self.decode_engines.remove(engine);
        self.prefill_engines.remove(engine);
        self.placements.retain(|_ticket, placement| placement.decode_engine != *engine);
        for placement in self.placements.values_mut() {
            placement.prefill_engine.take_if(|prefill| prefill == engine);
            placement.prefilled_by.take_if(|prefiller| prefiller == engine);
        }
    }

    /// Decides on a request; an earlier placement of the same request is released first.
    pub fn decide(
        &mut self,
        ticket: TicketId,
        request: PlacementRequest,
        now: Moment,
    ) -> PlacementDecision {
        self.remove(ticket);
        self.refresh_lifetimes(now);
        let request = self.with_achievable_class(request);
        if request.refusals >= self.policy.most_refusals {
            let retry_after = Duration::from_millis(self.rng.random_range(REFUSED_RETRY_AFTER_MS));
            return PlacementDecision::Reject { cause: PlacementRejection::Refused, retry_after };
        }
        match self.choose(&request, now) {
            Ok(placement) => self.place(ticket, &request, placement, now),
            Err(blocker) => self.queue_or_reject(ticket, request, blocker, now),
        }
    }

    /// Chooses another prefill engine for a request that has decode memory; `None` if its decode
    /// engine should prefill the prompt.
    pub fn choose_prefill(
        &mut self,
        ticket: TicketId,
        request: &PlacementRequest,
        now: Moment,
    ) -> Option<Name> {
        let decode = Name::clone(&self.placements.get(&ticket)?.decode_engine);
        self.dequeue_prefill(ticket);
        let state = self.decode_engines.get(&decode)?;
        let domain = &state.failure_domain;
        let (prefill, wait) = self.shortest_prefill_queue(request, domain, &state.software, now)?;
        if wait > request.objective_left.max(MAX_LATE_PREFILL_WAIT) {
            return None;
        }
        self.enqueue_prefill(ticket, &prefill, request.prompt_tokens, now);
        Some(prefill)
    }

    /// Takes over a placement that was decided elsewhere.
    pub fn adopt(
        &mut self,
        ticket: TicketId,
        request: &PlacementRequest,
        placement: StreamPlacement,
        now: Moment,
    ) {
        self.remove(ticket);
        let decode = Name::clone(&placement.decode_engine);
        self.place(ticket, request, placement, now);
        if let Some(state) = self.decode_engines.get_mut(&decode) {
            // It is not known when the decode engine prefilled the prompt, if it did.
            state.record_prefill_done(ticket);
        }
    }

    /// Decides on queued requests: places those for which an engine is available and rejects those
    /// whose wait has expired.
    pub fn poll(&mut self, now: Moment) -> Vec<(TicketId, PlacementDecision)> {
        let mut decisions = Vec::new();
        self.refresh_lifetimes(now);
        for ticket in self.queue.tickets() {
            let Some(queued) = self.queue.get(ticket).cloned() else { continue };
            let request = queued.request_at(now);
            let decision = match self.choose(&request, now) {
                Ok(placement) => self.place(ticket, &request, placement, now),
                Err(blocker)
                    if now >= queued.expires_at || blocker == PlacementBlocker::Deadline =>
                {
                    self.reject(&queued.request, blocker)
                }
                Err(_blocker) => continue,
            };
            self.queue.remove(ticket);
            decisions.push((ticket, decision));
        }
        decisions
    }

    /// Whether any requests are queued.
    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Removes a request from the queue and from its engines.
    pub fn remove(&mut self, ticket: TicketId) {
        let _stream = self.detach(ticket);
    }

    fn detach(&mut self, ticket: TicketId) -> Option<StreamRecord> {
        self.queue.remove(ticket);
        self.dequeue_prefill(ticket);
        let placement = self.placements.remove(&ticket)?;
        self.decode_engines.get_mut(&placement.decode_engine)?.remove(ticket)
    }

    /// Returns the current view of the pool.
    pub fn snapshot(&self, now: Moment) -> PoolSnapshot {
        let seconds_per_token = self.prefill_rate.seconds_per_token();
        let available = self.prefill_engines.values().filter(|state| !state.breaker.is_open(now));
        PoolSnapshot {
            decode_engines: self
                .decode_engines
                .values()
                .filter(|state| !state.breaker.is_open(now))
                .count(),
            prefill_engines: available.clone().count(),
            streams: self.decode_engines.values().map(|state| state.streams.len()).sum(),
            queued: self.queue.len(),
            longest_wait: self.queue.longest_wait(now),
            released_tokens_per_s: self.released_tokens_per_s(now),
            min_prefill_wait: available
                .map(|state| state.queue_wait(now, seconds_per_token))
                .min()
                .unwrap_or_default(),
        }
    }

    /// Refits the lifetime model once enough answers have completed.
    fn refresh_lifetimes(&mut self, now: Moment) {
        if !self.lifetimes.is_stale() {
            return;
        }
        let streams = self.decode_engines.values().flat_map(|state| &state.streams);
        let running = streams.filter(|stream| stream.started_at.is_some());
        let running: Vec<_> =
            running.map(|stream| (stream.estimated_tokens, stream.age(now))).collect();
        self.lifetimes.refresh(&running);
    }

    fn place(
        &mut self,
        ticket: TicketId,
        request: &PlacementRequest,
        placement: StreamPlacement,
        now: Moment,
    ) -> PlacementDecision {
        let mut stream = self.stream_record(ticket, request);
        stream.reserve_tokens = placement.reserve_tokens;
        stream.local_prefill_at = placement.prefill_engine.is_none().then_some(now);
        if let Some(state) = self.decode_engines.get_mut(&placement.decode_engine) {
            state.add(stream);
        }
        let decode = Name::clone(&placement.decode_engine);
        self.placements.insert(
            ticket,
            PlacementRecord { decode_engine: decode, prefill_engine: None, prefilled_by: None },
        );
        if let Some(prefill) = &placement.prefill_engine {
            self.enqueue_prefill(ticket, prefill, request.prompt_tokens, now);
        }
        PlacementDecision::Place(placement)
    }

    fn enqueue_prefill(&mut self, ticket: TicketId, engine: &Name, tokens: u64, now: Moment) {
        if let Some(state) = self.prefill_engines.get_mut(engine) {
            state.add(ticket, tokens, now);
        }
        if let Some(placement) = self.placements.get_mut(&ticket) {
            placement.prefill_engine = Some(Name::clone(engine));
        }
    }

    fn dequeue_prefill(&mut self, ticket: TicketId) {
        let engine =
            self.placements.get_mut(&ticket).and_then(|placement| placement.prefill_engine.take());
        if let Some(state) = engine.and_then(|engine| self.prefill_engines.get_mut(&engine)) {
            let _tokens = state.remove(ticket);
        }
    }

    /// The stream that a request would become on a decode engine.
    fn stream_record(&self, ticket: TicketId, request: &PlacementRequest) -> StreamRecord {
        StreamRecord {
            ticket,
            prompt_tokens: request.prompt_tokens,
            estimated_tokens: request.estimated_tokens,
            max_tokens: request.max_tokens,
            reserve_tokens: self.reservation_tokens(request),
            started_at: None,
            local_prefill_at: None,
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "tokens are far below 2^52 and not negative"
    )]
    fn reservation_tokens(&self, request: &PlacementRequest) -> u64 {
        let typical = self.lifetimes.typical_tokens(request.estimated_tokens);
        let estimate = (typical * self.policy.reserved_part) as u64;
        request.prompt_tokens + estimate.max(MIN_ANSWER_TOKENS).min(request.max_tokens.max(1))
    }

    /// Downgrades a request that cannot meet its objective even without queueing: rejecting it for
    /// that would gain its caller nothing.
    fn with_achievable_class(&self, mut request: PlacementRequest) -> PlacementRequest {
        if request.class == WorkClass::InTime && !self.is_prefill_in_time(&request, Duration::ZERO)
        {
            request.class = WorkClass::Late;
        }
        request
    }
}

fn is_in_time(request: &PlacementRequest) -> bool {
    request.class == WorkClass::InTime
}
