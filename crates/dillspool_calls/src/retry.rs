//! When rejected callers return.

use std::time::Duration;

use dillspool_moment::Moment;
use rand::Rng;
use rand::rngs::SmallRng;

/// Parts of its longest time after which a caller returns for which no capacity is predicted.
const LONGEST_PARTS: std::ops::Range<f64> = 0.1..0.6;
/// Factors by which a predicted time is spread.
const SPREAD: std::ops::Range<f64> = 1.0..1.3;

/// Capacity that is predicted for rejected callers, one after another.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryPlan {
    /// When the capacity is free that nobody was told to return for.
    free_at: Moment,
}

impl RetryPlan {
    /// When a caller should return for whom capacity is free after `wait` at `rate` calls a second.
    pub(crate) fn next(
        &mut self,
        wait: Duration,
        rate: f64,
        longest: Duration,
        random: &mut SmallRng,
        now: Moment,
    ) -> Duration {
        let start = self.free_at.max(now + wait);
        let after = start.since(now);
        if rate <= 0.0 || after >= longest {
            return longest.mul_f64(random.random_range(LONGEST_PARTS));
        }
        self.free_at = start + Duration::from_secs_f64((1.0 / rate).min(longest.as_secs_f64()));
        after.mul_f64(random.random_range(SPREAD)).min(longest)
    }
}
