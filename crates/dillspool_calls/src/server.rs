//! What is known of one backend server.

use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;

use crate::block::{BlockState, ServerGate};
use crate::limit::PlaceLimit;
use crate::meter::{DecayedSum, ServerLatency};
use crate::policy::CallPolicy;
use crate::request::{CallOutcome, CallServer};

/// What all servers of a queue share.
#[derive(Clone, Debug)]
pub(crate) struct ServerTerms {
    pub(crate) policy: Arc<CallPolicy>,
    /// Part of the limits that this queue may use.
    pub(crate) share: f64,
    /// Mean latency of all servers, in seconds.
    pub(crate) pooled: f64,
    /// Whether all servers rest; then each is tried.
    pub(crate) all_rest: bool,
    pub(crate) now: Moment,
}

/// A call that was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentCall {
    pub(crate) at: Moment,
    /// Calls for each slot of the server when it was sent, itself included; at least 1.
    pub(crate) crowding: f64,
    /// Whether the server's limit was in use then.
    pub(crate) was_full: bool,
    /// Whether it tries a server that rested.
    pub(crate) is_probe: bool,
}

/// One start of a backend server.
#[derive(Clone, Debug)]
pub(crate) struct ServerState {
    pub(crate) server: CallServer,
    /// Tells this state from a former one of the same id.
    pub(crate) epoch: u64,
    /// Whether it takes calls; else it is kept for those in flight.
    pub(crate) is_present: bool,
    pub(crate) in_flight: u32,
    has_probe: bool,
    pub(crate) block: BlockState,
    limit: PlaceLimit,
    latency: ServerLatency,
    /// Mean time in which it runs a call, in seconds, as it was computed last.
    mean: f64,
    /// Calls that may be in flight beyond its slots, likewise.
    extra: f64,
    /// Calls that were completed while no slot was free, and that time in seconds.
    completed: DecayedSum,
    busy: DecayedSum,
    busy_since: Option<Moment>,
}

impl ServerState {
    pub(crate) fn new(
        server: CallServer,
        epoch: u64,
        mean: f64,
        policy: &CallPolicy,
        now: Moment,
    ) -> Self {
        let limit = PlaceLimit::new(server.slots, policy, now);
        Self {
            extra: limit.extra(server.slots, mean, policy),
            limit,
            server,
            epoch,
            is_present: true,
            in_flight: 0,
            has_probe: false,
            block: BlockState::default(),
            latency: ServerLatency::default(),
            mean,
            completed: DecayedSum::default(),
            busy: DecayedSum::default(),
            busy_since: None,
        }
    }

    /// Takes over what the directory tells of it now.
    pub(crate) fn update(
        &mut self,
        server: CallServer,
        pooled: f64,
        policy: &CallPolicy,
        now: Moment,
    ) {
        if server.slots.is_none() != self.server.slots.is_none() {
            self.limit = PlaceLimit::new(server.slots, policy, now);
        }
        self.extra = self.limit.extra(server.slots, pooled, policy);
        self.server = server;
        self.is_present = true;
    }

    /// Calls that may be in flight.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "limits are small")]
    pub(crate) fn limit(&self, terms: &ServerTerms) -> u32 {
        let limit = self.limit.read(self.server.slots, self.extra, &terms.policy, terms.now);
        let limit = limit.min(f64::from(self.server.max_connections)) * terms.share;
        (limit as u32).max(1).min(self.server.max_connections)
    }

    /// Calls that it runs at once of those that may be in flight.
    pub(crate) fn slots(&self, terms: &ServerTerms) -> f64 {
        self.limit.slots(self.server.slots).min(f64::from(self.limit(terms)))
    }

    pub(crate) fn gate(&self, terms: &ServerTerms) -> ServerGate {
        match self.block.gate(terms.now) {
            ServerGate::Resting if terms.all_rest => ServerGate::Probing,
            gate => gate,
        }
    }

    /// Whether it may get one more call.
    pub(crate) fn has_place(&self, terms: &ServerTerms) -> bool {
        self.is_present
            && match self.gate(terms) {
                ServerGate::Open => self.in_flight < self.limit(terms),
                ServerGate::Probing => !self.has_probe && self.in_flight < self.limit(terms),
                ServerGate::Resting => false,
            }
    }

    /// Mean time in which it runs a call, in seconds.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Computes anew what changes with time and the other servers.
    pub(crate) fn refresh(&mut self, terms: &ServerTerms) {
        let ServerTerms { policy, pooled, now, .. } = terms;
        self.mean = self.latency.mean(*pooled, policy.latency_prior, policy.latency_memory, *now);
        self.extra = self.limit.extra(self.server.slots, *pooled, policy);
    }

    /// Time in which it is predicted to answer one more call, in seconds.
    pub(crate) fn next_run(&self, terms: &ServerTerms) -> f64 {
        self.mean * (f64::from(self.in_flight + 1) / self.slots(terms)).max(1.0)
    }

    /// Calls a second that it completes when all its slots are in use.
    pub(crate) fn rate(&self, terms: &ServerTerms) -> f64 {
        let (memory, prior) = (terms.policy.rate_memory, terms.policy.rate_prior.as_secs_f64());
        let mean = self.mean;
        match self.gate(terms) {
            ServerGate::Resting => 0.0,
            ServerGate::Probing => 1.0 / mean,
            ServerGate::Open => {
                let assumed = self.slots(terms) / mean;
                let open =
                    self.busy_since.map_or(0.0, |since| terms.now.since(since).as_secs_f64());
                let busy = self.busy.read(memory, terms.now) + open;
                let completed = self.completed.read(memory, terms.now);
                (completed + assumed * prior) / (busy + prior)
            }
        }
    }

    /// Notes that a call is sent to it; `is_probe` if that is to try it after a rest.
    pub(crate) fn enter(&mut self, is_probe: bool, terms: &ServerTerms) -> SentCall {
        self.has_probe |= is_probe;
        self.in_flight += 1;
        let (slots, limit) = (self.slots(terms), self.limit(terms));
        self.note_busy(slots, terms);
        let crowding = (f64::from(self.in_flight) / slots).max(1.0);
        SentCall { at: terms.now, crowding, was_full: self.in_flight >= limit, is_probe }
    }

    /// Notes that a call is no longer in flight.
    pub(crate) fn leave(&mut self, sent: &SentCall, terms: &ServerTerms) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.has_probe &= !sent.is_probe;
        let slots = self.slots(terms);
        self.note_busy(slots, terms);
    }

    /// Counts the time in which no slot was free.
    fn note_busy(&mut self, slots: f64, terms: &ServerTerms) {
        if let Some(since) = self.busy_since.take() {
            let span = terms.now.since(since).as_secs_f64();
            self.busy.add(span, terms.policy.rate_memory, terms.now);
        }
        self.busy_since = (f64::from(self.in_flight) >= slots).then_some(terms.now);
    }

    /// Notes how a call ended that is still counted as in flight; `elsewhere` is the part of calls that fail at
    /// the other servers, if there are any. Returns the time that it ran where that is known, in seconds.
    pub(crate) fn note_end(
        &mut self,
        sent: &SentCall,
        end: CallOutcome,
        took: Duration,
        elsewhere: Option<f64>,
        terms: &ServerTerms,
    ) -> Option<f64> {
        let (policy, now) = (&terms.policy, terms.now);
        if matches!(end, CallOutcome::Answered | CallOutcome::Failed) && self.busy_since.is_some() {
            self.completed.add(1.0, policy.rate_memory, now);
        }
        match end {
            CallOutcome::Answered => {
                let ran = took.as_secs_f64() / sent.crowding;
                self.latency.note(ran, policy.latency_memory, now);
                self.block.note_answered(sent.at, now);
                let most = f64::from(self.server.max_connections);
                self.refresh(terms);
                self.limit.note_answered(self.mean, sent.was_full, most, policy, now);
                return Some(ran);
            }
            CallOutcome::Failed => {
                let excess = self.block.failures(now) - elsewhere.unwrap_or(1.0);
                self.block.note_failed(sent.at, excess, policy, now);
            }
            CallOutcome::NotRun => {
                self.limit.note_refused(self.mean, policy, now);
                self.block.note_refused(sent.at, policy, now);
            }
            CallOutcome::NotSent => self.block.note_unreachable(sent.at, policy, now),
            CallOutcome::Lost => {
                let elsewhere = elsewhere.unwrap_or(0.0);
                self.block.note_lost(sent.at, elsewhere, policy, now);
                // A server that reports its slots and gets no more than these loses calls for another reason than
                // load, and a lower limit would only take capacity.
                let is_learned = self.server.slots.is_none();
                if is_learned && self.block.failures(now) > policy.cut_factor * elsewhere {
                    self.limit.note_refused(self.mean, policy, now);
                }
            }
            CallOutcome::Abandoned => {}
        }
        None
    }
}
