//! Tracks the prompt queue of one prefill engine and measures the speed of prefills.

use std::collections::VecDeque;
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::{BackendStart, SoftwareVersion};
use dillspool_schema::Name;

use crate::breaker::CircuitBreaker;
use crate::request::TicketId;

/// Number of prefills whose speed is kept.
const MAX_RATE_SAMPLES: usize = 64;
/// Quantile of the samples that counts as the prefill speed: some prompts are found in an engine's
/// cache and are faster, others wait behind work of other hosts and are slower.
const RATE_QUANTILE: f64 = 0.4;
/// Prefill time per token assumed before the first measurement.
const DEFAULT_SECONDS_PER_TOKEN: f64 = 0.000_025;
/// Maximum prefill time, also for a prompt that no engine has memory for.
const MAX_PREFILL_TIME: Duration = Duration::from_hours(24);
/// Delay beyond the expected end of the queue after which its engine counts as slow.
const SLOW_TOLERANCE: Duration = Duration::from_millis(100);

/// A prompt that is queued or being prefilled.
#[derive(Clone, Debug)]
struct PromptRecord {
    ticket: TicketId,
    tokens: u64,
    queued_at: Moment,
    /// Tokens queued up to and including this prompt when it was added.
    tokens_through: u64,
}

/// What is known about a prefill engine.
#[derive(Clone, Debug)]
pub(crate) struct PrefillState {
    pub(crate) failure_domain: Name,
    /// The engine start to which this state applies; `None` until one is reported.
    pub(crate) start: Option<BackendStart>,
    pub(crate) software: SoftwareVersion,
    pub(crate) breaker: CircuitBreaker,
    prompts: VecDeque<PromptRecord>,
}

impl PrefillState {
    pub(crate) fn new(
        failure_domain: Name,
        start: Option<BackendStart>,
        software: SoftwareVersion,
    ) -> Self {
        let breaker = CircuitBreaker::default();
        Self { failure_domain, start, software, breaker, prompts: VecDeque::new() }
    }

    /// Whether the engine gets no prompts now: its circuit breaker is open, or a probe prompt is in
    /// progress.
    pub(crate) fn is_unavailable(&self, now: Moment) -> bool {
        self.breaker.is_open(now) || (self.breaker.needs_probe() && !self.prompts.is_empty())
    }

    fn queued_tokens(&self) -> u64 {
        self.prompts.iter().map(|prompt| prompt.tokens).sum()
    }

    pub(crate) fn add(&mut self, ticket: TicketId, tokens: u64, now: Moment) {
        let tokens_through = self.queued_tokens() + tokens;
        self.prompts.push_back(PromptRecord { ticket, tokens, queued_at: now, tokens_through });
    }

    /// Removes a prompt; returns the tokens prefilled for it, including those queued ahead of it.
    pub(crate) fn remove(&mut self, ticket: TicketId) -> Option<u64> {
        let index = self.prompts.iter().position(|prompt| prompt.ticket == ticket)?;
        self.prompts.remove(index).map(|prompt| prompt.tokens_through)
    }

    /// Time until a newly added prompt is started.
    ///
    /// An engine that is long past the expected end of its queue is slow or does not respond; the
    /// wait is then at least as long as its oldest prompt has waited.
    pub(crate) fn queue_wait(&self, now: Moment, seconds_per_token: f64) -> Duration {
        let Some(oldest) = self.prompts.front() else { return Duration::ZERO };
        let waited = now.since(oldest.queued_at);
        let expected = prefill_time(oldest.tokens_through, seconds_per_token);
        if waited > expected + SLOW_TOLERANCE {
            return waited + prefill_time(self.queued_tokens(), seconds_per_token);
        }
        let done = waited.min(prefill_time(oldest.tokens, seconds_per_token));
        prefill_time(self.queued_tokens(), seconds_per_token).saturating_sub(done)
    }
}

/// Measured speed of prefills.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefillRate {
    /// Seconds per token of the newest prefills.
    samples: VecDeque<f64>,
}

impl PrefillRate {
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    pub(crate) fn record(&mut self, tokens: u64, took: Duration) {
        if self.samples.len() >= MAX_RATE_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(took.as_secs_f64() / tokens.max(1) as f64);
    }

    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the position lies within a few dozen"
    )]
    pub(crate) fn seconds_per_token(&self) -> f64 {
        let mut samples: Vec<f64> = self.samples.iter().copied().collect();
        samples.sort_by(f64::total_cmp);
        let index = (samples.len() as f64 * RATE_QUANTILE) as usize;
        samples.get(index).copied().unwrap_or(DEFAULT_SECONDS_PER_TOKEN)
    }
}

/// Time to prefill a number of tokens.
#[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
pub(crate) fn prefill_time(tokens: u64, seconds_per_token: f64) -> Duration {
    prefill_duration(tokens as f64 * seconds_per_token)
}

/// Converts a computed prefill time, which other hosts' numbers may make too large for a duration.
pub(crate) fn prefill_duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.min(MAX_PREFILL_TIME.as_secs_f64()))
}
