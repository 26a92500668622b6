//! Relays this host's tables to those that connect.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{NetListener, NetStream};
use dillspool_part::TableSubset;
use dillspool_platform::{ChangedRow, StoreVersion};
use dillspool_schema::Name;
use dillspool_schema::relay::{RelayClass, RelayMessage, RelayPart, RelayRow};
use futures_util::{SinkExt, StreamExt};
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::handshake::server::{
    Request as HandshakeRequest, Response as HandshakeResponse,
};
use tokio_tungstenite::{WebSocketStream, accept_hdr_async_with_config};
use tokio_util::sync::CancellationToken;

use super::{CONNECT_LIMIT, config};
use crate::belief::SharedReplica;
use crate::reach::StoreReachability;
use crate::relay_frame::{self, RelayWish};

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

/// What a host relays, and how.
#[derive(Clone)]
pub struct RelayService {
    beliefs: Vec<SharedReplica>,
    reach: watch::Receiver<StoreReachability>,
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
        beliefs: Vec<SharedReplica>,
        reach: watch::Receiver<StoreReachability>,
        limit: Duration,
    ) -> Self {
        Self { beliefs, reach, limit, hosts: Arc::new(|| None) }
    }

    /// Asks for the number of hosts.
    #[must_use]
    pub fn with_host_count(
        self,
        hosts: impl Fn() -> Option<usize> + Send + Sync + 'static,
    ) -> Self {
        Self { hosts: Arc::new(hosts), ..self }
    }

    /// The part of a table for a peer that holds parts of large ones.
    fn part_for(&self, belief: &SharedReplica, seed: u64) -> Option<Arc<TableSubset>> {
        let counts = belief.count_rows((self.hosts)())?;
        TableSubset::for_counts(seed, &counts).map(Arc::new)
    }

    /// Gives a peer another part where the table has outgrown the one that it has.
    fn look_at_part(&self, table: &mut SentTable, seed: u64) {
        if table.rows < LOOK_AFTER_ROWS && table.looked.elapsed() < LOOK_AT_PARTS {
            return;
        }
        (table.looked, table.rows) = (Instant::now(), 0);
        let counts = table.belief.count_rows((self.hosts)());
        if counts.is_some_and(|counts| TableSubset::needs_resize(table.part.as_deref(), &counts)) {
            table.part = self.part_for(&table.belief, seed);
            table.version = StoreVersion::default();
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
    belief: SharedReplica,
    /// Version up to which the peer has it; the default one before the first rows.
    version: StoreVersion,
    /// The rows that it holds; `None` for all.
    part: Option<Arc<TableSubset>>,
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
            version: row.version.into(),
            value: row.value.as_deref().map(str::to_owned),
        };
        RelayMessage {
            table: Arc::clone(&self.belief.table),
            full: delta.full,
            version: delta.version.into(),
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
    let table = |belief: &SharedReplica| SentTable {
        belief: belief.clone(),
        version: StoreVersion::default(),
        part: wish.part.and_then(|seed| service.part_for(belief, seed)),
        looked: Instant::now(),
        rows: 0,
    };
    let mut sent: Vec<_> = service.beliefs.iter().map(table).collect();
    let mut watchers: Vec<_> = service.beliefs.iter().map(SharedReplica::subscribe).collect();
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
        table.version = message.version.into();
        table.rows += message.rows.len();
        let bytes = relay_frame::encode(&message, packs).map_err(|error| error.to_string())?;
        socket.send(Message::Binary(bytes.into())).await.map_err(|error| error.to_string())?;
    }
    Ok(())
}

fn part_to_wire(part: &TableSubset) -> RelayPart {
    let class =
        |(class, bits): (&Name, &u32)| RelayClass { class: Name::clone(class), bits: *bits };
    RelayPart { seed: part.seed, classes: part.sampling_bits.iter().map(class).collect() }
}
