//! Decisions for the calls of this host, by the service's scheduler or locally.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_calls::{CallDecision, CallOutcome, CallRequest, RejectCause};
use dillspool_io::NetStack;
use dillspool_moment::Moment;
use dillspool_schema::Name;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use crate::call_scheduler::CallScheduler;
use crate::call_wire::with_elapsed;
use crate::link::{CallReply, DECISION_TTL, LinkDuty, SchedulerLink};
use crate::link_manager::{LinkManager, PeersFn, SchedulePeers};
use crate::local_share::LocalShare;

/// Stale decisions on one call before this host decides by itself. Without this bound, a host that
/// is suspended again and again would ask until the caller's deadline.
const MAX_STALE_DECISIONS: usize = 3;

type CountFn = dyn Fn() -> Option<usize> + Send + Sync;

struct ClientState {
    scheduler: CallScheduler,
    links: Mutex<HashMap<Name, SchedulerLink>>,
    local_shares: Mutex<HashMap<Name, LocalShare>>,
    next_ticket: AtomicU64,
    /// Returns the number of hosts in the fleet. `None` until the client is run.
    count: Mutex<Option<Arc<CountFn>>>,
}

/// Requests decisions on the calls of plain services and reports how the calls ended.
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
    /// Creates a client that decides locally until [`CallClient::run`] finds schedulers.
    pub fn new(scheduler: CallScheduler) -> Self {
        let state = ClientState {
            scheduler,
            links: Mutex::default(),
            local_shares: Mutex::default(),
            next_ticket: AtomicU64::new(0),
            count: Mutex::default(),
        };
        Self { state: Arc::new(state) }
    }

    /// Links this host to the scheduler of each service for whose calls one host decides, until
    /// `cancel`. `count` returns the number of hosts in the fleet.
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
        let mut scheduled = self.state.scheduler.scheduled();
        let mut running: HashMap<Name, AbortHandle> = HashMap::new();
        let mut managers = JoinSet::new();
        loop {
            let wanted = scheduled.borrow_and_update().clone();
            // Aborting a manager closes its link.
            running.retain(|service, manager| {
                let is_wanted = wanted.contains(service);
                if !is_wanted {
                    manager.abort();
                }
                is_wanted
            });
            for service in wanted {
                let manager = LinkManager {
                    link: self.link(&service),
                    stack: stack.clone(),
                    duty: LinkDuty::calls(&host, &service),
                    peers: Arc::clone(&peers),
                };
                running
                    .entry(service)
                    .or_insert_with(|| managers.spawn(async move { manager.run().await }));
            }
            tokio::select! {
                changed = scheduled.changed() => if changed.is_err() { return },
                () = cancel.cancelled() => return,
            }
        }
    }

    /// Returns the link of a service, connected or not.
    fn link(&self, service: &Name) -> SchedulerLink {
        let mut links = self.state.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(Name::clone(service));
        link.or_insert_with(|| SchedulerLink::new(|_hosts| {})).clone()
    }

    /// Returns the share of the servers' limits that this host may use by itself.
    fn local_share(&self, service: &Name, link: &SchedulerLink) -> f64 {
        match self.host_count() {
            Some(hosts) if !link.is_scheduler() => {
                let now = self.state.scheduler.clock().now();
                self.with_local_share(service, |share| share.current(hosts, now))
            }
            // This host is the scheduler, or the number of hosts is unknown, or the client has not
            // been run.
            Some(_) | None => 1.0,
        }
    }

    fn host_count(&self) -> Option<usize> {
        let count = self.state.count.lock().unwrap_or_else(PoisonError::into_inner).clone();
        count.and_then(|count| count())
    }

    fn with_local_share<T>(&self, service: &Name, run: impl FnOnce(&mut LocalShare) -> T) -> T {
        let mut shares = self.state.local_shares.lock().unwrap_or_else(PoisonError::into_inner);
        run(shares.entry(Name::clone(service)).or_default())
    }

    /// Opens a ticket for a call.
    pub fn open_ticket(&self, service: &Name) -> CallTicket {
        let link = self.state.scheduler.is_scheduled(service).then(|| self.link(service));
        CallTicket {
            client: self.clone(),
            service: Name::clone(service),
            link,
            current: None,
            decided_at: Moment::default(),
            queued: false,
            is_local: false,
            waited: Duration::ZERO,
        }
    }
}

/// A call from its first request for a decision to its end. Dropping it removes the call from the
/// local and the remote scheduler.
///
/// Each request has its own ticket number, so that a late response is not taken for the response to
/// a newer request.
pub struct CallTicket {
    client: CallClient,
    service: Name,
    /// `None` where each host decides by itself.
    link: Option<SchedulerLink>,
    /// Ticket of the pending request, or of the decision in use.
    current: Option<u64>,
    decided_at: Moment,
    /// Whether the last request was queued.
    queued: bool,
    /// Whether this host decided on the last request by itself.
    is_local: bool,
    waited: Duration,
}

impl fmt::Debug for CallTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallTicket").field("current", &self.current).finish_non_exhaustive()
    }
}

impl CallTicket {
    /// Returns whether one host decides on the calls of the service.
    pub fn is_scheduled(&self) -> bool {
        self.link.is_some()
    }

    /// Requests a decision and waits as long as the call is queued; never returns
    /// [`CallDecision::Wait`]. `None` where each host decides by itself, or the service is not
    /// known.
    pub async fn request_decision(&mut self, request: &CallRequest) -> Option<CallDecision> {
        let link = self.link.clone()?;
        let clock = self.client.state.scheduler.clock().clone();
        let asked = clock.now();
        self.queued = false;
        let mut decided = None;
        for _attempt in 0..MAX_STALE_DECISIONS {
            if !link.is_linked() {
                break;
            }
            let ticket = self.begin();
            match link
                .request_call(ticket, &with_elapsed(request, clock.since(asked)), &clock)
                .await
            {
                CallReply::Decided { decision, queued } => {
                    self.queued = queued;
                    decided = Some(decision);
                    break;
                }
                CallReply::Stale => {
                    log::info!("event=call_decision_stale service={}", self.service);
                }
                CallReply::NoResponse => break,
            }
        }
        self.is_local = decided.is_none();
        if self.is_local {
            decided = self.decide_locally(&link, &with_elapsed(request, clock.since(asked))).await;
            if let (
                Some(CallDecision::Reject { cause: RejectCause::NoCapacity, .. }),
                Some(hosts),
            ) = (&decided, self.client.host_count())
            {
                self.client.with_local_share(&self.service, |share| {
                    share.record_rejection(hosts, clock.now());
                });
            }
        }
        self.decided_at = clock.now();
        self.waited = clock.since(asked);
        match (&decided, self.current) {
            (Some(CallDecision::Send { backend }), Some(ticket)) => {
                link.record_call(ticket, request, backend, &clock, self.is_local);
            }
            _ => self.current = None,
        }
        decided
    }

    async fn decide_locally(
        &mut self,
        link: &SchedulerLink,
        request: &CallRequest,
    ) -> Option<CallDecision> {
        let (scheduler, service) =
            (self.client.state.scheduler.clone(), Name::clone(&self.service));
        scheduler.set_local_share(&service, self.client.local_share(&service, link));
        for call in link.take_untracked_calls() {
            let id = CallScheduler::id_on_link(0, call.ticket);
            scheduler.adopt(id, &service, call.request, call.backend, call.ran);
        }
        let ticket = self.begin();
        let (sender, receiver) = oneshot::channel();
        let decide = move |decision| {
            // The receiver may have been dropped with the call.
            let _taken = sender.send(decision);
        };
        match scheduler.submit(
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

    /// Abandons the previous request and returns the ticket of a new one.
    fn begin(&mut self) -> u64 {
        self.complete(CallOutcome::Abandoned, Duration::ZERO);
        let ticket = self.client.state.next_ticket.fetch_add(1, Ordering::Relaxed) + 1;
        self.current = Some(ticket);
        ticket
    }

    /// Returns whether the decision is recent enough to be followed.
    pub fn is_fresh(&self) -> bool {
        self.client.state.scheduler.clock().since(self.decided_at) <= DECISION_TTL
    }

    /// Returns the time from the last request to its decision, if the call was queued.
    pub fn queue_time(&self) -> Option<Duration> {
        self.queued.then_some(self.waited)
    }

    /// Reports how the call ended, `took` after it was sent.
    pub fn complete(&mut self, end: CallOutcome, took: Duration) {
        let (Some(ticket), Some(link)) = (self.current.take(), &self.link) else { return };
        if self.is_local && end == CallOutcome::NotRun {
            let now = self.client.state.scheduler.clock().now();
            self.client.with_local_share(&self.service, |share| share.record_refusal(now));
        }
        link.complete_call(ticket, end, took);
        self.client.state.scheduler.complete(CallScheduler::id_on_link(0, ticket), end, took);
    }
}

impl Drop for CallTicket {
    fn drop(&mut self) {
        self.complete(CallOutcome::Abandoned, Duration::ZERO);
    }
}
