//! Opens connections to backend servers.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use dillspool_io::{BoxFuture, HostClock, NetStack, NetStream};
use dillspool_routing::{BackendEntry, DirectoryView};
use dillspool_schema::Name;
use futures_util::future::{Either, select};
use tokio::sync::{Semaphore, watch};

use crate::link_health::{BackendPath, LinkChange, LinkHealth};
use crate::tunnel::{OpenTunnelFn, TunnelError, TunnelPeer, TunnelPermit};
use crate::tunnel_peers::TunnelPeers;
use crate::verification::SharedVerification;

/// Timeout for opening a connection: a round trip takes 1 to 3 ms, a retransmission after a lost packet one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without a direct connection after which another host is asked for one.
const HEDGE_DELAY: Duration = Duration::from_millis(100);
/// Timeout of a probe, and of a connection for another host.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of other hosts that must fail to connect to a backend server before it is held to be at fault: the first one
/// may have lost its link as well.
const HOSTS_BEFORE_OUTAGE: usize = 2;
/// Maximum number of tunnels that this host serves; each takes two file descriptors.
const MAX_TUNNELS: u32 = 512;

/// What a dialer knows of the fleet.
#[derive(Clone)]
pub struct DialerFleet {
    /// The current directory of backend servers.
    pub directory: watch::Receiver<Arc<DirectoryView>>,
    /// Returns the other hosts that are known.
    pub peers: Arc<dyn Fn() -> Vec<TunnelPeer> + Send + Sync>,
    /// Opens a tunnel through one of them.
    pub open_tunnel: OpenTunnelFn,
}

impl fmt::Debug for DialerFleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DialerFleet")
    }
}

/// Numbers of tunnels since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TunnelCounts {
    /// Tunnels that other hosts opened for this one.
    pub opened: u64,
    /// Connections for which no host opened a tunnel.
    pub failed: u64,
    /// Tunnels that this host opened for others.
    pub served: u64,
}

#[derive(Debug, Default)]
struct TunnelCounters {
    opened: AtomicU64,
    failed: AtomicU64,
    served: AtomicU64,
}

pub(crate) struct DialerState {
    stack: NetStack,
    pub(crate) clock: HostClock,
    /// Not set on a host without a fleet, which then verifies no links and opens no tunnels.
    pub(crate) fleet: OnceLock<DialerFleet>,
    pub(crate) health: Mutex<LinkHealth>,
    peers: Mutex<TunnelPeers>,
    counters: TunnelCounters,
    served: Arc<Semaphore>,
    /// Wakes the task that probes lost links.
    lost: watch::Sender<bool>,
    pub(crate) verifications: Mutex<HashMap<Name, SharedVerification>>,
}

/// Opens connections to backend servers; clones share what is known of the links.
#[derive(Clone)]
pub struct BackendDialer {
    pub(crate) state: Arc<DialerState>,
}

impl fmt::Debug for BackendDialer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BackendDialer")
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl BackendDialer {
    /// Creates a dialer that only connects directly until [`dial_backends`](crate::dial_backends) runs.
    pub fn new(stack: &NetStack, clock: &HostClock) -> Self {
        let state = DialerState {
            stack: stack.clone(),
            clock: clock.clone(),
            fleet: OnceLock::new(),
            health: Mutex::default(),
            peers: Mutex::default(),
            counters: TunnelCounters::default(),
            served: Arc::new(Semaphore::new(MAX_TUNNELS as usize)),
            lost: watch::Sender::new(false),
            verifications: Mutex::default(),
        };
        Self { state: Arc::new(state) }
    }

    /// Sets what the dialer knows of the fleet; returns false if it was set before.
    pub(crate) fn set_fleet(&self, fleet: DialerFleet) -> bool {
        self.state.fleet.set(fleet).is_ok()
    }

    /// Becomes true when links are lost; set to false by the task that probes.
    pub(crate) fn lost_links(&self) -> &watch::Sender<bool> {
        &self.state.lost
    }

    /// Whether this host is partitioned from the backend servers of a service.
    pub fn is_partitioned(&self, service: &str) -> bool {
        lock(&self.state.health).is_partitioned(service)
    }

    /// Services from whose backend servers this host is partitioned.
    pub fn partitioned_services(&self) -> Vec<Name> {
        lock(&self.state.health).partitioned_services()
    }

    /// Numbers of tunnels since the start.
    pub fn tunnel_counts(&self) -> TunnelCounts {
        let counters = &self.state.counters;
        TunnelCounts {
            opened: counters.opened.load(Ordering::Relaxed),
            failed: counters.failed.load(Ordering::Relaxed),
            served: counters.served.load(Ordering::Relaxed),
        }
    }

    /// A stack whose connections go to a backend server, whatever address is asked for.
    pub fn stack_for(&self, entry: &Arc<BackendEntry>) -> NetStack {
        self.stack_with(entry, |dialer, entry| {
            Box::pin(async move { dialer.connect(&entry).await })
        })
    }

    /// As [`BackendDialer::stack_for`], with direct connections only. A backend server takes orders only from the host
    /// that issues them, so they must not travel through another one.
    pub fn direct_stack_for(&self, entry: &Arc<BackendEntry>) -> NetStack {
        self.stack_with(entry, |dialer, entry| {
            Box::pin(async move { dialer.connect_without_peers(&entry).await })
        })
    }

    fn stack_with(
        &self,
        entry: &Arc<BackendEntry>,
        connect: impl Fn(Self, Arc<BackendEntry>) -> BoxFuture<io::Result<NetStream>>
        + Send
        + Sync
        + 'static,
    ) -> NetStack {
        let (dialer, entry) = (self.clone(), Arc::clone(entry));
        let stack = self.state.stack.clone();
        NetStack::new(
            move |_address| connect(dialer.clone(), Arc::clone(&entry)),
            move |address| {
                let stack = stack.clone();
                Box::pin(async move { stack.listen(address).await })
            },
        )
    }

    /// Opens a connection to a backend server, directly or through another host.
    ///
    /// # Errors
    ///
    /// `ConnectionRefused` and `TimedOut` if neither this host nor another one could connect, `NotConnected` if this
    /// host has lost its links and no other one can help. Nothing was sent in any case.
    pub async fn connect(&self, entry: &Arc<BackendEntry>) -> io::Result<NetStream> {
        let path = {
            let health = lock(&self.state.health);
            health.path(&entry.service, &entry.instance(), self.state.clock.now())
        };
        match path {
            BackendPath::Direct => self.connect_hedged(entry).await,
            BackendPath::DirectOnly => self.connect_without_peers(entry).await,
            BackendPath::Detour => match self.connect_through_peer(entry).await {
                Err(TunnelError::PeerUnavailable(_reason)) => {
                    self.connect_directly(entry, CONNECT_TIMEOUT).await
                }
                tunnelled => tunnelled.map_err(TunnelError::into_io),
            },
            BackendPath::DetourOnly => {
                self.connect_through_peer(entry).await.map_err(TunnelError::into_io)
            }
        }
    }

    async fn connect_without_peers(&self, entry: &BackendEntry) -> io::Result<NetStream> {
        let connected = self.connect_directly(entry, CONNECT_TIMEOUT).await;
        if connected.is_err() {
            drop(self.start_verification(&entry.service));
        }
        connected
    }

    /// Connects directly and, when that fails or takes long, through another host as well; the first connection wins.
    async fn connect_hedged(&self, entry: &Arc<BackendEntry>) -> io::Result<NetStream> {
        let mut direct = pin!(self.connect_directly(entry, CONNECT_TIMEOUT));
        let finished = tokio::select! {
            biased;
            connected = &mut direct => Some(connected),
            () = tokio::time::sleep(HEDGE_DELAY) => None,
        };
        if matches!(finished, Some(Ok(_))) || self.state.fleet.get().is_none() {
            return match finished {
                Some(connected) => connected,
                None => direct.await,
            };
        }
        drop(self.start_verification(&entry.service));
        let direct = pin!(async {
            match finished {
                Some(connected) => connected,
                None => direct.await,
            }
        });
        let tunnel = pin!(self.connect_through_peer(entry));
        let (direct_error, tunnelled) = match select(direct, tunnel).await {
            Either::Left((Ok(stream), _tunnel)) => return Ok(stream),
            Either::Left((Err(error), tunnel)) => (error, tunnel.await),
            Either::Right((Ok(stream), _direct)) => return Ok(stream),
            Either::Right((Err(failure), direct)) => match direct.await {
                Ok(stream) => return Ok(stream),
                Err(error) => (error, Err(failure)),
            },
        };
        match tunnelled {
            Ok(stream) => Ok(stream),
            Err(TunnelError::PeerUnavailable(_)) if !self.is_partitioned(&entry.service) => {
                Err(direct_error)
            }
            Err(failure) => Err(failure.into_io()),
        }
    }

    pub(crate) async fn connect_directly(
        &self,
        entry: &BackendEntry,
        timeout: Duration,
    ) -> io::Result<NetStream> {
        let connecting = self.state.stack.connect(entry.address);
        let stream = match tokio::time::timeout(timeout, connecting).await {
            Ok(connected) => connected?,
            Err(_elapsed) => {
                let message = format!("no connection within {timeout:?}");
                return Err(io::Error::new(io::ErrorKind::TimedOut, message));
            }
        };
        let now = self.state.clock.now();
        let change =
            lock(&self.state.health).record_connected(&entry.service, &entry.instance(), now);
        self.report(&entry.service, change);
        Ok(stream)
    }

    /// Asks other hosts in turn for a tunnel, until one connects to the backend server or finds that it cannot.
    async fn connect_through_peer(
        &self,
        entry: &Arc<BackendEntry>,
    ) -> Result<NetStream, TunnelError> {
        let counters = &self.state.counters;
        let Some(fleet) = self.state.fleet.get() else {
            return Err(TunnelError::PeerUnavailable("this host knows no other".to_owned()));
        };
        let peers = lock(&self.state.peers).choose(
            (fleet.peers)(),
            self.state.clock.now(),
            &mut rand::rng(),
        );
        let mut failure = TunnelError::PeerUnavailable("this host knows no other".to_owned());
        let mut failed_hosts = 0;
        for peer in peers {
            match (fleet.open_tunnel)(peer, Arc::clone(entry)).await {
                Ok(stream) => {
                    counters.opened.fetch_add(1, Ordering::Relaxed);
                    let now = self.state.clock.now();
                    lock(&self.state.health).record_detour(entry.instance(), now);
                    self.state.lost.send_replace(true);
                    log::debug!("event=tunnel_opened backend={} peer={peer}", entry.id);
                    return Ok(stream);
                }
                Err(TunnelError::PeerUnavailable(reason)) => {
                    log::info!(
                        "event=tunnel_refused backend={} peer={peer} cause=\"{reason}\"",
                        entry.id
                    );
                    self.record_unavailable(peer);
                    failure = TunnelError::PeerUnavailable(reason);
                }
                Err(found @ (TunnelError::BackendRefused | TunnelError::BackendSilent)) => {
                    failed_hosts += 1;
                    failure = found;
                    if failed_hosts >= HOSTS_BEFORE_OUTAGE {
                        let now = self.state.clock.now();
                        lock(&self.state.health).record_outage(entry.instance(), now);
                        break;
                    }
                }
            }
        }
        counters.failed.fetch_add(1, Ordering::Relaxed);
        Err(failure)
    }

    fn record_unavailable(&self, peer: SocketAddr) {
        lock(&self.state.peers).record_unavailable(peer, self.state.clock.now());
    }

    /// Connects to a backend server for another host, only directly.
    ///
    /// # Errors
    ///
    /// [`TunnelError::PeerUnavailable`] unless this host knows the backend server as one that accepts requests, is not
    /// partitioned from it and serves few enough tunnels; otherwise the result of the connection attempt.
    pub async fn connect_for_peer(
        &self,
        backend: &str,
    ) -> Result<(NetStream, TunnelPermit), TunnelError> {
        let unavailable = |reason: &str| TunnelError::PeerUnavailable(reason.to_owned());
        let fleet = self.state.fleet.get().ok_or(unavailable("it is starting"))?;
        let entry = {
            let view = fleet.directory.borrow();
            view.entries.get(backend).filter(|entry| view.accepts_requests(entry)).cloned()
        };
        let entry = entry.ok_or(unavailable("the backend server accepts no requests"))?;
        if self.is_partitioned(&entry.service) {
            return Err(unavailable("it is partitioned, too"));
        }
        let permit = Arc::clone(&self.state.served).try_acquire_owned();
        let permit = permit.map_err(|_full| unavailable("it serves too many tunnels"))?;
        match self.connect_directly(&entry, PROBE_TIMEOUT).await {
            Ok(stream) => {
                self.state.counters.served.fetch_add(1, Ordering::Relaxed);
                Ok((stream, TunnelPermit { _permit: permit }))
            }
            Err(error) if self.confirm_partitioned(&entry.service).await => {
                Err(TunnelError::PeerUnavailable(format!("it is partitioned, too: {error}")))
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Err(TunnelError::BackendRefused)
            }
            Err(_error) => Err(TunnelError::BackendSilent),
        }
    }

    /// Refuses further tunnels, and waits until those that this host serves have ended.
    pub async fn drain_tunnels(&self) {
        let all = Arc::clone(&self.state.served).acquire_many_owned(MAX_TUNNELS).await;
        // The host is stopping; nothing returns the permits.
        if let Ok(permits) = all {
            permits.forget();
        }
    }

    /// Backend servers that are reached through other hosts, at most `max_count`.
    pub(crate) fn detoured(&self, max_count: usize) -> Vec<Arc<BackendEntry>> {
        let Some(fleet) = self.state.fleet.get() else { return Vec::new() };
        let instances = lock(&self.state.health).detoured(max_count, self.state.clock.now());
        let view = Arc::clone(&fleet.directory.borrow());
        let entries = instances.iter().filter_map(|backend| view.entries.get(&backend.id));
        entries.cloned().collect()
    }

    /// Probes the direct link to a backend server; a success ends its detour.
    pub(crate) async fn probe_link(&self, entry: &BackendEntry) {
        // The connection itself records the success.
        let _result = self.connect_directly(entry, PROBE_TIMEOUT).await;
    }

    pub(crate) fn report(&self, service: &Name, change: Option<LinkChange>) {
        match change {
            Some(LinkChange::Lost) => {
                log::warn!("event=backend_links_lost service={service}");
                self.state.lost.send_replace(true);
            }
            Some(LinkChange::Restored { after }) => {
                let after_ms = after.as_millis();
                log::info!("event=backend_links_restored service={service} after_ms={after_ms}");
            }
            None => {}
        }
    }
}
