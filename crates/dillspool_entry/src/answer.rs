//! Model requests over HTTP: streamed or whole.

use std::time::Duration;

use bytes::Bytes;
use dillspool_io::{BoxError, ResponseBody, channel_body, text_response};
use dillspool_schema::{Name, StreamId};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::context::EntryContext;
use crate::metrics::InFlight;
use crate::openai::{AnswerHead, ApiForm};
use crate::problem::{RequestProblem, WorkOutcome};
use crate::stream::{AnswerPart, AnswerStream, AnswerTerms};

/// Events waiting for a slow caller; the engine keeps what does not fit.
const CALLER_BUFFER: usize = 64;

/// Time for the error event to reach the connection before it is broken.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// What goes along with a request until its answer has ended.
pub(crate) struct RequestPermit {
    pub(crate) _in_flight: InFlight,
    pub(crate) _permit: tokio::sync::OwnedSemaphorePermit,
}

/// Serves a model request.
pub(crate) async fn answer_request(
    context: EntryContext,
    terms: AnswerTerms,
    permit: RequestPermit,
) -> Result<Response<ResponseBody>, RequestProblem> {
    let streamed = terms.request.stream;
    let mut gone = GoneCounter::new(&context, &terms);
    let head = answer_head(&context, &terms);
    let (mut answer, first) = match open_answer(&context, terms).await {
        Ok(opened) => opened,
        Err(problem) => {
            gone.settle_problem(&problem);
            return Err(problem);
        }
    };
    if streamed {
        return Ok(stream_answer(&context, head, answer, first, permit, gone));
    }
    let collected = tokio::select! {
        collected = collect_answer(&mut answer, first) => collected,
        () = context.cancel.cancelled() => Err(host_ended()),
    };
    match collected {
        Ok(whole) => {
            gone.is_settled = true;
            let prompt = answer.prompt_tokens;
            let text = head.whole(&whole.text, &whole.finish, prompt, whole.tokens);
            Ok(text_response(StatusCode::OK, "application/json", text))
        }
        Err(problem) => {
            gone.settle_problem(&problem);
            Err(problem)
        }
    }
}

/// Opens the stream and reads its first part, so that failures up to then have a status.
async fn open_answer(
    context: &EntryContext,
    terms: AnswerTerms,
) -> Result<(AnswerStream, AnswerPart), RequestProblem> {
    let mut answer = AnswerStream::open(context.clone(), terms).await?;
    let first = answer.next().await?;
    Ok((answer, first))
}

/// The host ends before the answer does.
fn host_ended() -> RequestProblem {
    let detail = "the host ended before the answer; send the request again to another host";
    RequestProblem::not_run(StatusCode::SERVICE_UNAVAILABLE, "host_ended", detail)
        .outcome(WorkOutcome::Incomplete)
}

fn answer_head(context: &EntryContext, terms: &AnswerTerms) -> AnswerHead {
    let prefix = match terms.request.form {
        ApiForm::Chat => "chatcmpl",
        ApiForm::Text => "cmpl",
    };
    let id = format!("{prefix}-{}", terms.id);
    let created = context.clock.now().0 / 1000;
    AnswerHead::new(terms.request.form, id, Name::clone(&terms.request.model), created)
}

/// Counts a request whose caller left before the end.
struct GoneCounter {
    context: EntryContext,
    id: StreamId,
    group: Name,
    is_settled: bool,
}

impl GoneCounter {
    fn new(context: &EntryContext, terms: &AnswerTerms) -> Self {
        Self {
            context: context.clone(),
            id: terms.id.clone(),
            group: Name::clone(&terms.group.name),
            is_settled: false,
        }
    }

    /// The request ended with a problem, which is counted in place of a caller that left.
    fn settle_problem(&mut self, problem: &RequestProblem) {
        self.is_settled = true;
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

impl Drop for GoneCounter {
    fn drop(&mut self) {
        if !self.is_settled {
            self.context.metrics.count_request(&self.group, "gone", "caller_left");
            let (id, group) = (&self.id, &self.group);
            log::info!(
                "event=request_ended request={id} group={group} outcome=gone code=caller_left"
            );
        }
    }
}

struct WholeAnswer {
    text: String,
    finish: Name,
    tokens: u64,
}

async fn collect_answer(
    answer: &mut AnswerStream,
    first: AnswerPart,
) -> Result<WholeAnswer, RequestProblem> {
    let (mut text, mut tokens) = (String::new(), 0);
    let mut part = first;
    loop {
        match part {
            AnswerPart::Token(token) => {
                text.push_str(&token);
                tokens += 1;
            }
            AnswerPart::End(finish) => {
                return Ok(WholeAnswer { text, finish, tokens });
            }
        }
        part = answer.next().await?;
    }
}

fn stream_answer(
    context: &EntryContext,
    head: AnswerHead,
    answer: AnswerStream,
    first: AnswerPart,
    permit: RequestPermit,
    gone: GoneCounter,
) -> Response<ResponseBody> {
    let (sender, receiver) = mpsc::channel(CALLER_BUFFER);
    let (tasks, cancel) = (context.tasks.clone(), context.cancel.clone());
    tasks.spawn(async move {
        pump_events(&cancel, &head, answer, first, sender, gone).await;
        drop(permit);
    });
    let mut response = Response::new(channel_body(receiver));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

type EventSender = mpsc::Sender<Result<Bytes, BoxError>>;

async fn pump_events(
    cancel: &CancellationToken,
    head: &AnswerHead,
    mut answer: AnswerStream,
    first: AnswerPart,
    sender: EventSender,
    mut gone: GoneCounter,
) {
    let mut part = Ok(first);
    loop {
        let event = match &part {
            Ok(AnswerPart::Token(text)) => event_line(&head.token_chunk(text)),
            Ok(AnswerPart::End(finish)) => {
                gone.is_settled = true;
                let mut last = event_line(&head.last_chunk(finish));
                last.push_str("data: [DONE]\n\n");
                // A caller that left now has been sent all but the end mark.
                let _caller_left = sender.send(Ok(last.into())).await;
                return;
            }
            Err(problem) => {
                gone.settle_problem(problem);
                break_off(&sender, problem).await;
                return;
            }
        };
        if sender.send(Ok(event.into())).await.is_err() {
            return;
        }
        part = tokio::select! {
            part = answer.next() => part,
            () = cancel.cancelled() => Err(host_ended()),
            () = sender.closed() => return,
        };
    }
}

fn event_line(data: &str) -> String {
    format!("data: {data}\n\n")
}

/// Ends a stream that cannot be finished: an error event, then a broken connection.
///
/// The caller sees neither `[DONE]` nor the end of the body, so it cannot take the answer for
/// whole.
async fn break_off(sender: &EventSender, problem: &RequestProblem) {
    let event = event_line(&problem.text());
    if sender.send(Ok(event.into())).await.is_ok() {
        // hyper drops what it has not written yet when a body fails.
        tokio::time::sleep(FLUSH_TIME).await;
        let _caller_left = sender.send(Err("the answer broke off".into())).await;
    }
}
