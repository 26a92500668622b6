//! Calls to plain services, repeatable or not.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use dillspool_config::ConfigSnapshot;
use dillspool_io::{HttpError, ResponseBody, full_body, read_body};
use dillspool_ledger::{BeginOutcome, CallKey, CallRequest, CallTicket, RecordedResponse};
use dillspool_schema::Name;
use dillspool_schema::configuration::{BackendRole, GroupEntry, RouteEntry};
use dillspool_suspects::{RequestFingerprint, SuspectDecision};
use http_body_util::Full;
use hyper::header::{ACCEPT, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};

use crate::context::EntryContext;
use crate::placement::EngineRef;
use crate::problem::{RequestProblem, WorkOutcome, copy_problem};

/// Header that names an unrepeatable call, as in the IETF draft.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest answer that is passed on, in bytes.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;
/// Longest answer that is recorded in a ledger row; of a longer one only the status is kept.
const RECORD_LIMIT: usize = 64 * 1024;
/// Age at which a ticket is not used any more: its caller has gone.
const TICKET_AGE: Duration = Duration::from_secs(10);
/// When to come back while the platform's table is out of reach.
const STORE_RETRY: Duration = Duration::from_secs(5);
/// When to ask again for an answer that may still be recorded.
const PROGRESS_RETRY: Duration = Duration::from_secs(1);

/// A call to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall {
    /// The same for all copies of the call.
    pub(crate) print: RequestFingerprint,
    pub(crate) snapshot: Arc<ConfigSnapshot>,
    pub(crate) group: GroupEntry,
    pub(crate) route: RouteEntry,
    pub(crate) method: Method,
    pub(crate) path: Name,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// An answer of a plain service.
struct PlainAnswer {
    status: StatusCode,
    content_type: HeaderValue,
    body: Bytes,
}

impl PlainAnswer {
    fn response(self) -> Response<ResponseBody> {
        let mut response = Response::new(full_body(self.body));
        *response.status_mut() = self.status;
        response.headers_mut().insert(CONTENT_TYPE, self.content_type);
        response
    }

    fn record(&self) -> RecordedResponse {
        let content_type = self.content_type.to_str().unwrap_or("application/octet-stream");
        let kept = if self.body.len() <= RECORD_LIMIT { &self.body[..] } else { &[] };
        RecordedResponse::new(self.status.as_u16(), content_type, kept)
    }
}

/// Serves a plain call.
pub(crate) async fn answer_plain(
    context: EntryContext,
    call: PlainCall,
) -> Result<Response<ResponseBody>, RequestProblem> {
    let copy = context.suspects.admit(call.print).map_err(copy_problem)?;
    if call.route.repeatable {
        return send_repeatable(&context, &call).await.map(PlainAnswer::response);
    }
    let key = call.headers.get(IDEMPOTENCY_KEY).and_then(|value| value.to_str().ok());
    let Some(key) = key.filter(|key| !key.is_empty()) else {
        return detached(&context, |context| async move {
            let answer = send_once(&context, &call).await.map(PlainAnswer::response);
            drop(copy);
            answer
        })
        .await;
    };
    let key = CallKey::new(&call.group.name, key);
    detached(&context, |context| async move {
        let answer = send_with_ledger(&context, &call, key).await;
        drop(copy);
        answer
    })
    .await
}

/// Runs to the end even if the caller leaves, so that the answer gets recorded.
async fn detached<F, R>(
    context: &EntryContext,
    work: F,
) -> Result<Response<ResponseBody>, RequestProblem>
where
    F: FnOnce(EntryContext) -> R,
    R: Future<Output = Result<Response<ResponseBody>, RequestProblem>> + Send + 'static,
{
    let task = context.tasks.spawn(work(context.clone()));
    task.await.unwrap_or_else(|_join| {
        let detail = "the call ended unexpectedly; find out whether it ran before sending it again";
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        Err(RequestProblem::not_run(status, "internal", detail).outcome(WorkOutcome::Unknown))
    })
}

async fn send_with_ledger(
    context: &EntryContext,
    call: &PlainCall,
    key: CallKey,
) -> Result<Response<ResponseBody>, RequestProblem> {
    let request = CallRequest::new(key, call.method.as_str(), &call.path, &call.body);
    match context.ledger.begin(request).await {
        BeginOutcome::Run(ticket) => run_ticket(context, call, ticket).await,
        BeginOutcome::Recorded(answer) => Ok(replay(&answer)),
        BeginOutcome::Unknown { in_progress } => Err(begun_before(in_progress)),
        BeginOutcome::Mismatch => {
            let detail = "the Idempotency-Key was used for another call; use a new key";
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            Err(RequestProblem::not_run(status, "key_reused", detail))
        }
        BeginOutcome::NotRun => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let Some(settle_time_left) = context.ledger.settle_time_left() else {
                let detail = "the call cannot be entered in the ledger now; send it again later";
                let problem = RequestProblem::not_run(status, "store_down", detail);
                return Err(problem.retry_after(STORE_RETRY));
            };
            let detail =
                "the platform's table was restored; send the call again when the ledger is settled";
            let problem = RequestProblem::not_run(status, "store_restored", detail);
            Err(problem.retry_after(settle_time_left))
        }
    }
}

fn begun_before(in_progress: bool) -> RequestProblem {
    let detail = if in_progress {
        "a call with this key was begun and has no answer yet; ask again with the same key"
    } else {
        "a call with this key was begun before and its answer is not kept; find out at the service"
    };
    let problem = RequestProblem::not_run(StatusCode::CONFLICT, "begun_before", detail)
        .outcome(WorkOutcome::Unknown);
    if in_progress { problem.retry_after(PROGRESS_RETRY) } else { problem }
}

fn replay(answer: &RecordedResponse) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(answer.body_bytes()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    let replayed = HeaderValue::from_static("true");
    response.headers_mut().insert("idempotency-replayed", replayed);
    response
}

async fn run_ticket(
    context: &EntryContext,
    call: &PlainCall,
    ticket: CallTicket,
) -> Result<Response<ResponseBody>, RequestProblem> {
    if ticket.age() > TICKET_AGE {
        context.ledger.abandon(ticket);
        let detail = "this host was held up before it sent the call; send it again";
        return Err(RequestProblem::not_run(StatusCode::SERVICE_UNAVAILABLE, "held_up", detail)
            .retry_after(PROGRESS_RETRY));
    }
    match send_once(context, call).await {
        Ok(answer) => {
            let (ledger, record) = (context.ledger.clone(), answer.record());
            context.tasks.spawn(async move { ledger.finish(ticket, record).await });
            Ok(answer.response())
        }
        Err(problem) => {
            if problem.outcome == WorkOutcome::NotRun {
                context.ledger.abandon(ticket);
            }
            Err(problem)
        }
    }
}

/// Backend servers of the call's service, starting at another one each time.
fn backends(context: &EntryContext, call: &PlainCall) -> Vec<EngineRef> {
    let mut servers: Vec<EngineRef> = call
        .snapshot
        .backends(&call.route.service, BackendRole::Plain)
        .filter(|entry| !entry.leaving && !(context.host_status.is_leaving)(&entry.name))
        .filter_map(|entry| {
            let address = entry.address.parse().ok()?;
            Some(EngineRef { name: Name::clone(&entry.name), address })
        })
        .collect();
    if !servers.is_empty() {
        let start = context.next_backend.fetch_add(1, Ordering::Relaxed) % servers.len();
        servers.rotate_left(start);
    }
    servers
}

fn none_reachable(call: &PlainCall) -> RequestProblem {
    let detail = format!(
        "no backend server of `{}` can be reached; send the call again later",
        call.route.service
    );
    RequestProblem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_backend", detail)
        .retry_after(PROGRESS_RETRY)
}

fn outcome_unknown(error: &HttpError) -> RequestProblem {
    let detail = format!("{error}; find out at the service before sending it as a new call");
    RequestProblem::not_run(StatusCode::GATEWAY_TIMEOUT, "no_answer", detail)
        .outcome(WorkOutcome::Unknown)
}

/// Sends a call to one backend server; another is tried only if nothing was sent.
async fn send_once(
    context: &EntryContext,
    call: &PlainCall,
) -> Result<PlainAnswer, RequestProblem> {
    for server in backends(context, call) {
        match send(context, call, &server).await {
            Ok(answer) => return Ok(answer),
            Err(HttpError::NotSent { .. }) => {}
            Err(error) => {
                note_break(context, call, &server).await;
                return Err(outcome_unknown(&error));
            }
        }
    }
    Err(none_reachable(call))
}

/// Sends a repeatable call, to another backend server if one fails and the budget allows.
async fn send_repeatable(
    context: &EntryContext,
    call: &PlainCall,
) -> Result<PlainAnswer, RequestProblem> {
    let mut last = none_reachable(call);
    for server in backends(context, call) {
        match send(context, call, &server).await {
            Ok(answer) => {
                context
                    .retry_budget
                    .record_success(call.snapshot.configuration.policy.retry_percent);
                return Ok(answer);
            }
            Err(HttpError::NotSent { .. }) => {}
            Err(error) => {
                last = outcome_unknown(&error);
                note_break(context, call, &server).await;
                let decision = context.suspects.decide(call.print);
                let is_deadly = matches!(decision, SuspectDecision::Refused { .. });
                if is_deadly || !context.retry_budget.try_withdraw() {
                    break;
                }
                context.metrics.count_retry();
            }
        }
    }
    Err(last)
}

/// Holds it against the call if the process that ran it has ended.
async fn note_break(context: &EntryContext, call: &PlainCall, server: &EngineRef) {
    if context.engines.refuses_connections(server.address).await {
        log::info!("event=backend_ended print={} backend={}", call.print, server.name);
        context.suspects.record_unidentified_crash(call.print, &server.name, Duration::ZERO);
    }
}

async fn send(
    context: &EntryContext,
    call: &PlainCall,
    server: &EngineRef,
) -> Result<PlainAnswer, HttpError> {
    let address = server.address;
    let lost = |reason: String| HttpError::Lost { address, reason };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path.parse().map_err(|error: hyper::http::uri::InvalidUri| {
        HttpError::NotSent { address, reason: error.to_string() }
    })?;
    for name in [CONTENT_TYPE, ACCEPT] {
        if let Some(value) = call.headers.get(&name) {
            request.headers_mut().insert(name, value.clone());
        }
    }
    if let Some(key) = call.headers.get(IDEMPOTENCY_KEY) {
        request.headers_mut().insert(IDEMPOTENCY_KEY, key.clone());
    }
    let exchange = async {
        let response = context.plain_client.send(address, request).await?;
        let status = response.status();
        let content_type = response.headers().get(CONTENT_TYPE).cloned();
        let body = read_body(response.into_body(), ANSWER_LIMIT)
            .await
            .map_err(|error| lost(error.to_string()))?;
        let content_type =
            content_type.unwrap_or(HeaderValue::from_static("application/octet-stream"));
        Ok(PlainAnswer { status, content_type, body })
    };
    let limit = Duration::from_millis(call.route.timeout_ms.into());
    match tokio::time::timeout(limit, exchange).await {
        Ok(Ok(answer)) => {
            context.suspects.record_success(call.print);
            Ok(answer)
        }
        Ok(Err(error)) => Err(error),
        Err(_elapsed) => Err(lost(format!("no answer within {limit:?}"))),
    }
}
