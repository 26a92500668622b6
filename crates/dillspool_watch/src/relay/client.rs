//! Receives tables from hosts that relay them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{NetStack, NetStream};
use dillspool_moment::Moment;
use dillspool_part::TableSubset;
use dillspool_platform::{ChangedRow, StoreVersion, TableDelta};
use dillspool_schema::Name;
use dillspool_schema::relay::{RelayMessage, RelayPart, RelayRow};
use futures_util::StreamExt;
use snafu::Snafu;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};
use tokio_util::sync::CancellationToken;

use super::{CONNECT_TIMEOUT, config};
use crate::reachability::{self, StoreReachability};
use crate::relay_codec::{self, RelayOptions};
use crate::replica::SharedReplica;

/// Time without a message after which the client disconnects; a peer sends a heartbeat at least
/// every half second.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1600);
/// The same before the first message, which carries whole tables and may be queued behind other
/// sends.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay before another peer is tried.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// Interval at which to look for peers again.
const PEER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long the store must be unreachable before a peer is tried; a lost packet is recovered
/// sooner.
const RELAY_FALLBACK_DELAY: Duration = Duration::from_millis(300);

/// Why a relay ended.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// The peer could not be reached, or the connection ended.
    #[snafu(display("the relay from {address} ended: {reason}; another peer is tried"))]
    Ended {
        /// The peer.
        address: SocketAddr,
        /// What ended the connection.
        reason: String,
    },
}

/// The peers that this host may receive the tables from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayPeers {
    /// Sources of this host's failure domain, best first; empty if this host polls the store
    /// itself.
    pub sources: Vec<SocketAddr>,
    /// All peers, best first, for when the store is unreachable.
    pub all: Vec<SocketAddr>,
    /// Set on a host that needs only a subset of large tables: the seed that selects its rows.
    pub subset_seed: Option<u64>,
}

impl RelayPeers {
    /// The peers to try: sources first, others only while the store does not answer this host.
    fn addresses(self, direct: bool) -> Vec<SocketAddr> {
        let mut addresses = self.sources;
        if !direct {
            let others = self.all.into_iter().filter(|other| !addresses.contains(other));
            let others: Vec<_> = others.collect();
            addresses.extend(others);
        }
        addresses
    }
}

/// Receives the tables from peers, always where there are sources and otherwise while the store is
/// unreachable, until `cancel`.
///
/// `peers` is called before each connection for the addresses to try.
pub async fn relay_from_peers(
    stack: NetStack,
    peers: impl Fn() -> RelayPeers + Send + Sync,
    replicas: Vec<SharedReplica>,
    status: watch::Sender<StoreReachability>,
    cancel: CancellationToken,
) {
    tokio::select! {
        () = run_client(&stack, &peers, &replicas, status) => {}
        () = cancel.cancelled() => {}
    }
}

async fn run_client(
    stack: &NetStack,
    peers: &(impl Fn() -> RelayPeers + Send + Sync),
    replicas: &[SharedReplica],
    status: watch::Sender<StoreReachability>,
) {
    let mut next = 0_usize;
    let mut sources = Vec::new();
    let mut changes = status.subscribe();
    loop {
        let direct = changes.borrow_and_update().direct;
        let listed = peers();
        let (subset_seed, has_sources) = (listed.subset_seed, !listed.sources.is_empty());
        if listed.sources != sources {
            // Failed attempts at the previous sources must not make this host skip the first of the
            // new ones.
            sources.clone_from(&listed.sources);
            next = 0;
        }
        let addresses = listed.addresses(direct);
        if addresses.is_empty() {
            tokio::select! {
                _changed = changes.changed() => {}
                () = tokio::time::sleep(PEER_CHECK_INTERVAL) => {}
            }
            continue;
        }
        if !direct && !has_sources {
            tokio::time::sleep(RELAY_FALLBACK_DELAY).await;
        }
        let address = addresses[next % addresses.len()];
        let started = Instant::now();
        let mut regained = changes.clone();
        let ended = tokio::select! {
            ended = receive_from(stack, address, subset_seed, replicas, &status) => ended,
            // The store answers this host again, so it resumes its own polls.
            _regained = regained.wait_for(|state| state.direct), if !direct => Ok(()),
            () = wait_until_unlisted(address, subset_seed, peers, &status) => Ok(()),
        };
        reachability::update(&status, "relay ended", |state| state.relayed = false);
        if let Err(error) = ended {
            let held_ms = started.elapsed().as_millis();
            log::info!("event=relay_ended peer={address} held_ms={held_ms} cause=\"{error}\"");
            next = next.wrapping_add(1);
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Waits until the peer is no longer one that this host should receive tables from, or this host
/// needs another subset.
async fn wait_until_unlisted(
    address: SocketAddr,
    subset_seed: Option<u64>,
    peers: &(impl Fn() -> RelayPeers + Send + Sync),
    status: &watch::Sender<StoreReachability>,
) {
    let before = peers().sources;
    loop {
        tokio::time::sleep(PEER_CHECK_INTERVAL).await;
        let now = peers();
        if now.subset_seed != subset_seed {
            return;
        }
        let listed = now.sources;
        // While the store is unreachable, a peer that is not listed may be the only one that
        // relays.
        let may_switch = status.borrow().direct || listed != before;
        if may_switch && !listed.contains(&address) {
            return;
        }
    }
}

async fn receive_from(
    stack: &NetStack,
    address: SocketAddr,
    subset_seed: Option<u64>,
    replicas: &[SharedReplica],
    status: &watch::Sender<StoreReachability>,
) -> Result<(), RelayError> {
    let ended = |reason: String| RelayError::Ended { address, reason };
    let opening = tokio::time::timeout(CONNECT_TIMEOUT, open(stack, address, subset_seed)).await;
    let mut socket = opening.map_err(|elapsed| ended(elapsed.to_string()))?.map_err(ended)?;
    let mut first = true;
    let mut subsets = HashMap::new();
    loop {
        let limit = if first { FIRST_MESSAGE_TIMEOUT } else { IDLE_TIMEOUT };
        let waited_since = replicas.first().map(|replica| replica.freshness().clock().now());
        let incoming = tokio::time::timeout(limit, socket.next()).await;
        let bytes = match incoming {
            Ok(Some(Ok(Message::Binary(bytes)))) => bytes,
            Ok(Some(Ok(_other))) => continue,
            Ok(Some(Err(error))) => return Err(ended(error.to_string())),
            Ok(None) => return Err(ended("the peer closed the connection".to_owned())),
            Err(_elapsed) => return Err(ended("no message within the idle timeout".to_owned())),
        };
        let mut message = relay_codec::decode(&bytes).map_err(|error| ended(error.to_string()))?;
        if message.full {
            let subset = message.part.take().map(|part| Arc::new(subset_from_wire(part)));
            subsets.insert(Name::clone(&message.table), subset);
        }
        if first {
            let version = StoreVersion::from(message.version);
            log::info!("event=relay_started peer={address} version={version}");
            first = false;
        }
        let subset = subsets.get(&message.table).and_then(Option::as_ref);
        let era = StoreVersion::from(message.version).era();
        merge_message(replicas, message, subset, waited_since.unwrap_or_default());
        reachability::update(status, "relayed", |state| {
            state.relayed = true;
            state.era = state.era.max(era);
        });
    }
}

async fn open(
    stack: &NetStack,
    address: SocketAddr,
    subset_seed: Option<u64>,
) -> Result<WebSocketStream<NetStream>, String> {
    let stream = stack.connect(address).await.map_err(|error| error.to_string())?;
    let path =
        format!("ws://{address}{}", RelayOptions { is_compressed: true, subset_seed }.path());
    let opened = client_async_with_config(path, stream, Some(config())).await;
    let (socket, _response) = opened.map_err(|error| error.to_string())?;
    Ok(socket)
}

/// Merges a relay message for one table or subset, which was awaited since `waited_since`.
fn merge_message(
    replicas: &[SharedReplica],
    message: RelayMessage,
    subset: Option<&Arc<TableSubset>>,
    waited_since: Moment,
) {
    let Some(replica) = replicas.iter().find(|replica| replica.table == message.table) else {
        log::warn!("event=relay_of_unknown_table table={}", message.table);
        return;
    };
    let row = |row: RelayRow| ChangedRow {
        key: row.key,
        version: row.version.into(),
        value: row.value.map(Arc::from),
    };
    let rows = message.rows.into_iter().map(row).collect();
    let delta = TableDelta { full: message.full, version: message.version.into(), rows };
    // A peer that does not know yet that the store was restored says nothing about the table as it
    // is now.
    let is_previous_era = delta.version.era() < replica.version().era();
    replica.merge_relayed(&delta, subset);
    if is_previous_era {
        return;
    }
    // An age that reaches back before the start of this host's clock is too old to count.
    let age = Duration::from_millis(message.age_ms);
    let valid_as_of = replica.freshness().valid_as_of(waited_since);
    replica.freshness().record_relayed(valid_as_of.checked_sub(age));
}

fn subset_from_wire(part: RelayPart) -> TableSubset {
    let bits = part.classes.into_iter().map(|class| (class.class, class.bits));
    TableSubset { seed: part.seed, sampling_bits: bits.collect() }
}
