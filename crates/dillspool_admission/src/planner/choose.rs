//! Selects the engines for a request.
//!
//! Load pattern: bursts of similar requests. All streams grow at the same time, so the decode
//! engine with the most free memory by forecast is chosen; all prompts queue, so the prefill engine
//! with the shortest wait is chosen. Failing engines look empty and would attract all requests, so
//! failures count as used memory. `docs/design/admission.md` has the runs behind each limit.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::SoftwareVersion;
use dillspool_schema::Name;
use rand::Rng;

use super::{FIRST_TOKEN_OVERHEAD, MAX_LATE_PREFILL_WAIT, PlacementBlocker, PoolPlanner};
use crate::decode_state::{MemoryForecast, local_prefill_time};
use crate::prefill_state::prefill_time;
use crate::request::{PlacementRequest, StreamPlacement, TicketId, WorkClass};

/// Ranking penalty for a decode engine outside the caller's failure domain, in tokens of free
/// memory: cross-domain traffic is billed.
const CROSS_DOMAIN_PENALTY_TOKENS: f64 = 3_000.0;
/// Penalty for a prefill engine outside the decode engine's failure domain, as wait time: the KV
/// cache transfer takes longer and is billed several times, while a wait within the objective costs
/// nothing.
const CROSS_DOMAIN_PENALTY: Duration = Duration::from_millis(60);
/// Random tie-breaker as a fraction of memory, so that schedulers with the same view do not all
/// choose the same engine.
const TIE_BREAK_FRACTION: f64 = 0.02;
/// Deviation from the usual speed within which engines share one forecast of the new stream.
const SLOWNESS_TOLERANCE: f64 = 0.1;
/// Fraction of the maximum event gap that a prefill on a decode engine may use; the rest covers
/// variation in speed.
const MAX_GAP_FRACTION: f64 = 0.8;
/// Event gap assumed before the first measurement, as a fraction of the maximum event gap.
const DEFAULT_GAP_FRACTION: f64 = 0.25;
/// Fraction of the objective within which the first event must be expected: queue lengths are not
/// known exactly, and in a burst all queues grow up to the limit.
const OBJECTIVE_FRACTION: f64 = 0.8;

/// A decode engine with enough free memory for a request.
#[derive(Clone, Debug)]
pub(super) struct RankedEngine {
    score: f64,
    name: Name,
    domain: Name,
    software: SoftwareVersion,
}

impl PoolPlanner {
    /// Selects the engines for a request at `now`.
    pub(super) fn choose(
        &mut self,
        request: &PlacementRequest,
        now: Moment,
    ) -> Result<StreamPlacement, PlacementBlocker> {
        let reserve_tokens = self.reservation_tokens(request);
        let mut ranked = self.rank_decode_engines(request, now)?;
        if ranked.is_empty() {
            return Err(PlacementBlocker::NoMemory);
        }
        let prefill_queues = self.prefill_queues(&ranked, request, now);
        ranked.retain(|engine| {
            let queue = prefill_queues.get(&engine.software);
            let wait = queue.map_or(Duration::ZERO, |(_prefill, wait)| *wait);
            let state = self.decode_engines.get(&engine.name);
            let slowness = state.map_or(1.0, |state| state.slowness(now, &self.lifetimes));
            self.is_likely_to_complete(request, wait, slowness)
        });
        if ranked.is_empty() {
            return Err(PlacementBlocker::Deadline);
        }
        let remote = ranked.iter().find_map(|engine| {
            let (prefill, wait) = prefill_queues.get(&engine.software)?;
            self.is_prefill_in_time(request, *wait).then(|| (engine, Some(Name::clone(prefill))))
        });
        let chosen = remote.or_else(|| {
            let mut local = ranked.iter().filter(|engine| {
                self.can_prefill_locally(&engine.name, request, !prefill_queues.is_empty(), now)
            });
            Some((local.next()?, None))
        });
        let (decode, prefill_engine) = chosen.ok_or(PlacementBlocker::SlowPrefill)?;
        let decode_engine = Name::clone(&decode.name);
        Ok(StreamPlacement { decode_engine, reserve_tokens, prefill_engine })
    }

    /// Returns the prefill engine with the shortest wait, and that wait, for each software version of
    /// the ranked decode engines that has one.
    ///
    /// A decode engine cannot use the KV cache of another version.
    fn prefill_queues(
        &self,
        ranked: &[RankedEngine],
        request: &PlacementRequest,
        now: Moment,
    ) -> BTreeMap<SoftwareVersion, (Name, Duration)> {
        let mut seen = BTreeSet::new();
        let best_of_each = ranked.iter().filter(|engine| seen.insert(&engine.software));
        let queues = best_of_each.filter_map(|engine| {
            let RankedEngine { domain, software, .. } = engine;
            let queue = self.shortest_prefill_queue(request, domain, software, now)?;
            Some((software.clone(), queue))
        });
        queues.collect()
    }

    /// Returns the decode engines with enough free memory, best first.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    pub(super) fn rank_decode_engines(
        &mut self,
        request: &PlacementRequest,
        now: Moment,
    ) -> Result<Vec<RankedEngine>, PlacementBlocker> {
        let stream = self.stream_record(TicketId(u64::MAX), request);
        let typical = MemoryForecast::for_stream(&stream, now, &self.lifetimes, 1.0);
        let memory = self.engine_capacity.memory_tokens as f64;
        let margin =
            if request.class == WorkClass::Late { self.policy.late_margin * memory } else { 0.0 };
        let (lifetimes, capacity, policy) = (&self.lifetimes, self.engine_capacity, self.policy);
        // If all engines are unavailable, the cause lies elsewhere, so all remain candidates.
        let mut allowed =
            self.decode_engines.values().filter(|state| request.allows_software(&state.software));
        let all_unavailable = allowed.all(|state| state.is_unavailable(now));
        let mut ranked = Vec::new();
        let mut has_candidate = false;
        for (name, state) in &mut self.decode_engines {
            if !request.allows_engine(name)
                || !request.allows_software(&state.software)
                || (state.is_unavailable(now) && !all_unavailable)
            {
                continue;
            }
            has_candidate = true;
            let slowness = state.slowness(now, lifetimes);
            let is_typical = (slowness - 1.0).abs() < SLOWNESS_TOLERANCE;
            let forecast = if is_typical {
                typical
            } else {
                MemoryForecast::for_stream(&stream, now, lifetimes, slowness)
            };
            let free =
                state.free_memory_with(&forecast, now, lifetimes, &capacity, &policy) - margin;
            if free < 0.0 {
                continue;
            }
            let distance = if state.failure_domain == request.failure_domain {
                0.0
            } else {
                CROSS_DOMAIN_PENALTY_TOKENS
            };
            let jitter = self.rng.random_range(0.0..TIE_BREAK_FRACTION) * memory;
            let failing = state.breaker.failure_rate(now) * policy.failure_weight * memory;
            let slow = (slowness - 1.0) * policy.slow_weight * memory;
            ranked.push(RankedEngine {
                score: free - distance - failing - slow + jitter,
                name: Name::clone(name),
                domain: Name::clone(&state.failure_domain),
                software: state.software.clone(),
            });
        }
        if !has_candidate {
            return Err(PlacementBlocker::NoEngine);
        }
        ranked.sort_by(|a, b| b.score.total_cmp(&a.score));
        Ok(ranked)
    }

    /// Returns the prefill engine with the shortest wait for a request that decodes in `domain`, at an
    /// engine with this software version.
    pub(super) fn shortest_prefill_queue(
        &self,
        request: &PlacementRequest,
        domain: &Name,
        software: &SoftwareVersion,
        now: Moment,
    ) -> Option<(Name, Duration)> {
        let seconds_per_token = self.prefill_rate.seconds_per_token();
        let available = self.prefill_engines.iter().filter(|(name, state)| {
            state.software == *software && request.allows_engine(name) && !state.is_unavailable(now)
        });
        let waits = available.map(|(name, state)| {
            let wait = state.queue_wait(now, seconds_per_token);
            let distance =
                if state.failure_domain == *domain { Duration::ZERO } else { CROSS_DOMAIN_PENALTY };
            (wait + distance, wait, name)
        });
        waits.min().map(|(_cost, wait, name)| (Name::clone(name), wait))
    }

    /// Whether a prompt that queues for `wait` is prefilled early enough.
    pub(super) fn is_prefill_in_time(&self, request: &PlacementRequest, wait: Duration) -> bool {
        match request.class {
            WorkClass::InTime => {
                let prefill =
                    prefill_time(request.prompt_tokens, self.prefill_rate.seconds_per_token());
                let first_event =
                    wait + prefill + FIRST_TOKEN_OVERHEAD + self.expected_gap(request);
                first_event <= request.objective_left.mul_f64(OBJECTIVE_FRACTION)
            }
            WorkClass::UnderWay => wait <= request.max_wait,
            WorkClass::Late => wait <= MAX_LATE_PREFILL_WAIT,
        }
    }

    /// Whether a decode engine may prefill a prompt itself, which must not stall its streams for
    /// too long. Without prefill engines this is the only way, and each decode engine prefills one
    /// prompt at a time.
    pub(super) fn can_prefill_locally(
        &self,
        decode: &Name,
        request: &PlacementRequest,
        has_prefill: bool,
        now: Moment,
    ) -> bool {
        let seconds_per_token = self.prefill_rate.seconds_per_token();
        let is_prefilling = self
            .decode_engines
            .get(decode)
            .is_none_or(|state| state.is_prefilling(now, seconds_per_token));
        if is_prefilling || !self.policy.reads_at_decode {
            return false;
        }
        if !has_prefill {
            return true;
        }
        let prefill = local_prefill_time(request.prompt_tokens, seconds_per_token);
        let first_event = prefill + FIRST_TOKEN_OVERHEAD + self.expected_gap(request);
        let is_in_time =
            request.class != WorkClass::InTime || first_event <= request.objective_left;
        let max_gap = request.max_event_gap.unwrap_or(Duration::MAX);
        is_in_time && prefill + self.expected_gap(request) <= max_gap.mul_f64(MAX_GAP_FRACTION)
    }

    pub(super) fn expected_gap(&self, request: &PlacementRequest) -> Duration {
        let assumed = request.max_event_gap.map(|max_gap| max_gap.mul_f64(DEFAULT_GAP_FRACTION));
        self.event_gap.or(assumed).unwrap_or_default()
    }
}
