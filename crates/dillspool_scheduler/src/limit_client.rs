//! Spends from rate limits, at the holder of the limit or locally.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::NetStack;
use dillspool_limits::{LocalQuota, SpendDecision, SpendRequest};
use dillspool_routing::{RoutingConfig, WorkspaceTable};
use dillspool_schema::Name;
use dillspool_schema::schedule::ScheduleDuty;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::link::{LinkDuty, SchedulerLink};
use crate::link_manager::{LinkManager, PeersFn, SchedulePeers};
use crate::rate_limiter::{JoinedGuard, LimitShare, RateLimiter, share_name};

/// Interval between checks for a holder while there is none; a successor is linked within some
/// hundred milliseconds.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between updates of the number of listed hosts, which falls once some are gone.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// This host's state for one share.
struct ShareState {
    share: LimitShare,
    link: SchedulerLink,
    /// Quota that this host spends while there is no holder.
    quota: Arc<Mutex<LocalQuota>>,
    /// Set while this host is the holder.
    local_guard: Mutex<Option<JoinedGuard>>,
    /// Notified once this host knows of a limit in the share.
    needed: Notify,
}

impl ShareState {
    fn new(share: LimitShare, limiter: &RateLimiter) -> Self {
        let quota = Arc::new(Mutex::new(limiter.local_quota()));
        let (shared_quota, shared_limiter) = (Arc::clone(&quota), limiter.clone());
        let link = SchedulerLink::new(move |hosts| {
            shared_limiter.record_host_count(share, hosts);
            let mut quota = shared_quota.lock().unwrap_or_else(PoisonError::into_inner);
            quota.record_heartbeat(hosts, shared_limiter.now());
        });
        Self { share, link, quota, local_guard: Mutex::default(), needed: Notify::new() }
    }

    /// Records whether this host is the holder.
    fn set_is_holder(&self, is_holder: bool, limiter: &RateLimiter) {
        let mut guard = self.local_guard.lock().unwrap_or_else(PoisonError::into_inner);
        if !is_holder {
            *guard = None;
        } else if guard.is_none() {
            // Grants of an earlier holder are not known here, so this host starts with empty
            // balances, like a holder that other hosts begin to ask.
            let quota = self.quota.lock().unwrap_or_else(PoisonError::into_inner);
            let known_hosts = quota.known_hosts(limiter.now());
            drop(quota);
            *guard = Some(limiter.join(self.share, known_hosts));
        }
    }
}

/// A granted amount. It counts as used unless it is refunded.
#[derive(Debug)]
pub struct SpendGrant {
    client: LimitClient,
    subject: Name,
    amount: f64,
}

impl SpendGrant {
    /// Refunds the amount for a request that did not run.
    pub fn refund(self) {
        self.client.refund(&self.subject, self.amount);
    }
}

/// Requests grants from the holders of limits.
#[derive(Clone)]
pub struct LimitClient {
    limiter: RateLimiter,
    shares: Arc<Vec<ShareState>>,
    next_ticket: Arc<AtomicU64>,
    /// `None` until the client is run; it counts alone until then.
    fleet: Arc<Mutex<Option<FleetView>>>,
}

/// The other hosts, as this host sees them.
#[derive(Clone)]
struct FleetView {
    /// Returns the hosts that can hold a share.
    peers: Arc<PeersFn>,
    /// Returns the number of hosts that share the limits; `None` if unknown.
    count: Arc<dyn Fn() -> Option<usize> + Send + Sync>,
}

impl FleetView {
    /// Returns the number of hosts that may share a limit although they have not sent anything to
    /// this host.
    fn listed_hosts(&self, share: LimitShare) -> usize {
        let candidates = (self.peers)(&share_name(share)).ranked.len();
        candidates.max((self.count)().unwrap_or_default())
    }
}

impl fmt::Debug for LimitClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LimitClient")
    }
}

impl LimitClient {
    /// Creates a client that counts alone until it is run.
    pub fn new(limiter: RateLimiter) -> Self {
        let shares = limiter.shares().map(|share| ShareState::new(share, &limiter)).collect();
        Self {
            limiter,
            shares: Arc::new(shares),
            next_ticket: Arc::default(),
            fleet: Arc::default(),
        }
    }

    /// Links this host to the holder of each share until `cancel`, starting with the first
    /// configuration that limits a workspace.
    pub async fn run(
        self,
        stack: NetStack,
        host: Name,
        peers: impl Fn(&str) -> SchedulePeers + Send + Sync + 'static,
        mut config: watch::Receiver<Option<Arc<RoutingConfig>>>,
        cancel: CancellationToken,
    ) {
        let client = self.clone();
        let await_limits = async move {
            let limited = config.wait_for(|config| config.as_deref().is_some_and(has_limits));
            if limited.await.is_ok() {
                client.shares.iter().for_each(|state| state.needed.notify_one());
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = await_limits => {}
            () = self.run_on_demand(stack, host, peers, || None, cancel) => {}
        }
    }

    /// Links this host to the holder of each share until `cancel`, once a limit in the share is
    /// needed. `count` returns the number of hosts that share the limits.
    pub async fn run_on_demand(
        self,
        stack: NetStack,
        host: Name,
        peers: impl Fn(&str) -> SchedulePeers + Send + Sync + 'static,
        count: impl Fn() -> Option<usize> + Send + Sync + 'static,
        cancel: CancellationToken,
    ) {
        let view = FleetView { peers: Arc::new(peers), count: Arc::new(count) };
        *self.fleet.lock().unwrap_or_else(PoisonError::into_inner) = Some(view.clone());
        let mut managers = JoinSet::new();
        for index in 0..self.shares.len() {
            let manager = self.manager(index, &stack, &host, &view);
            let shares = Arc::clone(&self.shares);
            managers.spawn(async move {
                shares[index].needed.notified().await;
                manager.run().await;
            });
        }
        // Dropping the managers closes their links.
        tokio::select! {
            () = self.update_listed_hosts(&view) => {}
            () = cancel.cancelled() => {}
        }
    }

    /// Keeps the number of listed hosts up to date for shares that only other hosts ask; never
    /// returns.
    async fn update_listed_hosts(&self, view: &FleetView) {
        loop {
            tokio::time::sleep(LIST_INTERVAL).await;
            for state in self.shares.iter() {
                self.limiter.update_listed_hosts(state.share, view.listed_hosts(state.share));
            }
        }
    }

    fn manager(
        &self,
        index: usize,
        stack: &NetStack,
        host: &Name,
        view: &FleetView,
    ) -> LinkManager {
        let state = &self.shares[index];
        let (limiter, share, count) = (self.limiter.clone(), state.share, Arc::clone(&view.count));
        let duty = LinkDuty {
            duty: ScheduleDuty::Limits,
            host: Name::clone(host),
            service: share_name(share),
            host_count: Arc::new(move || {
                limiter.known_hosts(share).max(count().unwrap_or_default())
            }),
        };
        let (link, stack) = (state.link.clone(), stack.clone());
        LinkManager { link, stack, duty, peers: Arc::clone(&view.peers) }
    }

    /// Starts to link this host to the holder of a subject's limit, if it is not linked yet.
    pub fn ensure_link(&self, subject: &str) {
        self.state_of(subject).needed.notify_one();
    }

    fn state_of(&self, subject: &str) -> &ShareState {
        &self.shares[self.limiter.share_of(subject).index]
    }

    /// Requests an amount from a limit, and waits for a holder for up to `max_wait`. `None` if
    /// there is no decision.
    pub async fn spend(&self, request: &SpendRequest, max_wait: Duration) -> Option<SpendDecision> {
        let state = self.state_of(&request.subject);
        let deadline = Instant::now() + max_wait;
        loop {
            if state.link.is_linked() {
                state.set_is_holder(false, &self.limiter);
                let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed) + 1;
                let now = self.limiter.now();
                if let Some(decision) = state.link.spend(ticket, request, now).await {
                    return Some(decision);
                }
            } else if self.update_is_holder(state) {
                return Some(self.limiter.spend(state.share, request));
            }
            if Instant::now() >= deadline {
                let decision = self.spend_locally(state, request);
                log::info!(
                    "event=limit_without_holder subject=\"{}\" amount={} decision={decision:?}",
                    request.subject,
                    request.amount,
                );
                return decision;
            }
            tokio::time::sleep(HOLDER_POLL_INTERVAL).await;
        }
    }

    /// Updates and returns whether this host is the holder of a share. It is if no better-ranked
    /// host answers, or if the client counts alone.
    fn update_is_holder(&self, state: &ShareState) -> bool {
        let fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let Some(view) = fleet else {
            // This client counts alone.
            state.set_is_holder(true, &self.limiter);
            self.limiter.record_host_count(state.share, 1);
            return true;
        };
        let is_holder = state.link.is_scheduler();
        state.set_is_holder(is_holder, &self.limiter);
        if is_holder {
            self.limiter.set_listed_hosts(state.share, view.listed_hosts(state.share));
        }
        is_holder
    }

    /// Spends from this host's own quota.
    fn spend_locally(&self, state: &ShareState, request: &SpendRequest) -> Option<SpendDecision> {
        let fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let listed = fleet.map(|view| view.listed_hosts(state.share));
        let mut quota = state.quota.lock().unwrap_or_else(PoisonError::into_inner);
        quota.set_listed_hosts(listed.unwrap_or_default());
        quota.spend(request, self.limiter.now())
    }

    /// Returns whether this host holds a share, as far as it knows.
    pub fn is_holder(&self) -> bool {
        self.shares.iter().any(|state| state.link.is_scheduler() && !state.link.is_linked())
    }

    /// Returns the grant of an allowed request, to be refunded if the request does not run.
    pub fn grant(&self, request: &SpendRequest) -> SpendGrant {
        let (subject, amount) = (Name::clone(&request.subject), request.amount);
        SpendGrant { client: self.clone(), subject, amount }
    }

    /// Returns the number of requests without a response from their holder.
    pub fn pending_requests(&self) -> usize {
        self.shares.iter().map(|state| state.link.pending_requests()).sum()
    }

    fn refund(&self, subject: &Name, amount: f64) {
        let state = self.state_of(subject);
        if state.link.is_linked() {
            state.link.refund(subject, amount);
        } else {
            self.limiter.refund(state.share, subject, amount);
        }
    }
}

/// Returns whether a configuration limits any workspace.
fn has_limits(config: &RoutingConfig) -> bool {
    let workspaces = config.workspaces.iter().flat_map(WorkspaceTable::iter);
    workspaces.into_iter().any(|workspace| workspace.limit.is_some())
}
