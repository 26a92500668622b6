//! The circuit breaker of a backend server: after failures the server gets no calls for a while,
//! and then one at a time.

use std::time::Duration;

use dillspool_moment::Moment;

use crate::policy::CallPolicy;

/// Weight of the newest call in the failure rate, a moving average over about ten calls.
const NEWEST_CALL_WEIGHT: f64 = 0.1;
/// Half-life of the failure rate while no calls end; faults last some seconds.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Failure rate below which it counts as zero.
const MIN_FAILURE_RATE: f64 = 0.001;
/// Limit of the doublings of the open time; `longest_rest` is reached after far fewer.
const MAX_DOUBLINGS: u32 = 8;

/// Whether a server gets calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CircuitState {
    /// It gets calls up to its limit.
    Closed,
    /// It gets one call at a time, until one is answered.
    HalfOpen,
    /// It gets no calls.
    Open,
}

/// The recent failures of a server, and until when it gets no calls because of them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CircuitBreaker {
    /// When the circuit last opened; calls that were sent before neither close it nor reopen it.
    opened_at: Moment,
    /// When the circuit becomes half-open; `None` while it is closed.
    open_until: Option<Moment>,
    consecutive_openings: u32,
    consecutive_lost: u32,
    /// Failure rate before the first of these lost calls.
    failure_rate_before_lost: f64,
    consecutive_rejected: u32,
    failure_rate: f64,
    failure_rate_at: Moment,
}

impl CircuitBreaker {
    pub(crate) fn state(&self, now: Moment) -> CircuitState {
        match self.open_until {
            None => CircuitState::Closed,
            Some(until) if now < until => CircuitState::Open,
            Some(_) => CircuitState::HalfOpen,
        }
    }

    /// Time until the server gets calls again.
    pub(crate) fn time_until_half_open(&self, now: Moment) -> Duration {
        self.open_until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Fraction of its calls that fail; newer calls count more.
    pub(crate) fn failure_rate(&self, now: Moment) -> f64 {
        if self.failure_rate < MIN_FAILURE_RATE {
            return 0.0;
        }
        let halvings =
            now.since(self.failure_rate_at).as_secs_f64() / FAILURE_RATE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(halvings)
    }

    fn update_failure_rate(&mut self, failed: f64, now: Moment) {
        let before = self.failure_rate(now);
        self.failure_rate = before + NEWEST_CALL_WEIGHT * (failed - before);
        self.failure_rate_at = now;
    }

    /// Records that a call sent at `sent` was answered.
    pub(crate) fn record_answered(&mut self, sent: Moment, now: Moment) {
        self.update_failure_rate(0.0, now);
        (self.consecutive_lost, self.consecutive_rejected) = (0, 0);
        if sent >= self.opened_at {
            (self.open_until, self.consecutive_openings) = (None, 0);
        }
    }

    /// Records that the server answered a call with a failure of its own. `excess` is how much its
    /// failure rate exceeds that of the other servers.
    pub(crate) fn record_failed(
        &mut self,
        sent: Moment,
        excess: f64,
        policy: &CallPolicy,
        now: Moment,
    ) {
        self.update_failure_rate(1.0, now);
        if excess > policy.failing_excess {
            self.open(sent, policy, now);
        }
    }

    /// Records that no proper answer to a call came. `elsewhere` is the failure rate of the other
    /// servers.
    pub(crate) fn record_lost(
        &mut self,
        sent: Moment,
        elsewhere: f64,
        policy: &CallPolicy,
        now: Moment,
    ) {
        if self.consecutive_lost == 0 {
            self.failure_rate_before_lost = self.failure_rate(now);
        }
        self.update_failure_rate(1.0, now);
        self.consecutive_lost += 1;
        // A server that loses a part of its calls still answers the others, which an open circuit
        // would lose, too. So the circuit opens only if such a run of losses is unlikely at the
        // usual failure rate.
        let usual = elsewhere.max(self.failure_rate_before_lost);
        let is_unlikely_run = self.consecutive_lost >= policy.lost_before_rest
            && usual.powf(f64::from(self.consecutive_lost)) <= policy.row_chance;
        if self.open_until.is_some() || is_unlikely_run {
            self.open(sent, policy, now);
        }
    }

    /// Records that no connection could be made.
    pub(crate) fn record_unreachable(&mut self, sent: Moment, policy: &CallPolicy, now: Moment) {
        self.update_failure_rate(1.0, now);
        self.open(sent, policy, now);
    }

    /// Records that the server rejected a call.
    pub(crate) fn record_rejected(&mut self, sent: Moment, policy: &CallPolicy, now: Moment) {
        self.consecutive_rejected += 1;
        if self.open_until.is_some() || self.consecutive_rejected >= policy.refused_before_rest {
            self.open(sent, policy, now);
        }
    }

    /// Opens the circuit, each time for twice as long as before. While it is open or half-open,
    /// calls that were sent before it opened are ignored.
    fn open(&mut self, sent: Moment, policy: &CallPolicy, now: Moment) {
        if self.open_until.is_some() && sent < self.opened_at {
            return;
        }
        let doublings = self.consecutive_openings.min(MAX_DOUBLINGS);
        let open_time = (policy.first_rest * 2_u32.pow(doublings)).min(policy.longest_rest);
        (self.opened_at, self.open_until) = (now, Some(now + open_time));
        self.consecutive_openings += 1;
        (self.consecutive_lost, self.consecutive_rejected) = (0, 0);
    }
}
