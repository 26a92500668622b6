//! Estimates whether an answer completes before its deadline.
//!
//! Load pattern: rejected callers retry late, when the engines are full, and their answers hit the
//! deadline while holding memory that others need. The lifetime of an answer is uncertain, so the
//! decision is by probability.

use std::time::Duration;

use super::{FIRST_TOKEN_OVERHEAD, PoolPlanner};
use crate::prefill_state::prefill_time;
use crate::request::{PlacementRequest, WorkClass};

/// Factor on the required completion probability for answers that can be in time: they are worth
/// more, so fewer of them need to complete to make up for one that does not.
const IN_TIME_FACTOR: f64 = 0.5;

impl PoolPlanner {
    /// Whether a request started after `wait`, on an engine slower than usual by the factor
    /// `slowness`, is likely enough to complete.
    pub(super) fn is_likely_to_complete(
        &self,
        request: &PlacementRequest,
        wait: Duration,
        slowness: f64,
    ) -> bool {
        let factor = if request.class == WorkClass::Late { 1.0 } else { IN_TIME_FACTOR };
        let min_probability = self.policy.completion_chance * factor;
        min_probability <= 0.0
            || self.completion_probability(request, wait, slowness) >= min_probability
    }

    /// The probability that an answer started after `wait` completes before its deadline.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    fn completion_probability(
        &self,
        request: &PlacementRequest,
        wait: Duration,
        slowness: f64,
    ) -> f64 {
        let prefill = prefill_time(request.prompt_tokens, self.prefill_rate.seconds_per_token());
        let lifetime = request
            .time_left
            .saturating_sub(wait + prefill + FIRST_TOKEN_OVERHEAD)
            .div_f64(slowness);
        if request.max_tokens as f64 * self.lifetimes.seconds_per_token() <= lifetime.as_secs_f64()
        {
            return 1.0;
        }
        1.0 - self.lifetimes.survival_probability(
            request.estimated_tokens,
            Duration::ZERO,
            lifetime,
        )
    }
}
