//! Signs of life through the table, for a host whose peers cannot hear it.
//!
//! Rows are written only while a connection that should be up is down, so that an ordinary day
//! costs no writes. Whether a row is fresh is told by its version changing, not by clocks. See
//! `docs/design/orphans.md`.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_peer::{HostView, OwnerStatus, PeerLinks};
use dillspool_platform::{RowPrecondition, RowWrite, StoreVersion, TableStore};
use dillspool_schema::Name;
use tokio::time::Instant;

/// Time between two writes of a host that lost a connection.
pub(crate) const ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// A row that did not change for this long is no sign of life.
const ALIVE_LEASE: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, Debug)]
struct SeenRow {
    version: StoreVersion,
    changed: Instant,
}

/// Reads and writes the rows.
#[derive(Clone, Debug)]
pub(crate) struct AliveRows {
    table: TableStore,
    seen: Arc<Mutex<BTreeMap<Name, SeenRow>>>,
}

fn row_key(host: &str) -> Name {
    format!("alive/{host}").into()
}

impl AliveRows {
    pub(crate) fn new(table: TableStore) -> Self {
        Self { table, seen: Arc::default() }
    }

    /// Writes or removes this host's own row.
    pub(crate) async fn write(&self, host: &str, alive: bool) {
        let value = alive.then(|| "alive".to_owned());
        let write = RowWrite { key: row_key(host), expect: RowPrecondition::Any, value };
        if let Err(error) = self.table.commit(vec![write]).await {
            log::debug!("event=alive_row_not_written error=\"{error}\"");
        }
    }

    /// Whether a host's row shows a sign of life; `None` when the table does not answer.
    async fn is_fresh(&self, host: &Name) -> Option<bool> {
        let row = self.table.read_one(row_key(host)).await.ok()?;
        let now = Instant::now();
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(row) = row else {
            seen.remove(host);
            return Some(false);
        };
        let unseen = SeenRow { version: row.version, changed: now };
        let record = seen.entry(Name::clone(host)).or_insert(unseen);
        if record.version != row.version {
            *record = unseen;
        }
        Some(now - record.changed < ALIVE_LEASE)
    }

    /// Whether an incarnation of a host is dead beyond doubt: nobody heard of it.
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
            // The table is out: the word of the peers alone must do.
            None => heard_by_peers == Some(false),
        }
    }
}
