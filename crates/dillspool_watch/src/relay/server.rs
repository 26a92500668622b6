//! Relays this host's tables to the peers that connect.

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

use super::{CONNECT_TIMEOUT, config};
use crate::reachability::StoreReachability;
use crate::relay_codec::{self, RelayOptions};
use crate::replica::SharedReplica;

/// Maximum number of peers that are sent whole tables at once; each holds memory while it is sent
/// to.
const MAX_SNAPSHOT_SENDS: usize = 8;
/// Timeout for one send, several times the transfer of a whole table over the slowest link.
const SEND_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum interval at which the current version is sent as a heartbeat.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The same as a fraction of the time in which changes must be in force.
const HEARTBEAT_FRACTION: f64 = 0.125;
/// Minimum time between two messages that carry changes.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(100);
/// How long a host that has just started, and relies on others itself, makes its peers wait for its
/// initial tables; longer than a root takes to load them.
const INITIAL_TABLES_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which to check for the initial tables.
const TABLES_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which to check whether a peer's subset still fits the table.
const SUBSET_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Number of changed rows after which this is checked at once, since backend servers that start
/// together register within seconds.
const SUBSET_CHECK_ROWS: usize = 64;

/// Which tables a host relays, and how.
#[derive(Clone)]
pub struct RelayService {
    replicas: Vec<SharedReplica>,
    status: watch::Receiver<StoreReachability>,
    change_limit: Duration,
    host_count: Arc<dyn Fn() -> Option<usize> + Send + Sync>,
}

impl fmt::Debug for RelayService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayService").field("beliefs", &self.replicas).finish_non_exhaustive()
    }
}

impl RelayService {
    /// Relays tables whose changes must be in force everywhere within `change_limit`; the
    /// number of hosts is unknown.
    pub fn new(
        replicas: Vec<SharedReplica>,
        status: watch::Receiver<StoreReachability>,
        change_limit: Duration,
    ) -> Self {
        Self { replicas, status, change_limit, host_count: Arc::new(|| None) }
    }

    /// Sets the source of the number of hosts.
    #[must_use]
    pub fn with_host_count(
        self,
        host_count: impl Fn() -> Option<usize> + Send + Sync + 'static,
    ) -> Self {
        Self { host_count: Arc::new(host_count), ..self }
    }

    /// The subset of a table for a peer that holds subsets of large tables.
    fn subset_for(&self, replica: &SharedReplica, seed: u64) -> Option<Arc<TableSubset>> {
        let counts = replica.count_rows((self.host_count)())?;
        TableSubset::for_counts(seed, &counts).map(Arc::new)
    }

    /// Assigns a peer a new subset if its current one no longer fits the size of the table.
    fn check_subset(&self, table: &mut SentTable, seed: u64) {
        if table.rows_since_check < SUBSET_CHECK_ROWS
            && table.checked_at.elapsed() < SUBSET_CHECK_INTERVAL
        {
            return;
        }
        (table.checked_at, table.rows_since_check) = (Instant::now(), 0);
        let counts = table.replica.count_rows((self.host_count)());
        if counts.is_some_and(|counts| TableSubset::needs_resize(table.subset.as_deref(), &counts))
        {
            table.subset = self.subset_for(&table.replica, seed);
            table.version = StoreVersion::default();
        }
    }

    /// Waits until all tables are known, at most for `INITIAL_TABLES_TIMEOUT`.
    async fn wait_for_initial_tables(&self) {
        let since = Instant::now();
        let is_known = || self.replicas.iter().all(|replica| replica.relay_age().is_some());
        while !is_known() && since.elapsed() < INITIAL_TABLES_TIMEOUT {
            tokio::time::sleep(TABLES_CHECK_INTERVAL).await;
        }
    }
}

/// Relays tables to every host that connects, until `cancel`.
pub async fn serve_relay(
    mut listener: NetListener,
    service: RelayService,
    cancel: CancellationToken,
) {
    let snapshot_sends = Arc::new(Semaphore::new(MAX_SNAPSHOT_SENDS));
    loop {
        let stream = tokio::select! {
            stream = listener.accept() => stream,
            () = cancel.cancelled() => return,
        };
        let Some(stream) = stream else { return };
        let (service, cancel) = (service.clone(), cancel.clone());
        let snapshot_sends = Arc::clone(&snapshot_sends);
        tokio::spawn(async move {
            let ended = tokio::select! {
                ended = relay_to(stream, service, snapshot_sends) => ended,
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
    replica: SharedReplica,
    /// Version up to which the peer has the table; the default version before the first rows.
    version: StoreVersion,
    /// The rows that the peer holds; `None` for all.
    subset: Option<Arc<TableSubset>>,
    /// When it was last checked whether the subset fits the table, and rows sent since then.
    checked_at: Instant,
    rows_since_check: usize,
}

impl SentTable {
    /// What the peer lacks: the whole table or subset the first time, then only changed rows, since
    /// every row that is newer than a complete replica has a higher version.
    fn changes(&self, age: Duration) -> RelayMessage {
        let delta = match &self.subset {
            Some(subset) => self.replica.subset_changes_since(self.version, subset),
            None => self.replica.changes_since(self.version),
        };
        let row = |row: ChangedRow| RelayRow {
            key: row.key,
            version: row.version.into(),
            value: row.value.as_deref().map(str::to_owned),
        };
        RelayMessage {
            table: Arc::clone(&self.replica.table),
            full: delta.full,
            version: delta.version.into(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            part: self.subset.as_deref().filter(|_subset| delta.full).map(subset_to_wire),
            rows: delta.rows.into_iter().map(row).collect(),
        }
    }
}

async fn relay_to(
    stream: NetStream,
    service: RelayService,
    snapshot_sends: Arc<Semaphore>,
) -> Result<(), String> {
    let heartbeat = service.change_limit.mul_f64(HEARTBEAT_FRACTION).min(MAX_HEARTBEAT_INTERVAL);
    let accepted = tokio::time::timeout(CONNECT_TIMEOUT, accept(stream)).await;
    let (mut socket, options) = accepted.map_err(|elapsed| elapsed.to_string())??;
    service.wait_for_initial_tables().await;
    let mut send_permit =
        Some(snapshot_sends.acquire_owned().await.map_err(|error| error.to_string())?);
    let table = |replica: &SharedReplica| SentTable {
        replica: replica.clone(),
        version: StoreVersion::default(),
        subset: options.subset_seed.and_then(|seed| service.subset_for(replica, seed)),
        checked_at: Instant::now(),
        rows_since_check: 0,
    };
    let mut sent: Vec<_> = service.replicas.iter().map(table).collect();
    let mut receivers: Vec<_> = service.replicas.iter().map(SharedReplica::subscribe).collect();
    let mut status = service.status.clone();
    loop {
        status.mark_unchanged();
        let sending = send_changes(&mut socket, &mut sent, options.is_compressed);
        let ended = tokio::time::timeout(SEND_TIMEOUT, sending).await;
        ended.map_err(|_elapsed| "the peer did not read in time")??;
        drop(send_permit.take());
        if let Some(seed) = options.subset_seed {
            for table in &mut sent {
                service.check_subset(table, seed);
            }
        }
        tokio::time::sleep(MIN_SEND_INTERVAL).await;
        let changed = futures_util::future::select_all(
            receivers.iter_mut().map(|receiver| Box::pin(receiver.changed())),
        );
        tokio::select! {
            _changed = changed => {}
            _lost = status.changed() => {}
            () = tokio::time::sleep(heartbeat) => {}
            incoming = socket.next() => {
                if !matches!(incoming, Some(Ok(_))) {
                    return Err("the peer disconnected".to_owned());
                }
            }
        }
    }
}

/// Accepts a peer's connection and reads its options.
async fn accept(stream: NetStream) -> Result<(WebSocketStream<NetStream>, RelayOptions), String> {
    let mut options = RelayOptions::default();
    #[expect(clippy::result_large_err, reason = "the response type of the library")]
    let read_path = |request: &HandshakeRequest, response: HandshakeResponse| {
        options = RelayOptions::from_path(request.uri().path());
        Ok(response)
    };
    let socket = accept_hdr_async_with_config(stream, read_path, Some(config())).await;
    Ok((socket.map_err(|error| error.to_string())?, options))
}

/// Sends the peer what it lacks of each table. Ends the relay if one of the tables is too old, or
/// this host has only a subset of it, since another peer may be more up to date.
async fn send_changes(
    socket: &mut WebSocketStream<NetStream>,
    sent: &mut [SentTable],
    is_compressed: bool,
) -> Result<(), String> {
    for table in sent {
        let name = &table.replica.table;
        if table.replica.is_subset() {
            return Err(format!("this host holds only a subset of the table {name}"));
        }
        let age = table.replica.relay_age();
        let age =
            age.ok_or_else(|| format!("the replica of the table {name} is too old to relay"))?;
        let message = table.changes(age);
        table.version = message.version.into();
        table.rows_since_check += message.rows.len();
        let bytes =
            relay_codec::encode(&message, is_compressed).map_err(|error| error.to_string())?;
        socket.send(Message::Binary(bytes.into())).await.map_err(|error| error.to_string())?;
    }
    Ok(())
}

fn subset_to_wire(subset: &TableSubset) -> RelayPart {
    let class =
        |(class, bits): (&Name, &u32)| RelayClass { class: Name::clone(class), bits: *bits };
    RelayPart { seed: subset.seed, classes: subset.sampling_bits.iter().map(class).collect() }
}
