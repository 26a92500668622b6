//! Exponentially decaying sums.

use std::time::Duration;

use tokio::time::Instant;

/// Half-life of an observation: long compared to an answer or a burst of some seconds, short
/// compared to the hours in which the mix of requests changes.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Fraction of an observation that remains after `age`.
pub(crate) fn decay_factor(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

/// Value of a sum to which one unit per second was added for `elapsed`; a sum divided by this is a
/// rate per second.
pub(crate) fn effective_span(elapsed: Duration) -> f64 {
    HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2 * (1.0 - decay_factor(elapsed))
}

/// A sum whose terms decay with the half-life.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayedSum {
    sum: f64,
    updated_at: Instant,
}

impl DecayedSum {
    pub(crate) fn new(now: Instant) -> Self {
        Self { sum: 0.0, updated_at: now }
    }

    pub(crate) fn add(&mut self, now: Instant, amount: f64) {
        self.sum = self.value(now) + amount;
        self.updated_at = now;
    }

    pub(crate) fn value(&self, now: Instant) -> f64 {
        self.sum * decay_factor(now.saturating_duration_since(self.updated_at))
    }
}
