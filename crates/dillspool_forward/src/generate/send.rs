//! Sends a request to the prepared engine and handles the head of its response.

use std::iter;
use std::sync::Arc;

use bytes::Bytes;
use dillspool_admission::EngineFault;
use dillspool_io::DeadlineElapsed;
use dillspool_routing::BackendEntry;
use dillspool_scheduler::PlacementEvent;
use dillspool_suspects::RunProgress;
use hyper::{HeaderMap, Response, StatusCode};

use super::{ModelRequest, OpenOutcome, OpenStream, PreparedAttempt, SentAttempt};
use crate::calls::{BackendResponse, CallError, ForwardParams};
use crate::context::RESTARTED_CAUSE;
use crate::metrics::ResumptionLabels;
use crate::placement::{Placement, StreamTicket};
use crate::refusal::Refusal;
use crate::response_body::read_within_budget;
use crate::trace::log_send_failed;

/// Largest body of a failure response that is relayed.
const MAX_FAILURE_BODY_BYTES: usize = 1024 * 1024;

impl ModelRequest {
    /// Sends the request to the prepared engine; `None` if another engine should be prepared.
    pub(super) async fn send(
        &mut self,
        prepared: PreparedAttempt,
    ) -> Result<Option<OpenOutcome>, Refusal> {
        if !self.is_still_valid(&prepared) {
            return Ok(None);
        }
        let PreparedAttempt { placement, mut prefill } = prepared;
        let Placement { entry, reserved_tokens, mut reservation, ticket, prefill: _ } = placement;
        let params = ForwardParams {
            time_budget: self.request.remaining(),
            reservation: reservation.id.clone(),
            prefilled: prefill.prefilled.clone(),
            resume_after: self.last_event,
        };
        self.log_placed(&entry, reserved_tokens, &params);
        let sent = self.forward(&entry, params).await;
        let read_at_decode = prefill.prefilled.is_none() && entry.stage.is_some();
        if let Err(CallError::NotSent { reason }) = &sent {
            self.record_not_sent(&entry, &ticket, reason);
            return Ok(None);
        }
        self.attempts += 1;
        reservation.id = None;
        prefill.prefilled = None;
        match sent {
            Ok(response) => {
                let sent = SentAttempt { entry, ticket, read_at_decode };
                self.handle_response_head(sent, response).await
            }
            Err(CallError::Refused { status }) => {
                self.record_refused_reservation(&entry, &ticket, status);
                Ok(None)
            }
            Err(CallError::NotSent { reason } | CallError::Lost { reason }) => {
                self.record_ambiguous(&entry, &ticket, &reason)
            }
        }
    }

    /// Whether the prepared engines are still available, as far as this host knows.
    fn is_still_valid(&mut self, prepared: &PreparedAttempt) -> bool {
        let decode = &prepared.placement.entry;
        // During the prefill the decode engine may have started to leave, or asked this host to back off.
        let is_ready = self.context.ready_entry(&self.request, &decode.id).is_some();
        if !is_ready || self.context.throttle.backoff_until(&decode.instance()).is_some() {
            self.tried.push(decode);
            return false;
        }
        if self.software.required().is_some_and(|software| decode.software != *software) {
            self.tried.push(decode);
            return false;
        }
        let view = self.context.view();
        let prefill_engine = prepared.prefill.prefilled.as_ref().map(|prefilled| &prefilled.engine);
        let mut engines = iter::once(decode).chain(prefill_engine);
        let lost = engines.find(|engine| view.has_restarted(engine));
        if let Some(lost) = lost {
            // The restart lost the reservation or the prefill's result.
            log_send_failed(&self.request, &lost.id, RESTARTED_CAUSE);
        }
        lost.is_none()
    }

    fn log_placed(&self, entry: &BackendEntry, reserved_tokens: u64, params: &ForwardParams) {
        let generation = self.request.generation.as_ref();
        let (prompt, estimate) = generation.map_or((0, 0), |generation| {
            (
                generation.prompt_tokens,
                generation.expected_output_tokens.unwrap_or(generation.max_output_tokens),
            )
        });
        log::info!(
            "event=stream_placed id={} backend={} software={} directory={} reserved={reserved_tokens} prompt={prompt} guess={estimate} prefill={} prefill_software={} after_ms={} resume_after={} resumes={}",
            self.request.id,
            entry.id,
            entry.software,
            self.context.view().version,
            params.prefilled.as_ref().map_or("none", |prefilled| &*prefilled.engine.id),
            params
                .prefilled
                .as_ref()
                .map_or("none".to_owned(), |prefilled| prefilled.engine.software.to_string()),
            self.request.age().as_millis(),
            self.last_event.unwrap_or(0),
            self.request.resumed_attempt.as_deref().unwrap_or("none"),
        );
    }

    async fn forward(
        &self,
        entry: &Arc<BackendEntry>,
        params: ForwardParams,
    ) -> Result<BackendResponse, CallError> {
        let remaining = self.request.remaining();
        let call =
            (self.context.calls.forward)(Arc::clone(entry), Arc::clone(&self.request), params);
        let call = self.context.cancel_on_restart(entry, call);
        let timed_out = |DeadlineElapsed| CallError::Lost {
            reason: format!("no response within {remaining:?}"),
        };
        self.request.clock.timeout_at(self.request.deadline, call).await.map_err(timed_out)?
    }

    async fn handle_response_head(
        &mut self,
        sent: SentAttempt,
        response: BackendResponse,
    ) -> Result<Option<OpenOutcome>, Refusal> {
        let SentAttempt { entry, ticket, read_at_decode } = sent;
        if response.did_not_run {
            self.record_refused_reservation(&entry, &ticket, response.status);
            return Ok(None);
        }
        let (status, headers) = (response.status, response.headers.clone());
        if response.is_verified_success() {
            ticket.record(&PlacementEvent::Started);
            if self.is_before_first_event() {
                self.stages.opened = self.request.age();
            }
            self.record_resumption(&entry);
            let body = response.body;
            let open = OpenStream { entry, status, body, read_at_decode, ticket };
            return Ok(Some(OpenOutcome::Stream(Box::new(open), headers)));
        }
        if !response.is_verified_failure() {
            let cause = format!("unverified response with status {}", status.as_u16());
            return self.record_ambiguous(&entry, &ticket, &cause);
        }
        let reading =
            read_within_budget(&self.request.held_bytes, response.body, MAX_FAILURE_BODY_BYTES);
        match self.request.clock.timeout_at(self.request.deadline, reading).await {
            Ok(Ok(body)) => Ok(Some(self.relay_failure(&entry, &ticket, status, headers, body))),
            Ok(Err(error)) => self.record_ambiguous(&entry, &ticket, &error.to_string()),
            Err(DeadlineElapsed) => self.record_ambiguous(
                &entry,
                &ticket,
                "the failure response was incomplete at the deadline",
            ),
        }
    }

    /// Counts a stream that an engine goes on with.
    fn record_resumption(&self, entry: &BackendEntry) {
        if self.last_event.is_none() {
            return;
        }
        let by = if self.is_before_first_event() { "caller" } else { "host" };
        let software = match self.software.required() {
            Some(software) if *software == entry.software => "same",
            Some(_other) => "other",
            None => "unknown",
        };
        self.context.metrics.record_resumption(&ResumptionLabels { by, software });
    }

    /// Records an engine's failure and builds its response for the caller.
    fn relay_failure(
        &self,
        entry: &BackendEntry,
        ticket: &StreamTicket,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    ) -> OpenOutcome {
        if entry.stage.is_none() {
            self.context.backend_tracker.record_failure(&entry.instance());
        }
        if status.is_server_error() {
            ticket.record_fault(entry, EngineFault::Failed);
        }
        let mut response = Response::new(dillspool_io::full_body(body));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
        OpenOutcome::Failure(response)
    }

    /// Records an attempt that may have run; only a resumable stream is retried.
    fn record_ambiguous(
        &mut self,
        entry: &Arc<BackendEntry>,
        ticket: &StreamTicket,
        cause: &str,
    ) -> Result<Option<OpenOutcome>, Refusal> {
        self.may_have_run = true;
        self.probes.start(&self.context, &self.request, entry, RunProgress::Starting);
        self.record_no_response(entry, ticket, cause);
        self.record_failed_send(entry, cause);
        if self.request.route.is_idempotent() { Ok(None) } else { Err(self.final_refusal()) }
    }

    /// Records an attempt that was not sent, so another engine may be tried.
    fn record_not_sent(&mut self, entry: &BackendEntry, ticket: &StreamTicket, cause: &str) {
        if entry.stage.is_none() {
            self.context.backend_tracker.record_connect_failure(&entry.instance(), cause);
        }
        ticket.record_fault(entry, EngineFault::Unreachable);
        self.record_failed_send(entry, cause);
    }

    /// Records a refusal by an engine that had reserved memory; it did not run the request. Such an engine is
    /// switching its stage.
    fn record_refused_reservation(
        &mut self,
        entry: &BackendEntry,
        ticket: &StreamTicket,
        status: StatusCode,
    ) {
        ticket.record_fault(entry, EngineFault::ReservedRequestRefused);
        self.record_failed_send(entry, &format!("refused with {status}, not run"));
    }

    fn record_failed_send(&mut self, entry: &BackendEntry, cause: &str) {
        self.tried.push(entry);
        log_send_failed(&self.request, &entry.id, cause);
    }
}
