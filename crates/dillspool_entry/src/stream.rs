//! One model request: placed, prefilled, decoded, and resumed when an engine fails.

use std::sync::Arc;
use std::time::Duration;

use dillspool_config::ConfigSnapshot;
use dillspool_engine::{EngineError, TokenStream, estimate_tokens, prefix_hash};
use dillspool_schema::configuration::{GroupEntry, PoolEntry};
use dillspool_schema::engine::{DecodeRequest, PrefillRequest};
use dillspool_schema::messages::{
    PlacementGrant, RefuseCause, ReleaseCause, ReserveMessage, ReserveRefusal,
};
use dillspool_schema::{Name, StreamId};
use hyper::StatusCode;
use tokio::time::Instant;

use crate::context::EntryContext;
use crate::openai::GenerationRequest;
use crate::placement::{EngineRef, ExportGuard, Placement, ReserveEnd};
use crate::problem::{RequestProblem, WorkOutcome};

/// Placements of one request at most.
const MOST_ATTEMPTS: u32 = 4;
/// Time for a placement when tokens were already sent: a late answer beats a broken one.
const RESUME_WAIT: Duration = Duration::from_secs(5);
/// Time after which an answer that broke off is given up.
const RESUME_LIMIT: Duration = Duration::from_secs(30);
/// Longest pause between two tries to resume.
const LONGEST_RESUME_PAUSE: Duration = Duration::from_secs(1);
/// Time beyond the first-token target after which a prefill is given up.
const PREFILL_SLACK: Duration = Duration::from_secs(1);
/// Tokens' time of silence after which a stream counts as stalled.
const STALL_TOKENS: u32 = 20;
/// Shortest silence that counts as a stall.
const SHORTEST_STALL: Duration = Duration::from_secs(1);

/// What a caller asked, with the terms of its group and pool.
#[derive(Clone, Debug)]
pub(crate) struct AnswerTerms {
    /// Names the request in the log and in its answer.
    pub(crate) id: StreamId,
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

/// Why a placement did not lead to a stream.
enum OpenFailure {
    /// The scheduler refused.
    Refused(ReserveRefusal),
    /// An engine failed; another may do.
    Failed { code: &'static str, error: EngineError },
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
        self.context.retries.note_success(percent);
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
        if matches!(error, EngineError::BrokenOff { .. })
            && let Some(tokens) = self.reopen(&open.placement).await
        {
            open.tokens = tokens;
            self.open = Some(open);
            return Ok(());
        }
        if let Some(engine) = open.placement.decode_engine() {
            self.avoid.push(Name::clone(&engine.name));
        }
        open.placement.end(ReleaseCause::DecodeFailed);
        self.allow_retry("engine_failed", &error)
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
        if self.attempts < MOST_ATTEMPTS && self.context.retries.take() {
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
        let problem = RequestProblem::not_run(status, code, detail).retry_after(retry);
        if self.attempts == 0 { problem } else { problem.outcome(WorkOutcome::Incomplete) }
    }

    /// Asks for placements until a stream is open or the request must be given up.
    async fn place(&mut self) -> Result<(), RequestProblem> {
        let started = Instant::now();
        let mut export: Option<ExportGuard> = None;
        loop {
            match self.try_place(&mut export).await {
                Ok(open) => {
                    self.open = Some(open);
                    return Ok(());
                }
                Err(OpenFailure::Refused(refusal)) => {
                    let retry = Duration::from_millis(refusal.retry_ms.into());
                    if self.sent.is_empty() || started.elapsed() + retry > RESUME_LIMIT {
                        return Err(self.refused(&refusal));
                    }
                    tokio::time::sleep(retry.min(LONGEST_RESUME_PAUSE)).await;
                }
                Err(OpenFailure::Failed { code, error }) => {
                    log::info!("event=placement_failed code={code} error=\"{error}\"");
                    self.drop_old_export(&mut export, code);
                    self.allow_retry(code, &error)?;
                }
            }
        }
    }

    /// A KV cache that is about to expire is of no use for another transfer.
    fn drop_old_export(&self, export: &mut Option<ExportGuard>, code: &'static str) {
        let lifetime = Duration::from_millis(self.terms.pool.kv_lifetime_ms.into());
        let old = |it: &ExportGuard| it.kv.is_none() || it.since.elapsed() > lifetime * 3 / 4;
        if export.as_ref().is_some_and(old)
            && let Some(export) = export.take()
        {
            export.waste(code);
        }
    }

    fn refused(&self, refusal: &ReserveRefusal) -> RequestProblem {
        let (status, code) = match refusal.cause {
            RefuseCause::TooLate => (StatusCode::TOO_MANY_REQUESTS, "too_late"),
            RefuseCause::QueueFull => (StatusCode::TOO_MANY_REQUESTS, "queue_full"),
            RefuseCause::NoEngine => (StatusCode::SERVICE_UNAVAILABLE, "no_engine"),
            RefuseCause::Draining => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
            RefuseCause::UnknownPool => (StatusCode::SERVICE_UNAVAILABLE, "unknown_pool"),
        };
        let detail = format!(
            "pool `{}` cannot serve the request within its target ({code}); come back after the time given",
            self.terms.pool.name
        );
        self.problem(status, code, detail, Duration::from_millis(refusal.retry_ms.into()))
    }

    fn wait(&self) -> Duration {
        if self.sent.is_empty() {
            self.terms.first_token().saturating_sub(self.terms.arrived.elapsed())
        } else {
            RESUME_WAIT
        }
    }

    async fn try_place(
        &mut self,
        export: &mut Option<ExportGuard>,
    ) -> Result<OpenStream, OpenFailure> {
        let asked = Instant::now();
        let mut placement =
            Placement::new(&self.context, &self.terms.pool.name, &self.terms.group.name);
        let message = self.reserve_message(&placement, export.as_ref());
        let grant = match placement.reserve(message).await {
            ReserveEnd::Granted(grant) => grant,
            ReserveEnd::Refused(refusal) => return Err(OpenFailure::Refused(refusal)),
        };
        self.context.metrics.observe_queue(asked.elapsed());
        self.attempts += 1;
        let engines = self.engines(&grant);
        let Some((prefill, decode)) = engines else {
            placement.end(ReleaseCause::Cancelled);
            let reason = "the grant names an engine that is not declared".to_owned();
            let error = EngineError::OutOfReach { reason };
            return Err(OpenFailure::Failed { code: "unknown_engine", error });
        };
        if export.is_none() {
            match self.prefill(&mut placement, prefill).await {
                Ok(done) => *export = Some(done),
                Err(failure) => {
                    placement.end(ReleaseCause::PrefillFailed);
                    return Err(failure);
                }
            }
        }
        match self.decode(&mut placement, decode, export).await {
            Ok(tokens) => Ok(OpenStream { placement, tokens }),
            Err(failure) => {
                placement.end(ReleaseCause::TransferFailed);
                Err(failure)
            }
        }
    }

    fn engines(&self, grant: &PlacementGrant) -> Option<(EngineRef, EngineRef)> {
        Some((self.terms.engine(&grant.prefill)?, self.terms.engine(&grant.decode)?))
    }

    fn reserve_message(
        &self,
        placement: &Placement,
        export: Option<&ExportGuard>,
    ) -> ReserveMessage {
        let prompt = &self.terms.request.prompt;
        let sent = self.sent.len() as u64;
        ReserveMessage {
            stream: placement.stream().clone(),
            pool: Name::clone(&self.terms.pool.name),
            group: Name::clone(&self.terms.group.name),
            prompt: estimate_tokens(prompt) + sent,
            output: self.terms.request.max_tokens.saturating_sub(sent),
            wait_ms: u32::try_from(self.wait().as_millis()).unwrap_or(u32::MAX),
            prefix: prefix_hash(prompt),
            prefilled: export.map(|it| Name::clone(&it.engine.name)),
            avoid: self.avoid.clone(),
        }
    }

    async fn prefill(
        &mut self,
        placement: &mut Placement,
        engine: EngineRef,
    ) -> Result<ExportGuard, OpenFailure> {
        let request = PrefillRequest {
            stream: placement.stream().clone(),
            model: Name::clone(&self.terms.request.model),
            prompt: Name::clone(&self.terms.request.prompt),
            generated: self.sent.clone(),
            priority: self.terms.group.priority,
        };
        let mut export = ExportGuard::new(&self.context, placement.stream(), engine);
        self.context.metrics.count_prefill();
        let limit = self.wait() + PREFILL_SLACK;
        let address = export.engine.address;
        match self.context.engines.prefill(address, &request, limit).await {
            Ok(reply) => {
                self.prompt_tokens = reply.prompt_tokens;
                placement.cached = reply.cached_tokens;
                export.kv = Some(reply.kv);
                export.since = Instant::now();
                Ok(export)
            }
            Err(error) => {
                self.avoid.push(Name::clone(&export.engine.name));
                export.waste("prefill_failed");
                Err(OpenFailure::Failed { code: "prefill_failed", error })
            }
        }
    }

    async fn decode(
        &mut self,
        placement: &mut Placement,
        engine: EngineRef,
        export: &mut Option<ExportGuard>,
    ) -> Result<TokenStream, OpenFailure> {
        let (Some(kv), Some(source)) = (
            export.as_ref().and_then(|it| it.kv.clone()),
            export.as_ref().map(|it| it.engine.address),
        ) else {
            let error = EngineError::BrokenOff { reason: "no exported KV cache".to_owned() };
            return Err(OpenFailure::Failed { code: "prefill_failed", error });
        };
        let request = DecodeRequest {
            stream: placement.stream().clone(),
            model: Name::clone(&self.terms.request.model),
            kv,
            kv_address: source.to_string().into(),
            from: self.sent.len() as u64,
            max_tokens: self.terms.request.max_tokens,
            priority: self.terms.group.priority,
        };
        let address = engine.address;
        let name = Name::clone(&engine.name);
        placement.start_decode(engine);
        // Half the KV cache's life: a stalled transfer leaves time for another engine.
        let import_limit = Duration::from_millis(self.terms.pool.kv_lifetime_ms.into()) / 2;
        let limit = self.terms.stall_limit();
        match self.context.engines.decode(address, &request, import_limit, limit).await {
            Ok(tokens) => {
                if let Some(mut export) = export.take() {
                    export.mark_used();
                }
                Ok(tokens)
            }
            Err(error) => {
                self.avoid.push(name);
                Err(OpenFailure::Failed { code: "transfer_failed", error })
            }
        }
    }
}
