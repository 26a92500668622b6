//! Whether an answer will be whole at its deadline.
//!
//! Load pattern: callers that were refused come back late into engines that are full, and their answers
//! run into the deadline while they hold memory that others need. How long an answer lives is a matter
//! of chances, so the chance decides.

use std::time::Duration;

use super::{OPENING, PoolPlanner};
use crate::prefill_book::tokens_time;
use crate::request::{PlacementRequest, WorkClass};

/// Chance that suffices for an answer that can be in time, as a part of that which a late one needs:
/// it is worth more, so fewer of them need to be whole to make up for one that is not.
const IN_TIME_PART: f64 = 0.5;

impl PoolPlanner {
    /// Whether a request that is begun after a wait, at an engine that takes so many times as long as
    /// usual, is likely enough to be answered as a whole.
    pub(super) fn is_completed_in_time(
        &self,
        request: &PlacementRequest,
        wait: Duration,
        slowness: f64,
    ) -> bool {
        let part = if request.class == WorkClass::Late { 1.0 } else { IN_TIME_PART };
        let least = self.policy.completion_chance * part;
        least <= 0.0 || self.completion_chance(request, wait, slowness) >= least
    }

    /// The chance that an answer that is begun after a wait is whole at its deadline.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    fn completion_chance(&self, request: &PlacementRequest, wait: Duration, slowness: f64) -> f64 {
        let read = tokens_time(request.prompt_tokens, self.pace.token_s());
        let life = request.time_left.saturating_sub(wait + read + OPENING).div_f64(slowness);
        if request.max_tokens as f64 * self.lengths.token_s() <= life.as_secs_f64() {
            return 1.0;
        }
        1.0 - self.lengths.lives_on(request.estimated_tokens, Duration::ZERO, life)
    }
}
