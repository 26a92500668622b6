//! From a decision to engines that have taken it: memory at a decode engine, or another decision.
//!
//! A reservation is kept at its engine for as long as the request runs there, whatever of it the
//! answer has grown into. `docs/design/admission.md` has the reasons for its size.

use std::sync::Arc;
use std::time::Duration;

use dillspool_admission::{
    EngineFault, PlacementDecision, PlacementRejection, PlacementRequest, StreamEnd,
    StreamPlacement, WorkClass,
};
use dillspool_routing::{BackendEntry, BackendId, RoutedRequest};
use dillspool_scheduler::{DeskNote, PlacementTicket};
use dillspool_schema::Name;

use crate::backend_tracker::LoadGuard;
use crate::calls::{CallError, ReservationParams};
use crate::context::ForwardContext;
use crate::refusal::{Refusal, RefusalCause};
use crate::throttle::{
    MAX_BLOCKED_BACKENDS, RESERVED_REQUEST_COST, acquire_permit, refusal_if_blocked, should_release,
};
use crate::trace::log_placement_rejected;

/// Life of a reservation: a prefill, its move and the first event take well under a second, and
/// a longer one keeps memory from others.
const RESERVATION_TTL: Duration = Duration::from_secs(2);
/// When to come back if a pool is not known yet; directories and configurations come within
/// seconds.
const UNKNOWN_POOL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Memory reserved at an engine, given back unless it was used.
pub(crate) struct ReservationGuard {
    context: ForwardContext,
    entry: Arc<BackendEntry>,
    pub(crate) reservation: Option<Name>,
}

impl ReservationGuard {
    /// For a backend server that reserves nothing.
    pub(crate) fn empty(context: &ForwardContext, entry: &Arc<BackendEntry>) -> Self {
        Self { context: context.clone(), entry: Arc::clone(entry), reservation: None }
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        let Some(reservation) = self.reservation.take() else { return };
        if !should_release(&self.context, &self.entry) {
            return;
        }
        let release =
            (self.context.calls.release_reservation)(Arc::clone(&self.entry), reservation);
        let id = BackendId::clone(&self.entry.id);
        self.context.tasks.spawn(async move {
            // A reservation that is not given back lapses by itself.
            if let Err(error) = release.await {
                log::debug!("event=hold_not_released backend={id} cause=\"{error}\"");
            }
        });
    }
}

/// A decode engine with memory for the request.
pub(crate) struct Placement {
    pub(crate) entry: Arc<BackendEntry>,
    /// Tokens reserved there; 0 at a backend server that reserves nothing.
    pub(crate) reserved_tokens: u64,
    /// Engine that reads the prompt; `None` when the decode engine does.
    pub(crate) prefill: Option<Name>,
    pub(crate) reservation: ReservationGuard,
    pub(crate) ticket: StreamTicket,
}

impl Placement {
    /// At a backend server that plays no part and reserves nothing.
    pub(crate) fn without_reservation(context: &ForwardContext, entry: Arc<BackendEntry>) -> Self {
        let reservation = ReservationGuard::empty(context, &entry);
        let load = context.backend_tracker.track_request(&entry.instance());
        let ticket = StreamTicket { schedule: None, _load: Some(load) };
        Self { entry, reserved_tokens: 0, prefill: None, reservation, ticket }
    }
}

/// An answer's place in the books, until it has ended.
pub(crate) struct StreamTicket {
    /// `None` at a backend server that plays no part.
    schedule: Option<PlacementTicket>,
    _load: Option<LoadGuard>,
}

impl StreamTicket {
    /// Tells what became of the request at its engines.
    pub(crate) fn note(&self, note: &DeskNote) {
        if let Some(schedule) = &self.schedule {
            schedule.note(note);
        }
    }

    /// Tells that an engine did other than expected.
    pub(crate) fn note_fault(&self, engine: &BackendEntry, fault: EngineFault) {
        self.note(&DeskNote::Fault { engine: engine.instance(), fault });
    }

    /// Asks for another prefill engine.
    pub(crate) async fn ask_prefill(&self, request: &PlacementRequest) -> Option<Name> {
        self.schedule.as_ref()?.ask_prefill(request).await
    }

    /// Tells that the answer is whole.
    pub(crate) fn end_whole(&mut self, event_gap: Option<Duration>) {
        if let Some(schedule) = &mut self.schedule {
            schedule.end(StreamEnd { is_complete: true, event_gap });
        }
    }
}

/// What is asked of the planner for a request as it stands now.
pub(crate) fn placement_request(
    context: &ForwardContext,
    request: &RoutedRequest,
    class: WorkClass,
    patience: Duration,
    excluded: &[BackendId],
) -> PlacementRequest {
    let (prompt_tokens, guess_tokens, most_tokens) =
        request.generation.as_ref().map_or((0, 0, 0), |terms| {
            let guess = terms
                .expected_output_tokens
                .unwrap_or(terms.max_output_tokens)
                .min(terms.max_output_tokens);
            (terms.prompt_tokens, guess, terms.max_output_tokens)
        });
    let spent = request.spent_before + request.age();
    let part =
        context.directory.borrow().subset.as_ref().map(|part| part.for_class(&request.service));
    PlacementRequest {
        class,
        workspace_priority: request.workspace.as_ref().map_or(0, |it| it.priority),
        priority: request.route.priority,
        failure_domain: Name::clone(&context.failure_domain),
        prompt_tokens,
        estimated_tokens: guess_tokens,
        max_tokens: most_tokens,
        objective_left: request.route.objective.saturating_sub(spent),
        max_wait: patience.min(request.remaining()),
        time_left: request.remaining(),
        max_event_gap: request.route.max_event_gap,
        excluded: excluded.to_vec(),
        refusals: 0,
        subset: part,
    }
}

/// What became of a decision for an engine.
enum PlacementAttempt {
    /// It has reserved memory.
    Reserved(Arc<BackendEntry>, Name),
    /// It has none, or does not answer.
    Refused,
    /// What it takes is spent, so it was not asked.
    Blocked,
    /// It takes no new requests as far as this host knows.
    Unavailable,
}

/// Finds engines for a request: asks where it runs and reserves memory there, once more where an
/// engine has none after all.
pub(crate) async fn place(
    context: &ForwardContext,
    request: &Arc<RoutedRequest>,
    mut question: PlacementRequest,
) -> Result<Placement, Refusal> {
    let ticket = context.schedule.open(&request.service);
    let class = question.class;
    let mut blocked = 0;
    loop {
        let decided = ticket.ask(&question).await;
        let placement = match decided {
            Some(PlacementDecision::Place(placement)) => placement,
            Some(PlacementDecision::Reject { cause, retry_after: come_back }) => {
                log_placement_rejected(context, request, &question, cause, come_back);
                return Err(placement_refusal(context, request, cause, come_back));
            }
            Some(PlacementDecision::Wait) | None => {
                return Err(Refusal::with_retry_after(
                    RefusalCause::NoBackend,
                    UNKNOWN_POOL_RETRY_AFTER,
                ));
            }
        };
        let mut refusals = question.refusals + 1;
        match try_place(context, request, &ticket, &placement).await {
            PlacementAttempt::Reserved(entry, reservation) => {
                return Ok(build_placement(context, entry, placement, reservation, ticket));
            }
            PlacementAttempt::Refused => {}
            PlacementAttempt::Blocked => {
                refusals = question.refusals;
                question.excluded.push(Name::clone(&placement.decode_engine));
                blocked += 1;
            }
            PlacementAttempt::Unavailable => {
                question.excluded.push(Name::clone(&placement.decode_engine))
            }
        }
        if blocked >= MAX_BLOCKED_BACKENDS
            && let Some(refusal) = refusal_if_blocked(context, request)
        {
            return Err(refusal);
        }
        let fresh =
            placement_request(context, request, class, question.max_wait, &question.excluded);
        question = PlacementRequest { refusals, ..fresh };
        if request.remaining().is_zero() {
            return Err(Refusal::new(RefusalCause::TooLateNotRun));
        }
    }
}

/// Asks the engine that was decided on.
async fn try_place(
    context: &ForwardContext,
    request: &RoutedRequest,
    ticket: &PlacementTicket,
    placement: &StreamPlacement,
) -> PlacementAttempt {
    let Some(entry) = context.ready_entry(request, &placement.decode_engine) else {
        return PlacementAttempt::Unavailable;
    };
    let Some(permit) = acquire_permit(context, request, &entry, RESERVED_REQUEST_COST).await else {
        return PlacementAttempt::Blocked;
    };
    match reserve(context, request, ticket, &entry, placement).await {
        Ok(reservation) => PlacementAttempt::Reserved(entry, reservation),
        Err(CallError::NotSent { .. }) => {
            permit.refund();
            PlacementAttempt::Refused
        }
        Err(CallError::Refused { .. } | CallError::Lost { .. }) => PlacementAttempt::Refused,
    }
}

fn build_placement(
    context: &ForwardContext,
    entry: Arc<BackendEntry>,
    placement: StreamPlacement,
    reservation: Name,
    ticket: PlacementTicket,
) -> Placement {
    let reserved_tokens = placement.reserve_tokens;
    let reservation = ReservationGuard {
        context: context.clone(),
        entry: Arc::clone(&entry),
        reservation: Some(reservation),
    };
    let ticket = StreamTicket { schedule: Some(ticket), _load: None };
    Placement { entry, reserved_tokens, prefill: placement.prefill_engine, reservation, ticket }
}

/// The refusal of a request for which there is no engine; where some are closed, until those take requests.
fn placement_refusal(
    context: &ForwardContext,
    request: &RoutedRequest,
    cause: PlacementRejection,
    come_back: Duration,
) -> Refusal {
    let blocked =
        (cause == PlacementRejection::NoEngine).then(|| refusal_if_blocked(context, request));
    blocked.flatten().unwrap_or(Refusal::with_retry_after(refusal_cause(cause), come_back))
}

fn refusal_cause(cause: PlacementRejection) -> RefusalCause {
    match cause {
        PlacementRejection::NoEngine => RefusalCause::NoBackend,
        PlacementRejection::NoMemory => RefusalCause::NoMemory,
        PlacementRejection::NoPrefill => RefusalCause::NoPrefill,
        PlacementRejection::Refused => RefusalCause::NotRun,
    }
}

/// Asks one engine for memory.
async fn reserve(
    context: &ForwardContext,
    request: &RoutedRequest,
    ticket: &PlacementTicket,
    entry: &Arc<BackendEntry>,
    placement: &StreamPlacement,
) -> Result<Name, CallError> {
    let terms = ReservationParams { tokens: placement.reserve_tokens, ttl: RESERVATION_TTL };
    let error = match (context.calls.reserve)(Arc::clone(entry), terms).await {
        Ok(reservation) => return Ok(reservation),
        Err(error) => error,
    };
    let fault = match &error {
        CallError::Refused { .. } => {
            context.metrics.record_reservation_refused();
            EngineFault::NoMemory
        }
        CallError::NotSent { .. } => EngineFault::Unreachable,
        CallError::Lost { .. } => EngineFault::NoResponse,
    };
    log::info!(
        "event=reservation_failed id={} backend={} tokens={} cause=\"{error}\"",
        request.id,
        entry.id,
        placement.reserve_tokens,
    );
    ticket.note(&DeskNote::Fault { engine: entry.instance(), fault });
    Err(error)
}
