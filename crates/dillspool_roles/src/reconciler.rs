//! Watches the pools and orders what the plan asks for.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use dillspool_forward::{BackendCalls, CallError, OrderOutcome, StageOrder};
use dillspool_io::HostClock;
use dillspool_platform::TableStore;
use dillspool_routing::{BackendInstance, DirectoryView, RoutingConfig};
use dillspool_schema::Name;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::lease::{LeaseRow, OrderLease, OrderTerm};
use crate::plan::{StageChange, plan_stage_changes, pool_engines};
use crate::targets::PoolTargets;

/// How stages are kept.
pub struct ReconcilerSettings {
    /// This host.
    pub host: Name,
    /// How pools are divided.
    pub targets: PoolTargets,
    /// Time that must lie between the orders of two holders.
    pub handover_gap: Duration,
    /// Whether the fleet starts for the first time.
    pub is_first_start: bool,
    /// The clock by which terms end.
    pub clock: HostClock,
    /// Time before this host acts on a change that is due; see [`reconcile_stages`].
    pub delay: DelayFn,
    /// Whether a start of an engine wants nothing from this host for now.
    pub is_backing_off: BackoffFn,
}

/// Time that a host waits before it acts, as things are now.
pub type DelayFn = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Whether a start of a backend server wants nothing from this host for now.
pub type BackoffFn = Arc<dyn Fn(&BackendInstance) -> bool + Send + Sync>;

impl fmt::Debug for ReconcilerSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeeperSettings").field("host", &self.host).finish_non_exhaustive()
    }
}

/// Time after which an engine that was ordered and shows no change is ordered again; a late
/// order may be carried out twelve seconds after it was sent.
const ORDER_AGAIN: Duration = Duration::from_secs(20);
/// Time for which a few prefill engines must be missing before decode engines take their place.
const SHORT_SPAN: Duration = Duration::from_secs(30);
/// Time between two looks at the pools.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Looks in a row that must ask for the same change, so that one lapsed entry turns no engine.
const STEADY_LOOKS: u32 = 2;

/// Orders changes of stage until `cancel`.
///
/// Every host runs this. Each waits its own `delay` before it acts, least the one that schedules the
/// pools, so mostly one tries for the lease; the lease alone decides.
pub async fn reconcile_stages(
    settings: ReconcilerSettings,
    store: TableStore,
    calls: BackendCalls,
    config: watch::Receiver<Option<Arc<RoutingConfig>>>,
    directory: watch::Receiver<Arc<DirectoryView>>,
    cancel: CancellationToken,
) {
    let lease = OrderLease::new(
        store,
        Name::clone(&settings.host),
        settings.handover_gap,
        settings.clock.clone(),
    )
    .with_first_start(settings.is_first_start);
    let mut keeper = StageKeeper {
        settings,
        lease,
        calls,
        config,
        directory,
        ordered: HashMap::new(),
        seen_fence: 0,
        short_since: HashMap::new(),
    };
    tokio::select! {
        () = keeper.run() => {}
        () = cancel.cancelled() => {}
    }
}

struct StageKeeper {
    settings: ReconcilerSettings,
    lease: OrderLease,
    calls: BackendCalls,
    config: watch::Receiver<Option<Arc<RoutingConfig>>>,
    directory: watch::Receiver<Arc<DirectoryView>>,
    /// When a start of an engine was ordered, by any host.
    ordered: HashMap<BackendInstance, Instant>,
    /// Fence of the newest row of the lease whose targets were taken.
    seen_fence: u64,
    /// Since when pools have had too few prefill engines.
    short_since: HashMap<Name, Instant>,
}

impl StageKeeper {
    async fn run(&mut self) {
        let mut steady = 0;
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let due = self.changes();
            steady = if due.is_empty() { 0 } else { steady + 1 };
            if steady < STEADY_LOOKS {
                continue;
            }
            tokio::time::sleep((self.settings.delay)()).await;
            let due = self.changes();
            if !due.is_empty() {
                log::info!(
                    "event=stage_changes_due count={} directory={}",
                    due.len(),
                    self.directory.borrow().version,
                );
                self.order(&due).await;
            }
            steady = 0;
        }
    }

    /// Changes that are due now. An engine that was ordered and shows no change yet stays among
    /// those that are picked, so that no other one is ordered in its place.
    fn changes(&mut self) -> Vec<StageChange> {
        let mut due = Vec::new();
        let Some(config) = self.config.borrow().clone() else { return due };
        let view = Arc::clone(&self.directory.borrow());
        if view.subset.is_some() {
            // How many of all engines prefill does not show in a part of them.
            return due;
        }
        let now = Instant::now();
        for service in config.services.values() {
            let Some(pool) = &service.engine else { continue };
            let keep = self.settings.targets.update(&service.name, pool, &view, now);
            if self.may_order(&service.name, &view, keep, now) {
                due.extend(plan_stage_changes(&view, &service.name, keep));
            }
        }
        due.retain(|change| {
            let engine = change.entry.instance();
            let was_ordered =
                self.ordered.get(&engine).is_some_and(|at| at.elapsed() <= ORDER_AGAIN);
            !was_ordered && !(self.settings.is_backing_off)(&engine)
        });
        due
    }

    async fn order(&mut self, due: &[StageChange]) {
        // Another host may have acted while this one waited.
        match self.lease.read().await {
            Ok(Some((row, _version))) => self.take_over(&row, due),
            Ok(None) => {}
            Err(error) => {
                log::info!("event=lease_unreadable cause=\"{error}\"");
                return;
            }
        }
        let open = self.changes();
        let is_open = |change: &&StageChange| open.contains(change);
        let wanted: Vec<_> = due.iter().filter(is_open).collect();
        if wanted.is_empty() {
            return;
        }
        let engines = wanted.iter().map(|change| change.entry.instance().label());
        let engines: Vec<Name> = engines.collect();
        let (targets, token) = (self.settings.targets.decided(), write_token(&self.settings.host));
        let term = match self.lease.acquire(&engines, &targets, token).await {
            Ok(Some(term)) => term,
            Ok(None) => return,
            Err(error) => {
                log::info!("event=lease_unclear cause=\"{error}\"");
                return;
            }
        };
        self.settings.targets.record_written(&targets);
        self.seen_fence = term.fence;
        for change in wanted {
            self.send(change, &term).await;
        }
    }

    /// Whether a pool's changes may be ordered. Decode engines are turned at once when half of the
    /// prefill engines or fewer are left; otherwise only when that lasts, since a crashed engine
    /// mostly returns sooner than another one has changed its part.
    fn may_order(
        &mut self,
        service: &Name,
        view: &DirectoryView,
        keep: usize,
        now: Instant,
    ) -> bool {
        let (prefill, _decode) = pool_engines(view, service);
        if prefill.len() >= keep {
            self.short_since.remove(service);
            return true;
        }
        let since = *self.short_since.entry(Name::clone(service)).or_insert(now);
        prefill.len() * 2 <= keep || now.saturating_duration_since(since) >= SHORT_SPAN
    }

    /// Takes what the lease's row says: what was ordered by whichever host, and, if another host
    /// wrote it since, the targets.
    fn take_over(&mut self, row: &LeaseRow, due: &[StageChange]) {
        let now = Instant::now();
        let started = due.iter().map(|change| change.entry.instance());
        for backend in started.filter(|it| row.ordered.contains(&it.label())) {
            self.ordered.entry(backend).or_insert(now);
        }
        if row.fence > self.seen_fence {
            self.seen_fence = row.fence;
            self.settings.targets.adopt(&row.targets);
        }
    }

    async fn send(&mut self, change: &StageChange, term: &OrderTerm) {
        let id = &change.entry.id;
        if !term.is_valid() {
            log::info!("event=order_dropped backend={id} fence={} cause=\"term over\"", term.fence);
            return;
        }
        self.ordered.insert(change.entry.instance(), Instant::now());
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
