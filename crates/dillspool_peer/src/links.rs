//! Connections of a host to its peers.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dillspool_io::{BoxFuture, NetStack};
use dillspool_schema::Name;
use dillspool_schema::messages::{
    ConfigQuery, ConfigTransfer, HeartbeatMessage, LivenessQuery, PeerMessage, PlacementReport,
    ReleaseMessage, ReserveAnswer, ReserveMessage,
};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::PeerError;
use crate::codec::ControlBytes;
use crate::dialer::maintain_link;
use crate::error::NotConnectedSnafu;
use crate::hello::PeerIdentity;
use crate::view::HostView;

/// Messages queued for a slow peer before it counts as not connected.
const OUTBOX_CAPACITY: usize = 1024;
/// Timeout of a liveness query to a peer.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(1);

type ReserveFn = dyn Fn(ReserveMessage) -> BoxFuture<Option<ReserveAnswer>> + Send + Sync;
type ReportFn = dyn Fn(&Name, u64, PlacementReport) + Send + Sync;

/// Callbacks for the messages of peers.
#[derive(Clone)]
pub struct PeerHandlers {
    /// Schedules a request.
    pub reserve: Arc<ReserveFn>,
    /// Releases a placement.
    pub release: Arc<dyn Fn(ReleaseMessage) + Send + Sync>,
    /// Replaces a host's placements by those in a report; arguments are host and incarnation.
    pub report: Arc<ReportFn>,
    /// Returns all placements of this host, for a scheduler that has just connected.
    pub placements: Arc<dyn Fn() -> Vec<PlacementReport> + Send + Sync>,
    /// Returns the state of this host for its heartbeat.
    pub heartbeat: Arc<dyn Fn() -> HeartbeatMessage + Send + Sync>,
    /// Answers a peer that lacks the newest configuration.
    pub config: Arc<dyn Fn(ConfigQuery) -> Option<ConfigTransfer> + Send + Sync>,
    /// Applies a configuration that a peer sent.
    pub apply_config: Arc<dyn Fn(ConfigTransfer) + Send + Sync>,
}

impl fmt::Debug for PeerHandlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerHandlers")
    }
}

/// Timing of the connections.
#[derive(Clone, Copy, Debug)]
pub struct LinkSettings {
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a message after which a connection is closed.
    pub silence_timeout: Duration,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self { heartbeat_interval: Duration::from_secs(1), silence_timeout: Duration::from_secs(3) }
    }
}

/// Commands that a connection task sends to its peer.
pub(crate) enum LinkCommand {
    Send(PeerMessage),
    Reserve(ReserveMessage, oneshot::Sender<ReserveAnswer>),
    Liveness(LivenessQuery, oneshot::Sender<bool>),
}

struct LinkHandle {
    address: Name,
    outbox: mpsc::Sender<LinkCommand>,
    cancel: CancellationToken,
}

/// Connections that this host dials.
#[derive(Clone)]
pub struct PeerLinks {
    pub(crate) stack: NetStack,
    pub(crate) identity: PeerIdentity,
    pub(crate) handlers: PeerHandlers,
    pub(crate) settings: LinkSettings,
    pub(crate) view: HostView,
    pub(crate) bytes: ControlBytes,
    links: Arc<Mutex<BTreeMap<Name, LinkHandle>>>,
}

impl fmt::Debug for PeerLinks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PeerLinks({} links)", self.lock().len())
    }
}

impl PeerLinks {
    /// Creates a set without connections.
    pub fn new(
        stack: NetStack,
        identity: PeerIdentity,
        handlers: PeerHandlers,
        settings: LinkSettings,
        view: HostView,
    ) -> Self {
        let bytes = ControlBytes::default();
        Self { stack, identity, handlers, settings, view, bytes, links: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Name, LinkHandle>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the bytes of control traffic so far.
    pub fn control_bytes(&self) -> u64 {
        self.bytes.total()
    }

    /// Opens and closes connections to match these targets.
    pub fn set_targets(&self, targets: &BTreeMap<Name, Name>, cancel: &CancellationToken) {
        let mut links = self.lock();
        links.retain(|host, link| {
            let keep = targets.get(host) == Some(&link.address);
            if !keep {
                link.cancel.cancel();
            }
            keep
        });
        for (host, address) in targets {
            if links.contains_key(host) {
                continue;
            }
            let Ok(to) = address.parse::<SocketAddr>() else {
                log::warn!("event=bad_peer_address host={host} address={address}");
                continue;
            };
            let (outbox, commands) = mpsc::channel(OUTBOX_CAPACITY);
            let cancel = cancel.child_token();
            let link = LinkHandle { address: Name::clone(address), outbox, cancel: cancel.clone() };
            links.insert(Name::clone(host), link);
            tokio::spawn(maintain_link(self.clone(), Name::clone(host), to, commands, cancel));
        }
    }

    fn outbox(&self, host: &str) -> Result<mpsc::Sender<LinkCommand>, PeerError> {
        let links = self.lock();
        match links.get(host) {
            Some(link) => Ok(link.outbox.clone()),
            None => NotConnectedSnafu { host }.fail(),
        }
    }

    /// Requests a placement from the host that schedules the pool.
    ///
    /// # Errors
    ///
    /// [`PeerError::NotConnected`] when the host is or becomes unreachable before it answers.
    pub async fn reserve(
        &self,
        host: &str,
        message: ReserveMessage,
    ) -> Result<ReserveAnswer, PeerError> {
        let (sender, receiver) = oneshot::channel();
        let command = LinkCommand::Reserve(message, sender);
        if self.outbox(host)?.try_send(command).is_err() {
            return NotConnectedSnafu { host }.fail();
        }
        match receiver.await {
            Ok(answer) => Ok(answer),
            Err(_dropped) => NotConnectedSnafu { host }.fail(),
        }
    }

    /// Releases a placement at the host that granted it.
    ///
    /// # Errors
    ///
    /// [`PeerError::NotConnected`]; the placement report of the next connection replaces the message.
    pub fn release(&self, host: &str, message: ReleaseMessage) -> Result<(), PeerError> {
        let command = LinkCommand::Send(PeerMessage::Free(message));
        if self.outbox(host)?.try_send(command).is_err() {
            return NotConnectedSnafu { host }.fail();
        }
        Ok(())
    }

    /// Reports all placements that this host holds in a pool.
    ///
    /// # Errors
    ///
    /// [`PeerError::NotConnected`]; the next connection sends the report again.
    pub fn report(&self, host: &str, report: PlacementReport) -> Result<(), PeerError> {
        let command = LinkCommand::Send(PeerMessage::Held(report));
        if self.outbox(host)?.try_send(command).is_err() {
            return NotConnectedSnafu { host }.fail();
        }
        Ok(())
    }

    /// Queries whether any connected peer has heard of an incarnation of a host within the lease time.
    ///
    /// Returns `None` if no peer answered.
    pub async fn query_liveness(&self, host: &Name, incarnation: u64) -> Option<bool> {
        let linked = self.view.linked_hosts();
        let outboxes: Vec<mpsc::Sender<LinkCommand>> = {
            let links = self.lock();
            let asked = linked.iter().filter(|peer| *peer != host);
            asked.filter_map(|peer| Some(links.get(peer)?.outbox.clone())).collect()
        };
        let mut answers = tokio::task::JoinSet::new();
        for outbox in outboxes {
            let query = LivenessQuery { host: Name::clone(host), incarnation };
            answers.spawn(async move {
                let (sender, receiver) = oneshot::channel();
                outbox.try_send(LinkCommand::Liveness(query, sender)).ok()?;
                tokio::time::timeout(LIVENESS_TIMEOUT, receiver).await.ok()?.ok()
            });
        }
        let mut heard = None;
        while let Some(answer) = answers.join_next().await {
            match answer {
                Ok(Some(true)) => return Some(true),
                Ok(Some(false)) => heard = Some(false),
                Ok(None) | Err(_) => {}
            }
        }
        heard
    }
}
