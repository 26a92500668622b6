//! Puts the parts of a host together, and takes them down again.

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
use crate::desk::PlacementOverride;
use crate::directory::PoolDirectory;
use crate::parts::HostParts;

/// Time for the platform's balancer to notice that a draining host is not ready.
const BALANCER_TIME: Duration = Duration::from_secs(5);
/// Time for answers that outlast the drain to give back what they hold.
const GIVE_BACK_TIME: Duration = Duration::from_secs(3);

/// Why a host does not start.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// The settings are wrong.
    #[snafu(display("{source}"))]
    Settings {
        /// What is wrong, with the remedy.
        source: ConfigError,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}; free the port or choose another"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
}

/// What a host takes from outside.
#[derive(Clone, Debug)]
pub struct HostEnvironment {
    /// The network.
    pub stack: NetStack,
    /// The wall clock; its time at the start is the host's incarnation.
    pub clock: WallClock,
    /// The clock by which what is remembered grows old.
    pub host_clock: HostClock,
    /// Seed of the jitter of periodic work.
    pub seed: u64,
    /// Another way to place requests than the pool's scheduler, for comparisons.
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
    /// Where it listens.
    pub addresses: ListenAddresses,
    host: Name,
    view: HostView,
    directory: PoolDirectory,
    tasks: TaskTracker,
    drain_timeout: Duration,
    drain: CancellationToken,
    /// Ends the callers' listener.
    callers: CancellationToken,
    callers_served: tokio::task::JoinHandle<()>,
    /// Ends all answers.
    answers: CancellationToken,
    /// Ends everything.
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
    /// Starts a host.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] with the remedy.
    pub async fn start(
        settings: HostSettings,
        environment: HostEnvironment,
    ) -> Result<Self, DaemonError> {
        let addresses =
            HostAddresses::from_settings("settings", &settings).context(SettingsSnafu)?;
        let host_limits = settings.limits.clone().unwrap_or_default();
        let listeners = Listeners::open(&environment.stack, &addresses).await?;
        let listening = listeners.addresses();
        let parts = HostParts::new(settings, environment, &addresses);
        let (drain, callers) = (CancellationToken::new(), CancellationToken::new());
        let limits = ServerLimits {
            max_connections: host_limits.max_connections as usize,
            header_timeout: Duration::from_millis(host_limits.header_timeout_ms.into()),
        };
        let handler = callers_handler(parts.entry_context());
        let callers_served =
            tokio::spawn(serve_http(listeners.callers, limits, handler, callers.clone()));
        let handler = operators_handler(parts.admin_context(&drain));
        let limits = ServerLimits::default();
        tokio::spawn(serve_http(listeners.operators, limits, handler, parts.cancel.clone()));
        tokio::spawn(parts.links.clone().serve(listeners.peers, parts.cancel.clone()));
        parts.spawn_roles();
        log::info!("event=host_started host={}", parts.settings.host);
        Ok(Self {
            addresses: listening,
            host: Name::clone(&parts.settings.host),
            drain_timeout: Duration::from_millis(host_limits.drain_timeout_ms.into()),
            view: parts.view,
            directory: parts.directory,
            tasks: parts.tasks,
            answers: parts.answers,
            drain,
            callers,
            callers_served,
            cancel: parts.cancel,
        })
    }

    /// Name of the host.
    pub fn host(&self) -> &Name {
        &self.host
    }

    /// Waits until an operator asks for a drain.
    pub async fn drain_requested(&self) {
        self.drain.cancelled().await;
    }

    /// Ends the host after its requests: nothing is cut off within the drain time.
    ///
    /// Readiness goes off first and requests are still taken until the balancer has noticed;
    /// the schedulers' roles go to other hosts at once. See `docs/design/drain.md`.
    pub async fn drain(self) {
        log::info!("event=drain_started host={}", self.host);
        self.view.set_draining();
        self.directory.set_draining();
        let deadline = tokio::time::Instant::now() + self.drain_timeout;
        tokio::time::sleep(BALANCER_TIME.min(self.drain_timeout / 2)).await;
        self.callers.cancel();
        let mut finished = std::pin::pin!(async {
            let _served = self.callers_served.await;
            self.tasks.close();
            self.tasks.wait().await;
        });
        let whole = tokio::time::timeout_at(deadline, finished.as_mut()).await.is_ok();
        if !whole {
            // What is left ends with an error, and gives back what it holds.
            self.answers.cancel();
            let _still_busy = tokio::time::timeout(GIVE_BACK_TIME, finished).await;
        }
        log::info!("event=drain_ended host={} whole={whole}", self.host);
        self.cancel.cancel();
    }

    /// Ends the host at once, as a crash would.
    pub fn stop(&self) {
        self.callers.cancel();
        self.cancel.cancel();
    }
}
