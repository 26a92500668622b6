//! Starts, reloads and stops the parts of a routing host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dillspool_capacity::DemandMeter;
use dillspool_forward::{
    BackendProbes, BackendTracker, ForwardContext, ForwardMetrics, RetryBudgets,
};
use dillspool_io::{
    ByteBudget, HostClock, NetListener, NetStack, ServerLimits, WallClock, serve_http,
    serve_http_with_budget,
};
use dillspool_roles::{PoolTargets, ReconcilerSettings, reconcile_stages};
use dillspool_routing::RoutingConfig;
use dillspool_scheduler::{
    CallScheduler, FleetUpdate, LimitClient, PlacementScheduler, RateLimiter, ScheduleClient,
    ScheduleServices,
};
use dillspool_schema::Name;
use dillspool_suspects::{SuspectPolicy, SuspectTracker};
use prometheus_client::registry::Registry;
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::belief_metrics::BeliefMetrics;
use crate::beliefs::Beliefs;
use crate::call_metrics::CallMetrics;
use crate::fleet_duties::{
    HostCount, fleet_bus, hash_of, keep_host_count, order_delay, start_backend_limits, start_calls,
    start_limits, start_schedule,
};
use crate::held_metrics::HeldMetrics;
use crate::ingress::{IngressState, KnownConfig};
use crate::notice_keeper::NoticeKeeper;
use crate::peer_list::{PeerList, keep_peer_list};
use crate::settings::RouterConfig;
use crate::site::SiteProtocol;
use crate::status::{metrics_handler, readiness_handler};
use crate::suspect_metrics::SuspectMetrics;
use crate::suspect_rows::SuspectKeeper;
use crate::throttle_metrics::ThrottleMetrics;

/// Connections of callers at most; each may need a second descriptor for its backend server.
const MOST_CALLER_CONNECTIONS: usize = 1_800;
/// Connections for readiness and metrics at most.
const MOST_STATUS_CONNECTIONS: usize = 16;
/// Time that a connection may rest before a configuration is known.
const FIRST_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after the signal to stop in which new connections still come: the platform asks for
/// readiness each second and takes a host out after two misses.
const STILL_LISTED: Duration = Duration::from_millis(2_600);
/// Time before the kill at which what still runs is broken off; up to 0.25 s of it are for the last lines
/// of the log.
const KILL_MARGIN: Duration = Duration::from_millis(600);

/// Why a host cannot start.
#[derive(Debug, Snafu)]
pub enum RouterError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}; check [listen] of the settings"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        source: std::io::Error,
    },
}

/// A running host.
#[derive(Debug)]
pub struct RouterDaemon {
    config: RouterConfig,
    stopping: Arc<AtomicBool>,
    /// Ends taking callers' connections.
    callers: CancellationToken,
    /// Ends everything else.
    background: CancellationToken,
    serving: TaskTracker,
    peers: PeerList,
    suspects: SuspectTracker,
    /// Bytes held for slow peers, where they are limited.
    held: Option<ByteBudget>,
    clock: HostClock,
}

impl RouterDaemon {
    /// Starts all parts.
    ///
    /// # Errors
    ///
    /// [`RouterError::Listen`] naming the address.
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
        let beliefs = Beliefs::start(
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
        let suspects = SuspectTracker::new(SuspectPolicy::default(), clock.clone());
        suspects.set_lifted(config.lifted.clone());
        let limits = RateLimiter::new(config.limits, clock.clone());
        let backend_limits = RateLimiter::for_backend_servers(config.limits.shares, clock.clone());
        let seed = hash_of(&config.host);
        let desk =
            PlacementScheduler::new(config.policy.admission, seed, demand.clone(), clock.clone());
        let calls = CallScheduler::new(config.calls, seed, clock.clone());
        let desks = ScheduleServices {
            pools: desk,
            calls: calls.clone(),
            limits: limits.clone(),
            backend_limits: backend_limits.clone(),
            bus: fleet_bus(&suspects, &site, &clock),
        };
        let schedule =
            start_schedule(&config, &stack, &beliefs, schedule_listener, desks, &background);
        let limits = start_limits(&config, &stack, &beliefs, limits, &background);
        let backend_limits = start_backend_limits(
            &config,
            &stack,
            &beliefs,
            backend_limits,
            schedule.clone(),
            &background,
        );
        let call_metrics = CallMetrics::new(calls.clone());
        let call_client =
            start_calls(&config, &stack, &beliefs, calls, host_count.clone(), &background);
        let context = ForwardContext {
            failure_domain: Name::clone(&config.failure_domain),
            calls: site.calls.clone(),
            directory: beliefs.directory.clone(),
            schedule: schedule.clone(),
            call_client,
            limits,
            throttle: site.throttle.clone(),
            backend_limits: backend_limits.clone(),
            backend_tracker: BackendTracker::default(),
            budgets: budgets.clone(),
            probes: BackendProbes::default(),
            suspects: suspects.clone(),
            metrics: metrics.clone(),
            tasks: TaskTracker::new(),
        };
        let stopping = Arc::new(AtomicBool::new(false));
        let daemon = Self {
            held: config.held_bytes.map(ByteBudget::new),
            config,
            stopping,
            callers,
            background,
            serving: TaskTracker::new(),
            peers: beliefs.peers.clone(),
            suspects: suspects.clone(),
            clock: clock.clone(),
        };
        let throttled = ThrottleMetrics::new(
            site.throttle.clone(),
            site.leaving.clone(),
            [context.limits.clone(), backend_limits.clone()],
        );
        let figures = (throttled, call_metrics);
        daemon.start_status(&beliefs, figures, &metrics, readiness_listener, metrics_listener);
        daemon.start_suspects(&beliefs, &site, schedule.clone());
        daemon.start_notices(&beliefs, &site, backend_limits, schedule.clone());
        daemon.start_keepers(&beliefs, &site, (budgets, host_count), demand, schedule, &clock);
        daemon.start_callers(&beliefs, &site, context, callers_listener, clock);
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
        beliefs: &Beliefs,
        (throttled, calls): (ThrottleMetrics, CallMetrics),
        metrics: &ForwardMetrics,
        readiness: NetListener,
        figures: NetListener,
    ) {
        let limits =
            ServerLimits { max_connections: MOST_STATUS_CONNECTIONS, ..ServerLimits::default() };
        let (config, directory) = (beliefs.config.clone(), beliefs.directory.clone());
        let stopping = Arc::clone(&self.stopping);
        let held = self.held.clone();
        let is_ready = move || {
            let known = config.borrow().is_some() && !directory.borrow().entries.is_empty();
            let has_room = held.as_ref().is_none_or(ByteBudget::is_ready);
            known && has_room && !stopping.load(Ordering::Relaxed)
        };
        let handler = readiness_handler(is_ready);
        tokio::spawn(serve_http(readiness, limits, handler, self.background.clone()));
        let mut registry = Registry::with_prefix("dillspool");
        metrics.register(&mut registry);
        let believed = BeliefMetrics::new(
            beliefs.config.clone(),
            beliefs.directory.clone(),
            beliefs.reach.clone(),
            vec![beliefs.operator.clone(), beliefs.backends.clone(), beliefs.hosts.clone()],
        );
        believed.register(&mut registry);
        beliefs.unreadable.register(&mut registry);
        let suspected = SuspectMetrics::new(self.suspects.clone());
        suspected.register(&mut registry);
        throttled.register(&mut registry);
        calls.register(&mut registry);
        let held = HeldMetrics::new(self.held.clone());
        held.register(&mut registry);
        let refresh = move || {
            held.refresh();
            believed.refresh();
            suspected.refresh();
            throttled.refresh();
            calls.refresh();
        };
        let handler = metrics_handler(registry, refresh);
        tokio::spawn(serve_http(figures, limits, handler, self.background.clone()));
    }

    fn start_keepers(
        &self,
        beliefs: &Beliefs,
        site: &SiteProtocol,
        (budgets, host_count): (RetryBudgets, HostCount),
        demand: DemandMeter,
        schedule: ScheduleClient,
        clock: &HostClock,
    ) {
        tokio::spawn(keep_peer_list(
            self.config.clone(),
            (Name::clone(&site.own_table), site.store.clone()),
            beliefs.peers.clone(),
            [beliefs.hosts.subscribe(), beliefs.backends.subscribe()],
            beliefs.unreadable.clone(),
            beliefs.role.clone(),
            self.background.clone(),
        ));
        tokio::spawn(keep_host_count(
            schedule.clone(),
            beliefs.peers.clone(),
            budgets,
            host_count,
            self.background.clone(),
        ));
        let throttle = site.throttle.clone();
        let settings = ReconcilerSettings {
            host: Name::clone(&self.config.host),
            targets: PoolTargets::new(self.config.share_rule, demand),
            handover_gap: self.config.order_handover_gap,
            is_first_start: self.config.first_start,
            clock: clock.clone(),
            delay: order_delay(&self.config.host, beliefs.config.clone(), schedule),
            is_backing_off: Arc::new(move |engine| throttle.backoff_until(engine).is_some()),
        };
        tokio::spawn(reconcile_stages(
            settings,
            site.store.clone(),
            site.calls.clone(),
            beliefs.config.clone(),
            beliefs.directory.clone(),
            self.background.clone(),
        ));
    }

    /// Starts to tell other hosts what backend servers say of themselves.
    fn start_notices(
        &self,
        beliefs: &Beliefs,
        site: &SiteProtocol,
        limits: LimitClient,
        schedule: ScheduleClient,
    ) {
        let keeper = NoticeKeeper {
            throttle: site.throttle.clone(),
            leaving: site.leaving.clone(),
            limits,
            schedule,
            directory: beliefs.directory.clone(),
        };
        tokio::spawn(keeper.run(self.background.clone()));
    }

    /// Starts to tell other hosts, and to hear from them, under which requests backend servers ended.
    fn start_suspects(&self, beliefs: &Beliefs, site: &SiteProtocol, schedule: ScheduleClient) {
        let telling = schedule.clone();
        let keeper = SuspectKeeper {
            host: Name::clone(&self.config.host),
            table: Name::clone(&site.own_table),
            store: site.store.clone(),
            rows: beliefs.hosts.subscribe(),
            unreadable: beliefs.unreadable.clone(),
            desk: self.suspects.clone(),
            wall: WallClock::system(),
            tell: Arc::new(move |news| telling.publish(&FleetUpdate::Suspect(news.clone()))),
            schedules: Arc::new(move || schedule.is_any_scheduler()),
        };
        tokio::spawn(keeper.run(self.background.clone()));
    }

    fn start_callers(
        &self,
        beliefs: &Beliefs,
        site: &SiteProtocol,
        context: ForwardContext,
        listener: NetListener,
        clock: HostClock,
    ) {
        let stopping = Arc::clone(&self.stopping);
        let known = KnownConfig {
            config: beliefs.config.clone(),
            operator: beliefs.operator.clone(),
            change_limit: self.config.change_limit,
        };
        let state = IngressState::new(
            site.clone(),
            context,
            known,
            stopping,
            self.config.fingerprint_key.clone(),
            clock,
        );
        let limits = caller_limits(beliefs.config.clone(), &self.background);
        let (held, cancel) = (self.held.clone(), self.callers.clone());
        let serve = serve_http_with_budget(listener, limits, state.handler(), held, cancel);
        self.serving.spawn(serve);
    }

    /// Takes what may change without a restart from new settings.
    pub fn reload(&self, config: RouterConfig) {
        log::info!("event=reloaded seeds={:?} lifted={:?}", config.seeds, config.lifted);
        self.peers.set_seeds(config.seeds);
        self.suspects.set_lifted(config.lifted);
    }

    /// Stops: no new callers, open answers to their end, nothing beyond the grace.
    pub async fn stop(self) {
        let asked = self.clock.now();
        let deadline = asked + self.config.shutdown_grace.saturating_sub(KILL_MARGIN);
        log::info!("event=stopping grace_ms={}", self.config.shutdown_grace.as_millis());
        self.stopping.store(true, Ordering::Relaxed);
        self.clock.sleep_until(deadline.min(asked + STILL_LISTED)).await;
        self.callers.cancel();
        self.serving.close();
        let finished = self.clock.timeout_at(deadline, self.serving.wait()).await.is_ok();
        self.background.cancel();
        log::info!("event=stopped all_answers_finished={finished}");
    }
}

/// The limits on callers' connections, as the configuration in force says.
fn caller_limits(
    mut config: watch::Receiver<Option<Arc<RoutingConfig>>>,
    cancel: &CancellationToken,
) -> watch::Receiver<ServerLimits> {
    let limits = |idle| ServerLimits {
        max_connections: MOST_CALLER_CONNECTIONS,
        // A connection that rests is waiting for its next head.
        header_timeout: idle,
    };
    let (sender, receiver) = watch::channel(limits(FIRST_IDLE_TIMEOUT));
    let cancel = cancel.clone();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                changed = config.changed() => if changed.is_err() { return },
                () = cancel.cancelled() => return,
            }
            let idle = config.borrow_and_update().as_ref().map(|now| now.limits.idle_timeout);
            sender.send_replace(limits(idle.unwrap_or(FIRST_IDLE_TIMEOUT)));
        }
    });
    receiver
}

async fn listen(stack: &NetStack, address: SocketAddr) -> Result<NetListener, RouterError> {
    stack.listen(address).await.context(ListenSnafu { address })
}
