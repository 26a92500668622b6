//! Asks whether a workspace's limit has room for a request, wherever it is counted.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::NetStack;
use dillspool_limits::{OwnParts, SpendDecision, SpendRequest};
use dillspool_moment::Moment;
use dillspool_routing::{RoutingConfig, WorkspaceTable};
use dillspool_schema::Name;
use dillspool_schema::schedule::ScheduleDuty;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::keeper::{LinkKeeper, PeersFn, SchedulePeers};
use crate::limit_desk::{JoinedGuard, LimitDesk, LimitShare, share_name};
use crate::link::{LinkDuty, SchedulerLink};

/// Pause before a holder is looked for again while there is none: its successor is linked within
/// some hundred milliseconds.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// This host's part in one share.
struct ShareState {
    share: LimitShare,
    link: SchedulerLink,
    /// What it spends without a holder.
    parts: Arc<Mutex<OwnParts>>,
    /// Set while this host counts the limits itself.
    own: Mutex<Option<JoinedGuard>>,
}

impl ShareState {
    fn new(share: LimitShare, desk: &LimitDesk) -> Self {
        let parts = Arc::new(Mutex::new(OwnParts::new(desk.now())));
        let (noted, told) = (Arc::clone(&parts), desk.clone());
        let link = SchedulerLink::new(move |hosts| {
            told.note_hosts(share, hosts);
            let mut parts = noted.lock().unwrap_or_else(PoisonError::into_inner);
            parts.note_word(hosts, told.now());
        });
        Self { share, link, parts, own: Mutex::default() }
    }

    /// Decides by this host's own part.
    fn spend_own(&self, request: &SpendRequest, now: Moment) -> Option<SpendDecision> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner).spend(request, now)
    }

    /// Notes whether this host counts the limits itself.
    fn set_holds(&self, holds: bool, desk: &LimitDesk) {
        let mut own = self.own.lock().unwrap_or_else(PoisonError::into_inner);
        if !holds {
            *own = None;
        } else if own.is_none() {
            *own = Some(desk.join(self.share, None));
        }
    }
}

/// An amount that was granted. It counts as used unless it is given back.
#[derive(Debug)]
pub struct SpentAmount {
    client: LimitClient,
    workspace: Name,
    amount: f64,
}

impl SpentAmount {
    /// Gives the amount back, for a request that did not run.
    pub fn give_back(self) {
        self.client.give_back(&self.workspace, self.amount);
    }
}

/// Asks the holders of limits.
#[derive(Clone)]
pub struct LimitClient {
    desk: LimitDesk,
    shares: Arc<Vec<ShareState>>,
    next_ticket: Arc<AtomicU64>,
    /// Hosts that could hold a share.
    peers: Arc<Mutex<Option<Arc<PeersFn>>>>,
}

impl fmt::Debug for LimitClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LimitClient")
    }
}

impl LimitClient {
    /// A client that counts alone until [`LimitClient::run`] finds holders.
    pub fn new(desk: LimitDesk) -> Self {
        let shares = desk.shares().map(|share| ShareState::new(share, &desk)).collect();
        Self { desk, shares: Arc::new(shares), next_ticket: Arc::default(), peers: Arc::default() }
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
        let peers: Arc<PeersFn> = Arc::new(peers);
        *self.peers.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&peers));
        let limited = config.wait_for(|config| config.as_deref().is_some_and(has_limits));
        tokio::select! {
            known = limited => if known.is_err() { return },
            () = cancel.cancelled() => return,
        }
        let mut keepers = JoinSet::new();
        for state in self.shares.iter() {
            let (desk, share) = (self.desk.clone(), state.share);
            let duty = LinkDuty {
                duty: ScheduleDuty::Limits,
                host: Name::clone(&host),
                service: share_name(share),
                told: Arc::new(move || desk.standing(share)),
            };
            let (link, stack) = (state.link.clone(), stack.clone());
            let keeper = LinkKeeper { link, stack, duty, peers: Arc::clone(&peers) };
            keepers.spawn(async move { keeper.run().await });
        }
        // Dropping the keepers ends their links.
        cancel.cancelled().await;
    }

    /// Asks whether a limit has room for a request, and waits for a holder for up to `patience`;
    /// `None` when that cannot be told.
    pub async fn spend(&self, request: &SpendRequest, patience: Duration) -> Option<SpendDecision> {
        let state = &self.shares[self.desk.share_of(&request.workspace).index()];
        let until = Instant::now() + patience;
        loop {
            if state.link.is_linked() {
                state.set_holds(false, &self.desk);
                let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed) + 1;
                if let Some(decision) = state.link.spend(ticket, request).await {
                    return Some(decision);
                }
            } else if self.holds(state) {
                return Some(self.desk.spend(state.share, request));
            }
            if Instant::now() >= until {
                let decision = state.spend_own(request, self.desk.now());
                log::info!(
                    "event=limit_without_holder workspace={} amount={} decision={decision:?}",
                    request.workspace,
                    request.amount,
                );
                return decision;
            }
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// Whether this host counts the share itself: no better one answers, or there is no other.
    fn holds(&self, state: &ShareState) -> bool {
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let Some(peers) = peers else {
            // Hosts do not ask each other here.
            state.set_holds(true, &self.desk);
            self.desk.note_hosts(state.share, 1);
            return true;
        };
        let holds = state.link.schedules();
        state.set_holds(holds, &self.desk);
        if holds {
            // The rows name some of the others that this host may not have heard of.
            self.desk.note_hosts(state.share, peers(&share_name(state.share)).ranked.len());
        }
        holds
    }

    /// What gives the amount of a granted request back, should the request not run.
    pub fn spent(&self, request: &SpendRequest) -> SpentAmount {
        let (workspace, amount) = (Name::clone(&request.workspace), request.amount);
        SpentAmount { client: self.clone(), workspace, amount }
    }

    fn give_back(&self, workspace: &Name, amount: f64) {
        let state = &self.shares[self.desk.share_of(workspace).index()];
        if state.link.is_linked() {
            state.link.give_back(workspace, amount);
        } else {
            self.desk.give_back(state.share, workspace, amount);
        }
    }
}

/// Whether a configuration limits any workspace.
fn has_limits(config: &RoutingConfig) -> bool {
    let workspaces = config.workspaces.iter().flat_map(WorkspaceTable::iter);
    workspaces.into_iter().any(|workspace| workspace.limit.is_some())
}
