//! Places model requests: asks the scheduler for engines and reserves memory at the decode engine.
//!
//! A reservation keeps its size for as long as the request runs at the engine, however much of it the
//! response has filled. `docs/design/admission.md` has the reasons for its size.

use std::sync::Arc;
use std::time::Duration;

use dillspool_admission::{
    EngineFault, PlacementDecision, PlacementRejection, PlacementRequest, StreamEnd,
    StreamPlacement, WorkClass,
};
use dillspool_routing::{BackendEntry, BackendId, RoutedRequest, SoftwareVersion};
use dillspool_scheduler::{PlacementEvent, PlacementTicket};
use dillspool_schema::Name;

use crate::backend_tracker::LoadGuard;
use crate::calls::{CallError, ReservationParams};
use crate::context::ForwardContext;
use crate::refusal::{Refusal, RefusalCause};
use crate::throttle::{
    MAX_BLOCKED_BACKENDS, RESERVED_REQUEST_COST, acquire_permit, refusal_if_blocked, should_release,
};
use crate::trace::log_placement_rejected;

/// Lifetime of a reservation. A prefill, its KV transfer and the first event take well under a second,
/// and a longer lifetime would block memory for other requests.
const RESERVATION_TTL: Duration = Duration::from_secs(2);
/// Retry delay when a pool is not known yet; directories and configurations arrive within seconds.
const UNKNOWN_POOL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Memory reserved at an engine; dropping it releases the reservation unless a request used it.
pub(crate) struct ReservationGuard {
    context: ForwardContext,
    entry: Arc<BackendEntry>,
    /// Id of the reservation at its engine.
    pub(crate) id: Option<Name>,
}

impl ReservationGuard {
    /// A guard without a reservation, for backend servers that have no memory to reserve.
    pub(crate) fn empty(context: &ForwardContext, entry: &Arc<BackendEntry>) -> Self {
        Self { context: context.clone(), entry: Arc::clone(entry), id: None }
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        let Some(reservation) = self.id.take() else { return };
        if !should_release(&self.context, &self.entry) {
            return;
        }
        let release =
            (self.context.calls.release_reservation)(Arc::clone(&self.entry), reservation);
        let backend = BackendId::clone(&self.entry.id);
        self.context.tasks.spawn(async move {
            // A reservation that is not released expires.
            if let Err(error) = release.await {
                log::debug!("event=hold_not_released backend={backend} cause=\"{error}\"");
            }
        });
    }
}

/// A decode engine that reserved memory for the request.
pub(crate) struct Placement {
    pub(crate) entry: Arc<BackendEntry>,
    /// Reserved tokens; 0 at a backend server without reservations.
    pub(crate) reserved_tokens: u64,
    /// Engine that prefills the prompt; `None` if the decode engine does.
    pub(crate) prefill: Option<Name>,
    pub(crate) reservation: ReservationGuard,
    pub(crate) ticket: StreamTicket,
}

impl Placement {
    /// A placement at a backend server without a stage, which reserves no memory.
    pub(crate) fn without_reservation(context: &ForwardContext, entry: Arc<BackendEntry>) -> Self {
        let reservation = ReservationGuard::empty(context, &entry);
        let load = context.backend_tracker.track_request(&entry.instance());
        let ticket = StreamTicket { schedule: None, _load: Some(load) };
        Self { entry, reserved_tokens: 0, prefill: None, reservation, ticket }
    }
}

/// Accounts for a stream at the scheduler or in the load of its backend server, until it ends.
pub(crate) struct StreamTicket {
    /// `None` at a backend server without a stage.
    schedule: Option<PlacementTicket>,
    _load: Option<LoadGuard>,
}

impl StreamTicket {
    /// Reports an event of the request to the scheduler.
    pub(crate) fn record(&self, note: &PlacementEvent) {
        if let Some(schedule) = &self.schedule {
            schedule.record_event(note);
        }
    }

    /// Reports a fault of an engine to the scheduler.
    pub(crate) fn record_fault(&self, engine: &BackendEntry, fault: EngineFault) {
        self.record(&PlacementEvent::Fault { engine: engine.instance(), fault });
    }

    /// Asks for another prefill engine.
    pub(crate) async fn choose_prefill(&self, request: &PlacementRequest) -> Option<Name> {
        self.schedule.as_ref()?.request_prefill(request).await
    }

    /// Reports to the scheduler that the response is complete.
    pub(crate) fn record_complete(&mut self, event_gap: Option<Duration>) {
        if let Some(schedule) = &mut self.schedule {
            schedule.record_ended(StreamEnd { is_complete: true, event_gap });
        }
    }
}

/// The scheduler's input for a request in its current state.
pub(crate) fn placement_request(
    context: &ForwardContext,
    request: &RoutedRequest,
    class: WorkClass,
    max_wait: Duration,
    excluded: &[BackendId],
    software: Option<&SoftwareVersion>,
) -> PlacementRequest {
    let (prompt_tokens, estimated_tokens, max_tokens) =
        request.generation.as_ref().map_or((0, 0, 0), |generation| {
            let estimate = generation
                .expected_output_tokens
                .unwrap_or(generation.max_output_tokens)
                .min(generation.max_output_tokens);
            (generation.prompt_tokens, estimate, generation.max_output_tokens)
        });
    // A resumed stream has missed its objective, and gets the time of a new one.
    let spent_before =
        if request.resume_after.is_some() { Duration::ZERO } else { request.spent_before };
    let spent = spent_before + request.age();
    let subset =
        context.directory.borrow().subset.as_ref().map(|subset| subset.for_class(&request.service));
    PlacementRequest {
        class,
        workspace_priority: request.workspace.as_ref().map_or(0, |it| it.priority),
        priority: request.route.priority,
        failure_domain: Name::clone(&context.failure_domain),
        prompt_tokens,
        estimated_tokens,
        max_tokens,
        objective_left: request.route.objective.saturating_sub(spent),
        max_wait: max_wait.min(request.remaining()),
        time_left: request.remaining(),
        max_event_gap: request.route.max_event_gap,
        excluded: excluded.to_vec(),
        refusals: 0,
        subset,
        software: software.cloned(),
    }
}

/// Result of trying an engine that the scheduler chose.
enum PlacementAttempt {
    /// The engine reserved memory.
    Reserved(Arc<BackendEntry>, Name),
    /// The engine has no memory, or does not respond.
    Refused,
    /// The engine is blocked by its rate limit or backoff, so it was not asked.
    Blocked,
    /// The engine accepts no new requests, as far as this host knows.
    Unavailable,
    /// The engine runs another software version than the stream needs.
    OtherSoftware,
}

/// Engines of the request's service with another software version than `software`.
pub(crate) fn other_software(
    context: &ForwardContext,
    request: &RoutedRequest,
    software: Option<&SoftwareVersion>,
) -> Vec<BackendId> {
    let view = context.view();
    let others = view
        .ready(&request.service)
        .filter(|entry| software.is_some_and(|software| entry.software != *software));
    others.map(|entry| BackendId::clone(&entry.id)).collect()
}

/// Finds engines for a request: asks the scheduler for a placement and reserves memory there, and asks
/// again if the engine turns out to have none.
pub(crate) async fn place(
    context: &ForwardContext,
    request: &Arc<RoutedRequest>,
    mut query: PlacementRequest,
) -> Result<Placement, Refusal> {
    let ticket = context.schedule.open_ticket(&request.service);
    let class = query.class;
    let mut blocked = 0;
    loop {
        let decision = ticket.request_placement(&query).await;
        let placement = match decision {
            Some(PlacementDecision::Place(placement)) => placement,
            Some(PlacementDecision::Reject { cause, retry_after }) => {
                log_placement_rejected(context, request, &query, cause, retry_after);
                return Err(placement_refusal(context, request, cause, retry_after));
            }
            Some(PlacementDecision::Wait) | None => {
                return Err(Refusal::with_retry_after(
                    RefusalCause::NoBackend,
                    UNKNOWN_POOL_RETRY_AFTER,
                ));
            }
        };
        let mut refusals = query.refusals + 1;
        match try_place(context, request, &ticket, &query, &placement).await {
            PlacementAttempt::Reserved(entry, reservation) => {
                return Ok(build_placement(context, entry, placement, reservation, ticket));
            }
            PlacementAttempt::Refused => {}
            PlacementAttempt::Blocked => {
                refusals = query.refusals;
                query.excluded.push(Name::clone(&placement.decode_engine));
                blocked += 1;
            }
            PlacementAttempt::Unavailable => {
                query.excluded.push(Name::clone(&placement.decode_engine));
            }
            PlacementAttempt::OtherSoftware => {
                // A scheduler of an earlier build does not know of software versions.
                query.excluded.extend(other_software(context, request, query.software.as_ref()));
            }
        }
        if blocked >= MAX_BLOCKED_BACKENDS
            && let Some(refusal) = refusal_if_blocked(context, request)
        {
            return Err(refusal);
        }
        let (excluded, software) = (&query.excluded, query.software.as_ref());
        let fresh = placement_request(context, request, class, query.max_wait, excluded, software);
        query = PlacementRequest { refusals, ..fresh };
        if request.remaining().is_zero() {
            return Err(Refusal::new(RefusalCause::TooLateNotRun));
        }
    }
}

/// Tries to reserve memory at the engine that the scheduler chose.
async fn try_place(
    context: &ForwardContext,
    request: &RoutedRequest,
    ticket: &PlacementTicket,
    query: &PlacementRequest,
    placement: &StreamPlacement,
) -> PlacementAttempt {
    let Some(entry) = context.ready_entry(request, &placement.decode_engine) else {
        return PlacementAttempt::Unavailable;
    };
    if query.software.as_ref().is_some_and(|software| entry.software != *software) {
        return PlacementAttempt::OtherSoftware;
    }
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
        id: Some(reservation),
    };
    let ticket = StreamTicket { schedule: Some(ticket), _load: None };
    Placement { entry, reserved_tokens, prefill: placement.prefill_engine, reservation, ticket }
}

/// The refusal of a request without a placement. If engines are blocked, its retry delay says when they accept
/// requests again.
fn placement_refusal(
    context: &ForwardContext,
    request: &RoutedRequest,
    cause: PlacementRejection,
    retry_after: Duration,
) -> Refusal {
    let blocked =
        (cause == PlacementRejection::NoEngine).then(|| refusal_if_blocked(context, request));
    blocked.flatten().unwrap_or(Refusal::with_retry_after(refusal_cause(cause), retry_after))
}

fn refusal_cause(cause: PlacementRejection) -> RefusalCause {
    match cause {
        PlacementRejection::NoEngine => RefusalCause::NoBackend,
        PlacementRejection::NoMemory => RefusalCause::NoMemory,
        PlacementRejection::NoPrefill => RefusalCause::NoPrefill,
        PlacementRejection::Refused => RefusalCause::NotRun,
    }
}

/// Reserves memory at one engine.
async fn reserve(
    context: &ForwardContext,
    request: &RoutedRequest,
    ticket: &PlacementTicket,
    entry: &Arc<BackendEntry>,
    placement: &StreamPlacement,
) -> Result<Name, CallError> {
    let params = ReservationParams { tokens: placement.reserve_tokens, ttl: RESERVATION_TTL };
    let error = match (context.calls.reserve)(Arc::clone(entry), params).await {
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
    ticket.record_event(&PlacementEvent::Fault { engine: entry.instance(), fault });
    Err(error)
}
