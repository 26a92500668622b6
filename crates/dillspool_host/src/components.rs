//! Components that several roles of a host share, and the tasks that run the roles.

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
use crate::config_replica::{ConfigReplica, acknowledge_versions};
use crate::daemon::HostEnvironment;
use crate::heartbeat_rows::HeartbeatRows;
use crate::membership::follow_hosts;
use crate::metrics::{HostMetrics, MetricsSnapshot};
use crate::periodic_tasks::{report_placements, sweep_ledger, write_heartbeats};
use crate::placement_client::placement_client;
use crate::scheduler_registry::SchedulerRegistry;

/// Why an isolated host rejects requests.
const ISOLATED_REASON: &str =
    "this host hears from neither its peers nor the platform; use another host";

/// Components that several roles share.
#[derive(Clone)]
pub(crate) struct HostComponents {
    pub(crate) settings: Arc<HostSettings>,
    pub(crate) environment: HostEnvironment,
    pub(crate) incarnation: u64,
    pub(crate) table: TableStore,
    pub(crate) objects: ObjectStore,
    pub(crate) host_list: HostList,
    pub(crate) view: HostView,
    pub(crate) config_replica: ConfigReplica,
    pub(crate) engines: EngineClient,
    pub(crate) schedulers: SchedulerRegistry,
    pub(crate) suspects: SuspectTracker,
    pub(crate) placements: PlacementRegistry,
    pub(crate) links: PeerLinks,
    pub(crate) heartbeat_rows: HeartbeatRows,
    pub(crate) metrics: EntryMetrics,
    pub(crate) tasks: TaskTracker,
    /// Cancels all responses.
    pub(crate) responses: CancellationToken,
    pub(crate) cancel: CancellationToken,
}

impl HostComponents {
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
        let host_list = HostList::http(&platform, addresses.hosts, limit);
        let store = ConfigStore::new(table.clone(), objects.clone(), environment.clock.clone());
        let host = Name::clone(&settings.host);
        let view = HostView::new(host, Name::clone(&settings.failure_domain), incarnation);
        let engines = EngineClient::new(&environment.stack);
        let suspects =
            SuspectTracker::new(SuspectPolicy::default(), environment.host_clock.clone());
        let schedulers = SchedulerRegistry::new(engines.clone(), suspects.clone(), cancel.clone());
        let placements = PlacementRegistry::default();
        let config_replica = ConfigReplica::new(store);
        let identity = PeerIdentity {
            host: Name::clone(&settings.host),
            incarnation,
            key: settings.keys.peer_key.clone(),
        };
        let handlers = peer_handlers(&config_replica, &schedulers, &placements, &view);
        let stack = environment.stack.clone();
        let links =
            PeerLinks::new(stack, identity, handlers, LinkSettings::default(), view.clone());
        Self {
            settings: Arc::new(settings),
            environment,
            incarnation,
            heartbeat_rows: HeartbeatRows::new(table.clone()),
            table,
            objects,
            host_list,
            view,
            config_replica,
            engines,
            schedulers,
            suspects,
            placements,
            links,
            metrics: EntryMetrics::default(),
            tasks: TaskTracker::new(),
            responses: CancellationToken::new(),
            cancel,
        }
    }

    fn liveness(&self) -> LivenessCheck {
        let (rows, view, links) =
            (self.heartbeat_rows.clone(), self.view.clone(), self.links.clone());
        let scheduler_view = self.view.clone();
        LivenessCheck {
            is_dead: Arc::new(move |host, incarnation| {
                let (rows, view, links) = (rows.clone(), view.clone(), links.clone());
                Box::pin(async move { rows.is_dead(&view, &links, host, incarnation).await })
            }),
            is_scheduler: Arc::new(move |pool| {
                scheduler_view.scheduler(pool) == *scheduler_view.host()
            }),
        }
    }

    fn placement_client(&self) -> PlacementClient {
        match &self.environment.placement_override {
            Some(policy) => (policy.build)(self.config_replica.subscribe(), self.engines.clone()),
            None => {
                placement_client(self.view.clone(), self.links.clone(), self.schedulers.clone())
            }
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
        let isolation_view = self.view.clone();
        let leaving_view = self.view.clone();
        EntryContext {
            config: self.config_replica.subscribe(),
            engines: self.engines.clone(),
            plain_client: HttpClient::single_use(&self.environment.stack),
            placement_client: self.placement_client(),
            placements: self.placements.clone(),
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
            cancel: self.responses.clone(),
            host_status: HostStatus {
                closed_reason: Arc::new(move || {
                    isolation_view.is_isolated().then_some(ISOLATED_REASON)
                }),
                is_leaving: Arc::new(move |backend| leaving_view.is_leaving(backend)),
            },
        }
    }

    pub(crate) fn admin_context(&self, drain: &CancellationToken) -> AdminContext {
        let (view, config_replica) = (self.view.clone(), self.config_replica.clone());
        let unready_reason = move || {
            if view.is_draining() {
                return Some("the host is draining");
            }
            if config_replica.current().is_none() {
                return Some("no configuration is active yet");
            }
            view.is_isolated().then_some(ISOLATED_REASON)
        };
        let components = self.clone();
        let attempts = AtomicU64::new(0);
        let owner = format!("{}.{}", self.settings.host, self.incarnation);
        AdminContext {
            config_replica: self.config_replica.clone(),
            table: self.table.clone(),
            view: self.view.clone(),
            schedulers: self.schedulers.clone(),
            operators: self.settings.keys.operators.clone().into(),
            metrics: Arc::new(HostMetrics::new(&self.metrics)),
            snapshot: Arc::new(move || components.snapshot()),
            unready_reason: Arc::new(unready_reason),
            drain: drain.clone(),
            attempt_token: Arc::new(move || {
                let attempt = attempts.fetch_add(1, Ordering::Relaxed);
                format!("{owner}.apply.{attempt}").into()
            }),
        }
    }

    fn snapshot(&self) -> MetricsSnapshot {
        let counts: Vec<_> =
            self.schedulers.all().iter().map(dillspool_pool::PoolScheduler::counts).collect();
        MetricsSnapshot {
            config_version: self.config_replica.version().0,
            control_bytes: self.links.control_bytes(),
            peers_linked: self.view.peers().values().filter(|peer| peer.is_linked).count(),
            placements: self.placements.len(),
            orphans: counts.iter().map(|it| it.orphans).sum(),
            granted: counts.iter().map(|it| it.granted).sum(),
            refused: counts.iter().map(|it| it.refused).sum(),
        }
    }

    /// Applies configuration changes to the schedulers.
    async fn follow_config(self) {
        let liveness = self.liveness();
        let mut versions = self.config_replica.subscribe();
        loop {
            let current = versions.borrow_and_update().clone();
            if let Some(snapshot) = current {
                self.schedulers.configure(&snapshot, &liveness);
            }
            tokio::select! {
                changed = versions.changed() => if changed.is_err() { return },
                () = self.cancel.cancelled() => return,
            }
        }
    }

    pub(crate) fn spawn_roles(&self) {
        let components = self.clone();
        tokio::spawn(components.clone().follow_config());
        tokio::spawn(
            components
                .config_replica
                .clone()
                .run(components.environment.seed, components.cancel.clone()),
        );
        tokio::spawn(acknowledge_versions(
            components.config_replica.clone(),
            components.table.clone(),
            Name::clone(&components.settings.host),
            components.incarnation,
            components.cancel.clone(),
        ));
        tokio::spawn(follow_hosts(
            components.host_list.clone(),
            components.view.clone(),
            components.links.clone(),
            components.schedulers.clone(),
            components.environment.seed,
            components.cancel.clone(),
        ));
        tokio::spawn(report_placements(
            components.view.clone(),
            components.links.clone(),
            components.schedulers.clone(),
            components.placements.clone(),
            components.cancel.clone(),
        ));
        tokio::spawn(write_heartbeats(
            components.heartbeat_rows.clone(),
            components.view.clone(),
            components.schedulers.clone(),
            components.cancel.clone(),
        ));
        tokio::spawn(sweep_ledger(
            components.table.clone(),
            components.objects.clone(),
            components.environment.clock.clone(),
            components.view.clone(),
            components.cancel.clone(),
        ));
    }
}

fn peer_handlers(
    config_replica: &ConfigReplica,
    schedulers: &SchedulerRegistry,
    placements: &PlacementRegistry,
    view: &HostView,
) -> PeerHandlers {
    let (reserve_schedulers, release_schedulers, report_schedulers) =
        (schedulers.clone(), schedulers.clone(), schedulers.clone());
    let (placements, report_pools) = (placements.clone(), schedulers.clone());
    let (heartbeat_config, view) = (config_replica.clone(), view.clone());
    let (sent_config, received_config) = (config_replica.clone(), config_replica.clone());
    PeerHandlers {
        reserve: Arc::new(move |message| {
            let pool = reserve_schedulers.get(&message.pool);
            Box::pin(async move { pool?.reserve(message).await })
        }),
        release: Arc::new(move |message| {
            if let Some(pool) = release_schedulers.get(&message.pool) {
                pool.release(&message);
            }
        }),
        report: Arc::new(move |host, incarnation, report| {
            if let Some(pool) = report_schedulers.get(&report.pool) {
                pool.apply_report(host, incarnation, &report);
            }
        }),
        placements: Arc::new(move || placements.reports(&report_pools.names())),
        heartbeat: Arc::new(move || HeartbeatMessage {
            config: heartbeat_config.version().0,
            draining: view.is_draining(),
        }),
        config: Arc::new(move |query| sent_config.transfer(&query)),
        apply_config: Arc::new(move |transfer| received_config.apply_transfer(&transfer)),
    }
}
