//! Takes the places of registered hosts that are gone.
//!
//! See `docs/design/sources.md`.

use std::net::SocketAddr;
use std::time::Duration;

use dillspool_io::{ConnectOutcome, HostClock, NetStack, probe_connect};
use dillspool_part::host_seed;
use dillspool_platform::{CommitReply, RowPrecondition, RowWrite, TableStore};
use dillspool_schema::Name;
use tokio_util::sync::CancellationToken;

use crate::gone_hosts::{HostProbes, StoredHost};
use crate::peer_list::{PeerList, REGISTRATION_RETRY_DELAY, own_row_write};
use crate::settings::RouterConfig;
use crate::sources::HostRow;

/// Interval between two probes of a registered host, while all answer and while one does not.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which a live host accepts a connection, also after a lost packet.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Takes the place of a registered host that is gone, while this host has none, until `cancel`.
///
/// A host without a place probes those that have one in its failure domain. All of them may be gone, and only a
/// registered host schedules, relays or holds limits. The row of the gone host is replaced by that of this one at
/// once, on the condition that it has not changed, so the number of rows does not grow and one of several hosts
/// succeeds.
pub(crate) async fn replace_gone_hosts(
    config: RouterConfig,
    store: TableStore,
    peers: PeerList,
    stack: NetStack,
    clock: HostClock,
    cancel: CancellationToken,
) {
    let mut occupied = peers.occupied();
    let mut liveness = HostProbes::default();
    let replace = async {
        loop {
            if occupied.wait_for(|rows| !rows.is_empty()).await.is_err() {
                return;
            }
            let rows = occupied.borrow_and_update().clone();
            liveness.retain(&rows);
            let targets = choose_targets(&rows, liveness.has_failures());
            let accepted = targets.iter().map(|host| async {
                probe_connect(&stack, *host, PROBE_TIMEOUT).await == ConnectOutcome::Accepted
            });
            let accepted = futures_util::future::join_all(accepted).await;
            let now = clock.now();
            for (host, is_accepted) in targets.iter().zip(accepted) {
                liveness.record(*host, is_accepted, now);
            }
            if let Some(gone) = choose_gone(&liveness.gone(&rows, now), peers.own()) {
                take_place(&config, &store, peers.own(), gone).await;
                clock.sleep_until(clock.now() + REGISTRATION_RETRY_DELAY).await;
                continue;
            }
            let interval = if liveness.has_failures() { RETRY_INTERVAL } else { PROBE_INTERVAL };
            clock.sleep_until(clock.now() + interval).await;
        }
    };
    tokio::select! {
        () = replace => {}
        () = cancel.cancelled() => {}
    }
}

/// Selects the hosts to probe: a random one, or all while one does not answer.
fn choose_targets(rows: &[StoredHost], has_failures: bool) -> Vec<SocketAddr> {
    let mut hosts: Vec<_> = rows.iter().map(|stored| stored.row.peers).collect();
    if !has_failures && !hosts.is_empty() {
        let index = rand::Rng::random_range(&mut rand::rng(), 0..hosts.len());
        hosts = vec![hosts[index]];
    }
    hosts
}

/// Selects the gone host that this one replaces; hosts choose different ones.
fn choose_gone<'a>(gone: &[&'a StoredHost], own: &HostRow) -> Option<&'a StoredHost> {
    let hash = host_seed(&own.peers.to_string());
    let index = usize::try_from(hash % gone.len().max(1) as u64).unwrap_or_default();
    gone.get(index).copied()
}

async fn take_place(config: &RouterConfig, store: &TableStore, own: &HostRow, gone: &StoredHost) {
    let removed = RowWrite {
        key: Name::clone(&gone.key),
        expect: RowPrecondition::Version(gone.version),
        value: None,
    };
    let written = async { store.commit(vec![removed, own_row_write(config, own)?]).await };
    match written.await {
        Ok(CommitReply::Committed) => log::info!("event=gone_host_replaced row={}", gone.key),
        Ok(CommitReply::Conflict(_rows)) => {
            log::info!(
                "event=gone_host_not_replaced row={} cause=\"the row has changed\"",
                gone.key
            );
        }
        Err(error) => {
            log::info!("event=gone_host_not_replaced row={} cause=\"{error}\"", gone.key);
        }
    }
}
