//! Passes a stream on, event by event, and goes on at another engine when one fails.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dillspool_io::{BoxError, BoxFuture, ResponseBody};
use dillspool_routing::RequestKind;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::Instant;

use crate::events::EventSplitter;
use crate::generate::{Generation, OpenStream};
use crate::trace::{RequestTrace, StreamFigures};

/// Silence after which a stream that may be resumed goes on elsewhere. Callers give up after two
/// seconds at the earliest, and a new prefill takes some hundred milliseconds.
const STALL_LIMIT: Duration = Duration::from_millis(1300);
/// Pause before a broken answer's connection is closed, so that events handed over are written.
const BREAK_PAUSE: Duration = Duration::from_millis(20);

/// What was read from the engine.
enum ReadPart {
    Events(Bytes),
    End,
    Broken(String),
}

/// A stream under way; dropping it closes the engine's connection.
pub(crate) struct StreamRelay {
    generation: Generation,
    open: Option<OpenStream>,
    splitter: EventSplitter,
    trace: RequestTrace,
    status: u16,
    figures: StreamFigures,
    last_at: Instant,
}

impl StreamRelay {
    pub(crate) fn new(generation: Generation, open: OpenStream, trace: RequestTrace) -> Self {
        let status = open.status.as_u16();
        Self {
            generation,
            open: Some(open),
            splitter: EventSplitter::default(),
            trace,
            status,
            figures: StreamFigures::default(),
            last_at: Instant::now(),
        }
    }

    /// The body that the caller gets.
    pub(crate) fn into_body(self) -> ResponseBody {
        let parts = stream::unfold(Some(self), next_part);
        BodyExt::boxed(SyncBody::new(StreamBody::new(Box::pin(parts))))
    }

    async fn next(&mut self) -> Result<Option<Bytes>, BoxError> {
        loop {
            match self.read().await {
                ReadPart::Events(bytes) => return Ok(Some(bytes)),
                ReadPart::End => {
                    self.end_well();
                    return Ok(None);
                }
                ReadPart::Broken(cause) => self.recover(&cause).await?,
            }
        }
    }

    fn end_well(&mut self) {
        if let Some(open) = &self.open {
            self.generation.note_success(open);
        }
        self.trace.streamed(self.status, &self.figures);
    }

    /// Reads until at least one event is whole.
    async fn read(&mut self) -> ReadPart {
        loop {
            let Some(open) = &mut self.open else {
                return ReadPart::Broken("no stream is open".to_owned());
            };
            let limit = read_limit(&self.generation, self.last_at);
            let frame = match tokio::time::timeout_at(limit, open.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return ReadPart::Broken(error.to_string()),
                Ok(None) if self.splitter.is_empty() => return ReadPart::End,
                Ok(None) => return ReadPart::Broken("it ended within an event".to_owned()),
                Err(_elapsed) => return ReadPart::Broken("silence or the time limit".to_owned()),
            };
            let Ok(bytes) = frame.into_data() else { continue };
            self.splitter.push(&bytes);
            if self.splitter.is_overlong() {
                return ReadPart::Broken("an event without end".to_owned());
            }
            match self.take_events() {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return ReadPart::Events(events),
                Err(cause) => return ReadPart::Broken(cause),
            }
        }
    }

    /// The whole events read so far, checked for their order.
    fn take_events(&mut self) -> Result<Bytes, String> {
        let mut taken = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.generation.last_event)
                && id <= last
            {
                return Err(format!("event {id} after event {last}"));
            }
            self.generation.last_event = event.id.or(self.generation.last_event);
            self.figures.events += 1;
            taken.extend_from_slice(&event.bytes);
        }
        if !taken.is_empty() {
            self.note_events();
        }
        Ok(taken.freeze())
    }

    fn note_events(&mut self) {
        if self.figures.first_after.is_zero() {
            self.figures.first_after = self.generation.request.age();
            self.generation.note_first_event(self.figures.first_after);
        } else {
            let pause = self.last_at.elapsed();
            self.figures.longest_pause = self.figures.longest_pause.max(pause);
        }
        self.last_at = Instant::now();
    }

    /// Goes on at another engine, or ends the answer as broken.
    async fn recover(&mut self, cause: &str) -> Result<(), BoxError> {
        let failed = self.open.take();
        self.splitter = EventSplitter::default();
        let request = Arc::clone(&self.generation.request);
        log::info!(
            "event=stream_broke id={} backend={} events={} after_ms={} cause=\"{cause}\"",
            request.id,
            failed.as_ref().map_or("", |open| &*open.entry.id),
            self.figures.events,
            request.age().as_millis(),
        );
        if let Some(failed) = failed {
            self.generation.note_broken(&failed, cause);
        }
        let reopened = self.generation.reopen().await;
        match reopened {
            Ok(open) => {
                self.open = Some(open);
                self.last_at = Instant::now();
                Ok(())
            }
            Err(refusal) => {
                let detail = format!("{cause}; not resumed: {}", refusal.cause.name());
                self.trace.broken(&detail);
                Err(detail.into())
            }
        }
    }
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

/// When reading from the engine ends: at the deadline, or earlier if the stream can go on
/// elsewhere.
fn read_limit(generation: &Generation, last_at: Instant) -> Instant {
    let request = &generation.request;
    if request.route.kind == RequestKind::Streaming && generation.can_reopen() {
        return request.deadline.min(last_at + STALL_LIMIT);
    }
    request.deadline
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
