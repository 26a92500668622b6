//! Model requests: decode memory first, then the prefill, then the stream.

mod prepare;
mod send;

use std::sync::Arc;
use std::time::Duration;

use dillspool_admission::EngineFault;
use dillspool_io::{BoxFuture, ResponseBody};
use dillspool_routing::{BackendEntry, RoutedRequest};
use dillspool_suspects::{CopyGuard, SuspectDecision};
use hyper::{HeaderMap, Response, StatusCode};
use rand::Rng;
use tokio::time::Instant;

use crate::backend_probe::{ProbeHandle, spawn_failure_probe};
use crate::context::{ForwardContext, RESTARTED_CAUSE};
use crate::placement::{Placement, StreamTicket};
use crate::prefill::PrefillGuard;
use crate::refusal::{Refusal, RefusalCause};
use crate::relay::StreamRelay;
use crate::stages::FirstEventStages;
use crate::trace::RequestTrace;
use crate::tried::TriedBackends;

/// When to come back after an engine's refusal of a request that had its memory.
const NOT_RUN_RETRY_MS: std::ops::Range<u64> = 100..400;
/// Answers a streaming request.
pub(crate) async fn answer_stream(
    context: &ForwardContext,
    request: &Arc<RoutedRequest>,
    copy: CopyGuard,
    trace: RequestTrace,
) -> Result<Response<ResponseBody>, (Refusal, RequestTrace)> {
    let mut generation = Generation::new(context, request, copy);
    let mut trace = trace;
    match generation.open(None).await {
        Ok(OpenEnd::Stream(open, headers)) => {
            let status = open.status;
            let relay = StreamRelay::new(generation, open, trace);
            let mut response = Response::new(relay.into_body());
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            // The stream may go on at another engine, so its length is not the first engine's.
            response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
            Ok(response)
        }
        Ok(OpenEnd::Failure(response)) => {
            trace.failed(response.status().as_u16());
            Ok(response)
        }
        Err(refusal) => Err((refusal, trace)),
    }
}

/// A stream that an engine has begun.
pub(crate) struct OpenStream {
    pub(crate) entry: Arc<BackendEntry>,
    pub(crate) status: StatusCode,
    pub(crate) body: ResponseBody,
    /// Whether the engine reads the prompt itself.
    pub(crate) read_at_decode: bool,
    ticket: StreamTicket,
}

/// How opening ended, if not by a refusal.
enum OpenEnd {
    Stream(OpenStream, HeaderMap),
    /// An engine's own failure, for the caller.
    Failure(Response<ResponseBody>),
}

/// A request that a decode engine took.
struct SentRequest {
    entry: Arc<BackendEntry>,
    ticket: StreamTicket,
    /// Whether the engine reads the prompt itself.
    read_at_decode: bool,
}

/// A decode engine with memory and, if there is one, the prefill's result; given back unless
/// the request is sent there.
pub(crate) struct PreparedSend {
    placement: Placement,
    prefill: PrefillGuard,
}

/// One model request and its sends so far.
pub(crate) struct Generation {
    /// Counts among the copies of the request that run here.
    _copy: CopyGuard,
    context: ForwardContext,
    pub(crate) request: Arc<RoutedRequest>,
    sends: u32,
    prefills: u32,
    tried: TriedBackends,
    may_have_run: bool,
    /// Finds out why the last run broke off.
    look: Option<ProbeHandle>,
    /// Until when an answer under way waits for other engines.
    wait_until: Option<Instant>,
    /// How the stream came to its first event.
    pub(crate) stages: FirstEventStages,
    /// Last event that the caller has.
    pub(crate) last_event: Option<u64>,
}

impl Generation {
    fn new(context: &ForwardContext, request: &Arc<RoutedRequest>, copy: CopyGuard) -> Self {
        Self {
            _copy: copy,
            look: None,
            context: context.clone(),
            request: Arc::clone(request),
            sends: 0,
            prefills: 0,
            tried: TriedBackends::default(),
            may_have_run: false,
            wait_until: None,
            stages: FirstEventStages::default(),
            last_event: request.resume_after,
        }
    }

    /// Whether the stream may go on at another engine.
    pub(crate) fn can_reopen(&self) -> bool {
        let route = &self.request.route;
        route.resumable && self.sends < route.max_attempts
    }

    /// Waits for other engines until then, if that is later than before.
    pub(crate) fn wait_for_engines_until(&mut self, until: Instant) {
        self.wait_until = self.wait_until.max(Some(until));
    }

    /// Prepares another engine while one that is silent still has the stream.
    pub(crate) async fn prepare_beside(
        &mut self,
        silent: &BackendEntry,
    ) -> Result<PreparedSend, Refusal> {
        self.tried.push(silent);
        let deadline = self.request.clock.wake_at(self.request.deadline);
        self.wait_for_engines_until(deadline);
        self.prepare().await
    }

    /// Opens the rest of the stream behind the last event that the caller has.
    pub(crate) async fn reopen(
        &mut self,
        prepared: Option<PreparedSend>,
    ) -> Result<OpenStream, Refusal> {
        if !self.can_reopen() {
            return Err(Refusal::new(RefusalCause::Unknown));
        }
        match self.open(prepared).await? {
            OpenEnd::Stream(open, _headers) => Ok(open),
            OpenEnd::Failure(_response) => Err(Refusal::new(RefusalCause::Unknown)),
        }
    }

    /// Ends when a stream is over whatever still comes: at the request's deadline, or once its engine is known
    /// to have started again, and a moment longer.
    pub(crate) fn stream_over(&self, entry: &Arc<BackendEntry>) -> BoxFuture<&'static str> {
        let (context, request) = (self.context.clone(), Arc::clone(&self.request));
        let entry = Arc::clone(entry);
        Box::pin(async move {
            tokio::select! {
                () = request.wait_for_deadline() => "the time limit",
                () = context.wait_for_restart(&entry) => RESTARTED_CAUSE,
            }
        })
    }

    pub(crate) fn note_first_event(&self, after: Duration) {
        self.context.metrics.note_first_part(after);
    }

    /// Notes a whole answer, with the mean gap between two of its events.
    pub(crate) fn note_success(&self, open: &mut OpenStream, event_gap: Option<Duration>) {
        open.ticket.end_whole(event_gap);
        self.context.suspects.record_success(self.request.fingerprint);
        if open.entry.stage.is_none() {
            self.context.backend_tracker.record_success(&open.entry.instance(), self.request.age());
        }
    }

    pub(crate) fn note_broken(&mut self, open: &OpenStream, cause: &str) {
        self.may_have_run = true;
        self.look = Some(spawn_failure_probe(&self.context, &self.request, &open.entry));
        self.note_no_answer(&open.entry, &open.ticket, cause);
        self.tried.push(&open.entry);
    }

    /// A model engine is judged where its pool is scheduled, any other backend server here.
    fn note_no_answer(&self, entry: &BackendEntry, ticket: &StreamTicket, cause: &str) {
        if entry.stage.is_none() {
            self.context.backend_tracker.record_no_response(&entry.instance(), cause);
        }
        ticket.note_fault(entry, EngineFault::NoResponse);
    }

    /// Opens the stream, at the prepared engine first.
    async fn open(&mut self, prepared: Option<PreparedSend>) -> Result<OpenEnd, Refusal> {
        let mut next = prepared;
        loop {
            let prepared = match next.take() {
                Some(prepared) => prepared,
                None => self.prepare().await?,
            };
            if let Some(end) = self.send(prepared).await? {
                return Ok(end);
            }
        }
    }

    /// The final answer when no more sends are possible.
    fn conclude(&self) -> Refusal {
        let decision = self.context.suspects.decide(self.request.fingerprint);
        if !self.may_have_run && matches!(decision, SuspectDecision::Refused { .. }) {
            return Refusal::new(RefusalCause::Deadly);
        }
        let over = self.request.remaining().is_zero();
        match (self.may_have_run, over) {
            (true, true) => Refusal::new(RefusalCause::TimedOut),
            (true, false) => Refusal::new(RefusalCause::Unknown),
            (false, true) => Refusal::new(RefusalCause::TooLateNotRun),
            (false, false) => come_back(RefusalCause::NotRun, NOT_RUN_RETRY_MS),
        }
    }
}

fn come_back(cause: RefusalCause, range: std::ops::Range<u64>) -> Refusal {
    let after = rand::rng().random_range(range);
    Refusal::with_retry_after(cause, Duration::from_millis(after))
}
