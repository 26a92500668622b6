//! Gossip updates on the links of a pool, on suspects, request rates and leaving servers: which
//! hosts receive them, and which are skipped.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dillspool_admission::AdmissionPolicy;
use dillspool_capacity::DemandMeter;
use dillspool_dialer::BackendDialer;
use dillspool_io::{HostClock, MemoryNet, NetStream};
use dillspool_leaving::{LeavingTracker, LeavingUpdate};
use dillspool_routing::{
    BackendEntry, BackendInstance, BackendStart, BackendState, ClientLimits, DirectoryView,
    EngineStage, RouteTable, RoutingConfig, ServiceEntry, SoftwareVersion,
};
use dillspool_scheduler::{
    BusHandlers, CallScheduler, CallSchedulerSettings, FleetBus, NoticeHandlers,
    PlacementScheduler, RateLimiter, RateLimiterSettings, ScheduleServices, SuspectHandlers,
    serve_schedule,
};
use dillspool_schema::schedule::{
    ScheduleBeat, ScheduleDuty, ScheduleHello, ScheduleLeaving, ScheduleMessage, ScheduleSuspect,
    ScheduleThrottle,
};
use dillspool_suspects::SuspectUpdate;
use dillspool_throttle::{ThrottleTracker, ThrottleUpdate};
use futures_util::{SinkExt, StreamExt};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async};
use tokio_util::sync::CancellationToken;

const ADDRESS: &str = "10.0.0.1:7661";
const FINGERPRINT: &str = "00112233445566778899aabbccddeeff";

fn address() -> SocketAddr {
    ADDRESS.parse().expect("an address")
}

/// A scheduler that knows one pool with one engine.
fn scheduler() -> PlacementScheduler {
    let scheduler = PlacementScheduler::new(
        AdmissionPolicy::default(),
        1,
        DemandMeter::default(),
        HostClock::steady(),
    );
    let service = ServiceEntry {
        name: "pool".into(),
        health_path: "/health".into(),
        max_connections: 10,
        engine: None,
    };
    let limits = ClientLimits {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let config = RoutingConfig {
        version: 1,
        routes: RouteTable::default(),
        services: [("pool".into(), service)].into(),
        workspaces: None,
        limits,
    };
    let engine = BackendEntry {
        id: "e1".into(),
        start: None,
        software: SoftwareVersion::default(),
        service: "pool".into(),
        address: address(),
        failure_domain: "domain".into(),
        state: BackendState::Ready,
        stage: Some(EngineStage::Decode),
        slots: None,
    };
    let view = DirectoryView {
        version: 1.into(),
        entries: [("e1".into(), Arc::new(engine))].into(),
        ..DirectoryView::default()
    };
    scheduler.set_pools(&config, &view);
    scheduler
}

type HostSocket = WebSocketStream<NetStream>;

async fn link(net: &MemoryNet, host: &str) -> HostSocket {
    let stack = net.stack(host.parse().expect("an address"));
    let stream = stack.connect(address()).await.expect("it listens");
    let (mut socket, _response) =
        client_async(format!("ws://{ADDRESS}/"), stream).await.expect("a handshake");
    let hello = ScheduleHello {
        version: 6,
        host: host.into(),
        duty: ScheduleDuty::Pool,
        service: "pool".into(),
        hosts: 0,
        backend: None,
        origins: false,
    };
    send(&mut socket, &ScheduleMessage::Hello(hello)).await;
    socket
}

async fn send(socket: &mut HostSocket, message: &ScheduleMessage) {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("a message");
    socket.send(Message::Binary(bytes.into())).await.expect("an open link");
}

/// Returns the backend servers in the updates of the next second, and whether the link still has
/// heartbeats.
async fn received(socket: &mut HostSocket) -> (Vec<String>, bool) {
    received_within(socket, Duration::from_secs(1)).await
}

async fn received_within(socket: &mut HostSocket, time: Duration) -> (Vec<String>, bool) {
    let (mut backends, mut beats) = (Vec::new(), false);
    let reading = async {
        while let Some(Ok(Message::Binary(bytes))) = socket.next().await {
            match ciborium::from_reader(&bytes[..]).expect("a message") {
                ScheduleMessage::Suspect(update) => {
                    backends.push(update.backend.as_deref().unwrap_or("whole").to_owned());
                }
                ScheduleMessage::Throttle(update) => {
                    let rate = update.per_s.map_or("none".to_owned(), |per_s| per_s.to_string());
                    backends.push(format!("{} takes {rate}", &*update.backend));
                }
                ScheduleMessage::Leaving(update) => {
                    backends.push(format!("{} leaves", &*update.backend));
                }
                ScheduleMessage::Beat(_) => beats = true,
                other => panic!("{other:?}"),
            }
        }
        beats = false;
    };
    let _elapsed = tokio::time::timeout(time, reading).await;
    (backends, beats)
}

struct SuspectCase {
    name: &'static str,
    print: &'static str,
    backend: Option<String>,
    /// Whether the scheduler applies it and the other host receives it.
    is_applied: bool,
}

#[tokio::test(start_paused = true)]
async fn valid_suspect_updates_are_forwarded_and_malformed_ones_skipped() {
    let case = |name, print, backend: Option<&str>, is_applied| SuspectCase {
        name,
        print,
        backend: backend.map(str::to_owned),
        is_applied,
    };
    let long = "e".repeat(300);
    let cases = [
        case("a crash", FINGERPRINT, Some("e1 5"), true),
        case("a success", FINGERPRINT, None, true),
        case("a fingerprint that is too short", "0011", Some("e1 5"), false),
        case("an empty fingerprint", "", Some("e1 5"), false),
        case("a backend server without a name", FINGERPRINT, Some(""), false),
        case("a name that is too long", FINGERPRINT, Some(&long), false),
    ];
    for case in cases {
        let net = MemoryNet::new();
        let applied: Arc<Mutex<Vec<SuspectUpdate>>> = Arc::default();
        let applying = Arc::clone(&applied);
        let handlers = SuspectHandlers {
            apply_update: Arc::new(move |update| {
                applying.lock().unwrap().push(update.clone());
                true
            }),
            updates_to_forward: Arc::new(|update| vec![update.clone()]),
            newest_updates: Arc::new(|_most| Vec::new()),
            newest_repeated: Arc::new(|_most| Vec::new()),
        };
        let listener = net.stack(address().ip()).listen(address()).await.expect("a free address");
        let limits =
            RateLimiter::new(RateLimiterSettings { slack: 0.0, shares: 1 }, HostClock::steady());
        let backend_limits = RateLimiter::for_backend_servers(1, HostClock::steady());
        let handlers = BusHandlers { suspects: handlers, ..BusHandlers::none() };
        let bus = FleetBus::new(handlers, HostClock::steady());
        let cancel = CancellationToken::new();
        tokio::spawn(serve_schedule(
            listener,
            ScheduleServices {
                pools: scheduler(),
                limits,
                backend_limits,
                calls: no_calls(),
                bus,
                dialer: no_dialer(),
            },
            cancel.clone(),
        ));
        let (mut one, mut two) = (link(&net, "10.0.0.2").await, link(&net, "10.0.0.3").await);
        assert_eq!(received(&mut one).await, (vec![], true), "{}: before", case.name);
        assert_eq!(received(&mut two).await, (vec![], true), "{}: before", case.name);
        let backend = case.backend.as_deref().map(Into::into);
        let update = ScheduleSuspect { print: case.print.into(), backend, age_ms: 7 };
        send(&mut one, &ScheduleMessage::Suspect(update)).await;
        let expected = case.backend.unwrap_or_else(|| "whole".to_owned());
        let expected = if case.is_applied { vec![expected] } else { vec![] };
        assert_eq!(received(&mut two).await, (expected, true), "{}", case.name);
        // The sender does not get its own update back.
        assert_eq!(received(&mut one).await, (vec![], true), "{}: itself", case.name);
        assert_eq!(applied.lock().unwrap().len(), usize::from(case.is_applied), "{}", case.name);
        cancel.cancel();
    }
}

struct ThrottleCase {
    name: &'static str,
    backend: String,
    per_s: Option<f64>,
    /// Whether the scheduler applies it and the other host receives it.
    is_applied: bool,
}

/// The services of a host whose bus uses this tracker.
fn services_with_throttle(throttle: &ThrottleTracker) -> ScheduleServices {
    let (applying, listing) = (throttle.clone(), throttle.clone());
    let throttle = NoticeHandlers {
        apply_update: Arc::new(move |update: &ThrottleUpdate| applying.apply_update(update)),
        newest_updates: Arc::new(move |most| listing.newest_updates(most)),
    };
    services_with(BusHandlers { throttle, ..BusHandlers::none() })
}

/// A dialer that is not used.
fn no_dialer() -> BackendDialer {
    BackendDialer::new(&MemoryNet::new().stack([10, 0, 0, 1].into()), &HostClock::steady())
}

fn services_with(handlers: BusHandlers) -> ScheduleServices {
    ScheduleServices {
        pools: scheduler(),
        limits: RateLimiter::new(
            RateLimiterSettings { slack: 0.0, shares: 1 },
            HostClock::steady(),
        ),
        backend_limits: RateLimiter::for_backend_servers(1, HostClock::steady()),
        calls: no_calls(),
        bus: FleetBus::new(handlers, HostClock::steady()),
        dialer: no_dialer(),
    }
}

#[tokio::test(start_paused = true)]
async fn request_rates_are_forwarded_to_all_hosts() {
    let case = |name, backend: &str, per_s, is_applied| ThrottleCase {
        name,
        backend: backend.to_owned(),
        per_s,
        is_applied,
    };
    let cases = [
        case("a limit", "e1", Some(5.7), true),
        case("no requests at all", "e1", Some(0.0), true),
        case("the end of an unknown limit", "e1", None, false),
        case("not a number", "e1", Some(f64::NAN), false),
        case("below zero", "e1", Some(-1.0), false),
        case("above any possible rate", "e1", Some(1e300), false),
        case("a backend server without a name", "", Some(5.0), false),
        case("a name that is too long", &"e".repeat(300), Some(5.0), false),
    ];
    for case in cases {
        let net = MemoryNet::new();
        let throttle = ThrottleTracker::new(HostClock::steady());
        let listener = net.stack(address().ip()).listen(address()).await.expect("a free address");
        let cancel = CancellationToken::new();
        tokio::spawn(serve_schedule(listener, services_with_throttle(&throttle), cancel.clone()));
        let (mut one, mut two) = (link(&net, "10.0.0.2").await, link(&net, "10.0.0.3").await);
        assert_eq!(received(&mut one).await, (vec![], true), "{}: before", case.name);
        assert_eq!(received(&mut two).await, (vec![], true), "{}: before", case.name);
        let update = ScheduleThrottle {
            backend: case.backend.as_str().into(),
            start: None,
            per_s: case.per_s,
            age_ms: 7,
        };
        let sent = format!("{} takes {}", case.backend, case.per_s.unwrap_or_default());
        let expected = if case.is_applied { vec![sent] } else { vec![] };
        send(&mut one, &ScheduleMessage::Throttle(update.clone())).await;
        send(&mut two, &ScheduleMessage::Beat(ScheduleBeat { hosts: 0, share_origins: None }))
            .await;
        assert_eq!(received(&mut two).await, (expected.clone(), true), "{}", case.name);
        // The sender does not get its own update back, and no host gets an update twice.
        assert_eq!(received(&mut one).await, (vec![], true), "{}: itself", case.name);
        let later = ScheduleThrottle { age_ms: 2_500, ..update };
        send(&mut two, &ScheduleMessage::Throttle(later)).await;
        assert_eq!(received(&mut one).await, (vec![], true), "{}: again", case.name);
        // A host that links later receives the current state.
        let mut three = link(&net, "10.0.0.4").await;
        assert_eq!(received(&mut three).await, (expected, true), "{}: later", case.name);
        assert_eq!(throttle.counts().0, usize::from(case.is_applied), "{}", case.name);
        cancel.cancel();
    }
}

struct LeavingCase {
    name: &'static str,
    backend: String,
    /// Whether the scheduler applies it and the other hosts receive it.
    is_applied: bool,
}

#[tokio::test(start_paused = true)]
async fn leaving_updates_are_forwarded_to_all_hosts() {
    let case = |name, backend: &str, is_applied| LeavingCase {
        name,
        backend: backend.to_owned(),
        is_applied,
    };
    let cases = [
        case("it leaves", "e1", true),
        case("a backend server without a name", "", false),
        case("a name that is too long", &"e".repeat(300), false),
    ];
    for case in cases {
        let net = MemoryNet::new();
        let tracker = LeavingTracker::new(HostClock::steady());
        let listener = net.stack(address().ip()).listen(address()).await.expect("a free address");
        let cancel = CancellationToken::new();
        let (applying, listing) = (tracker.clone(), tracker.clone());
        let leaving = NoticeHandlers {
            apply_update: Arc::new(move |update: &LeavingUpdate| applying.apply_update(update)),
            newest_updates: Arc::new(move |most| listing.newest_updates(most)),
        };
        let handlers = BusHandlers { leaving, ..BusHandlers::none() };
        let services = services_with(handlers);
        tokio::spawn(serve_schedule(listener, services, cancel.clone()));
        let (mut one, mut two) = (link(&net, "10.0.0.2").await, link(&net, "10.0.0.3").await);
        assert_eq!(received(&mut one).await, (vec![], true), "{}: before", case.name);
        assert_eq!(received(&mut two).await, (vec![], true), "{}: before", case.name);
        let backend = case.backend.as_str().into();
        let update = ScheduleLeaving { backend, start: Some(7), age_ms: 7 };
        let sent = if case.is_applied { vec!["e1 leaves".to_owned()] } else { vec![] };
        send(&mut one, &ScheduleMessage::Leaving(update.clone())).await;
        assert_eq!(received(&mut two).await, (sent.clone(), true), "{}", case.name);
        send(&mut two, &ScheduleMessage::Leaving(update)).await;
        assert_eq!(received(&mut one).await, (vec![], true), "{}: again", case.name);
        let mut three = link(&net, "10.0.0.4").await;
        assert_eq!(received(&mut three).await, (sent, true), "{}: later", case.name);
        let start = |start| BackendInstance { id: "e1".into(), start: Some(BackendStart(start)) };
        let leaves = |at| tracker.subscribe().borrow().is_leaving(&start(at));
        assert_eq!([leaves(7), leaves(8)], [case.is_applied, false], "{}", case.name);
        cancel.cancel();
    }
}

/// A host has one link for each pool to a scheduler, but receives each update once.
#[tokio::test(start_paused = true)]
async fn a_host_gets_each_update_on_one_of_its_links() {
    let net = MemoryNet::new();
    let throttle = ThrottleTracker::new(HostClock::steady());
    let listener = net.stack(address().ip()).listen(address()).await.expect("a free address");
    let cancel = CancellationToken::new();
    tokio::spawn(serve_schedule(listener, services_with_throttle(&throttle), cancel.clone()));
    let mut senders = [link(&net, "10.0.0.2").await, link(&net, "10.0.0.2").await];
    let mut receivers = vec![link(&net, "10.0.0.3").await, link(&net, "10.0.0.3").await];
    let moment = Duration::from_millis(50);
    while !receivers.is_empty() {
        for socket in senders.iter_mut().chain(&mut receivers) {
            let _before = received_within(socket, moment).await;
        }
        let backend = format!("e{}", receivers.len());
        let update = ScheduleThrottle {
            backend: backend.as_str().into(),
            start: None,
            per_s: Some(5.0),
            age_ms: 7,
        };
        send(&mut senders[0], &ScheduleMessage::Throttle(update)).await;
        let mut seen = Vec::new();
        for socket in &mut receivers {
            seen.extend(received_within(socket, moment).await.0);
        }
        assert_eq!(seen, [format!("{backend} takes 5")]);
        for socket in &mut senders {
            assert_eq!(received_within(socket, moment).await.0, [""; 0], "whoever sent it");
        }
        // The link that received the update closes; another one takes over.
        receivers.pop();
    }
    cancel.cancel();
}

fn no_calls() -> CallScheduler {
    CallScheduler::new(CallSchedulerSettings::default(), 1, HostClock::steady())
}
