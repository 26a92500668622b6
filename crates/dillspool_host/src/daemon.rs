//! Starts, drains and stops a host.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use dillspool_config::{ConfigError, HostAddresses};
use dillspool_entry::callers_handler;
use dillspool_io::{HostClock, NetListener, NetStack, ServerLimits, WallClock, serve_http};
use dillspool_peer::HostView;
use dillspool_schema::Name;
use dillspool_schema::settings::HostSettings;
use snafu::{ResultExt, Snafu};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admin::operators_handler;
use crate::components::HostComponents;
use crate::placement_client::PlacementOverride;
use crate::scheduler_registry::SchedulerRegistry;

/// Time for the platform's load balancer to notice that a draining host is not ready.
const BALANCER_DELAY: Duration = Duration::from_secs(5);
/// Timeout for responses cancelled at the end of a drain to release what they hold.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a host does not start.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// The settings are invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// What is wrong, with the remedy.
        source: ConfigError,
    },
    /// The host cannot listen on an address.
    #[snafu(display("cannot listen on {address}: {source}; free the port or choose another"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// External dependencies of a host.
#[derive(Clone, Debug)]
pub struct HostEnvironment {
    /// The network.
    pub stack: NetStack,
    /// The wall clock; its time at the start is the host's incarnation.
    pub clock: WallClock,
    /// The clock that measures the age of remembered state.
    pub host_clock: HostClock,
    /// Seed of the jitter of periodic work.
    pub seed: u64,
    /// Replaces the pools' schedulers, to compare placement policies.
    pub placement_override: Option<PlacementOverride>,
}

/// Addresses that a host listens on, with the ports that the system chose.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other hosts.
    pub peers: SocketAddr,
}

/// A running host.
pub struct HostDaemon {
    /// Addresses that it listens on.
    pub addresses: ListenAddresses,
    host: Name,
    view: HostView,
    schedulers: SchedulerRegistry,
    tasks: TaskTracker,
    drain_timeout: Duration,
    drain: CancellationToken,
    /// Stops the callers' listener.
    callers: CancellationToken,
    callers_served: tokio::task::JoinHandle<()>,
    /// Cancels all responses.
    responses: CancellationToken,
    /// Stops all tasks.
    cancel: CancellationToken,
}

impl fmt::Debug for HostDaemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HostDaemon({})", self.host)
    }
}

struct Listeners {
    callers: NetListener,
    operators: NetListener,
    peers: NetListener,
}

impl Listeners {
    async fn open(stack: &NetStack, addresses: &HostAddresses) -> Result<Self, DaemonError> {
        let open = async |address| stack.listen(address).await.context(ListenSnafu { address });
        Ok(Self {
            callers: open(addresses.callers).await?,
            operators: open(addresses.operators).await?,
            peers: open(addresses.peers).await?,
        })
    }

    fn addresses(&self) -> ListenAddresses {
        ListenAddresses {
            callers: self.callers.local_addr(),
            operators: self.operators.local_addr(),
            peers: self.peers.local_addr(),
        }
    }
}

impl HostDaemon {
    /// Opens the listeners and starts all roles.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError`] if the settings are invalid or a listener cannot be opened.
    pub async fn start(
        settings: HostSettings,
        environment: HostEnvironment,
    ) -> Result<Self, DaemonError> {
        let addresses =
            HostAddresses::from_settings("settings", &settings).context(SettingsSnafu)?;
        let host_limits = settings.limits.clone().unwrap_or_default();
        let listeners = Listeners::open(&environment.stack, &addresses).await?;
        let listening = listeners.addresses();
        let components = HostComponents::new(settings, environment, &addresses);
        let (drain, callers) = (CancellationToken::new(), CancellationToken::new());
        let limits = ServerLimits {
            max_connections: host_limits.max_connections as usize,
            header_timeout: Duration::from_millis(host_limits.header_timeout_ms.into()),
        };
        let handler = callers_handler(components.entry_context());
        let callers_served =
            tokio::spawn(serve_http(listeners.callers, limits, handler, callers.clone()));
        let handler = operators_handler(components.admin_context(&drain));
        let limits = ServerLimits::default();
        tokio::spawn(serve_http(listeners.operators, limits, handler, components.cancel.clone()));
        tokio::spawn(components.links.clone().serve(listeners.peers, components.cancel.clone()));
        components.spawn_roles();
        log::info!("event=host_started host={}", components.settings.host);
        Ok(Self {
            addresses: listening,
            host: Name::clone(&components.settings.host),
            drain_timeout: Duration::from_millis(host_limits.drain_timeout_ms.into()),
            view: components.view,
            schedulers: components.schedulers,
            tasks: components.tasks,
            responses: components.responses,
            drain,
            callers,
            callers_served,
            cancel: components.cancel,
        })
    }

    /// Name of the host.
    pub fn host(&self) -> &Name {
        &self.host
    }

    /// Waits until an operator requests a drain.
    pub async fn drain_requested(&self) {
        self.drain.cancelled().await;
    }

    /// Stops the host once its requests are complete; none is cancelled before the drain timeout.
    ///
    /// The host first reports that it is not ready, but accepts requests until the load balancer
    /// has noticed. Its scheduler roles move to other hosts at once. See `docs/design/drain.md`.
    pub async fn drain(self) {
        log::info!("event=drain_started host={}", self.host);
        self.view.set_draining();
        self.schedulers.set_draining();
        let deadline = tokio::time::Instant::now() + self.drain_timeout;
        tokio::time::sleep(BALANCER_DELAY.min(self.drain_timeout / 2)).await;
        self.callers.cancel();
        let mut finished = std::pin::pin!(async {
            let _served = self.callers_served.await;
            self.tasks.close();
            self.tasks.wait().await;
        });
        let is_complete = tokio::time::timeout_at(deadline, finished.as_mut()).await.is_ok();
        if !is_complete {
            // The remaining responses end with an error and release what they hold.
            self.responses.cancel();
            let _timed_out = tokio::time::timeout(RELEASE_TIMEOUT, finished).await;
        }
        log::info!("event=drain_ended host={} whole={is_complete}", self.host);
        self.cancel.cancel();
    }

    /// Stops the host at once, as a crash would.
    pub fn stop(&self) {
        self.callers.cancel();
        self.cancel.cancel();
    }
}
