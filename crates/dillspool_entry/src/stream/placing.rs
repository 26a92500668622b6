//! From a request to an open stream: a placement, the prefill, the decode engine.

use std::time::Duration;

use dillspool_engine::{EngineError, TokenStream, estimate_tokens, prefix_hash};
use dillspool_schema::Name;
use dillspool_schema::engine::{DecodeRequest, PrefillRequest};
use dillspool_schema::messages::{
    PlacementGrant, RefuseCause, ReleaseCause, ReserveMessage, ReserveRefusal,
};
use hyper::StatusCode;
use tokio::time::Instant;

use super::{AnswerStream, OpenStream};
use crate::placement::{EngineRef, ExportGuard, Placement, ReserveEnd};
use crate::problem::{RequestProblem, copy_runs_problem, deadly_problem};

/// Time for a placement when tokens were already sent: a late answer beats a broken one.
const RESUME_WAIT: Duration = Duration::from_secs(5);
/// Time after which an answer that broke off is given up.
const RESUME_LIMIT: Duration = Duration::from_secs(30);
/// Longest pause between two tries to resume.
const LONGEST_RESUME_PAUSE: Duration = Duration::from_secs(1);
/// Time beyond the first-token target after which a prefill is given up.
const PREFILL_SLACK: Duration = Duration::from_secs(1);

/// Why a placement did not lead to a stream.
enum OpenFailure {
    /// The scheduler refused.
    Refused(ReserveRefusal),
    /// An engine failed; another may do.
    Failed { code: &'static str, error: EngineError },
}

impl AnswerStream {
    /// Asks for placements until a stream is open or the request must be given up.
    pub(super) async fn place(&mut self) -> Result<(), RequestProblem> {
        let started = Instant::now();
        let mut export: Option<ExportGuard> = None;
        loop {
            match self.try_place(&mut export).await {
                Ok(open) => {
                    self.open = Some(open);
                    return Ok(());
                }
                // It will not run, however long its answer waits.
                Err(OpenFailure::Refused(refusal)) if refusal.cause == RefuseCause::Deadly => {
                    return Err(self.refused(&refusal));
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
            RefuseCause::Deadly => return self.after_attempts(deadly_problem()),
            RefuseCause::CopyRuns => return self.after_attempts(copy_runs_problem()),
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
        let mut placement = Placement::new(&self.context, &self.terms);
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
            let error = EngineError::Unreachable { reason };
            return Err(OpenFailure::Failed { code: "unknown_engine", error });
        };
        if export.is_none() {
            match self.prefill(&mut placement, prefill).await {
                Ok(done) => *export = Some(done),
                Err((failure, ended)) => {
                    placement.end_at(ReleaseCause::PrefillFailed, ended);
                    return Err(failure);
                }
            }
        }
        match self.decode(&mut placement, decode, export).await {
            Ok(tokens) => Ok(OpenStream { placement, tokens }),
            Err((failure, ended)) => {
                placement.end_at(ReleaseCause::TransferFailed, ended);
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
            print: Some(Name::clone(placement.print())),
        }
    }

    async fn prefill(
        &mut self,
        placement: &mut Placement,
        engine: EngineRef,
    ) -> Result<ExportGuard, (OpenFailure, Option<Name>)> {
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
                let ended = self.ended_under_it(Some(&export.engine), &error).await;
                export.waste("prefill_failed");
                Err((OpenFailure::Failed { code: "prefill_failed", error }, ended))
            }
        }
    }

    async fn decode(
        &mut self,
        placement: &mut Placement,
        engine: EngineRef,
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
            model: Name::clone(&self.terms.request.model),
            kv,
            kv_address: source.to_string().into(),
            from: self.sent.len() as u64,
            max_tokens: self.terms.request.max_tokens,
            priority: self.terms.group.priority,
        };
        let address = engine.address;
        placement.start_decode(engine.clone());
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
                let ended = self.ended_under_it(Some(&engine), &error).await;
                self.avoid.push(engine.name);
                Err((OpenFailure::Failed { code: "transfer_failed", error }, ended))
            }
        }
    }
}
