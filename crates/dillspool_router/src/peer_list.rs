//! The other hosts, from the seeds in the settings and from the rows that some hosts keep in the
//! store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_dialer::TunnelPeer;
use dillspool_part::host_seed;
use dillspool_platform::{PlatformError, RowPrecondition, RowWrite, TableStore};
use dillspool_scheduler::{SchedulePeers, SchedulerCandidate, rank_candidates};
use dillspool_schema::Name;
use dillspool_watch::{FollowRole, RelayPeers, TableReplica};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::directory_tracker::sleep_until;
use crate::gone_hosts::StoredHost;
use crate::host_rows::{HOST_KEY_PREFIX, HostRows};
use crate::settings::RouterConfig;
use crate::sources::{
    HostRow, MAX_DIRECT_HOSTS, SourcePlan, count_hosts, full_replica_hosts, plan_initial_sources,
    plan_sources,
};
use crate::unreadable_rows::UnreadableRows;

/// Maximum delay before a host with a link of [`TYPICAL_LINK_MBPS`] registers, randomized per host.
/// Hosts with faster links register earlier, and most others then need not register.
const MAX_REGISTRATION_DELAY: Duration = Duration::from_secs(5);
/// Random fraction of that delay: at least half, so that a host learns of hosts with faster links
/// first.
const REGISTRATION_JITTER: std::ops::Range<f64> = 0.5..1.0;
/// Link bandwidth in Mbit/s above which hosts register earlier, in proportion.
const TYPICAL_LINK_MBPS: f64 = 10.0;
/// Time after the first start of a fleet by which its hosts have registered.
const BOOTSTRAP_PERIOD: Duration = Duration::from_secs(8);
/// Delay after an attempt to write the row. It is longer than the row takes to come back, so that a
/// host that receives no updates does not write it over and over.
pub(crate) const REGISTRATION_RETRY_DELAY: Duration = Duration::from_secs(4);

/// The hosts from which this host reads what they have read from the store.
#[derive(Clone, Debug)]
pub(crate) struct PeerList {
    own: HostRow,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
    registered: Arc<Mutex<Vec<HostRow>>>,
    /// Registered hosts that this host has not reached for a while.
    unreachable: Arc<Mutex<BTreeSet<SocketAddr>>>,
    /// Rows of this host's failure domain, if it has no place among them.
    occupied: watch::Sender<Vec<StoredHost>>,
    /// Whether all hosts know the same host rows; before that, hosts disagree on who is a source.
    is_settled: Arc<AtomicBool>,
}

impl PeerList {
    pub(crate) fn new(config: &RouterConfig) -> Self {
        let own = HostRow {
            peers: config.peers,
            schedule: Some(config.schedule),
            failure_domain: Name::clone(&config.failure_domain),
            link_mbps: config.link_mbps,
        };
        Self {
            own,
            seeds: Arc::new(Mutex::new(config.seeds.clone())),
            registered: Arc::default(),
            unreachable: Arc::default(),
            occupied: watch::Sender::new(Vec::new()),
            is_settled: Arc::new(AtomicBool::new(!config.first_start)),
        }
    }

    /// Row of this host.
    pub(crate) fn own(&self) -> &HostRow {
        &self.own
    }

    /// Follows the rows of this host's failure domain, empty unless it has no place among them.
    pub(crate) fn occupied(&self) -> watch::Receiver<Vec<StoredHost>> {
        self.occupied.subscribe()
    }

    fn set_settled(&self, is_settled: bool) {
        self.is_settled.store(is_settled, Ordering::Relaxed);
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn with_rows<T>(&self, run: impl FnOnce(&mut Vec<HostRow>) -> T) -> T {
        run(&mut self.registered.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn plan(&self) -> SourcePlan {
        if self.is_settled.load(Ordering::Relaxed) {
            return self.with_rows(|rows| plan_sources(rows, &self.own));
        }
        let seeds = self.seeds();
        self.with_rows(|rows| plan_initial_sources(rows, &self.own, &seeds))
    }

    /// Candidates for scheduling the pool of a service, best first; each of them has the whole
    /// directory.
    pub(crate) fn schedule_peers(&self, service: &str) -> SchedulePeers {
        self.schedule_peers_without(service, &BTreeSet::new())
    }

    /// Candidates for holding a share of the limits, best first, without hosts that are
    /// unreachable: a limit is divided among the candidates, and rows outlive their hosts.
    pub(crate) fn limit_peers(&self, share: &str) -> SchedulePeers {
        self.schedule_peers_without(share, &self.unreachable())
    }

    fn schedule_peers_without(
        &self,
        service: &str,
        excluded: &BTreeSet<SocketAddr>,
    ) -> SchedulePeers {
        let candidate = |row: &HostRow| {
            let address = row.schedule.filter(|_address| !excluded.contains(&row.peers))?;
            Some(SchedulerCandidate { address, link_mbps: row.link_mbps })
        };
        let hosts: Vec<_> = self
            .with_rows(|rows| full_replica_hosts(rows).into_iter().filter_map(candidate).collect());
        SchedulePeers { own_address: self.own.schedule, ranked: rank_candidates(service, &hosts) }
    }

    /// Other hosts that may connect to backend servers for this one. They hold the whole directory.
    pub(crate) fn tunnel_peers(&self) -> Vec<TunnelPeer> {
        let peer = |row: &HostRow| {
            let is_near = row.failure_domain == self.own.failure_domain;
            Some(TunnelPeer { address: row.schedule?, is_near })
        };
        self.with_rows(|rows| {
            let others =
                full_replica_hosts(rows).into_iter().filter(|row| row.peers != self.own.peers);
            others.filter_map(peer).collect()
        })
    }

    /// Who polls the store for this host's replicas.
    fn role(&self) -> FollowRole {
        match self.plan() {
            SourcePlan::Alone => FollowRole::Alone,
            SourcePlan::Root => FollowRole::Source,
            SourcePlan::Relayed(_sources) => FollowRole::Relayed,
        }
    }

    /// Hosts that this host reads the tables from. At the first start of a fleet, roots and sources
    /// read from the seeds, which poll the store, until the host rows have settled: two hosts that
    /// take each other for roots would relay to each other and receive nothing.
    pub(crate) fn relay_peers(&self) -> RelayPeers {
        let sources = match self.plan() {
            SourcePlan::Relayed(sources) => sources,
            SourcePlan::Alone | SourcePlan::Root => Vec::new(),
        };
        RelayPeers { sources, all: self.addresses(), subset_seed: self.subset_seed() }
    }

    /// Seed of this host's subset of a large table; `None` on a host that may serve whole tables to
    /// others.
    fn subset_seed(&self) -> Option<u64> {
        let holds_full_replica = self.with_rows(|rows| {
            let is_in_domain = |row: &&HostRow| row.failure_domain == self.own.failure_domain;
            let is_alone =
                !rows.is_empty() && rows.iter().filter(is_in_domain).count() <= MAX_DIRECT_HOSTS;
            is_alone || full_replica_hosts(rows).iter().any(|row| row.peers == self.own.peers)
        });
        (!holds_full_replica).then(|| host_seed(&self.own.peers.to_string()))
    }

    /// Size of the fleet, if it follows from the host rows.
    pub(crate) fn count_hosts(&self) -> Option<usize> {
        self.with_rows(|rows| count_hosts(rows))
    }

    /// The same without hosts that are unreachable.
    pub(crate) fn count_reachable_hosts(&self) -> Option<usize> {
        let unreachable = self.unreachable();
        self.with_rows(|rows| {
            let gone = rows.iter().filter(|row| unreachable.contains(&row.peers)).count();
            Some(count_hosts(rows)? - gone)
        })
    }

    /// Addresses of the other registered hosts.
    pub(crate) fn registered_peers(&self) -> BTreeSet<SocketAddr> {
        self.with_rows(|rows| {
            rows.iter().map(|row| row.peers).filter(|peer| *peer != self.own.peers).collect()
        })
    }

    fn unreachable(&self) -> BTreeSet<SocketAddr> {
        self.unreachable.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the registered hosts that this host has not reached for a while.
    pub(crate) fn set_unreachable(&self, hosts: BTreeSet<SocketAddr>) {
        *self.unreachable.lock().unwrap_or_else(PoisonError::into_inner) = hosts;
    }

    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    /// Addresses of peers, those in this failure domain first, since traffic between domains is
    /// charged.
    fn addresses(&self) -> Vec<SocketAddr> {
        let registered = self.with_rows(|rows| rows.clone());
        let (same_domain, others): (Vec<_>, Vec<_>) =
            registered.into_iter().partition(|row| row.failure_domain == self.own.failure_domain);
        let all = same_domain.into_iter().chain(others).map(|row| row.peers).chain(self.seeds());
        let mut addresses = Vec::new();
        for address in all {
            if address != self.own.peers && !addresses.contains(&address) {
                addresses.push(address);
            }
        }
        addresses
    }
}

/// Follows the host rows, and registers this host if needed, until `cancel`.
///
/// `tables` are the table with the host rows and that of the backend servers; the latter shows that
/// a store without any host row has been read.
pub(crate) async fn maintain_peer_list(
    config: RouterConfig,
    (own_table, store): (Name, TableStore),
    peers: PeerList,
    tables: [watch::Receiver<TableReplica>; 2],
    unreadable: UnreadableRows,
    role: watch::Sender<FollowRole>,
    cancel: CancellationToken,
) {
    let maintain = async {
        let [mut hosts, mut backends] = tables;
        let started = Instant::now();
        let mut not_before = started;
        let mut registration_due: Option<Instant> = None;
        let mut rows = HostRows::default();
        loop {
            rows.update(&own_table, &hosts.borrow_and_update(), &unreadable);
            peers.with_rows(|registered| *registered = rows.hosts());
            let occupied = rows.occupied_places(&peers.own);
            peers.occupied.send_if_modified(|known| {
                let is_changed = *known != occupied;
                *known = occupied;
                is_changed
            });
            let is_known =
                hosts.borrow().version.is_known() || backends.borrow().version.is_known();
            // At the first start of a fleet no host is registered yet, and every host would seem to
            // be alone.
            let is_settled = !config.first_start || started.elapsed() >= BOOTSTRAP_PERIOD;
            peers.set_settled(is_settled);
            let current_role = peers.role();
            if is_known && (is_settled || current_role != FollowRole::Alone) {
                role.send_if_modified(|role| std::mem::replace(role, current_role) != current_role);
            }
            let should_register = is_known && rows.needs_registration(&peers.own);
            // Other rows of the table change constantly, which must not postpone the registration.
            let register_at = match registration_due.filter(|_due| should_register) {
                Some(due) => due,
                None => (Instant::now() + registration_delay(&peers.own)).max(not_before),
            };
            registration_due = should_register.then_some(register_at);
            tokio::select! {
                changed = hosts.changed() => if changed.is_err() { return },
                () = tokio::time::sleep_until(started + BOOTSTRAP_PERIOD), if !is_settled => {}
                () = sleep_until(rows.next_expiry()) => {}
                is_open = wait_until_known(&mut backends), if !is_known => if !is_open { return },
                () = tokio::time::sleep_until(register_at), if should_register => {
                    register_host(&config, &store, &peers.own).await;
                    not_before = Instant::now() + REGISTRATION_RETRY_DELAY;
                    registration_due = None;
                }
            }
        }
    };
    tokio::select! {
        () = maintain => {}
        () = cancel.cancelled() => {}
    }
}

/// Waits until a table is known; returns false if its replica is closed.
async fn wait_until_known(table: &mut watch::Receiver<TableReplica>) -> bool {
    table.wait_for(|table| table.version.is_known()).await.is_ok()
}

/// Delay before this host registers, unless others make this unnecessary by then.
fn registration_delay(own: &HostRow) -> Duration {
    let speedup = (own.link_mbps / TYPICAL_LINK_MBPS).max(1.0);
    let jitter = rand::Rng::random_range(&mut rand::rng(), REGISTRATION_JITTER);
    MAX_REGISTRATION_DELAY.mul_f64(jitter / speedup)
}

async fn register_host(config: &RouterConfig, store: &TableStore, own: &HostRow) {
    if let Err(error) = try_register_host(config, store, own).await {
        log::info!("event=host_row_not_written cause=\"{error}\"");
    }
}

async fn try_register_host(
    config: &RouterConfig,
    store: &TableStore,
    own: &HostRow,
) -> Result<(), PlatformError> {
    store.commit(vec![own_row_write(config, own)?]).await?;
    Ok(())
}

/// Write of the row of this host.
pub(crate) fn own_row_write(
    config: &RouterConfig,
    own: &HostRow,
) -> Result<RowWrite, PlatformError> {
    let value = serde_json::to_string(own)
        .map_err(|error| PlatformError::NotDone { reason: error.to_string() })?;
    let key = format!("{HOST_KEY_PREFIX}{}", config.host).into();
    Ok(RowWrite { key, expect: RowPrecondition::Any, value: Some(value) })
}
