//! The token stream of one model request, which fails over when an engine fails.
//!
//! [`open`] gets a placement, runs the prefill and opens the stream on the decode engine.

mod open;

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
use crate::placement::{BackendRef, Placement};
use crate::problem::{RequestProblem, WorkOutcome};

/// Maximum number of placements for one request.
const MAX_PLACEMENTS: u32 = 4;
/// A stream counts as stalled after this many times the per-token target without a token.
const STALL_TOKEN_INTERVALS: u32 = 20;
/// Minimum time without a token that counts as a stall.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A caller's request with the settings of its group and pool.
#[derive(Clone, Debug)]
pub(crate) struct CompletionParams {
    /// Identifies the request in the log and in the response.
    pub(crate) id: StreamId,
    /// Equal for all copies of the request.
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) snapshot: Arc<ConfigSnapshot>,
    pub(crate) group: GroupEntry,
    pub(crate) pool: PoolEntry,
    pub(crate) request: GenerationRequest,
    pub(crate) arrived: Instant,
}

impl CompletionParams {
    fn first_token_target(&self) -> Duration {
        Duration::from_millis(self.group.first_token_ms.into())
    }

    fn per_token_target(&self) -> Duration {
        Duration::from_millis(self.group.per_token_ms.into())
    }

    fn stall_timeout(&self) -> Duration {
        (self.per_token_target() * STALL_TOKEN_INTERVALS).max(MIN_STALL_TIMEOUT)
    }

    fn engine(&self, name: &str) -> Option<BackendRef> {
        let entry = self.snapshot.backend(name)?;
        let address = entry.address.parse().ok()?;
        Some(BackendRef { name: Name::clone(&entry.name), address })
    }
}

/// An event of a completion: a token, or the end with its finish reason.
#[derive(Debug)]
pub(crate) enum CompletionEvent {
    Token(Name),
    End(Name),
}

/// A stream that is open on a decode engine, and its placement.
struct OpenStream {
    placement: Placement,
    tokens: TokenStream,
}

/// The completion of a request in progress; dropping it releases everything that it holds.
pub(crate) struct CompletionStream {
    context: EntryContext,
    params: CompletionParams,
    open: Option<OpenStream>,
    /// Tokens returned so far, so that another engine can continue after them.
    sent: Vec<Name>,
    /// Engines that failed, which the scheduler should avoid.
    avoid: Vec<Name>,
    attempts: u32,
    pub(crate) prompt_tokens: u64,
    first_token_at: Option<Instant>,
}

impl CompletionStream {
    /// Places the request and opens its stream.
    pub(crate) async fn open(
        context: EntryContext,
        params: CompletionParams,
    ) -> Result<Self, RequestProblem> {
        let mut stream = Self {
            context,
            params,
            open: None,
            sent: Vec::new(),
            avoid: Vec::new(),
            attempts: 0,
            prompt_tokens: 0,
            first_token_at: None,
        };
        stream.open_with_retries().await?;
        Ok(stream)
    }

    /// Returns the next event. Each token is returned once and in order; after an error the
    /// completion stays incomplete.
    pub(crate) async fn next(&mut self) -> Result<CompletionEvent, RequestProblem> {
        loop {
            let Some(open) = &mut self.open else {
                self.open_with_retries().await?;
                continue;
            };
            match open.tokens.next().await {
                Ok(event) => {
                    if let Some(finish) = event.finish {
                        self.complete();
                        return Ok(CompletionEvent::End(finish));
                    }
                    return Ok(CompletionEvent::Token(self.record_token(event.text)));
                }
                Err(error) => self.recover(error).await?,
            }
        }
    }

    fn record_token(&mut self, text: Option<Name>) -> Name {
        let text = text.unwrap_or_else(|| "".into());
        self.sent.push(Name::clone(&text));
        self.context.metrics.count_token();
        if let Some(open) = &mut self.open {
            open.placement.tokens += 1;
        }
        if self.first_token_at.is_none() {
            let now = Instant::now();
            self.first_token_at = Some(now);
            self.context.metrics.observe_first_token(now - self.params.arrived);
        }
        text
    }

    /// Releases the placement of a complete response and counts whether it met its targets.
    fn complete(&mut self) {
        if let Some(open) = self.open.take() {
            open.placement.release(ReleaseCause::Done);
        }
        let percent = self.params.snapshot.configuration.policy.retry_percent;
        self.context.retry_budget.record_success(percent);
        let outcome = if self.met_targets() { "good" } else { "late" };
        let group = &self.params.group.name;
        self.context.metrics.count_request(group, outcome, "");
        let first = self.first_token_at.map_or(0, |at| (at - self.params.arrived).as_millis());
        log::info!(
            "event=request_whole request={} group={group} outcome={outcome} tokens={} first_token_ms={first} \
             total_ms={} placements={}",
            self.params.id,
            self.sent.len(),
            self.params.arrived.elapsed().as_millis(),
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
        first - self.params.arrived <= self.params.first_token_target()
            && per_token <= self.params.per_token_target()
    }

    /// Recovers from a failed stream: resumes it on the same engine if it still runs there, or
    /// releases it so that another engine continues.
    async fn recover(&mut self, error: EngineError) -> Result<(), RequestProblem> {
        let Some(mut open) = self.open.take() else {
            return Ok(());
        };
        log::info!(
            "event=stream_failed request={} stream={} error=\"{error}\"",
            self.params.id,
            open.placement.stream()
        );
        if matches!(error, EngineError::Interrupted { .. })
            && let Some(tokens) = self.resume(&open.placement).await
        {
            open.tokens = tokens;
            self.open = Some(open);
            return Ok(());
        }
        let engine = open.placement.decode_engine().cloned();
        if let Some(engine) = &engine {
            self.avoid.push(Name::clone(&engine.name));
        }
        let crashed = self.crashed_engine(engine.as_ref(), &error).await;
        open.placement.release_after_failure(ReleaseCause::DecodeFailed, crashed);
        self.check_retry("engine_failed", &error)
    }

    /// Returns the engine if its process crashed while the request ran there.
    async fn crashed_engine(
        &self,
        engine: Option<&BackendRef>,
        error: &EngineError,
    ) -> Option<Name> {
        let engine = engine?;
        match error {
            EngineError::Interrupted { .. } | EngineError::Stalled { .. } => {}
            EngineError::Refused { .. }
            | EngineError::Unreachable { .. }
            | EngineError::InvalidResponse { .. } => return None,
        }
        let has_crashed = self.context.engines.refuses_connections(engine.address).await;
        has_crashed.then(|| Name::clone(&engine.name))
    }

    async fn resume(&self, placement: &Placement) -> Option<TokenStream> {
        let engine = placement.decode_engine()?;
        let from = self.sent.len() as u64;
        let stall_timeout = self.params.stall_timeout();
        let resumed = self
            .context
            .engines
            .resume(engine.address, placement.stream(), from, stall_timeout)
            .await;
        resumed.ok()
    }

    /// Allows another placement within the limit of attempts and the retry budget.
    fn check_retry(
        &mut self,
        code: &'static str,
        error: &EngineError,
    ) -> Result<(), RequestProblem> {
        if self.attempts < MAX_PLACEMENTS && self.context.retry_budget.try_withdraw() {
            self.context.metrics.count_retry();
            return Ok(());
        }
        let detail = format!("the response could not be completed: {error}");
        Err(self.problem(StatusCode::BAD_GATEWAY, code, detail, Duration::from_secs(1)))
    }

    fn problem(
        &self,
        status: StatusCode,
        code: &'static str,
        detail: String,
        retry: Duration,
    ) -> RequestProblem {
        self.with_work_outcome(
            RequestProblem::not_run(status, code, detail).with_retry_after(retry),
        )
    }

    /// Marks the work as incomplete if a placement was granted.
    fn with_work_outcome(&self, problem: RequestProblem) -> RequestProblem {
        if self.attempts == 0 { problem } else { problem.with_outcome(WorkOutcome::Incomplete) }
    }
}
