//! Decisions for the calls of this host: by the host that decides for all, or by itself.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_calls::{CallDecision, CallOutcome, CallRequest};
use dillspool_io::NetStack;
use dillspool_moment::Moment;
use dillspool_schema::Name;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use crate::call_desk::CallScheduler;
use crate::call_wire::later;
use crate::keeper::{LinkKeeper, PeersFn, SchedulePeers};
use crate::link::{CallReply, FRESH_FOR, LinkDuty, SchedulerLink};

/// Questions about one call that may be answered too late to be followed before this host decides by itself: one
/// that is stopped again and again would else ask until its caller's time is over.
const MOST_STALE: usize = 3;
/// Part of the servers' limits that hosts use together while each decides by itself, as a factor: callers are not
/// spread evenly over the hosts.
const ALONE_FACTOR: f64 = 2.0;

type CountFn = dyn Fn() -> Option<usize> + Send + Sync;

struct ClientState {
    desk: CallScheduler,
    links: Mutex<HashMap<Name, SchedulerLink>>,
    next_ticket: AtomicU64,
    /// Hosts of the fleet; `None` while hosts do not ask each other.
    count: Mutex<Option<Arc<CountFn>>>,
}

/// Asks where the calls of plain services go, and tells what became of them.
#[derive(Clone)]
pub struct CallClient {
    state: Arc<ClientState>,
}

impl fmt::Debug for CallClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallClient")
    }
}

impl CallClient {
    /// A client that decides by its own desk until [`CallClient::run`] finds deciding hosts.
    pub fn new(desk: CallScheduler) -> Self {
        let state = ClientState {
            desk,
            links: Mutex::default(),
            next_ticket: AtomicU64::new(0),
            count: Mutex::default(),
        };
        Self { state: Arc::new(state) }
    }

    /// Links this host to the deciding host of each service, for as long as one host decides on its calls, until
    /// `cancel`. `count` tells the hosts of the fleet.
    pub async fn run(
        self,
        stack: NetStack,
        host: Name,
        peers: impl Fn(&str) -> SchedulePeers + Send + Sync + 'static,
        count: impl Fn() -> Option<usize> + Send + Sync + 'static,
        cancel: CancellationToken,
    ) {
        let peers: Arc<PeersFn> = Arc::new(peers);
        *self.state.count.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::new(count));
        let mut scheduled = self.state.desk.scheduled();
        let mut running: HashMap<Name, AbortHandle> = HashMap::new();
        let mut keepers = JoinSet::new();
        loop {
            let wanted = scheduled.borrow_and_update().clone();
            // Ending a keeper ends its link.
            running.retain(|service, keeper| {
                let is_wanted = wanted.contains(service);
                if !is_wanted {
                    keeper.abort();
                }
                is_wanted
            });
            for service in wanted {
                let keeper = LinkKeeper {
                    link: self.link(&service),
                    stack: stack.clone(),
                    duty: LinkDuty::calls(&host, &service),
                    peers: Arc::clone(&peers),
                };
                running
                    .entry(service)
                    .or_insert_with(|| keepers.spawn(async move { keeper.run().await }));
            }
            tokio::select! {
                changed = scheduled.changed() => if changed.is_err() { return },
                () = cancel.cancelled() => return,
            }
        }
    }

    /// The link of a service whose calls one host decides on.
    fn link(&self, service: &Name) -> SchedulerLink {
        let mut links = self.state.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(Name::clone(service));
        link.or_insert_with(|| SchedulerLink::new(|_hosts| {})).clone()
    }

    /// Part of the servers' limits that this host may use by itself.
    fn own_share(&self, link: &SchedulerLink) -> f64 {
        let count = self.state.count.lock().unwrap_or_else(PoisonError::into_inner).clone();
        match count.map(|count| count()) {
            Some(Some(hosts)) if !link.schedules() => {
                let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
                (ALONE_FACTOR / f64::from(hosts.max(1))).min(1.0)
            }
            // This host decides for all, or hosts do not ask each other, or nothing is known of others yet.
            Some(Some(_) | None) | None => 1.0,
        }
    }

    /// Opens a ticket for a call.
    pub fn open_ticket(&self, service: &Name) -> CallTicket {
        let link = self.state.desk.is_scheduled(service).then(|| self.link(service));
        CallTicket {
            client: self.clone(),
            service: Name::clone(service),
            link,
            current: None,
            decided_at: Moment::default(),
            queued: false,
            waited: Duration::ZERO,
        }
    }
}

/// A call from its first question to its end; dropping it takes it off everywhere.
///
/// Each question has a number of its own, so that an answer which comes late is not taken for that to a later one.
pub struct CallTicket {
    client: CallClient,
    service: Name,
    /// `None` where each host decides by itself.
    link: Option<SchedulerLink>,
    /// The question under way, or the decision that is followed.
    current: Option<u64>,
    decided_at: Moment,
    /// Whether the last question waited in a queue.
    queued: bool,
    waited: Duration,
}

impl fmt::Debug for CallTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallTicket").field("current", &self.current).finish_non_exhaustive()
    }
}

impl CallTicket {
    /// Whether one host decides on the calls of the service for all.
    pub fn is_scheduled(&self) -> bool {
        self.link.is_some()
    }

    /// Asks where the call goes, and waits as long as it has to; never [`CallDecision::Wait`]. `None` where each
    /// host decides by itself, or the service is not known.
    pub async fn request_decision(&mut self, request: &CallRequest) -> Option<CallDecision> {
        let link = self.link.clone()?;
        let clock = self.client.state.desk.clock().clone();
        let asked = clock.now();
        self.queued = false;
        let mut decided = None;
        for _question in 0..MOST_STALE {
            if !link.is_linked() {
                break;
            }
            let ticket = self.begin();
            match link.ask_call(ticket, &later(request, clock.since(asked)), &clock).await {
                CallReply::Decided { decision, queued } => {
                    self.queued = queued;
                    decided = Some(decision);
                    break;
                }
                CallReply::Stale => {
                    log::info!("event=call_decision_stale service={}", self.service);
                }
                CallReply::Silent => break,
            }
        }
        let is_own = decided.is_none();
        if is_own {
            decided = self.ask_own_desk(&link, &later(request, clock.since(asked))).await;
        }
        self.decided_at = clock.now();
        self.waited = clock.since(asked);
        match (&decided, self.current) {
            (Some(CallDecision::Send { backend }), Some(ticket)) => {
                link.hold_call(ticket, request, backend, &clock, is_own);
            }
            _ => self.current = None,
        }
        decided
    }

    async fn ask_own_desk(
        &mut self,
        link: &SchedulerLink,
        request: &CallRequest,
    ) -> Option<CallDecision> {
        let (desk, service) = (self.client.state.desk.clone(), Name::clone(&self.service));
        desk.set_own_share(&service, self.client.own_share(link));
        for call in link.count_calls() {
            let id = CallScheduler::id_on_link(0, call.ticket);
            desk.adopt(id, &service, call.request, call.backend, call.ran);
        }
        let ticket = self.begin();
        let (sender, receiver) = oneshot::channel();
        let decide = move |decision| {
            // The call may be gone.
            let _taken = sender.send(decision);
        };
        match desk.submit(
            CallScheduler::id_on_link(0, ticket),
            &service,
            request.clone(),
            decide,
        )? {
            CallDecision::Wait => {
                self.queued = true;
                receiver.await.ok()
            }
            decision => Some(decision),
        }
    }

    /// The number of a new question; the one before is over.
    fn begin(&mut self) -> u64 {
        self.complete(CallOutcome::Abandoned, Duration::ZERO);
        let ticket = self.client.state.next_ticket.fetch_add(1, Ordering::Relaxed) + 1;
        self.current = Some(ticket);
        ticket
    }

    /// Whether the decision is recent enough to be followed.
    pub fn is_fresh(&self) -> bool {
        self.client.state.desk.clock().since(self.decided_at) <= FRESH_FOR
    }

    /// Time from the last question to its decision, if the call waited in a queue.
    pub fn queue_time(&self) -> Option<Duration> {
        self.queued.then_some(self.waited)
    }

    /// Tells how the call ended, `took` after it was sent.
    pub fn complete(&mut self, end: CallOutcome, took: Duration) {
        let (Some(ticket), Some(link)) = (self.current.take(), &self.link) else { return };
        link.end_call(ticket, end, took);
        self.client.state.desk.complete(CallScheduler::id_on_link(0, ticket), end, took);
    }
}

impl Drop for CallTicket {
    fn drop(&mut self) {
        self.complete(CallOutcome::Abandoned, Duration::ZERO);
    }
}
