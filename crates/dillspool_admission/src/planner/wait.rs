//! Decides how long a request is queued and when it is rejected instead.
//!
//! Load pattern: bursts beyond the capacity of the engines. Queueing helps as long as memory is
//! expected to be released in time; otherwise the request is rejected immediately, with a retry
//! delay after which the burst is most likely over. `docs/design/admission.md` has the runs behind
//! each limit.

use std::time::Duration;

use dillspool_moment::Moment;
use rand::Rng;

use super::{FIRST_TOKEN_OVERHEAD, PlacementBlocker, PoolPlanner, is_in_time};
use crate::decode_state::local_prefill_time;
use crate::prefill_state::{PrefillState, prefill_time};
use crate::queue::QueuedRequest;
use crate::request::{
    PlacementDecision, PlacementRejection, PlacementRequest, TicketId, WorkClass,
};

/// Period over which releases of memory are forecast, as a fraction of the mean lifetime of an
/// answer.
const RELEASE_HORIZON_FRACTION: f64 = 0.25;
/// Latest retry, as a fraction of the time left; callers follow a retry delay up to a third of it.
/// A rejected caller is late in any case, so its retry is scheduled for when the burst is most
/// likely over, and spread over a range.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.33;
/// Retry delay while no engine is known; directories recover within seconds.
const NO_ENGINE_RETRY_AFTER: Duration = Duration::from_secs(1);

impl PoolPlanner {
    pub(super) fn queue_or_reject(
        &mut self,
        ticket: TicketId,
        request: PlacementRequest,
        blocker: PlacementBlocker,
        now: Moment,
    ) -> PlacementDecision {
        let max_wait = self.max_useful_wait(&request);
        let reserve_tokens = self.reservation_tokens(&request);
        let cost = self.memory_cost(&request);
        let expected_wait = match blocker {
            PlacementBlocker::NoMemory => {
                self.estimated_memory_wait(&request, reserve_tokens, cost, now)
            }
            PlacementBlocker::SlowPrefill => self.estimated_prefill_wait(&request, now),
            PlacementBlocker::NoEngine | PlacementBlocker::Deadline => Duration::MAX,
        };
        if expected_wait > max_wait || !self.is_likely_to_complete(&request, expected_wait, 1.0) {
            return self.reject(&request, blocker);
        }
        let expires_at = now + max_wait;
        self.queue.push(QueuedRequest {
            ticket,
            request,
            queued_at: now,
            expires_at,
            reserve_tokens,
            cost,
        });
        PlacementDecision::Wait
    }

    /// The longest wait after which the request is still worth placing.
    pub(super) fn max_useful_wait(&self, request: &PlacementRequest) -> Duration {
        let prefill = prefill_time(request.prompt_tokens, self.prefill_rate.seconds_per_token());
        let remaining_work = prefill + FIRST_TOKEN_OVERHEAD + self.expected_gap(request);
        let useful = match request.class {
            WorkClass::UnderWay => request.max_wait,
            WorkClass::InTime => request.objective_left.saturating_sub(remaining_work),
            WorkClass::Late => self.lifetimes.mean_lifetime().mul_f64(self.policy.late_wait),
        };
        useful.min(request.max_wait.saturating_sub(remaining_work))
    }

    /// Memory that a request needs multiplied by the expected time it is held, in tokens x ms; 0
    /// where the cost is ignored, including for an answer in progress, which is lost if it waits.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "tokens are far below 2^52 and not negative"
    )]
    fn memory_cost(&self, request: &PlacementRequest) -> u64 {
        if !self.policy.by_cost || request.class == WorkClass::UnderWay {
            return 0;
        }
        let lifetime = self.lifetimes.typical_lifetime(request.estimated_tokens);
        let generated = self.lifetimes.typical_tokens(request.estimated_tokens);
        // Averaged over its lifetime, an answer holds half of the tokens it generates.
        let mean_held = request.prompt_tokens as f64 + generated / 2.0;
        (mean_held * lifetime.as_secs_f64() * 1_000.0) as u64
    }

    /// Expected time until enough memory is released for a request and all requests ahead of it.
    ///
    /// If no known stream could release memory, the engines are full of work from other hosts.
    /// Requests that lose more by a rejection than by a wait are then queued anyway.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    pub(super) fn estimated_memory_wait(
        &self,
        request: &PlacementRequest,
        reserve_tokens: u64,
        cost: u64,
        now: Moment,
    ) -> Duration {
        let released = self.released_tokens_per_s(now);
        if request.class == WorkClass::UnderWay || (released <= 0.0 && !is_in_time(request)) {
            return Duration::ZERO;
        }
        let needed = (self.queue.tokens_ahead((request.queue_priority(), cost, now))
            + reserve_tokens) as f64;
        Duration::try_from_secs_f64(needed / released).unwrap_or(Duration::MAX)
    }

    /// Expected time until a decode engine prefills the prompt, for when no prefill engine can.
    pub(super) fn estimated_prefill_wait(
        &self,
        request: &PlacementRequest,
        now: Moment,
    ) -> Duration {
        if request.class == WorkClass::UnderWay {
            return Duration::ZERO;
        }
        let is_available = |state: &PrefillState| {
            request.allows_software(&state.software) && !state.is_unavailable(now)
        };
        if self.prefill_engines.values().any(is_available) {
            // The prefill queues shrink no faster than the time that is left.
            return if is_in_time(request) { Duration::MAX } else { Duration::ZERO };
        }
        let engines = u32::try_from(self.decode_engines.len()).unwrap_or(u32::MAX).max(1);
        let ahead = u32::try_from(self.queue.len()).unwrap_or(u32::MAX).saturating_add(1);
        local_prefill_time(request.prompt_tokens, self.prefill_rate.seconds_per_token()) * ahead
            / engines
    }

    pub(super) fn released_tokens_per_s(&self, now: Moment) -> f64 {
        let horizon = self.lifetimes.mean_lifetime().mul_f64(RELEASE_HORIZON_FRACTION);
        let available = self.decode_engines.values().filter(|state| !state.breaker.is_open(now));
        let released: f64 =
            available.map(|state| state.released_within(horizon, now, &self.lifetimes)).sum();
        released / horizon.as_secs_f64().max(f64::EPSILON)
    }

    pub(super) fn reject(
        &mut self,
        request: &PlacementRequest,
        blocker: PlacementBlocker,
    ) -> PlacementDecision {
        let earliest = self.policy.come_back_from.min(MAX_RETRY_AFTER_FRACTION);
        let fraction = self.rng.random_range(earliest..=MAX_RETRY_AFTER_FRACTION);
        let (cause, retry_after) = match blocker {
            PlacementBlocker::NoEngine => (PlacementRejection::NoEngine, NO_ENGINE_RETRY_AFTER),
            PlacementBlocker::NoMemory | PlacementBlocker::Deadline => {
                (PlacementRejection::NoMemory, request.time_left.mul_f64(fraction))
            }
            PlacementBlocker::SlowPrefill => {
                (PlacementRejection::NoPrefill, request.time_left.mul_f64(fraction))
            }
        };
        PlacementDecision::Reject { cause, retry_after }
    }
}
