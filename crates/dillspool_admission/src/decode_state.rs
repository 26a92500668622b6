//! Tracks the streams of one decode engine and forecasts their memory use.

use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::{BackendStart, SoftwareVersion};
use dillspool_schema::Name;

use crate::breaker::CircuitBreaker;
use crate::lifetime::LifetimeModel;
use crate::prefill_state::prefill_duration;
use crate::request::{AdmissionPolicy, EngineCapacity, TicketId};

/// Points in time at which memory is forecast, as fractions of the mean lifetime of an answer.
/// After one mean lifetime most of the current streams have ended.
const HORIZON_FRACTIONS: [f64; HORIZON_COUNT] = [0.0, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0];
const HORIZON_COUNT: usize = 7;
/// Age at which a forecast is recomputed; memory grows by a few percent until then.
const FORECAST_TTL: Duration = Duration::from_millis(50);
/// Time for which an engine counts as full after it refused memory: the duration of a few events.
const REFUSAL_HOLD_TIME: Duration = Duration::from_millis(100);
/// Further time after which a refusal no longer says anything about the engine's memory.
const REFUSAL_DECAY_TIME: Duration = Duration::from_secs(1);
/// Weight of the newest answer in the moving average of an engine's slowness.
const SLOWNESS_WEIGHT: f64 = 0.4;
/// Mean answer lifetimes after which a measured slowness has decayed to about a third.
const SLOWNESS_DECAY_LIFETIMES: f64 = 3.0;
/// Range to which the slowness of an engine is clamped.
const SLOWNESS_RANGE: std::ops::RangeInclusive<f64> = 0.8..=4.0;
/// Factor by which a decode engine prefills more slowly than a prefill engine, since it interleaves
/// the prefill with the tokens of its streams, as the engines of the platform do.
pub(crate) const LOCAL_PREFILL_SLOWDOWN: f64 = 2.0;

/// A stream on a decode engine.
#[derive(Clone, Debug)]
pub(crate) struct StreamRecord {
    pub(crate) ticket: TicketId,
    pub(crate) prompt_tokens: u64,
    pub(crate) estimated_tokens: u64,
    pub(crate) max_tokens: u64,
    pub(crate) reserve_tokens: u64,
    /// When the engine accepted the stream; before that, only its reservation counts.
    pub(crate) started_at: Option<Moment>,
    /// Start of the prefill on the decode engine itself, if it is doing one.
    pub(crate) local_prefill_at: Option<Moment>,
}

impl StreamRecord {
    pub(crate) fn age(&self, now: Moment) -> Duration {
        self.started_at.map_or(Duration::ZERO, |started_at| now.since(started_at))
    }

    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    fn tokens_at_age(&self, age: Duration, seconds_per_token: f64) -> f64 {
        let generated = age.as_secs_f64() / seconds_per_token.max(f64::EPSILON);
        self.prompt_tokens as f64 + generated.min(self.max_tokens as f64)
    }

    /// Memory that the engine counts as used at an age: the reservation, or the stream itself once
    /// it exceeds its reservation.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    fn memory_at_age(&self, age: Duration, seconds_per_token: f64) -> f64 {
        self.tokens_at_age(age, seconds_per_token).max(self.reserve_tokens as f64)
    }
}

/// Forecast memory use of streams, in tokens, at several points in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemoryForecast {
    computed_at: Moment,
    mean: [f64; HORIZON_COUNT],
    variance: [f64; HORIZON_COUNT],
    /// Tokens used or reserved now.
    current: f64,
}

impl MemoryForecast {
    fn empty(computed_at: Moment) -> Self {
        Self {
            computed_at,
            mean: [0.0; HORIZON_COUNT],
            variance: [0.0; HORIZON_COUNT],
            current: 0.0,
        }
    }

    /// Forecast of a single stream on an engine that is slower than usual by the factor `slowness`.
    pub(crate) fn for_stream(
        stream: &StreamRecord,
        now: Moment,
        lifetimes: &LifetimeModel,
        slowness: f64,
    ) -> Self {
        let mut forecast = Self::empty(now);
        forecast.add(stream, now, lifetimes, slowness);
        forecast
    }

    /// Maximum over time of the combined use, at `deviations` standard deviations above the mean.
    fn combined_peak(&self, other: &Self, deviations: f64) -> f64 {
        let means = self.mean.iter().zip(other.mean).map(|(own, other)| own + other);
        let variances = self.variance.iter().zip(other.variance).map(|(own, other)| own + other);
        means
            .zip(variances)
            .map(|(mean, variance)| mean + deviations * variance.sqrt())
            .fold(self.current + other.current, f64::max)
    }

    fn add(
        &mut self,
        stream: &StreamRecord,
        now: Moment,
        lifetimes: &LifetimeModel,
        slowness: f64,
    ) {
        let (age, seconds_per_token) = (stream.age(now), lifetimes.seconds_per_token() * slowness);
        for (index, fraction) in HORIZON_FRACTIONS.iter().enumerate() {
            let ahead = lifetimes.mean_lifetime().mul_f64(*fraction);
            let (typical_age, typical_ahead) = (age.div_f64(slowness), ahead.div_f64(slowness));
            let survival =
                lifetimes.survival_probability(stream.estimated_tokens, typical_age, typical_ahead);
            let tokens = stream.memory_at_age(age + ahead, seconds_per_token);
            self.mean[index] += survival * tokens;
            self.variance[index] += survival * (1.0 - survival) * tokens * tokens;
        }
        self.current += stream.memory_at_age(age, seconds_per_token);
    }
}

/// What is known about a decode engine.
#[derive(Clone, Debug)]
pub(crate) struct DecodeState {
    pub(crate) failure_domain: Name,
    /// The engine start to which this state applies; `None` until one is reported.
    pub(crate) start: Option<BackendStart>,
    pub(crate) software: SoftwareVersion,
    pub(crate) streams: Vec<StreamRecord>,
    pub(crate) breaker: CircuitBreaker,
    forecast: Option<MemoryForecast>,
    /// Time per token relative to the usual one, and when it was measured.
    measured_slowness: Option<(f64, Moment)>,
    /// Memory used by streams unknown to the planner, inferred from a refused reservation, and when
    /// it was inferred.
    untracked_memory: Option<(f64, Moment)>,
}

impl DecodeState {
    pub(crate) fn new(
        failure_domain: Name,
        start: Option<BackendStart>,
        software: SoftwareVersion,
    ) -> Self {
        let breaker = CircuitBreaker::default();
        Self {
            failure_domain,
            start,
            software,
            streams: Vec::new(),
            breaker,
            forecast: None,
            measured_slowness: None,
            untracked_memory: None,
        }
    }

    pub(crate) fn add(&mut self, stream: StreamRecord) {
        self.streams.push(stream);
        self.forecast = None;
    }

    pub(crate) fn remove(&mut self, ticket: TicketId) -> Option<StreamRecord> {
        let index = self.streams.iter().position(|stream| stream.ticket == ticket)?;
        self.forecast = None;
        Some(self.streams.swap_remove(index))
    }

    /// Records the event gap of an answer that completed here, relative to the usual one.
    pub(crate) fn record_slowness(&mut self, ratio: f64, now: Moment, lifetimes: &LifetimeModel) {
        let known = self.slowness(now, lifetimes);
        self.measured_slowness = Some((known + SLOWNESS_WEIGHT * (ratio - known), now));
    }

    /// Factor by which the engine is slower than usual, estimated from the answers that completed
    /// here.
    pub(crate) fn slowness(&self, now: Moment, lifetimes: &LifetimeModel) -> f64 {
        let Some((slowness, measured_at)) = self.measured_slowness else { return 1.0 };
        let elapsed_lifetimes =
            now.since(measured_at).as_secs_f64() / lifetimes.mean_lifetime().as_secs_f64();
        let slowness =
            1.0 + (slowness - 1.0) * (-elapsed_lifetimes / SLOWNESS_DECAY_LIFETIMES).exp();
        slowness.clamp(*SLOWNESS_RANGE.start(), *SLOWNESS_RANGE.end())
    }

    pub(crate) fn record_started(&mut self, ticket: TicketId, now: Moment) {
        self.breaker.record_success(now);
        if let Some(stream) = self.streams.iter_mut().find(|stream| stream.ticket == ticket) {
            stream.started_at = Some(now);
            self.forecast = None;
        }
    }

    /// Whether the engine gets no requests now: its circuit breaker is open, or a probe request is
    /// in progress.
    pub(crate) fn is_unavailable(&self, now: Moment) -> bool {
        let has_probe = || self.streams.iter().any(|stream| stream.started_at.is_none());
        self.breaker.is_open(now) || (self.breaker.needs_probe() && has_probe())
    }

    pub(crate) fn record_prefill_started(&mut self, ticket: TicketId, now: Moment) {
        if let Some(stream) = self.streams.iter_mut().find(|stream| stream.ticket == ticket) {
            stream.local_prefill_at = Some(now);
        }
    }

    pub(crate) fn record_prefill_done(&mut self, ticket: TicketId) {
        if let Some(stream) = self.streams.iter_mut().find(|stream| stream.ticket == ticket) {
            stream.local_prefill_at = None;
        }
    }

    /// Tokens that remain free if the stream ran here, by the forecast and by the engine's
    /// reservations; negative if it doesn't fit.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    pub(crate) fn free_memory_with(
        &mut self,
        stream: &MemoryForecast,
        now: Moment,
        lifetimes: &LifetimeModel,
        capacity: &EngineCapacity,
        policy: &AdmissionPolicy,
    ) -> f64 {
        if self.streams.len() >= capacity.slots as usize {
            return f64::NEG_INFINITY;
        }
        let own = self.forecast(now, lifetimes);
        let peak = own.combined_peak(stream, policy.memory_deviations);
        capacity.memory_tokens as f64 - peak - self.untracked_tokens(now)
    }

    fn forecast(&mut self, now: Moment, lifetimes: &LifetimeModel) -> MemoryForecast {
        let is_fresh = |known: &MemoryForecast| now.since(known.computed_at) < FORECAST_TTL;
        if let Some(known) = self.forecast.filter(is_fresh) {
            return known;
        }
        let mut forecast = MemoryForecast::empty(now);
        let slowness = self.slowness(now, lifetimes);
        for stream in &self.streams {
            forecast.add(stream, now, lifetimes, slowness);
        }
        self.forecast = Some(forecast);
        forecast
    }

    /// Expected number of tokens released within `horizon` by streams that end.
    pub(crate) fn released_within(
        &self,
        horizon: Duration,
        now: Moment,
        lifetimes: &LifetimeModel,
    ) -> f64 {
        let slowness = self.slowness(now, lifetimes);
        let released = |stream: &StreamRecord| {
            let age = stream.age(now);
            let (typical_age, typical_horizon) = (age.div_f64(slowness), horizon.div_f64(slowness));
            let ends = 1.0
                - lifetimes.survival_probability(
                    stream.estimated_tokens,
                    typical_age,
                    typical_horizon,
                );
            ends * stream.memory_at_age(age, lifetimes.seconds_per_token() * slowness)
        };
        self.streams.iter().map(released).sum()
    }

    /// Records that the engine refused a reservation although `free` tokens were expected to
    /// remain.
    pub(crate) fn record_no_memory(&mut self, free: f64, now: Moment) {
        let missing = free.max(0.0) + 1.0;
        self.untracked_memory = Some((self.untracked_tokens(now) + missing, now));
    }

    fn untracked_tokens(&self, now: Moment) -> f64 {
        self.untracked_memory.map_or(0.0, |(tokens, at)| {
            let decaying_for = now.since(at).saturating_sub(REFUSAL_HOLD_TIME);
            tokens * (1.0 - decaying_for.as_secs_f64() / REFUSAL_DECAY_TIME.as_secs_f64()).max(0.0)
        })
    }

    /// Whether the engine is prefilling a prompt, judged by the prompt's length.
    pub(crate) fn is_prefilling(&self, now: Moment, seconds_per_token: f64) -> bool {
        self.streams.iter().any(|stream| {
            stream.local_prefill_at.is_some_and(|started_at| {
                now.since(started_at) < local_prefill_time(stream.prompt_tokens, seconds_per_token)
            })
        })
    }
}

/// Time that a decode engine takes for a prefill; `seconds_per_token` is that of a prefill engine.
#[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
pub(crate) fn local_prefill_time(prompt_tokens: u64, seconds_per_token: f64) -> Duration {
    prefill_duration(prompt_tokens as f64 * seconds_per_token * LOCAL_PREFILL_SLOWDOWN)
}
