//! The lease that lets one host send stage orders.
//!
//! The store may be restored from a copy that has an older lease row, or none;
//! `docs/design/store_eras.md` has the consequences.

use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_moment::Moment;
use dillspool_platform::{
    CommitReply, CommitRequest, PlatformError, ReadRequest, RowPrecondition, RowWrite, StoreEra,
    StoreVersion, TableRow, TableStore,
};
use dillspool_schema::Name;
use serde::{Deserialize, Serialize};

/// Key of the lease row.
const LEASE_KEY: &str = "orders/lease";
/// Time after the write of a term within which its orders must be sent. Together with the wait of
/// the next holder it keeps the orders of two holders apart.
const TERM_DURATION: Duration = Duration::from_millis(1500);
/// Factor by which another host waits longer than the platform requires.
const TAKEOVER_WAIT_FACTOR: u32 = 2;

/// Maximum number of ordered engines that the row lists; the oldest are dropped. Only some engines
/// of a pool are ordered at a time, and a row may have 64 KB.
const MAX_ORDERED: usize = 512;

/// The lease row, which names the holder.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct LeaseRow {
    /// Host that may send orders.
    pub holder: Name,
    /// Fencing token of its newest term.
    pub fence: u64,
    /// Distinguishes this write from all others.
    pub token: u64,
    /// Engines that were ordered to change, each by its id and, if it reports one, its start; the
    /// newest last.
    pub ordered: Vec<Name>,
    /// Target number of prefill engines of each pool, by service; a fleet that starts again begins
    /// with them.
    #[serde(default)]
    pub targets: BTreeMap<Name, usize>,
    /// Version of the store that its writer had read.
    #[serde(default)]
    pub read_at: StoreVersion,
}

impl LeaseRow {
    /// A row without a holder; the fencing token of the next term is higher than `fence`.
    fn empty(fence: u64) -> Self {
        let holder = Name::from("");
        let (ordered, targets) = (Vec::new(), BTreeMap::new());
        Self { holder, fence, token: 0, ordered, targets, read_at: StoreVersion::default() }
    }
}

/// The lease as read from the store.
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

/// A lease term: the right to send orders for a short time.
#[derive(Clone, Debug)]
pub struct OrderTerm {
    /// Fencing token of the orders.
    pub fence: u64,
    expires_at: Moment,
    clock: HostClock,
}

impl OrderTerm {
    /// Whether orders may still be sent.
    pub fn is_valid(&self) -> bool {
        self.clock.now() < self.expires_at
    }
}

/// Acquires terms of the lease.
#[derive(Clone, Debug)]
pub struct OrderLease {
    store: TableStore,
    host: Name,
    /// Minimum time between the orders of two holders.
    handover_gap: Duration,
    clock: HostClock,
    /// Whether the fleet starts for the first time, so that no host has had the lease before.
    is_first_start: bool,
    /// First era of the store that this host saw.
    first_era: Arc<OnceLock<StoreEra>>,
}

impl OrderLease {
    /// Creates the lease for a host; `handover_gap` is the platform's minimum time between two
    /// holders.
    pub fn new(store: TableStore, host: Name, handover_gap: Duration, clock: HostClock) -> Self {
        Self { store, host, handover_gap, clock, is_first_start: false, first_era: Arc::default() }
    }

    /// Lets a host of a fleet that starts for the first time acquire the lease without a wait.
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

    /// Whether another host may have a term that has not expired. After a restore of the store, the
    /// row does not show who had the newest term.
    fn may_be_held(&self, state: &LeaseState) -> bool {
        let era = state.version.era();
        match &state.row {
            Some((row, _version)) => row.holder != self.host || row.read_at.era() != era,
            None => !self.is_first_start || self.first_era.get() != Some(&era),
        }
    }

    /// Acquires a term to order changes of `engines` towards `targets`; `None` if another host has
    /// the lease.
    ///
    /// A host that is not the holder, or cannot know whether it is, first waits until the row has
    /// stayed unchanged for long enough.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the store does not answer. A write that may have been done gives no
    /// term, and the next attempt finds its row.
    pub async fn acquire(
        &self,
        engines: &[Name],
        targets: &BTreeMap<Name, usize>,
        token: u64,
    ) -> Result<Option<OrderTerm>, PlatformError> {
        let mut state = self.read_state().await?;
        if self.may_be_held(&state) {
            tokio::time::sleep(self.handover_gap * TAKEOVER_WAIT_FACTOR).await;
            let current = self.read_state().await?;
            let is_restored = current.version.era() != state.version.era();
            if is_restored || current.row_version() != state.row_version() {
                let by = current.holder().map_or("nobody", |holder| &**holder);
                log::info!(
                    "event=lease_held holder={} by={by} store={}",
                    self.host,
                    current.version
                );
                return Ok(None);
            }
            state = current;
        }
        let term_start = self.clock.now();
        let read_at = state.version;
        let (expect, previous) = match state.row {
            Some((row, version)) => (RowPrecondition::Version(version), row),
            None => (RowPrecondition::Absent, LeaseRow::empty(0)),
        };
        // Higher than all fencing tokens of earlier eras, and than those of rows that another write
        // replaced because its precondition held by chance.
        let fence = previous.fence.max(read_at.into()) + 1;
        let mut ordered = previous.ordered;
        let mut all_targets = previous.targets;
        all_targets
            .extend(targets.iter().map(|(service, engines)| (Name::clone(service), *engines)));
        ordered.extend(engines.iter().cloned());
        ordered.drain(..ordered.len().saturating_sub(MAX_ORDERED));
        let holder = Name::clone(&self.host);
        let row = LeaseRow { holder, fence, token, ordered, targets: all_targets, read_at };
        let Ok(json) = serde_json::to_string(&row) else { return Ok(None) };
        let write = RowWrite { key: LEASE_KEY.into(), expect, value: Some(json) };
        let request = CommitRequest { writes: vec![write], read_at: Some(read_at) };
        match (self.store.commit)(request).await? {
            CommitReply::Committed => {
                log::info!("event=lease_taken holder={} fence={fence} store={read_at}", self.host);
                let (expires_at, clock) = (term_start + TERM_DURATION, self.clock.clone());
                Ok(Some(OrderTerm { fence, expires_at, clock }))
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
            // The next term overwrites the row. Its fencing token starts from the row's version,
            // which is higher than any token before it.
            log::warn!("event=lease_malformed version={} cause=\"{error}\"", row.version);
            (LeaseRow::empty(row.version.into()), row.version)
        }
    }
}
