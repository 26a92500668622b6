//! Keeps this host linked to the best scheduler that answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::NetStack;
use tokio::time::Instant;

use crate::link::{LinkDuty, OpenedLink, SchedulerLink, open_link};

/// Timeout for opening a link: some round trips between failure domains. It does not cover a lost
/// packet, whose retransmission takes a second.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a host whose link has just closed. A live host accepts a new link within some round
/// trips; one that was switched off must not delay the search for another scheduler.
const REOPEN_TIMEOUT: Duration = Duration::from_millis(40);
/// Pause between two searches for a scheduler.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between attempts to return to a better-ranked scheduler than the linked one.
const FAILBACK_INTERVAL: Duration = Duration::from_secs(2);

/// The hosts that can act as scheduler, as this host sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SchedulePeers {
    /// Address of this host's own schedule listener.
    pub own_address: Option<SocketAddr>,
    /// Addresses of the candidates, best first. Contains this host's address once its row is known.
    pub ranked: Vec<SocketAddr>,
}

/// Returns the candidates for a service, or for a share of the limits.
pub(crate) type PeersFn = dyn Fn(&str) -> SchedulePeers + Send + Sync;

/// Keeps a [`SchedulerLink`] connected to the best host that answers.
pub(crate) struct LinkManager {
    pub(crate) link: SchedulerLink,
    pub(crate) stack: NetStack,
    pub(crate) duty: LinkDuty,
    pub(crate) peers: Arc<PeersFn>,
}

impl LinkManager {
    /// Connects to one scheduler after another; never returns.
    pub(crate) async fn run(&self) {
        let mut lost = None;
        loop {
            let mut next = self.open_best(None, lost.take()).await;
            self.link.set_is_scheduler(next.is_none() && self.is_listed());
            while let Some((address, opened)) = next.take() {
                let linked = Instant::now();
                log::info!("event=scheduler_linked service={} peer={address}", self.duty.service);
                next = tokio::select! {
                    ended = self.link.run(opened) => {
                        let cause = ended.err().map(|error| error.to_string()).unwrap_or_default();
                        log::info!(
                            "event=scheduler_lost service={} peer={address} cause=\"{cause}\"",
                            self.duty.service,
                        );
                        // A link that closes at once must not be reopened without a pause.
                        lost = (linked.elapsed() >= RETRY_INTERVAL).then_some(address);
                        None
                    }
                    better = self.wait_for_better(address) => better,
                };
            }
            if lost.is_none() {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }

    /// Returns whether this host is among the candidates.
    fn is_listed(&self) -> bool {
        let peers = (self.peers)(&self.duty.service);
        peers.own_address.is_some_and(|own| peers.ranked.contains(&own))
    }

    /// Opens a link to the best candidate that accepts it, of those ranked before `up_to`. `None`
    /// if this host comes first. The link to `lost` has just closed, so that host gets the shorter
    /// timeout.
    async fn open_best(
        &self,
        up_to: Option<SocketAddr>,
        lost: Option<SocketAddr>,
    ) -> Option<(SocketAddr, OpenedLink)> {
        let peers = (self.peers)(&self.duty.service);
        for address in peers.ranked {
            if Some(address) == peers.own_address || Some(address) == up_to {
                return None;
            }
            let timeout = if Some(address) == lost { REOPEN_TIMEOUT } else { OPEN_TIMEOUT };
            match open_link(&self.stack, address, &self.duty, timeout).await {
                Ok(opened) => return Some((address, opened)),
                Err(error) => {
                    log::debug!("event=scheduler_not_linked peer={address} cause=\"{error}\"");
                }
            }
        }
        None
    }

    /// Waits until a better scheduler than the linked one accepts a link, or this host ranks before
    /// it.
    async fn wait_for_better(&self, address: SocketAddr) -> Option<(SocketAddr, OpenedLink)> {
        loop {
            tokio::time::sleep(FAILBACK_INTERVAL).await;
            let peers = (self.peers)(&self.duty.service);
            let own_rank = peers.ranked.iter().position(|it| Some(*it) == peers.own_address);
            let linked = peers.ranked.iter().position(|it| *it == address);
            if own_rank < linked && own_rank.is_some() {
                // This host now ranks before the linked scheduler.
                return None;
            }
            if let Some(better) = self.open_best(Some(address), None).await {
                return Some(better);
            }
        }
    }
}
