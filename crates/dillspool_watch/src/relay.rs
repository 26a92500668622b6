//! Hosts that reach the store relay its tables to hosts that do not.
//!
//! Where a failure domain has few hosts, each reads the store and asks a peer only while it
//! cannot. Where it has many, a few sources read the store and relay to the others, which ask the
//! store only while no source is fresh; every call to the store is billed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{NetListener, NetStack, NetStream};
use dillspool_moment::Moment;
use dillspool_platform::{ChangedRow, TableDelta};
use dillspool_schema::relay::{RelayMessage, RelayRow};
use futures_util::{SinkExt, StreamExt};
use snafu::Snafu;
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::handshake::server::{
    Request as HandshakeRequest, Response as HandshakeResponse,
};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_hdr_async_with_config, client_async_with_config};
use tokio_util::sync::CancellationToken;

use crate::belief::SharedBelief;
use crate::reach::{self, StoreReach};
use crate::relay_frame::{self, MESSAGE_LIMIT, PACKED_PATH};

/// Time to open a connection to a peer, some round trips between failure domains.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Time without a message after which a peer is left; it repeats itself at least every [`LONGEST_REPEAT`].
const SILENCE_LIMIT: Duration = Duration::from_millis(1600);
/// The same before the first message, which carries whole tables and may wait for others.
const FIRST_LIMIT: Duration = Duration::from_secs(6);
/// Peers to which whole tables are sent at once; each takes memory for the time of its sending.
const MOST_WHOLE_SENDS: usize = 8;
/// Time for one sending, several times that of a whole table over the narrowest link.
const SEND_LIMIT: Duration = Duration::from_secs(4);
/// Longest time after which a peer repeats the version that it has, as a sign of life.
const LONGEST_REPEAT: Duration = Duration::from_millis(500);
/// Part of the time in which changes must be in force after which it does so at the latest.
const REPEAT_PART: f64 = 0.125;
/// Shortest time between two messages that carry changes.
const SPACING: Duration = Duration::from_millis(100);
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

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MESSAGE_LIMIT))
        .max_frame_size(Some(MESSAGE_LIMIT))
        .read_buffer_size(4 * 1024)
        .write_buffer_size(0)
}

/// Relays beliefs to every host that connects, until `cancel`.
///
/// Changes must be in force everywhere within `limit`.
pub async fn serve_relay(
    mut listener: NetListener,
    beliefs: Vec<SharedBelief>,
    reach: watch::Receiver<StoreReach>,
    limit: Duration,
    cancel: CancellationToken,
) {
    let repeat = limit.mul_f64(REPEAT_PART).min(LONGEST_REPEAT);
    let whole_sends = Arc::new(Semaphore::new(MOST_WHOLE_SENDS));
    loop {
        let stream = tokio::select! {
            stream = listener.accept() => stream,
            () = cancel.cancelled() => return,
        };
        let Some(stream) = stream else { return };
        let (beliefs, reach, cancel) = (beliefs.clone(), reach.clone(), cancel.clone());
        let whole_sends = Arc::clone(&whole_sends);
        tokio::spawn(async move {
            let ended = tokio::select! {
                ended = relay_to(stream, beliefs, reach, repeat, whole_sends) => ended,
                () = cancel.cancelled() => return,
            };
            if let Err(reason) = ended {
                log::debug!("event=relay_left cause=\"{reason}\"");
            }
        });
    }
}

async fn relay_to(
    stream: NetStream,
    beliefs: Vec<SharedBelief>,
    mut reach: watch::Receiver<StoreReach>,
    repeat: Duration,
    whole_sends: Arc<Semaphore>,
) -> Result<(), String> {
    let accepted = tokio::time::timeout(CONNECT_LIMIT, accept(stream)).await;
    let (mut socket, packs) = accepted.map_err(|elapsed| elapsed.to_string())??;
    // Version of each table up to which the peer has it.
    let mut sent = vec![0; beliefs.len()];
    let mut watchers: Vec<_> = beliefs.iter().map(SharedBelief::subscribe).collect();
    let mut whole = Some(whole_sends.acquire_owned().await.map_err(|error| error.to_string())?);
    loop {
        reach.mark_unchanged();
        let sending = send_changes(&mut socket, &beliefs, &mut sent, packs);
        let ended = tokio::time::timeout(SEND_LIMIT, sending).await;
        ended.map_err(|_elapsed| "the peer does not read")??;
        drop(whole.take());
        tokio::time::sleep(SPACING).await;
        let changed = futures_util::future::select_all(
            watchers.iter_mut().map(|watcher| Box::pin(watcher.changed())),
        );
        tokio::select! {
            _changed = changed => {}
            _lost = reach.changed() => {}
            () = tokio::time::sleep(repeat) => {}
            incoming = socket.next() => {
                if !matches!(incoming, Some(Ok(_))) {
                    return Err("the peer left".to_owned());
                }
            }
        }
    }
}

/// Takes a peer's connection, and whether it takes packed messages.
async fn accept(stream: NetStream) -> Result<(WebSocketStream<NetStream>, bool), String> {
    let mut packs = false;
    #[expect(clippy::result_large_err, reason = "the library's own type of an answer")]
    let read_path = |request: &HandshakeRequest, response: HandshakeResponse| {
        packs = request.uri().path() == PACKED_PATH;
        Ok(response)
    };
    let socket = accept_hdr_async_with_config(stream, read_path, Some(config())).await;
    Ok((socket.map_err(|error| error.to_string())?, packs))
}

/// Sends what the peer does not have of each table; ends the relay if one of them is too old, since
/// another peer may know better.
async fn send_changes(
    socket: &mut WebSocketStream<NetStream>,
    beliefs: &[SharedBelief],
    sent: &mut [u64],
    packs: bool,
) -> Result<(), String> {
    for (belief, known) in beliefs.iter().zip(sent) {
        let age = belief.relay_age();
        let age = age.ok_or_else(|| format!("the table {} is too old here", belief.table))?;
        let message = changes_since(belief, *known, age);
        *known = message.version;
        let bytes = relay_frame::encode(&message, packs).map_err(|error| error.to_string())?;
        socket.send(Message::Binary(bytes.into())).await.map_err(|error| error.to_string())?;
    }
    Ok(())
}

/// The whole table the first time, then only rows that changed: every row that is newer than a
/// complete belief has a higher version.
fn changes_since(belief: &SharedBelief, known: u64, age: Duration) -> RelayMessage {
    let delta = belief.changes_since(known);
    let row = |row: ChangedRow| RelayRow {
        key: row.key,
        version: row.version,
        value: row.value.as_deref().map(str::to_owned),
    };
    RelayMessage {
        table: Arc::clone(&belief.table),
        full: delta.full,
        version: delta.version,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        rows: delta.rows.into_iter().map(row).collect(),
    }
}

/// The peers that this host may take the tables from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayPeers {
    /// Sources of this host's failure domain, best first; empty when it reads the store itself.
    pub sources: Vec<SocketAddr>,
    /// All peers, best first, for when the store is out of reach.
    pub all: Vec<SocketAddr>,
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
    beliefs: Vec<SharedBelief>,
    reach: watch::Sender<StoreReach>,
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
    beliefs: &[SharedBelief],
    reach: watch::Sender<StoreReach>,
) {
    let mut next = 0_usize;
    let mut changes = reach.subscribe();
    loop {
        let direct = changes.borrow_and_update().direct;
        let addresses = peers().addresses(direct);
        if addresses.is_empty() {
            tokio::select! {
                _changed = changes.changed() => {}
                () = tokio::time::sleep(LOOK_AGAIN) => {}
            }
            continue;
        }
        if !direct {
            tokio::time::sleep(ASK_AFTER).await;
        }
        let address = addresses[next % addresses.len()];
        let started = Instant::now();
        let mut regained = changes.clone();
        let ended = tokio::select! {
            ended = take_from(stack, address, beliefs, &reach) => ended,
            // A host that was turned away goes back to its own questions.
            _regained = regained.wait_for(|state| state.direct), if !direct => Ok(()),
            () = left(address, peers, &reach) => Ok(()),
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

/// Waits until a peer is none of those any more that this host takes the tables from.
async fn left(
    address: SocketAddr,
    peers: &(impl Fn() -> RelayPeers + Send + Sync),
    reach: &watch::Sender<StoreReach>,
) {
    let before = peers().sources;
    loop {
        tokio::time::sleep(LOOK_AGAIN).await;
        let listed = peers().sources;
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
    beliefs: &[SharedBelief],
    reach: &watch::Sender<StoreReach>,
) -> Result<(), RelayError> {
    let ended = |reason: String| RelayError::Ended { address, reason };
    let opening = tokio::time::timeout(CONNECT_LIMIT, open(stack, address)).await;
    let mut socket = opening.map_err(|elapsed| ended(elapsed.to_string()))?.map_err(ended)?;
    let mut first = true;
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
        let message = relay_frame::decode(&bytes).map_err(|error| ended(error.to_string()))?;
        if first {
            log::info!("event=relay_started peer={address} version={}", message.version);
            first = false;
        }
        take(beliefs, message, waited_since.unwrap_or_default());
        reach::note(reach, "relayed", |state| state.relayed = true);
    }
}

async fn open(stack: &NetStack, address: SocketAddr) -> Result<WebSocketStream<NetStream>, String> {
    let stream = stack.connect(address).await.map_err(|error| error.to_string())?;
    let path = format!("ws://{address}{PACKED_PATH}");
    let opened = client_async_with_config(path, stream, Some(config())).await;
    let (socket, _response) = opened.map_err(|error| error.to_string())?;
    Ok(socket)
}

/// Takes the rows of one table from a message that was waited for since a moment.
fn take(beliefs: &[SharedBelief], message: RelayMessage, waited_since: Moment) {
    let Some(belief) = beliefs.iter().find(|belief| belief.table == message.table) else {
        log::warn!("event=relay_of_unknown_table table={}", message.table);
        return;
    };
    let row = |row: RelayRow| ChangedRow {
        key: row.key,
        version: row.version,
        value: row.value.map(Arc::from),
    };
    let rows = message.rows.into_iter().map(row).collect();
    belief.merge(&TableDelta { full: message.full, version: message.version, rows });
    // An age that this host's clock cannot reach back to is too old to count.
    let age = Duration::from_millis(message.age_ms);
    let heard_at = belief.heard().heard_at(waited_since);
    belief.heard().note_relayed(heard_at.checked_before(age));
}
