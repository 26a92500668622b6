//! Which engines a request gets.
//!
//! Load pattern: bursts of like requests. All grow at once, so the decode engine is the one with the most
//! room by what memory is foreseen to be; all prompts queue, so the prefill engine is the one with the
//! shortest wait. Engines that fail look empty and would draw all of them, so failures count as room
//! that is not there. `docs/design/admission.md` has the run behind each limit.

use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_schema::Name;
use rand::Rng;

use super::{LATE_PREFILL_WAIT, OPENING, PlaceLack, PoolPlanner};
use crate::decode_book::{Foresight, read_time};
use crate::prefill_book::tokens_time;
use crate::request::{PlacementRequest, StreamPlacement, TicketId, WorkClass};

/// What another failure domain than the caller's costs, in tokens of room: its bytes are billed.
const FAR_TOKENS: f64 = 3_000.0;
/// What another failure domain than the decode engine's costs a prefill, as time: the move takes
/// longer and is billed several times, while a wait within the objective costs nobody.
const FAR_WAIT: Duration = Duration::from_millis(60);
/// Part by which equal engines are told apart, so that schedulers of one view do not all choose one.
const SPREAD: f64 = 0.02;
/// Part by which an engine's pace may differ from the usual one so that a stream is foreseen only once
/// for all such engines.
const USUAL_PACE: f64 = 0.1;
/// Part of the pause target that a prompt read at a decode engine may use up there; the rest is for
/// what the pace varies by.
const PAUSE_PART: f64 = 0.8;
/// Gap between two events that is assumed before any was seen, as a part of the pause target.
const ASSUMED_GAP_PART: f64 = 0.25;
/// Part of the objective in which a first event must be foreseen to come: queues are not exactly known,
/// and in a burst all of them grow up to what is allowed.
const SURE_PART: f64 = 0.8;

impl PoolPlanner {
    /// The engines for a request, as it stands now.
    pub(super) fn choose(
        &mut self,
        request: &PlacementRequest,
        now: Moment,
    ) -> Result<StreamPlacement, PlaceLack> {
        let reserve_tokens = self.reserve_tokens(request);
        let mut ranked = self.decode_by_room(request, now)?;
        let (_decode, domain) = ranked.first().ok_or(PlaceLack::Memory)?.clone();
        let wait = self.best_prefill(request, &domain, now);
        let queued = wait.as_ref().map_or(Duration::ZERO, |(_prefill, wait)| *wait);
        ranked.retain(|(decode, _domain)| {
            let book = self.decode.get(decode);
            let slowness = book.map_or(1.0, |book| book.slowness(now, &self.lengths));
            self.is_completed_in_time(request, queued, slowness)
        });
        let (decode, _domain) = ranked.first().ok_or(PlaceLack::Time)?.clone();
        if let Some((prefill, wait)) = &wait
            && self.is_soon_enough(request, *wait)
        {
            let prefill = Some(Name::clone(prefill));
            return Ok(StreamPlacement {
                decode_engine: decode,
                reserve_tokens,
                prefill_engine: prefill,
            });
        }
        let reader = ranked
            .into_iter()
            .find(|(decode, _domain)| self.may_read(decode, request, wait.is_some(), now));
        match reader {
            Some((decode, _domain)) => {
                Ok(StreamPlacement { decode_engine: decode, reserve_tokens, prefill_engine: None })
            }
            None => Err(PlaceLack::Prefill),
        }
    }

    /// Decode engines with room, the best first.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    pub(super) fn decode_by_room(
        &mut self,
        request: &PlacementRequest,
        now: Moment,
    ) -> Result<Vec<(Name, Name)>, PlaceLack> {
        let stream = self.stream_of(TicketId(u64::MAX), request);
        let usual = Foresight::of(&stream, now, &self.lengths, 1.0);
        let memory = self.terms.memory_tokens as f64;
        let margin =
            if request.class == WorkClass::Late { self.policy.late_margin * memory } else { 0.0 };
        let (lengths, terms, policy) = (&self.lengths, self.terms, self.policy);
        // If all are shut, the cause is not theirs, and they are asked as ever.
        let all_shut = self.decode.values().all(|book| book.is_closed(now));
        let mut ranked = Vec::new();
        let mut any = false;
        for (name, book) in &mut self.decode {
            if !request.may_go_to(name) || (book.is_closed(now) && !all_shut) {
                continue;
            }
            any = true;
            let slowness = book.slowness(now, lengths);
            let is_usual = (slowness - 1.0).abs() < USUAL_PACE;
            let foresight =
                if is_usual { usual } else { Foresight::of(&stream, now, lengths, slowness) };
            let room = book.room_beside(&foresight, now, lengths, &terms, &policy) - margin;
            if room < 0.0 {
                continue;
            }
            let far = if book.domain == request.failure_domain { 0.0 } else { FAR_TOKENS };
            let spread = self.random.random_range(0.0..SPREAD) * memory;
            let failing = book.shut.failure_rate(now) * policy.failure_weight * memory;
            let slow = (slowness - 1.0) * policy.slow_weight * memory;
            ranked.push((
                room - far - failing - slow + spread,
                Name::clone(name),
                Name::clone(&book.domain),
            ));
        }
        if !any {
            return Err(PlaceLack::Engine);
        }
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        Ok(ranked.into_iter().map(|(_room, name, domain)| (name, domain)).collect())
    }

    /// The prefill engine with the shortest wait for a request that decodes in a domain.
    pub(super) fn best_prefill(
        &self,
        request: &PlacementRequest,
        domain: &Name,
        now: Moment,
    ) -> Option<(Name, Duration)> {
        let pace_s = self.pace.token_s();
        let open = self
            .prefill
            .iter()
            .filter(|(name, book)| request.may_go_to(name) && !book.is_closed(now));
        let waits = open.map(|(name, book)| {
            let wait = book.wait(now, pace_s);
            let far = if book.domain == *domain { Duration::ZERO } else { FAR_WAIT };
            (wait + far, wait, name)
        });
        waits.min().map(|(_cost, wait, name)| (Name::clone(name), wait))
    }

    /// Whether a prompt that waits so long for its prefill is read soon enough.
    pub(super) fn is_soon_enough(&self, request: &PlacementRequest, wait: Duration) -> bool {
        match request.class {
            WorkClass::InTime => {
                let read = tokens_time(request.prompt_tokens, self.pace.token_s());
                let first = wait + read + OPENING + self.gap(request);
                first <= request.objective_left.mul_f64(SURE_PART)
            }
            WorkClass::UnderWay => wait <= request.max_wait,
            WorkClass::Late => wait <= LATE_PREFILL_WAIT,
        }
    }

    /// Whether a decode engine may read a prompt itself: none of its streams may pause for too
    /// long. Where no engine prefills there is no other way, and prompts are read one by one.
    pub(super) fn may_read(
        &self,
        decode: &Name,
        request: &PlacementRequest,
        has_prefill: bool,
        now: Moment,
    ) -> bool {
        let pace_s = self.pace.token_s();
        let is_reading = self.decode.get(decode).is_none_or(|book| book.is_reading(now, pace_s));
        if is_reading || !self.policy.reads_at_decode {
            return false;
        }
        if !has_prefill {
            return true;
        }
        let read = read_time(request.prompt_tokens, pace_s);
        let first = read + OPENING + self.gap(request);
        let in_time = request.class != WorkClass::InTime || first <= request.objective_left;
        let target = request.max_event_gap.unwrap_or(Duration::MAX);
        in_time && read + self.gap(request) <= target.mul_f64(PAUSE_PART)
    }

    pub(super) fn gap(&self, request: &PlacementRequest) -> Duration {
        let assumed = request.max_event_gap.map(|target| target.mul_f64(ASSUMED_GAP_PART));
        self.event_gap.or(assumed).unwrap_or_default()
    }
}
