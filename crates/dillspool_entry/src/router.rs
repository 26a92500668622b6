//! Authenticates HTTP requests and dispatches them to their handlers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dillspool_config::ConfigSnapshot;
use dillspool_io::{HttpHandler, ResponseBody, handler, read_body, text_response};
use dillspool_keys::CallerKey;
use dillspool_schema::Name;
use dillspool_schema::configuration::{GroupEntry, PoolEntry};
use dillspool_suspects::{FingerprintInput, RequestFingerprint};
use hyper::body::{Body, Incoming};
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::Instant;

use crate::completion_stream::CompletionParams;
use crate::completions::{RequestPermit, handle_completion};
use crate::context::EntryContext;
use crate::openai::{ApiEndpoint, GenerationRequest, model_list};
use crate::plain_calls::{PlainCall, handle_plain_call};
use crate::problem::RequestProblem;

/// `Retry-After` while the host accepts no requests.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the HTTP handler of the callers' listener.
pub fn callers_handler(context: EntryContext) -> HttpHandler {
    handler(move |request| {
        let context = context.clone();
        async move {
            match dispatch(context, request).await {
                Ok(response) => response,
                Err(problem) => problem.response(),
            }
        }
    })
}

async fn dispatch(
    context: EntryContext,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, RequestProblem> {
    let arrived = Instant::now();
    if let Some(reason) = (context.host_status.closed_reason)() {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let problem = RequestProblem::not_run(status, "host_closed", reason);
        return Err(problem.with_retry_after(UNAVAILABLE_RETRY_AFTER));
    }
    let snapshot = current_config(&context)?;
    let group = authenticate(&snapshot, &request)?;
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => {
            generate(context, snapshot, group, ApiEndpoint::Chat, request, arrived).await
        }
        (&Method::POST, "/v1/completions") => {
            generate(context, snapshot, group, ApiEndpoint::Text, request, arrived).await
        }
        (&Method::GET, "/v1/models") => {
            let pools = &snapshot.configuration.pool;
            let models: BTreeSet<&Name> = pools.iter().map(|pool| &pool.model).collect();
            Ok(text_response(StatusCode::OK, "application/json", model_list(models.into_iter())))
        }
        _ => forward_call(context, snapshot, group, &path, request).await,
    }
}

fn current_config(context: &EntryContext) -> Result<Arc<ConfigSnapshot>, RequestProblem> {
    let current = context.config.borrow().clone();
    current.ok_or_else(|| {
        let detail = "no configuration has been applied yet; apply one with `dillspool apply`";
        RequestProblem::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_configured", detail)
            .with_retry_after(UNAVAILABLE_RETRY_AFTER)
    })
}

fn authenticate(
    snapshot: &ConfigSnapshot,
    request: &Request<Incoming>,
) -> Result<GroupEntry, RequestProblem> {
    let key = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(CallerKey::from_bearer);
    key.and_then(|key| snapshot.group_of_key(&key).cloned()).ok_or_else(|| {
        let detail = "the key is missing or unknown; send `Authorization: Bearer KEY` with a key of your group";
        RequestProblem::not_run(StatusCode::UNAUTHORIZED, "invalid_api_key", detail)
    })
}

fn try_admit(context: &EntryContext) -> Result<RequestPermit, RequestProblem> {
    match Arc::clone(&context.in_flight).try_acquire_owned() {
        Ok(permit) => {
            Ok(RequestPermit { _in_flight: context.metrics.start_request(), _permit: permit })
        }
        Err(_full) => {
            let detail = "this host has too many requests in flight; retry after the given delay";
            let status = StatusCode::TOO_MANY_REQUESTS;
            Err(RequestProblem::not_run(status, "host_full", detail)
                .with_retry_after(UNAVAILABLE_RETRY_AFTER))
        }
    }
}

async fn receive_body(context: &EntryContext, body: Incoming) -> Result<Bytes, RequestProblem> {
    let limit = context.max_body_bytes;
    let too_large = || {
        let detail = format!("the request body exceeds {limit} bytes; send a smaller one");
        RequestProblem::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", detail)
    };
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    match tokio::time::timeout(context.body_timeout, read_body(body, limit)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(_incomplete)) => {
            let detail = "the request body ended early; retry the request";
            Err(RequestProblem::not_run(StatusCode::BAD_REQUEST, "body_broken", detail))
        }
        Err(_elapsed) => {
            let detail = "the request body was not received in time; retry the request";
            Err(RequestProblem::not_run(StatusCode::REQUEST_TIMEOUT, "body_timeout", detail))
        }
    }
}

async fn generate(
    context: EntryContext,
    snapshot: Arc<ConfigSnapshot>,
    group: GroupEntry,
    endpoint: ApiEndpoint,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<Response<ResponseBody>, RequestProblem> {
    let permit = try_admit(&context)?;
    let body = receive_body(&context, request.into_body()).await?;
    let path = match endpoint {
        ApiEndpoint::Chat => "/v1/chat/completions",
        ApiEndpoint::Text => "/v1/completions",
    };
    let fingerprint = request_fingerprint(&context, &group, path, &body);
    let request = GenerationRequest::parse(endpoint, &body).map_err(|detail| {
        RequestProblem::not_run(StatusCode::BAD_REQUEST, "invalid_request", detail)
    })?;
    let pool = choose_pool(&snapshot, &request.model)?;
    let id = context.ids.next();
    let params = CompletionParams { id, fingerprint, snapshot, group, pool, request, arrived };
    // Boxed because its large future would otherwise enlarge the future of every request.
    Box::pin(handle_completion(context, params, permit)).await
}

/// Computes the fingerprint of a request, which is equal for all its copies.
fn request_fingerprint(
    context: &EntryContext,
    group: &GroupEntry,
    path: &str,
    body: &Bytes,
) -> RequestFingerprint {
    RequestFingerprint::of(
        &context.fingerprint_key,
        &FingerprintInput { caller: &group.name, host: "", path, body },
    )
}

fn choose_pool(snapshot: &ConfigSnapshot, model: &str) -> Result<PoolEntry, RequestProblem> {
    snapshot.pools_of_model(model).next().cloned().ok_or_else(|| {
        let detail = format!("model `{model}` is not served; see /v1/models");
        RequestProblem::not_run(StatusCode::NOT_FOUND, "model_not_found", detail)
    })
}

async fn forward_call(
    context: EntryContext,
    snapshot: Arc<ConfigSnapshot>,
    group: GroupEntry,
    path: &str,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, RequestProblem> {
    let Some(route) = snapshot.route(path).cloned() else {
        let detail =
            format!("no route matches `{path}`; see the [[route]] entries of the configuration");
        return Err(RequestProblem::not_run(StatusCode::NOT_FOUND, "no_route", detail));
    };
    let _permit = try_admit(&context)?;
    let (parts, body) = request.into_parts();
    let body = receive_body(&context, body).await?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = request_fingerprint(&context, &group, path, &body);
    let call = PlainCall {
        fingerprint,
        snapshot,
        group,
        route,
        method: parts.method,
        path: path.into(),
        headers: parts.headers,
        body,
    };
    handle_plain_call(context, call).await
}
