//! Hosts that ask the scheduler of a service's calls over an in-memory network.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_admission::AdmissionPolicy;
use dillspool_calls::{CallDecision, CallRequest};
use dillspool_capacity::DemandMeter;
use dillspool_cases::ClockJumps;
use dillspool_dialer::BackendDialer;
use dillspool_io::{HostClock, LinkMode, MemoryNet};
use dillspool_routing::{
    BackendEntry, BackendStart, BackendState, ClientLimits, DirectoryView, RouteTable,
    RoutingConfig, ServiceEntry, SoftwareVersion,
};
use dillspool_scheduler::{
    BusHandlers, CallClient, CallScheduler, CallSchedulerSettings, CallTicket, FleetBus,
    PlacementScheduler, RateLimiter, SchedulePeers, ScheduleServices, serve_schedule,
};
use futures_util::future::join_all;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

pub const SERVICE: &str = "service";
/// Time within which a host decides by itself when the scheduler does not respond.
pub const DECIDED_WITHIN: Duration = Duration::from_millis(45);

pub fn address(host: u8) -> SocketAddr {
    format!("10.0.0.{host}:7661").parse().expect("an address")
}

pub fn config() -> RoutingConfig {
    let service = ServiceEntry {
        name: SERVICE.into(),
        health_path: "/health".into(),
        max_connections: 100,
        engine: None,
    };
    let limits = ClientLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 65_536,
        header_timeout: Duration::from_secs(2),
        idle_timeout: Duration::from_secs(10),
    };
    let services = BTreeMap::from([(SERVICE.into(), service)]);
    RoutingConfig { version: 1, routes: RouteTable::default(), services, workspaces: None, limits }
}

pub fn entry(id: &str) -> BackendEntry {
    BackendEntry {
        id: id.into(),
        start: Some(BackendStart(1)),
        software: SoftwareVersion::default(),
        service: SERVICE.into(),
        address: ([10, 0, 1, 1], 9).into(),
        failure_domain: id.into(),
        state: BackendState::Ready,
        stage: None,
        slots: Some(6),
    }
}

pub fn view(entries: impl IntoIterator<Item = BackendEntry>) -> DirectoryView {
    let entries = entries.into_iter().map(|entry| (Arc::clone(&entry.id), Arc::new(entry)));
    DirectoryView { version: 1.into(), entries: entries.collect(), ..DirectoryView::default() }
}

pub fn request() -> CallRequest {
    CallRequest {
        workspace_priority: 0,
        priority: 1,
        failure_domain: "domain".into(),
        objective_left: Duration::from_secs(5),
        time_left: Duration::from_secs(5),
        is_idempotent: false,
        excluded: Vec::new(),
    }
}

/// A host with its own scheduler, which serves others and asks the first host in the order that
/// answers.
pub struct TestHost {
    pub scheduler: CallScheduler,
    pub client: CallClient,
    pub cancel: CancellationToken,
    pub jumps: ClockJumps,
    pub view: watch::Sender<Arc<DirectoryView>>,
    _config: watch::Sender<Option<Arc<RoutingConfig>>>,
}

impl TestHost {
    pub async fn start(net: &MemoryNet, host: u8, order: &[u8], slots_per_host: f64) -> Self {
        let stack = net.stack(address(host).ip());
        let cancel = CancellationToken::new();
        let jumps = ClockJumps::default();
        let settings = CallSchedulerSettings { slots_per_host, ..CallSchedulerSettings::default() };
        let scheduler = CallScheduler::new(settings, u64::from(host), jumps.clock());
        let (config_sender, known) = watch::channel(Some(Arc::new(config())));
        let (view_sender, directory) = watch::channel(Arc::new(view([entry("a"), entry("b")])));
        tokio::spawn(scheduler.clone().run(known, directory, || Some(3), cancel.clone()));
        let listener = stack.listen(address(host)).await.expect("a free address");
        tokio::spawn(serve_schedule(listener, services(&scheduler), cancel.clone()));
        let client = CallClient::new(scheduler.clone());
        let ranked: Vec<_> = order.iter().map(|host| address(*host)).collect();
        let own = Some(address(host));
        let peers =
            move |_service: &str| SchedulePeers { own_address: own, ranked: ranked.clone() };
        let name = format!("host-{host}").into();
        tokio::spawn(client.clone().run(stack, name, peers, || Some(3), cancel.clone()));
        Self { scheduler, client, cancel, jumps, view: view_sender, _config: config_sender }
    }

    pub async fn ask(&self) -> (CallTicket, Option<CallDecision>) {
        let mut ticket = self.client.open_ticket(&SERVICE.into());
        let decision = ticket.request_decision(&request()).await;
        (ticket, decision)
    }

    /// Requests this many calls at once and returns the tickets of those that are sent `within` a
    /// time; drops the others.
    pub async fn start_calls(&self, calls: usize, within: Duration) -> Vec<CallTicket> {
        let ask = async || match tokio::time::timeout(within, self.ask()).await {
            Ok((ticket, Some(CallDecision::Send { .. }))) => Some(ticket),
            Ok(_) | Err(_) => None,
        };
        join_all((0..calls).map(|_call| ask())).await.into_iter().flatten().collect()
    }

    /// Returns the calls in flight by this host's decisions, and their limit.
    pub fn in_flight(&self) -> (u32, u32) {
        let snapshots = self.scheduler.snapshots();
        let servers = snapshots.iter().flat_map(|(_service, snapshot)| &snapshot.servers);
        servers.fold((0, 0), |sums, server| (sums.0 + server.in_flight, sums.1 + server.limit))
    }

    pub fn waiting(&self) -> usize {
        self.scheduler.snapshots().iter().map(|(_service, snapshot)| snapshot.waiting).sum()
    }
}

pub fn services(calls: &CallScheduler) -> ScheduleServices {
    let pools = PlacementScheduler::new(
        AdmissionPolicy::default(),
        1,
        DemandMeter::default(),
        HostClock::steady(),
    );
    ScheduleServices {
        pools,
        limits: RateLimiter::for_backend_servers(1, HostClock::steady()),
        backend_limits: RateLimiter::for_backend_servers(1, HostClock::steady()),
        calls: calls.clone(),
        bus: FleetBus::new(BusHandlers::none(), HostClock::steady()),
        dialer: BackendDialer::new(
            &MemoryNet::new().stack([10, 0, 0, 1].into()),
            &HostClock::steady(),
        ),
    }
}

/// Three hosts, of which the first is the scheduler.
pub struct TestFleet {
    pub net: MemoryNet,
    pub hosts: Vec<TestHost>,
}

impl TestFleet {
    pub async fn start() -> Self {
        let net = MemoryNet::new();
        let mut hosts = Vec::new();
        for host in 1..=3 {
            hosts.push(TestHost::start(&net, host, &[1, 2, 3], 10.0).await);
        }
        pass(1_000).await;
        Self { net, hosts }
    }

    pub fn set_links(&self, one: u8, others: &[u8], mode: LinkMode) {
        for other in others {
            self.net.set_link(address(one).ip(), address(*other).ip(), mode);
        }
    }

    /// Returns the limit of all servers together at the scheduler.
    pub fn limit(&self) -> usize {
        self.hosts[0].in_flight().1 as usize
    }
}

pub async fn pass(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
