//! Requests whose answer is one body, passed on whole or not at all.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dillspool_calls::{CallOutcome, RejectCause};
use dillspool_io::{MomentPassed, ResponseBody, full_body};
use dillspool_routing::{BackendEntry, RoutedRequest};
use dillspool_scheduler::CallTicket;
use dillspool_version::StoreVersion;
use hyper::{HeaderMap, Response, StatusCode};
use rand::Rng;
use tokio::time::Instant;

use crate::backend_probe::{may_retry, spawn_failure_probe};
use crate::calls::{CallError, ForwardParams};
use crate::context::ForwardContext;
use crate::refusal::{Refusal, RefusalCause};
use crate::response_body::{BufferedBody, PartialResponse, buffer_body};
use crate::scheduled::{ScheduleOutcome, choose_scheduled};
use crate::throttle::{SendPermit, all_blocked, pick_with_permit, refusal_if_blocked};
use crate::trace::{RequestTrace, log_retry_budget_exhausted, log_send_failed};
use crate::tried::TriedBackends;

/// Backend servers that may turn out unreachable for one request.
const MOST_UNREACHABLE: usize = 3;
/// When to come back, as parts of the objective: soon enough to be served within it, spread so
/// that refused callers do not return together.
const COME_BACK_PARTS: std::ops::Range<f64> = 0.3..0.9;

/// What became of one send.
enum SendOutcome {
    /// The backend server's own answer, whole.
    Whole(WholeAnswer),
    /// The same, of which only the start was read.
    Long(Box<PartialResponse>),
    /// Nothing was sent.
    NotSent(String),
    /// The backend server did not run it.
    NotRun,
    /// It may have run.
    Unclear(String),
}

impl SendOutcome {
    /// What the host that decides on the calls of the service is told of it.
    fn call_end(&self) -> CallOutcome {
        match self {
            Self::Whole(answer) if !answer.status.is_server_error() => CallOutcome::Answered,
            Self::Long(answer) if !answer.status.is_server_error() => CallOutcome::Answered,
            Self::Whole(_) | Self::Long(_) => CallOutcome::Failed,
            Self::NotSent(_) => CallOutcome::NotSent,
            Self::NotRun => CallOutcome::NotRun,
            Self::Unclear(_) => CallOutcome::Lost,
        }
    }
}

/// The final answer of a backend server.
pub(crate) enum PlainResponse {
    /// It was read to its end.
    Complete(Response<ResponseBody>),
    /// It is to be passed on as it arrives.
    Streamed(Box<PartialResponse>),
}

/// An answer that was read to its end.
struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl WholeAnswer {
    fn response(self) -> Response<ResponseBody> {
        let mut response = Response::new(full_body(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
        response
    }
}

/// Sends of one request so far.
#[derive(Default)]
struct SendRecord {
    tried: TriedBackends,
    sends: u32,
    unreachable: usize,
    may_have_run: bool,
    failure: Option<PlainResponse>,
    /// The decision not to send it any more, and when its caller may come back.
    rejected: Option<(RejectCause, Duration)>,
}

impl SendRecord {
    /// Notes a send that brought no answer for the caller yet, and what it says of the backend
    /// server.
    fn note_failure(
        &mut self,
        context: &ForwardContext,
        request: &RoutedRequest,
        entry: &BackendEntry,
        outcome: SendOutcome,
    ) {
        let (tracker, backend) = (&context.backend_tracker, &entry.instance());
        let cause = match outcome {
            SendOutcome::Whole(answer) => {
                let status = answer.status;
                self.note_failed(context, entry, status, PlainResponse::Complete(answer.response()))
            }
            SendOutcome::Long(answer) => {
                self.note_failed(context, entry, answer.status, PlainResponse::Streamed(answer))
            }
            SendOutcome::NotSent(cause) => {
                tracker.record_connect_failure(backend, &cause);
                self.unreachable += 1;
                cause
            }
            SendOutcome::NotRun => {
                // One that names how much it takes may refuse what is beyond, and is not broken.
                if context.throttle.status(backend).rate.is_none() {
                    tracker.record_failure(backend);
                }
                self.sends += 1;
                "refused, not run".to_owned()
            }
            SendOutcome::Unclear(cause) => {
                tracker.record_no_response(backend, &cause);
                self.sends += 1;
                self.may_have_run = true;
                cause
            }
        };
        log_send_failed(request, &backend.id, &cause);
    }

    /// Notes a failure that the backend server told of, which is the answer if no other send follows.
    fn note_failed(
        &mut self,
        context: &ForwardContext,
        entry: &BackendEntry,
        status: StatusCode,
        failure: PlainResponse,
    ) -> String {
        context.backend_tracker.record_failure(&entry.instance());
        self.sends += 1;
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
    let mut record = SendRecord::default();
    let mut look = None;
    // Dropped after a send that is given up, so its place is free once the connection is closed.
    let mut ticket = context.call_client.open(&request.service);
    while may_retry(context, request, &mut look).await
        && let Some((entry, directory, permit)) =
            next_backend(context, request, &mut record, &mut ticket).await
    {
        trace.record_backend(&entry.id, directory);
        record.tried.push(&entry);
        let limit = send_limit(request, &record);
        let started = Instant::now();
        let outcome = send_whole(context, request, &entry, limit).await;
        let outcome = match outcome {
            SendOutcome::Long(mut answer) if !answer.status.is_server_error() => {
                answer.call = Some(ticket);
                return Ok(PlainResponse::Streamed(answer));
            }
            outcome => outcome,
        };
        ticket.end(outcome.call_end(), started.elapsed());
        match outcome {
            SendOutcome::Whole(answer) if !answer.status.is_server_error() => {
                context.backend_tracker.record_success(&entry.instance(), started.elapsed());
                if answer.status.is_success() {
                    context.suspects.record_success(request.fingerprint);
                }
                return Ok(PlainResponse::Complete(answer.response()));
            }
            failed => {
                if matches!(failed, SendOutcome::Unclear(_)) {
                    look = Some(spawn_failure_probe(context, request, &entry));
                }
                if matches!(failed, SendOutcome::NotSent(_)) {
                    permit.refund();
                }
                record.note_failure(context, request, &entry, failed);
            }
        }
    }
    conclude(context, request, record)
}

/// The next backend server to send to and the version of the directory that it is from, if the
/// request may be sent once more.
async fn next_backend(
    context: &ForwardContext,
    request: &RoutedRequest,
    record: &mut SendRecord,
    ticket: &mut CallTicket,
) -> Option<(Arc<BackendEntry>, StoreVersion, SendPermit)> {
    if record.sends >= request.route.max_attempts
        || record.unreachable > MOST_UNREACHABLE
        || (record.may_have_run && !request.route.is_idempotent())
        || request.remaining().is_zero()
    {
        return None;
    }
    let decided = if ticket.is_scheduled() {
        // On the heap, since the calls of most services do not come here.
        Box::pin(choose_scheduled(context, request, &record.tried, ticket)).await
    } else {
        ScheduleOutcome::Local
    };
    let view = context.view();
    let (entry, permit) = match decided {
        ScheduleOutcome::Send(entry, permit) => (entry, permit),
        ScheduleOutcome::Reject { cause, retry_after } => {
            record.rejected = Some((cause, retry_after));
            return None;
        }
        ScheduleOutcome::Local => {
            let choose = || context.picker(&view).pick_plain(&request.service, &record.tried);
            pick_with_permit(context, request, choose).await?
        }
    };
    if record.sends > 0 {
        if !context.budgets.try_withdraw(&request.service) {
            log_retry_budget_exhausted(request, &context.budgets);
            permit.refund();
            return None;
        }
        context.metrics.record_retry();
    }
    Some((entry, view.version, permit))
}

/// Time that one send may take: all that is left, unless another send could follow.
fn send_limit(request: &RoutedRequest, record: &SendRecord) -> Duration {
    let remaining = request.remaining();
    let is_last = record.sends + 1 >= request.route.max_attempts;
    if is_last || !request.route.is_idempotent() {
        return remaining;
    }
    remaining.min((remaining / 2).max(request.route.objective))
}

async fn send_whole(
    context: &ForwardContext,
    request: &Arc<RoutedRequest>,
    entry: &Arc<BackendEntry>,
    limit: Duration,
) -> SendOutcome {
    let ticket = context.backend_tracker.track_request(&entry.instance());
    let sent_at = request.clock.now();
    let terms = ForwardParams { time_budget: request.remaining(), ..ForwardParams::default() };
    let exchange = async {
        let answer = (context.calls.forward)(Arc::clone(entry), Arc::clone(request), terms).await?;
        if answer.did_not_run {
            return Err(CallError::Refused { status: answer.status });
        }
        if !answer.is_verified_success() && !answer.is_verified_failure() {
            let reason = format!("status {} without proof of its origin", answer.status.as_u16());
            return Err(CallError::Lost { reason });
        }
        let (status, headers) = (answer.status, answer.headers);
        let start = buffer_body(request, answer.body)
            .await
            .map_err(|error| CallError::Lost { reason: error.to_string() })?;
        Ok((status, headers, start))
    };
    match request.clock.timeout(limit, context.cancel_on_restart(entry, exchange)).await {
        Ok(Ok((status, headers, BufferedBody::Complete(body)))) => {
            SendOutcome::Whole(WholeAnswer { status, headers, body })
        }
        Ok(Ok((status, headers, BufferedBody::Partial(chunks, body)))) => {
            let entry = Arc::clone(entry);
            let answer = PartialResponse {
                status,
                headers,
                chunks,
                body,
                entry,
                _ticket: ticket,
                sent_at,
                call: None,
            };
            SendOutcome::Long(Box::new(answer))
        }
        Ok(Err(CallError::NotSent { reason })) => SendOutcome::NotSent(reason),
        Ok(Err(CallError::Refused { .. })) => SendOutcome::NotRun,
        Ok(Err(CallError::Lost { reason })) => SendOutcome::Unclear(reason),
        Err(MomentPassed) => SendOutcome::Unclear(format!("no answer within {limit:?}")),
    }
}

fn conclude(
    context: &ForwardContext,
    request: &RoutedRequest,
    record: SendRecord,
) -> Result<PlainResponse, Refusal> {
    if let Some(failure) = record.failure {
        return Ok(failure);
    }
    if record.may_have_run {
        let over = request.remaining().is_zero();
        let cause = if over { RefusalCause::TimedOut } else { RefusalCause::Unknown };
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
    let part = rand::rng().random_range(COME_BACK_PARTS);
    Err(Refusal::with_retry_after(cause, request.route.objective.mul_f64(part)))
}
