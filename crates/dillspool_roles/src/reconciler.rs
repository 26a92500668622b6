//! The reconciler: compares each pool with its plan and orders the stage changes that are due.

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

/// Settings of the reconciler.
pub struct ReconcilerSettings {
    /// This host.
    pub host: Name,
    /// The target number of prefill engines of each pool.
    pub targets: PoolTargets,
    /// Minimum time between the orders of two lease holders.
    pub handover_gap: Duration,
    /// Whether the fleet starts for the first time.
    pub is_first_start: bool,
    /// The clock by which lease terms expire.
    pub clock: HostClock,
    /// Time before this host acts on a change that is due; see [`reconcile_stages`].
    pub delay: DelayFn,
    /// Whether an engine instance has asked this host to back off.
    pub is_backing_off: BackoffFn,
    /// Whether this host has lost its links to the engines of a pool, so that another host must order them.
    pub has_lost_links: LostLinksFn,
}

/// Returns the time that a host currently waits before it acts.
pub type DelayFn = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Whether a backend server instance has asked this host to back off.
pub type BackoffFn = Arc<dyn Fn(&BackendInstance) -> bool + Send + Sync>;

/// Whether this host has lost its links to the engines of a service.
pub type LostLinksFn = Arc<dyn Fn(&str) -> bool + Send + Sync>;

impl fmt::Debug for ReconcilerSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeeperSettings").field("host", &self.host).finish_non_exhaustive()
    }
}

/// Time after which an engine that was ordered and shows no change is ordered again; a late order
/// may be carried out twelve seconds after it was sent.
const ORDER_RETRY_AFTER: Duration = Duration::from_secs(20);
/// Time for which a small shortage of prefill engines must last before decode engines take their
/// place.
const SHORTAGE_GRACE: Duration = Duration::from_secs(30);
/// Time between two checks of the pools.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Consecutive checks that must find changes due, so that one expired directory entry switches no
/// engine.
const MIN_CONSECUTIVE_CHECKS: u32 = 2;

/// Runs the reconciler until `cancel`.
///
/// Every host runs it. Each host waits its own `delay` before it acts, and the host that schedules
/// the pools waits least, so mostly only one host tries to acquire the lease. Only the lease
/// decides which host may send orders.
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
    let mut reconciler = StageReconciler {
        settings,
        lease,
        calls,
        config,
        directory,
        ordered_at: HashMap::new(),
        adopted_fence: 0,
        shortage_since: HashMap::new(),
    };
    tokio::select! {
        () = reconciler.run() => {}
        () = cancel.cancelled() => {}
    }
}

struct StageReconciler {
    settings: ReconcilerSettings,
    lease: OrderLease,
    calls: BackendCalls,
    config: watch::Receiver<Option<Arc<RoutingConfig>>>,
    directory: watch::Receiver<Arc<DirectoryView>>,
    /// When an engine instance was ordered to change, by any host.
    ordered_at: HashMap<BackendInstance, Instant>,
    /// Fencing token of the newest lease row whose targets were adopted.
    adopted_fence: u64,
    /// Since when a pool has had too few prefill engines.
    shortage_since: HashMap<Name, Instant>,
}

impl StageReconciler {
    async fn run(&mut self) {
        let mut consecutive_due = 0;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let due = self.due_changes();
            consecutive_due = if due.is_empty() { 0 } else { consecutive_due + 1 };
            if consecutive_due < MIN_CONSECUTIVE_CHECKS {
                continue;
            }
            tokio::time::sleep((self.settings.delay)()).await;
            let due = self.due_changes();
            if !due.is_empty() {
                log::info!(
                    "event=stage_changes_due count={} directory={}",
                    due.len(),
                    self.directory.borrow().version,
                );
                self.order(&due).await;
            }
            consecutive_due = 0;
        }
    }

    /// Changes that are due now. An engine that was ordered and shows no change yet still counts
    /// among the selected ones, so that no other engine is ordered in its place.
    fn due_changes(&mut self) -> Vec<StageChange> {
        let mut due = Vec::new();
        let Some(config) = self.config.borrow().clone() else { return due };
        let view = Arc::clone(&self.directory.borrow());
        if view.subset.is_some() {
            // A subset of the directory does not show how many of all engines prefill.
            return due;
        }
        let now = Instant::now();
        for service in config.services.values() {
            let Some(pool) = &service.engine else { continue };
            let prefill_target = self.settings.targets.update(&service.name, pool, &view, now);
            if (self.settings.has_lost_links)(&service.name) {
                continue;
            }
            if self.may_order(&service.name, &view, prefill_target, now) {
                due.extend(plan_stage_changes(&view, &service.name, prefill_target));
            }
        }
        due.retain(|change| {
            let engine = change.entry.instance();
            let was_ordered =
                self.ordered_at.get(&engine).is_some_and(|at| at.elapsed() <= ORDER_RETRY_AFTER);
            !was_ordered && !(self.settings.is_backing_off)(&engine)
        });
        due
    }

    async fn order(&mut self, due: &[StageChange]) {
        // Another host may have acted while this one waited.
        match self.lease.read().await {
            Ok(Some((row, _version))) => self.adopt_lease_row(&row, due),
            Ok(None) => {}
            Err(error) => {
                log::info!("event=lease_unreadable cause=\"{error}\"");
                return;
            }
        }
        let current = self.due_changes();
        let is_still_due = |change: &&StageChange| current.contains(change);
        let confirmed: Vec<_> = due.iter().filter(is_still_due).collect();
        if confirmed.is_empty() {
            return;
        }
        let engines = confirmed.iter().map(|change| change.entry.instance().label());
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
        self.adopted_fence = term.fence;
        for change in confirmed {
            self.send_order(change, &term).await;
        }
    }

    /// Whether the changes of a pool may be ordered. Decode engines are switched at once when half
    /// of the prefill engines or fewer are left. A smaller shortage must last first, since a
    /// crashed engine mostly returns sooner than another one has switched its stage.
    fn may_order(
        &mut self,
        service: &Name,
        view: &DirectoryView,
        prefill_target: usize,
        now: Instant,
    ) -> bool {
        let (prefill, _decode) = pool_engines(view, service);
        if prefill.len() >= prefill_target {
            self.shortage_since.remove(service);
            return true;
        }
        let since = *self.shortage_since.entry(Name::clone(service)).or_insert(now);
        prefill.len() * 2 <= prefill_target
            || now.saturating_duration_since(since) >= SHORTAGE_GRACE
    }

    /// Adopts the lease row: the engines that any host has ordered, and the targets if another host
    /// has written the row since.
    fn adopt_lease_row(&mut self, row: &LeaseRow, due: &[StageChange]) {
        let now = Instant::now();
        let instances = due.iter().map(|change| change.entry.instance());
        for backend in instances.filter(|it| row.ordered.contains(&it.label())) {
            self.ordered_at.entry(backend).or_insert(now);
        }
        if row.fence > self.adopted_fence {
            self.adopted_fence = row.fence;
            self.settings.targets.adopt(&row.targets);
        }
    }

    async fn send_order(&mut self, change: &StageChange, term: &OrderTerm) {
        let id = &change.entry.id;
        if !term.is_valid() {
            log::info!(
                "event=order_dropped backend={id} fence={} cause=\"the lease term has expired\"",
                term.fence
            );
            return;
        }
        self.ordered_at.insert(change.entry.instance(), Instant::now());
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

/// A token that differs between hosts and between the attempts of one host.
fn write_token(host: &str) -> u64 {
    let nanos = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.subsec_nanos());
    host.bytes().fold(u64::from(nanos), |sum, byte| sum.wrapping_mul(31) + u64::from(byte))
}
