//! Callers that send requests of all kinds to any host.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dillspool_io::{NetStack, exchange_once, read_body};
use dillspool_site_standin::{DEADLY_BODY, PROMPT_PARTS, REQUEST_ID, TIME_BUDGET, TOKEN_COUNTS};
use http_body_util::Full;
use hyper::Request;

use crate::check::{CallKind, CallOutcome, CallRecord};

/// Time that a caller waits, in milliseconds.
const CALLER_WAIT_MS: u64 = 3_000;
/// Time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Longest answer, in bytes.
const ANSWER_LIMIT: usize = 100_000;

/// Host name of all routes.
pub(crate) const ROUTE_HOST: &str = "soak.example";

/// Path prefix of a kind's route.
pub(crate) fn prefix(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Repeatable => "/again/",
        CallKind::Unrepeatable => "/once/",
        CallKind::ResumableStream => "/resumed/",
        CallKind::Stream => "/stream/",
    }
}

/// The id of an attempt that is sent to a host.
pub(crate) fn attempt_id(seed: u64, number: u64, host: usize) -> String {
    format!("{seed:x}-{number}-host-{host}")
}

/// The host that an attempt was sent to, if its id tells.
pub(crate) fn host_of(id: &str) -> Option<usize> {
    id.rsplit_once("-host-")?.1.parse().ok()
}

/// Sends one request and waits for its end.
pub(crate) async fn call(id: String, kind: CallKind, host: SocketAddr) -> CallRecord {
    let path = format!("{}{id}", prefix(kind));
    let outcome = send(&id, &path, host).await;
    CallRecord { id, kind, outcome }
}

/// A request that crashes what runs it; all copies of one number are the same request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeadlyRequest {
    pub(crate) kind: CallKind,
    pub(crate) number: usize,
}

impl DeadlyRequest {
    pub(crate) fn path(self) -> String {
        format!("{}deadly-{}", prefix(self.kind), self.number)
    }

    /// Sends a copy.
    pub(crate) async fn call(self, id: String, host: SocketAddr) -> CallRecord {
        let outcome = send_body(&id, &self.path(), DEADLY_BODY, host).await;
        CallRecord { id, kind: self.kind, outcome }
    }
}

/// Sends one request to a path.
pub(crate) async fn send(id: &str, path: &str, host: SocketAddr) -> CallOutcome {
    send_body(id, path, "body", host).await
}

async fn send_body(id: &str, path: &str, body: &'static str, host: SocketAddr) -> CallOutcome {
    let request = request_head(id, path).body(Full::new(Bytes::from_static(body.as_bytes())));
    let Ok(request) = request else { return CallOutcome::Nothing };
    exchange(request, host).await
}

/// Sends one request whose prompt has these parts and one of its own.
pub(crate) async fn call_prompt(
    id: String,
    kind: CallKind,
    parts: &[&str],
    host: SocketAddr,
) -> CallRecord {
    let outcome = send_prompt(&id, kind, parts, host).await;
    CallRecord { id, kind, outcome }
}

/// As [`call_prompt`].
pub(crate) async fn send_prompt(
    id: &str,
    kind: CallKind,
    parts: &[&str],
    host: SocketAddr,
) -> CallOutcome {
    let mut list: Vec<String> = parts.iter().map(|part| format!("{part}:20")).collect();
    list.push(format!("own-{id}:20"));
    let request = request_head(id, &format!("{}{id}", prefix(kind)))
        .header(PROMPT_PARTS, list.join(","))
        .body(Full::new(Bytes::from(format!("prompt {id}"))));
    let Ok(request) = request else { return CallOutcome::Nothing };
    exchange(request, host).await
}

fn request_head(id: &str, path: &str) -> hyper::http::request::Builder {
    Request::builder()
        .method("POST")
        .uri(path)
        .header("host", ROUTE_HOST)
        .header(REQUEST_ID, id)
        .header(TIME_BUDGET, CALLER_WAIT_MS)
        .header(TOKEN_COUNTS, "100,100")
}

async fn exchange(request: Request<Full<Bytes>>, host: SocketAddr) -> CallOutcome {
    let stack = NetStack::tcp();
    let exchange = async {
        let response = exchange_once(&stack, host, request, CONNECT_LIMIT).await.ok()?;
        let status = response.status().as_u16();
        let body = read_body(response.into_body(), ANSWER_LIMIT).await.ok()?;
        Some(CallOutcome::Answer(status, String::from_utf8_lossy(&body).into_owned()))
    };
    let limit = Duration::from_millis(CALLER_WAIT_MS);
    let ended = tokio::time::timeout(limit, exchange).await;
    ended.ok().flatten().unwrap_or(CallOutcome::Nothing)
}
