//! Starts the tasks that connect a host with the rest of the fleet: schedulers, limit holders,
//! stage orders and retry budgets.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use dillspool_forward::RetryBudgets;
use dillspool_io::{HostClock, NetListener, NetStack};
use dillspool_origins::OriginTracker;
use dillspool_roles::DelayFn;
use dillspool_routing::RoutingConfig;
use dillspool_scheduler::{
    BusHandlers, CallClient, CallScheduler, FleetBus, LimitClient, NoticeHandlers, RateLimiter,
    ScheduleClient, ScheduleServices, SuspectHandlers, serve_schedule,
};
use dillspool_schema::Name;
use dillspool_suspects::SuspectTracker;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::peer_list::PeerList;
use crate::settings::RouterConfig;
use crate::site::SiteProtocol;
use crate::store_replicas::StoreReplicas;

/// Delay before a host that does not schedule the pools gives orders. The scheduler has given them
/// by then, and they show in the directory, unless it cannot reach the store or the engines.
const NON_SCHEDULER_ORDER_DELAY: Duration = Duration::from_secs(6);
/// Time between two updates of the host count.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// The same until the count is known: after the loss of a whole fleet callers retry at once, and a
/// host that assumes the largest possible fleet has a retry budget for only one prompt at a time.
const INITIAL_COUNT_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum additional delay of such a host, spread over the hosts: once the first has given orders,
/// the others see this in the lease row and do not contend for it.
const MAX_ORDER_JITTER_MS: u64 = 14_000;

/// Number of hosts in the fleet, as far as this host knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostCount(Arc<AtomicUsize>);

impl HostCount {
    fn set(&self, hosts: usize) {
        self.0.store(hosts, Ordering::Relaxed);
    }

    /// Returns `None` until the count is known.
    pub(crate) fn get(&self) -> Option<usize> {
        let hosts = self.0.load(Ordering::Relaxed);
        (hosts > 0).then_some(hosts)
    }
}

/// Keeps the number of hosts that share the retry budget up to date until `cancel`. The count comes
/// from the schedulers or, until a starting host is linked to one, from the host rows.
pub(crate) async fn maintain_host_count(
    schedule: ScheduleClient,
    peers: PeerList,
    budgets: RetryBudgets,
    count: HostCount,
    cancel: CancellationToken,
) {
    loop {
        let hosts = schedule.host_count().or_else(|| peers.count_hosts());
        if let Some(hosts) = hosts {
            budgets.set_host_count(hosts);
            count.set(hosts);
        }
        let pause = if hosts.is_some() { COUNT_INTERVAL } else { INITIAL_COUNT_INTERVAL };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = cancel.cancelled() => return,
        }
    }
}

/// Connects the trackers of this host with its links for exchanging updates.
pub(crate) fn fleet_bus(
    suspects: &SuspectTracker,
    origins: &OriginTracker,
    site: &SiteProtocol,
    clock: &HostClock,
) -> FleetBus {
    let (updater, forwarder) = (suspects.clone(), suspects.clone());
    let (reader, repeat_reader) = (suspects.clone(), suspects.clone());
    let suspects = SuspectHandlers {
        apply_update: Arc::new(move |update| updater.apply_update(update)),
        updates_to_forward: Arc::new(move |update| forwarder.updates_to_forward(update)),
        newest_updates: Arc::new(move |max_updates| reader.newest_updates(max_updates)),
        newest_repeated: Arc::new(move |max_updates| repeat_reader.newest_repeated(max_updates)),
    };
    let (updater, reader) = (site.throttle.clone(), site.throttle.clone());
    let throttle = NoticeHandlers {
        apply_update: Arc::new(move |update| updater.apply_update(update)),
        newest_updates: Arc::new(move |max_updates| reader.newest_updates(max_updates)),
    };
    let (updater, reader) = (site.leaving.clone(), site.leaving.clone());
    let leaving = NoticeHandlers {
        apply_update: Arc::new(move |update| updater.apply_update(update)),
        newest_updates: Arc::new(move |max_updates| reader.newest_updates(max_updates)),
    };
    FleetBus::new(
        BusHandlers { suspects, throttle, leaving, origins: origins.clone() },
        clock.clone(),
    )
}

/// Starts this host's scheduler, its service for other hosts, and its link to the scheduler that it
/// uses.
pub(crate) fn start_schedule(
    config: &RouterConfig,
    stack: &NetStack,
    replicas: &StoreReplicas,
    listener: NetListener,
    services: ScheduleServices,
    cancel: &CancellationToken,
) -> ScheduleClient {
    let (scheduler, bus) = (services.pools.clone(), services.bus.clone());
    let (known, directory) = (replicas.config.clone(), replicas.directory.clone());
    tokio::spawn(scheduler.clone().run(known.clone(), directory, cancel.clone()));
    tokio::spawn(serve_schedule(listener, services, cancel.clone()));
    let client = ScheduleClient::new(scheduler, bus);
    log::info!("event=policy {:?}", config.policy);
    if !config.policy.schedule {
        return client;
    }
    let peer_list = replicas.peers.clone();
    let peers = move |service: &str| peer_list.schedule_peers(service);
    let host = Name::clone(&config.host);
    tokio::spawn(client.clone().run(stack.clone(), host, peers, known, cancel.clone()));
    client
}

/// Starts this host's links to the holders of workspace limits.
pub(crate) fn start_limits(
    config: &RouterConfig,
    stack: &NetStack,
    replicas: &StoreReplicas,
    limiter: RateLimiter,
    cancel: &CancellationToken,
) -> LimitClient {
    let client = LimitClient::new(limiter);
    let (peer_list, known) = (replicas.peers.clone(), replicas.config.clone());
    let peers = move |share: &str| peer_list.limit_peers(share);
    let host = Name::clone(&config.host);
    tokio::spawn(client.clone().run(stack.clone(), host, peers, known, cancel.clone()));
    client
}

/// Starts this host's links to the holders of backend server limits; none is opened before a
/// backend server announces a limit.
pub(crate) fn start_backend_limits(
    config: &RouterConfig,
    stack: &NetStack,
    replicas: &StoreReplicas,
    limiter: RateLimiter,
    schedule: ScheduleClient,
    cancel: &CancellationToken,
) -> LimitClient {
    let client = LimitClient::new(limiter);
    let (peer_list, counted_hosts) = (replicas.peers.clone(), replicas.peers.clone());
    let peers = move |share: &str| peer_list.limit_peers(share);
    let count = move || schedule.host_count().or_else(|| counted_hosts.count_reachable_hosts());
    let host = Name::clone(&config.host);
    tokio::spawn(client.clone().run_on_demand(stack.clone(), host, peers, count, cancel.clone()));
    client
}

/// Starts scheduling the calls of plain services with few slots, and this host's links to the hosts
/// that schedule these calls for the fleet.
pub(crate) fn start_calls(
    config: &RouterConfig,
    stack: &NetStack,
    replicas: &StoreReplicas,
    scheduler: CallScheduler,
    hosts: HostCount,
    cancel: &CancellationToken,
) -> CallClient {
    log::info!("event=policy calls={:?}", config.calls);
    let client = CallClient::new(scheduler.clone());
    if config.calls.slots_per_host <= 0.0 || !config.policy.schedule {
        return client;
    }
    let (known, directory) = (replicas.config.clone(), replicas.directory.clone());
    let counted_hosts = hosts.clone();
    tokio::spawn(scheduler.run(known, directory, move || counted_hosts.get(), cancel.clone()));
    let peer_list = replicas.peers.clone();
    let peers = move |service: &str| peer_list.schedule_peers(service);
    let (host, count) = (Name::clone(&config.host), move || hosts.get());
    tokio::spawn(client.clone().run(stack.clone(), host, peers, count, cancel.clone()));
    client
}

/// Delay before this host gives orders. The scheduler of the pools sees all requests and gives
/// orders at once; other hosts, spread by name, do so only if nobody has for a while.
pub(crate) fn order_delay(
    host: &str,
    config: watch::Receiver<Option<Arc<RoutingConfig>>>,
    schedule: ScheduleClient,
) -> DelayFn {
    let spread = Duration::from_millis(host_hash(host) % MAX_ORDER_JITTER_MS);
    Arc::new(move || {
        let known = config.borrow();
        let mut services = known.iter().flat_map(|known| known.services.keys());
        let is_first = services.any(|service| schedule.is_scheduler_for(service));
        if is_first { Duration::ZERO } else { NON_SCHEDULER_ORDER_DELAY + spread }
    })
}

pub(crate) fn host_hash(host: &str) -> u64 {
    host.bytes().fold(0_u64, |hash, byte| hash.wrapping_mul(1_099_511_628_211) ^ u64::from(byte))
}
