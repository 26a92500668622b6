//! Placement decisions for this host's requests, by the pool's scheduler or locally.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_admission::{PlacementDecision, PlacementRequest, StreamEnd, TicketId};
use dillspool_io::NetStack;
use dillspool_origins::{OriginAnswer, OriginRecord};
use dillspool_routing::RoutingConfig;
use dillspool_schema::Name;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::fleet_bus::{FleetBus, FleetUpdate};
use crate::link::{LinkDuty, SchedulerLink};
use crate::link_manager::{LinkManager, PeersFn, SchedulePeers};
use crate::placement_scheduler::{PlacementEvent, PlacementScheduler};

/// Time that a question waits for a link: a host that has just started, or lost its scheduler, finds
/// one within some round trips.
const LINK_WAIT: Duration = Duration::from_millis(400);
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Requests placements and reports what happens to the placed requests.
#[derive(Clone)]
pub struct ScheduleClient {
    scheduler: PlacementScheduler,
    bus: FleetBus,
    links: Arc<Mutex<HashMap<Name, SchedulerLink>>>,
    next_ticket: Arc<AtomicU64>,
}

impl fmt::Debug for ScheduleClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ScheduleClient")
    }
}

impl ScheduleClient {
    /// Creates a client that decides locally until [`ScheduleClient::run`] finds schedulers.
    pub fn new(scheduler: PlacementScheduler, bus: FleetBus) -> Self {
        Self { scheduler, bus, links: Arc::default(), next_ticket: Arc::default() }
    }

    /// Keeps this host linked to the scheduler of each pool until `cancel`.
    pub async fn run(
        self,
        stack: NetStack,
        host: Name,
        peers: impl Fn(&str) -> SchedulePeers + Send + Sync + 'static,
        mut config: watch::Receiver<Option<Arc<RoutingConfig>>>,
        cancel: CancellationToken,
    ) {
        let peers: Arc<PeersFn> = Arc::new(peers);
        let mut managers = JoinSet::new();
        loop {
            let known = config.borrow_and_update().clone();
            let services = known.iter().flat_map(|known| known.services.values());
            for service in services.filter(|service| service.engine.is_some()) {
                if self.link(&service.name).is_some() {
                    continue;
                }
                let link = SchedulerLink::for_pool(Name::clone(&service.name), self.bus.clone());
                self.with_links(|links| links.insert(Name::clone(&service.name), link.clone()));
                let manager = LinkManager {
                    link,
                    stack: stack.clone(),
                    duty: LinkDuty::pool(&host, &service.name),
                    peers: Arc::clone(&peers),
                };
                managers.spawn(async move { manager.run().await });
            }
            tokio::select! {
                changed = config.changed() => if changed.is_err() { return },
                // Dropping the managers closes their links.
                () = cancel.cancelled() => return,
            }
        }
    }

    fn with_links<T>(&self, run: impl FnOnce(&mut HashMap<Name, SchedulerLink>) -> T) -> T {
        run(&mut self.links.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn link(&self, service: &str) -> Option<SchedulerLink> {
        self.with_links(|links| links.get(service).cloned())
    }

    /// Returns whether this host is the scheduler of a pool, as far as it knows.
    pub fn is_scheduler_for(&self, service: &str) -> bool {
        self.link(service).is_some_and(|link| link.is_scheduler())
    }

    /// Returns whether a service is a pool.
    pub fn is_pool(&self, service: &str) -> bool {
        self.link(service).is_some()
    }

    /// Returns whether this host is the scheduler of any pool, as far as it knows.
    pub fn is_any_scheduler(&self) -> bool {
        self.with_links(|links| links.values().any(SchedulerLink::is_scheduler))
    }

    /// Returns the number of hosts that share the pools: the count reported by the scheduler or,
    /// where this host is the scheduler, its own count. `None` while there is no scheduler.
    pub fn host_count(&self) -> Option<usize> {
        let links = self.with_links(|links| links.clone());
        let count = |(service, link): (&Name, &SchedulerLink)| {
            if link.is_scheduler() {
                Some(self.scheduler.host_count(service))
            } else {
                link.host_count()
            }
        };
        links.iter().filter_map(count).max()
    }

    /// Sends an update to the schedulers and, where this host is a scheduler, to the hosts that it
    /// serves.
    pub fn publish(&self, update: &FleetUpdate) {
        let links = self.with_links(|links| links.clone());
        let (own, others): (Vec<_>, Vec<_>) =
            links.into_values().partition(SchedulerLink::is_scheduler);
        if !own.is_empty() {
            self.bus.broadcast(None, update);
        }
        for link in others {
            link.send_update(self.bus.encode(update));
        }
    }

    /// Tells the scheduler of a pool, or where this host is the scheduler the hosts that keep them, of
    /// streams that began.
    pub fn publish_origins(&self, service: &str, records: Vec<OriginRecord>) {
        match self.link(service) {
            Some(link) if link.is_scheduler() => self.bus.origins.relay(records),
            Some(link) => link.send_origins(&records),
            None => {}
        }
    }

    /// Asks the scheduler of a pool what it knows of the stream that an attempt began. `None` if this
    /// host is the scheduler, or no scheduler answers.
    pub async fn find_origin(&self, service: &str, attempt: Option<&Name>) -> Option<OriginAnswer> {
        let link = self.link(service)?;
        let settling = async {
            while !link.is_scheduler() && !link.is_linked() {
                tokio::time::sleep(LINK_CHECK_INTERVAL).await;
            }
        };
        if tokio::time::timeout(LINK_WAIT, settling).await.is_err() {
            return None;
        }
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed) + 1;
        link.request_origin(ticket, attempt).await
    }

    /// Opens a ticket for a request.
    pub fn open_ticket(&self, service: &Name) -> PlacementTicket {
        let id = TicketId(self.next_ticket.fetch_add(1, Ordering::Relaxed) + 1);
        PlacementTicket {
            scheduler: self.scheduler.clone(),
            link: self.link(service),
            service: Name::clone(service),
            id,
            has_ended: false,
        }
    }
}

/// Tracks a request that needs engines, from its first placement request to its end. Dropping it
/// removes the request from the local and the remote scheduler.
pub struct PlacementTicket {
    scheduler: PlacementScheduler,
    link: Option<SchedulerLink>,
    service: Name,
    id: TicketId,
    has_ended: bool,
}

impl fmt::Debug for PlacementTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlacementTicket").field("id", &self.id).finish_non_exhaustive()
    }
}

impl PlacementTicket {
    /// Requests a placement and waits as long as the decision says. `None` if the pool is not
    /// known.
    pub async fn request_placement(&self, request: &PlacementRequest) -> Option<PlacementDecision> {
        if let Some(link) = &self.link
            && let Some(decision) = link.request_placement(self.id.0, request).await
        {
            if let PlacementDecision::Place(placement) = &decision {
                let placement = placement.clone();
                link.record_placement(self.id.0, request, &placement, true);
                self.scheduler.adopt(self.id, &self.service, request, placement, None);
            }
            return Some(decision);
        }
        let decision = self.decide_locally(request).await?;
        if let PlacementDecision::Place(placement) = &decision
            && let Some(link) = &self.link
        {
            link.record_placement(self.id.0, request, placement, false);
        }
        Some(decision)
    }

    async fn decide_locally(&self, request: &PlacementRequest) -> Option<PlacementDecision> {
        let (sender, receiver) = oneshot::channel();
        let decide = move |decision| {
            // The receiver may have been dropped with the request.
            let _taken = sender.send(decision);
        };
        match self.scheduler.submit(self.id, &self.service, request.clone(), decide)? {
            PlacementDecision::Wait => receiver.await.ok(),
            decision => Some(decision),
        }
    }

    /// Requests another prefill engine; `None` if the decode engine should run the prefill.
    pub async fn request_prefill(&self, request: &PlacementRequest) -> Option<Name> {
        if let Some(link) = &self.link
            && let Some(prefill) = link.request_prefill(self.id.0, request).await
        {
            return prefill;
        }
        self.scheduler.choose_prefill(self.id, request)
    }

    /// Reports an event of the request.
    pub fn record_event(&self, event: &PlacementEvent) {
        if let Some(link) = &self.link {
            link.record_event(self.id.0, event);
        }
        self.scheduler.record_event(self.id, event.clone());
    }

    /// Reports the end of the request, once.
    pub fn record_ended(&mut self, end: StreamEnd) {
        if !self.has_ended {
            self.has_ended = true;
            self.record_event(&PlacementEvent::Ended(end));
        }
    }
}

impl Drop for PlacementTicket {
    fn drop(&mut self) {
        self.record_ended(StreamEnd { is_complete: false, event_gap: None });
    }
}
