//! Sums whose parts count for less the older they are.

use std::time::Duration;

use tokio::time::Instant;

/// Time after which an observation counts half. Long against one answer and a burst of some
/// seconds, short against the hours in which the kind of requests changes.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Part that is left of an observation of this age.
pub(crate) fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

/// Time for which such a sum stands that has been kept for so long: what it would be where one was added each
/// second.
pub(crate) fn span(kept: Duration) -> f64 {
    HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2 * (1.0 - decay(kept))
}

/// A sum with a half-life.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayedSum {
    sum: f64,
    at: Instant,
}

impl DecayedSum {
    pub(crate) fn new(now: Instant) -> Self {
        Self { sum: 0.0, at: now }
    }

    pub(crate) fn add(&mut self, now: Instant, part: f64) {
        self.sum = self.read(now) + part;
        self.at = now;
    }

    pub(crate) fn read(&self, now: Instant) -> f64 {
        self.sum * decay(now.saturating_duration_since(self.at))
    }
}
