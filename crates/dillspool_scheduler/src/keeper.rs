//! Keeps a host linked to the one that decides for all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::NetStack;
use tokio::time::Instant;

use crate::link::{LinkDuty, OpenedLink, SchedulerLink, open_link};

/// Time to open a link, some round trips between failure domains; a lost packet takes a second.
const OPEN_LIMIT: Duration = Duration::from_millis(300);
/// The same to a host whose link has just ended: one that lives takes its successor within some round
/// trips, and one that was switched off must not hold up the search for another one.
const REOPEN_LIMIT: Duration = Duration::from_millis(40);
/// Pause before schedulers are looked for again.
const LOOK_AGAIN: Duration = Duration::from_millis(200);
/// Time between two tries to come back to a better scheduler than the one that is linked.
const BETTER_EVERY: Duration = Duration::from_secs(2);

/// The hosts that could decide for all, as this host sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SchedulePeers {
    /// Where this host takes questions itself.
    pub own_address: Option<SocketAddr>,
    /// Where hosts ask, the best first; this host is among them once it is known.
    pub ranked: Vec<SocketAddr>,
}

/// The hosts for a service, or for a share of the workspaces.
pub(crate) type PeersFn = dyn Fn(&str) -> SchedulePeers + Send + Sync;

/// Keeps the link to the best host that answers.
pub(crate) struct LinkKeeper {
    pub(crate) link: SchedulerLink,
    pub(crate) stack: NetStack,
    pub(crate) duty: LinkDuty,
    pub(crate) peers: Arc<PeersFn>,
}

impl LinkKeeper {
    /// Finds hosts to ask, one after another, without end.
    pub(crate) async fn run(&self) {
        let mut lost = None;
        loop {
            let mut next = self.best(None, lost.take()).await;
            self.link.set_schedules(next.is_none() && self.is_listed());
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
                        // One that ends at once would else be opened without a pause.
                        lost = (linked.elapsed() >= LOOK_AGAIN).then_some(address);
                        None
                    }
                    better = self.better_than(address) => better,
                };
            }
            if lost.is_none() {
                tokio::time::sleep(LOOK_AGAIN).await;
            }
        }
    }

    /// Whether this host is one of those that could schedule.
    fn is_listed(&self) -> bool {
        let peers = (self.peers)(&self.duty.service);
        peers.own_address.is_some_and(|own| peers.ranked.contains(&own))
    }

    /// The best scheduler that serves, up to one that is known; `None` when that is this host. The link
    /// to `lost` has just ended.
    async fn best(
        &self,
        up_to: Option<SocketAddr>,
        lost: Option<SocketAddr>,
    ) -> Option<(SocketAddr, OpenedLink)> {
        let peers = (self.peers)(&self.duty.service);
        for address in peers.ranked {
            if Some(address) == peers.own_address || Some(address) == up_to {
                return None;
            }
            let limit = if Some(address) == lost { REOPEN_LIMIT } else { OPEN_LIMIT };
            match open_link(&self.stack, address, &self.duty, limit).await {
                Ok(opened) => return Some((address, opened)),
                Err(error) => {
                    log::debug!("event=scheduler_not_linked peer={address} cause=\"{error}\"");
                }
            }
        }
        None
    }

    /// Waits for a better scheduler than the one that is linked.
    async fn better_than(&self, address: SocketAddr) -> Option<(SocketAddr, OpenedLink)> {
        loop {
            tokio::time::sleep(BETTER_EVERY).await;
            let peers = (self.peers)(&self.duty.service);
            let own_first = peers.ranked.iter().position(|it| Some(*it) == peers.own_address);
            let linked = peers.ranked.iter().position(|it| *it == address);
            if own_first < linked && own_first.is_some() {
                // This host has learnt that it comes before the scheduler that it asks.
                return None;
            }
            if let Some(better) = self.best(Some(address), None).await {
                return Some(better);
            }
        }
    }
}
