//! Takes tables from hosts that relay theirs.

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

use super::{CONNECT_LIMIT, config};
use crate::belief::SharedReplica;
use crate::reach::{self, StoreReachability};
use crate::relay_frame::{self, RelayWish};

/// Time without a message after which a peer is left; it repeats itself at least every half second.
const SILENCE_LIMIT: Duration = Duration::from_millis(1600);
/// The same before the first message, which carries whole tables and may wait for others.
const FIRST_LIMIT: Duration = Duration::from_secs(6);
/// Pause before another peer is tried.
const NEXT_PEER_PAUSE: Duration = Duration::from_millis(150);
/// Pause before peers are looked for again.
const LOOK_AGAIN: Duration = Duration::from_secs(1);
/// Time that the store must be out of reach before peers are asked; a lost packet takes less.
const ASK_AFTER: Duration = Duration::from_millis(300);

/// Why a relay ended.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// The peer could not be reached or left.
    #[snafu(display("the relay from {address} ended: {reason}; another peer is tried"))]
    Ended {
        /// The peer.
        address: SocketAddr,
        /// What ended it.
        reason: String,
    },
}

/// The peers that this host may take the tables from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayPeers {
    /// Sources of this host's failure domain, best first; empty when it reads the store itself.
    pub sources: Vec<SocketAddr>,
    /// All peers, best first, for when the store is out of reach.
    pub all: Vec<SocketAddr>,
    /// Set on a host that needs but a part of large tables: what tells its part from those of others.
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

/// Takes the tables from peers, always where sources are named and else while the store is out
/// of reach, until `cancel`.
///
/// `peers` is asked each time for the addresses to try.
pub async fn relay_from_peers(
    stack: NetStack,
    peers: impl Fn() -> RelayPeers + Send + Sync,
    beliefs: Vec<SharedReplica>,
    reach: watch::Sender<StoreReachability>,
    cancel: CancellationToken,
) {
    tokio::select! {
        () = relay_forever(&stack, &peers, &beliefs, reach) => {}
        () = cancel.cancelled() => {}
    }
}

async fn relay_forever(
    stack: &NetStack,
    peers: &(impl Fn() -> RelayPeers + Send + Sync),
    beliefs: &[SharedReplica],
    reach: watch::Sender<StoreReachability>,
) {
    let mut next = 0_usize;
    let mut sources = Vec::new();
    let mut changes = reach.subscribe();
    loop {
        let direct = changes.borrow_and_update().direct;
        let listed = peers();
        let (part, has_sources) = (listed.subset_seed, !listed.sources.is_empty());
        if listed.sources != sources {
            // The tries of others say nothing of these, and would have this host begin behind them.
            sources.clone_from(&listed.sources);
            next = 0;
        }
        let addresses = listed.addresses(direct);
        if addresses.is_empty() {
            tokio::select! {
                _changed = changes.changed() => {}
                () = tokio::time::sleep(LOOK_AGAIN) => {}
            }
            continue;
        }
        if !direct && !has_sources {
            tokio::time::sleep(ASK_AFTER).await;
        }
        let address = addresses[next % addresses.len()];
        let started = Instant::now();
        let mut regained = changes.clone();
        let ended = tokio::select! {
            ended = take_from(stack, address, part, beliefs, &reach) => ended,
            // A host that was turned away goes back to its own questions.
            _regained = regained.wait_for(|state| state.direct), if !direct => Ok(()),
            () = left(address, part, peers, &reach) => Ok(()),
        };
        reach::note(&reach, "relay ended", |state| state.relayed = false);
        if let Err(error) = ended {
            let held_ms = started.elapsed().as_millis();
            log::info!("event=relay_ended peer={address} held_ms={held_ms} cause=\"{error}\"");
            next = next.wrapping_add(1);
        }
        tokio::time::sleep(NEXT_PEER_PAUSE).await;
    }
}

/// Waits until a peer is none of those any more that this host takes the tables from, or this host needs other
/// parts of them.
async fn left(
    address: SocketAddr,
    part: Option<u64>,
    peers: &(impl Fn() -> RelayPeers + Send + Sync),
    reach: &watch::Sender<StoreReachability>,
) {
    let before = peers().sources;
    loop {
        tokio::time::sleep(LOOK_AGAIN).await;
        let now = peers();
        if now.subset_seed != part {
            return;
        }
        let listed = now.sources;
        // While the store is out of reach, another peer may be all there is.
        let may_leave = reach.borrow().direct || listed != before;
        if may_leave && !listed.contains(&address) {
            return;
        }
    }
}

async fn take_from(
    stack: &NetStack,
    address: SocketAddr,
    part: Option<u64>,
    beliefs: &[SharedReplica],
    reach: &watch::Sender<StoreReachability>,
) -> Result<(), RelayError> {
    let ended = |reason: String| RelayError::Ended { address, reason };
    let opening = tokio::time::timeout(CONNECT_LIMIT, open(stack, address, part)).await;
    let mut socket = opening.map_err(|elapsed| ended(elapsed.to_string()))?.map_err(ended)?;
    let mut first = true;
    let mut parts = HashMap::new();
    loop {
        let limit = if first { FIRST_LIMIT } else { SILENCE_LIMIT };
        let waited_since = beliefs.first().map(|belief| belief.heard().clock().now());
        let incoming = tokio::time::timeout(limit, socket.next()).await;
        let bytes = match incoming {
            Ok(Some(Ok(Message::Binary(bytes)))) => bytes,
            Ok(Some(Ok(_other))) => continue,
            Ok(Some(Err(error))) => return Err(ended(error.to_string())),
            Ok(None) => return Err(ended("the peer closed".to_owned())),
            Err(_elapsed) => return Err(ended("silence".to_owned())),
        };
        let mut message = relay_frame::decode(&bytes).map_err(|error| ended(error.to_string()))?;
        if message.full {
            let part = message.part.take().map(|part| Arc::new(part_from_wire(part)));
            parts.insert(Name::clone(&message.table), part);
        }
        if first {
            let version = StoreVersion::from(message.version);
            log::info!("event=relay_started peer={address} version={version}");
            first = false;
        }
        let part = parts.get(&message.table).and_then(Option::as_ref);
        let era = StoreVersion::from(message.version).era();
        take(beliefs, message, part, waited_since.unwrap_or_default());
        reach::note(reach, "relayed", |state| {
            state.relayed = true;
            state.era = state.era.max(era);
        });
    }
}

async fn open(
    stack: &NetStack,
    address: SocketAddr,
    part: Option<u64>,
) -> Result<WebSocketStream<NetStream>, String> {
    let stream = stack.connect(address).await.map_err(|error| error.to_string())?;
    let path = format!("ws://{address}{}", RelayWish { packs: true, part }.path());
    let opened = client_async_with_config(path, stream, Some(config())).await;
    let (socket, _response) = opened.map_err(|error| error.to_string())?;
    Ok(socket)
}

/// Takes the rows of one table, or of a part of it, from a message that was waited for since a moment.
fn take(
    beliefs: &[SharedReplica],
    message: RelayMessage,
    part: Option<&Arc<TableSubset>>,
    waited_since: Moment,
) {
    let Some(belief) = beliefs.iter().find(|belief| belief.table == message.table) else {
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
    // A peer that does not know yet of a restoration tells nothing of the table as it is now.
    let is_of_before = delta.version.era() < belief.version().era();
    belief.merge_relayed(&delta, part);
    if is_of_before {
        return;
    }
    // An age that this host's clock cannot reach back to is too old to count.
    let age = Duration::from_millis(message.age_ms);
    let heard_at = belief.heard().heard_at(waited_since);
    belief.heard().note_relayed(heard_at.checked_sub(age));
}

fn part_from_wire(part: RelayPart) -> TableSubset {
    let bits = part.classes.into_iter().map(|class| (class.class, class.bits));
    TableSubset { seed: part.seed, sampling_bits: bits.collect() }
}
