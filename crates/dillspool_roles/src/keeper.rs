//! Watches the pools and orders what the plan asks for.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dillspool_forward::{BackendCalls, CallError, OrderOutcome, StageOrder};
use dillspool_platform::TableStore;
use dillspool_routing::{DirectoryView, RoutingConfig};
use dillspool_schema::Name;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::lease::{OrderLease, OrderTerm};
use crate::plan::{StageChange, StagePlan};

/// How stages are kept.
#[derive(Clone, Debug)]
pub struct KeeperSettings {
    /// This host.
    pub host: Name,
    /// How pools are divided.
    pub plan: StagePlan,
    /// Time that must lie between the orders of two holders.
    pub apart: Duration,
    /// Time before this host acts, other than on any other host; see [`keep_stages`].
    pub delay: Duration,
}

/// Time after which an engine that was ordered and shows no change is ordered again; a late
/// order may be carried out twelve seconds after it was sent.
const ORDER_AGAIN: Duration = Duration::from_secs(20);
/// Time between two looks at the pools.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Looks in a row that must ask for the same change, so that one lapsed entry turns no engine.
const STEADY_LOOKS: u32 = 2;

/// Orders changes of stage until `cancel`.
///
/// Every host runs this. Each waits its own `delay` before it acts, so mostly one tries for the
/// lease; the lease alone decides.
pub async fn keep_stages(
    settings: KeeperSettings,
    store: TableStore,
    calls: BackendCalls,
    config: watch::Receiver<Option<Arc<RoutingConfig>>>,
    directory: watch::Receiver<Arc<DirectoryView>>,
    cancel: CancellationToken,
) {
    let lease = OrderLease::new(store, Name::clone(&settings.host), settings.apart);
    let mut keeper =
        StageKeeper { settings, lease, calls, config, directory, ordered: HashMap::new() };
    tokio::select! {
        () = keeper.run() => {}
        () = cancel.cancelled() => {}
    }
}

struct StageKeeper {
    settings: KeeperSettings,
    lease: OrderLease,
    calls: BackendCalls,
    config: watch::Receiver<Option<Arc<RoutingConfig>>>,
    directory: watch::Receiver<Arc<DirectoryView>>,
    /// When an engine was ordered, by any host.
    ordered: HashMap<Name, Instant>,
}

impl StageKeeper {
    async fn run(&mut self) {
        let mut steady = 0;
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let changes = self.changes();
            steady = if changes.is_empty() { 0 } else { steady + 1 };
            if steady < STEADY_LOOKS {
                continue;
            }
            tokio::time::sleep(self.settings.delay).await;
            if !self.changes().is_empty() {
                log::info!(
                    "event=stage_changes_due count={} directory={}",
                    changes.len(),
                    self.directory.borrow().version,
                );
                self.order(&changes).await;
            }
            steady = 0;
        }
    }

    fn changes(&self) -> Vec<StageChange> {
        let Some(config) = self.config.borrow().clone() else { return Vec::new() };
        let view = Arc::clone(&self.directory.borrow());
        let pools = config.services.values().filter(|service| service.engine.is_some());
        pools
            .flat_map(|service| self.settings.plan.changes(&view, &service.name))
            .filter(|change| {
                self.ordered.get(&change.entry.id).is_none_or(|at| at.elapsed() > ORDER_AGAIN)
            })
            .collect()
    }

    async fn order(&mut self, changes: &[StageChange]) {
        // Another host may have acted while this one waited.
        match self.lease.read().await {
            Ok(Some((row, _version))) => self.note_ordered(&row.ordered, changes),
            Ok(None) => {}
            Err(error) => {
                log::info!("event=lease_unreadable cause=\"{error}\"");
                return;
            }
        }
        let open = self.changes();
        let wanted: Vec<_> = changes.iter().filter(|change| open.contains(change)).collect();
        if wanted.is_empty() {
            return;
        }
        let ids: Vec<Name> = wanted.iter().map(|change| Name::clone(&change.entry.id)).collect();
        let token = write_token(&self.settings.host);
        let term = match self.lease.take(&ids, token).await {
            Ok(Some(term)) => term,
            Ok(None) => return,
            Err(error) => {
                log::info!("event=lease_unclear cause=\"{error}\"");
                return;
            }
        };
        for change in wanted {
            self.send(change, &term).await;
        }
    }

    fn note_ordered(&mut self, ids: &[Name], changes: &[StageChange]) {
        let now = Instant::now();
        for id in ids {
            if changes.iter().any(|change| change.entry.id == *id) {
                self.ordered.entry(Name::clone(id)).or_insert(now);
            }
        }
    }

    async fn send(&mut self, change: &StageChange, term: &OrderTerm) {
        let id = &change.entry.id;
        if !term.is_valid() {
            log::info!("event=order_dropped backend={id} fence={} cause=\"term over\"", term.fence);
            return;
        }
        self.ordered.insert(Name::clone(id), Instant::now());
        let order = StageOrder {
            stage: change.stage,
            holder: Name::clone(&self.settings.host),
            fence: term.fence,
        };
        let outcome = (self.calls.order)(Arc::clone(&change.entry), order).await;
        let stage = change.stage;
        match outcome {
            Ok(
                outcome @ (OrderOutcome::Started
                | OrderOutcome::Holds
                | OrderOutcome::Conflict
                | OrderOutcome::Fenced),
            ) => {
                log::info!(
                    "event=order_answered backend={id} stage={stage:?} fence={} outcome={outcome:?}",
                    term.fence,
                );
            }
            Err(
                error @ (CallError::NotSent { .. }
                | CallError::Refused { .. }
                | CallError::Lost { .. }),
            ) => {
                log::info!(
                    "event=order_unclear backend={id} stage={stage:?} fence={} cause=\"{error}\"",
                    term.fence
                );
            }
        }
    }
}

/// Differs between hosts and between the tries of one host.
fn write_token(host: &str) -> u64 {
    let nanos = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.subsec_nanos());
    host.bytes().fold(u64::from(nanos), |sum, byte| sum.wrapping_mul(31) + u64::from(byte))
}
