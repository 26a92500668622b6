//! Hosts that ask a scheduler, lose it, and find another one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_admission::{
    AdmissionPolicy, EngineFault, PlacementDecision, PlacementRequest, WorkClass,
};
use dillspool_capacity::DemandMeter;
use dillspool_cases::run_paused;
use dillspool_dialer::BackendDialer;
use dillspool_io::{HostClock, LinkMode, MemoryNet};
use dillspool_routing::{
    BackendEntry, BackendInstance, BackendStart, BackendState, ClientLimits, DirectoryView,
    EnginePool, EngineStage, RouteTable, RoutingConfig, ServiceEntry, SoftwareVersion,
};
use dillspool_scheduler::{
    BusHandlers, CallScheduler, CallSchedulerSettings, FleetBus, PlacementEvent,
    PlacementScheduler, PlacementTicket, RateLimiter, RateLimiterSettings, ScheduleClient,
    SchedulePeers, ScheduleServices, SchedulerCandidate, rank_candidates, serve_schedule,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const SERVICE: &str = "service";

fn address(host: u8) -> SocketAddr {
    format!("10.0.0.{host}:7661").parse().expect("an address")
}

/// A pool of two small decode engines, each with room for one request, and a prefill engine.
fn config() -> RoutingConfig {
    let pool = EnginePool {
        slots: 1,
        memory_tokens: 60_000,
        handle_ttl: Duration::from_millis(500),
        max_reservation_ttl: Duration::from_secs(2),
        stage_switch_time: Duration::from_secs(6),
    };
    let service = ServiceEntry {
        name: SERVICE.into(),
        health_path: "/health".into(),
        max_connections: 100,
        engine: Some(pool),
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

fn view() -> DirectoryView {
    view_since(None)
}

/// The pool's engines, all with the same start.
fn view_since(start: Option<BackendStart>) -> DirectoryView {
    let entry = |id: &str, stage| BackendEntry {
        id: id.into(),
        start,
        software: SoftwareVersion::default(),
        service: SERVICE.into(),
        address: ([10, 0, 1, 1], 9).into(),
        failure_domain: "domain".into(),
        state: BackendState::Ready,
        stage: Some(stage),
        slots: None,
    };
    let entries = [
        entry("decode-1", EngineStage::Decode),
        entry("decode-2", EngineStage::Decode),
        entry("prefill-1", EngineStage::Prefill),
    ];
    let entries = entries.into_iter().map(|entry| (Arc::clone(&entry.id), Arc::new(entry)));
    DirectoryView { version: 1.into(), entries: entries.collect(), ..DirectoryView::default() }
}

fn request() -> PlacementRequest {
    PlacementRequest {
        class: WorkClass::InTime,
        workspace_priority: 0,
        priority: 1,
        failure_domain: "domain".into(),
        prompt_tokens: 1_000,
        estimated_tokens: 1_000,
        max_tokens: 10_000,
        objective_left: Duration::from_millis(900),
        max_wait: Duration::from_secs(14),
        time_left: Duration::from_secs(14),
        max_event_gap: Some(Duration::from_millis(300)),
        excluded: Vec::new(),
        refusals: 0,
        subset: None,
        software: None,
    }
}

/// A host with its own scheduler, which serves others and asks the first host in `order` that
/// answers.
struct TestHost {
    client: ScheduleClient,
    cancel: CancellationToken,
    _config: watch::Sender<Option<Arc<RoutingConfig>>>,
    view: watch::Sender<Arc<DirectoryView>>,
}

impl TestHost {
    async fn start(net: &MemoryNet, host: u8, order: &[u8]) -> Self {
        let stack = net.stack(address(host).ip());
        let cancel = CancellationToken::new();
        let scheduler = PlacementScheduler::new(
            AdmissionPolicy::default(),
            u64::from(host),
            DemandMeter::default(),
            HostClock::steady(),
        );
        let (config_sender, known) = watch::channel(Some(Arc::new(config())));
        let (view_sender, directory) = watch::channel(Arc::new(view()));
        tokio::spawn(scheduler.clone().run(known.clone(), directory, cancel.clone()));
        let listener = stack.listen(address(host)).await.expect("a free address");
        let limits =
            RateLimiter::new(RateLimiterSettings { slack: 0.0, shares: 1 }, HostClock::steady());
        tokio::spawn(serve_schedule(
            listener,
            ScheduleServices {
                pools: scheduler.clone(),
                limits,
                backend_limits: no_limits(),
                calls: no_calls(),
                bus: no_updates(),
                dialer: BackendDialer::new(&stack, &HostClock::steady()),
            },
            cancel.clone(),
        ));
        let client = ScheduleClient::new(scheduler, no_updates());
        let ranked: Vec<_> = order.iter().map(|host| address(*host)).collect();
        let own = Some(address(host));
        let peers =
            move |_service: &str| SchedulePeers { own_address: own, ranked: ranked.clone() };
        let name = format!("host-{host}").into();
        tokio::spawn(client.clone().run(stack, name, peers, known, cancel.clone()));
        Self { client, cancel, _config: config_sender, view: view_sender }
    }

    async fn ask(&self) -> (PlacementTicket, Option<PlacementDecision>) {
        let ticket = self.client.open_ticket(&SERVICE.into());
        let decision = ticket.request_placement(&request()).await;
        (ticket, decision)
    }
}

async fn settle() {
    tokio::time::sleep(Duration::from_secs(1)).await;
}

fn engine(decision: Option<&PlacementDecision>) -> Option<String> {
    match decision {
        Some(PlacementDecision::Place(placement)) => Some(placement.decode_engine.to_string()),
        Some(PlacementDecision::Wait | PlacementDecision::Reject { .. }) | None => None,
    }
}

fn has_prefill(decision: Option<&PlacementDecision>) -> bool {
    matches!(decision, Some(PlacementDecision::Place(placement)) if placement.prefill_engine.is_some())
}

/// Three hosts, of which the first is the scheduler.
async fn three_hosts(net: &MemoryNet) -> Vec<TestHost> {
    let mut hosts = Vec::new();
    for host in 1..=3 {
        hosts.push(TestHost::start(net, host, &[1, 2, 3]).await);
    }
    settle().await;
    hosts
}

#[test]
fn placements_are_shared_by_all_hosts() {
    run_paused(async {
        let hosts = three_hosts(&MemoryNet::new()).await;
        let (_first, one) = hosts[1].ask().await;
        let (second, two) = hosts[2].ask().await;
        let mut engines = [engine(one.as_ref()), engine(two.as_ref())];
        engines.sort();
        assert_eq!(engines, [Some("decode-1".to_owned()), Some("decode-2".to_owned())]);
        // Both engines are full: no request is placed, whichever host asks.
        for host in &hosts {
            let (_ticket, decision) = host.ask().await;
            assert_eq!(engine(decision.as_ref()), None);
        }
        drop(second);
        settle().await;
        let (_ticket, decision) = hosts[1].ask().await;
        assert!(engine(decision.as_ref()).is_some(), "what ended is free for all");
    });
}

/// A fault is reported with the engine's start, so the scheduler does not count it against another
/// instance.
#[test]
fn a_fault_counts_only_against_its_engine_instance() {
    let known = Some(BackendStart(9));
    // Engines that accept one more request each at once.
    for (told, open) in [(known, 1), (None, 1), (Some(BackendStart(7)), 2)] {
        run_paused(async move {
            let hosts = three_hosts(&MemoryNet::new()).await;
            for host in &hosts {
                host.view.send_replace(Arc::new(view_since(known)));
            }
            settle().await;
            let (ticket, decision) = hosts[1].ask().await;
            let id = engine(decision.as_ref()).expect("an engine").into();
            let failed = BackendInstance { id, start: told };
            ticket.record_event(&PlacementEvent::Fault {
                engine: failed,
                fault: EngineFault::Unreachable,
            });
            tokio::time::sleep(Duration::from_millis(20)).await;
            let mut placed = Vec::new();
            for host in [&hosts[2], &hosts[1]] {
                let asking = tokio::time::timeout(Duration::from_millis(100), host.ask());
                // A request keeps its engine until its ticket is dropped.
                placed.extend(asking.await);
            }
            let taken = placed.iter().filter(|(_ticket, it)| engine(it.as_ref()).is_some());
            assert_eq!(taken.count(), open, "{told:?}");
        });
    }
}

struct LossCase {
    name: &'static str,
    /// How the scheduler's links fail; `None` if its process ends.
    mode: Option<LinkMode>,
    /// Time within which a request is decided right after that.
    within_ms: u64,
}

#[test]
fn a_host_decides_locally_until_it_finds_another_scheduler() {
    let cases = [
        LossCase { name: "its process ends", mode: None, within_ms: 5 },
        LossCase { name: "it is cut off", mode: Some(LinkMode::Frozen), within_ms: 100 },
    ];
    for case in cases {
        run_paused(async {
            let net = MemoryNet::new();
            let hosts = three_hosts(&net).await;
            let (held, one) = hosts[2].ask().await;
            assert!(engine(one.as_ref()).is_some(), "{}", case.name);
            held.record_event(&PlacementEvent::Prefilled { took: Duration::from_millis(30) });
            held.record_event(&PlacementEvent::Started);
            match case.mode {
                None => hosts[0].cancel.cancel(),
                Some(mode) => {
                    for other in [2, 3] {
                        net.set_link(address(1).ip(), address(other).ip(), mode);
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
            let asked = tokio::time::Instant::now();
            let (ticket, decision) = hosts[1].ask().await;
            let took = asked.elapsed();
            assert!(engine(decision.as_ref()).is_some(), "{}", case.name);
            assert!(took <= Duration::from_millis(case.within_ms), "{}: {took:?}", case.name);
            drop(ticket);
            // The second host is the scheduler now, and the third one has reported its placement.
            tokio::time::sleep(Duration::from_secs(4)).await;
            let (_one_more, decision) = hosts[1].ask().await;
            let other = engine(decision.as_ref());
            assert!(other.is_some() && other != engine(one.as_ref()), "{}", case.name);
            // The prefill of that request finished long ago and occupies no prefill engine.
            assert!(has_prefill(decision.as_ref()), "{}", case.name);
            let (_ticket, decision) = hosts[1].ask().await;
            assert_eq!(engine(decision.as_ref()), None, "{}: both are full", case.name);
        });
    }
}

#[test]
fn hosts_return_to_the_better_scheduler() {
    run_paused(async {
        let net = MemoryNet::new();
        let hosts = three_hosts(&net).await;
        let cut = |mode| {
            for other in [2, 3] {
                net.set_link(address(1).ip(), address(other).ip(), mode);
            }
        };
        cut(LinkMode::Frozen);
        tokio::time::sleep(Duration::from_secs(5)).await;
        cut(LinkMode::Open);
        tokio::time::sleep(Duration::from_secs(5)).await;
        // All three hosts use one scheduler again: the first host's own request is visible to the
        // others.
        let (_first, one) = hosts[0].ask().await;
        let (_second, two) = hosts[1].ask().await;
        assert!(engine(one.as_ref()).is_some() && engine(two.as_ref()).is_some());
        let (_third, none) = hosts[2].ask().await;
        assert_eq!(engine(none.as_ref()), None);
    });
}

struct RankCase {
    name: &'static str,
    service: &'static str,
    links: [f64; 4],
    /// Hosts that must come first, in any order.
    first: &'static [u8],
}

#[test]
fn hosts_rank_candidates_by_bandwidth_and_agree() {
    let cases = [
        RankCase { name: "one wide", service: "a", links: [20.0, 200.0, 20.0, 20.0], first: &[1] },
        RankCase {
            name: "two wide",
            service: "a",
            links: [200.0, 20.0, 20.0, 200.0],
            first: &[0, 3],
        },
        RankCase {
            name: "no figures",
            service: "b",
            links: [0.0, 0.0, 0.0, 0.0],
            first: &[0, 1, 2, 3],
        },
    ];
    for case in cases {
        let host = |(at, link_mbps): (usize, f64)| {
            let address = address(u8::try_from(at).expect("few hosts"));
            SchedulerCandidate { address, link_mbps }
        };
        let mut hosts: Vec<_> = case.links.into_iter().enumerate().map(host).collect();
        let ranked = rank_candidates(case.service, &hosts);
        hosts.reverse();
        assert_eq!(ranked, rank_candidates(case.service, &hosts), "{}: any order", case.name);
        let mut first = ranked[..case.first.len()].to_vec();
        first.sort();
        let expected: Vec<_> = case.first.iter().map(|host| address(*host)).collect();
        assert_eq!(first, expected, "{}", case.name);
    }
}

fn no_limits() -> RateLimiter {
    RateLimiter::for_backend_servers(1, HostClock::steady())
}

fn no_updates() -> FleetBus {
    FleetBus::new(BusHandlers::none(), HostClock::steady())
}

fn no_calls() -> CallScheduler {
    CallScheduler::new(CallSchedulerSettings::default(), 1, HostClock::steady())
}
