//! Measures the model requests that pass through a host.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_schema::Name;
use dillspool_survival::{LifetimeSample, SurvivalCurve};
use tokio::time::Instant;

use crate::decay::{DecayedSum, effective_span};
use crate::demand::DemandEstimate;

/// Number of prefills whose speed is kept.
const MAX_RATE_SAMPLES: usize = 32;
/// Quantile of the samples that counts as the prefill speed. Some prompts are partly in the
/// engine's cache and many wait in its queue; below full load a third or more do neither.
const RATE_QUANTILE: f64 = 0.25;
/// Number of answer lifetimes kept: those of some seconds in a large pool, of a minute in a small
/// one.
const MAX_LIFETIMES: usize = 512;
/// Time after which the lifetime of a completed answer is dropped when a newer answer completes.
const LIFETIME_RETENTION: Duration = Duration::from_secs(90);
/// Maximum number of services kept; their names come from the configuration.
const MAX_SERVICES: usize = 256;

/// Minimum period over which requests are counted: the rate of the first few would be arbitrary.
const MIN_SPAN_S: f64 = 1.0;

#[derive(Debug)]
struct ServiceMeter {
    started_at: Instant,
    prompts: DecayedSum,
    prompt_tokens: DecayedSum,
    /// Token-seconds and seconds for which answers have held decode memory.
    held_token_s: DecayedSum,
    held_s: DecayedSum,
    /// Answers that released their memory.
    completed: DecayedSum,
    /// Times at which the newest of them released it, and how long they had held it.
    lifetimes: VecDeque<(Instant, Duration)>,
    /// Answers that hold memory, by id, and since when.
    active: BTreeMap<u64, Instant>,
    last_id: u64,
    /// Tokens of the answers that hold memory, and until when they are included in the sums above.
    active_tokens: u64,
    summed_at: Instant,
    /// Seconds per token of the newest prefills.
    prefill_rates: VecDeque<f64>,
}

impl ServiceMeter {
    fn new(now: Instant) -> Self {
        let sum = DecayedSum::new(now);
        Self {
            started_at: now,
            prompts: sum,
            prompt_tokens: sum,
            held_token_s: sum,
            held_s: sum,
            completed: sum,
            lifetimes: VecDeque::new(),
            active: BTreeMap::new(),
            last_id: 0,
            active_tokens: 0,
            summed_at: now,
            prefill_rates: VecDeque::new(),
        }
    }

    /// Adds what active answers have held since the last call, so that long answers count before
    /// they complete.
    #[expect(clippy::cast_precision_loss, reason = "tokens and answers are far below 2^52")]
    fn accumulate(&mut self, now: Instant) {
        let span_s = now.saturating_duration_since(self.summed_at).as_secs_f64();
        self.held_token_s.add(now, span_s * self.active_tokens as f64);
        self.held_s.add(now, span_s * self.active.len() as f64);
        self.summed_at = now;
    }

    fn start_hold(&mut self, tokens: u64, now: Instant) -> u64 {
        self.accumulate(now);
        self.last_id += 1;
        self.active.insert(self.last_id, now);
        self.active_tokens += tokens;
        self.last_id
    }

    fn end_hold(&mut self, id: u64, tokens: u64, now: Instant) {
        self.accumulate(now);
        self.active_tokens = self.active_tokens.saturating_sub(tokens);
        self.completed.add(now, 1.0);
        let Some(since) = self.active.remove(&id) else { return };
        if self.lifetimes.len() >= MAX_LIFETIMES {
            self.lifetimes.pop_front();
        }
        self.lifetimes.push_back((now, now.saturating_duration_since(since)));
        let is_expired = |(at, _lifetime): &(Instant, Duration)| {
            now.saturating_duration_since(*at) > LIFETIME_RETENTION
        };
        while self.lifetimes.front().is_some_and(is_expired) {
            self.lifetimes.pop_front();
        }
    }

    /// Mean time for which an answer holds memory.
    ///
    /// Dividing the total time held by the number of completed answers gives twice the correct
    /// value at the start of a load, when few answers have lived long enough to complete, and would
    /// leave the pool with too few prefill engines.
    fn mean_lifetime_s(&self, now: Instant) -> f64 {
        let completed = self.lifetimes.iter().map(|(_at, lifetime)| (*lifetime, true));
        let running =
            self.active.values().map(|since| (now.saturating_duration_since(*since), false));
        let samples = completed.chain(running).map(|(lifetime, has_ended)| LifetimeSample {
            lifetime: lifetime.as_secs_f64(),
            has_ended,
        });
        SurvivalCurve::estimate(samples.collect()).mean()
    }

    fn record_prefill_rate(&mut self, seconds_per_token: f64) {
        if self.prefill_rates.len() >= MAX_RATE_SAMPLES {
            self.prefill_rates.pop_front();
        }
        self.prefill_rates.push_back(seconds_per_token);
    }

    /// Seconds per token of a prefill that neither queues nor finds its prompt in the cache.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the position lies within a few dozen"
    )]
    fn seconds_per_token(&self) -> Option<f64> {
        let mut samples: Vec<f64> = self.prefill_rates.iter().copied().collect();
        samples.sort_by(f64::total_cmp);
        samples.get((samples.len() as f64 * RATE_QUANTILE) as usize).copied()
    }

    fn estimate(&mut self, now: Instant) -> Option<DemandEstimate> {
        self.accumulate(now);
        let seconds_per_token = self.seconds_per_token()?;
        let (prompts, completed) = (self.prompts.value(now), self.completed.value(now));
        if prompts <= 0.0 || completed <= 0.0 {
            return None;
        }
        let span_s = effective_span(now.saturating_duration_since(self.started_at)).max(MIN_SPAN_S);
        let held_s = self.mean_lifetime_s(now);
        let mean_tokens = self.held_token_s.value(now) / self.held_s.value(now).max(f64::EPSILON);
        Some(DemandEstimate {
            prompts,
            prompts_per_s: prompts / span_s,
            completed,
            prefill_s: self.prompt_tokens.value(now) / prompts * seconds_per_token,
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
    fn with_meter<T>(
        &self,
        service: &Name,
        update: impl FnOnce(&mut ServiceMeter, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if services.len() >= MAX_SERVICES {
            services.retain(|_service, meter| !meter.active.is_empty());
        }
        let meter = services.entry(Name::clone(service)).or_insert_with(|| ServiceMeter::new(now));
        update(meter, now)
    }

    /// Records a prompt, including one that is rejected.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    pub fn record_prompt(&self, service: &Name, tokens: u64) {
        self.with_meter(service, |meter, now| {
            meter.prompts.add(now, 1.0);
            meter.prompt_tokens.add(now, tokens as f64);
        });
    }

    /// Records how long a prefill took, including its wait.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    pub fn record_prefill(&self, service: &Name, tokens: u64, took: Duration) {
        let seconds_per_token = took.as_secs_f64() / tokens.max(1) as f64;
        self.with_meter(service, |meter, _now| meter.record_prefill_rate(seconds_per_token));
    }

    /// Records an answer that holds decode memory until the returned guard is dropped.
    #[must_use]
    pub fn hold_memory(&self, service: &Name, tokens: u64) -> MemoryGuard {
        let id = self.with_meter(service, |meter, now| meter.start_hold(tokens, now));
        MemoryGuard { meter: self.clone(), service: Name::clone(service), id, tokens }
    }

    /// Estimates the resources that a service's requests need; `None` until there are enough
    /// observations.
    pub fn estimate(&self, service: &Name) -> Option<DemandEstimate> {
        self.with_meter(service, ServiceMeter::estimate)
    }
}

/// Decode memory held by an answer; dropping the guard records its release.
#[derive(Debug)]
pub struct MemoryGuard {
    meter: DemandMeter,
    service: Name,
    id: u64,
    tokens: u64,
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        self.meter
            .with_meter(&self.service, |meter, now| meter.end_hold(self.id, self.tokens, now));
    }
}
