//! One model request: its answer, and how it goes on when an engine fails.
//!
//! [`placing`] finds it engines: placed, prefilled, decoded.

mod placing;

use std::sync::Arc;
use std::time::Duration;

use dillspool_config::ConfigSnapshot;
use dillspool_engine::{EngineError, TokenStream};
use dillspool_schema::configuration::{GroupEntry, PoolEntry};
use dillspool_schema::messages::ReleaseCause;
use dillspool_schema::{Name, StreamId};
use dillspool_suspects::RequestFingerprint;
use hyper::StatusCode;
use tokio::time::Instant;

use crate::context::EntryContext;
use crate::openai::GenerationRequest;
use crate::placement::{EngineRef, Placement};
use crate::problem::{RequestProblem, WorkOutcome};

/// Placements of one request at most.
const MOST_ATTEMPTS: u32 = 4;
/// Tokens' time of silence after which a stream counts as stalled.
const STALL_TOKENS: u32 = 20;
/// Shortest silence that counts as a stall.
const SHORTEST_STALL: Duration = Duration::from_secs(1);

/// What a caller asked, with the terms of its group and pool.
#[derive(Clone, Debug)]
pub(crate) struct AnswerTerms {
    /// Names the request in the log and in its answer.
    pub(crate) id: StreamId,
    /// The same for all copies of the request.
    pub(crate) print: RequestFingerprint,
    pub(crate) snapshot: Arc<ConfigSnapshot>,
    pub(crate) group: GroupEntry,
    pub(crate) pool: PoolEntry,
    pub(crate) request: GenerationRequest,
    pub(crate) arrived: Instant,
}

impl AnswerTerms {
    fn first_token(&self) -> Duration {
        Duration::from_millis(self.group.first_token_ms.into())
    }

    fn per_token(&self) -> Duration {
        Duration::from_millis(self.group.per_token_ms.into())
    }

    fn stall_limit(&self) -> Duration {
        (self.per_token() * STALL_TOKENS).max(SHORTEST_STALL)
    }

    fn engine(&self, name: &str) -> Option<EngineRef> {
        let entry = self.snapshot.backend(name)?;
        let address = entry.address.parse().ok()?;
        Some(EngineRef { name: Name::clone(&entry.name), address })
    }
}

/// The next part of an answer.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    Token(Name),
    End(Name),
}

/// A stream that is open on a decode engine.
struct OpenStream {
    placement: Placement,
    tokens: TokenStream,
}

/// An answer under way; dropping it frees all that it holds.
pub(crate) struct AnswerStream {
    context: EntryContext,
    terms: AnswerTerms,
    open: Option<OpenStream>,
    /// Tokens given out so far, to go on elsewhere behind them.
    sent: Vec<Name>,
    avoid: Vec<Name>,
    attempts: u32,
    pub(crate) prompt_tokens: u64,
    first_token_at: Option<Instant>,
}

impl AnswerStream {
    /// Places the request and opens its stream.
    pub(crate) async fn open(
        context: EntryContext,
        terms: AnswerTerms,
    ) -> Result<Self, RequestProblem> {
        let mut answer = Self {
            context,
            terms,
            open: None,
            sent: Vec::new(),
            avoid: Vec::new(),
            attempts: 0,
            prompt_tokens: 0,
            first_token_at: None,
        };
        answer.place().await?;
        Ok(answer)
    }

    /// The next token, in order and once; an error means that no whole answer will come.
    pub(crate) async fn next(&mut self) -> Result<AnswerPart, RequestProblem> {
        loop {
            let Some(open) = &mut self.open else {
                self.place().await?;
                continue;
            };
            match open.tokens.next().await {
                Ok(event) => {
                    if let Some(finish) = event.finish {
                        self.finish();
                        return Ok(AnswerPart::End(finish));
                    }
                    return Ok(AnswerPart::Token(self.take_token(event.text)));
                }
                Err(error) => self.recover(error).await?,
            }
        }
    }

    fn take_token(&mut self, text: Option<Name>) -> Name {
        let text = text.unwrap_or_else(|| "".into());
        self.sent.push(Name::clone(&text));
        self.context.metrics.count_token();
        if let Some(open) = &mut self.open {
            open.placement.tokens += 1;
        }
        if self.first_token_at.is_none() {
            let now = Instant::now();
            self.first_token_at = Some(now);
            self.context.metrics.observe_first_token(now - self.terms.arrived);
        }
        text
    }

    /// The answer is whole: give the placement back and count whether it met its targets.
    fn finish(&mut self) {
        if let Some(open) = self.open.take() {
            open.placement.end(ReleaseCause::Done);
        }
        let percent = self.terms.snapshot.configuration.policy.retry_percent;
        self.context.retry_budget.record_success(percent);
        let outcome = if self.met_targets() { "good" } else { "late" };
        let group = &self.terms.group.name;
        self.context.metrics.count_request(group, outcome, "");
        let first = self.first_token_at.map_or(0, |at| (at - self.terms.arrived).as_millis());
        log::info!(
            "event=request_whole request={} group={group} outcome={outcome} tokens={} first_token_ms={first} \
             total_ms={} placements={}",
            self.terms.id,
            self.sent.len(),
            self.terms.arrived.elapsed().as_millis(),
            self.attempts
        );
    }

    fn met_targets(&self) -> bool {
        let Some(first) = self.first_token_at else {
            return true;
        };
        let further = u32::try_from(self.sent.len()).unwrap_or(u32::MAX).saturating_sub(1);
        let per_token = first.elapsed() / further.max(1);
        if further > 0 {
            self.context.metrics.observe_per_token(per_token);
        }
        first - self.terms.arrived <= self.terms.first_token()
            && per_token <= self.terms.per_token()
    }

    /// Goes on after a stream failed: on the same engine if it still runs there, else elsewhere.
    async fn recover(&mut self, error: EngineError) -> Result<(), RequestProblem> {
        let Some(mut open) = self.open.take() else {
            return Ok(());
        };
        log::info!(
            "event=stream_failed request={} stream={} error=\"{error}\"",
            self.terms.id,
            open.placement.stream()
        );
        if matches!(error, EngineError::Interrupted { .. })
            && let Some(tokens) = self.reopen(&open.placement).await
        {
            open.tokens = tokens;
            self.open = Some(open);
            return Ok(());
        }
        let engine = open.placement.decode_engine().cloned();
        if let Some(engine) = &engine {
            self.avoid.push(Name::clone(&engine.name));
        }
        let ended = self.ended_under_it(engine.as_ref(), &error).await;
        open.placement.end_at(ReleaseCause::DecodeFailed, ended);
        self.allow_retry("engine_failed", &error)
    }

    /// The engine, if its process has ended while the request ran there.
    async fn ended_under_it(
        &self,
        engine: Option<&EngineRef>,
        error: &EngineError,
    ) -> Option<Name> {
        let engine = engine?;
        match error {
            EngineError::Interrupted { .. } | EngineError::Stalled { .. } => {}
            EngineError::Refused { .. }
            | EngineError::Unreachable { .. }
            | EngineError::InvalidResponse { .. } => return None,
        }
        let ended = self.context.engines.refuses_connections(engine.address).await;
        ended.then(|| Name::clone(&engine.name))
    }

    async fn reopen(&self, placement: &Placement) -> Option<TokenStream> {
        let engine = placement.decode_engine()?;
        let from = self.sent.len() as u64;
        let limit = self.terms.stall_limit();
        let resumed =
            self.context.engines.resume(engine.address, placement.stream(), from, limit).await;
        resumed.ok()
    }

    /// Whether another placement may be tried: within the attempts and the budget of retries.
    fn allow_retry(
        &mut self,
        code: &'static str,
        error: &EngineError,
    ) -> Result<(), RequestProblem> {
        if self.attempts < MOST_ATTEMPTS && self.context.retry_budget.try_withdraw() {
            self.context.metrics.count_retry();
            return Ok(());
        }
        let detail = format!("the answer could not be finished: {error}");
        Err(self.problem(StatusCode::BAD_GATEWAY, code, detail, Duration::from_secs(1)))
    }

    fn problem(
        &self,
        status: StatusCode,
        code: &'static str,
        detail: String,
        retry: Duration,
    ) -> RequestProblem {
        self.after_attempts(RequestProblem::not_run(status, code, detail).retry_after(retry))
    }

    /// Tells what is true of the work so far.
    fn after_attempts(&self, problem: RequestProblem) -> RequestProblem {
        if self.attempts == 0 { problem } else { problem.outcome(WorkOutcome::Incomplete) }
    }
}
