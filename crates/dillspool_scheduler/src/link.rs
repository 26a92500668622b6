//! A host's link to the host that decides for all: the scheduler of a pool, the holder of a share
//! of the limits, or the scheduler of a service's calls.
//!
//! This module has the requests and events, [`calls`] those about calls; [`connection`] transports
//! them.

mod calls;
mod connection;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_admission::{PlacementDecision, PlacementRequest, StreamPlacement};
use dillspool_calls::CallDecision;
use dillspool_limits::{SpendDecision, SpendRequest};
use dillspool_moment::Moment;
use dillspool_origins::{OriginAnswer, OriginRecord};
use dillspool_schema::Name;
use dillspool_schema::schedule::{
    ScheduleAsk, ScheduleDuty, ScheduleGiveBack, ScheduleHeld, ScheduleHello, ScheduleMessage,
    ScheduleOriginAsk,
};
use tokio::sync::mpsc;
use tokio::time::Instant;

use self::calls::ActiveCall;
use crate::fleet_bus::FleetBus;
use crate::placement_scheduler::PlacementEvent;
use crate::wire::{self, PROTOCOL_VERSION};

pub(crate) use calls::{CallReply, DECISION_TTL};
pub(crate) use connection::{HEARTBEAT_INTERVAL, OpenedLink, open_link};

/// Timeout for the scheduler's first response, after which this host decides by itself: a fiftieth
/// to a tenth of the time in which a first event is due.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(80);
/// Time beyond a request's `max_wait` to wait for the final decision.
const WAIT_SLACK: Duration = Duration::from_millis(200);
/// Responses to one request: that it is queued, and the final decision.
const MAX_RESPONSES: usize = 2;

/// What a host asks the linked host to do.
#[derive(Clone)]
pub(crate) struct LinkDuty {
    pub(crate) duty: ScheduleDuty,
    /// Name of this host.
    pub(crate) host: Name,
    /// The pool's service, the service whose calls are decided, or the share of the limits.
    pub(crate) service: Name,
    /// Number of hosts that share the limits, as far as this host knows; 0 if unknown.
    pub(crate) host_count: Arc<dyn Fn() -> usize + Send + Sync>,
}

impl LinkDuty {
    /// The duty to place the requests of a pool.
    pub(crate) fn pool(host: &Name, service: &Name) -> Self {
        Self::for_service(ScheduleDuty::Pool, host, service)
    }

    /// The duty to decide on the calls of a plain service.
    pub(crate) fn calls(host: &Name, service: &Name) -> Self {
        Self::for_service(ScheduleDuty::Calls, host, service)
    }

    fn for_service(duty: ScheduleDuty, host: &Name, service: &Name) -> Self {
        let (host, service) = (Name::clone(host), Name::clone(service));
        Self { duty, host, service, host_count: Arc::new(|| 0) }
    }

    fn hello(&self) -> ScheduleHello {
        ScheduleHello {
            version: PROTOCOL_VERSION,
            host: Name::clone(&self.host),
            duty: self.duty,
            service: Name::clone(&self.service),
            hosts: u32::try_from((self.host_count)()).unwrap_or(u32::MAX),
            backend: None,
            origins: self.duty == ScheduleDuty::Pool,
        }
    }
}

/// A scheduler's response.
enum ScheduleReply {
    Decided(PlacementDecision),
    PrefillEngine(Option<Name>),
    Spent(SpendDecision),
    Call(CallDecision),
    Origin(OriginAnswer),
}

/// A request that waits for its responses; dropping it unregisters it.
struct PendingRequest<'a> {
    link: &'a SchedulerLink,
    ticket: u64,
    responses: mpsc::Receiver<ScheduleReply>,
    /// Refund to send if the request is granted after the caller has left.
    refund_if_granted: Option<ScheduleGiveBack>,
}

impl PendingRequest<'_> {
    /// Returns the next response; `None` if none arrives within `timeout`.
    async fn response(&mut self, timeout: Duration) -> Option<ScheduleReply> {
        tokio::time::timeout(timeout, self.responses.recv()).await.ok().flatten()
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        let refund_if_granted = self.refund_if_granted.take();
        let response = self.link.with(|state| {
            let is_linked = state.pending.remove(&self.ticket).is_some();
            let response = self.responses.try_recv().ok();
            if response.is_none()
                && is_linked
                && let Some(refund_if_granted) = &refund_if_granted
            {
                state.refund_if_granted.insert(self.ticket, refund_if_granted.clone());
            }
            response
        });
        if let (Some(ScheduleReply::Spent(SpendDecision::Allowed)), Some(refund_if_granted)) =
            (response, refund_if_granted)
        {
            self.link.send_refund(refund_if_granted);
        }
    }
}

type HeartbeatFn = dyn Fn(usize) + Send + Sync;

/// A request of this host that has been placed.
#[derive(Clone, Debug)]
struct ActivePlacement {
    request: PlacementRequest,
    placement: StreamPlacement,
    started: Option<Instant>,
}

impl ActivePlacement {
    fn message(&self, ticket: u64) -> ScheduleMessage {
        ScheduleMessage::Held(ScheduleHeld {
            ticket,
            request: wire::request_to_wire(&self.request),
            placement: wire::placement_to_wire(self.placement.clone()),
            ran_ms: self.started.map(|started| wire::millis(started.elapsed())),
        })
    }
}

#[derive(Default)]
struct LinkState {
    /// Whether this host is the scheduler itself, as far as it knows.
    is_scheduler: bool,
    /// Number of hosts that the scheduler serves, by its last heartbeat.
    hosts: Option<usize>,
    /// Whether the scheduler wants to be told of streams, by its last heartbeat; `None` if it does not
    /// understand such messages.
    share_origins: Option<bool>,
    /// Queue of outgoing messages; `None` while no scheduler is linked.
    sender: Option<mpsc::Sender<ScheduleMessage>>,
    pending: HashMap<u64, mpsc::Sender<ScheduleReply>>,
    /// Refunds to send if a request is granted whose caller has left.
    refund_if_granted: HashMap<u64, ScheduleGiveBack>,
    placements: HashMap<u64, ActivePlacement>,
    calls: HashMap<u64, ActiveCall>,
}

/// This host's requests and events for one duty. Survives reconnects.
#[derive(Clone)]
pub(crate) struct SchedulerLink {
    state: Arc<Mutex<LinkState>>,
    /// Called with the host count of each heartbeat from the linked host.
    on_heartbeat: Arc<HeartbeatFn>,
    /// `None` on links to holders of limits and schedulers of calls.
    pool: Option<LinkedPool>,
}

/// The pool whose scheduler a link leads to.
#[derive(Clone)]
struct LinkedPool {
    service: Name,
    /// Receives the scheduler's updates.
    bus: FleetBus,
}

impl SchedulerLink {
    /// Creates a link that calls `on_heartbeat` with the host count of each heartbeat.
    pub(crate) fn new(on_heartbeat: impl Fn(usize) + Send + Sync + 'static) -> Self {
        Self { state: Arc::default(), on_heartbeat: Arc::new(on_heartbeat), pool: None }
    }

    /// Creates a link to the scheduler of a pool.
    pub(crate) fn for_pool(service: Name, bus: FleetBus) -> Self {
        Self { pool: Some(LinkedPool { service, bus }), ..Self::new(|_hosts| {}) }
    }

    /// Tells the scheduler of streams, if it understands that.
    pub(crate) fn send_origins(&self, records: &[OriginRecord]) {
        let Some(pool) = &self.pool else { return };
        let is_understood = self.with(|state| state.share_origins.is_some());
        for message in pool.bus.origins.encode(records).into_iter().filter(|_| is_understood) {
            self.send_update(message);
        }
    }

    /// Asks the scheduler what it knows of the stream that an attempt began; `None` if there is no
    /// scheduler, no response, or no understanding of the question.
    pub(crate) async fn request_origin(
        &self,
        ticket: u64,
        attempt: Option<&Name>,
    ) -> Option<OriginAnswer> {
        self.with(|state| state.share_origins)?;
        let ask = ScheduleOriginAsk { ticket, attempt: attempt.cloned() };
        let mut pending = self.send_request(ticket, ScheduleMessage::OriginAsk(ask))?;
        match pending.response(RESPONSE_TIMEOUT).await {
            Some(ScheduleReply::Origin(answer)) => Some(answer),
            Some(
                ScheduleReply::Decided(_)
                | ScheduleReply::PrefillEngine(_)
                | ScheduleReply::Spent(_)
                | ScheduleReply::Call(_),
            ) => None,
            None => {
                self.disconnect(ticket);
                None
            }
        }
    }

    /// Sends an update to the scheduler.
    pub(crate) fn send_update(&self, update: ScheduleMessage) {
        self.with(|state| {
            if let Some(sender) = &state.sender {
                // An update that is lost arrives by store rows or backend responses, too.
                let _sent = sender.try_send(update);
            }
        });
    }

    fn with<T>(&self, run: impl FnOnce(&mut LinkState) -> T) -> T {
        run(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Requests a placement; `None` if there is no scheduler or no response.
    pub(crate) async fn request_placement(
        &self,
        ticket: u64,
        request: &PlacementRequest,
    ) -> Option<PlacementDecision> {
        let mut pending = self.send_placement_request(ticket, request, false)?;
        let first = self.decision_or_disconnect(ticket, pending.response(RESPONSE_TIMEOUT).await);
        if !matches!(first, Some(PlacementDecision::Wait)) {
            return first;
        }
        let limit = request.max_wait + WAIT_SLACK;
        self.decision_or_disconnect(ticket, pending.response(limit).await)
    }

    /// Requests another prefill engine; `None` if there is no scheduler or no response.
    pub(crate) async fn request_prefill(
        &self,
        ticket: u64,
        request: &PlacementRequest,
    ) -> Option<Option<Name>> {
        let mut pending = self.send_placement_request(ticket, request, true)?;
        match pending.response(RESPONSE_TIMEOUT).await {
            Some(ScheduleReply::PrefillEngine(prefill)) => Some(prefill),
            Some(
                ScheduleReply::Decided(_)
                | ScheduleReply::Spent(_)
                | ScheduleReply::Call(_)
                | ScheduleReply::Origin(_),
            )
            | None => None,
        }
    }

    /// Asks the holder of a limit to grant an amount at `now`; `None` if there is no holder or no
    /// response. A grant to a caller that has left is refunded.
    pub(crate) async fn spend(
        &self,
        ticket: u64,
        request: &SpendRequest,
        now: Moment,
    ) -> Option<SpendDecision> {
        let mut pending = self.send_request(ticket, wire::spend_to_wire(ticket, request, now))?;
        let (subject, amount) = (Name::clone(&request.subject), request.amount);
        pending.refund_if_granted = Some(ScheduleGiveBack { subject, amount });
        let response = pending.response(RESPONSE_TIMEOUT).await;
        pending.refund_if_granted = None;
        match response {
            Some(ScheduleReply::Spent(decision)) => Some(decision),
            Some(
                ScheduleReply::Decided(_)
                | ScheduleReply::PrefillEngine(_)
                | ScheduleReply::Call(_)
                | ScheduleReply::Origin(_),
            ) => None,
            None => {
                self.disconnect(ticket);
                None
            }
        }
    }

    /// Refunds the amount of a request that did not run.
    pub(crate) fn refund(&self, subject: &Name, amount: f64) {
        self.send_refund(ScheduleGiveBack { subject: Name::clone(subject), amount });
    }

    fn send_refund(&self, message: ScheduleGiveBack) {
        self.with(|state| {
            if let Some(sender) = &state.sender {
                // A lost refund makes the holder refuse as much to other requests until the rate
                // replenishes it.
                let _sent = sender.try_send(ScheduleMessage::GiveBack(message));
            }
        });
    }

    /// Returns the number of requests without a response, and of refunds that depend on one.
    pub(crate) fn pending_requests(&self) -> usize {
        self.with(|state| state.pending.len() + state.refund_if_granted.len())
    }

    fn send_placement_request(
        &self,
        ticket: u64,
        request: &PlacementRequest,
        reader_only: bool,
    ) -> Option<PendingRequest<'_>> {
        let request = wire::request_to_wire(request);
        self.send_request(
            ticket,
            ScheduleMessage::Ask(ScheduleAsk { ticket, request, reader_only }),
        )
    }

    fn send_request(&self, ticket: u64, message: ScheduleMessage) -> Option<PendingRequest<'_>> {
        let (sender, responses) = mpsc::channel(MAX_RESPONSES);
        self.with(|state| {
            let link = state.sender.as_ref()?;
            link.try_send(message).ok()?;
            state.pending.insert(ticket, sender);
            Some(PendingRequest { link: self, ticket, responses, refund_if_granted: None })
        })
    }

    /// Returns the decision in a response. A missing response disconnects from the scheduler.
    fn decision_or_disconnect(
        &self,
        ticket: u64,
        reply: Option<ScheduleReply>,
    ) -> Option<PlacementDecision> {
        match reply {
            Some(ScheduleReply::Decided(decision)) => Some(decision),
            Some(
                ScheduleReply::PrefillEngine(_)
                | ScheduleReply::Spent(_)
                | ScheduleReply::Call(_)
                | ScheduleReply::Origin(_),
            ) => None,
            None => {
                self.disconnect(ticket);
                None
            }
        }
    }

    /// Disconnects from a scheduler that did not respond.
    fn disconnect(&self, ticket: u64) {
        log::info!("event=scheduler_silent ticket={ticket}");
        self.with(|state| state.sender = None);
    }

    /// Records a placed request, and reports it to the scheduler unless `is_known` there.
    pub(crate) fn record_placement(
        &self,
        ticket: u64,
        request: &PlacementRequest,
        placement: &StreamPlacement,
        is_known: bool,
    ) {
        let (request, placement) = (request.clone(), placement.clone());
        let record = ActivePlacement { request, placement, started: None };
        self.with(|state| {
            if !is_known && let Some(sender) = &state.sender {
                // A full queue only loses the report; the request keeps its engines.
                let _sent = sender.try_send(record.message(ticket));
            }
            state.placements.insert(ticket, record);
        });
    }

    /// Reports an event of a request to the scheduler.
    pub(crate) fn record_event(&self, ticket: u64, event: &PlacementEvent) {
        self.with(|state| {
            match event {
                PlacementEvent::Started => {
                    if let Some(placement) = state.placements.get_mut(&ticket) {
                        placement.started = Some(Instant::now());
                    }
                }
                PlacementEvent::Ended(_) => {
                    state.placements.remove(&ticket);
                }
                // A later scheduler must not count this prompt as one that still waits for its
                // prefill.
                PlacementEvent::Prefilled { .. } | PlacementEvent::PrefilledLocally => {
                    if let Some(placement) = state.placements.get_mut(&ticket) {
                        placement.placement.prefill_engine = None;
                    }
                }
                PlacementEvent::Fault { .. } => {}
            }
            if let Some(sender) = &state.sender {
                let _sent = sender.try_send(wire::event_to_wire(ticket, event.clone()));
            }
        });
    }

    pub(crate) fn set_is_scheduler(&self, is_scheduler: bool) {
        self.with(|state| state.is_scheduler = is_scheduler);
    }

    /// Returns whether this host is the scheduler itself.
    pub(crate) fn is_scheduler(&self) -> bool {
        self.with(|state| state.is_scheduler)
    }

    /// Returns the number of hosts that the linked scheduler serves, by its last heartbeat.
    pub(crate) fn host_count(&self) -> Option<usize> {
        self.with(|state| state.hosts.filter(|_hosts| state.sender.is_some()))
    }

    pub(crate) fn is_linked(&self) -> bool {
        self.with(|state| state.sender.is_some())
    }
}
