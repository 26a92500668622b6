//! Finds registered hosts that a holder of limits cannot reach, which do not count among those that
//! share a limit.
//!
//! See `docs/design/limits.md`.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use dillspool_io::{ConnectOutcome, HostClock, NetStack, probe_connect};
use rand::seq::IteratorRandom;
use tokio_util::sync::CancellationToken;

use crate::gone_hosts::HostProbes;
use crate::peer_list::PeerList;

/// Interval between two probes while all other hosts answer or count as unreachable, and while one
/// has begun to fail.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which a live host accepts a connection, also after a lost packet.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Probes the other registered hosts while this host holds limits, until `cancel`.
///
/// A holder leaves each listed host its part of the limits, and the rows of hosts outlive them.
pub(crate) async fn probe_registered_hosts(
    peers: PeerList,
    stack: NetStack,
    clock: HostClock,
    is_holder: impl Fn() -> bool,
    cancel: CancellationToken,
) {
    let probe_hosts = async {
        let mut probes: Option<HostProbes> = None;
        loop {
            let mut interval = RETRY_INTERVAL;
            if is_holder() {
                let registered = peers.registered_peers();
                let is_new = probes.is_none();
                let known = probes.get_or_insert_default();
                known.retain_addresses(&registered);
                let targets = if is_new || known.has_suspects(clock.now()) {
                    registered
                } else {
                    choose_targets(&registered, known.unreachable(clock.now()))
                };
                record_probes(known, &stack, &targets, &clock).await;
                peers.set_unreachable(known.unreachable(clock.now()));
                if !known.has_suspects(clock.now()) {
                    interval = PROBE_INTERVAL;
                }
            } else if probes.take().is_some() {
                peers.set_unreachable(BTreeSet::new());
            }
            clock.sleep_until(clock.now() + interval).await;
        }
    };
    tokio::select! {
        () = probe_hosts => {}
        () = cancel.cancelled() => {}
    }
}

/// Selects a random host, and those that are unreachable, which may come back.
fn choose_targets(
    registered: &BTreeSet<SocketAddr>,
    unreachable: BTreeSet<SocketAddr>,
) -> BTreeSet<SocketAddr> {
    let mut targets = unreachable;
    targets.extend(registered.iter().choose(&mut rand::rng()));
    targets
}

async fn record_probes(
    probes: &mut HostProbes,
    stack: &NetStack,
    targets: &BTreeSet<SocketAddr>,
    clock: &HostClock,
) {
    let outcomes = targets.iter().map(|host| probe_connect(stack, *host, PROBE_TIMEOUT));
    let outcomes = futures_util::future::join_all(outcomes).await;
    for (host, outcome) in targets.iter().zip(outcomes) {
        probes.record(*host, outcome == ConnectOutcome::Accepted, clock.now());
    }
}
