//! Decisions for the requests of this host: by the scheduler of their pool, or by itself.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use dillspool_admission::{PlacementDecision, PlacementRequest, StreamEnd, TicketId};
use dillspool_io::NetStack;
use dillspool_routing::RoutingConfig;
use dillspool_schema::Name;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::desk::{PlacementEvent, PlacementScheduler};
use crate::fleet_bus::{FleetBus, FleetUpdate};
use crate::keeper::{LinkKeeper, PeersFn, SchedulePeers};
use crate::link::{LinkDuty, SchedulerLink};

/// Asks where requests run, and tells what became of them.
#[derive(Clone)]
pub struct ScheduleClient {
    desk: PlacementScheduler,
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
    /// A client that decides by its own desk until [`ScheduleClient::run`] finds schedulers.
    pub fn new(desk: PlacementScheduler, bus: FleetBus) -> Self {
        Self { desk, bus, links: Arc::default(), next_ticket: Arc::default() }
    }

    /// Links this host to the scheduler of each pool until `cancel`.
    pub async fn run(
        self,
        stack: NetStack,
        host: Name,
        peers: impl Fn(&str) -> SchedulePeers + Send + Sync + 'static,
        mut config: watch::Receiver<Option<Arc<RoutingConfig>>>,
        cancel: CancellationToken,
    ) {
        let peers: Arc<PeersFn> = Arc::new(peers);
        let mut keepers = JoinSet::new();
        loop {
            let known = config.borrow_and_update().clone();
            let services = known.iter().flat_map(|known| known.services.values());
            for service in services.filter(|service| service.engine.is_some()) {
                if self.link(&service.name).is_some() {
                    continue;
                }
                let link = SchedulerLink::of_pool(self.bus.clone());
                self.with_links(|links| links.insert(Name::clone(&service.name), link.clone()));
                let keeper = LinkKeeper {
                    link,
                    stack: stack.clone(),
                    duty: LinkDuty::pool(&host, &service.name),
                    peers: Arc::clone(&peers),
                };
                keepers.spawn(async move { keeper.run().await });
            }
            tokio::select! {
                changed = config.changed() => if changed.is_err() { return },
                // Dropping the keepers ends their links.
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

    /// Whether this host schedules a pool, as far as it knows.
    pub fn is_scheduler_for(&self, service: &str) -> bool {
        self.link(service).is_some_and(|link| link.schedules())
    }

    /// Whether this host schedules any pool, as far as it knows.
    pub fn is_any_scheduler(&self) -> bool {
        self.with_links(|links| links.values().any(SchedulerLink::schedules))
    }

    /// Hosts that share the pools, by the word of their schedulers or, where this host schedules, by
    /// its own count; `None` while there is no scheduler.
    pub fn host_count(&self) -> Option<usize> {
        let links = self.with_links(|links| links.clone());
        let count = |(service, link): (&Name, &SchedulerLink)| {
            if link.schedules() { Some(self.desk.hosts(service)) } else { link.hosts() }
        };
        links.iter().filter_map(count).max()
    }

    /// Tells the schedulers, or where this host schedules the hosts that it serves, some news.
    pub fn publish(&self, news: &FleetUpdate) {
        let links = self.with_links(|links| links.clone());
        let (own, others): (Vec<_>, Vec<_>) =
            links.into_values().partition(SchedulerLink::schedules);
        if !own.is_empty() {
            self.bus.spread(None, news);
        }
        for link in others {
            link.tell(self.bus.encode(news));
        }
    }

    /// Opens a ticket for a request.
    pub fn open_ticket(&self, service: &Name) -> PlacementTicket {
        let id = TicketId(self.next_ticket.fetch_add(1, Ordering::Relaxed) + 1);
        PlacementTicket {
            desk: self.desk.clone(),
            link: self.link(service),
            service: Name::clone(service),
            id,
            is_over: false,
        }
    }
}

/// A request that needs engines, from its first question to its end; dropping it takes it off
/// everywhere.
pub struct PlacementTicket {
    desk: PlacementScheduler,
    link: Option<SchedulerLink>,
    service: Name,
    id: TicketId,
    is_over: bool,
}

impl fmt::Debug for PlacementTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlacementTicket").field("id", &self.id).finish_non_exhaustive()
    }
}

impl PlacementTicket {
    /// Asks where the request runs, and waits as long as the decision says; `None` when its pool is
    /// not known.
    pub async fn request_placement(&self, request: &PlacementRequest) -> Option<PlacementDecision> {
        if let Some(link) = &self.link
            && let Some(decision) = link.ask(self.id.0, request).await
        {
            if let PlacementDecision::Place(placement) = &decision {
                let placement = placement.clone();
                link.hold(self.id.0, request, &placement, true);
                self.desk.adopt(self.id, &self.service, request, placement, None);
            }
            return Some(decision);
        }
        let decision = self.ask_own_desk(request).await?;
        if let PlacementDecision::Place(placement) = &decision
            && let Some(link) = &self.link
        {
            link.hold(self.id.0, request, placement, false);
        }
        Some(decision)
    }

    async fn ask_own_desk(&self, request: &PlacementRequest) -> Option<PlacementDecision> {
        let (sender, receiver) = oneshot::channel();
        let decide = move |decision| {
            // The request may be gone.
            let _taken = sender.send(decision);
        };
        match self.desk.submit(self.id, &self.service, request.clone(), decide)? {
            PlacementDecision::Wait => receiver.await.ok(),
            decision => Some(decision),
        }
    }

    /// Asks for another prefill engine; `None` when the decode engine should read the prompt.
    pub async fn request_prefill(&self, request: &PlacementRequest) -> Option<Name> {
        if let Some(link) = &self.link
            && let Some(prefill) = link.ask_prefill(self.id.0, request).await
        {
            return prefill;
        }
        self.desk.choose_prefill(self.id, request)
    }

    /// Tells what became of the request.
    pub fn record_event(&self, note: &PlacementEvent) {
        if let Some(link) = &self.link {
            link.note(self.id.0, note);
        }
        self.desk.record_event(self.id, note.clone());
    }

    /// Tells that the request is over, and how.
    pub fn record_ended(&mut self, end: StreamEnd) {
        if !self.is_over {
            self.is_over = true;
            self.record_event(&PlacementEvent::Ended(end));
        }
    }
}

impl Drop for PlacementTicket {
    fn drop(&mut self) {
        self.record_ended(StreamEnd { is_complete: false, event_gap: None });
    }
}
