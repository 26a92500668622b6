//! How long a request waits for engines, and when it is turned away instead.
//!
//! Load pattern: bursts beyond what the engines hold. Waiting is of use as long as memory is foreseen to come
//! back in time; a request for which it is not is refused at once, and told to come back when the
//! burst is most likely over. `docs/design/admission.md` has the run behind each limit.

use std::time::Duration;

use dillspool_moment::Moment;
use rand::Rng;

use super::{OPENING, PlaceLack, PoolPlanner, is_in_time};
use crate::decode_book::read_time;
use crate::prefill_book::tokens_time;
use crate::request::{
    PlacementDecision, PlacementRejection, PlacementRequest, TicketId, WorkClass,
};
use crate::waiting::WaitingRecord;

/// Time over which releases of memory are foreseen, as a part of the mean life of an answer.
const RELEASE_PART: f64 = 0.25;
/// When to come back at the latest, as a part of the time left; callers obey up to a third of it. A
/// refused caller is late already, so it comes when the burst that it met is most likely over, and
/// spread.
const LATEST_COME_BACK: f64 = 0.33;
/// When to come back if no engine is known; directories recover within seconds.
const NO_ENGINE_COME_BACK: Duration = Duration::from_secs(1);

impl PoolPlanner {
    pub(super) fn wait_or_turn_away(
        &mut self,
        ticket: TicketId,
        request: PlacementRequest,
        cause: PlaceLack,
        now: Moment,
    ) -> PlacementDecision {
        let longest = self.longest_wait(&request);
        let tokens = self.reserve_tokens(&request);
        let cost = self.cost(&request);
        let foreseen = match cause {
            PlaceLack::Memory => self.memory_wait(&request, tokens, cost, now),
            PlaceLack::Prefill => self.reading_wait(&request, now),
            PlaceLack::Engine | PlaceLack::Time => Duration::MAX,
        };
        if foreseen > longest || !self.is_completed_in_time(&request, foreseen, 1.0) {
            return self.turn_away(&request, cause);
        }
        let give_up = now + longest;
        self.line.push(WaitingRecord { ticket, request, since: now, give_up, tokens, cost });
        PlacementDecision::Wait
    }

    /// Longest time for which it is of use to wait.
    pub(super) fn longest_wait(&self, request: &PlacementRequest) -> Duration {
        let read = tokens_time(request.prompt_tokens, self.pace.token_s());
        let rest = read + OPENING + self.gap(request);
        let useful = match request.class {
            WorkClass::UnderWay => request.max_wait,
            WorkClass::InTime => request.objective_left.saturating_sub(rest),
            WorkClass::Late => self.lengths.mean_life().mul_f64(self.policy.late_wait),
        };
        useful.min(request.max_wait.saturating_sub(rest))
    }

    /// Memory that a request takes times the time for which it mostly holds it, in tokens x ms; 0 where
    /// that does not count, as for an answer under way, which is lost if it waits.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "tokens are far below 2^52 and not negative"
    )]
    fn cost(&self, request: &PlacementRequest) -> u64 {
        if !self.policy.by_cost || request.class == WorkClass::UnderWay {
            return 0;
        }
        let life = self.lengths.usual_life(request.estimated_tokens);
        let made = self.lengths.usual_tokens(request.estimated_tokens);
        // On the mean of its life an answer holds half of what it makes.
        let held = request.prompt_tokens as f64 + made / 2.0;
        (held * life.as_secs_f64() * 1_000.0) as u64
    }

    /// Time until memory is foreseen to be given back for a request and all that go before it.
    ///
    /// Where nothing is known to run that could give memory back, its engines are full of what others
    /// sent: then those who lose more by a refusal than by a wait try their luck.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    pub(super) fn memory_wait(
        &self,
        request: &PlacementRequest,
        tokens: u64,
        cost: u64,
        now: Moment,
    ) -> Duration {
        let released = self.released_per_s(now);
        if request.class == WorkClass::UnderWay || (released <= 0.0 && !is_in_time(request)) {
            return Duration::ZERO;
        }
        let needed = (self.line.tokens_ahead((request.rank(), cost, now)) + tokens) as f64;
        Duration::try_from_secs_f64(needed / released).unwrap_or(Duration::MAX)
    }

    /// Time until a decode engine is foreseen to read a prompt, where prefill engines cannot.
    pub(super) fn reading_wait(&self, request: &PlacementRequest, now: Moment) -> Duration {
        if request.class == WorkClass::UnderWay {
            return Duration::ZERO;
        }
        if self.prefill.values().any(|book| !book.is_closed(now)) {
            // Their queues shrink no faster than the time that is left.
            return if is_in_time(request) { Duration::MAX } else { Duration::ZERO };
        }
        let readers = u32::try_from(self.decode.len()).unwrap_or(u32::MAX).max(1);
        let before = u32::try_from(self.line.len()).unwrap_or(u32::MAX).saturating_add(1);
        read_time(request.prompt_tokens, self.pace.token_s()) * before / readers
    }

    pub(super) fn released_per_s(&self, now: Moment) -> f64 {
        let time = self.lengths.mean_life().mul_f64(RELEASE_PART);
        let open = self.decode.values().filter(|book| !book.shut.is_shut(now));
        let released: f64 = open.map(|book| book.released_within(time, now, &self.lengths)).sum();
        released / time.as_secs_f64().max(f64::EPSILON)
    }

    pub(super) fn turn_away(
        &mut self,
        request: &PlacementRequest,
        cause: PlaceLack,
    ) -> PlacementDecision {
        let earliest = self.policy.come_back_from.min(LATEST_COME_BACK);
        let part = self.random.random_range(earliest..=LATEST_COME_BACK);
        let (cause, come_back) = match cause {
            PlaceLack::Engine => (PlacementRejection::NoEngine, NO_ENGINE_COME_BACK),
            PlaceLack::Memory | PlaceLack::Time => {
                (PlacementRejection::NoMemory, request.time_left.mul_f64(part))
            }
            PlaceLack::Prefill => (PlacementRejection::NoPrefill, request.time_left.mul_f64(part)),
        };
        PlacementDecision::Reject { cause, retry_after: come_back }
    }
}
