//! What a host does for others, and asks of them: schedulers, holders of limits, orders, budgets.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use dillspool_forward::RetryBudgets;
use dillspool_io::{HostClock, NetListener, NetStack};
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

use crate::beliefs::Beliefs;
use crate::peer_list::PeerList;
use crate::settings::RouterConfig;
use crate::site::SiteProtocol;

/// Time before a host gives orders that does not schedule the pools: the one that does has ordered by
/// then, and its orders show in the directory, unless it cannot reach the store or the engines.
const OTHERS_ORDER_DELAY: Duration = Duration::from_secs(6);
/// Time between two looks at the number of hosts.
const COUNT_EVERY: Duration = Duration::from_secs(1);
/// The same until it is known: callers of a fleet that was lost come back at once, and a host that takes
/// the fleet for the largest of all has no budget for more than one prompt at a time.
const FIRST_COUNT_EVERY: Duration = Duration::from_millis(50);
/// Longest extra wait of such a host, spread over the hosts: once the first has given orders, the
/// others find that in the row of the lease and do not wait for it.
const LONGEST_ORDER_DELAY_MS: u64 = 14_000;

/// Hosts of the fleet, as far as this host knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostCount(Arc<AtomicUsize>);

impl HostCount {
    fn set(&self, hosts: usize) {
        self.0.store(hosts, Ordering::Relaxed);
    }

    /// `None` until it is known.
    pub(crate) fn get(&self) -> Option<usize> {
        let hosts = self.0.load(Ordering::Relaxed);
        (hosts > 0).then_some(hosts)
    }
}

/// Keeps the number of hosts that share the budget of repeated sends until `cancel`: by the schedulers'
/// word or, until a host that starts is linked, by the rows of the hosts.
pub(crate) async fn keep_host_count(
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
        let pause = if hosts.is_some() { COUNT_EVERY } else { FIRST_COUNT_EVERY };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = cancel.cancelled() => return,
        }
    }
}

/// News between what this host knows and its links.
pub(crate) fn fleet_bus(
    suspects: &SuspectTracker,
    site: &SiteProtocol,
    clock: &HostClock,
) -> FleetBus {
    let (learning, telling) = (suspects.clone(), suspects.clone());
    let (knowing, repeating) = (suspects.clone(), suspects.clone());
    let suspects = SuspectHandlers {
        apply_update: Arc::new(move |news| learning.apply_update(news)),
        updates_to_forward: Arc::new(move |news| telling.updates_to_forward(news)),
        newest_updates: Arc::new(move |most| knowing.newest_updates(most)),
        newest_repeated: Arc::new(move |most| repeating.newest_repeated(most)),
    };
    let (learning, knowing) = (site.throttle.clone(), site.throttle.clone());
    let throttle = NoticeHandlers {
        apply_update: Arc::new(move |news| learning.apply_update(news)),
        newest_updates: Arc::new(move |most| knowing.newest_updates(most)),
    };
    let (learning, knowing) = (site.leaving.clone(), site.leaving.clone());
    let leaving = NoticeHandlers {
        apply_update: Arc::new(move |news| learning.apply_update(news)),
        newest_updates: Arc::new(move |most| knowing.newest_updates(most)),
    };
    FleetBus::new(BusHandlers { suspects, throttle, leaving }, clock.clone())
}

/// Starts this host's own decisions, its service to others that ask it, and its link to the
/// scheduler that it asks.
pub(crate) fn start_schedule(
    config: &RouterConfig,
    stack: &NetStack,
    beliefs: &Beliefs,
    listener: NetListener,
    desks: ScheduleServices,
    cancel: &CancellationToken,
) -> ScheduleClient {
    let (desk, bus) = (desks.pools.clone(), desks.bus.clone());
    let (known, directory) = (beliefs.config.clone(), beliefs.directory.clone());
    tokio::spawn(desk.clone().run(known.clone(), directory, cancel.clone()));
    tokio::spawn(serve_schedule(listener, desks, cancel.clone()));
    let client = ScheduleClient::new(desk, bus);
    log::info!("event=policy {:?}", config.policy);
    if !config.policy.schedule {
        return client;
    }
    let listed = beliefs.peers.clone();
    let peers = move |service: &str| listed.schedule_peers(service);
    let host = Name::clone(&config.host);
    tokio::spawn(client.clone().run(stack.clone(), host, peers, known, cancel.clone()));
    client
}

/// Starts this host's links to the hosts that count the limits of workspaces.
pub(crate) fn start_limits(
    config: &RouterConfig,
    stack: &NetStack,
    beliefs: &Beliefs,
    desk: RateLimiter,
    cancel: &CancellationToken,
) -> LimitClient {
    let client = LimitClient::new(desk);
    let (listed, known) = (beliefs.peers.clone(), beliefs.config.clone());
    let peers = move |share: &str| listed.schedule_peers(share);
    let host = Name::clone(&config.host);
    tokio::spawn(client.clone().run(stack.clone(), host, peers, known, cancel.clone()));
    client
}

/// Starts this host's links to the hosts that count what backend servers say they take; none is opened before
/// one says so.
pub(crate) fn start_backend_limits(
    config: &RouterConfig,
    stack: &NetStack,
    beliefs: &Beliefs,
    desk: RateLimiter,
    schedule: ScheduleClient,
    cancel: &CancellationToken,
) -> LimitClient {
    let client = LimitClient::new(desk);
    let (listed, counted) = (beliefs.peers.clone(), beliefs.peers.clone());
    let peers = move |share: &str| listed.schedule_peers(share);
    let count = move || schedule.host_count().or_else(|| counted.count_hosts());
    let host = Name::clone(&config.host);
    tokio::spawn(client.clone().run_on_demand(stack.clone(), host, peers, count, cancel.clone()));
    client
}

/// Starts this host's decisions on the calls of plain services with few slots, and its links to the hosts that
/// decide on them for all.
pub(crate) fn start_calls(
    config: &RouterConfig,
    stack: &NetStack,
    beliefs: &Beliefs,
    desk: CallScheduler,
    hosts: HostCount,
    cancel: &CancellationToken,
) -> CallClient {
    log::info!("event=policy calls={:?}", config.calls);
    let client = CallClient::new(desk.clone());
    if config.calls.slots_per_host <= 0.0 || !config.policy.schedule {
        return client;
    }
    let (known, directory) = (beliefs.config.clone(), beliefs.directory.clone());
    let counted = hosts.clone();
    tokio::spawn(desk.run(known, directory, move || counted.get(), cancel.clone()));
    let listed = beliefs.peers.clone();
    let peers = move |service: &str| listed.schedule_peers(service);
    let (host, count) = (Name::clone(&config.host), move || hosts.get());
    tokio::spawn(client.clone().run(stack.clone(), host, peers, count, cancel.clone()));
    client
}

/// The host that schedules the pools sees the requests of all and gives orders at once; others, by
/// their names, only if nobody has for a while.
pub(crate) fn order_delay(
    host: &str,
    config: watch::Receiver<Option<Arc<RoutingConfig>>>,
    schedule: ScheduleClient,
) -> DelayFn {
    let spread = Duration::from_millis(hash_of(host) % LONGEST_ORDER_DELAY_MS);
    Arc::new(move || {
        let known = config.borrow();
        let mut services = known.iter().flat_map(|known| known.services.keys());
        let is_first = services.any(|service| schedule.is_scheduler_for(service));
        if is_first { Duration::ZERO } else { OTHERS_ORDER_DELAY + spread }
    })
}

pub(crate) fn hash_of(host: &str) -> u64 {
    host.bytes().fold(0_u64, |hash, byte| hash.wrapping_mul(1_099_511_628_211) ^ u64::from(byte))
}
