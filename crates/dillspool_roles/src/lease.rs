//! The lease under which one host gives orders.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_moment::Moment;
use dillspool_platform::{
    CommitReply, PlatformError, RowExpect, RowWrite, StoreVersion, TableRow, TableStore,
};
use dillspool_schema::Name;
use serde::{Deserialize, Serialize};

/// Key of the lease's row.
const LEASE_KEY: &str = "orders/lease";
/// Time after the write of a term within which its orders must be sent. Together with the wait
/// of the next holder it keeps the orders of two holders apart.
const TERM_LIFE: Duration = Duration::from_millis(1500);
/// Factor by which another host waits longer than the platform asks for.
const TAKE_OVER_FACTOR: u32 = 2;

/// Engines that the row remembers at most, the newest: a pool is ordered some at a time, and a row
/// may have 64 KB.
const MOST_ORDERED: usize = 512;

/// The row that names the holder.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct LeaseRow {
    /// Host that gives orders.
    pub holder: Name,
    /// Fencing token of its newest term.
    pub fence: u64,
    /// Tells this write from all others.
    pub token: u64,
    /// Engines that were ordered to change, each by its id and its start if it tells one, the newest last.
    pub ordered: Vec<Name>,
    /// Prefill engines that each pool keeps, by service; a fleet that starts anew begins with them.
    #[serde(default)]
    pub targets: BTreeMap<Name, usize>,
}

impl LeaseRow {
    /// A row of nobody whose next term has the fence after this one.
    fn empty(fence: u64) -> Self {
        let holder = Name::from("");
        Self { holder, fence, token: 0, ordered: Vec::new(), targets: BTreeMap::new() }
    }
}

/// The right to send orders for a short time.
#[derive(Clone, Debug)]
pub struct OrderTerm {
    /// Fencing token of the orders.
    pub fence: u64,
    ends: Moment,
    clock: HostClock,
}

impl OrderTerm {
    /// Whether orders may still be sent.
    pub fn is_valid(&self) -> bool {
        self.clock.now() < self.ends
    }
}

/// Takes terms of the lease.
#[derive(Clone, Debug)]
pub struct OrderLease {
    store: TableStore,
    host: Name,
    /// Time that must lie between the orders of two holders.
    apart: Duration,
    clock: HostClock,
}

impl OrderLease {
    /// A lease for a host; `apart` is the platform's time between two holders.
    pub fn new(store: TableStore, host: Name, apart: Duration, clock: HostClock) -> Self {
        Self { store, host, apart, clock }
    }

    /// Reads the lease.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the store does not answer.
    pub async fn read(&self) -> Result<Option<(LeaseRow, StoreVersion)>, PlatformError> {
        let row = self.store.read_one(LEASE_KEY.into()).await?;
        Ok(row.map(|row| parse(&row)))
    }

    /// Takes a term to order changes of `engines` towards `targets`; `None` when another host has
    /// the lease.
    ///
    /// A host that is not the holder waits until the row has rested for long enough.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the store does not answer; a write that may have been done gives
    /// no term, and the next try finds its row.
    pub async fn take(
        &self,
        engines: &[Name],
        targets: &BTreeMap<Name, usize>,
        token: u64,
    ) -> Result<Option<OrderTerm>, PlatformError> {
        let before = self.read().await?;
        if let Some((row, version)) = &before
            && row.holder != self.host
        {
            let rested = *version;
            tokio::time::sleep(self.apart * TAKE_OVER_FACTOR).await;
            let now = self.read().await?.map(|(_row, version)| version);
            if now != Some(rested) {
                log::info!("event=lease_held holder={} by={}", self.host, row.holder);
                return Ok(None);
            }
        }
        let started = self.clock.now();
        let (expect, before) = match before {
            Some((row, version)) => (RowExpect::Version(version), row),
            None => (RowExpect::Absent, LeaseRow::empty(0)),
        };
        let (fence, mut ordered) = (before.fence + 1, before.ordered);
        let mut kept = before.targets;
        kept.extend(targets.iter().map(|(service, engines)| (Name::clone(service), *engines)));
        ordered.extend(engines.iter().cloned());
        ordered.drain(..ordered.len().saturating_sub(MOST_ORDERED));
        let row =
            LeaseRow { holder: Name::clone(&self.host), fence, token, ordered, targets: kept };
        let Ok(text) = serde_json::to_string(&row) else { return Ok(None) };
        let write = RowWrite { key: LEASE_KEY.into(), expect, value: Some(text) };
        match self.store.commit(vec![write]).await? {
            CommitReply::Committed => {
                log::info!("event=lease_taken holder={} fence={fence}", self.host);
                let (ends, clock) = (started + TERM_LIFE, self.clock.clone());
                Ok(Some(OrderTerm { fence, ends, clock }))
            }
            CommitReply::Conflict(_keys) => {
                log::info!("event=lease_lost holder={} fence={fence}", self.host);
                Ok(None)
            }
        }
    }
}

fn parse(row: &TableRow) -> (LeaseRow, StoreVersion) {
    match serde_json::from_str(&row.value) {
        Ok(lease) => (lease, row.version),
        Err(error) => {
            // Written over by the next term; the fence starts from its version, which is higher
            // than any fence before it.
            log::warn!("event=lease_malformed version={} cause=\"{error}\"", row.version);
            (LeaseRow::empty(row.version.into()), row.version)
        }
    }
}
