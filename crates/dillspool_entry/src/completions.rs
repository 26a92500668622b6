//! HTTP responses to model requests, streamed or in one body.

use std::time::Duration;

use bytes::Bytes;
use dillspool_io::{BoxError, ResponseBody, channel_body, text_response};
use dillspool_schema::{Name, StreamId};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::completion_stream::{CompletionEvent, CompletionParams, CompletionStream};
use crate::context::EntryContext;
use crate::metrics::InFlightGuard;
use crate::openai::{ApiEndpoint, CompletionEncoder};
use crate::problem::{RequestProblem, WorkOutcome};

/// Events buffered for a slow caller; when the buffer is full, tokens stay on the engine.
const CALLER_BUFFER_EVENTS: usize = 64;

/// Delay between the error event and closing the connection, so that the event is still sent.
const ERROR_FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Counts a request as in flight until its response has ended.
pub(crate) struct RequestPermit {
    pub(crate) _in_flight: InFlightGuard,
    pub(crate) _permit: tokio::sync::OwnedSemaphorePermit,
}

/// Serves a model request.
pub(crate) async fn handle_completion(
    context: EntryContext,
    params: CompletionParams,
    permit: RequestPermit,
) -> Result<Response<ResponseBody>, RequestProblem> {
    let streamed = params.request.stream;
    let mut guard = DisconnectGuard::new(&context, &params);
    let encoder = completion_encoder(&context, &params);
    let (mut stream, first) = match open_stream(&context, params).await {
        Ok(opened) => opened,
        Err(problem) => {
            guard.record_problem(&problem);
            return Err(problem);
        }
    };
    if streamed {
        return Ok(stream_completion(&context, encoder, stream, first, permit, guard));
    }
    let collected = tokio::select! {
        collected = collect_completion(&mut stream, first) => collected,
        () = context.cancel.cancelled() => Err(host_shutdown_problem()),
    };
    match collected {
        Ok(completion) => {
            guard.is_recorded = true;
            let prompt = stream.prompt_tokens;
            let text = encoder.full_response(
                &completion.text,
                &completion.finish,
                prompt,
                completion.tokens,
            );
            Ok(text_response(StatusCode::OK, "application/json", text))
        }
        Err(problem) => {
            guard.record_problem(&problem);
            Err(problem)
        }
    }
}

/// Opens the stream and reads its first event, so that earlier failures still get an HTTP status.
async fn open_stream(
    context: &EntryContext,
    params: CompletionParams,
) -> Result<(CompletionStream, CompletionEvent), RequestProblem> {
    let mut stream = CompletionStream::open(context.clone(), params).await?;
    let first = stream.next().await?;
    Ok((stream, first))
}

/// The host shuts down before the response is complete.
fn host_shutdown_problem() -> RequestProblem {
    let detail =
        "the host shut down before the response was complete; retry the request on another host";
    RequestProblem::not_run(StatusCode::SERVICE_UNAVAILABLE, "host_ended", detail)
        .with_outcome(WorkOutcome::Incomplete)
}

fn completion_encoder(context: &EntryContext, params: &CompletionParams) -> CompletionEncoder {
    let prefix = match params.request.endpoint {
        ApiEndpoint::Chat => "chatcmpl",
        ApiEndpoint::Text => "cmpl",
    };
    let id = format!("{prefix}-{}", params.id);
    let created = context.clock.now().0 / 1000;
    CompletionEncoder::new(params.request.endpoint, id, Name::clone(&params.request.model), created)
}

/// Counts the request as abandoned when it is dropped before an outcome was recorded.
struct DisconnectGuard {
    context: EntryContext,
    id: StreamId,
    group: Name,
    is_recorded: bool,
}

impl DisconnectGuard {
    fn new(context: &EntryContext, params: &CompletionParams) -> Self {
        Self {
            context: context.clone(),
            id: params.id.clone(),
            group: Name::clone(&params.group.name),
            is_recorded: false,
        }
    }

    /// Counts and logs the problem as the outcome, in place of a caller disconnect.
    fn record_problem(&mut self, problem: &RequestProblem) {
        self.is_recorded = true;
        let outcome = match problem.outcome {
            WorkOutcome::NotRun => "refused",
            WorkOutcome::Unknown => "failed",
            WorkOutcome::Incomplete => "incomplete",
        };
        self.context.metrics.count_request(&self.group, outcome, problem.code);
        log::info!(
            "event=request_ended request={} group={} outcome={outcome} code={} status={}",
            self.id,
            self.group,
            problem.code,
            problem.status.as_u16()
        );
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.is_recorded {
            self.context.metrics.count_request(&self.group, "gone", "caller_left");
            let (id, group) = (&self.id, &self.group);
            log::info!(
                "event=request_ended request={id} group={group} outcome=gone code=caller_left"
            );
        }
    }
}

struct FullCompletion {
    text: String,
    finish: Name,
    tokens: u64,
}

async fn collect_completion(
    stream: &mut CompletionStream,
    first: CompletionEvent,
) -> Result<FullCompletion, RequestProblem> {
    let (mut text, mut tokens) = (String::new(), 0);
    let mut event = first;
    loop {
        match event {
            CompletionEvent::Token(token) => {
                text.push_str(&token);
                tokens += 1;
            }
            CompletionEvent::End(finish) => {
                return Ok(FullCompletion { text, finish, tokens });
            }
        }
        event = stream.next().await?;
    }
}

fn stream_completion(
    context: &EntryContext,
    encoder: CompletionEncoder,
    stream: CompletionStream,
    first: CompletionEvent,
    permit: RequestPermit,
    guard: DisconnectGuard,
) -> Response<ResponseBody> {
    let (sender, receiver) = mpsc::channel(CALLER_BUFFER_EVENTS);
    let (tasks, cancel) = (context.tasks.clone(), context.cancel.clone());
    tasks.spawn(async move {
        forward_events(&cancel, &encoder, stream, first, sender, guard).await;
        drop(permit);
    });
    let mut response = Response::new(channel_body(receiver));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

type EventSender = mpsc::Sender<Result<Bytes, BoxError>>;

async fn forward_events(
    cancel: &CancellationToken,
    encoder: &CompletionEncoder,
    mut stream: CompletionStream,
    first: CompletionEvent,
    sender: EventSender,
    mut guard: DisconnectGuard,
) {
    let mut result = Ok(first);
    loop {
        let event = match &result {
            Ok(CompletionEvent::Token(text)) => sse_event(&encoder.token_chunk(text)),
            Ok(CompletionEvent::End(finish)) => {
                guard.is_recorded = true;
                let mut last = sse_event(&encoder.last_chunk(finish));
                last.push_str("data: [DONE]\n\n");
                // A caller that disconnects here has received everything except `[DONE]`.
                let _disconnected = sender.send(Ok(last.into())).await;
                return;
            }
            Err(problem) => {
                guard.record_problem(problem);
                abort_stream(&sender, problem).await;
                return;
            }
        };
        if sender.send(Ok(event.into())).await.is_err() {
            return;
        }
        result = tokio::select! {
            result = stream.next() => result,
            () = cancel.cancelled() => Err(host_shutdown_problem()),
            () = sender.closed() => return,
        };
    }
}

fn sse_event(data: &str) -> String {
    format!("data: {data}\n\n")
}

/// Sends an error event and then fails the body.
///
/// The caller sees neither `[DONE]` nor the end of the body, so it cannot mistake the response for
/// a complete one.
async fn abort_stream(sender: &EventSender, problem: &RequestProblem) {
    let event = sse_event(&problem.to_json());
    if sender.send(Ok(event.into())).await.is_ok() {
        // hyper discards unwritten data when a body fails.
        tokio::time::sleep(ERROR_FLUSH_DELAY).await;
        let _disconnected = sender.send(Err("the response was aborted".into())).await;
    }
}
