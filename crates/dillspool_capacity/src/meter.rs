//! Observes the model requests that pass through one host.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_schema::Name;
use dillspool_survival::{LifetimeSample, SurvivalCurve};
use tokio::time::Instant;

use crate::decay::{DecayedSum, span};
use crate::need::DemandEstimate;

/// Prefills whose pace is kept.
const KEPT_PACES: usize = 32;
/// Part of them that was faster than the pace that counts. Some find their prompt in the engine's
/// cache in part, and many wait in its queue; below full load a third or more do neither.
const FASTER_PART: f64 = 0.25;
/// Lives of answers that are kept, some seconds' worth of a large pool and a minute's of a small one.
const KEPT_LIVES: usize = 512;
/// Time for which the life of an answer that has ended is kept, as long as newer ones are known.
const LIVES_KEPT_FOR: Duration = Duration::from_secs(90);
/// Services kept at most; the names come from the configuration.
const MOST_SERVICES: usize = 256;

/// Shortest time over which requests are counted: a rate of the first few would be any.
const SHORTEST_SPAN_S: f64 = 1.0;

#[derive(Debug)]
struct ServiceMeter {
    since: Instant,
    prompts: DecayedSum,
    prompt_tokens: DecayedSum,
    /// Token-seconds and seconds for which answers have held decode memory.
    held_token_s: DecayedSum,
    held_s: DecayedSum,
    /// Answers that gave their memory back.
    ended: DecayedSum,
    /// When the newest of them did so, and for how long they had held it.
    lives: VecDeque<(Instant, Duration)>,
    /// Answers that hold memory, since when, by their numbers.
    holding: BTreeMap<u64, Instant>,
    next_number: u64,
    /// Their tokens, and until when they are in the sums above.
    holding_tokens: u64,
    summed_at: Instant,
    /// Seconds a token of the newest prefills.
    paces: VecDeque<f64>,
}

impl ServiceMeter {
    fn new(now: Instant) -> Self {
        let sum = DecayedSum::new(now);
        Self {
            since: now,
            prompts: sum,
            prompt_tokens: sum,
            held_token_s: sum,
            held_s: sum,
            ended: sum,
            lives: VecDeque::new(),
            holding: BTreeMap::new(),
            next_number: 0,
            holding_tokens: 0,
            summed_at: now,
            paces: VecDeque::new(),
        }
    }

    /// Adds what the answers under way have held since the last time, so that long ones count
    /// before they end.
    #[expect(clippy::cast_precision_loss, reason = "tokens and answers are far below 2^52")]
    fn sum_up(&mut self, now: Instant) {
        let span_s = now.saturating_duration_since(self.summed_at).as_secs_f64();
        self.held_token_s.add(now, span_s * self.holding_tokens as f64);
        self.held_s.add(now, span_s * self.holding.len() as f64);
        self.summed_at = now;
    }

    fn enter(&mut self, tokens: u64, now: Instant) -> u64 {
        self.sum_up(now);
        self.next_number += 1;
        self.holding.insert(self.next_number, now);
        self.holding_tokens += tokens;
        self.next_number
    }

    fn leave(&mut self, number: u64, tokens: u64, now: Instant) {
        self.sum_up(now);
        self.holding_tokens = self.holding_tokens.saturating_sub(tokens);
        self.ended.add(now, 1.0);
        let Some(since) = self.holding.remove(&number) else { return };
        if self.lives.len() >= KEPT_LIVES {
            self.lives.pop_front();
        }
        self.lives.push_back((now, now.saturating_duration_since(since)));
        let is_old =
            |(at, _life): &(Instant, Duration)| now.saturating_duration_since(*at) > LIVES_KEPT_FOR;
        while self.lives.front().is_some_and(is_old) {
            self.lives.pop_front();
        }
    }

    /// Mean time for which an answer holds memory.
    ///
    /// The time that all have held it over the number that ended is twice too long at the start of a load,
    /// when few have lived long enough to end, and would leave the pool with too few prefill engines.
    fn mean_life_s(&self, now: Instant) -> f64 {
        let ended = self.lives.iter().map(|(_at, life)| (*life, true));
        let running =
            self.holding.values().map(|since| (now.saturating_duration_since(*since), false));
        let samples = ended
            .chain(running)
            .map(|(life, has_ended)| LifetimeSample { lifetime: life.as_secs_f64(), has_ended });
        SurvivalCurve::estimate(samples.collect()).mean()
    }

    fn note_pace(&mut self, seconds_a_token: f64) {
        if self.paces.len() >= KEPT_PACES {
            self.paces.pop_front();
        }
        self.paces.push_back(seconds_a_token);
    }

    /// Seconds a token of a prefill that neither waits nor finds its prompt in the cache.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the position lies within a few dozen"
    )]
    fn pace(&self) -> Option<f64> {
        let mut paces: Vec<f64> = self.paces.iter().copied().collect();
        paces.sort_by(f64::total_cmp);
        paces.get((paces.len() as f64 * FASTER_PART) as usize).copied()
    }

    fn estimate(&mut self, now: Instant) -> Option<DemandEstimate> {
        self.sum_up(now);
        let pace = self.pace()?;
        let (prompts, ended) = (self.prompts.read(now), self.ended.read(now));
        if prompts <= 0.0 || ended <= 0.0 {
            return None;
        }
        let span_s = span(now.saturating_duration_since(self.since)).max(SHORTEST_SPAN_S);
        let held_s = self.mean_life_s(now);
        let mean_tokens = self.held_token_s.read(now) / self.held_s.read(now).max(f64::EPSILON);
        Some(DemandEstimate {
            prompts,
            prompts_per_s: prompts / span_s,
            completed: ended,
            prefill_s: self.prompt_tokens.read(now) / prompts * pace,
            held_token_s: mean_tokens * held_s,
            held_s,
        })
    }
}

/// The meters of all services.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    services: Arc<Mutex<HashMap<Name, ServiceMeter>>>,
}

impl DemandMeter {
    fn with<T>(&self, service: &Name, run: impl FnOnce(&mut ServiceMeter, Instant) -> T) -> T {
        let now = Instant::now();
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if services.len() >= MOST_SERVICES {
            services.retain(|_service, meter| !meter.holding.is_empty());
        }
        let meter = services.entry(Name::clone(service)).or_insert_with(|| ServiceMeter::new(now));
        run(meter, now)
    }

    /// Notes a prompt of so many tokens, also one that is refused.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    pub fn record_prompt(&self, service: &Name, tokens: u64) {
        self.with(service, |meter, now| {
            meter.prompts.add(now, 1.0);
            meter.prompt_tokens.add(now, tokens as f64);
        });
    }

    /// Notes how long a prefill of so many tokens took, with its wait.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    pub fn record_prefill(&self, service: &Name, tokens: u64, took: Duration) {
        let seconds_a_token = took.as_secs_f64() / tokens.max(1) as f64;
        self.with(service, |meter, _now| meter.note_pace(seconds_a_token));
    }

    /// Notes an answer that holds so many tokens of decode memory until the ticket is dropped.
    #[must_use]
    pub fn hold_memory(&self, service: &Name, tokens: u64) -> MemoryGuard {
        let number = self.with(service, |meter, now| meter.enter(tokens, now));
        MemoryGuard { meter: self.clone(), service: Name::clone(service), number, tokens }
    }

    /// What a service's requests ask; `None` before anything is known.
    pub fn estimate(&self, service: &Name) -> Option<DemandEstimate> {
        self.with(service, ServiceMeter::estimate)
    }
}

/// Decode memory that an answer holds; dropping it notes that it is given back.
#[derive(Debug)]
pub struct MemoryGuard {
    meter: DemandMeter,
    service: Name,
    number: u64,
    tokens: u64,
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        self.meter.with(&self.service, |meter, now| meter.leave(self.number, self.tokens, now));
    }
}
