//! The backend servers of a service, and the choice among them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, BackendStart};
use dillspool_schema::Name;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::block::ServerGate;
use crate::meter::{LatencyMean, PooledLatency};
use crate::policy::CallPolicy;
use crate::reading::ServerSnapshot;
use crate::request::{CallId, CallOutcome, CallRequest, CallServer};
use crate::server::{SentCall, ServerState, ServerTerms};

/// What the servers can do together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerSurvey {
    /// Calls a second that they complete when all slots are in use.
    pub(crate) rate: f64,
    /// Calls that they run at once.
    pub(crate) slots: f64,
    /// Calls for each slot when all limits are in use.
    pub(crate) crowding: f64,
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
    pooled: PooledLatency,
    epochs: u64,
    /// The last survey and when it was made; none after a change that it may not show.
    surveyed: Option<(ServerSurvey, Moment)>,
    /// Forgotten calls, by when they have usually ended.
    held: BTreeMap<(Moment, CallId), InFlightCall>,
    held_until: HashMap<CallId, Moment>,
}

impl ServerSet {
    pub(crate) fn new(policy: Arc<CallPolicy>) -> Self {
        let pooled = PooledLatency::new(policy.assumed_latency);
        Self {
            policy,
            share: 1.0,
            states: BTreeMap::new(),
            pooled,
            epochs: 0,
            surveyed: None,
            held: BTreeMap::new(),
            held_until: HashMap::new(),
        }
    }

    pub(crate) fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
        self.surveyed = None;
    }

    /// Sets the servers that take calls; whether one has left or started again.
    pub(crate) fn set(&mut self, servers: impl Iterator<Item = CallServer>, now: Moment) -> bool {
        let before: Vec<(Name, u64)> =
            self.present().map(|it| (Name::clone(&it.server.backend.id), it.epoch)).collect();
        for state in self.states.values_mut() {
            state.is_present = false;
        }
        for server in servers {
            self.enter_server(server, now);
        }
        self.states.retain(|_id, state| state.is_present || state.in_flight > 0);
        self.surveyed = None;
        let is_there = |(id, epoch): &(Name, u64)| {
            self.states.get(id).is_some_and(|it| it.is_present && it.epoch == *epoch)
        };
        !before.iter().all(is_there)
    }

    /// The state of a server; one that has started again gets a new state.
    fn enter_server(&mut self, server: CallServer, now: Moment) -> &mut ServerState {
        let id = Name::clone(&server.backend.id);
        self.epochs += 1;
        let (epochs, policy, mean) = (self.epochs, &self.policy, self.pooled.read().mean);
        let state = self
            .states
            .entry(id)
            .or_insert_with(|| ServerState::new(server.clone(), epochs, mean, policy, now));
        if BackendStart::are_different(state.server.backend.start, server.backend.start) {
            *state = ServerState::new(server, epochs, mean, policy, now);
        } else {
            state.update(server, mean, policy, now);
        }
        state
    }

    fn terms(&self, now: Moment) -> ServerTerms {
        let mut present = self.present();
        let all_rest = present.all(|state| state.block.gate(now) == ServerGate::Resting);
        let pooled = self.pooled.read().mean;
        ServerTerms { policy: Arc::clone(&self.policy), share: self.share, pooled, all_rest, now }
    }

    fn present(&self) -> impl Iterator<Item = &ServerState> {
        self.states.values().filter(|state| state.is_present)
    }

    /// Latency of a call over all servers.
    pub(crate) fn latency(&self) -> LatencyMean {
        self.pooled.read()
    }

    /// Whether a call may go to any server.
    pub(crate) fn has_any(&self, excluded: &[Name]) -> bool {
        self.present().any(|state| !excluded.contains(&state.server.backend.id))
    }

    /// Time until a server that a call may go to takes calls; zero if one does, or if all servers rest.
    pub(crate) fn opens_in(&self, excluded: &[Name], now: Moment) -> Duration {
        let open = || self.present().filter(|state| !excluded.contains(&state.server.backend.id));
        if open().any(|state| state.block.opens_in(now).is_zero()) || self.terms(now).all_rest {
            return Duration::ZERO;
        }
        open().map(|state| state.block.opens_in(now)).min().unwrap_or_default()
    }

    pub(crate) fn has_place(&self, now: Moment) -> bool {
        let terms = self.terms(now);
        self.present().any(|state| state.has_place(&terms))
    }

    /// What the servers can do together, as it was a few milliseconds ago at the earliest: a look at all servers
    /// for each call would cost too much.
    pub(crate) fn survey(&mut self, now: Moment) -> ServerSurvey {
        if let Some((survey, at)) = self.surveyed
            && now.since(at) < self.policy.recheck
        {
            return survey;
        }
        let terms = self.terms(now);
        let (mut rate, mut slots, mut limits) = (0.0, 0.0, 0.0);
        for state in self.states.values_mut().filter(|state| state.is_present) {
            state.refresh(&terms);
            rate += state.rate(&terms);
            if state.gate(&terms) == ServerGate::Open {
                slots += state.slots(&terms);
                limits += f64::from(state.limit(&terms));
            }
        }
        let crowding = if slots > 0.0 { limits / slots } else { 1.0 };
        let survey = ServerSurvey { rate, slots, crowding };
        self.surveyed = Some((survey, now));
        survey
    }

    /// Sends a call to the server with the earliest predicted end, if one has a place and is predicted to answer
    /// within `limit`. A slow server so gets calls that have time, and not those that wait longest.
    pub(crate) fn send(
        &mut self,
        request: &CallRequest,
        limit: Duration,
        random: &mut SmallRng,
        now: Moment,
    ) -> Option<(BackendInstance, InFlightCall)> {
        let terms = self.terms(now);
        let open = self.present().filter(|state| {
            state.has_place(&terms)
                && !request.excluded.contains(&state.server.backend.id)
                && state.next_run(&terms) <= limit.as_secs_f64()
        });
        let costs = open.map(|state| (self.cost(state, request, &terms, random), state));
        let (_cost, chosen) = costs.min_by(|one, other| one.0.total_cmp(&other.0))?;
        let id = Name::clone(&chosen.server.backend.id);
        let state = self.states.get_mut(&id)?;
        let sent = state.enter(state.gate(&terms) == ServerGate::Probing, &terms);
        let call = InFlightCall { server: id, epoch: state.epoch, sent };
        Some((state.server.backend.clone(), call))
    }

    fn cost(
        &self,
        state: &ServerState,
        request: &CallRequest,
        terms: &ServerTerms,
        random: &mut SmallRng,
    ) -> f64 {
        let policy = &self.policy;
        let load = f64::from(state.in_flight + 1) / f64::from(state.limit(terms));
        let is_near = state.server.failure_domain == request.failure_domain;
        let far = if is_near { 1.0 } else { policy.far_factor };
        let failures = 1.0 + policy.failure_factor * state.block.failures(terms.now);
        let is_risk = state.gate(terms) == ServerGate::Probing && !request.is_idempotent;
        let risk = if is_risk { policy.risk_factor } else { 1.0 };
        let spread = 1.0 + random.random_range(0.0..1.0) * policy.spread;
        load * state.mean() * far * failures * risk * spread
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
            // The directory may name it later; until then it is kept for this call.
            let server =
                CallServer { backend, failure_domain, slots: None, max_connections: u32::MAX };
            self.enter_server(server, now).is_present = false;
        } else if BackendStart::are_different(self.states[&id].server.backend.start, backend.start)
        {
            return None;
        }
        let terms = self.terms(now);
        let state = self.states.get_mut(&id)?;
        let sent = SentCall { at: sent_at, ..state.enter(false, &terms) };
        Some(InFlightCall { server: id, epoch: state.epoch, sent })
    }

    /// Notes how a call ended, or that it is forgotten.
    pub(crate) fn end(
        &mut self,
        call: &InFlightCall,
        end: Option<(CallOutcome, Duration)>,
        now: Moment,
    ) {
        let elsewhere = match end {
            Some((CallOutcome::Failed | CallOutcome::Lost, _took)) => {
                self.failures_elsewhere(&call.server, now)
            }
            _ => None,
        };
        let terms = self.terms(now);
        let Some(state) = self.states.get_mut(&call.server) else { return };
        if state.epoch != call.epoch {
            return;
        }
        let ran =
            end.and_then(|(end, took)| state.note_end(&call.sent, end, took, elsewhere, &terms));
        state.leave(&call.sent, &terms);
        if !state.is_present && state.in_flight == 0 {
            self.states.remove(&call.server);
        }
        if let Some(ran) = ran {
            self.pooled.note(ran);
        }
    }

    /// Forgets a call that may still run: its host is gone, or is served by another queue now. Its place is free
    /// once it has usually ended, so that hosts that leave one after another do not add up to several limits.
    pub(crate) fn hold(&mut self, id: CallId, call: InFlightCall, now: Moment) {
        let LatencyMean { mean, deviation } = self.pooled.read();
        let run = mean * call.sent.crowding + self.policy.forgotten_margin * deviation;
        let until = call.sent.at + Duration::from_secs_f64(run);
        if until <= now {
            self.end(&call, None, now);
            return;
        }
        self.held.insert((until, id), call);
        self.held_until.insert(id, until);
    }

    /// Takes a call back that was forgotten, if it is reported again.
    pub(crate) fn take_back(&mut self, id: CallId, now: Moment) {
        if let Some(until) = self.held_until.remove(&id)
            && let Some(call) = self.held.remove(&(until, id))
        {
            self.end(&call, None, now);
        }
    }

    /// Frees the places of forgotten calls that have usually ended.
    pub(crate) fn free_held(&mut self, now: Moment) {
        while let Some(entry) = self.held.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((until, id), call) = entry.remove_entry();
            if self.held_until.get(&id) == Some(&until) {
                self.held_until.remove(&id);
            }
            self.end(&call, None, now);
        }
    }

    /// The part of calls that fail at the other servers, if there are any.
    fn failures_elsewhere(&self, id: &Name, now: Moment) -> Option<f64> {
        let others = self.present().filter(|state| state.server.backend.id != *id);
        let (count, total) = others.fold((0.0, 0.0), |(count, total), state| {
            (count + 1.0, total + state.block.failures(now))
        });
        (count > 0.0).then(|| total / count)
    }

    pub(crate) fn read(&self, now: Moment) -> Vec<ServerSnapshot> {
        let terms = self.terms(now);
        let reading = |state: &ServerState| ServerSnapshot {
            backend: state.server.backend.clone(),
            limit: state.limit(&terms),
            in_flight: state.in_flight,
            mean_latency: Duration::from_secs_f64(state.mean()),
            is_circuit_open: state.block.gate(now) != ServerGate::Open,
        };
        self.present().map(reading).collect()
    }
}
