//! Circuit breaker for engines that fail or refuse requests.

use std::time::Duration;

use dillspool_moment::Moment;

/// Initial open time after an engine did not respond.
const INITIAL_OPEN_TIME: Duration = Duration::from_millis(500);
/// Maximum open time after an engine did not respond.
const MAX_OPEN_TIME: Duration = Duration::from_secs(4);
/// Initial open time after an engine refused a request for which it had reserved memory: it is
/// changing its role or shutting down.
const INITIAL_REFUSAL_OPEN_TIME: Duration = Duration::from_secs(2);
/// Maximum open time after such refusals; a change of role takes some seconds.
const MAX_REFUSAL_OPEN_TIME: Duration = Duration::from_secs(8);
/// Open time after an engine refused a prefill: each refusal counts towards the retry budget.
const PREFILL_REFUSAL_OPEN_TIME: Duration = Duration::from_secs(1);
/// Consecutive requests without a response after which the breaker opens.
const NO_RESPONSE_THRESHOLD: u32 = 2;
/// Maximum number of doublings; the maximum open times are reached long before.
const MAX_DOUBLINGS: u32 = 8;

/// Weight of the newest request in the failure rate; about four requests determine it.
const NEWEST_WEIGHT: f64 = 0.25;
/// Half-life of the failure rate; faults last some seconds.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Fraction of an engine's requests that fail, from 0 to 1, weighted towards the newest.
#[derive(Clone, Copy, Debug, Default)]
struct FailureRate {
    rate: f64,
    at: Moment,
}

impl FailureRate {
    fn value(&self, now: Moment) -> f64 {
        let halvings = now.since(self.at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.rate * 0.5_f64.powf(halvings)
    }

    fn record(&mut self, failed: bool, now: Moment) {
        let previous = self.value(now);
        let newest = if failed { 1.0 } else { 0.0 };
        *self = Self { rate: previous + NEWEST_WEIGHT * (newest - previous), at: now };
    }
}

/// Whether an engine gets requests, and the faults that led to this.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CircuitBreaker {
    open_until: Option<Moment>,
    /// Consecutive faults of each kind.
    no_responses: u32,
    refusals: u32,
    failures: u32,
    failure_rate: FailureRate,
}

impl CircuitBreaker {
    pub(crate) fn is_open(&self, now: Moment) -> bool {
        self.open_until.is_some_and(|open_until| open_until > now)
    }

    /// Whether the breaker has opened and no request has succeeded since; the engine then gets one
    /// request at a time. An engine that fails immediately looks emptiest and would otherwise
    /// attract all requests.
    pub(crate) fn needs_probe(&self) -> bool {
        self.open_until.is_some()
    }

    /// Fraction of the engine's requests that fail.
    pub(crate) fn failure_rate(&self, now: Moment) -> f64 {
        self.failure_rate.value(now)
    }

    /// Records a valid response; it is not known yet whether the result is usable.
    pub(crate) fn record_response(&mut self) {
        self.no_responses = 0;
    }

    /// Records a request that succeeded.
    pub(crate) fn record_success(&mut self, now: Moment) {
        let mut failure_rate = self.failure_rate;
        failure_rate.record(false, now);
        *self = Self { failure_rate, ..Self::default() };
    }

    /// Records a failed request; `threshold` consecutive failures open the breaker, unless it is 0.
    pub(crate) fn record_failure(&mut self, now: Moment, threshold: u32) {
        self.failure_rate.record(true, now);
        self.failures += 1;
        if threshold > 0
            && let Some(doublings) = self.failures.checked_sub(threshold)
        {
            self.open(now, backoff(INITIAL_OPEN_TIME, doublings, MAX_OPEN_TIME));
        }
    }

    /// Records that no connection could be made.
    pub(crate) fn record_unreachable(&mut self, now: Moment) {
        self.no_responses = self.no_responses.max(NO_RESPONSE_THRESHOLD - 1);
        self.record_no_response(now);
    }

    /// Records that no valid response arrived.
    pub(crate) fn record_no_response(&mut self, now: Moment) {
        self.failure_rate.record(true, now);
        self.no_responses += 1;
        if let Some(doublings) = self.no_responses.checked_sub(NO_RESPONSE_THRESHOLD) {
            self.open(now, backoff(INITIAL_OPEN_TIME, doublings, MAX_OPEN_TIME));
        }
    }

    /// Records that the engine refused a request for which it had reserved memory, or whose prompt
    /// it had prefilled. If there may be another cause, a single refusal does not open the breaker.
    pub(crate) fn record_reserved_refused(&mut self, now: Moment, has_other_cause: bool) {
        self.refusals += 1;
        let threshold = u32::from(has_other_cause) + 1;
        if let Some(doublings) = self.refusals.checked_sub(threshold) {
            self.open(now, backoff(INITIAL_REFUSAL_OPEN_TIME, doublings, MAX_REFUSAL_OPEN_TIME));
        }
    }

    /// Records that the engine refused a prefill.
    pub(crate) fn record_prefill_refused(&mut self, now: Moment) {
        self.open(now, PREFILL_REFUSAL_OPEN_TIME);
    }

    fn open(&mut self, now: Moment, duration: Duration) {
        let open_until = now + duration;
        self.open_until =
            Some(self.open_until.map_or(open_until, |previous| previous.max(open_until)));
    }
}

fn backoff(initial: Duration, doublings: u32, max: Duration) -> Duration {
    (initial * 2_u32.pow(doublings.min(MAX_DOUBLINGS))).min(max)
}
