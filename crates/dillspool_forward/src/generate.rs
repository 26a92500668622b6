//! Model requests: decode memory first, then the prefill, then the stream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dillspool_admission::{EngineFault, WorkClass};
use dillspool_io::{ResponseBody, read_response_body};
use dillspool_routing::{BackendEntry, RoutedRequest};
use dillspool_scheduler::DeskNote;
use hyper::{HeaderMap, Response, StatusCode};
use rand::Rng;
use tokio::time::Instant;

use crate::calls::{BackendAnswer, CallError, ForwardTerms, WorkRank};
use crate::context::{ForwardContext, STARTED_AGAIN};
use crate::placement::{Placement, StreamTicket, place, placement_request};
use crate::prefill::{PrefillGuard, prefill};
use crate::refusal::{Refusal, RefusalCause};
use crate::relay::StreamRelay;
use crate::stages::FirstEventStages;
use crate::trace::{RequestTrace, log_budget_empty, log_send_failed};
use crate::tried::TriedBackends;

/// Time without an event after which callers leave: the longest of this, and so many objectives and
/// pause targets; as the platform's callers do.
const LEAST_SILENCE: Duration = Duration::from_secs(2);
const SILENCE_OBJECTIVES: u32 = 4;
const SILENCE_PAUSES: u32 = 8;
/// When to come back if no engine is known; directories recover within seconds.
const NO_ENGINE_RETRY: Duration = Duration::from_secs(1);
/// When to come back after an engine's refusal of a request that had its memory.
const NOT_RUN_RETRY_MS: std::ops::Range<u64> = 100..400;
/// Largest failure body that is passed on, in bytes.
const LARGEST_FAILURE: usize = 1024 * 1024;

/// Answers a streaming request.
pub(crate) async fn answer_stream(
    context: &ForwardContext,
    request: &Arc<RoutedRequest>,
    trace: RequestTrace,
) -> Result<Response<ResponseBody>, (Refusal, RequestTrace)> {
    let mut generation = Generation::new(context, request);
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
    context: ForwardContext,
    pub(crate) request: Arc<RoutedRequest>,
    sends: u32,
    prefills: u32,
    tried: TriedBackends,
    may_have_run: bool,
    /// Until when an answer under way waits for other engines.
    wait_until: Option<Instant>,
    /// How the stream came to its first event.
    pub(crate) stages: FirstEventStages,
    /// Last event that the caller has.
    pub(crate) last_event: Option<u64>,
}

impl Generation {
    fn new(context: &ForwardContext, request: &Arc<RoutedRequest>) -> Self {
        Self {
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
        self.wait_for_engines_until(self.request.deadline);
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

    /// Waits until the engine of a stream is known to have started again, and a moment longer.
    pub(crate) async fn restarted(&self, entry: &BackendEntry) {
        self.context.restarted(entry).await;
    }

    pub(crate) fn note_first_event(&self, after: Duration) {
        self.context.metrics.note_first_part(after);
    }

    /// Notes a whole answer, with the mean gap between two of its events.
    pub(crate) fn note_success(&self, open: &mut OpenStream, event_gap: Option<Duration>) {
        open.ticket.end_whole(event_gap);
        if open.entry.stage.is_none() {
            self.context.book.note_success(&open.entry.started(), self.request.age());
        }
    }

    pub(crate) fn note_broken(&mut self, open: &OpenStream, cause: &str) {
        self.may_have_run = true;
        self.note_no_answer(&open.entry, &open.ticket, cause);
        self.tried.push(&open.entry);
    }

    /// A model engine is judged where its pool is scheduled, any other backend server here.
    fn note_no_answer(&self, entry: &BackendEntry, ticket: &StreamTicket, cause: &str) {
        if entry.stage.is_none() {
            self.context.book.note_silence(&entry.started(), cause);
        }
        ticket.note_fault(entry, EngineFault::Silent);
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

    /// Finds memory and prefills.
    async fn prepare(&mut self) -> Result<PreparedSend, Refusal> {
        if self.request.remaining().is_zero() || self.sends >= self.request.route.max_attempts {
            return Err(self.conclude());
        }
        let placement = self.place().await?;
        let reserved = self.request.age();
        if self.sends > 0 {
            self.take_budget()?;
        }
        let prefill = self.prefill(&placement).await;
        if self.is_before_first_event() {
            let prefilled = self.request.age();
            self.stages = FirstEventStages { reserved, prefilled, ..FirstEventStages::default() };
        }
        if self.request.remaining().is_zero() {
            return Err(self.conclude());
        }
        Ok(PreparedSend { placement, prefill })
    }

    /// Prefills, if the budget allows it: only the first prefill of a request is not a repeat.
    async fn prefill(&mut self, placement: &Placement) -> PrefillGuard {
        if self.prefills > 0 && !self.context.budgets.take(&self.request.service) {
            return PrefillGuard::empty(&self.context);
        }
        self.prefills += 1;
        prefill(&self.context, &self.request, placement, self.rank()).await
    }

    /// An answer that is late anyway, as when many callers come back at once, yields to those that
    /// can be in time.
    fn rank(&self) -> WorkRank {
        let under_way = !self.is_before_first_event();
        if self.request.is_late() && !under_way { WorkRank::Late } else { WorkRank::Normal }
    }

    fn is_before_first_event(&self) -> bool {
        self.last_event == self.request.resume_after
    }

    /// Takes a repeated send from the budget of all hosts.
    fn take_budget(&self) -> Result<(), Refusal> {
        if self.context.budgets.take(&self.request.service) {
            self.context.metrics.note_repeated_send();
            return Ok(());
        }
        log_budget_empty(&self.request, &self.context.budgets);
        Err(self.conclude())
    }

    /// The final answer when no more sends are possible.
    fn conclude(&self) -> Refusal {
        let over = self.request.remaining().is_zero();
        match (self.may_have_run, over) {
            (true, true) => Refusal::new(RefusalCause::TimedOut),
            (true, false) => Refusal::new(RefusalCause::Unknown),
            (false, true) => Refusal::new(RefusalCause::TooLateNotRun),
            (false, false) => come_back(RefusalCause::NotRun, NOT_RUN_RETRY_MS),
        }
    }

    /// Finds engines: one that decodes and has reserved memory, and mostly one that prefills.
    async fn place(&self) -> Result<Placement, Refusal> {
        let view = self.context.view();
        let mut backends = view.ready(&self.request.service).peekable();
        if backends.peek().is_some() && backends.all(|entry| entry.stage.is_none()) {
            return self.place_without_parts(&view);
        }
        let (class, patience) = (self.class(), self.patience());
        let question = placement_request(
            &self.context,
            &self.request,
            class,
            patience,
            &self.tried.ids(&view),
        );
        let placed = place(&self.context, &self.request, question).await;
        placed.map_err(|refusal| if self.may_have_run { self.conclude() } else { refusal })
    }

    fn class(&self) -> WorkClass {
        if !self.is_before_first_event() {
            WorkClass::UnderWay
        } else if self.request.is_late() {
            WorkClass::Late
        } else {
            WorkClass::InTime
        }
    }

    /// Longest wait for engines that is of any use: callers leave after some time without an event.
    fn patience(&self) -> Duration {
        let route = &self.request.route;
        let silence = (route.objective * SILENCE_OBJECTIVES).max(LEAST_SILENCE);
        let silence = route.pause_target.map_or(silence, |it| silence.max(it * SILENCE_PAUSES));
        let remaining = self.request.remaining().min(silence.saturating_sub(self.request.age()));
        self.wait_until.map_or(remaining, |until| {
            remaining.min(until.saturating_duration_since(Instant::now()))
        })
    }

    /// A service whose backend servers play no parts takes its streams like plain requests.
    fn place_without_parts(
        &self,
        view: &dillspool_routing::DirectoryView,
    ) -> Result<Placement, Refusal> {
        let entry = self
            .context
            .chooser(view)
            .plain(&self.request.service, &self.tried)
            .ok_or_else(|| Refusal::come_back(RefusalCause::NoBackend, NO_ENGINE_RETRY))?;
        Ok(Placement::without_memory(&self.context, entry))
    }

    async fn send(&mut self, prepared: PreparedSend) -> Result<Option<OpenEnd>, Refusal> {
        let PreparedSend { placement, mut prefill } = prepared;
        let Placement { entry, reserved, mut hold, ticket, prefill: _ } = placement;
        let view = self.context.view();
        if self.context.ready_entry(&self.request, &entry.id).is_none() {
            // It began to leave while the prompt was prefilled.
            self.tried.push(&entry);
            return Ok(None);
        }
        let reader = prefill.prefilled.as_ref().map(|prefilled| &prefilled.engine);
        if let Some(lost) =
            [Some(&entry), reader].into_iter().flatten().find(|it| view.has_restarted(it))
        {
            // The reservation, or the prompt that was read, is gone with the start before.
            log_send_failed(&self.request, &lost.id, STARTED_AGAIN);
            return Ok(None);
        }
        let generation = self.request.generation.as_ref();
        let (prompt, guess) = generation.map_or((0, 0), |terms| {
            (terms.prompt_tokens, terms.output_hint.unwrap_or(terms.output_limit))
        });
        let terms = ForwardTerms {
            time_budget: self.request.remaining(),
            hold: hold.hold.clone(),
            prefilled: prefill.prefilled.clone(),
            resume_after: self.last_event,
        };
        log::info!(
            "event=stream_placed id={} backend={} directory={} reserved={reserved} prompt={prompt} guess={guess} prefill={} after_ms={} resume_after={}",
            self.request.id,
            entry.id,
            view.version,
            prefill.prefilled.as_ref().map_or("none", |prefilled| &*prefilled.engine.id),
            self.request.age().as_millis(),
            self.last_event.unwrap_or(0),
        );
        let remaining = self.request.remaining();
        let call =
            (self.context.calls.forward)(Arc::clone(&entry), Arc::clone(&self.request), terms);
        let call = self.context.while_started(&entry, call);
        let sent = match tokio::time::timeout(remaining, call).await {
            Ok(sent) => sent,
            Err(_elapsed) => Err(CallError::Lost { reason: format!("silent for {remaining:?}") }),
        };
        let read_at_decode = prefill.prefilled.is_none() && entry.stage.is_some();
        let answer = match sent {
            Err(CallError::NotSent { reason }) => {
                self.note_not_sent(&entry, &ticket, &reason);
                return Ok(None);
            }
            sent => {
                self.sends += 1;
                hold.hold = None;
                prefill.prefilled = None;
                sent
            }
        };
        match answer {
            Ok(answer) => {
                let taken = SentRequest { entry, ticket, read_at_decode };
                self.take_head(taken, answer).await
            }
            Err(CallError::Refused { status }) => {
                self.note_refused_reserved(&entry, &ticket, status);
                Ok(None)
            }
            Err(CallError::NotSent { reason } | CallError::Lost { reason }) => {
                self.note_unclear(&entry, &ticket, &reason)
            }
        }
    }

    async fn take_head(
        &mut self,
        sent: SentRequest,
        answer: BackendAnswer,
    ) -> Result<Option<OpenEnd>, Refusal> {
        let SentRequest { entry, ticket, read_at_decode } = sent;
        if answer.did_not_run {
            self.note_refused_reserved(&entry, &ticket, answer.status);
            return Ok(None);
        }
        let (status, headers) = (answer.status, answer.headers.clone());
        if answer.is_genuine_success() {
            ticket.note(&DeskNote::Started);
            if self.is_before_first_event() {
                self.stages.opened = self.request.age();
            }
            let body = answer.body;
            let open = OpenStream { entry, status, body, read_at_decode, ticket };
            return Ok(Some(OpenEnd::Stream(open, headers)));
        }
        if !answer.is_genuine_failure() {
            let cause = format!("status {} without proof of its origin", status.as_u16());
            return self.note_unclear(&entry, &ticket, &cause);
        }
        let reading = read_response_body(answer.body, LARGEST_FAILURE);
        match tokio::time::timeout(self.request.remaining(), reading).await {
            Ok(Ok(body)) => Ok(Some(self.pass_failure(&entry, &ticket, status, headers, body))),
            Ok(Err(error)) => self.note_unclear(&entry, &ticket, &error.to_string()),
            Err(_elapsed) => self.note_unclear(&entry, &ticket, "the failure did not come whole"),
        }
    }

    /// An engine's own failure, for the caller.
    fn pass_failure(
        &self,
        entry: &BackendEntry,
        ticket: &StreamTicket,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    ) -> OpenEnd {
        if entry.stage.is_none() {
            self.context.book.note_failure(&entry.started());
        }
        if status.is_server_error() {
            ticket.note_fault(entry, EngineFault::Failed);
        }
        let mut response = Response::new(dillspool_io::full_body(body));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
        OpenEnd::Failure(response)
    }

    /// It may have run: only a stream that can be resumed goes on.
    fn note_unclear(
        &mut self,
        entry: &BackendEntry,
        ticket: &StreamTicket,
        cause: &str,
    ) -> Result<Option<OpenEnd>, Refusal> {
        self.may_have_run = true;
        self.note_no_answer(entry, ticket, cause);
        self.note_failed_send(entry, cause);
        if self.request.route.is_repeatable() { Ok(None) } else { Err(self.conclude()) }
    }

    /// Nothing was sent, so another engine may be.
    fn note_not_sent(&mut self, entry: &BackendEntry, ticket: &StreamTicket, cause: &str) {
        if entry.stage.is_none() {
            self.context.book.note_unreachable(&entry.started(), cause);
        }
        ticket.note_fault(entry, EngineFault::Unreachable);
        self.note_failed_send(entry, cause);
    }

    /// It did not run: an engine that reserves memory and refuses the request changes its part.
    fn note_refused_reserved(
        &mut self,
        entry: &BackendEntry,
        ticket: &StreamTicket,
        status: StatusCode,
    ) {
        ticket.note_fault(entry, EngineFault::ReservedRefused);
        self.note_failed_send(entry, &format!("refused with {status}, not run"));
    }

    fn note_failed_send(&mut self, entry: &BackendEntry, cause: &str) {
        self.tried.push(entry);
        log_send_failed(&self.request, &entry.id, cause);
    }
}

fn come_back(cause: RefusalCause, range: std::ops::Range<u64>) -> Refusal {
    let after = rand::rng().random_range(range);
    Refusal::come_back(cause, Duration::from_millis(after))
}
