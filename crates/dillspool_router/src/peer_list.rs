//! The other hosts, from the seeds of the settings and from the store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_forward::RetryBudgets;
use dillspool_platform::{PlatformError, RowExpect, RowWrite, ScanRequest, TableStore};
use dillspool_scheduler::{SchedulePeers, SchedulerCandidate, rank_candidates};
use dillspool_schema::Name;
use dillspool_watch::{FollowRole, RelayPeers};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::settings::RouterConfig;
use crate::sources::{HostRow, choose_sources};

/// Start of the keys of hosts.
const HOST_PREFIX: &str = "hosts/";
/// Hosts read at most; a relay needs a few, and the count only bounds this host's part of the
/// retry budget.
const MOST_HOSTS: usize = 500;
/// Time between two reads of the list: hosts change some times an hour.
const READ_EVERY: Duration = Duration::from_mins(1);
/// Time after the first read, when hosts that start together have written their rows.
const SECOND_READ: Duration = Duration::from_secs(3);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Where other hosts are asked for what they have read from the store.
#[derive(Clone, Debug)]
pub(crate) struct PeerList {
    own: SocketAddr,
    own_schedule: SocketAddr,
    failure_domain: Name,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
    listed: Arc<Mutex<Vec<HostRow>>>,
}

impl PeerList {
    pub(crate) fn new(config: &RouterConfig) -> Self {
        Self {
            own: config.peers,
            own_schedule: config.schedule,
            failure_domain: Name::clone(&config.failure_domain),
            seeds: Arc::new(Mutex::new(config.seeds.clone())),
            listed: Arc::default(),
        }
    }

    /// Sources of this host's failure domain, in the order in which this host tries them; `None`
    /// where each host reads the store itself.
    fn sources(&self) -> Option<Vec<SocketAddr>> {
        let listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        let near = listed.iter().filter(|row| row.failure_domain == self.failure_domain);
        choose_sources(&near.collect::<Vec<_>>(), &self.own)
    }

    /// Hosts that could schedule the pool of a service, the best first.
    pub(crate) fn schedule_peers(&self, service: &str) -> SchedulePeers {
        let listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        let hosts: Vec<_> = listed
            .iter()
            .filter_map(|row| {
                let link_mbps = row.link_mbps;
                Some(SchedulerCandidate { address: row.schedule?, link_mbps })
            })
            .collect();
        SchedulePeers { own: Some(self.own_schedule), ranked: rank_candidates(service, &hosts) }
    }

    /// Whose questions to the store this host's beliefs come from.
    pub(crate) fn role(&self) -> FollowRole {
        match self.sources() {
            None => FollowRole::Alone,
            Some(sources) if sources.contains(&self.own) => FollowRole::Source,
            Some(_sources) => FollowRole::Relayed,
        }
    }

    /// Where this host takes the tables from.
    pub(crate) fn relay_peers(&self) -> RelayPeers {
        let known = self.sources().unwrap_or_default();
        let own = self.own;
        // Sources see the store's return first.
        let others = self.addresses().into_iter().filter(|address| !known.contains(address));
        let near = known.iter().copied().filter(|address| *address != own);
        let all = near.chain(others).collect();
        let sources = if known.contains(&own) { Vec::new() } else { known.clone() };
        RelayPeers { sources, all }
    }

    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    /// Addresses to ask: hosts of this failure domain first, since bytes between domains cost.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let (near, far): (Vec<_>, Vec<_>) =
            listed.into_iter().partition(|row| row.failure_domain == self.failure_domain);
        let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let all = near.into_iter().chain(far).map(|row| row.peers).chain(seeds);
        let mut addresses = Vec::new();
        for address in all {
            if address != self.own && !addresses.contains(&address) {
                addresses.push(address);
            }
        }
        addresses
    }
}

/// Writes this host's row and reads the others' until `cancel`.
pub(crate) async fn keep_peer_list(
    config: RouterConfig,
    store: TableStore,
    peers: PeerList,
    budgets: RetryBudgets,
    role: watch::Sender<FollowRole>,
    cancel: CancellationToken,
) {
    let keep = async {
        let mut pause = SECOND_READ;
        while let Err(error) = write_own(&config, &store).await {
            log::debug!("event=host_row_not_written cause=\"{error}\"");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        loop {
            match read_all(&store).await {
                Ok(rows) => {
                    budgets.set_hosts(rows.len());
                    *peers.listed.lock().unwrap_or_else(PoisonError::into_inner) = rows;
                    role.send_replace(peers.role());
                }
                Err(error) => log::debug!("event=host_rows_not_read cause=\"{error}\""),
            }
            tokio::time::sleep(pause).await;
            pause = READ_EVERY;
        }
    };
    tokio::select! {
        () = keep => {}
        () = cancel.cancelled() => {}
    }
}

async fn write_own(config: &RouterConfig, store: &TableStore) -> Result<(), PlatformError> {
    let row = HostRow {
        peers: config.peers,
        schedule: Some(config.schedule),
        failure_domain: Name::clone(&config.failure_domain),
        link_mbps: config.link_mbps,
    };
    let value = serde_json::to_string(&row)
        .map_err(|error| PlatformError::NotDone { reason: error.to_string() })?;
    let key = format!("{HOST_PREFIX}{}", config.host).into();
    store.commit(vec![RowWrite { key, expect: RowExpect::Any, value: Some(value) }]).await?;
    Ok(())
}

async fn read_all(store: &TableStore) -> Result<Vec<HostRow>, PlatformError> {
    let query = ScanRequest { prefix: HOST_PREFIX.into(), after: "".into(), limit: MOST_HOSTS };
    let reply = (store.scan)(query).await?;
    let rows = reply.rows.into_iter().filter_map(|row| {
        serde_json::from_str(&row.row.value)
            .inspect_err(|error| {
                log::warn!("event=host_row_malformed key={} cause=\"{error}\"", row.key);
            })
            .ok()
    });
    Ok(rows.collect())
}
