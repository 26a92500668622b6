//! News on the links of a pool, of suspects and of limits that backend servers name: who hears them, and what
//! is passed over.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dillspool_admission::AdmissionPolicy;
use dillspool_capacity::DemandMeter;
use dillspool_io::{HostClock, MemoryNet, NetStream};
use dillspool_leaving::{LeavingTracker, LeavingUpdate};
use dillspool_routing::{
    BackendEntry, BackendInstance, BackendStart, BackendState, ClientLimits, DirectoryView,
    EngineStage, RouteTable, RoutingConfig, ServiceEntry,
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
const PRINT: &str = "00112233445566778899aabbccddeeff";

fn address() -> SocketAddr {
    ADDRESS.parse().expect("an address")
}

/// A desk that knows one pool of one engine.
fn desk() -> PlacementScheduler {
    let desk = PlacementScheduler::new(
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
    desk.set_pools(&config, &view);
    desk
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
    };
    send(&mut socket, &ScheduleMessage::Hello(hello)).await;
    socket
}

async fn send(socket: &mut HostSocket, message: &ScheduleMessage) {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("a message");
    socket.send(Message::Binary(bytes.into())).await.expect("an open link");
}

/// The backend servers in the news that come within a second, and whether the link still beats.
async fn heard(socket: &mut HostSocket) -> (Vec<String>, bool) {
    heard_within(socket, Duration::from_secs(1)).await
}

async fn heard_within(socket: &mut HostSocket, time: Duration) -> (Vec<String>, bool) {
    let (mut backends, mut beats) = (Vec::new(), false);
    let reading = async {
        while let Some(Ok(Message::Binary(bytes))) = socket.next().await {
            match ciborium::from_reader(&bytes[..]).expect("a message") {
                ScheduleMessage::Suspect(news) => {
                    backends.push(news.backend.as_deref().unwrap_or("whole").to_owned());
                }
                ScheduleMessage::Throttle(news) => {
                    let rate = news.per_s.map_or("none".to_owned(), |per_s| per_s.to_string());
                    backends.push(format!("{} takes {rate}", &*news.backend));
                }
                ScheduleMessage::Leaving(news) => {
                    backends.push(format!("{} leaves", &*news.backend));
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

struct NewsCase {
    name: &'static str,
    print: &'static str,
    backend: Option<String>,
    /// Whether the scheduler takes it and the other host hears it.
    is_taken: bool,
}

#[tokio::test(start_paused = true)]
async fn other_hosts_hear_what_can_be_read_and_the_link_goes_on() {
    let case = |name, print, backend: Option<&str>, is_taken| NewsCase {
        name,
        print,
        backend: backend.map(str::to_owned),
        is_taken,
    };
    let long = "e".repeat(300);
    let cases = [
        case("an end", PRINT, Some("e1 5"), true),
        case("a good end", PRINT, None, true),
        case("no print", "0011", Some("e1 5"), false),
        case("an empty print", "", Some("e1 5"), false),
        case("a backend server without a name", PRINT, Some(""), false),
        case("a name that is too long", PRINT, Some(&long), false),
    ];
    for case in cases {
        let net = MemoryNet::new();
        let learnt: Arc<Mutex<Vec<SuspectUpdate>>> = Arc::default();
        let learning = Arc::clone(&learnt);
        let handlers = SuspectHandlers {
            apply_update: Arc::new(move |news| {
                learning.lock().unwrap().push(news.clone());
                true
            }),
            updates_to_forward: Arc::new(|news| vec![news.clone()]),
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
            ScheduleServices { pools: desk(), limits, backend_limits, calls: no_calls(), bus },
            cancel.clone(),
        ));
        let (mut one, mut two) = (link(&net, "10.0.0.2").await, link(&net, "10.0.0.3").await);
        assert_eq!(heard(&mut one).await, (vec![], true), "{}: before", case.name);
        assert_eq!(heard(&mut two).await, (vec![], true), "{}: before", case.name);
        let backend = case.backend.as_deref().map(Into::into);
        let news = ScheduleSuspect { print: case.print.into(), backend, age_ms: 7 };
        send(&mut one, &ScheduleMessage::Suspect(news)).await;
        let expected = case.backend.unwrap_or_else(|| "whole".to_owned());
        let expected = if case.is_taken { vec![expected] } else { vec![] };
        assert_eq!(heard(&mut two).await, (expected, true), "{}", case.name);
        // Whoever told it does not hear it again.
        assert_eq!(heard(&mut one).await, (vec![], true), "{}: itself", case.name);
        assert_eq!(learnt.lock().unwrap().len(), usize::from(case.is_taken), "{}", case.name);
        cancel.cancel();
    }
}

struct ThrottleCase {
    name: &'static str,
    backend: String,
    per_s: Option<f64>,
    /// Whether the scheduler takes it and the other host hears it.
    is_taken: bool,
}

/// Desks of a host that knows what this desk does.
fn desks_knowing(throttle: &ThrottleTracker) -> ScheduleServices {
    let (learning, knowing) = (throttle.clone(), throttle.clone());
    let throttle = NoticeHandlers {
        apply_update: Arc::new(move |news: &ThrottleUpdate| learning.apply_update(news)),
        newest_updates: Arc::new(move |most| knowing.newest_updates(most)),
    };
    desks_of(BusHandlers { throttle, ..BusHandlers::none() })
}

fn desks_of(handlers: BusHandlers) -> ScheduleServices {
    ScheduleServices {
        pools: desk(),
        limits: RateLimiter::new(
            RateLimiterSettings { slack: 0.0, shares: 1 },
            HostClock::steady(),
        ),
        backend_limits: RateLimiter::for_backend_servers(1, HostClock::steady()),
        calls: no_calls(),
        bus: FleetBus::new(handlers, HostClock::steady()),
    }
}

#[tokio::test(start_paused = true)]
async fn all_hosts_hear_what_a_backend_server_takes() {
    let case = |name, backend: &str, per_s, is_taken| ThrottleCase {
        name,
        backend: backend.to_owned(),
        per_s,
        is_taken,
    };
    let cases = [
        case("a limit", "e1", Some(5.7), true),
        case("none is taken at all", "e1", Some(0.0), true),
        case("the end of one that is not known", "e1", None, false),
        case("no rate", "e1", Some(f64::NAN), false),
        case("below zero", "e1", Some(-1.0), false),
        case("more than anything takes", "e1", Some(1e300), false),
        case("a backend server without a name", "", Some(5.0), false),
        case("a name that is too long", &"e".repeat(300), Some(5.0), false),
    ];
    for case in cases {
        let net = MemoryNet::new();
        let throttle = ThrottleTracker::new(HostClock::steady());
        let listener = net.stack(address().ip()).listen(address()).await.expect("a free address");
        let cancel = CancellationToken::new();
        tokio::spawn(serve_schedule(listener, desks_knowing(&throttle), cancel.clone()));
        let (mut one, mut two) = (link(&net, "10.0.0.2").await, link(&net, "10.0.0.3").await);
        assert_eq!(heard(&mut one).await, (vec![], true), "{}: before", case.name);
        assert_eq!(heard(&mut two).await, (vec![], true), "{}: before", case.name);
        let news = ScheduleThrottle {
            backend: case.backend.as_str().into(),
            start: None,
            per_s: case.per_s,
            age_ms: 7,
        };
        let told = format!("{} takes {}", case.backend, case.per_s.unwrap_or_default());
        let expected = if case.is_taken { vec![told] } else { vec![] };
        send(&mut one, &ScheduleMessage::Throttle(news.clone())).await;
        send(&mut two, &ScheduleMessage::Beat(ScheduleBeat { hosts: 0 })).await;
        assert_eq!(heard(&mut two).await, (expected.clone(), true), "{}", case.name);
        // Whoever told it does not hear it again, nobody hears the same twice.
        assert_eq!(heard(&mut one).await, (vec![], true), "{}: itself", case.name);
        let later = ScheduleThrottle { age_ms: 2_500, ..news };
        send(&mut two, &ScheduleMessage::Throttle(later)).await;
        assert_eq!(heard(&mut one).await, (vec![], true), "{}: again", case.name);
        // A host that comes later is told what holds.
        let mut three = link(&net, "10.0.0.4").await;
        assert_eq!(heard(&mut three).await, (expected, true), "{}: later", case.name);
        assert_eq!(throttle.counts().0, usize::from(case.is_taken), "{}", case.name);
        cancel.cancel();
    }
}

struct LeavingCase {
    name: &'static str,
    backend: String,
    /// Whether the scheduler takes it and the other hosts hear it.
    is_taken: bool,
}

#[tokio::test(start_paused = true)]
async fn all_hosts_hear_that_a_backend_server_leaves() {
    let case =
        |name, backend: &str, is_taken| LeavingCase { name, backend: backend.to_owned(), is_taken };
    let cases = [
        case("it leaves", "e1", true),
        case("a backend server without a name", "", false),
        case("a name that is too long", &"e".repeat(300), false),
    ];
    for case in cases {
        let net = MemoryNet::new();
        let desk = LeavingTracker::new(HostClock::steady());
        let listener = net.stack(address().ip()).listen(address()).await.expect("a free address");
        let cancel = CancellationToken::new();
        let (learning, knowing) = (desk.clone(), desk.clone());
        let leaving = NoticeHandlers {
            apply_update: Arc::new(move |news: &LeavingUpdate| learning.apply_update(news)),
            newest_updates: Arc::new(move |most| knowing.newest_updates(most)),
        };
        let handlers = BusHandlers { leaving, ..BusHandlers::none() };
        let desks = desks_of(handlers);
        tokio::spawn(serve_schedule(listener, desks, cancel.clone()));
        let (mut one, mut two) = (link(&net, "10.0.0.2").await, link(&net, "10.0.0.3").await);
        assert_eq!(heard(&mut one).await, (vec![], true), "{}: before", case.name);
        assert_eq!(heard(&mut two).await, (vec![], true), "{}: before", case.name);
        let backend = case.backend.as_str().into();
        let news = ScheduleLeaving { backend, start: Some(7), age_ms: 7 };
        let told = if case.is_taken { vec!["e1 leaves".to_owned()] } else { vec![] };
        send(&mut one, &ScheduleMessage::Leaving(news.clone())).await;
        assert_eq!(heard(&mut two).await, (told.clone(), true), "{}", case.name);
        send(&mut two, &ScheduleMessage::Leaving(news)).await;
        assert_eq!(heard(&mut one).await, (vec![], true), "{}: again", case.name);
        let mut three = link(&net, "10.0.0.4").await;
        assert_eq!(heard(&mut three).await, (told, true), "{}: later", case.name);
        let start = |start| BackendInstance { id: "e1".into(), start: Some(BackendStart(start)) };
        let leaves = |at| desk.subscribe().borrow().is_leaving(&start(at));
        assert_eq!([leaves(7), leaves(8)], [case.is_taken, false], "{}", case.name);
        cancel.cancel();
    }
}

/// A host links to a scheduler once for each pool, and hears each piece of news once.
#[tokio::test(start_paused = true)]
async fn a_host_hears_news_on_one_of_its_links() {
    let net = MemoryNet::new();
    let throttle = ThrottleTracker::new(HostClock::steady());
    let listener = net.stack(address().ip()).listen(address()).await.expect("a free address");
    let cancel = CancellationToken::new();
    tokio::spawn(serve_schedule(listener, desks_knowing(&throttle), cancel.clone()));
    let mut teller = [link(&net, "10.0.0.2").await, link(&net, "10.0.0.2").await];
    let mut listening = vec![link(&net, "10.0.0.3").await, link(&net, "10.0.0.3").await];
    let moment = Duration::from_millis(50);
    while !listening.is_empty() {
        for socket in teller.iter_mut().chain(&mut listening) {
            let _before = heard_within(socket, moment).await;
        }
        let backend = format!("e{}", listening.len());
        let news = ScheduleThrottle {
            backend: backend.as_str().into(),
            start: None,
            per_s: Some(5.0),
            age_ms: 7,
        };
        send(&mut teller[0], &ScheduleMessage::Throttle(news)).await;
        let mut told = Vec::new();
        for socket in &mut listening {
            told.extend(heard_within(socket, moment).await.0);
        }
        assert_eq!(told, [format!("{backend} takes 5")]);
        for socket in &mut teller {
            assert_eq!(heard_within(socket, moment).await.0, [""; 0], "whoever told it");
        }
        // The link that has told it ends, another one goes on.
        listening.pop();
    }
    cancel.cancel();
}

fn no_calls() -> CallScheduler {
    CallScheduler::new(CallSchedulerSettings::default(), 1, HostClock::steady())
}
