//! A caller that checks its answers to the letter.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dillspool_engine::LineBuffer;
use dillspool_io::{HttpClient, NetStack, read_body};
use dillspool_standin::token_text;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request, Response};
use serde_json::{Value, json};
use tokio::time::Instant;

/// Longest body that is read whole, in bytes.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// A model request.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// Model to ask.
    pub model: String,
    /// The user's message.
    pub text: String,
    /// Output tokens at most.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// What a caller saw of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallOutcome {
    /// HTTP status, 0 if there was no response.
    pub status: u16,
    /// The `outcome` of a refusal or a broken stream.
    pub outcome: Option<String>,
    /// The cause of a refusal or a broken stream.
    pub code: Option<String>,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Text of the answer so far.
    pub text: String,
    /// Tokens of the answer so far.
    pub tokens: u64,
    /// Whether the answer came to its marked end.
    pub ended: bool,
    /// Time to the first token of a streamed answer.
    pub first_token: Duration,
    /// Mean time of each further token.
    pub per_token: Duration,
    /// Time until the caller had its final answer.
    pub total: Duration,
}

/// The prompt that the entry host makes of a user's message.
pub fn chat_prompt(text: &str) -> String {
    format!("user: {text}\n")
}

/// The answer that the stand-in engines give to a user's message.
pub fn expected_answer(text: &str, tokens: u64) -> String {
    let prompt = chat_prompt(text);
    (0..tokens).map(|index| token_text(&prompt, index)).collect()
}

/// A caller of one group.
#[derive(Clone, Debug)]
pub struct CallerClient {
    http: HttpClient,
    key: String,
}

impl CallerClient {
    /// A caller with a key.
    pub fn new(stack: &NetStack, key: impl Into<String>) -> Self {
        Self { http: HttpClient::single_use(stack), key: key.into() }
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body));
        request.unwrap_or_else(|error| panic!("bad request: {error}"))
    }

    /// Sends a model request and reads its answer to the end.
    pub async fn chat(&self, host: SocketAddr, call: &ChatCall) -> CallOutcome {
        let body = json!({
            "model": call.model,
            "messages": [{"role": "user", "content": call.text}],
            "max_tokens": call.max_tokens,
            "stream": call.stream,
        });
        let request = self.request(Method::POST, "/v1/chat/completions", body.to_string().into());
        let sent = Instant::now();
        let mut outcome = CallOutcome::default();
        if let Ok(response) = self.http.send(host, request).await {
            outcome.status = response.status().as_u16();
            if call.stream && response.status().is_success() {
                read_stream(response, sent, &mut outcome).await;
            } else {
                read_whole(response, &mut outcome).await;
            }
        }
        outcome.total = sent.elapsed();
        outcome
    }

    /// Calls a plain route, with an idempotency key where one is given.
    pub async fn plain(
        &self,
        host: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> CallOutcome {
        let mut request = self.request(Method::POST, path, body.to_owned().into());
        if let Some(value) = key.and_then(|key| key.parse().ok()) {
            request.headers_mut().insert("idempotency-key", value);
        }
        let sent = Instant::now();
        let mut outcome = CallOutcome::default();
        if let Ok(response) = self.http.send(host, request).await {
            outcome.status = response.status().as_u16();
            read_whole(response, &mut outcome).await;
        }
        outcome.total = sent.elapsed();
        outcome
    }
}

async fn read_whole(response: Response<Incoming>, outcome: &mut CallOutcome) {
    let success = response.status().is_success();
    let Ok(bytes) = read_body(response.into_body(), BODY_LIMIT).await else {
        return;
    };
    let body = serde_json::from_slice::<Value>(&bytes).unwrap_or(Value::Null);
    if !success {
        note_problem(&body, outcome);
        return;
    }
    outcome.ended = true;
    if let Some(content) = body.pointer("/choices/0/message/content").and_then(Value::as_str) {
        content.clone_into(&mut outcome.text);
        outcome.tokens =
            body.pointer("/usage/completion_tokens").and_then(Value::as_u64).unwrap_or(0);
    } else {
        outcome.text = String::from_utf8_lossy(&bytes).into_owned();
    }
}

fn note_problem(body: &Value, outcome: &mut CallOutcome) {
    let text = |pointer: &str| body.pointer(pointer).and_then(Value::as_str).map(str::to_owned);
    outcome.outcome = text("/outcome");
    outcome.code = text("/error/code");
    outcome.retry_after_ms = body.pointer("/retry_after_ms").and_then(Value::as_u64);
}

async fn read_stream(response: Response<Incoming>, sent: Instant, outcome: &mut CallOutcome) {
    let mut body = response.into_body();
    let mut lines = LineBuffer::default();
    let mut last = sent;
    while let Some(Ok(frame)) = body.frame().await {
        let Some(chunk) = frame.data_ref() else {
            continue;
        };
        if !lines.push(chunk) {
            return;
        }
        while let Some(line) = lines.next_line() {
            let Some(data) = line.strip_prefix(b"data: ") else {
                continue;
            };
            if data == b"[DONE]" {
                outcome.ended = true;
                continue;
            }
            let event = serde_json::from_slice::<Value>(data).unwrap_or(Value::Null);
            if event.get("error").is_some() {
                note_problem(&event, outcome);
                continue;
            }
            let Some(text) = event.pointer("/choices/0/delta/content").and_then(Value::as_str)
            else {
                continue;
            };
            outcome.text.push_str(text);
            outcome.tokens += 1;
            last = Instant::now();
            if outcome.tokens == 1 {
                outcome.first_token = last - sent;
            }
        }
    }
    let further = u32::try_from(outcome.tokens.saturating_sub(1)).unwrap_or(u32::MAX);
    if further > 0 {
        outcome.per_token = last.duration_since(sent + outcome.first_token) / further;
    }
}
