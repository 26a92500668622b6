//! State of one backend server.

use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;

use crate::breaker::{CircuitBreaker, CircuitState};
use crate::estimators::{DecayedSum, ServerLatency};
use crate::limit::ConcurrencyLimit;
use crate::policy::CallPolicy;
use crate::request::{CallOutcome, CallServer};

/// Inputs that all servers of a queue share.
#[derive(Clone, Debug)]
pub(crate) struct ServerContext {
    pub(crate) policy: Arc<CallPolicy>,
    /// Fraction of the limits that this queue may use.
    pub(crate) share: f64,
    /// Mean latency over all servers, in seconds.
    pub(crate) pooled_mean: f64,
    /// Whether the circuits of all servers are open; each of them is then treated as half-open.
    pub(crate) all_open: bool,
    pub(crate) now: Moment,
}

/// A call that was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentCall {
    pub(crate) sent_at: Moment,
    /// Calls per slot of the server when it was sent, itself included; at least 1.
    pub(crate) calls_per_slot: f64,
    /// Whether the server was at its limit with this call.
    pub(crate) was_at_limit: bool,
    /// Whether it probes a server with a half-open circuit.
    pub(crate) is_probe: bool,
}

/// One start of a backend server.
#[derive(Clone, Debug)]
pub(crate) struct ServerState {
    pub(crate) server: CallServer,
    /// Distinguishes this state from earlier ones with the same id.
    pub(crate) epoch: u64,
    /// Whether it takes calls; otherwise it is kept for the calls in flight.
    pub(crate) is_present: bool,
    pub(crate) in_flight: u32,
    has_probe: bool,
    pub(crate) breaker: CircuitBreaker,
    limit: ConcurrencyLimit,
    latency: ServerLatency,
    /// Mean time that it takes to run a call, in seconds, as of the last refresh.
    mean_latency: f64,
    /// Calls that may be in flight beyond its slots, as of the last refresh.
    extra: f64,
    /// Calls that were completed while no slot was free.
    completed: DecayedSum,
    /// Time in which no slot was free, in seconds.
    busy_s: DecayedSum,
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
        let limit = ConcurrencyLimit::new(server.slots, policy, now);
        Self {
            extra: limit.extra(server.slots, mean, policy),
            limit,
            server,
            epoch,
            is_present: true,
            in_flight: 0,
            has_probe: false,
            breaker: CircuitBreaker::default(),
            latency: ServerLatency::default(),
            mean_latency: mean,
            completed: DecayedSum::default(),
            busy_s: DecayedSum::default(),
            busy_since: None,
        }
    }

    /// Applies a newer entry of the directory.
    pub(crate) fn update(
        &mut self,
        server: CallServer,
        pooled_mean: f64,
        policy: &CallPolicy,
        now: Moment,
    ) {
        if server.slots.is_none() != self.server.slots.is_none() {
            self.limit = ConcurrencyLimit::new(server.slots, policy, now);
        }
        self.extra = self.limit.extra(server.slots, pooled_mean, policy);
        self.server = server;
        self.is_present = true;
    }

    /// Calls that may be in flight.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "limits are small")]
    pub(crate) fn limit(&self, context: &ServerContext) -> u32 {
        let limit = self.limit.current(self.server.slots, self.extra, &context.policy, context.now);
        let limit = limit.min(f64::from(self.server.max_connections)) * context.share;
        (limit as u32).max(1).min(self.server.max_connections)
    }

    /// Calls that it runs concurrently, of those that may be in flight.
    pub(crate) fn slots(&self, context: &ServerContext) -> f64 {
        self.limit.slots(self.server.slots).min(f64::from(self.limit(context)))
    }

    pub(crate) fn circuit(&self, context: &ServerContext) -> CircuitState {
        match self.breaker.state(context.now) {
            CircuitState::Open if context.all_open => CircuitState::HalfOpen,
            state => state,
        }
    }

    /// Whether it may get one more call.
    pub(crate) fn has_capacity(&self, context: &ServerContext) -> bool {
        self.is_present
            && match self.circuit(context) {
                CircuitState::Closed => self.in_flight < self.limit(context),
                CircuitState::HalfOpen => !self.has_probe && self.in_flight < self.limit(context),
                CircuitState::Open => false,
            }
    }

    /// Mean time that it takes to run a call, in seconds.
    pub(crate) fn mean_latency(&self) -> f64 {
        self.mean_latency
    }

    /// Recomputes what changes with time and with the other servers.
    pub(crate) fn refresh(&mut self, context: &ServerContext) {
        let ServerContext { policy, pooled_mean, now, .. } = context;
        self.mean_latency =
            self.latency.mean(*pooled_mean, policy.latency_prior, policy.latency_memory, *now);
        self.extra = self.limit.extra(self.server.slots, *pooled_mean, policy);
    }

    /// Predicted time to answer one more call, in seconds.
    pub(crate) fn predicted_latency(&self, context: &ServerContext) -> f64 {
        self.mean_latency * (f64::from(self.in_flight + 1) / self.slots(context)).max(1.0)
    }

    /// Calls per second that it completes while all its slots are in use.
    pub(crate) fn completion_rate(&self, context: &ServerContext) -> f64 {
        let (memory, prior) = (context.policy.rate_memory, context.policy.rate_prior.as_secs_f64());
        let mean = self.mean_latency;
        match self.circuit(context) {
            CircuitState::Open => 0.0,
            CircuitState::HalfOpen => 1.0 / mean,
            CircuitState::Closed => {
                let expected = self.slots(context) / mean;
                let current =
                    self.busy_since.map_or(0.0, |since| context.now.since(since).as_secs_f64());
                let busy_s = self.busy_s.read(memory, context.now) + current;
                let completed = self.completed.read(memory, context.now);
                (completed + expected * prior) / (busy_s + prior)
            }
        }
    }

    /// Records that a call is sent to it; `is_probe` if the call probes a half-open circuit.
    pub(crate) fn start_call(&mut self, is_probe: bool, context: &ServerContext) -> SentCall {
        self.has_probe |= is_probe;
        self.in_flight += 1;
        let (slots, limit) = (self.slots(context), self.limit(context));
        self.update_busy_time(slots, context);
        let calls_per_slot = (f64::from(self.in_flight) / slots).max(1.0);
        SentCall {
            sent_at: context.now,
            calls_per_slot,
            was_at_limit: self.in_flight >= limit,
            is_probe,
        }
    }

    /// Records that a call is no longer in flight.
    pub(crate) fn finish_call(&mut self, sent: &SentCall, context: &ServerContext) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.has_probe &= !sent.is_probe;
        let slots = self.slots(context);
        self.update_busy_time(slots, context);
    }

    /// Accounts for the time in which no slot was free.
    fn update_busy_time(&mut self, slots: f64, context: &ServerContext) {
        if let Some(since) = self.busy_since.take() {
            let span_s = context.now.since(since).as_secs_f64();
            self.busy_s.add(span_s, context.policy.rate_memory, context.now);
        }
        self.busy_since = (f64::from(self.in_flight) >= slots).then_some(context.now);
    }

    /// Records the outcome of a call that is still counted as in flight. `elsewhere` is the failure
    /// rate of the other servers, if there are any. Returns the run time of the call in seconds, if
    /// known.
    pub(crate) fn record_outcome(
        &mut self,
        sent: &SentCall,
        outcome: CallOutcome,
        took: Duration,
        elsewhere: Option<f64>,
        context: &ServerContext,
    ) -> Option<f64> {
        let (policy, now) = (&context.policy, context.now);
        if matches!(outcome, CallOutcome::Answered | CallOutcome::Failed)
            && self.busy_since.is_some()
        {
            self.completed.add(1.0, policy.rate_memory, now);
        }
        match outcome {
            CallOutcome::Answered => {
                let run_time = took.as_secs_f64() / sent.calls_per_slot;
                self.latency.record(run_time, policy.latency_memory, now);
                self.breaker.record_answered(sent.sent_at, now);
                let max_limit = f64::from(self.server.max_connections);
                self.refresh(context);
                self.limit.record_answered(
                    self.mean_latency,
                    sent.was_at_limit,
                    max_limit,
                    policy,
                    now,
                );
                return Some(run_time);
            }
            CallOutcome::Failed => {
                let excess = self.breaker.failure_rate(now) - elsewhere.unwrap_or(1.0);
                self.breaker.record_failed(sent.sent_at, excess, policy, now);
            }
            CallOutcome::NotRun => {
                self.limit.record_overload(self.mean_latency, policy, now);
                self.breaker.record_rejected(sent.sent_at, policy, now);
            }
            CallOutcome::NotSent => self.breaker.record_unreachable(sent.sent_at, policy, now),
            CallOutcome::Lost => {
                let elsewhere = elsewhere.unwrap_or(0.0);
                self.breaker.record_lost(sent.sent_at, elsewhere, policy, now);
                // The limit of a server that reports its slots follows from these. If it loses
                // calls, load is not the cause, and a lower limit would only cost capacity.
                let is_learned = self.server.slots.is_none();
                if is_learned && self.breaker.failure_rate(now) > policy.cut_factor * elsewhere {
                    self.limit.record_overload(self.mean_latency, policy, now);
                }
            }
            CallOutcome::Abandoned => {}
        }
        None
    }
}
