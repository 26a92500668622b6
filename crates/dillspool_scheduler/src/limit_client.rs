//! Asks whether a limit has room for a request, wherever it is counted.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::NetStack;
use dillspool_limits::{LocalQuota, SpendDecision, SpendRequest};
use dillspool_moment::Moment;
use dillspool_routing::{RoutingConfig, WorkspaceTable};
use dillspool_schema::Name;
use dillspool_schema::schedule::ScheduleDuty;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::keeper::{LinkKeeper, PeersFn, SchedulePeers};
use crate::limit_desk::{JoinedGuard, LimitShare, RateLimiter, share_name};
use crate::link::{LinkDuty, SchedulerLink};

/// Pause before a holder is looked for again while there is none: its successor is linked within
/// some hundred milliseconds.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// This host's part in one share.
struct ShareState {
    share: LimitShare,
    link: SchedulerLink,
    /// What it spends without a holder.
    parts: Arc<Mutex<LocalQuota>>,
    /// Set while this host counts the limits itself.
    own: Mutex<Option<JoinedGuard>>,
    /// Notified once the share has a limit that this host knows of.
    wanted: Notify,
}

impl ShareState {
    fn new(share: LimitShare, desk: &RateLimiter) -> Self {
        let parts = Arc::new(Mutex::new(desk.own_parts()));
        let (noted, told) = (Arc::clone(&parts), desk.clone());
        let link = SchedulerLink::new(move |hosts| {
            told.note_hosts(share, hosts);
            let mut parts = noted.lock().unwrap_or_else(PoisonError::into_inner);
            parts.record_heartbeat(hosts, told.now());
        });
        Self { share, link, parts, own: Mutex::default(), wanted: Notify::new() }
    }

    /// Decides by this host's own part.
    fn spend_own(&self, request: &SpendRequest, now: Moment) -> Option<SpendDecision> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner).spend(request, now)
    }

    /// Notes whether this host counts the limits itself.
    fn set_holds(&self, holds: bool, desk: &RateLimiter) {
        let mut own = self.own.lock().unwrap_or_else(PoisonError::into_inner);
        if !holds {
            *own = None;
        } else if own.is_none() {
            // Where another host has counted, what it granted is not known here: this one begins with nothing, as
            // a holder does that others are told to ask.
            let parts = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
            let told = parts.known_hosts(desk.now());
            drop(parts);
            *own = Some(desk.join(self.share, told));
        }
    }
}

/// An amount that was granted. It counts as used unless it is given back.
#[derive(Debug)]
pub struct SpendGrant {
    client: LimitClient,
    subject: Name,
    amount: f64,
}

impl SpendGrant {
    /// Gives the amount back, for a request that did not run.
    pub fn refund(self) {
        self.client.give_back(&self.subject, self.amount);
    }
}

/// Asks the holders of limits.
#[derive(Clone)]
pub struct LimitClient {
    desk: RateLimiter,
    shares: Arc<Vec<ShareState>>,
    next_ticket: Arc<AtomicU64>,
    /// The other hosts; `None` while hosts do not ask each other.
    fleet: Arc<Mutex<Option<FleetView>>>,
}

/// The other hosts, as this one sees them.
#[derive(Clone)]
struct FleetView {
    /// Hosts that could hold a share.
    peers: Arc<PeersFn>,
    /// How many share the limits; `None` where that is not known.
    count: Arc<dyn Fn() -> Option<usize> + Send + Sync>,
}

impl fmt::Debug for LimitClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LimitClient")
    }
}

impl LimitClient {
    /// A client that counts alone until it is run.
    pub fn new(desk: RateLimiter) -> Self {
        let shares = desk.shares().map(|share| ShareState::new(share, &desk)).collect();
        Self { desk, shares: Arc::new(shares), next_ticket: Arc::default(), fleet: Arc::default() }
    }

    /// Links this host to the holder of each share until `cancel`, from the first configuration on
    /// that limits a workspace.
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
                client.shares.iter().for_each(|state| state.wanted.notify_one());
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = await_limits => {}
            () = self.run_on_demand(stack, host, peers, || None, cancel) => {}
        }
    }

    /// Links this host to the holder of each share until `cancel`, once a limit of it is wanted. `count` tells
    /// how many hosts share the limits.
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
        let mut keepers = JoinSet::new();
        for index in 0..self.shares.len() {
            let keeper = self.keeper(index, &stack, &host, &view);
            let shares = Arc::clone(&self.shares);
            keepers.spawn(async move {
                shares[index].wanted.notified().await;
                keeper.run().await;
            });
        }
        // Dropping the keepers ends their links.
        cancel.cancelled().await;
    }

    fn keeper(&self, index: usize, stack: &NetStack, host: &Name, view: &FleetView) -> LinkKeeper {
        let state = &self.shares[index];
        let (desk, share, count) = (self.desk.clone(), state.share, Arc::clone(&view.count));
        let duty = LinkDuty {
            duty: ScheduleDuty::Limits,
            host: Name::clone(host),
            service: share_name(share),
            told: Arc::new(move || desk.standing(share).max(count().unwrap_or_default())),
        };
        let (link, stack) = (state.link.clone(), stack.clone());
        LinkKeeper { link, stack, duty, peers: Arc::clone(&view.peers) }
    }

    /// Links this host to the holder of a subject's limit from now on.
    pub fn ensure_link(&self, subject: &str) {
        self.state_of(subject).wanted.notify_one();
    }

    fn state_of(&self, subject: &str) -> &ShareState {
        &self.shares[self.desk.share_of(subject).index]
    }

    /// Asks whether a limit has room for a request, and waits for a holder for up to `patience`;
    /// `None` when that cannot be told.
    pub async fn spend(&self, request: &SpendRequest, patience: Duration) -> Option<SpendDecision> {
        let state = self.state_of(&request.subject);
        let until = Instant::now() + patience;
        loop {
            if state.link.is_linked() {
                state.set_holds(false, &self.desk);
                let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed) + 1;
                let now = self.desk.now();
                if let Some(decision) = state.link.spend(ticket, request, now).await {
                    return Some(decision);
                }
            } else if self.holds(state) {
                return Some(self.desk.spend(state.share, request));
            }
            if Instant::now() >= until {
                let decision = state.spend_own(request, self.desk.now());
                log::info!(
                    "event=limit_without_holder subject=\"{}\" amount={} decision={decision:?}",
                    request.subject,
                    request.amount,
                );
                return decision;
            }
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// Whether this host counts the share itself: no better one answers, or there is no other.
    fn holds(&self, state: &ShareState) -> bool {
        let fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let Some(FleetView { peers, count }) = fleet else {
            // Hosts do not ask each other here.
            state.set_holds(true, &self.desk);
            self.desk.note_hosts(state.share, 1);
            return true;
        };
        let holds = state.link.schedules();
        state.set_holds(holds, &self.desk);
        if holds {
            // The rows name some of the others that this host may not have heard of.
            let listed = peers(&share_name(state.share)).ranked.len();
            self.desk.note_hosts(state.share, listed.max(count().unwrap_or_default()));
        }
        holds
    }

    /// What gives the amount of a granted request back, should the request not run.
    pub fn grant(&self, request: &SpendRequest) -> SpendGrant {
        let (subject, amount) = (Name::clone(&request.subject), request.amount);
        SpendGrant { client: self.clone(), subject, amount }
    }

    /// Questions to holders that wait for an answer.
    pub fn pending_requests(&self) -> usize {
        self.shares.iter().map(|state| state.link.open_questions()).sum()
    }

    fn give_back(&self, subject: &Name, amount: f64) {
        let state = self.state_of(subject);
        if state.link.is_linked() {
            state.link.give_back(subject, amount);
        } else {
            self.desk.give_back(state.share, subject, amount);
        }
    }
}

/// Whether a configuration limits any workspace.
fn has_limits(config: &RoutingConfig) -> bool {
    let workspaces = config.workspaces.iter().flat_map(WorkspaceTable::iter);
    workspaces.into_iter().any(|workspace| workspace.limit.is_some())
}
