//! Starts, reloads and stops the tasks of a routing host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dillspool_capacity::DemandMeter;
use dillspool_dialer::{BackendDialer, DialerFleet, dial_backends};
use dillspool_forward::{
    BackendProbes, BackendTracker, ForwardContext, ForwardMetrics, HabitTracker, RetryBudgets,
};
use dillspool_io::{ByteBudget, HostClock, NetListener, NetStack, ServerLimits, serve_http};
use dillspool_origins::OriginTracker;
use dillspool_roles::{PoolTargets, ReconcilerSettings, reconcile_stages};
use dillspool_scheduler::{
    CallScheduler, FleetUpdate, LimitClient, PlacementScheduler, ScheduleClient, ScheduleServices,
    tunnel_opener,
};
use dillspool_schema::Name;
use dillspool_suspects::SuspectTracker;
use prometheus_client::registry::Registry;
use snafu::{ResultExt, Snafu};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::call_metrics::CallMetrics;
use crate::caller_gate::CallerGate;
use crate::caller_server::CallerServer;
use crate::fleet_tasks::{
    HostCount, fleet_bus, host_hash, maintain_host_count, order_delay, start_backend_limits,
    start_calls, start_limits, start_schedule,
};
use crate::held_metrics::HeldMetrics;
use crate::holder_probes::probe_registered_hosts;
use crate::host_trackers::{origin_tracker, rate_limiters, suspect_tracker};
use crate::ingress::KnownConfig;
use crate::link_metrics::LinkMetrics;
use crate::notice_publisher::NoticePublisher;
use crate::origin_metrics::OriginMetrics;
use crate::origin_publisher::OriginPublisher;
use crate::peer_list::{PeerList, maintain_peer_list};
use crate::place_takeover::replace_gone_hosts;
use crate::settings::RouterConfig;
use crate::site::SiteProtocol;
use crate::status::{metrics_handler, readiness_handler};
use crate::store_metrics::StoreMetrics;
use crate::store_replicas::StoreReplicas;
use crate::suspect_metrics::SuspectMetrics;
use crate::suspect_rows::SuspectReplicator;
use crate::throttle_metrics::ThrottleMetrics;
use crate::version_rows::VersionRecorder;

/// Maximum number of connections to each of the readiness and metrics listeners.
const MAX_STATUS_CONNECTIONS: usize = 16;
/// Time after the stop signal during which new connections are still accepted: the platform polls
/// readiness every second and removes a host after two failures.
const READINESS_DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// Time before the kill at which requests still in progress are aborted; up to 0.25 s of it are
/// needed to write the last log lines.
const KILL_MARGIN: Duration = Duration::from_millis(600);

/// Reason why a host cannot start.
#[derive(Debug, Snafu)]
pub enum RouterError {
    /// Listening on an address failed.
    #[snafu(display("cannot listen on {address}: {source}; check [listen] of the settings"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
}

/// A running host.
#[derive(Debug)]
pub struct RouterDaemon {
    config: RouterConfig,
    stopping: Arc<AtomicBool>,
    /// Stops accepting connections from callers.
    callers: CancellationToken,
    /// Stops all other tasks.
    background: CancellationToken,
    serving: TaskTracker,
    peers: PeerList,
    suspects: SuspectTracker,
    dialer: BackendDialer,
    /// Budget for bytes held for slow peers; `None` if they are not limited.
    byte_budget: Option<ByteBudget>,
    caller_gate: CallerGate,
    clock: HostClock,
}

impl RouterDaemon {
    /// Starts all tasks.
    ///
    /// # Errors
    ///
    /// [`RouterError::Listen`] with the address if listening fails.
    pub async fn start(
        config: RouterConfig,
        stack: NetStack,
        site: SiteProtocol,
        clock: HostClock,
    ) -> Result<Self, RouterError> {
        let (callers, background) = (CancellationToken::new(), CancellationToken::new());
        let callers_listener = listen(&stack, config.callers).await?;
        let readiness_listener = listen(&stack, config.readiness).await?;
        let peers_listener = listen(&stack, config.peers).await?;
        let metrics_listener = listen(&stack, config.metrics).await?;
        let schedule_listener = listen(&stack, config.schedule).await?;
        let host_count = HostCount::default();
        let replicas = StoreReplicas::start(
            &config,
            &stack,
            &site,
            &clock,
            (peers_listener, host_count.clone()),
            &background,
        );
        let demand = DemandMeter::default();
        let budgets = RetryBudgets::new(config.budget, clock.clone());
        let metrics = ForwardMetrics::default();
        let suspects = suspect_tracker(&config, &clock);
        let origins = origin_tracker(&config, &replicas, &site, &host_count, &clock);
        let (limits, backend_limits) = rate_limiters(&config, &clock);
        let seed = host_hash(&config.host);
        let placements =
            PlacementScheduler::new(config.policy.admission, seed, demand.clone(), clock.clone());
        let calls = CallScheduler::new(config.calls, seed, clock.clone());
        let services = ScheduleServices {
            pools: placements,
            calls: calls.clone(),
            limits: limits.clone(),
            backend_limits: backend_limits.clone(),
            bus: fleet_bus(&suspects, &origins, &site, &clock),
            dialer: site.dialer.clone(),
        };
        let schedule =
            start_schedule(&config, &stack, &replicas, schedule_listener, services, &background);
        let limits = start_limits(&config, &stack, &replicas, limits, &background);
        let backend_limits = start_backend_limits(
            &config,
            &stack,
            &replicas,
            backend_limits,
            schedule.clone(),
            &background,
        );
        let call_client =
            start_calls(&config, &stack, &replicas, calls.clone(), host_count.clone(), &background);
        let context = ForwardContext {
            failure_domain: Name::clone(&config.failure_domain),
            calls: site.calls.clone(),
            directory: replicas.directory.clone(),
            schedule: schedule.clone(),
            call_client,
            limits,
            throttle: site.throttle.clone(),
            backend_limits: backend_limits.clone(),
            backend_tracker: BackendTracker::default(),
            budgets: budgets.clone(),
            probes: BackendProbes::default(),
            suspects: suspects.clone(),
            origins: origins.clone(),
            habits: HabitTracker::default(),
            metrics: metrics.clone(),
            tasks: TaskTracker::new(),
        };
        let daemon = Self {
            byte_budget: config.held_bytes.map(ByteBudget::new),
            caller_gate: CallerGate::new(&config, &stack, &clock),
            config,
            stopping: Arc::default(),
            callers,
            background,
            serving: TaskTracker::new(),
            peers: replicas.peers.clone(),
            suspects: suspects.clone(),
            dialer: site.dialer.clone(),
            clock: clock.clone(),
        };
        let own_metrics = (
            throttle_metrics(&site, &context),
            CallMetrics::new(calls),
            LinkMetrics::new(site.dialer.clone()),
            OriginMetrics::new(origins.clone()),
        );
        daemon.start_status(&replicas, own_metrics, &metrics, readiness_listener, metrics_listener);
        daemon.start_dialer(&replicas, &site, &stack);
        daemon.start_peer_list(&replicas, &site, &stack, &context);
        daemon.start_suspect_replicator(&replicas, &site, schedule.clone());
        daemon.start_origins(&replicas, &site, &origins, &schedule);
        daemon.start_notice_publisher(&replicas, &site, backend_limits, schedule.clone());
        daemon.start_maintenance(&replicas, &site, (budgets, host_count), demand, schedule, &clock);
        daemon.start_callers(&replicas, &site, context, callers_listener);
        log::info!(
            "event=started failure_domain={} callers={} site={}",
            daemon.config.failure_domain,
            daemon.config.callers,
            site.label,
        );
        Ok(daemon)
    }

    fn start_status(
        &self,
        replicas: &StoreReplicas,
        (throttle_metrics, call_metrics, link_metrics, origin_metrics): (
            ThrottleMetrics,
            CallMetrics,
            LinkMetrics,
            OriginMetrics,
        ),
        metrics: &ForwardMetrics,
        readiness_listener: NetListener,
        metrics_listener: NetListener,
    ) {
        let limits =
            ServerLimits { max_connections: MAX_STATUS_CONNECTIONS, ..ServerLimits::default() };
        let (config, directory) = (replicas.config.clone(), replicas.directory.clone());
        let stopping = Arc::clone(&self.stopping);
        let byte_budget = self.byte_budget.clone();
        let is_ready = move || {
            let known = config.borrow().is_some() && !directory.borrow().entries.is_empty();
            let has_capacity = byte_budget.as_ref().is_none_or(ByteBudget::is_ready);
            known && has_capacity && !stopping.load(Ordering::Relaxed)
        };
        let handler = readiness_handler(is_ready);
        tokio::spawn(serve_http(readiness_listener, limits, handler, self.background.clone()));
        let mut registry = Registry::with_prefix("dillspool");
        metrics.register(&mut registry);
        let store_metrics = StoreMetrics::new(
            replicas.config.clone(),
            replicas.directory.clone(),
            replicas.reachability.clone(),
            vec![replicas.operator.clone(), replicas.backends.clone(), replicas.hosts.clone()],
        );
        store_metrics.register(&mut registry);
        replicas.unreadable.register(&mut registry);
        let suspect_metrics = SuspectMetrics::new(self.suspects.clone());
        suspect_metrics.register(&mut registry);
        throttle_metrics.register(&mut registry);
        call_metrics.register(&mut registry);
        link_metrics.register(&mut registry);
        origin_metrics.register(&mut registry);
        let held_metrics = HeldMetrics::new(self.byte_budget.clone());
        held_metrics.register(&mut registry);
        let caller_gate = self.caller_gate.clone();
        caller_gate.register(&mut registry);
        let refresh = move || {
            held_metrics.refresh();
            caller_gate.refresh();
            store_metrics.refresh();
            suspect_metrics.refresh();
            throttle_metrics.refresh();
            call_metrics.refresh();
            link_metrics.refresh();
            origin_metrics.refresh();
        };
        let handler = metrics_handler(registry, refresh);
        tokio::spawn(serve_http(metrics_listener, limits, handler, self.background.clone()));
    }

    /// Starts following the host rows, taking the places of hosts that are gone, and probing the
    /// others while this host holds limits.
    fn start_peer_list(
        &self,
        replicas: &StoreReplicas,
        site: &SiteProtocol,
        stack: &NetStack,
        context: &ForwardContext,
    ) {
        let holders = [context.limits.clone(), context.backend_limits.clone()];
        tokio::spawn(probe_registered_hosts(
            replicas.peers.clone(),
            stack.clone(),
            self.clock.clone(),
            move || holders.iter().any(LimitClient::is_holder),
            self.background.clone(),
        ));
        tokio::spawn(maintain_peer_list(
            self.config.clone(),
            (Name::clone(&site.own_table), site.store.clone()),
            replicas.peers.clone(),
            [replicas.hosts.subscribe(), replicas.backends.subscribe()],
            replicas.unreadable.clone(),
            replicas.role.clone(),
            self.background.clone(),
        ));
        tokio::spawn(replace_gone_hosts(
            self.config.clone(),
            site.store.clone(),
            replicas.peers.clone(),
            stack.clone(),
            self.clock.clone(),
            self.background.clone(),
        ));
    }

    fn start_maintenance(
        &self,
        replicas: &StoreReplicas,
        site: &SiteProtocol,
        (budgets, host_count): (RetryBudgets, HostCount),
        demand: DemandMeter,
        schedule: ScheduleClient,
        clock: &HostClock,
    ) {
        tokio::spawn(maintain_host_count(
            schedule.clone(),
            replicas.peers.clone(),
            budgets,
            host_count,
            self.background.clone(),
        ));
        let (throttle, dialer) = (site.throttle.clone(), site.dialer.clone());
        let settings = ReconcilerSettings {
            host: Name::clone(&self.config.host),
            targets: PoolTargets::new(self.config.share_rule, demand),
            handover_gap: self.config.order_handover_gap,
            is_first_start: self.config.first_start,
            clock: clock.clone(),
            delay: order_delay(&self.config.host, replicas.config.clone(), schedule),
            is_backing_off: Arc::new(move |engine| throttle.backoff_until(engine).is_some()),
            has_lost_links: Arc::new(move |service| dialer.is_partitioned(service)),
        };
        tokio::spawn(reconcile_stages(
            settings,
            site.store.clone(),
            site.calls.clone(),
            replicas.config.clone(),
            replicas.directory.clone(),
            self.background.clone(),
        ));
    }

    /// Lets connections to backend servers travel through other hosts.
    fn start_dialer(&self, replicas: &StoreReplicas, site: &SiteProtocol, stack: &NetStack) {
        let peers = replicas.peers.clone();
        let fleet = DialerFleet {
            directory: replicas.directory.clone(),
            peers: Arc::new(move || peers.tunnel_peers()),
            open_tunnel: tunnel_opener(stack, &self.config.host),
        };
        tokio::spawn(dial_backends(site.dialer.clone(), fleet, self.background.clone()));
    }

    /// Starts sharing what backend servers announce in their responses with other hosts.
    fn start_notice_publisher(
        &self,
        replicas: &StoreReplicas,
        site: &SiteProtocol,
        limits: LimitClient,
        schedule: ScheduleClient,
    ) {
        let publisher = NoticePublisher {
            throttle: site.throttle.clone(),
            leaving: site.leaving.clone(),
            limits,
            schedule,
            directory: replicas.directory.clone(),
        };
        tokio::spawn(publisher.run(self.background.clone()));
    }

    /// Starts sharing with other hosts which software version began each stream.
    fn start_origins(
        &self,
        replicas: &StoreReplicas,
        site: &SiteProtocol,
        origins: &OriginTracker,
        schedule: &ScheduleClient,
    ) {
        let publisher = OriginPublisher {
            tracker: origins.clone(),
            schedule: schedule.clone(),
            directory: replicas.directory.clone(),
            config: replicas.config.clone(),
        };
        tokio::spawn(publisher.run(self.background.clone()));
        let recorder = VersionRecorder {
            table: Name::clone(&site.own_table),
            store: site.store.clone(),
            rows: replicas.hosts.subscribe(),
            unreadable: replicas.unreadable.clone(),
            tracker: origins.clone(),
            schedule: schedule.clone(),
        };
        tokio::spawn(recorder.run(self.background.clone()));
    }

    /// Starts exchanging with other hosts which requests crashed backend servers.
    fn start_suspect_replicator(
        &self,
        replicas: &StoreReplicas,
        site: &SiteProtocol,
        schedule: ScheduleClient,
    ) {
        let client = schedule.clone();
        let replicator = SuspectReplicator {
            host: Name::clone(&self.config.host),
            table: Name::clone(&site.own_table),
            store: site.store.clone(),
            rows: replicas.hosts.subscribe(),
            unreadable: replicas.unreadable.clone(),
            tracker: self.suspects.clone(),
            wall: self.config.wall_clock.clone(),
            publish: Arc::new(move |update| client.publish(&FleetUpdate::Suspect(update.clone()))),
            is_scheduler: Arc::new(move || schedule.is_any_scheduler()),
        };
        tokio::spawn(replicator.run(self.background.clone()));
    }

    fn start_callers(
        &self,
        replicas: &StoreReplicas,
        site: &SiteProtocol,
        context: ForwardContext,
        listener: NetListener,
    ) {
        let server = CallerServer {
            known: KnownConfig {
                config: replicas.config.clone(),
                operator: replicas.operator.clone(),
                change_limit: self.config.change_limit,
            },
            stopping: Arc::clone(&self.stopping),
            gate: self.caller_gate.clone(),
            byte_budget: self.byte_budget.clone(),
            fingerprint_key: self.config.fingerprint_key.clone(),
            clock: self.clock.clone(),
        };
        let cancels = (self.callers.clone(), self.background.clone());
        self.serving.spawn(server.serve(site.clone(), context, listener, cancels));
    }

    /// Applies the settings that can change without a restart.
    pub fn reload(&self, config: RouterConfig) {
        log::info!("event=reloaded seeds={:?} lifted={:?}", config.seeds, config.lifted);
        self.peers.set_seeds(config.seeds);
        self.suspects.set_lifted(config.lifted);
    }

    /// Stops gracefully: refuses new callers and waits for open responses until the grace period
    /// ends.
    pub async fn stop(self) {
        let requested_at = self.clock.now();
        let deadline = requested_at + self.config.shutdown_grace.saturating_sub(KILL_MARGIN);
        log::info!("event=stopping grace_ms={}", self.config.shutdown_grace.as_millis());
        self.stopping.store(true, Ordering::Relaxed);
        self.clock.sleep_until(deadline.min(requested_at + READINESS_DRAIN_DELAY)).await;
        self.callers.cancel();
        self.serving.close();
        // Streams of hosts that have lost their links run through this one.
        let finishing = async { tokio::join!(self.serving.wait(), self.dialer.drain_tunnels()) };
        let finished = self.clock.timeout_at(deadline, finishing).await.is_ok();
        self.background.cancel();
        log::info!("event=stopped all_answers_finished={finished}");
    }
}

async fn listen(stack: &NetStack, address: SocketAddr) -> Result<NetListener, RouterError> {
    stack.listen(address).await.context(ListenSnafu { address })
}

fn throttle_metrics(site: &SiteProtocol, context: &ForwardContext) -> ThrottleMetrics {
    let limits = [context.limits.clone(), context.backend_limits.clone()];
    ThrottleMetrics::new(site.throttle.clone(), site.leaving.clone(), limits)
}
