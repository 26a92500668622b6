//! Serves the callers of this host.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dillspool_forward::ForwardContext;
use dillspool_io::{
    ByteBudget, HostClock, NetListener, ServerGuards, ServerLimits, serve_http_guarded,
};
use dillspool_routing::RoutingConfig;
use dillspool_suspects::FingerprintKey;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::caller_gate::CallerGate;
use crate::ingress::{IngressState, KnownConfig};
use crate::site::SiteProtocol;

/// Maximum number of caller connections; each may need a second file descriptor for its backend
/// server.
const MAX_CALLER_CONNECTIONS: usize = 1_800;
/// Idle timeout of connections before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// What the server for callers needs.
pub(crate) struct CallerServer {
    pub(crate) known: KnownConfig,
    /// Set once the host is stopping.
    pub(crate) stopping: Arc<AtomicBool>,
    pub(crate) gate: CallerGate,
    pub(crate) byte_budget: Option<ByteBudget>,
    pub(crate) fingerprint_key: FingerprintKey,
    pub(crate) clock: HostClock,
}

impl CallerServer {
    /// Serves until the first token of `cancels`, which stops new callers, and until open exchanges have ended; the
    /// second one stops following the configuration.
    pub(crate) async fn serve(
        self,
        site: SiteProtocol,
        context: ForwardContext,
        listener: NetListener,
        (cancel, background): (CancellationToken, CancellationToken),
    ) {
        let limits = caller_limits(self.known.config.clone(), &background);
        let guards =
            ServerGuards { budget: self.byte_budget, gate: Some(self.gate.connection_gate()) };
        let (stopping, gate) = (self.stopping, self.gate);
        let state = IngressState::new(
            site,
            context,
            self.known,
            move || stopping.load(Ordering::Relaxed) || gate.is_overloaded(),
            self.fingerprint_key,
            self.clock,
        );
        serve_http_guarded(listener, limits, state.handler(), guards, cancel).await;
    }
}

/// Limits on caller connections, according to the current configuration.
fn caller_limits(
    mut config: watch::Receiver<Option<Arc<RoutingConfig>>>,
    cancel: &CancellationToken,
) -> watch::Receiver<ServerLimits> {
    let limits = |idle| ServerLimits {
        max_connections: MAX_CALLER_CONNECTIONS,
        // An idle connection is waiting for its next header.
        header_timeout: idle,
    };
    let (sender, receiver) = watch::channel(limits(DEFAULT_IDLE_TIMEOUT));
    let cancel = cancel.clone();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                changed = config.changed() => if changed.is_err() { return },
                () = cancel.cancelled() => return,
            }
            let idle = config.borrow_and_update().as_ref().map(|now| now.limits.idle_timeout);
            sender.send_replace(limits(idle.unwrap_or(DEFAULT_IDLE_TIMEOUT)));
        }
    });
    receiver
}
