//! The other hosts, from the seeds of the settings and from the rows that some of them keep in the
//! store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_part::host_seed;
use dillspool_platform::{PlatformError, RowPrecondition, RowWrite, TableStore};
use dillspool_scheduler::{SchedulePeers, SchedulerCandidate, rank_candidates};
use dillspool_schema::Name;
use dillspool_watch::{FollowRole, RelayPeers, TableReplica};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::directory_tracker::sleep_until;
use crate::host_rows::{HOST_PREFIX, HostRows};
use crate::settings::RouterConfig;
use crate::sources::{
    HostRow, MOST_DIRECT_HOSTS, SourcePlan, count_hosts, full_replica_hosts, plan_initial_sources,
    plan_sources,
};
use crate::unreadable_rows::UnreadableRows;

/// Longest time before a host with a link of [`USUAL_LINK_MBPS`] records itself, spread over the
/// hosts: those with wider links do so before, and most others then need not.
const LONGEST_LIST_DELAY: Duration = Duration::from_secs(5);
/// Parts of that time between which a host does so: none in the first half, so that it hears of wider ones first.
const LIST_DELAY_PARTS: std::ops::Range<f64> = 0.5..1.0;
/// Width of a link in Mbit/s from which on hosts record themselves earlier, in proportion.
const USUAL_LINK_MBPS: f64 = 10.0;
/// Time after the first start of a fleet at which its hosts have recorded themselves.
const SETTLED_AFTER: Duration = Duration::from_secs(8);
/// Pause after a row was written, or could not be: longer than what was written takes to come back, so that
/// a host to which no news comes does not write it again and again.
const WRITTEN_PAUSE: Duration = Duration::from_secs(4);

/// Where other hosts are asked for what they have read from the store.
#[derive(Clone, Debug)]
pub(crate) struct PeerList {
    own: HostRow,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
    listed: Arc<Mutex<Vec<HostRow>>>,
    /// Whether the rows of hosts are known to all alike; before, who is a source differs from host to host.
    settled: Arc<AtomicBool>,
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
            listed: Arc::default(),
            settled: Arc::new(AtomicBool::new(!config.first_start)),
        }
    }

    fn set_settled(&self, is_settled: bool) {
        self.settled.store(is_settled, Ordering::Relaxed);
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn with_rows<T>(&self, run: impl FnOnce(&mut Vec<HostRow>) -> T) -> T {
        run(&mut self.listed.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn plan(&self) -> SourcePlan {
        if self.settled.load(Ordering::Relaxed) {
            return self.with_rows(|rows| plan_sources(rows, &self.own));
        }
        let seeds = self.seeds();
        self.with_rows(|rows| plan_initial_sources(rows, &self.own, &seeds))
    }

    /// Hosts that could schedule the pool of a service, the best first; each of them holds the whole directory.
    pub(crate) fn schedule_peers(&self, service: &str) -> SchedulePeers {
        let candidate = |row: &HostRow| {
            let link_mbps = row.link_mbps;
            Some(SchedulerCandidate { address: row.schedule?, link_mbps })
        };
        let hosts: Vec<_> = self
            .with_rows(|rows| full_replica_hosts(rows).into_iter().filter_map(candidate).collect());
        SchedulePeers { own_address: self.own.schedule, ranked: rank_candidates(service, &hosts) }
    }

    /// Whose questions to the store this host's beliefs come from.
    fn role(&self) -> FollowRole {
        match self.plan() {
            SourcePlan::Alone => FollowRole::Alone,
            SourcePlan::Root => FollowRole::Source,
            SourcePlan::Relayed(_sources) => FollowRole::Relayed,
        }
    }

    /// Where this host takes the tables from. At the first start of a fleet roots and sources do so from the seeds, which
    /// ask the store, until the rows of hosts are settled: hosts that take others for roots, and these the other way
    /// round, would relay to each other and learn nothing.
    pub(crate) fn relay_peers(&self) -> RelayPeers {
        let sources = match self.plan() {
            SourcePlan::Relayed(sources) => sources,
            SourcePlan::Alone | SourcePlan::Root => Vec::new(),
        };
        RelayPeers { sources, all: self.addresses(), subset_seed: self.part() }
    }

    /// What tells this host's part of a large table from those of others; none on a host that others may rely
    /// on.
    fn part(&self) -> Option<u64> {
        let is_relied_on = self.with_rows(|rows| {
            let near = |row: &&HostRow| row.failure_domain == self.own.failure_domain;
            let is_alone =
                !rows.is_empty() && rows.iter().filter(near).count() <= MOST_DIRECT_HOSTS;
            is_alone || full_replica_hosts(rows).iter().any(|row| row.peers == self.own.peers)
        });
        (!is_relied_on).then(|| host_seed(&self.own.peers.to_string()))
    }

    /// Hosts of the fleet, where their rows tell.
    pub(crate) fn count_hosts(&self) -> Option<usize> {
        self.with_rows(|rows| count_hosts(rows))
    }

    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    /// Addresses to ask: hosts of this failure domain first, since bytes between domains cost.
    fn addresses(&self) -> Vec<SocketAddr> {
        let listed = self.with_rows(|rows| rows.clone());
        let (near, far): (Vec<_>, Vec<_>) =
            listed.into_iter().partition(|row| row.failure_domain == self.own.failure_domain);
        let all = near.into_iter().chain(far).map(|row| row.peers).chain(self.seeds());
        let mut addresses = Vec::new();
        for address in all {
            if address != self.own.peers && !addresses.contains(&address) {
                addresses.push(address);
            }
        }
        addresses
    }
}

/// Follows the rows of hosts, and writes this host's own if it should have one, until `cancel`.
///
/// `tables` are those of the hosts and of the backend servers; a store without any row of a host is
/// known by the other one.
pub(crate) async fn keep_peer_list(
    config: RouterConfig,
    (own_table, store): (Name, TableStore),
    peers: PeerList,
    tables: [watch::Receiver<TableReplica>; 2],
    unreadable: UnreadableRows,
    role: watch::Sender<FollowRole>,
    cancel: CancellationToken,
) {
    let keep = async {
        let [mut hosts, mut backends] = tables;
        let started = Instant::now();
        let mut may_write_at = started;
        let mut due: Option<Instant> = None;
        let mut rows = HostRows::default();
        loop {
            rows.take(&own_table, &hosts.borrow_and_update(), &unreadable);
            peers.with_rows(|listed| *listed = rows.listed());
            let is_known =
                hosts.borrow().version.is_known() || backends.borrow().version.is_known();
            // At the first start of a fleet nobody is recorded yet, and every host would seem alone.
            let is_settled = !config.first_start || started.elapsed() >= SETTLED_AFTER;
            peers.set_settled(is_settled);
            let now_role = peers.role();
            if is_known && (is_settled || now_role != FollowRole::Alone) {
                role.send_if_modified(|role| std::mem::replace(role, now_role) != now_role);
            }
            let should_write = is_known && rows.lacks(&peers.own);
            // Other rows of the table change all the time, which must not put it off.
            let write_at = match due.filter(|_due| should_write) {
                Some(due) => due,
                None => (Instant::now() + list_delay(&peers.own)).max(may_write_at),
            };
            due = should_write.then_some(write_at);
            tokio::select! {
                changed = hosts.changed() => if changed.is_err() { return },
                () = tokio::time::sleep_until(started + SETTLED_AFTER), if !is_settled => {}
                () = sleep_until(rows.next_end()) => {}
                is_open = has_rows(&mut backends), if !is_known => if !is_open { return },
                () = tokio::time::sleep_until(write_at), if should_write => {
                    write_own(&config, &store, &peers.own).await;
                    may_write_at = Instant::now() + WRITTEN_PAUSE;
                    due = None;
                }
            }
        }
    };
    tokio::select! {
        () = keep => {}
        () = cancel.cancelled() => {}
    }
}

/// Waits until a table is known; false when its belief has ended.
async fn has_rows(table: &mut watch::Receiver<TableReplica>) -> bool {
    table.wait_for(|table| table.version.is_known()).await.is_ok()
}

/// Time before this host records itself, if nobody else has made that needless by then.
fn list_delay(own: &HostRow) -> Duration {
    let wide = (own.link_mbps / USUAL_LINK_MBPS).max(1.0);
    let spread = rand::Rng::random_range(&mut rand::rng(), LIST_DELAY_PARTS);
    LONGEST_LIST_DELAY.mul_f64(spread / wide)
}

async fn write_own(config: &RouterConfig, store: &TableStore, own: &HostRow) {
    if let Err(error) = try_write_own(config, store, own).await {
        log::info!("event=host_row_not_written cause=\"{error}\"");
    }
}

async fn try_write_own(
    config: &RouterConfig,
    store: &TableStore,
    own: &HostRow,
) -> Result<(), PlatformError> {
    let value = serde_json::to_string(own)
        .map_err(|error| PlatformError::NotDone { reason: error.to_string() })?;
    let key = format!("{HOST_PREFIX}{}", config.host).into();
    store.commit(vec![RowWrite { key, expect: RowPrecondition::Any, value: Some(value) }]).await?;
    Ok(())
}
