//! Retry delays of rejected callers.

use std::time::Duration;

use dillspool_moment::Moment;
use rand::Rng;
use rand::rngs::SmallRng;

/// Range, as a fraction of the longest delay, of the delays of callers for which no capacity is
/// predicted.
const UNPREDICTED_DELAY_RANGE: std::ops::Range<f64> = 0.1..0.6;
/// Range of the jitter factor of a predicted delay.
const JITTER_RANGE: std::ops::Range<f64> = 1.0..1.3;

/// Assigns predicted capacity to rejected callers, one after another.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetrySchedule {
    /// Time of the next predicted capacity that is not assigned to a caller yet.
    next_free_at: Moment,
}

impl RetrySchedule {
    /// The delay after which a caller should retry, if capacity becomes free after `wait` at `rate`
    /// calls per second.
    pub(crate) fn next_delay(
        &mut self,
        wait: Duration,
        rate: f64,
        max_delay: Duration,
        random: &mut SmallRng,
        now: Moment,
    ) -> Duration {
        let start = self.next_free_at.max(now + wait);
        let delay = start.since(now);
        if rate <= 0.0 || delay >= max_delay {
            return max_delay.mul_f64(random.random_range(UNPREDICTED_DELAY_RANGE));
        }
        self.next_free_at =
            start + Duration::from_secs_f64((1.0 / rate).min(max_delay.as_secs_f64()));
        delay.mul_f64(random.random_range(JITTER_RANGE)).min(max_delay)
    }
}
