//! The lease under which one host gives orders.
//!
//! The store may come back from a copy that shows an older row, or none; `docs/design/store_eras.md` has what
//! follows.

use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_moment::Moment;
use dillspool_platform::{
    CommitReply, CommitRequest, PlatformError, ReadRequest, RowExpect, RowWrite, StoreEra,
    StoreVersion, TableRow, TableStore,
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
    /// Version of the store that its writer had read.
    #[serde(default)]
    pub read_at: StoreVersion,
}

impl LeaseRow {
    /// A row of nobody whose next term has the fence after this one.
    fn empty(fence: u64) -> Self {
        let holder = Name::from("");
        let (ordered, targets) = (Vec::new(), BTreeMap::new());
        Self { holder, fence, token: 0, ordered, targets, read_at: StoreVersion::default() }
    }
}

/// The lease as the store shows it.
#[derive(Debug)]
struct LeaseState {
    /// The row and its version.
    row: Option<(LeaseRow, StoreVersion)>,
    /// Newest version of the store.
    version: StoreVersion,
}

impl LeaseState {
    fn row_version(&self) -> Option<StoreVersion> {
        self.row.as_ref().map(|(_row, version)| *version)
    }

    fn holder(&self) -> Option<&Name> {
        self.row.as_ref().map(|(row, _version)| &row.holder)
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
    /// Whether the fleet starts for the first time, so that nobody had the lease before.
    is_first_start: bool,
    /// First era of the store that this host saw.
    first_era: Arc<OnceLock<StoreEra>>,
}

impl OrderLease {
    /// A lease for a host; `apart` is the platform's time between two holders.
    pub fn new(store: TableStore, host: Name, apart: Duration, clock: HostClock) -> Self {
        Self { store, host, apart, clock, is_first_start: false, first_era: Arc::default() }
    }

    /// Lets a host of a fleet that starts for the first time begin at once.
    #[must_use]
    pub fn with_first_start(self, is_first_start: bool) -> Self {
        Self { is_first_start, ..self }
    }

    /// Reads the lease.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the store does not answer.
    pub async fn read(&self) -> Result<Option<(LeaseRow, StoreVersion)>, PlatformError> {
        Ok(self.read_state().await?.row)
    }

    async fn read_state(&self) -> Result<LeaseState, PlatformError> {
        let reply = (self.store.read)(ReadRequest { keys: vec![LEASE_KEY.into()] }).await?;
        self.first_era.get_or_init(|| reply.version.era());
        let row = reply.rows.into_iter().next().flatten();
        Ok(LeaseState { row: row.as_ref().map(parse), version: reply.version })
    }

    /// Whether another host may have a term that goes on. After a restoration the row tells nothing of who had the
    /// newest one.
    fn may_be_held(&self, state: &LeaseState) -> bool {
        let era = state.version.era();
        match &state.row {
            Some((row, _version)) => row.holder != self.host || row.read_at.era() != era,
            None => !self.is_first_start || self.first_era.get() != Some(&era),
        }
    }

    /// Takes a term to order changes of `engines` towards `targets`; `None` when another host has
    /// the lease.
    ///
    /// A host that is not the holder, or cannot know it, waits until the row has rested for long enough.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the store does not answer; a write that may have been done gives
    /// no term, and the next try finds its row.
    pub async fn acquire(
        &self,
        engines: &[Name],
        targets: &BTreeMap<Name, usize>,
        token: u64,
    ) -> Result<Option<OrderTerm>, PlatformError> {
        let mut state = self.read_state().await?;
        if self.may_be_held(&state) {
            tokio::time::sleep(self.apart * TAKE_OVER_FACTOR).await;
            let now = self.read_state().await?;
            let is_restored = now.version.era() != state.version.era();
            if is_restored || now.row_version() != state.row_version() {
                let by = now.holder().map_or("nobody", |holder| &**holder);
                log::info!("event=lease_held holder={} by={by} store={}", self.host, now.version);
                return Ok(None);
            }
            state = now;
        }
        let started = self.clock.now();
        let read_at = state.version;
        let (expect, before) = match state.row {
            Some((row, version)) => (RowExpect::Version(version), row),
            None => (RowExpect::Absent, LeaseRow::empty(0)),
        };
        // Above all fences of earlier eras, and of rows that were written over by a condition that held by chance.
        let fence = before.fence.max(read_at.into()) + 1;
        let mut ordered = before.ordered;
        let mut kept = before.targets;
        kept.extend(targets.iter().map(|(service, engines)| (Name::clone(service), *engines)));
        ordered.extend(engines.iter().cloned());
        ordered.drain(..ordered.len().saturating_sub(MOST_ORDERED));
        let holder = Name::clone(&self.host);
        let row = LeaseRow { holder, fence, token, ordered, targets: kept, read_at };
        let Ok(text) = serde_json::to_string(&row) else { return Ok(None) };
        let write = RowWrite { key: LEASE_KEY.into(), expect, value: Some(text) };
        let request = CommitRequest { writes: vec![write], read_at: Some(read_at) };
        match (self.store.commit)(request).await? {
            CommitReply::Committed => {
                log::info!("event=lease_taken holder={} fence={fence} store={read_at}", self.host);
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
