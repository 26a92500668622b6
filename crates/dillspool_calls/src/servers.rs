//! The backend servers of a service, and load balancing among them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, BackendStart};
use dillspool_schema::Name;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::breaker::CircuitState;
use crate::estimators::{LatencyEstimate, PooledLatency};
use crate::policy::CallPolicy;
use crate::request::{CallId, CallOutcome, CallRequest, CallServer};
use crate::server::{SentCall, ServerContext, ServerState};
use crate::snapshot::ServerSnapshot;

/// Combined capacity of the servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CapacityEstimate {
    /// Calls per second that they complete while all slots are in use.
    pub(crate) rate: f64,
    /// Calls that they run concurrently.
    pub(crate) slots: f64,
    /// Calls per slot while all limits are reached.
    pub(crate) calls_per_slot: f64,
}

/// A call in flight at one start of a server.
#[derive(Clone, Debug)]
pub(crate) struct InFlightCall {
    server: Name,
    epoch: u64,
    sent: SentCall,
}

/// The backend servers of a service.
#[derive(Clone, Debug)]
pub(crate) struct ServerSet {
    policy: Arc<CallPolicy>,
    share: f64,
    states: BTreeMap<Name, ServerState>,
    pooled_latency: PooledLatency,
    last_epoch: u64,
    /// The last capacity estimate and its time; `None` after a change that it may not reflect.
    cached_capacity: Option<(CapacityEstimate, Moment)>,
    /// Forgotten calls that may still run, by the time at which they have usually ended.
    forgotten: BTreeMap<(Moment, CallId), InFlightCall>,
    forgotten_until: HashMap<CallId, Moment>,
}

impl ServerSet {
    pub(crate) fn new(policy: Arc<CallPolicy>) -> Self {
        let pooled_latency = PooledLatency::new(policy.assumed_latency);
        Self {
            policy,
            share: 1.0,
            states: BTreeMap::new(),
            pooled_latency,
            last_epoch: 0,
            cached_capacity: None,
            forgotten: BTreeMap::new(),
            forgotten_until: HashMap::new(),
        }
    }

    pub(crate) fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
        self.cached_capacity = None;
    }

    /// Sets the servers that take calls. Returns whether one has left or started again.
    pub(crate) fn set_servers(
        &mut self,
        servers: impl Iterator<Item = CallServer>,
        now: Moment,
    ) -> bool {
        let before: Vec<(Name, u64)> =
            self.present().map(|it| (Name::clone(&it.server.backend.id), it.epoch)).collect();
        for state in self.states.values_mut() {
            state.is_present = false;
        }
        for server in servers {
            self.upsert_server(server, now);
        }
        self.states.retain(|_id, state| state.is_present || state.in_flight > 0);
        self.cached_capacity = None;
        let is_still_present = |(id, epoch): &(Name, u64)| {
            self.states.get(id).is_some_and(|it| it.is_present && it.epoch == *epoch)
        };
        !before.iter().all(is_still_present)
    }

    /// Adds or updates a server; one that has started again gets a new state.
    fn upsert_server(&mut self, server: CallServer, now: Moment) -> &mut ServerState {
        let id = Name::clone(&server.backend.id);
        self.last_epoch += 1;
        let (epoch, policy, mean) =
            (self.last_epoch, &self.policy, self.pooled_latency.read().mean);
        let state = self
            .states
            .entry(id)
            .or_insert_with(|| ServerState::new(server.clone(), epoch, mean, policy, now));
        if BackendStart::are_different(state.server.backend.start, server.backend.start) {
            *state = ServerState::new(server, epoch, mean, policy, now);
        } else {
            state.update(server, mean, policy, now);
        }
        state
    }

    fn context(&self, now: Moment) -> ServerContext {
        let mut present = self.present();
        let all_open = present.all(|state| state.breaker.state(now) == CircuitState::Open);
        let pooled_mean = self.pooled_latency.read().mean;
        ServerContext {
            policy: Arc::clone(&self.policy),
            share: self.share,
            pooled_mean,
            all_open,
            now,
        }
    }

    fn present(&self) -> impl Iterator<Item = &ServerState> {
        self.states.values().filter(|state| state.is_present)
    }

    /// Latency of a call over all servers.
    pub(crate) fn latency(&self) -> LatencyEstimate {
        self.pooled_latency.read()
    }

    /// Whether there is a server that a call may be sent to.
    pub(crate) fn has_server_for(&self, excluded: &[Name]) -> bool {
        self.present().any(|state| !excluded.contains(&state.server.backend.id))
    }

    /// Time until a server that a call may be sent to takes calls; zero if one does now, or if the
    /// circuits of all servers are open.
    pub(crate) fn time_until_available(&self, excluded: &[Name], now: Moment) -> Duration {
        let allowed =
            || self.present().filter(|state| !excluded.contains(&state.server.backend.id));
        if allowed().any(|state| state.breaker.time_until_half_open(now).is_zero())
            || self.context(now).all_open
        {
            return Duration::ZERO;
        }
        allowed().map(|state| state.breaker.time_until_half_open(now)).min().unwrap_or_default()
    }

    pub(crate) fn has_capacity(&self, now: Moment) -> bool {
        let context = self.context(now);
        self.present().any(|state| state.has_capacity(&context))
    }

    /// Combined capacity of the servers, a few milliseconds old at most: visiting all servers for
    /// each call would cost too much.
    pub(crate) fn capacity(&mut self, now: Moment) -> CapacityEstimate {
        if let Some((capacity, at)) = self.cached_capacity
            && now.since(at) < self.policy.recheck
        {
            return capacity;
        }
        let context = self.context(now);
        let (mut rate, mut slots, mut limits) = (0.0, 0.0, 0.0);
        for state in self.states.values_mut().filter(|state| state.is_present) {
            state.refresh(&context);
            rate += state.completion_rate(&context);
            if state.circuit(&context) == CircuitState::Closed {
                slots += state.slots(&context);
                limits += f64::from(state.limit(&context));
            }
        }
        let calls_per_slot = if slots > 0.0 { limits / slots } else { 1.0 };
        let capacity = CapacityEstimate { rate, slots, calls_per_slot };
        self.cached_capacity = Some((capacity, now));
        capacity
    }

    /// Sends a call to the server with the lowest cost of those that have capacity and are
    /// predicted to answer within `time_limit`. A slow server thus gets calls that have time left,
    /// and not those that have waited longest.
    pub(crate) fn send(
        &mut self,
        request: &CallRequest,
        time_limit: Duration,
        random: &mut SmallRng,
        now: Moment,
    ) -> Option<(BackendInstance, InFlightCall)> {
        let context = self.context(now);
        let candidates = self.present().filter(|state| {
            state.has_capacity(&context)
                && !request.excluded.contains(&state.server.backend.id)
                && state.predicted_latency(&context) <= time_limit.as_secs_f64()
        });
        let costs = candidates.map(|state| (self.cost(state, request, &context, random), state));
        let (_cost, chosen) = costs.min_by(|one, other| one.0.total_cmp(&other.0))?;
        let id = Name::clone(&chosen.server.backend.id);
        let state = self.states.get_mut(&id)?;
        let sent = state.start_call(state.circuit(&context) == CircuitState::HalfOpen, &context);
        let call = InFlightCall { server: id, epoch: state.epoch, sent };
        Some((state.server.backend.clone(), call))
    }

    fn cost(
        &self,
        state: &ServerState,
        request: &CallRequest,
        context: &ServerContext,
        random: &mut SmallRng,
    ) -> f64 {
        let policy = &self.policy;
        let load = f64::from(state.in_flight + 1) / f64::from(state.limit(context));
        let is_near = state.server.failure_domain == request.failure_domain;
        let far = if is_near { 1.0 } else { policy.far_factor };
        let failures = 1.0 + policy.failure_factor * state.breaker.failure_rate(context.now);
        let is_risk = state.circuit(context) == CircuitState::HalfOpen && !request.is_idempotent;
        let risk = if is_risk { policy.risk_factor } else { 1.0 };
        let spread = 1.0 + random.random_range(0.0..1.0) * policy.spread;
        load * state.mean_latency() * far * failures * risk * spread
    }

    /// Counts a call that another host sent.
    pub(crate) fn adopt(
        &mut self,
        backend: BackendInstance,
        failure_domain: Name,
        sent_at: Moment,
        now: Moment,
    ) -> Option<InFlightCall> {
        let id = Name::clone(&backend.id);
        if !self.states.contains_key(&id) {
            // The directory may list the server later; until then it is kept for this call.
            let server =
                CallServer { backend, failure_domain, slots: None, max_connections: u32::MAX };
            self.upsert_server(server, now).is_present = false;
        } else if BackendStart::are_different(self.states[&id].server.backend.start, backend.start)
        {
            return None;
        }
        let context = self.context(now);
        let state = self.states.get_mut(&id)?;
        let sent = SentCall { sent_at, ..state.start_call(false, &context) };
        Some(InFlightCall { server: id, epoch: state.epoch, sent })
    }

    /// Stops counting a call as in flight and records its outcome; `None` if it is forgotten.
    pub(crate) fn complete(
        &mut self,
        call: &InFlightCall,
        outcome: Option<(CallOutcome, Duration)>,
        now: Moment,
    ) {
        let elsewhere = match outcome {
            Some((CallOutcome::Failed | CallOutcome::Lost, _took)) => {
                self.failure_rate_elsewhere(&call.server, now)
            }
            _ => None,
        };
        let context = self.context(now);
        let Some(state) = self.states.get_mut(&call.server) else { return };
        if state.epoch != call.epoch {
            return;
        }
        let run_time = outcome.and_then(|(outcome, took)| {
            state.record_outcome(&call.sent, outcome, took, elsewhere, &context)
        });
        state.finish_call(&call.sent, &context);
        if !state.is_present && state.in_flight == 0 {
            self.states.remove(&call.server);
        }
        if let Some(run_time) = run_time {
            self.pooled_latency.record(run_time);
        }
    }

    /// Forgets a call that may still run: its host is gone, or is served by another queue now. It
    /// counts against the limit until it has usually ended, so that the calls of hosts that leave
    /// one after another do not add up to several limits.
    pub(crate) fn forget(&mut self, id: CallId, call: InFlightCall, now: Moment) {
        let LatencyEstimate { mean, deviation } = self.pooled_latency.read();
        let run_time = mean * call.sent.calls_per_slot + self.policy.forgotten_margin * deviation;
        let until = call.sent.sent_at + Duration::from_secs_f64(run_time);
        if until <= now {
            self.complete(&call, None, now);
            return;
        }
        self.forgotten.insert((until, id), call);
        self.forgotten_until.insert(id, until);
    }

    /// Stops counting a forgotten call that is reported again.
    pub(crate) fn remove_forgotten(&mut self, id: CallId, now: Moment) {
        if let Some(until) = self.forgotten_until.remove(&id)
            && let Some(call) = self.forgotten.remove(&(until, id))
        {
            self.complete(&call, None, now);
        }
    }

    /// Stops counting forgotten calls that have usually ended.
    pub(crate) fn expire_forgotten(&mut self, now: Moment) {
        while let Some(entry) = self.forgotten.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((until, id), call) = entry.remove_entry();
            if self.forgotten_until.get(&id) == Some(&until) {
                self.forgotten_until.remove(&id);
            }
            self.complete(&call, None, now);
        }
    }

    /// Mean failure rate of the other servers, if there are any.
    fn failure_rate_elsewhere(&self, id: &Name, now: Moment) -> Option<f64> {
        let others = self.present().filter(|state| state.server.backend.id != *id);
        let (count, total) = others.fold((0.0, 0.0), |(count, total), state| {
            (count + 1.0, total + state.breaker.failure_rate(now))
        });
        (count > 0.0).then(|| total / count)
    }

    pub(crate) fn snapshot(&self, now: Moment) -> Vec<ServerSnapshot> {
        let context = self.context(now);
        let snapshot = |state: &ServerState| ServerSnapshot {
            backend: state.server.backend.clone(),
            limit: state.limit(&context),
            in_flight: state.in_flight,
            mean_latency: Duration::from_secs_f64(state.mean_latency()),
            is_circuit_open: state.breaker.state(now) != CircuitState::Closed,
        };
        self.present().map(snapshot).collect()
    }
}
