//! Opens connections to backend servers and verifies the links after a failure.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use dillspool_io::{BoxFuture, HostClock, NetStack, NetStream};
use dillspool_routing::{BackendEntry, DirectoryView};
use dillspool_schema::Name;
use futures_util::FutureExt;
use futures_util::future::{Shared, join_all, select_ok};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::link_health::{LinkChange, LinkHealth, ProbeTally};
use crate::probe_targets::choose_probe_targets;

/// Timeout for opening a connection: a round trip takes 1 to 3 ms, a retransmission after a lost packet one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of backend servers that a verification probes.
const VERIFICATION_PROBES: usize = 4;
/// Number of backend servers probed at once while this host is partitioned.
const RECOVERY_PROBES: usize = 2;
/// Interval of these probes.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);

type SharedVerification = Shared<BoxFuture<bool>>;

/// What a dialer knows of the fleet; it verifies no links before this is set.
#[derive(Clone, Debug)]
pub struct DialerFleet {
    /// The current directory of backend servers.
    pub directory: watch::Receiver<Arc<DirectoryView>>,
}

struct DialerState {
    stack: NetStack,
    clock: HostClock,
    fleet: OnceLock<DialerFleet>,
    health: Mutex<LinkHealth>,
    /// Wakes the task that probes while this host is partitioned.
    lost: watch::Sender<bool>,
    verifications: Mutex<HashMap<Name, SharedVerification>>,
}

/// Opens connections to backend servers; clones share what is known of the links.
#[derive(Clone)]
pub struct BackendDialer {
    state: Arc<DialerState>,
}

impl fmt::Debug for BackendDialer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BackendDialer")
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl BackendDialer {
    /// Creates a dialer that finds no partitions before [`dial_backends`] runs.
    pub fn new(stack: &NetStack, clock: &HostClock) -> Self {
        let state = DialerState {
            stack: stack.clone(),
            clock: clock.clone(),
            fleet: OnceLock::new(),
            health: Mutex::default(),
            lost: watch::Sender::new(false),
            verifications: Mutex::default(),
        };
        Self { state: Arc::new(state) }
    }

    /// Whether this host is partitioned from the backend servers of a service.
    pub fn is_partitioned(&self, service: &str) -> bool {
        lock(&self.state.health).is_partitioned(service)
    }

    /// Services from whose backend servers this host is partitioned.
    pub fn partitioned_services(&self) -> Vec<Name> {
        lock(&self.state.health).partitioned_services()
    }

    /// A stack whose connections go to a backend server, whatever address is asked for.
    pub fn stack_for(&self, entry: &Arc<BackendEntry>) -> NetStack {
        let (dialer, entry) = (self.clone(), Arc::clone(entry));
        let stack = self.state.stack.clone();
        NetStack::new(
            move |_address| {
                let (dialer, entry) = (dialer.clone(), Arc::clone(&entry));
                Box::pin(async move { dialer.connect(&entry).await })
            },
            move |address| {
                let stack = stack.clone();
                Box::pin(async move { stack.listen(address).await })
            },
        )
    }

    /// Opens a connection to a backend server.
    ///
    /// # Errors
    ///
    /// The error of the connection attempt, or `TimedOut` after [`CONNECT_TIMEOUT`].
    pub async fn connect(&self, entry: &BackendEntry) -> io::Result<NetStream> {
        let connected = self.connect_within(entry, CONNECT_TIMEOUT).await;
        if connected.is_err() {
            // Polled by the probes, not by this connection attempt.
            drop(self.start_verification(&entry.service));
        }
        connected
    }

    async fn connect_within(
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
        let change =
            lock(&self.state.health).record_connected(&entry.service, self.state.clock.now());
        self.report(&entry.service, change);
        Ok(stream)
    }

    /// Whether this host is partitioned from the backend servers of a service, by a verification if none is recent.
    pub async fn confirm_partitioned(&self, service: &Name) -> bool {
        if self.is_partitioned(service) {
            return true;
        }
        match self.start_verification(service) {
            Some(verification) => verification.await,
            None => false,
        }
    }

    /// Starts a verification, or joins the one in progress; `None` if a recent one found the links sound.
    fn start_verification(&self, service: &Name) -> Option<SharedVerification> {
        let fleet = self.state.fleet.get()?.clone();
        let mut verifications = lock(&self.state.verifications);
        if let Some(running) = verifications.get(service) {
            return Some(running.clone());
        }
        if !lock(&self.state.health).needs_verification(service, self.state.clock.now()) {
            return None;
        }
        let (dialer, of) = (self.clone(), Name::clone(service));
        let verifying = tokio::spawn(async move {
            let tally = dialer.probe(&fleet, &of, VERIFICATION_PROBES).await;
            let change = lock(&dialer.state.health).record_verification(
                &of,
                tally,
                dialer.state.clock.now(),
            );
            dialer.report(&of, change);
            lock(&dialer.state.verifications).remove(&of);
            dialer.is_partitioned(&of)
        });
        let verification: BoxFuture<bool> =
            Box::pin(async move { verifying.await.unwrap_or(false) });
        let verification = verification.shared();
        verifications.insert(Name::clone(service), verification.clone());
        Some(verification)
    }

    /// Probes backend servers of a service until one accepts a connection.
    async fn probe(&self, fleet: &DialerFleet, service: &Name, count: usize) -> ProbeTally {
        let started = self.state.clock.now();
        let view = Arc::clone(&fleet.directory.borrow());
        let targets = choose_probe_targets(&view, service, count, &mut rand::rng());
        let probed = targets.len();
        let attempts = targets.into_iter().map(|entry| {
            let dialer = self.clone();
            Box::pin(async move { dialer.connect_within(&entry, PROBE_TIMEOUT).await })
        });
        let is_any_reachable = probed > 0 && select_ok(attempts).await.is_ok();
        ProbeTally { started, probed, is_any_reachable }
    }

    fn report(&self, service: &Name, change: Option<LinkChange>) {
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

/// Sets what a dialer knows of the fleet, and probes backend servers while this host is partitioned from them, until
/// `cancel`.
pub async fn dial_backends(dialer: BackendDialer, fleet: DialerFleet, cancel: CancellationToken) {
    if dialer.state.fleet.set(fleet.clone()).is_err() {
        log::error!("event=dialer_started_twice");
        return;
    }
    let mut lost = dialer.state.lost.subscribe();
    let probing = async {
        loop {
            if lost.wait_for(|lost| *lost).await.is_err() {
                return;
            }
            tokio::time::sleep(RECOVERY_INTERVAL).await;
            dialer.state.lost.send_replace(false);
            let services = dialer.partitioned_services();
            if !services.is_empty() {
                dialer.state.lost.send_replace(true);
            }
            let probes = services.iter().map(|it| dialer.probe(&fleet, it, RECOVERY_PROBES));
            join_all(probes).await;
        }
    };
    tokio::select! {
        () = probing => {}
        () = cancel.cancelled() => {}
    }
}
