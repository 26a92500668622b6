//! The prompts that wait at one prefill engine, and the pace at which engines read them.

use std::collections::VecDeque;
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::BackendStart;
use dillspool_schema::Name;

use crate::request::TicketId;
use crate::shut::ShutState;

/// Prefills whose pace is kept.
const KEPT_PACES: usize = 64;
/// Part of them that was faster than the pace that counts: prompts are found in an engine's cache
/// now and then, and behind what others sent there they wait.
const FASTER_PART: f64 = 0.4;
/// Seconds a prompt token that are assumed before any prefill was seen.
const ASSUMED_PACE_S: f64 = 0.000_025;
/// Time beyond what a queue should have taken after which its engine counts as slow.
const SLOW_AFTER: Duration = Duration::from_millis(100);

/// A prompt that waits or is read.
#[derive(Clone, Debug)]
struct PromptRecord {
    ticket: TicketId,
    tokens: u64,
    since: Moment,
    /// Tokens that were before it when it came, its own included.
    behind: u64,
}

/// A prefill engine as far as it is known.
#[derive(Clone, Debug)]
pub(crate) struct PrefillBook {
    pub(crate) domain: Name,
    /// The start that all of this is about; `None` until one is told.
    pub(crate) start: Option<BackendStart>,
    pub(crate) shut: ShutState,
    prompts: VecDeque<PromptRecord>,
}

impl PrefillBook {
    pub(crate) fn new(domain: Name, start: Option<BackendStart>) -> Self {
        Self { domain, start, shut: ShutState::default(), prompts: VecDeque::new() }
    }

    /// Whether it gets nothing now: it is shut, or has yet to show with one prompt that it does as it
    /// should.
    pub(crate) fn is_closed(&self, now: Moment) -> bool {
        self.shut.is_shut(now) || (self.shut.is_on_probation() && !self.prompts.is_empty())
    }

    fn queued_tokens(&self) -> u64 {
        self.prompts.iter().map(|prompt| prompt.tokens).sum()
    }

    pub(crate) fn add(&mut self, ticket: TicketId, tokens: u64, now: Moment) {
        let behind = self.queued_tokens() + tokens;
        self.prompts.push_back(PromptRecord { ticket, tokens, since: now, behind });
    }

    /// Takes a prompt off; returns the tokens that were read for it, those before it included.
    pub(crate) fn remove(&mut self, ticket: TicketId) -> Option<u64> {
        let at = self.prompts.iter().position(|prompt| prompt.ticket == ticket)?;
        self.prompts.remove(at).map(|prompt| prompt.behind)
    }

    /// Time until a prompt that comes now is begun.
    ///
    /// An engine that should have been done long ago is slow or silent: then the wait is at least as
    /// long as its oldest prompt has had to wait.
    pub(crate) fn wait(&self, now: Moment, pace_s: f64) -> Duration {
        let Some(oldest) = self.prompts.front() else { return Duration::ZERO };
        let waited = now.since(oldest.since);
        let expected = tokens_time(oldest.behind, pace_s);
        if waited > expected + SLOW_AFTER {
            return waited + tokens_time(self.queued_tokens(), pace_s);
        }
        let read = waited.min(tokens_time(oldest.tokens, pace_s));
        tokens_time(self.queued_tokens(), pace_s).saturating_sub(read)
    }
}

/// The pace at which prefill engines read.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadPace {
    /// Seconds a token of the newest prefills.
    paces: VecDeque<f64>,
}

impl ReadPace {
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    pub(crate) fn note(&mut self, tokens: u64, took: Duration) {
        if self.paces.len() >= KEPT_PACES {
            self.paces.pop_front();
        }
        self.paces.push_back(took.as_secs_f64() / tokens.max(1) as f64);
    }

    /// Seconds a token.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the position lies within a few dozen"
    )]
    pub(crate) fn token_s(&self) -> f64 {
        let mut paces: Vec<f64> = self.paces.iter().copied().collect();
        paces.sort_by(f64::total_cmp);
        let at = (paces.len() as f64 * FASTER_PART) as usize;
        paces.get(at).copied().unwrap_or(ASSUMED_PACE_S)
    }
}

/// Time to read so many tokens.
#[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
pub(crate) fn tokens_time(tokens: u64, pace_s: f64) -> Duration {
    Duration::from_secs_f64(tokens as f64 * pace_s)
}
