//! Plain requests, whose response is one body that is forwarded completely or not at all.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dillspool_calls::{CallOutcome, RejectCause};
use dillspool_io::{DeadlineElapsed, ResponseBody, full_body};
use dillspool_routing::{BackendEntry, RoutedRequest};
use dillspool_scheduler::CallTicket;
use dillspool_suspects::RunProgress;
use dillspool_version::StoreVersion;
use hyper::{HeaderMap, Response, StatusCode};
use rand::Rng;
use tokio::time::Instant;

use crate::backend_probe::AttemptProbes;
use crate::calls::{CallError, ForwardParams};
use crate::context::ForwardContext;
use crate::refusal::{Refusal, RefusalCause};
use crate::response_body::{BufferedBody, PartialResponse, buffer_body};
use crate::scheduled::{ScheduleOutcome, choose_scheduled};
use crate::throttle::{SendPermit, all_blocked, pick_with_permit, refusal_if_blocked};
use crate::trace::{RequestTrace, log_retry_budget_exhausted, log_send_failed};
use crate::tried::TriedBackends;

/// Number of unreachable backend servers that one request may try.
const MAX_UNREACHABLE: usize = 3;
/// Range of the retry delay as a fraction of the objective: early enough for a response within it,
/// and spread so that refused clients do not all retry at once.
const RETRY_AFTER_FRACTIONS: std::ops::Range<f64> = 0.3..0.9;

/// The outcome of one attempt.
enum AttemptOutcome {
    /// The complete response of the backend server.
    Complete(CompleteResponse),
    /// The response of the backend server, of which only the start was read.
    Partial(Box<PartialResponse>),
    /// Nothing was sent.
    NotSent(String),
    /// The backend server did not run the request.
    NotRun,
    /// The request may have run.
    Unknown(String),
}

impl AttemptOutcome {
    /// The outcome as reported to the host that schedules the calls of the service.
    fn call_outcome(&self) -> CallOutcome {
        match self {
            Self::Complete(response) if !response.status.is_server_error() => CallOutcome::Answered,
            Self::Partial(response) if !response.status.is_server_error() => CallOutcome::Answered,
            Self::Complete(_) | Self::Partial(_) => CallOutcome::Failed,
            Self::NotSent(_) => CallOutcome::NotSent,
            Self::NotRun => CallOutcome::NotRun,
            Self::Unknown(_) => CallOutcome::Lost,
        }
    }
}

/// The final response of a backend server.
pub(crate) enum PlainResponse {
    /// The response was read to its end.
    Complete(Response<ResponseBody>),
    /// The rest of the response is forwarded as it arrives.
    Partial(Box<PartialResponse>),
}

/// A response that was read to its end.
struct CompleteResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl CompleteResponse {
    fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(full_body(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
        response
    }
}

/// The attempts of one request so far.
#[derive(Default)]
struct AttemptRecord {
    tried: TriedBackends,
    attempts: u32,
    unreachable: usize,
    may_have_run: bool,
    failure: Option<PlainResponse>,
    /// The decision to make no further attempt, and when the client may retry.
    rejected: Option<(RejectCause, Duration)>,
}

impl AttemptRecord {
    /// Records an attempt that produced no final response, and what it says about the backend
    /// server.
    fn record_failed_attempt(
        &mut self,
        context: &ForwardContext,
        request: &RoutedRequest,
        entry: &BackendEntry,
        outcome: AttemptOutcome,
    ) {
        let (tracker, backend) = (&context.backend_tracker, &entry.instance());
        let cause = match outcome {
            AttemptOutcome::Complete(response) => {
                let status = response.status;
                self.record_failure_response(
                    context,
                    entry,
                    status,
                    PlainResponse::Complete(response.into_response()),
                )
            }
            AttemptOutcome::Partial(response) => self.record_failure_response(
                context,
                entry,
                response.status,
                PlainResponse::Partial(response),
            ),
            AttemptOutcome::NotSent(cause) => {
                tracker.record_connect_failure(backend, &cause);
                self.unreachable += 1;
                cause
            }
            AttemptOutcome::NotRun => {
                // A backend server with a limit may refuse requests beyond it without being
                // unhealthy.
                if context.throttle.status(backend).rate.is_none() {
                    tracker.record_failure(backend);
                }
                self.attempts += 1;
                "refused, not run".to_owned()
            }
            AttemptOutcome::Unknown(cause) => {
                tracker.record_no_response(backend, &cause);
                self.attempts += 1;
                self.may_have_run = true;
                cause
            }
        };
        log_send_failed(request, &backend.id, &cause);
    }

    /// Records a failure response, which is forwarded if no further attempt follows.
    fn record_failure_response(
        &mut self,
        context: &ForwardContext,
        entry: &BackendEntry,
        status: StatusCode,
        failure: PlainResponse,
    ) -> String {
        context.backend_tracker.record_failure(&entry.instance());
        self.attempts += 1;
        self.may_have_run = true;
        self.failure = Some(failure);
        format!("status {}", status.as_u16())
    }
}

pub(crate) async fn handle_plain(
    context: &ForwardContext,
    request: &Arc<RoutedRequest>,
    trace: &mut RequestTrace,
) -> Result<PlainResponse, Refusal> {
    let mut record = AttemptRecord::default();
    let mut probes = AttemptProbes::default();
    // Dropped after an abandoned attempt, so its slot is freed once the connection is closed.
    let mut ticket = context.call_client.open_ticket(&request.service);
    while probes.may_retry(context, request).await
        && let Some((entry, directory, permit)) =
            next_backend(context, request, &mut record, &mut ticket).await
    {
        trace.record_backend(&entry.id, directory);
        record.tried.push(&entry);
        let timeout = attempt_timeout(request, &record);
        let started = Instant::now();
        let outcome = send_attempt(context, request, &entry, timeout).await;
        let outcome = match outcome {
            AttemptOutcome::Partial(mut response) if !response.status.is_server_error() => {
                response.call = Some(ticket);
                return Ok(PlainResponse::Partial(response));
            }
            outcome => outcome,
        };
        ticket.complete(outcome.call_outcome(), started.elapsed());
        match outcome {
            AttemptOutcome::Complete(response) if !response.status.is_server_error() => {
                context.backend_tracker.record_success(&entry.instance(), started.elapsed());
                if response.status.is_success() {
                    context.suspects.record_success(request.fingerprint);
                    context.suspects.record_begun_well(&request.part_fingerprints, Duration::ZERO);
                }
                return Ok(PlainResponse::Complete(response.into_response()));
            }
            failed => {
                if matches!(failed, AttemptOutcome::Unknown(_)) {
                    probes.start(context, request, &entry, RunProgress::Starting);
                }
                if matches!(failed, AttemptOutcome::NotSent(_)) {
                    permit.refund();
                }
                record.record_failed_attempt(context, request, &entry, failed);
            }
        }
    }
    final_result(context, request, record)
}

/// The next backend server and the version of the directory that it is from, if the request may be
/// sent again.
async fn next_backend(
    context: &ForwardContext,
    request: &RoutedRequest,
    record: &mut AttemptRecord,
    ticket: &mut CallTicket,
) -> Option<(Arc<BackendEntry>, StoreVersion, SendPermit)> {
    if record.attempts >= request.route.max_attempts
        || record.unreachable > MAX_UNREACHABLE
        || (record.may_have_run && !request.route.is_idempotent())
        || request.remaining().is_zero()
    {
        return None;
    }
    let scheduled = if ticket.is_scheduled() {
        // Boxed, since the calls of most services are not scheduled.
        Box::pin(choose_scheduled(context, request, &record.tried, ticket)).await
    } else {
        ScheduleOutcome::Local
    };
    let view = context.view();
    let (entry, permit) = match scheduled {
        ScheduleOutcome::Send(entry, permit) => (entry, permit),
        ScheduleOutcome::Reject { cause, retry_after } => {
            record.rejected = Some((cause, retry_after));
            return None;
        }
        ScheduleOutcome::Local => {
            let pick = || context.picker(&view).pick_plain(&request.service, &record.tried);
            pick_with_permit(context, request, pick).await?
        }
    };
    if record.attempts > 0 {
        if !context.budgets.try_withdraw(&request.service) {
            log_retry_budget_exhausted(request, &context.budgets);
            permit.refund();
            return None;
        }
        context.metrics.record_retry();
    }
    Some((entry, view.version, permit))
}

/// Timeout of one attempt: the remaining time, unless another attempt could follow.
fn attempt_timeout(request: &RoutedRequest, record: &AttemptRecord) -> Duration {
    let remaining = request.remaining();
    let is_last = record.attempts + 1 >= request.route.max_attempts;
    if is_last || !request.route.is_idempotent() {
        return remaining;
    }
    remaining.min((remaining / 2).max(request.route.objective))
}

async fn send_attempt(
    context: &ForwardContext,
    request: &Arc<RoutedRequest>,
    entry: &Arc<BackendEntry>,
    timeout: Duration,
) -> AttemptOutcome {
    let load_guard = context.backend_tracker.track_request(&entry.instance());
    let sent_at = request.clock.now();
    let params = ForwardParams { time_budget: request.remaining(), ..ForwardParams::default() };
    let exchange = async {
        let response =
            (context.calls.forward)(Arc::clone(entry), Arc::clone(request), params).await?;
        if response.did_not_run {
            return Err(CallError::Refused { status: response.status });
        }
        if !response.is_verified_success() && !response.is_verified_failure() {
            let reason = format!("status {} without proof of its origin", response.status.as_u16());
            return Err(CallError::Lost { reason });
        }
        let (status, headers) = (response.status, response.headers);
        let buffered = buffer_body(request, response.body)
            .await
            .map_err(|error| CallError::Lost { reason: error.to_string() })?;
        Ok((status, headers, buffered))
    };
    match request.clock.timeout(timeout, context.cancel_on_restart(entry, exchange)).await {
        Ok(Ok((status, headers, BufferedBody::Complete(body)))) => {
            AttemptOutcome::Complete(CompleteResponse { status, headers, body })
        }
        Ok(Ok((status, headers, BufferedBody::Partial(chunks, body)))) => {
            let entry = Arc::clone(entry);
            let response = PartialResponse {
                status,
                headers,
                chunks,
                body,
                entry,
                _load: load_guard,
                sent_at,
                call: None,
            };
            AttemptOutcome::Partial(Box::new(response))
        }
        Ok(Err(CallError::NotSent { reason })) => AttemptOutcome::NotSent(reason),
        Ok(Err(CallError::Refused { .. })) => AttemptOutcome::NotRun,
        Ok(Err(CallError::Lost { reason })) => AttemptOutcome::Unknown(reason),
        Err(DeadlineElapsed) => AttemptOutcome::Unknown(format!("no response within {timeout:?}")),
    }
}

fn final_result(
    context: &ForwardContext,
    request: &RoutedRequest,
    record: AttemptRecord,
) -> Result<PlainResponse, Refusal> {
    if let Some(failure) = record.failure {
        return Ok(failure);
    }
    if record.may_have_run {
        let is_expired = request.remaining().is_zero();
        let cause = if is_expired { RefusalCause::TimedOut } else { RefusalCause::Unknown };
        return Err(Refusal::new(cause));
    }
    if !request.remaining().is_zero()
        && all_blocked(context, request, &record.tried)
        && let Some(refusal) = refusal_if_blocked(context, request)
    {
        return Err(refusal);
    }
    if let Some((RejectCause::NoCapacity, retry_after)) = record.rejected
        && !request.remaining().is_zero()
    {
        return Err(Refusal::with_retry_after(RefusalCause::NoRoom, retry_after));
    }
    let cause = match (record.tried.is_empty(), request.remaining().is_zero()) {
        (_, true) => RefusalCause::TooLateNotRun,
        (true, false) => RefusalCause::NoBackend,
        (false, false) => RefusalCause::NotRun,
    };
    if let Some((RejectCause::NoServer, retry_after)) = record.rejected
        && cause == RefusalCause::NoBackend
    {
        return Err(Refusal::with_retry_after(cause, retry_after));
    }
    let fraction = rand::rng().random_range(RETRY_AFTER_FRACTIONS);
    Err(Refusal::with_retry_after(cause, request.route.objective.mul_f64(fraction)))
}
