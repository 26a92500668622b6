//! Models how long answers hold memory, given their estimated length.
//!
//! The estimates are right in the median but often far off, so the memory that an engine's streams
//! will need is a random variable. Its distribution is learnt from recently completed answers and
//! expressed in time, not tokens: this needs no knowledge of the model and follows the speed of the
//! engines.

use std::collections::VecDeque;
use std::time::Duration;

use dillspool_survival::{LifetimeSample, SurvivalCurve};

/// Number of answers kept: those of some seconds in a large pool, of a minute in a small one.
const MAX_SAMPLES: usize = 256;
/// Number of answers from which on the defaults below are no longer used.
const MIN_SAMPLES: usize = 8;
/// Time per token assumed before any answer has completed.
const DEFAULT_SECONDS_PER_TOKEN: f64 = 0.001;
/// Mean lifetime assumed before any answer has completed.
const DEFAULT_LIFETIME: Duration = Duration::from_secs(2);
/// Default standard deviation of the logarithm of lifetime over estimate; callers report that their
/// estimates are right in the median and often far off.
const DEFAULT_LOG_SPREAD: f64 = 0.5;
/// Maximum lifetime of an answer, also for an estimate that no engine has memory for.
const MAX_LIFETIME: Duration = Duration::from_hours(24);
/// Number of points of the default curve.
const DEFAULT_CURVE_POINTS: u32 = 64;
/// Number of new answers after which the curve is recomputed.
const REFRESH_INTERVAL: usize = 8;
/// Mean remaining lifetime of a stream older than all known lifetimes, as a fraction of its age.
const TAIL_FRACTION: f64 = 0.25;
/// Weight of the prior that lifetimes are proportional to estimates, in answers whose estimates
/// vary by a factor of e.
const PRIOR_WEIGHT: f64 = 8.0;
/// Range of the exponent with which lifetimes grow with the estimate.
const EXPONENT_RANGE: std::ops::RangeInclusive<f64> = 0.2..=1.2;

/// A completed answer, in logarithms of tokens and seconds.
#[derive(Clone, Copy, Debug)]
struct CompletedAnswer {
    log_tokens: f64,
    log_lifetime: f64,
}

/// Distribution of answer lifetimes, learnt from completed answers and from those in progress.
#[derive(Clone, Debug)]
pub struct LifetimeModel {
    /// Completed answers, newest last.
    samples: VecDeque<CompletedAnswer>,
    /// Answers recorded since the curve was computed.
    new_samples: usize,
    /// Logarithm of the lifetime for an estimate of one token, and the exponent with which the
    /// lifetime grows with the estimate. Large estimates tend to be too large and small ones too
    /// small, so the exponent is usually less than one.
    intercept: f64,
    exponent: f64,
    seconds_per_token: f64,
    mean_lifetime: Duration,
    /// Survival curve of lifetimes relative to the typical lifetime for the estimate.
    curve: SurvivalCurve,
}

impl Default for LifetimeModel {
    fn default() -> Self {
        Self {
            samples: VecDeque::new(),
            new_samples: 0,
            intercept: DEFAULT_SECONDS_PER_TOKEN.ln(),
            exponent: 1.0,
            seconds_per_token: DEFAULT_SECONDS_PER_TOKEN,
            mean_lifetime: DEFAULT_LIFETIME,
            curve: default_curve(),
        }
    }
}

impl LifetimeModel {
    /// Records an answer that completed successfully after `lifetime`.
    pub fn record(&mut self, estimated_tokens: u64, lifetime: Duration) {
        if lifetime.is_zero() {
            return;
        }
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(CompletedAnswer {
            log_tokens: ln(estimated_tokens),
            log_lifetime: lifetime.as_secs_f64().ln(),
        });
        self.new_samples += 1;
    }

    /// Whether enough answers were recorded since the curve was computed.
    pub fn is_stale(&self) -> bool {
        self.new_samples >= REFRESH_INTERVAL
    }

    /// Recomputes the curve; `running` holds the estimates and ages of streams in progress.
    pub fn refresh(&mut self, running: &[(u64, Duration)]) {
        self.new_samples = 0;
        if self.samples.len() < MIN_SAMPLES {
            return;
        }
        self.fit();
        let completed = self.samples.iter().map(|answer| {
            let typical = self.intercept + self.exponent * answer.log_tokens;
            LifetimeSample { lifetime: (answer.log_lifetime - typical).exp(), has_ended: true }
        });
        let running = running.iter().map(|(estimated_tokens, age)| LifetimeSample {
            lifetime: self.relative_age(*estimated_tokens, *age),
            has_ended: false,
        });
        // Streams in progress count as censored samples; otherwise short answers, which complete
        // first, would be overrepresented.
        self.curve = SurvivalCurve::estimate(completed.chain(running).collect());
    }

    /// Fits a line through the logarithms of estimates and lifetimes by least squares.
    #[expect(clippy::cast_precision_loss, reason = "some hundred answers")]
    fn fit(&mut self) {
        let count = self.samples.len() as f64;
        let mean_tokens = self.samples.iter().map(|answer| answer.log_tokens).sum::<f64>() / count;
        let mean_lifetime =
            self.samples.iter().map(|answer| answer.log_lifetime).sum::<f64>() / count;
        let (mut covariance, mut variance) = (PRIOR_WEIGHT, PRIOR_WEIGHT);
        for answer in &self.samples {
            covariance += (answer.log_tokens - mean_tokens) * (answer.log_lifetime - mean_lifetime);
            variance += (answer.log_tokens - mean_tokens).powi(2);
        }
        self.exponent =
            (covariance / variance).clamp(*EXPONENT_RANGE.start(), *EXPONENT_RANGE.end());
        self.intercept = mean_lifetime - self.exponent * mean_tokens;
        self.seconds_per_token = (mean_lifetime - mean_tokens).exp();
        let lifetimes = self.samples.iter().map(|answer| answer.log_lifetime.exp());
        self.mean_lifetime = Duration::from_secs_f64(lifetimes.sum::<f64>() / count);
    }

    /// The typical lifetime for an estimate.
    pub fn typical_lifetime(&self, estimated_tokens: u64) -> Duration {
        let seconds = (self.intercept + self.exponent * ln(estimated_tokens)).exp();
        Duration::from_secs_f64(seconds.min(MAX_LIFETIME.as_secs_f64()))
    }

    /// The typical number of tokens of an answer for an estimate.
    pub fn typical_tokens(&self, estimated_tokens: u64) -> f64 {
        self.typical_lifetime(estimated_tokens).as_secs_f64() / self.seconds_per_token
    }

    fn relative_age(&self, estimated_tokens: u64, age: Duration) -> f64 {
        age.as_secs_f64() / self.typical_lifetime(estimated_tokens).as_secs_f64().max(f64::EPSILON)
    }

    /// Probability that a stream of the given age continues for `further`.
    pub fn survival_probability(
        &self,
        estimated_tokens: u64,
        age: Duration,
        further: Duration,
    ) -> f64 {
        let surviving = self.curve.survival_at(self.relative_age(estimated_tokens, age));
        if surviving > 0.0 {
            return self.curve.survival_at(self.relative_age(estimated_tokens, age + further))
                / surviving;
        }
        let tail = (TAIL_FRACTION * age.as_secs_f64()).max(f64::EPSILON);
        (-further.as_secs_f64() / tail).exp()
    }

    /// Time per token, from lifetimes over estimates, which are right in the median.
    pub fn seconds_per_token(&self) -> f64 {
        self.seconds_per_token
    }

    /// Mean lifetime of an answer.
    pub fn mean_lifetime(&self) -> Duration {
        self.mean_lifetime
    }
}

#[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
fn ln(tokens: u64) -> f64 {
    (tokens.max(1) as f64).ln()
}

/// The survival curve before any answers are known.
fn default_curve() -> SurvivalCurve {
    let quantile = |point| f64::from(point) / f64::from(DEFAULT_CURVE_POINTS);
    let step =
        |quantile: f64| ((DEFAULT_LOG_SPREAD * normal_quantile(quantile)).exp(), 1.0 - quantile);
    SurvivalCurve::from_steps((1..DEFAULT_CURVE_POINTS).map(quantile).map(step).collect())
}

/// Approximates the normal quantile by that of the logistic distribution closest to it.
fn normal_quantile(quantile: f64) -> f64 {
    /// Scale of the logistic distribution with the same quartiles as the normal distribution.
    const SCALE: f64 = 0.614;
    SCALE * (quantile / (1.0 - quantile)).ln()
}
