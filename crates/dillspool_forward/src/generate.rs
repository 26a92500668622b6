//! Handles a model request: reserves decode memory, prefills the prompt, then opens the stream.

mod origin;
mod prepare;
mod send;

use std::sync::Arc;
use std::time::Duration;

use dillspool_admission::EngineFault;
use dillspool_io::{BoxFuture, ResponseBody};
use dillspool_moment::Moment;
use dillspool_routing::{BackendEntry, RoutedRequest};
use dillspool_suspects::{CopyGuard, RunProgress};
use hyper::{HeaderMap, Response, StatusCode};
use rand::Rng;
use tokio::time::Instant;

use self::origin::StreamSoftware;
use crate::backend_probe::{AttemptProbes, is_retryable};
use crate::context::{ForwardContext, RESTARTED_CAUSE};
use crate::event_checker::{EventChecker, RejectedEvent, RunStart};
use crate::placement::{Placement, StreamTicket};
use crate::prefill::PrefillGuard;
use crate::reader::StreamReader;
use crate::refusal::{Refusal, RefusalCause};
use crate::relay::StreamRelay;
use crate::stages::FirstEventStages;
use crate::trace::RequestTrace;
use crate::tried::TriedBackends;

/// Retry delay for a request that engines refused although they had reserved memory for it.
const NOT_RUN_RETRY_AFTER_MS: std::ops::Range<u64> = 100..400;

/// Handles a streaming request.
pub(crate) async fn handle_stream(
    context: &ForwardContext,
    request: &Arc<RoutedRequest>,
    copy: CopyGuard,
    trace: RequestTrace,
) -> Result<Response<ResponseBody>, (Refusal, RequestTrace)> {
    let mut model_request = ModelRequest::new(context, request, copy);
    let mut trace = trace;
    if let Err(refusal) = model_request.find_origin().await {
        return Err((refusal, trace));
    }
    match model_request.open(None).await {
        Ok(OpenOutcome::Stream(open, headers)) => {
            let status = open.status;
            let relay = StreamRelay::new(model_request, *open, trace);
            let mut response = Response::new(relay.into_body());
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            // The stream may resume at another engine, so the first engine's length need not apply.
            response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
            Ok(response)
        }
        Ok(OpenOutcome::Failure(response)) => {
            trace.failed(response.status().as_u16());
            Ok(response)
        }
        Err(refusal) => Err((refusal, trace)),
    }
}

/// A stream that an engine has opened.
pub(crate) struct OpenStream {
    pub(crate) entry: Arc<BackendEntry>,
    pub(crate) status: StatusCode,
    pub(crate) body: ResponseBody,
    /// Whether the decode engine prefills the prompt itself.
    pub(crate) read_at_decode: bool,
    ticket: StreamTicket,
}

/// Result of opening a stream, unless it is refused.
enum OpenOutcome {
    Stream(Box<OpenStream>, HeaderMap),
    /// An engine's failure response, for the caller.
    Failure(Response<ResponseBody>),
}

/// An attempt that a decode engine responded to.
struct SentAttempt {
    entry: Arc<BackendEntry>,
    ticket: StreamTicket,
    /// Whether the decode engine prefills the prompt itself.
    read_at_decode: bool,
}

/// A decode engine with reserved memory and the prefill's result, if any. Both are released unless the
/// request is sent there.
pub(crate) struct PreparedAttempt {
    placement: Placement,
    prefill: PrefillGuard,
}

/// A model request and the state of its attempts.
pub(crate) struct ModelRequest {
    /// Counts this copy of the request as running.
    _copy: CopyGuard,
    context: ForwardContext,
    pub(crate) request: Arc<RoutedRequest>,
    attempts: u32,
    prefills: u32,
    tried: TriedBackends,
    may_have_run: bool,
    /// Determine why attempts failed.
    probes: AttemptProbes,
    /// Until when a stream in progress waits for another engine.
    engine_wait_deadline: Option<Instant>,
    /// Timing of the stages before the first event.
    pub(crate) stages: FirstEventStages,
    /// Last event that the caller received.
    pub(crate) last_event: Option<u64>,
    /// The event after `last_event`, as the engine before sent it.
    rejected: Option<RejectedEvent>,
    /// Whether the caller received an event of this response.
    has_events: bool,
    /// Whether `last_event` tells what the caller received.
    is_position_known: bool,
    /// Software version at which the stream may go on.
    software: StreamSoftware,
    /// When the origin of the stream was last recorded.
    origin_recorded_at: Option<Moment>,
}

impl ModelRequest {
    fn new(context: &ForwardContext, request: &Arc<RoutedRequest>, copy: CopyGuard) -> Self {
        Self {
            _copy: copy,
            probes: AttemptProbes::default(),
            context: context.clone(),
            request: Arc::clone(request),
            attempts: 0,
            prefills: 0,
            tried: TriedBackends::default(),
            may_have_run: false,
            engine_wait_deadline: None,
            stages: FirstEventStages::default(),
            last_event: request.resume_after,
            rejected: None,
            has_events: false,
            is_position_known: true,
            software: StreamSoftware::Any,
            origin_recorded_at: None,
        }
    }

    /// Whether the stream may be resumed at another engine.
    pub(crate) fn can_resume(&self) -> bool {
        let route = &self.request.route;
        route.resumable && self.is_position_known && self.attempts < route.max_attempts
    }

    /// Records what the caller received from a run that is over.
    pub(crate) fn record_run(&mut self, checker: &EventChecker) {
        let next = checker.next_start();
        (self.last_event, self.rejected) = (next.last_event, next.rejected);
        self.has_events |= checker.has_events();
        self.is_position_known &= checker.sequence().is_resumable();
    }

    /// Records that no other engine was asked for the event that was rejected last, if one was.
    pub(crate) fn record_unconfirmed(&self) {
        if let Some(event) = self.rejected.as_ref().filter(|_event| self.attempts <= 1) {
            self.context.habits.record_unconfirmed(event);
        }
    }

    /// Extends the wait for another engine to `until`, unless it is longer already.
    pub(crate) fn extend_engine_wait(&mut self, until: Instant) {
        self.engine_wait_deadline = self.engine_wait_deadline.max(Some(until));
    }

    /// Prepares another engine while the stalled one still has the stream.
    pub(crate) async fn prepare_replacement(
        &mut self,
        stalled: &BackendEntry,
    ) -> Result<PreparedAttempt, Refusal> {
        self.tried.push(stalled);
        let deadline = self.request.clock.to_instant(self.request.deadline);
        self.extend_engine_wait(deadline);
        self.prepare().await
    }

    /// Resumes the stream after the last event that the caller received.
    pub(crate) async fn resume(
        &mut self,
        prepared: Option<PreparedAttempt>,
    ) -> Result<OpenStream, Refusal> {
        if !self.can_resume() {
            return Err(Refusal::new(RefusalCause::Unknown));
        }
        match self.open(prepared).await? {
            OpenOutcome::Stream(open, _headers) => Ok(*open),
            OpenOutcome::Failure(_response) => Err(Refusal::new(RefusalCause::Unknown)),
        }
    }

    /// A reader of a stream that continues after the last event that the caller received.
    pub(crate) fn stream_reader(&self, open: OpenStream) -> StreamReader {
        let start = RunStart { last_event: self.last_event, rejected: self.rejected.clone() };
        let checker = EventChecker::new(&self.context, &self.request, &open.entry, start);
        let cutoff = self.wait_for_cutoff(&open.entry);
        let held_bytes = self.request.held_bytes.clone();
        StreamReader::new(open, checker, cutoff, held_bytes)
    }

    /// Resolves to the cause when the stream must end even if data still arrives: the request's deadline passed, or
    /// its engine restarted and the grace period is over.
    fn wait_for_cutoff(&self, entry: &Arc<BackendEntry>) -> BoxFuture<&'static str> {
        let (context, request) = (self.context.clone(), Arc::clone(&self.request));
        let entry = Arc::clone(entry);
        Box::pin(async move {
            tokio::select! {
                () = request.wait_for_deadline() => "the deadline passed",
                () = context.wait_for_restart(&entry) => RESTARTED_CAUSE,
            }
        })
    }

    pub(crate) fn record_first_event(&self, after: Duration) {
        self.context.metrics.record_first_part(after);
    }

    /// Records a complete response, with the mean gap between its events.
    pub(crate) fn record_success(&self, open: &mut OpenStream, event_gap: Option<Duration>) {
        open.ticket.record_complete(event_gap);
        self.context.suspects.record_success(self.request.fingerprint);
        if open.entry.stage.is_none() {
            self.context.backend_tracker.record_success(&open.entry.instance(), self.request.age());
        }
    }

    /// Records that an answer whose first event arrived `age` ago has begun well on the parts of its prompt.
    pub(crate) fn record_begun_well(&self, age: Duration) {
        self.context.suspects.record_begun_well(&self.request.part_fingerprints, age);
    }

    pub(crate) fn record_broken_stream(
        &mut self,
        open: &OpenStream,
        progress: RunProgress,
        cause: &str,
    ) {
        self.may_have_run = true;
        self.probes.start(&self.context, &self.request, &open.entry, progress);
        self.record_no_response(&open.entry, &open.ticket, cause);
        self.tried.push(&open.entry);
    }

    /// The pool's scheduler tracks the failures of model engines; those of other backend servers are tracked here.
    fn record_no_response(&self, entry: &BackendEntry, ticket: &StreamTicket, cause: &str) {
        if entry.stage.is_none() {
            self.context.backend_tracker.record_no_response(&entry.instance(), cause);
        }
        ticket.record_fault(entry, EngineFault::NoResponse);
    }

    /// Opens the stream, first at the prepared engine if there is one.
    async fn open(&mut self, prepared: Option<PreparedAttempt>) -> Result<OpenOutcome, Refusal> {
        let mut next = prepared;
        loop {
            let prepared = match next.take() {
                Some(prepared) => prepared,
                None => self.prepare().await?,
            };
            if let Some(outcome) = self.send(prepared).await? {
                return Ok(outcome);
            }
        }
    }

    /// The refusal when no further attempt is possible.
    fn final_refusal(&self) -> Refusal {
        if !self.may_have_run && !is_retryable(&self.context, &self.request) {
            return Refusal::new(RefusalCause::Deadly);
        }
        let is_past_deadline = self.request.remaining().is_zero();
        match (self.may_have_run, is_past_deadline) {
            (true, true) => Refusal::new(RefusalCause::TimedOut),
            (true, false) => Refusal::new(RefusalCause::Unknown),
            (false, true) => Refusal::new(RefusalCause::TooLateNotRun),
            (false, false) => refusal_with_jitter(RefusalCause::NotRun, NOT_RUN_RETRY_AFTER_MS),
        }
    }
}

fn refusal_with_jitter(cause: RefusalCause, range: std::ops::Range<u64>) -> Refusal {
    let after = rand::rng().random_range(range);
    Refusal::with_retry_after(cause, Duration::from_millis(after))
}
