//! Heartbeat rows in the platform's table, for hosts that their peers cannot reach.
//!
//! A host writes its row only while an expected connection is down, so that normal operation costs
//! no writes. A row is fresh if its version keeps changing; clocks are not compared. See
//! `docs/design/orphans.md`.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_peer::{HostView, OwnerStatus, PeerLinks};
use dillspool_platform::{RowPrecondition, RowWrite, StoreVersion, TableStore};
use dillspool_schema::Name;
use tokio::time::Instant;

/// Interval between heartbeats of a host that lost a connection.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// A row that has not changed for this long is stale.
const HEARTBEAT_LEASE: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, Debug)]
struct ObservedRow {
    version: StoreVersion,
    changed: Instant,
}

/// Reads and writes heartbeat rows.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatRows {
    table: TableStore,
    observed: Arc<Mutex<BTreeMap<Name, ObservedRow>>>,
}

fn row_key(host: &str) -> Name {
    format!("alive/{host}").into()
}

impl HeartbeatRows {
    pub(crate) fn new(table: TableStore) -> Self {
        Self { table, observed: Arc::default() }
    }

    /// Writes or removes this host's own row; failures are logged only.
    pub(crate) async fn write(&self, host: &str, alive: bool) {
        let value = alive.then(|| "alive".to_owned());
        let write = RowWrite { key: row_key(host), expect: RowPrecondition::Any, value };
        if let Err(error) = self.table.commit(vec![write]).await {
            log::debug!("event=alive_row_not_written error=\"{error}\"");
        }
    }

    /// Whether a host's row is fresh; `None` if the table is unreachable.
    async fn is_fresh(&self, host: &Name) -> Option<bool> {
        let row = self.table.read_one(row_key(host)).await.ok()?;
        let now = Instant::now();
        let mut observed = self.observed.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(row) = row else {
            observed.remove(host);
            return Some(false);
        };
        let newest = ObservedRow { version: row.version, changed: now };
        let record = observed.entry(Name::clone(host)).or_insert(newest);
        if record.version != row.version {
            *record = newest;
        }
        Some(now - record.changed < HEARTBEAT_LEASE)
    }

    /// Whether an incarnation of a host is certainly dead: this host, its peers and the table have no
    /// sign that it is alive.
    pub(crate) async fn is_dead(
        &self,
        view: &HostView,
        links: &PeerLinks,
        host: Name,
        incarnation: u64,
    ) -> bool {
        match view.owner_status(&host, incarnation) {
            OwnerStatus::Alive => return false,
            OwnerStatus::Dead => return true,
            OwnerStatus::LeaseExpired => {}
        }
        let heard_by_peers = links.query_liveness(&host, incarnation).await;
        if heard_by_peers == Some(true) {
            return false;
        }
        match self.is_fresh(&host).await {
            Some(fresh) => !fresh,
            // The table is unreachable, so the peers' replies alone decide.
            None => heard_by_peers == Some(false),
        }
    }
}
