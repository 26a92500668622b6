//! The parts of a host that several roles share, and the roles as tasks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dillspool_config::{ConfigStore, HostAddresses};
use dillspool_engine::EngineClient;
use dillspool_entry::{
    EntryContext, EntryMetrics, HostStatus, PlacementClient, PlacementRegistry, RetryBudget,
    StreamIds,
};
use dillspool_io::HttpClient;
use dillspool_ledger::{CallLedger, LedgerSettings};
use dillspool_peer::{HostView, LinkSettings, PeerHandlers, PeerIdentity, PeerLinks};
use dillspool_platform::{HostList, ObjectStore, TableStore};
use dillspool_pool::LivenessCheck;
use dillspool_schema::Name;
use dillspool_schema::messages::HeartbeatMessage;
use dillspool_schema::settings::HostSettings;
use dillspool_suspects::{FingerprintKey, SuspectPolicy, SuspectTracker};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admin::AdminContext;
use crate::alive_rows::AliveRows;
use crate::config_keeper::{ConfigKeeper, acknowledge_versions};
use crate::daemon::HostEnvironment;
use crate::desk::placement_desk;
use crate::directory::PoolDirectory;
use crate::membership::follow_hosts;
use crate::metrics::{HostMetrics, HostReadings};
use crate::upkeep::{report_placements, show_alive, sweep_ledger};

/// What a host says that hears nobody.
const ISOLATED: &str = "this host hears neither its peers nor the platform; use another host";

/// The parts that several roles share.
#[derive(Clone)]
pub(crate) struct HostParts {
    pub(crate) settings: Arc<HostSettings>,
    pub(crate) environment: HostEnvironment,
    pub(crate) incarnation: u64,
    pub(crate) table: TableStore,
    pub(crate) objects: ObjectStore,
    pub(crate) list: HostList,
    pub(crate) view: HostView,
    pub(crate) keeper: ConfigKeeper,
    pub(crate) engines: EngineClient,
    pub(crate) directory: PoolDirectory,
    pub(crate) suspects: SuspectTracker,
    pub(crate) registry: PlacementRegistry,
    pub(crate) links: PeerLinks,
    pub(crate) rows: AliveRows,
    pub(crate) metrics: EntryMetrics,
    pub(crate) tasks: TaskTracker,
    /// Ends all answers.
    pub(crate) answers: CancellationToken,
    pub(crate) cancel: CancellationToken,
}

impl HostParts {
    pub(crate) fn new(
        settings: HostSettings,
        environment: HostEnvironment,
        addresses: &HostAddresses,
    ) -> Self {
        let cancel = CancellationToken::new();
        let incarnation = environment.clock.now().0;
        let platform = HttpClient::pooled(&environment.stack);
        let limit = Duration::from_millis(settings.platform.timeout_ms.into());
        let table = TableStore::http(&platform, addresses.table, limit);
        let objects = ObjectStore::http(&platform, addresses.objects, limit);
        let list = HostList::http(&platform, addresses.hosts, limit);
        let store = ConfigStore::new(table.clone(), objects.clone(), environment.clock.clone());
        let host = Name::clone(&settings.host);
        let view = HostView::new(host, Name::clone(&settings.failure_domain), incarnation);
        let engines = EngineClient::new(&environment.stack);
        let suspects =
            SuspectTracker::new(SuspectPolicy::default(), environment.host_clock.clone());
        let directory = PoolDirectory::new(engines.clone(), suspects.clone(), cancel.clone());
        let registry = PlacementRegistry::default();
        let keeper = ConfigKeeper::new(store);
        let identity = PeerIdentity {
            host: Name::clone(&settings.host),
            incarnation,
            key: settings.keys.peer_key.clone(),
        };
        let handlers = peer_handlers(&keeper, &directory, &registry, &view);
        let stack = environment.stack.clone();
        let links =
            PeerLinks::new(stack, identity, handlers, LinkSettings::default(), view.clone());
        Self {
            settings: Arc::new(settings),
            environment,
            incarnation,
            rows: AliveRows::new(table.clone()),
            table,
            objects,
            list,
            view,
            keeper,
            engines,
            directory,
            suspects,
            registry,
            links,
            metrics: EntryMetrics::default(),
            tasks: TaskTracker::new(),
            answers: CancellationToken::new(),
            cancel,
        }
    }

    fn liveness(&self) -> LivenessCheck {
        let (rows, view, links) = (self.rows.clone(), self.view.clone(), self.links.clone());
        let choosing = self.view.clone();
        LivenessCheck {
            is_dead: Arc::new(move |host, incarnation| {
                let (rows, view, links) = (rows.clone(), view.clone(), links.clone());
                Box::pin(async move { rows.is_dead(&view, &links, host, incarnation).await })
            }),
            is_scheduler: Arc::new(move |pool| choosing.scheduler(pool) == *choosing.host()),
        }
    }

    fn placement_desk(&self) -> PlacementClient {
        match &self.environment.placement_override {
            Some(choice) => (choice.build)(self.keeper.subscribe(), self.engines.clone()),
            None => placement_desk(self.view.clone(), self.links.clone(), self.directory.clone()),
        }
    }

    pub(crate) fn entry_context(&self) -> EntryContext {
        let limits = self.settings.limits.clone().unwrap_or_default();
        let owner = format!("{}.{}", self.settings.host, self.incarnation);
        let ledger = CallLedger::with_journal(
            self.table.clone(),
            self.objects.clone(),
            self.environment.clock.clone(),
            LedgerSettings::default(),
            owner.into(),
            self.cancel.clone(),
        );
        let isolated = self.view.clone();
        let leaving = self.view.clone();
        EntryContext {
            config: self.keeper.subscribe(),
            engines: self.engines.clone(),
            plain_client: HttpClient::single_use(&self.environment.stack),
            placement_client: self.placement_desk(),
            placements: self.registry.clone(),
            ledger,
            clock: self.environment.clock.clone(),
            next_backend: Arc::default(),
            ids: StreamIds::new(Name::clone(&self.settings.host), self.incarnation),
            suspects: self.suspects.clone(),
            fingerprint_key: FingerprintKey::new(self.settings.keys.peer_key.expose()),
            retry_budget: RetryBudget::default(),
            metrics: self.metrics.clone(),
            in_flight: Arc::new(Semaphore::new(limits.max_in_flight as usize)),
            max_body_bytes: usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX),
            body_timeout: Duration::from_millis(limits.body_timeout_ms.into()),
            tasks: self.tasks.clone(),
            cancel: self.answers.clone(),
            host_status: HostStatus {
                closed_reason: Arc::new(move || isolated.is_isolated().then_some(ISOLATED)),
                is_leaving: Arc::new(move |backend| leaving.is_leaving(backend)),
            },
        }
    }

    pub(crate) fn admin_context(&self, drain: &CancellationToken) -> AdminContext {
        let (view, keeper) = (self.view.clone(), self.keeper.clone());
        let unready_reason = move || {
            if view.is_draining() {
                return Some("the host drains");
            }
            if keeper.current().is_none() {
                return Some("no configuration is in force yet");
            }
            view.is_isolated().then_some(ISOLATED)
        };
        let parts = self.clone();
        let attempts = AtomicU64::new(0);
        let owner = format!("{}.{}", self.settings.host, self.incarnation);
        AdminContext {
            keeper: self.keeper.clone(),
            table: self.table.clone(),
            view: self.view.clone(),
            directory: self.directory.clone(),
            operators: self.settings.keys.operators.clone().into(),
            metrics: Arc::new(HostMetrics::new(&self.metrics)),
            readings: Arc::new(move || parts.readings()),
            unready_reason: Arc::new(unready_reason),
            drain: drain.clone(),
            attempt_token: Arc::new(move || {
                let attempt = attempts.fetch_add(1, Ordering::Relaxed);
                format!("{owner}.apply.{attempt}").into()
            }),
        }
    }

    fn readings(&self) -> HostReadings {
        let counts: Vec<_> =
            self.directory.all().iter().map(dillspool_pool::PoolScheduler::counts).collect();
        HostReadings {
            config_version: self.keeper.version().0,
            control_bytes: self.links.control_bytes(),
            peers_linked: self.view.peers().values().filter(|peer| peer.is_linked).count(),
            placements: self.registry.len(),
            orphans: counts.iter().map(|it| it.orphans).sum(),
            granted: counts.iter().map(|it| it.granted).sum(),
            refused: counts.iter().map(|it| it.refused).sum(),
        }
    }

    /// Follows configuration changes with the schedulers.
    async fn follow_config(self) {
        let liveness = self.liveness();
        let mut versions = self.keeper.subscribe();
        loop {
            let current = versions.borrow_and_update().clone();
            if let Some(snapshot) = current {
                self.directory.configure(&snapshot, &liveness);
            }
            tokio::select! {
                changed = versions.changed() => if changed.is_err() { return },
                () = self.cancel.cancelled() => return,
            }
        }
    }

    pub(crate) fn spawn_roles(&self) {
        let parts = self.clone();
        tokio::spawn(parts.clone().follow_config());
        tokio::spawn(parts.keeper.clone().keep(parts.environment.seed, parts.cancel.clone()));
        tokio::spawn(acknowledge_versions(
            parts.keeper.clone(),
            parts.table.clone(),
            Name::clone(&parts.settings.host),
            parts.incarnation,
            parts.cancel.clone(),
        ));
        tokio::spawn(follow_hosts(
            parts.list.clone(),
            parts.view.clone(),
            parts.links.clone(),
            parts.directory.clone(),
            parts.environment.seed,
            parts.cancel.clone(),
        ));
        tokio::spawn(report_placements(
            parts.view.clone(),
            parts.links.clone(),
            parts.directory.clone(),
            parts.registry.clone(),
            parts.cancel.clone(),
        ));
        tokio::spawn(show_alive(
            parts.rows.clone(),
            parts.view.clone(),
            parts.directory.clone(),
            parts.cancel.clone(),
        ));
        tokio::spawn(sweep_ledger(
            parts.table.clone(),
            parts.objects.clone(),
            parts.environment.clock.clone(),
            parts.view.clone(),
            parts.cancel.clone(),
        ));
    }
}

fn peer_handlers(
    keeper: &ConfigKeeper,
    directory: &PoolDirectory,
    registry: &PlacementRegistry,
    view: &HostView,
) -> PeerHandlers {
    let (reserving, releasing, reporting) =
        (directory.clone(), directory.clone(), directory.clone());
    let (registry, pools) = (registry.clone(), directory.clone());
    let (beating, view) = (keeper.clone(), view.clone());
    let (giving, taking) = (keeper.clone(), keeper.clone());
    PeerHandlers {
        reserve: Arc::new(move |message| {
            let pool = reserving.get(&message.pool);
            Box::pin(async move { pool?.reserve(message).await })
        }),
        release: Arc::new(move |message| {
            if let Some(pool) = releasing.get(&message.pool) {
                pool.release(&message);
            }
        }),
        report: Arc::new(move |host, incarnation, report| {
            if let Some(pool) = reporting.get(&report.pool) {
                pool.apply_report(host, incarnation, &report);
            }
        }),
        placements: Arc::new(move || registry.reports(&pools.names())),
        heartbeat: Arc::new(move || HeartbeatMessage {
            config: beating.version().0,
            draining: view.is_draining(),
        }),
        config: Arc::new(move |query| giving.transfer(&query)),
        apply_config: Arc::new(move |transfer| taking.take_transfer(&transfer)),
    }
}
