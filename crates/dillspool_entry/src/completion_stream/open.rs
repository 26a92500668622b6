//! Opens the stream of a request: placement, prefill and decode.

use std::time::Duration;

use dillspool_engine::{EngineError, TokenStream, estimate_tokens, prefix_hash};
use dillspool_schema::Name;
use dillspool_schema::engine::{DecodeRequest, PrefillRequest};
use dillspool_schema::messages::{
    PlacementGrant, RefuseCause, ReleaseCause, ReserveMessage, ReserveRefusal,
};
use hyper::StatusCode;
use tokio::time::Instant;

use super::{CompletionStream, OpenStream};
use crate::placement::{BackendRef, ExportGuard, Placement, ReserveOutcome};
use crate::problem::{RequestProblem, copy_runs_problem, deadly_problem};

/// Maximum wait for a placement once tokens were sent; a late response is better than an
/// incomplete one.
const RESUME_PLACEMENT_WAIT: Duration = Duration::from_secs(5);
/// Time after which an interrupted response is aborted.
const RESUME_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum delay between two attempts to resume.
const MAX_RESUME_BACKOFF: Duration = Duration::from_secs(1);
/// Time that a prefill may take beyond the first-token target.
const PREFILL_SLACK: Duration = Duration::from_secs(1);

/// Why an attempt to open a stream failed.
enum OpenFailure {
    /// The scheduler refused a placement.
    Refused(ReserveRefusal),
    /// An engine failed; another one may succeed.
    Failed { code: &'static str, error: EngineError },
}

impl CompletionStream {
    /// Requests placements until a stream is open or the request fails.
    pub(super) async fn open_with_retries(&mut self) -> Result<(), RequestProblem> {
        let started = Instant::now();
        let mut export: Option<ExportGuard> = None;
        loop {
            match self.try_open(&mut export).await {
                Ok(open) => {
                    self.open = Some(open);
                    return Ok(());
                }
                // Waiting does not help: the request is never run.
                Err(OpenFailure::Refused(refusal)) if refusal.cause == RefuseCause::Deadly => {
                    return Err(self.refusal_problem(&refusal));
                }
                Err(OpenFailure::Refused(refusal)) => {
                    let retry = Duration::from_millis(refusal.retry_ms.into());
                    if self.sent.is_empty() || started.elapsed() + retry > RESUME_TIMEOUT {
                        return Err(self.refusal_problem(&refusal));
                    }
                    tokio::time::sleep(retry.min(MAX_RESUME_BACKOFF)).await;
                }
                Err(OpenFailure::Failed { code, error }) => {
                    log::info!("event=placement_failed code={code} error=\"{error}\"");
                    self.discard_expiring_export(&mut export, code);
                    self.check_retry(code, &error)?;
                }
            }
        }
    }

    /// Discards an export that has no KV cache, or one that would expire during another transfer.
    fn discard_expiring_export(&self, export: &mut Option<ExportGuard>, code: &'static str) {
        let lifetime = Duration::from_millis(self.params.pool.kv_lifetime_ms.into());
        let is_expiring =
            |it: &ExportGuard| it.kv.is_none() || it.exported_at.elapsed() > lifetime * 3 / 4;
        if export.as_ref().is_some_and(is_expiring)
            && let Some(export) = export.take()
        {
            export.discard(code);
        }
    }

    fn refusal_problem(&self, refusal: &ReserveRefusal) -> RequestProblem {
        let (status, code) = match refusal.cause {
            RefuseCause::Deadly => return self.with_work_outcome(deadly_problem()),
            RefuseCause::CopyRuns => return self.with_work_outcome(copy_runs_problem()),
            RefuseCause::TooLate => (StatusCode::TOO_MANY_REQUESTS, "too_late"),
            RefuseCause::QueueFull => (StatusCode::TOO_MANY_REQUESTS, "queue_full"),
            RefuseCause::NoEngine => (StatusCode::SERVICE_UNAVAILABLE, "no_engine"),
            RefuseCause::Draining => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
            RefuseCause::UnknownPool => (StatusCode::SERVICE_UNAVAILABLE, "unknown_pool"),
        };
        let detail = format!(
            "pool `{}` cannot serve the request within its target ({code}); retry after the given delay",
            self.params.pool.name
        );
        self.problem(status, code, detail, Duration::from_millis(refusal.retry_ms.into()))
    }

    fn max_wait(&self) -> Duration {
        if self.sent.is_empty() {
            self.params.first_token_target().saturating_sub(self.params.arrived.elapsed())
        } else {
            RESUME_PLACEMENT_WAIT
        }
    }

    async fn try_open(
        &mut self,
        export: &mut Option<ExportGuard>,
    ) -> Result<OpenStream, OpenFailure> {
        let requested = Instant::now();
        let mut placement = Placement::new(&self.context, &self.params);
        let message = self.reserve_message(&placement, export.as_ref());
        let grant = match placement.reserve(message).await {
            ReserveOutcome::Granted(grant) => grant,
            ReserveOutcome::Refused(refusal) => return Err(OpenFailure::Refused(refusal)),
        };
        self.context.metrics.observe_queue_time(requested.elapsed());
        self.attempts += 1;
        let engines = self.granted_engines(&grant);
        let Some((prefill, decode)) = engines else {
            placement.release(ReleaseCause::Cancelled);
            let reason = "the grant names an engine that is not in the configuration".to_owned();
            let error = EngineError::Unreachable { reason };
            return Err(OpenFailure::Failed { code: "unknown_engine", error });
        };
        if export.is_none() {
            match self.prefill(&mut placement, prefill).await {
                Ok(exported) => *export = Some(exported),
                Err((failure, crashed)) => {
                    placement.release_after_failure(ReleaseCause::PrefillFailed, crashed);
                    return Err(failure);
                }
            }
        }
        match self.decode(&mut placement, decode, export).await {
            Ok(tokens) => Ok(OpenStream { placement, tokens }),
            Err((failure, crashed)) => {
                placement.release_after_failure(ReleaseCause::TransferFailed, crashed);
                Err(failure)
            }
        }
    }

    fn granted_engines(&self, grant: &PlacementGrant) -> Option<(BackendRef, BackendRef)> {
        Some((self.params.engine(&grant.prefill)?, self.params.engine(&grant.decode)?))
    }

    fn reserve_message(
        &self,
        placement: &Placement,
        export: Option<&ExportGuard>,
    ) -> ReserveMessage {
        let prompt = &self.params.request.prompt;
        let sent = self.sent.len() as u64;
        ReserveMessage {
            stream: placement.stream().clone(),
            pool: Name::clone(&self.params.pool.name),
            group: Name::clone(&self.params.group.name),
            prompt: estimate_tokens(prompt) + sent,
            output: self.params.request.max_tokens.saturating_sub(sent),
            wait_ms: u32::try_from(self.max_wait().as_millis()).unwrap_or(u32::MAX),
            prefix: prefix_hash(prompt),
            prefilled: export.map(|it| Name::clone(&it.engine.name)),
            avoid: self.avoid.clone(),
            print: Some(Name::clone(placement.fingerprint())),
        }
    }

    async fn prefill(
        &mut self,
        placement: &mut Placement,
        engine: BackendRef,
    ) -> Result<ExportGuard, (OpenFailure, Option<Name>)> {
        let request = PrefillRequest {
            stream: placement.stream().clone(),
            model: Name::clone(&self.params.request.model),
            prompt: Name::clone(&self.params.request.prompt),
            generated: self.sent.clone(),
            priority: self.params.group.priority,
        };
        let mut export = ExportGuard::new(&self.context, placement.stream(), engine);
        self.context.metrics.count_prefill();
        let timeout = self.max_wait() + PREFILL_SLACK;
        let address = export.engine.address;
        match self.context.engines.prefill(address, &request, timeout).await {
            Ok(reply) => {
                self.prompt_tokens = reply.prompt_tokens;
                placement.cached = reply.cached_tokens;
                export.kv = Some(reply.kv);
                export.exported_at = Instant::now();
                Ok(export)
            }
            Err(error) => {
                self.avoid.push(Name::clone(&export.engine.name));
                let crashed = self.crashed_engine(Some(&export.engine), &error).await;
                export.discard("prefill_failed");
                Err((OpenFailure::Failed { code: "prefill_failed", error }, crashed))
            }
        }
    }

    async fn decode(
        &mut self,
        placement: &mut Placement,
        engine: BackendRef,
        export: &mut Option<ExportGuard>,
    ) -> Result<TokenStream, (OpenFailure, Option<Name>)> {
        let (Some(kv), Some(source)) = (
            export.as_ref().and_then(|it| it.kv.clone()),
            export.as_ref().map(|it| it.engine.address),
        ) else {
            let error = EngineError::Interrupted { reason: "no exported KV cache".to_owned() };
            return Err((OpenFailure::Failed { code: "prefill_failed", error }, None));
        };
        let request = DecodeRequest {
            stream: placement.stream().clone(),
            model: Name::clone(&self.params.request.model),
            kv,
            kv_address: source.to_string().into(),
            from: self.sent.len() as u64,
            max_tokens: self.params.request.max_tokens,
            priority: self.params.group.priority,
        };
        let address = engine.address;
        placement.start_decode(engine.clone());
        // Half the lifetime of the KV cache, so that a stalled transfer leaves time for another engine.
        let import_timeout = Duration::from_millis(self.params.pool.kv_lifetime_ms.into()) / 2;
        let stall_timeout = self.params.stall_timeout();
        match self.context.engines.decode(address, &request, import_timeout, stall_timeout).await {
            Ok(tokens) => {
                if let Some(mut export) = export.take() {
                    export.mark_imported();
                }
                Ok(tokens)
            }
            Err(error) => {
                let crashed = self.crashed_engine(Some(&engine), &error).await;
                self.avoid.push(engine.name);
                Err((OpenFailure::Failed { code: "transfer_failed", error }, crashed))
            }
        }
    }
}
