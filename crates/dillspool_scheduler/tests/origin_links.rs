//! The origins of streams on the links of a pool: who is told of them, who knows them after a loss,
//! and hosts of an earlier build, which do not understand such messages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_admission::AdmissionPolicy;
use dillspool_capacity::DemandMeter;
use dillspool_dialer::BackendDialer;
use dillspool_io::{HostClock, MemoryNet, NetStream};
use dillspool_origins::{ORIGIN_TTL, OriginSettings, OriginTracker};
use dillspool_routing::{
    BackendEntry, BackendState, ClientLimits, DirectoryView, EnginePool, EngineStage, RouteTable,
    RoutingConfig, ServiceEntry, SoftwareVersion,
};
use dillspool_scheduler::{
    BusHandlers, CallScheduler, CallSchedulerSettings, FleetBus, PlacementScheduler, RateLimiter,
    RateLimiterSettings, ScheduleClient, SchedulePeers, ScheduleServices, serve_schedule,
};
use dillspool_schema::Name;
use dillspool_schema::schedule::{
    ScheduleBeat, ScheduleDuty, ScheduleHello, ScheduleMessage, ScheduleOrigin, ScheduleOrigins,
};
use futures_util::{SinkExt, StreamExt};
use tokio::sync::watch;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, accept_async, client_async};
use tokio_util::sync::CancellationToken;

const POOL: &str = "pool";

fn address(host: u8) -> SocketAddr {
    format!("10.0.0.{host}:7661").parse().expect("an address")
}

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion(name.into())
}

fn config() -> RoutingConfig {
    let engine = EnginePool {
        slots: 8,
        memory_tokens: 60_000,
        handle_ttl: Duration::from_millis(500),
        max_reservation_ttl: Duration::from_secs(2),
        stage_switch_time: Duration::from_secs(6),
    };
    let service = ServiceEntry {
        name: POOL.into(),
        health_path: "/health".into(),
        max_connections: 100,
        engine: Some(engine),
    };
    let limits = ClientLimits {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let services = [(POOL.into(), service)].into();
    RoutingConfig { version: 1, routes: RouteTable::default(), services, workspaces: None, limits }
}

fn view(versions: &[&str]) -> DirectoryView {
    let entry = |name: &&str| {
        let id: Name = format!("engine-{name}").into();
        let entry = BackendEntry {
            id: Name::clone(&id),
            start: None,
            software: version(name),
            service: POOL.into(),
            address: address(99),
            failure_domain: "domain".into(),
            state: BackendState::Ready,
            stage: Some(EngineStage::Decode),
            slots: None,
        };
        (id, Arc::new(entry))
    };
    let entries = versions.iter().map(entry).collect();
    DirectoryView { version: 1.into(), entries, ..DirectoryView::default() }
}

/// A host that serves others and asks the first host in `order` that answers.
struct TestHost {
    tracker: OriginTracker,
    client: ScheduleClient,
    cancel: CancellationToken,
    _config: watch::Sender<Option<Arc<RoutingConfig>>>,
    _view: watch::Sender<Arc<DirectoryView>>,
}

impl TestHost {
    async fn start(net: &MemoryNet, host: u8, order: &[u8], versions: &[&str]) -> Self {
        let (stack, clock) = (net.stack(address(host).ip()), HostClock::steady());
        let cancel = CancellationToken::new();
        let tracker = OriginTracker::new(OriginSettings::new_fleet(clock.clone()));
        tracker.observe_directory(&view(versions));
        let handlers = BusHandlers { origins: tracker.clone(), ..BusHandlers::none() };
        let bus = FleetBus::new(handlers, clock.clone());
        let scheduler = PlacementScheduler::new(
            AdmissionPolicy::default(),
            1,
            DemandMeter::default(),
            clock.clone(),
        );
        let (config_sender, known) = watch::channel(Some(Arc::new(config())));
        let (view_sender, directory) = watch::channel(Arc::new(view(versions)));
        tokio::spawn(scheduler.clone().run(known.clone(), directory, cancel.clone()));
        let settings = RateLimiterSettings { slack: 0.0, shares: 1 };
        let services = ScheduleServices {
            pools: scheduler.clone(),
            limits: RateLimiter::new(settings, clock.clone()),
            backend_limits: RateLimiter::for_backend_servers(1, clock.clone()),
            calls: CallScheduler::new(CallSchedulerSettings::default(), 1, clock.clone()),
            bus: bus.clone(),
            dialer: BackendDialer::new(&stack, &clock),
        };
        let listener = stack.listen(address(host)).await.expect("a free address");
        tokio::spawn(serve_schedule(listener, services, cancel.clone()));
        let client = ScheduleClient::new(scheduler, bus);
        let ranked: Vec<_> = order.iter().map(|host| address(*host)).collect();
        let own_address = Some(address(host));
        let peers = move |_service: &str| SchedulePeers { own_address, ranked: ranked.clone() };
        let name = format!("host-{host}").into();
        tokio::spawn(client.clone().run(stack, name, peers, known, cancel.clone()));
        Self { tracker, client, cancel, _config: config_sender, _view: view_sender }
    }

    /// Begins a stream at a version, as the publisher of a host does.
    fn begin(&self, attempt: &str, name: &str) {
        self.tracker.record(&POOL.into(), &attempt.into(), Some(version(name)));
        for (service, records) in self.tracker.take_outgoing() {
            self.client.publish_origins(&service, records);
        }
    }

    /// The version that this host finds for a stream, by itself or from its scheduler.
    async fn find(&self, attempt: &str) -> Option<SoftwareVersion> {
        let own = self.tracker.find(POOL, Some(attempt)).record;
        let record = match own {
            Some(record) => Some(record),
            None => self.client.find_origin(POOL, Some(&attempt.into())).await?.record,
        };
        record?.software
    }
}

async fn settle() {
    tokio::time::sleep(Duration::from_secs(1)).await;
}

struct LossCase {
    name: &'static str,
    versions: &'static [&'static str],
    /// The host that begins the stream; host 1 is the scheduler.
    begins: usize,
    /// Hosts that are lost then.
    lost: &'static [usize],
    /// The host that looks for it.
    finds: usize,
}

const LOSS_CASES: [LossCase; 5] = [
    LossCase { name: "no loss", versions: &["v1", "v2"], begins: 1, lost: &[], finds: 2 },
    LossCase { name: "its host", versions: &["v1", "v2"], begins: 1, lost: &[1], finds: 2 },
    LossCase { name: "the scheduler", versions: &["v1", "v2"], begins: 0, lost: &[0], finds: 3 },
    LossCase {
        name: "all but one",
        versions: &["v1", "v2"],
        begins: 1,
        lost: &[0, 1, 2],
        finds: 3,
    },
    LossCase { name: "its host, one version", versions: &["v1"], begins: 1, lost: &[1], finds: 2 },
];

#[tokio::test(start_paused = true)]
async fn the_origin_of_a_stream_is_found_after_a_loss_of_hosts() {
    for case in LOSS_CASES {
        let net = MemoryNet::new();
        let mut hosts = Vec::new();
        for host in 1..=4 {
            hosts.push(TestHost::start(&net, host, &[1, 2, 3, 4], case.versions).await);
        }
        settle().await;
        hosts[case.begins].begin("stream", "v1");
        tokio::time::sleep(Duration::from_millis(100)).await;
        for lost in case.lost {
            hosts[*lost].cancel.cancel();
        }
        settle().await;
        assert_eq!(hosts[case.finds].find("stream").await, Some(version("v1")), "{}", case.name);
        assert_eq!(hosts[case.finds].find("another").await, None, "{}", case.name);
    }
}

type HostSocket = WebSocketStream<NetStream>;

/// The first message of a host; one of an earlier build does not understand messages about origins.
fn hello(origins: bool) -> ScheduleMessage {
    ScheduleMessage::Hello(ScheduleHello {
        version: 6,
        host: "host-9".into(),
        duty: ScheduleDuty::Pool,
        service: POOL.into(),
        hosts: 0,
        backend: None,
        origins,
    })
}

async fn send(socket: &mut HostSocket, message: &ScheduleMessage) {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("a message");
    socket.send(Message::Binary(bytes.into())).await.expect("an open link");
}

/// Messages other than heartbeats that arrive within a second, and the number of heartbeats.
async fn received(socket: &mut HostSocket) -> (Vec<ScheduleMessage>, usize) {
    let (mut messages, mut beats) = (Vec::new(), 0);
    let reading = async {
        while let Some(Ok(Message::Binary(bytes))) = socket.next().await {
            match ciborium::from_reader(&bytes[..]).expect("a message") {
                ScheduleMessage::Beat(_) => beats += 1,
                message => messages.push(message),
            }
        }
    };
    let _elapsed = tokio::time::timeout(Duration::from_secs(1), reading).await;
    (messages, beats)
}

/// A scheduler with hosts of this build and of an earlier one.
#[tokio::test(start_paused = true)]
async fn a_scheduler_tells_only_hosts_that_understand_it() {
    let net = MemoryNet::new();
    let host = TestHost::start(&net, 1, &[1], &["v1", "v2"]).await;
    settle().await;
    for understands in [true, false] {
        let stack = net.stack(address(9).ip());
        let stream = stack.connect(address(1)).await.expect("it listens");
        let url = format!("ws://{}/", address(1));
        let (mut socket, _response) = client_async(url, stream).await.expect("a handshake");
        send(&mut socket, &hello(understands)).await;
        let _opened = received(&mut socket).await;
        host.begin(&format!("stream-{understands}"), "v2");
        let (messages, beats) = received(&mut socket).await;
        assert!(beats > 0, "the link stays open");
        let told = messages.iter().any(|it| matches!(it, ScheduleMessage::Origins(_)));
        assert_eq!(told, understands, "{messages:?}");
    }
}

/// A host whose scheduler is of an earlier build: it sends heartbeats without the new field.
#[tokio::test(start_paused = true)]
async fn a_host_tells_only_a_scheduler_that_understands_it() {
    for share_origins in [None, Some(false), Some(true)] {
        let net = MemoryNet::new();
        let mut listener =
            net.stack(address(1).ip()).listen(address(1)).await.expect("a free address");
        let host = TestHost::start(&net, 2, &[1, 2], &["v1"]).await;
        let stream = listener.accept().await.expect("a link");
        let mut socket = accept_async(stream).await.expect("a handshake");
        let beat = ScheduleMessage::Beat(ScheduleBeat { hosts: 2, share_origins });
        send(&mut socket, &beat).await;
        let opened = received(&mut socket).await;
        assert!(
            opened.0.iter().any(|it| matches!(it, ScheduleMessage::Hello(hello) if hello.origins))
        );
        send(&mut socket, &beat).await;
        host.begin("stream", "v1");
        let (messages, beats) = received(&mut socket).await;
        assert!(beats > 0, "the link stays open");
        let told = messages.iter().any(|it| matches!(it, ScheduleMessage::Origins(_)));
        assert_eq!(told, share_origins.is_some(), "{share_origins:?}: {messages:?}");
        if share_origins.is_none() {
            let found = host.client.find_origin(POOL, Some(&"other".into())).await;
            assert_eq!(found, None, "nobody to ask");
        }
        assert_eq!(host.tracker.is_shared(&POOL.into()), share_origins == Some(true));
    }
}

/// Records that another host sends are kept whatever they say, and do no harm beyond their stream.
#[tokio::test(start_paused = true)]
async fn malformed_records_are_passed_over() {
    let net = MemoryNet::new();
    let host = TestHost::start(&net, 1, &[1], &["v1", "v2"]).await;
    // The host's clock has run for longer than records are kept.
    tokio::time::sleep(2 * ORIGIN_TTL).await;
    let stream = net.stack(address(9).ip()).connect(address(1)).await.expect("it listens");
    let url = format!("ws://{}/", address(1));
    let (mut socket, _response) = client_async(url, stream).await.expect("a handshake");
    send(&mut socket, &hello(true)).await;
    let origin = |attempt: &str, software: Option<&str>, age_ms| ScheduleOrigin {
        attempt: attempt.into(),
        service: POOL.into(),
        software: software.map(Name::from),
        age_ms,
    };
    let streams = vec![
        origin("good", Some("v1"), 5),
        origin("good", Some("v2"), 5),
        origin(&"x".repeat(500), Some("v1"), 5),
        origin("old", Some("v1"), u64::MAX),
        origin("sound", Some("v2"), 5),
    ];
    send(&mut socket, &ScheduleMessage::Origins(ScheduleOrigins { streams })).await;
    settle().await;
    let found = |attempt: &str| host.tracker.find(POOL, Some(attempt)).record;
    assert_eq!(found("good").map(|it| it.software), Some(None), "in doubt");
    assert_eq!(found("old"), None);
    assert_eq!(found(&"x".repeat(500)), None);
    assert_eq!(found("sound").and_then(|it| it.software), Some(version("v2")));
}
