//! Relays a stream event by event, and resumes it at another engine when one fails.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dillspool_io::{BoxError, BoxFuture, ResponseBody};
use dillspool_moment::Moment;
use dillspool_suspects::{PROOF_PERIOD, RunProgress};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::Instant;

use crate::generate::{ModelRequest, OpenStream, PreparedAttempt};
use crate::reader::{ReadOutcome, StreamReader};
use crate::refusal::Refusal;
use crate::stages::StreamStats;
use crate::trace::RequestTrace;

/// Time without events after which a replacement engine is sought. Callers disconnect after two
/// seconds at the earliest, and a new prefill takes a few hundred milliseconds.
const STALL_TIMEOUT: Duration = Duration::from_millis(1300);
/// Delay between two searches for a replacement engine while the stream is still stalled.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for memory at another engine, from the last event of a broken stream. Callers
/// disconnect after two seconds without an event at the earliest.
const RESUME_MAX_WAIT: Duration = Duration::from_secs(2);
/// Delay before the connection of a broken response is closed, so that pending events are written.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// Result of reading on for the caller.
enum RelayStep {
    /// Events for the caller.
    Events(Bytes),
    End,
    /// The engine's stream is unusable, for this cause.
    Broken(String),
    /// Another engine can take over the stream of a stalled one.
    Replacement(Box<PreparedAttempt>),
}

/// A stream in progress; dropping it closes the engine's connection.
pub(crate) struct StreamRelay {
    model_request: ModelRequest,
    reader: Option<StreamReader>,
    trace: RequestTrace,
    status: u16,
    stats: StreamStats,
    /// When the stream was opened.
    opened_at: Instant,
    /// Earliest time of the next search for a replacement engine.
    next_search_at: Instant,
    /// When the first event of the engine's run arrived.
    run_began_at: Option<Moment>,
    /// Whether the run has been recorded as begun well.
    has_begun_well: bool,
}

impl StreamRelay {
    pub(crate) fn new(model_request: ModelRequest, open: OpenStream, trace: RequestTrace) -> Self {
        let status = open.status.as_u16();
        let read_at_decode = open.read_at_decode;
        let reader = model_request.stream_reader(open);
        Self {
            model_request,
            reader: Some(reader),
            trace,
            status,
            stats: StreamStats { read_at_decode, ..StreamStats::default() },
            opened_at: Instant::now(),
            next_search_at: Instant::now(),
            run_began_at: None,
            has_begun_well: false,
        }
    }

    /// The body of the response to the caller.
    pub(crate) fn into_body(self) -> ResponseBody {
        let frames = stream::unfold(Some(self), next_frame);
        BodyExt::boxed(SyncBody::new(StreamBody::new(Box::pin(frames))))
    }

    async fn next(&mut self) -> Result<Option<Bytes>, BoxError> {
        if let Some(reader) = &mut self.reader {
            reader.reset_stall_timer();
        }
        loop {
            match self.read().await {
                RelayStep::Events(bytes) => {
                    // From here on the caller's connection charges bytes that the caller has not read.
                    drop(self.model_request.request.held_bytes.reserve(bytes.len() as u64).await);
                    return Ok(Some(bytes));
                }
                RelayStep::End => {
                    self.finish();
                    return Ok(None);
                }
                RelayStep::Broken(cause) => {
                    let last_at = self.stats.last_at.unwrap_or(self.opened_at);
                    let resume_deadline = last_at + RESUME_MAX_WAIT;
                    self.model_request.extend_engine_wait(resume_deadline);
                    Box::pin(self.resume_elsewhere(&cause, None)).await?;
                }
                RelayStep::Replacement(prepared) => {
                    let resumed = self.resume_elsewhere("the engine stalled", Some(*prepared));
                    Box::pin(resumed).await?;
                }
            }
        }
    }

    /// Time since the first event of the engine's run.
    fn run_age(&self) -> Option<Duration> {
        let clock = &self.model_request.request.clock;
        self.run_began_at.map(|began_at| clock.since(began_at))
    }

    fn record_begun_well(&mut self, age: Duration) {
        if !self.has_begun_well {
            self.has_begun_well = true;
            self.model_request.record_begun_well(age);
        }
    }

    fn finish(&mut self) {
        self.record_begun_well(self.run_age().unwrap_or_default());
        let event_gap = self.stats.mean_event_gap();
        if let Some(reader) = &mut self.reader {
            reader.checker.record_sound();
            self.model_request.record_success(&mut reader.open, event_gap);
        }
        self.trace.streamed(self.status, &self.model_request.stages, &self.stats);
    }

    /// Reads the next events. A stalled engine keeps the stream until a replacement is ready,
    /// since its events may still arrive.
    async fn read(&mut self) -> RelayStep {
        loop {
            let Some(reader) = &mut self.reader else {
                return RelayStep::Broken("no stream is open".to_owned());
            };
            let can_resume =
                self.model_request.can_resume() && reader.checker.sequence().is_resumable();
            let search_at =
                can_resume.then(|| self.next_search_at.max(reader.last_at + STALL_TIMEOUT));
            if let Some(outcome) = reader.read(search_at).await {
                return self.deliver(outcome);
            }
            if let Some(step) = self.find_replacement().await {
                return step;
            }
        }
    }

    /// Searches for a replacement engine until the stalled one sends events; `None` if none is found.
    async fn find_replacement(&mut self) -> Option<RelayStep> {
        let reader = self.reader.as_mut()?;
        let stalled = Arc::clone(&reader.open.entry);
        tokio::select! {
            biased;
            outcome = reader.read(None) => outcome.map(|outcome| self.deliver(outcome)),
            prepared = self.model_request.prepare_replacement(&stalled) => match prepared {
                Ok(prepared) => Some(RelayStep::Replacement(Box::new(prepared))),
                Err(refusal) => {
                    log_no_replacement(&self.model_request, refusal);
                    self.next_search_at = Instant::now() + SEARCH_INTERVAL;
                    None
                }
            },
        }
    }

    /// Converts what was read from the engine's stream, and records its events.
    fn deliver(&mut self, outcome: ReadOutcome) -> RelayStep {
        match outcome {
            ReadOutcome::Events(bytes, count) => {
                self.record_events(count);
                RelayStep::Events(bytes)
            }
            ReadOutcome::End => RelayStep::End,
            ReadOutcome::Broken(cause) => RelayStep::Broken(cause),
        }
    }

    fn record_events(&mut self, count: u64) {
        let age = self.model_request.request.age();
        self.run_began_at.get_or_insert(self.model_request.request.clock.now());
        if let Some(run_age) = self.run_age().filter(|run_age| *run_age >= PROOF_PERIOD) {
            self.record_begun_well(run_age);
        }
        match self.stats.record_events(count, age) {
            None => {
                self.model_request.record_first_event(age);
                if let Some(reader) = &self.reader {
                    self.model_request.record_begun(&reader.open.entry.software);
                }
            }
            Some(gap) => {
                self.model_request.renew_origin();
                self.log_event_gap(gap);
            }
        }
    }

    /// Logs an event gap that makes a response late. The time is logged too, since the cause is other
    /// work of the engine at that moment.
    fn log_event_gap(&self, gap: Duration) {
        let request = &self.model_request.request;
        if request.route.max_event_gap.is_none_or(|target| gap <= target) {
            return;
        }
        log::info!(
            "event=stream_paused id={} backend={} pause_ms={} events={} after_ms={}",
            request.id,
            self.reader.as_ref().map_or("", |reader| &*reader.open.entry.id),
            gap.as_millis(),
            self.stats.events,
            request.age().as_millis(),
        );
    }

    /// Resumes the stream at another engine, or ends the response as broken.
    async fn resume_elsewhere(
        &mut self,
        cause: &str,
        prepared: Option<PreparedAttempt>,
    ) -> Result<(), BoxError> {
        let failed = self.reader.take();
        let request = Arc::clone(&self.model_request.request);
        log::info!(
            "event=stream_broke id={} backend={} software={} events={} last_event={} after_ms={} cause=\"{cause}\"",
            request.id,
            failed.as_ref().map_or("", |reader| &*reader.open.entry.id),
            failed.as_ref().map_or(String::new(), |it| it.open.entry.software.to_string()),
            self.stats.events,
            failed.as_ref().and_then(|it| it.checker.sequence().last()).unwrap_or(0),
            request.age().as_millis(),
        );
        if let Some(failed) = failed {
            if failed.checker.has_events() {
                self.model_request.record_engine_restart(&failed.open.entry);
            }
            self.model_request.record_run(&failed.checker);
            let progress = RunProgress::since_first_event(self.run_age());
            self.model_request.record_broken_stream(&failed.open, progress, cause);
            (self.run_began_at, self.has_begun_well) = (None, false);
        }
        match Box::pin(self.model_request.resume(prepared)).await {
            Ok(open) => {
                self.stats.resumes += 1;
                self.reader = Some(self.model_request.stream_reader(open));
                Ok(())
            }
            Err(refusal) => {
                self.model_request.record_unconfirmed();
                let detail = format!("{cause}; not resumed: {}", refusal.cause.name());
                self.trace.stream_broken(&detail, &self.model_request.stages, &self.stats);
                Err(detail.into())
            }
        }
    }
}

fn log_no_replacement(model_request: &ModelRequest, refusal: Refusal) {
    log::info!(
        "event=stream_silent id={} after_ms={} cause=\"no replacement engine: {}\"",
        model_request.request.id,
        model_request.request.age().as_millis(),
        refusal.cause.name(),
    );
}

type BodyFrame = Result<Frame<Bytes>, BoxError>;

/// The next frame of the body, and the relay unless the body has ended.
fn next_frame(relay: Option<StreamRelay>) -> BoxFuture<Option<(BodyFrame, Option<StreamRelay>)>> {
    Box::pin(async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Ok(None) => None,
            Err(error) => {
                tokio::time::sleep(CLOSE_DELAY).await;
                Some((Err(error), None))
            }
        }
    })
}

/// Makes a body `Sync` with a lock that is never contended, since only one task polls the body.
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
