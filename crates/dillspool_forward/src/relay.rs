//! Passes a stream on, event by event, and goes on at another engine when one fails.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dillspool_io::{BoxError, BoxFuture, ResponseBody};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::Instant;

use crate::generate::{Generation, OpenStream, PreparedSend};
use crate::reader::{ReadPart, StreamReader};
use crate::refusal::Refusal;
use crate::stages::StreamFigures;
use crate::trace::RequestTrace;

/// Silence after which another engine is looked for. Callers give up after two seconds at the
/// earliest, and a new prefill takes some hundred milliseconds.
const STALL_LIMIT: Duration = Duration::from_millis(1300);
/// Pause before another engine is looked for once more for a stream that is still silent.
const LOOK_AGAIN: Duration = Duration::from_secs(1);
/// Time since the last event for which memory is waited for after a stream broke; callers give
/// up after two seconds without an event at the earliest.
const REOPEN_PATIENCE: Duration = Duration::from_secs(2);
/// Pause before a broken answer's connection is closed, so that events handed over are written.
const BREAK_PAUSE: Duration = Duration::from_millis(20);

/// What comes next for the caller.
enum NextPart {
    Events(Bytes),
    End,
    /// The engine's stream is of no more use.
    Broken(String),
    /// Another engine can go on in place of one that is silent.
    Elsewhere(Box<PreparedSend>),
}

/// A stream under way; dropping it closes the engine's connection.
pub(crate) struct StreamRelay {
    generation: Generation,
    reader: Option<StreamReader>,
    trace: RequestTrace,
    status: u16,
    figures: StreamFigures,
    /// When the stream was opened.
    opened_at: Instant,
    /// When another engine may be looked for at the earliest.
    next_look: Instant,
}

impl StreamRelay {
    pub(crate) fn new(generation: Generation, open: OpenStream, trace: RequestTrace) -> Self {
        let status = open.status.as_u16();
        let last_event = generation.last_event;
        let read_at_decode = open.read_at_decode;
        let over = generation.stream_over(&open.entry);
        let held = generation.request.held_bytes.clone();
        Self {
            generation,
            reader: Some(StreamReader::new(open, last_event, over, held)),
            trace,
            status,
            figures: StreamFigures { read_at_decode, ..StreamFigures::default() },
            opened_at: Instant::now(),
            next_look: Instant::now(),
        }
    }

    /// The body that the caller gets.
    pub(crate) fn into_body(self) -> ResponseBody {
        let parts = stream::unfold(Some(self), next_part);
        BodyExt::boxed(SyncBody::new(StreamBody::new(Box::pin(parts))))
    }

    async fn next(&mut self) -> Result<Option<Bytes>, BoxError> {
        if let Some(reader) = &mut self.reader {
            reader.resume();
        }
        loop {
            match self.read().await {
                NextPart::Events(bytes) => {
                    // From here on the caller's connection charges what its caller leaves unread.
                    drop(self.generation.request.held_bytes.hold(bytes.len() as u64).await);
                    return Ok(Some(bytes));
                }
                NextPart::End => {
                    self.end_well();
                    return Ok(None);
                }
                NextPart::Broken(cause) => {
                    let last_at = self.figures.last_at.unwrap_or(self.opened_at);
                    let patience = last_at + REOPEN_PATIENCE;
                    self.generation.wait_for_engines_until(patience);
                    self.go_on(&cause, None).await?;
                }
                NextPart::Elsewhere(prepared) => self.go_on("silence", Some(*prepared)).await?,
            }
        }
    }

    fn end_well(&mut self) {
        let event_gap = self.figures.mean_gap();
        if let Some(reader) = &mut self.reader {
            self.generation.note_success(&mut reader.open, event_gap);
        }
        self.trace.streamed(self.status, &self.generation.stages, &self.figures);
    }

    /// Reads on; a silent engine keeps its stream until another one is ready to take it over,
    /// since its events may still come.
    async fn read(&mut self) -> NextPart {
        loop {
            let Some(reader) = &mut self.reader else {
                return NextPart::Broken("no stream is open".to_owned());
            };
            let may_look = self.generation.can_reopen();
            let look_at = may_look.then(|| self.next_look.max(reader.last_at + STALL_LIMIT));
            if let Some(part) = reader.read(look_at).await {
                return self.take(part);
            }
            if let Some(part) = self.look_elsewhere().await {
                return part;
            }
        }
    }

    /// Looks for another engine until the silent one's events come; `None` when there is none.
    async fn look_elsewhere(&mut self) -> Option<NextPart> {
        let reader = self.reader.as_mut()?;
        let silent = Arc::clone(&reader.open.entry);
        tokio::select! {
            biased;
            part = reader.read(None) => part.map(|part| self.take(part)),
            prepared = self.generation.prepare_beside(&silent) => match prepared {
                Ok(prepared) => Some(NextPart::Elsewhere(Box::new(prepared))),
                Err(refusal) => {
                    log_no_other(&self.generation, refusal);
                    self.next_look = Instant::now() + LOOK_AGAIN;
                    None
                }
            },
        }
    }

    /// What a part of the engine's stream is for the caller.
    fn take(&mut self, part: ReadPart) -> NextPart {
        match part {
            ReadPart::Events(bytes, count) => {
                self.note_events(count);
                NextPart::Events(bytes)
            }
            ReadPart::End => NextPart::End,
            ReadPart::Broken(cause) => NextPart::Broken(cause),
        }
    }

    fn note_events(&mut self, count: u64) {
        let age = self.generation.request.age();
        match self.figures.note_events(count, age) {
            None => self.generation.note_first_event(age),
            Some(pause) => self.log_pause(pause),
        }
    }

    /// A pause that makes an answer late is told with its moment, since its cause lies in what else
    /// its engine did then.
    fn log_pause(&self, pause: Duration) {
        let request = &self.generation.request;
        if request.route.max_event_gap.is_none_or(|target| pause <= target) {
            return;
        }
        log::info!(
            "event=stream_paused id={} backend={} pause_ms={} events={} after_ms={}",
            request.id,
            self.reader.as_ref().map_or("", |reader| &*reader.open.entry.id),
            pause.as_millis(),
            self.figures.events,
            request.age().as_millis(),
        );
    }

    /// Goes on at another engine, or ends the answer as broken.
    async fn go_on(&mut self, cause: &str, prepared: Option<PreparedSend>) -> Result<(), BoxError> {
        let failed = self.reader.take();
        let request = Arc::clone(&self.generation.request);
        log::info!(
            "event=stream_broke id={} backend={} events={} after_ms={} cause=\"{cause}\"",
            request.id,
            failed.as_ref().map_or("", |reader| &*reader.open.entry.id),
            self.figures.events,
            request.age().as_millis(),
        );
        if let Some(failed) = failed {
            self.generation.last_event = failed.last_event;
            self.generation.note_broken(&failed.open, cause);
        }
        match self.generation.reopen(prepared).await {
            Ok(open) => {
                self.figures.reopened += 1;
                let over = self.generation.stream_over(&open.entry);
                let (last_event, held) = (self.generation.last_event, request.held_bytes.clone());
                self.reader = Some(StreamReader::new(open, last_event, over, held));
                Ok(())
            }
            Err(refusal) => {
                let detail = format!("{cause}; not resumed: {}", refusal.cause.name());
                self.trace.stream_broken(&detail, &self.generation.stages, &self.figures);
                Err(detail.into())
            }
        }
    }
}

fn log_no_other(generation: &Generation, refusal: Refusal) {
    log::info!(
        "event=stream_silent id={} after_ms={} cause=\"no other engine: {}\"",
        generation.request.id,
        generation.request.age().as_millis(),
        refusal.cause.name(),
    );
}

type RelayPart = Result<Frame<Bytes>, BoxError>;

/// The next part of the body, and the relay unless it is over.
fn next_part(relay: Option<StreamRelay>) -> BoxFuture<Option<(RelayPart, Option<StreamRelay>)>> {
    Box::pin(async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Ok(None) => None,
            Err(error) => {
                tokio::time::sleep(BREAK_PAUSE).await;
                Some((Err(error), None))
            }
        }
    })
}

/// A body that is only ever polled by one task, behind a lock that is never contended.
struct SyncBody<B> {
    inner: std::sync::Mutex<B>,
}

impl<B> SyncBody<B> {
    fn new(inner: B) -> Self {
        Self { inner: std::sync::Mutex::new(inner) }
    }
}

impl<B: hyper::body::Body + Unpin> hyper::body::Body for SyncBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let inner = self.inner.get_mut().unwrap_or_else(std::sync::PoisonError::into_inner);
        std::pin::Pin::new(inner).poll_frame(cx)
    }
}
