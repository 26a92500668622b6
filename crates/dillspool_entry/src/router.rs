//! From an HTTP request to the part of the host that serves it.

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

use crate::answer::{RequestPermit, answer_request};
use crate::context::EntryContext;
use crate::openai::{ApiForm, GenerationRequest, model_list};
use crate::plain::{PlainCall, answer_plain};
use crate::problem::RequestProblem;
use crate::stream::AnswerTerms;

/// When to come back to a host that takes no requests now.
const CLOSED_RETRY: Duration = Duration::from_secs(1);

/// The handler of the callers' listener.
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
        return Err(problem.retry_after(CLOSED_RETRY));
    }
    let snapshot = current_config(&context)?;
    let group = authenticate(&snapshot, &request)?;
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => {
            generate(context, snapshot, group, ApiForm::Chat, request, arrived).await
        }
        (&Method::POST, "/v1/completions") => {
            generate(context, snapshot, group, ApiForm::Text, request, arrived).await
        }
        (&Method::GET, "/v1/models") => {
            let pools = &snapshot.configuration.pool;
            let models: BTreeSet<&Name> = pools.iter().map(|pool| &pool.model).collect();
            Ok(text_response(StatusCode::OK, "application/json", model_list(models.into_iter())))
        }
        _ => pass_on(context, snapshot, group, &path, request).await,
    }
}

fn current_config(context: &EntryContext) -> Result<Arc<ConfigSnapshot>, RequestProblem> {
    let current = context.config.borrow().clone();
    current.ok_or_else(|| {
        let detail = "no configuration was applied yet; apply one with `dillspool apply`";
        RequestProblem::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_configured", detail)
            .retry_after(CLOSED_RETRY)
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

fn enter(context: &EntryContext) -> Result<RequestPermit, RequestProblem> {
    match Arc::clone(&context.in_flight).try_acquire_owned() {
        Ok(permit) => Ok(RequestPermit { _in_flight: context.metrics.enter(), _permit: permit }),
        Err(_full) => {
            let detail =
                "this host has too many requests in flight; come back after the time given";
            let status = StatusCode::TOO_MANY_REQUESTS;
            Err(RequestProblem::not_run(status, "host_full", detail).retry_after(CLOSED_RETRY))
        }
    }
}

async fn receive_body(context: &EntryContext, body: Incoming) -> Result<Bytes, RequestProblem> {
    let limit = context.max_body_bytes;
    let too_large = || {
        let detail = format!("the body is over {limit} bytes; send less");
        RequestProblem::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", detail)
    };
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    match tokio::time::timeout(context.body_timeout, read_body(body, limit)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(_broken)) => {
            let detail = "the body broke off; send the request again";
            Err(RequestProblem::not_run(StatusCode::BAD_REQUEST, "body_broken", detail))
        }
        Err(_elapsed) => {
            let detail = "the body did not arrive in time; send the request again";
            Err(RequestProblem::not_run(StatusCode::REQUEST_TIMEOUT, "body_timeout", detail))
        }
    }
}

async fn generate(
    context: EntryContext,
    snapshot: Arc<ConfigSnapshot>,
    group: GroupEntry,
    form: ApiForm,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<Response<ResponseBody>, RequestProblem> {
    let permit = enter(&context)?;
    let body = receive_body(&context, request.into_body()).await?;
    let path = match form {
        ApiForm::Chat => "/v1/chat/completions",
        ApiForm::Text => "/v1/completions",
    };
    let print = request_print(&context, &group, path, &body);
    let request = GenerationRequest::parse(form, &body).map_err(|detail| {
        RequestProblem::not_run(StatusCode::BAD_REQUEST, "invalid_request", detail)
    })?;
    let pool = choose_pool(&snapshot, &request.model)?;
    let id = context.ids.next();
    let terms = AnswerTerms { id, print, snapshot, group, pool, request, arrived };
    // Its future is large, and would make the one of every other request as large.
    Box::pin(answer_request(context, terms, permit)).await
}

/// Names a request, whichever copy of it this is.
fn request_print(
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

async fn pass_on(
    context: EntryContext,
    snapshot: Arc<ConfigSnapshot>,
    group: GroupEntry,
    path: &str,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, RequestProblem> {
    let Some(route) = snapshot.route(path).cloned() else {
        let detail =
            format!("`{path}` is no route; see the [[route]] entries of the configuration");
        return Err(RequestProblem::not_run(StatusCode::NOT_FOUND, "no_route", detail));
    };
    let _permit = enter(&context)?;
    let (parts, body) = request.into_parts();
    let body = receive_body(&context, body).await?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let print = request_print(&context, &group, path, &body);
    let call = PlainCall {
        print,
        snapshot,
        group,
        route,
        method: parts.method,
        path: path.into(),
        headers: parts.headers,
        body,
    };
    answer_plain(context, call).await
}
