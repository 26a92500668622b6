//! Calls to plain services, idempotent or not.

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
use crate::placement::BackendRef;
use crate::problem::{RequestProblem, WorkOutcome, copy_problem};

/// Header that identifies a non-idempotent call, as in the IETF draft.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Maximum size of a forwarded response body.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of a body recorded in a ledger row; a longer one is recorded with its status and
/// content type only.
const MAX_RECORDED_BYTES: usize = 64 * 1024;
/// Maximum age of a ticket that is still used; after that the caller has disconnected.
const MAX_TICKET_AGE: Duration = Duration::from_secs(10);
/// `Retry-After` while the platform's table is unreachable.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);
/// `Retry-After` for a response that may still be recorded.
const PENDING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall {
    /// Equal for all copies of the call.
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) snapshot: Arc<ConfigSnapshot>,
    pub(crate) group: GroupEntry,
    pub(crate) route: RouteEntry,
    pub(crate) method: Method,
    pub(crate) path: Name,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A response of a plain service.
struct PlainResponse {
    status: StatusCode,
    content_type: HeaderValue,
    body: Bytes,
}

impl PlainResponse {
    fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(full_body(self.body));
        *response.status_mut() = self.status;
        response.headers_mut().insert(CONTENT_TYPE, self.content_type);
        response
    }

    fn to_record(&self) -> RecordedResponse {
        let content_type = self.content_type.to_str().unwrap_or("application/octet-stream");
        let kept = if self.body.len() <= MAX_RECORDED_BYTES { &self.body[..] } else { &[] };
        RecordedResponse::new(self.status.as_u16(), content_type, kept)
    }
}

/// Serves a plain call, through the ledger if it is not idempotent and has a key.
pub(crate) async fn handle_plain_call(
    context: EntryContext,
    call: PlainCall,
) -> Result<Response<ResponseBody>, RequestProblem> {
    let copy = context.suspects.admit(call.fingerprint).map_err(copy_problem)?;
    if call.route.repeatable {
        return send_idempotent(&context, &call).await.map(PlainResponse::into_response);
    }
    let key = call.headers.get(IDEMPOTENCY_KEY).and_then(|value| value.to_str().ok());
    let Some(key) = key.filter(|key| !key.is_empty()) else {
        return run_detached(&context, |context| async move {
            let response = send_once(&context, &call).await.map(PlainResponse::into_response);
            drop(copy);
            response
        })
        .await;
    };
    let key = CallKey::new(&call.group.name, key);
    run_detached(&context, |context| async move {
        let response = send_with_ledger(&context, &call, key).await;
        drop(copy);
        response
    })
    .await
}

/// Runs the call as a task of its own, so that its response is recorded even if the caller
/// disconnects.
async fn run_detached<F, R>(
    context: &EntryContext,
    work: F,
) -> Result<Response<ResponseBody>, RequestProblem>
where
    F: FnOnce(EntryContext) -> R,
    R: Future<Output = Result<Response<ResponseBody>, RequestProblem>> + Send + 'static,
{
    let task = context.tasks.spawn(work(context.clone()));
    task.await.unwrap_or_else(|_join| {
        let detail = "the call failed unexpectedly; check whether it ran before you retry it";
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        Err(RequestProblem::not_run(status, "internal", detail).with_outcome(WorkOutcome::Unknown))
    })
}

async fn send_with_ledger(
    context: &EntryContext,
    call: &PlainCall,
    key: CallKey,
) -> Result<Response<ResponseBody>, RequestProblem> {
    let request = CallRequest::new(key, call.method.as_str(), &call.path, &call.body);
    match context.ledger.begin(request).await {
        BeginOutcome::Run(ticket) => send_with_ticket(context, call, ticket).await,
        BeginOutcome::Recorded(response) => Ok(replay(&response)),
        BeginOutcome::Unknown { in_progress } => Err(already_started(in_progress)),
        BeginOutcome::Mismatch => {
            let detail = "the Idempotency-Key was already used for a different call; use a new key";
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            Err(RequestProblem::not_run(status, "key_reused", detail))
        }
        BeginOutcome::NotRun => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let Some(settle_time_left) = context.ledger.settle_time_left() else {
                let detail = "the call cannot be recorded in the ledger now; retry it later";
                let problem = RequestProblem::not_run(status, "store_down", detail);
                return Err(problem.with_retry_after(STORE_RETRY_AFTER));
            };
            let detail =
                "the platform's table was restored; retry the call once the ledger has settled";
            let problem = RequestProblem::not_run(status, "store_restored", detail);
            Err(problem.with_retry_after(settle_time_left))
        }
    }
}

fn already_started(in_progress: bool) -> RequestProblem {
    let detail = if in_progress {
        "a call with this key has started and has no response yet; retry with the same key"
    } else {
        "a call with this key started earlier and its response was not kept; check its outcome at the service"
    };
    let problem = RequestProblem::not_run(StatusCode::CONFLICT, "begun_before", detail)
        .with_outcome(WorkOutcome::Unknown);
    if in_progress { problem.with_retry_after(PENDING_RETRY_AFTER) } else { problem }
}

fn replay(recorded: &RecordedResponse) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(recorded.body_bytes()));
    *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    if let Ok(value) = HeaderValue::from_str(&recorded.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    let replayed = HeaderValue::from_static("true");
    response.headers_mut().insert("idempotency-replayed", replayed);
    response
}

async fn send_with_ticket(
    context: &EntryContext,
    call: &PlainCall,
    ticket: CallTicket,
) -> Result<Response<ResponseBody>, RequestProblem> {
    if ticket.age() > MAX_TICKET_AGE {
        context.ledger.abandon(ticket);
        let detail = "this host was delayed before it sent the call; retry it";
        return Err(RequestProblem::not_run(StatusCode::SERVICE_UNAVAILABLE, "held_up", detail)
            .with_retry_after(PENDING_RETRY_AFTER));
    }
    match send_once(context, call).await {
        Ok(response) => {
            let (ledger, record) = (context.ledger.clone(), response.to_record());
            context.tasks.spawn(async move { ledger.finish(ticket, record).await });
            Ok(response.into_response())
        }
        Err(problem) => {
            if problem.outcome == WorkOutcome::NotRun {
                context.ledger.abandon(ticket);
            }
            Err(problem)
        }
    }
}

/// Returns the backend servers of the call's service in round-robin order.
fn backends(context: &EntryContext, call: &PlainCall) -> Vec<BackendRef> {
    let mut servers: Vec<BackendRef> = call
        .snapshot
        .backends(&call.route.service, BackendRole::Plain)
        .filter(|entry| !entry.leaving && !(context.host_status.is_leaving)(&entry.name))
        .filter_map(|entry| {
            let address = entry.address.parse().ok()?;
            Some(BackendRef { name: Name::clone(&entry.name), address })
        })
        .collect();
    if !servers.is_empty() {
        let start = context.next_backend.fetch_add(1, Ordering::Relaxed) % servers.len();
        servers.rotate_left(start);
    }
    servers
}

fn no_backend_problem(call: &PlainCall) -> RequestProblem {
    let detail =
        format!("no backend server of `{}` is reachable; retry the call later", call.route.service);
    RequestProblem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_backend", detail)
        .with_retry_after(PENDING_RETRY_AFTER)
}

fn unknown_outcome_problem(error: &HttpError) -> RequestProblem {
    let detail =
        format!("{error}; check the outcome at the service before you send it as a new call");
    RequestProblem::not_run(StatusCode::GATEWAY_TIMEOUT, "no_answer", detail)
        .with_outcome(WorkOutcome::Unknown)
}

/// Sends a call to one backend server; tries another one only if nothing was sent.
async fn send_once(
    context: &EntryContext,
    call: &PlainCall,
) -> Result<PlainResponse, RequestProblem> {
    for server in backends(context, call) {
        match send(context, call, &server).await {
            Ok(response) => return Ok(response),
            Err(HttpError::NotSent { .. }) => {}
            Err(error) => {
                record_crash(context, call, &server).await;
                return Err(unknown_outcome_problem(&error));
            }
        }
    }
    Err(no_backend_problem(call))
}

/// Sends an idempotent call; retries it on other backend servers within the retry budget.
async fn send_idempotent(
    context: &EntryContext,
    call: &PlainCall,
) -> Result<PlainResponse, RequestProblem> {
    let mut last = no_backend_problem(call);
    for server in backends(context, call) {
        match send(context, call, &server).await {
            Ok(response) => {
                context
                    .retry_budget
                    .record_success(call.snapshot.configuration.policy.retry_percent);
                return Ok(response);
            }
            Err(HttpError::NotSent { .. }) => {}
            Err(error) => {
                last = unknown_outcome_problem(&error);
                record_crash(context, call, &server).await;
                let decision = context.suspects.decide(call.fingerprint);
                let is_refused = matches!(decision, SuspectDecision::Refused { .. });
                if is_refused || !context.retry_budget.try_withdraw() {
                    break;
                }
                context.metrics.count_retry();
            }
        }
    }
    Err(last)
}

/// Records a crash against the call if the backend server that ran it has crashed.
async fn record_crash(context: &EntryContext, call: &PlainCall, server: &BackendRef) {
    if context.engines.refuses_connections(server.address).await {
        log::info!("event=backend_ended print={} backend={}", call.fingerprint, server.name);
        context.suspects.record_unidentified_crash(call.fingerprint, &server.name, Duration::ZERO);
    }
}

async fn send(
    context: &EntryContext,
    call: &PlainCall,
    server: &BackendRef,
) -> Result<PlainResponse, HttpError> {
    let address = server.address;
    let connection_lost = |reason: String| HttpError::Lost { address, reason };
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
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| connection_lost(error.to_string()))?;
        let content_type =
            content_type.unwrap_or(HeaderValue::from_static("application/octet-stream"));
        Ok(PlainResponse { status, content_type, body })
    };
    let timeout = Duration::from_millis(call.route.timeout_ms.into());
    match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(response)) => {
            context.suspects.record_success(call.fingerprint);
            Ok(response)
        }
        Ok(Err(error)) => Err(error),
        Err(_elapsed) => Err(connection_lost(format!("no response within {timeout:?}"))),
    }
}
