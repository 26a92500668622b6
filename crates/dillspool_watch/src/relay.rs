//! Hosts that reach the store relay its tables to hosts that do not.
//!
//! Where a failure domain has few hosts, each reads the store and asks a peer only while it
//! cannot. Where it has many, a few sources read the store and relay to the others, which ask the
//! store only while no source is fresh; every call to the store is billed.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{NetListener, NetStack, NetStream};
use dillspool_moment::Moment;
use dillspool_part::TablePart;
use dillspool_platform::{ChangedRow, TableDelta};
use dillspool_schema::Name;
use dillspool_schema::relay::{RelayClass, RelayMessage, RelayPart, RelayRow};
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
use crate::relay_frame::{self, MESSAGE_LIMIT, RelayWish};

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
/// Time for which a host that has just started, and relies on others itself, lets its own peers wait for its
/// first tables; longer than a root needs for them.
const FIRST_TABLES: Duration = Duration::from_millis(800);
/// Time between two looks for them.
const LOOK_FOR_TABLES: Duration = Duration::from_millis(20);
/// Time between two looks at whether a peer's part still fits the table,
const LOOK_AT_PARTS: Duration = Duration::from_secs(10);
/// and changed rows after which there is one at once: backend servers that start together come within
/// seconds.
const LOOK_AFTER_ROWS: usize = 64;
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

/// What a host relays, and how.
#[derive(Clone)]
pub struct RelayService {
    beliefs: Vec<SharedBelief>,
    reach: watch::Receiver<StoreReach>,
    limit: Duration,
    hosts: Arc<dyn Fn() -> Option<usize> + Send + Sync>,
}

impl fmt::Debug for RelayService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayService").field("beliefs", &self.beliefs).finish_non_exhaustive()
    }
}

impl RelayService {
    /// Relays tables of which changes must be in force everywhere within a time; the number of hosts is not
    /// known.
    pub fn new(
        beliefs: Vec<SharedBelief>,
        reach: watch::Receiver<StoreReach>,
        limit: Duration,
    ) -> Self {
        Self { beliefs, reach, limit, hosts: Arc::new(|| None) }
    }

    /// Asks for the number of hosts.
    #[must_use]
    pub fn with_hosts(self, hosts: impl Fn() -> Option<usize> + Send + Sync + 'static) -> Self {
        Self { hosts: Arc::new(hosts), ..self }
    }

    /// The part of a table for a peer that holds parts of large ones.
    fn part_for(&self, belief: &SharedBelief, seed: u64) -> Option<Arc<TablePart>> {
        let counts = belief.count_rows((self.hosts)())?;
        TablePart::of_counts(seed, &counts).map(Arc::new)
    }

    /// Gives a peer another part where the table has outgrown the one that it has.
    fn look_at_part(&self, table: &mut SentTable, seed: u64) {
        if table.rows < LOOK_AFTER_ROWS && table.looked.elapsed() < LOOK_AT_PARTS {
            return;
        }
        (table.looked, table.rows) = (Instant::now(), 0);
        let counts = table.belief.count_rows((self.hosts)());
        if counts.is_some_and(|counts| TablePart::is_outgrown(table.part.as_deref(), &counts)) {
            table.part = self.part_for(&table.belief, seed);
            table.version = 0;
        }
    }

    /// Waits until all tables are known, but not for ever.
    async fn first_tables(&self) {
        let since = Instant::now();
        let is_known = || self.beliefs.iter().all(|belief| belief.relay_age().is_some());
        while !is_known() && since.elapsed() < FIRST_TABLES {
            tokio::time::sleep(LOOK_FOR_TABLES).await;
        }
    }
}

/// Relays beliefs to every host that connects, until `cancel`.
pub async fn serve_relay(
    mut listener: NetListener,
    service: RelayService,
    cancel: CancellationToken,
) {
    let whole_sends = Arc::new(Semaphore::new(MOST_WHOLE_SENDS));
    loop {
        let stream = tokio::select! {
            stream = listener.accept() => stream,
            () = cancel.cancelled() => return,
        };
        let Some(stream) = stream else { return };
        let (service, cancel) = (service.clone(), cancel.clone());
        let whole_sends = Arc::clone(&whole_sends);
        tokio::spawn(async move {
            let ended = tokio::select! {
                ended = relay_to(stream, service, whole_sends) => ended,
                () = cancel.cancelled() => return,
            };
            if let Err(reason) = ended {
                log::debug!("event=relay_left cause=\"{reason}\"");
            }
        });
    }
}

/// What a peer has of one table.
struct SentTable {
    belief: SharedBelief,
    /// Version up to which the peer has it; 0 before the first rows.
    version: u64,
    /// The rows that it holds; `None` for all.
    part: Option<Arc<TablePart>>,
    /// When it was last looked whether that part fits the table, and rows sent since.
    looked: Instant,
    rows: usize,
}

impl SentTable {
    /// What the peer does not have: the whole table or part the first time, then only rows that changed, since
    /// every row that is newer than a complete belief has a higher version.
    fn changes(&self, age: Duration) -> RelayMessage {
        let delta = match &self.part {
            Some(part) => self.belief.part_changes_since(self.version, part),
            None => self.belief.changes_since(self.version),
        };
        let row = |row: ChangedRow| RelayRow {
            key: row.key,
            version: row.version,
            value: row.value.as_deref().map(str::to_owned),
        };
        RelayMessage {
            table: Arc::clone(&self.belief.table),
            full: delta.full,
            version: delta.version,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            part: self.part.as_deref().filter(|_part| delta.full).map(part_to_wire),
            rows: delta.rows.into_iter().map(row).collect(),
        }
    }
}

async fn relay_to(
    stream: NetStream,
    service: RelayService,
    whole_sends: Arc<Semaphore>,
) -> Result<(), String> {
    let repeat = service.limit.mul_f64(REPEAT_PART).min(LONGEST_REPEAT);
    let accepted = tokio::time::timeout(CONNECT_LIMIT, accept(stream)).await;
    let (mut socket, wish) = accepted.map_err(|elapsed| elapsed.to_string())??;
    service.first_tables().await;
    let mut whole = Some(whole_sends.acquire_owned().await.map_err(|error| error.to_string())?);
    let table = |belief: &SharedBelief| SentTable {
        belief: belief.clone(),
        version: 0,
        part: wish.part.and_then(|seed| service.part_for(belief, seed)),
        looked: Instant::now(),
        rows: 0,
    };
    let mut sent: Vec<_> = service.beliefs.iter().map(table).collect();
    let mut watchers: Vec<_> = service.beliefs.iter().map(SharedBelief::subscribe).collect();
    let mut reach = service.reach.clone();
    loop {
        reach.mark_unchanged();
        let sending = send_changes(&mut socket, &mut sent, wish.packs);
        let ended = tokio::time::timeout(SEND_LIMIT, sending).await;
        ended.map_err(|_elapsed| "the peer does not read")??;
        drop(whole.take());
        if let Some(seed) = wish.part {
            for table in &mut sent {
                service.look_at_part(table, seed);
            }
        }
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

/// Takes a peer's connection, and what it wants.
async fn accept(stream: NetStream) -> Result<(WebSocketStream<NetStream>, RelayWish), String> {
    let mut wish = RelayWish::default();
    #[expect(clippy::result_large_err, reason = "the library's own type of an answer")]
    let read_path = |request: &HandshakeRequest, response: HandshakeResponse| {
        wish = RelayWish::from_path(request.uri().path());
        Ok(response)
    };
    let socket = accept_hdr_async_with_config(stream, read_path, Some(config())).await;
    Ok((socket.map_err(|error| error.to_string())?, wish))
}

/// Sends what the peer does not have of each table; ends the relay if one of them is too old, or this host
/// has a part of it only, since another peer may know better.
async fn send_changes(
    socket: &mut WebSocketStream<NetStream>,
    sent: &mut [SentTable],
    packs: bool,
) -> Result<(), String> {
    for table in sent {
        let name = &table.belief.table;
        if table.belief.is_part() {
            return Err(format!("a part of the table {name} is all that is known here"));
        }
        let age = table.belief.relay_age();
        let age = age.ok_or_else(|| format!("the table {name} is too old here"))?;
        let message = table.changes(age);
        table.version = message.version;
        table.rows += message.rows.len();
        let bytes = relay_frame::encode(&message, packs).map_err(|error| error.to_string())?;
        socket.send(Message::Binary(bytes.into())).await.map_err(|error| error.to_string())?;
    }
    Ok(())
}

fn part_to_wire(part: &TablePart) -> RelayPart {
    let class =
        |(class, bits): (&Name, &u32)| RelayClass { class: Name::clone(class), bits: *bits };
    RelayPart { seed: part.seed, classes: part.bits.iter().map(class).collect() }
}

fn part_from_wire(part: RelayPart) -> TablePart {
    let bits = part.classes.into_iter().map(|class| (class.class, class.bits));
    TablePart { seed: part.seed, bits: bits.collect() }
}

/// The peers that this host may take the tables from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayPeers {
    /// Sources of this host's failure domain, best first; empty when it reads the store itself.
    pub sources: Vec<SocketAddr>,
    /// All peers, best first, for when the store is out of reach.
    pub all: Vec<SocketAddr>,
    /// Set on a host that needs but a part of large tables: what tells its part from those of others.
    pub part: Option<u64>,
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
    let mut sources = Vec::new();
    let mut changes = reach.subscribe();
    loop {
        let direct = changes.borrow_and_update().direct;
        let listed = peers();
        let (part, has_sources) = (listed.part, !listed.sources.is_empty());
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
    reach: &watch::Sender<StoreReach>,
) {
    let before = peers().sources;
    loop {
        tokio::time::sleep(LOOK_AGAIN).await;
        let now = peers();
        if now.part != part {
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
    beliefs: &[SharedBelief],
    reach: &watch::Sender<StoreReach>,
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
            log::info!("event=relay_started peer={address} version={}", message.version);
            first = false;
        }
        let part = parts.get(&message.table).and_then(Option::as_ref);
        take(beliefs, message, part, waited_since.unwrap_or_default());
        reach::note(reach, "relayed", |state| state.relayed = true);
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
    beliefs: &[SharedBelief],
    message: RelayMessage,
    part: Option<&Arc<TablePart>>,
    waited_since: Moment,
) {
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
    belief.merge_relayed(&TableDelta { full: message.full, version: message.version, rows }, part);
    // An age that this host's clock cannot reach back to is too old to count.
    let age = Duration::from_millis(message.age_ms);
    let heard_at = belief.heard().heard_at(waited_since);
    belief.heard().note_relayed(heard_at.checked_before(age));
}
