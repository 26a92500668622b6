//! Requests to backend servers that limit how many they accept per second.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{ONE, ScriptedSite, Step, entry, pool, request, view};
use dillspool_admission::AdmissionPolicy;
use dillspool_capacity::DemandMeter;
use dillspool_dialer::BackendDialer;
use dillspool_forward::{ForwardContext, handle_request};
use dillspool_io::{HostClock, LinkMode, MemoryNet};
use dillspool_routing::{BackendEntry, BackendInstance, DirectoryView, EngineStage, RequestKind};
use dillspool_scheduler::{
    BusHandlers, CallScheduler, CallSchedulerSettings, FleetBus, LimitClient, PlacementScheduler,
    RateLimiter, SchedulePeers, ScheduleServices, serve_schedule,
};
use dillspool_throttle::{BackoffNotice, RateNotice, RequestRate};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A rate that allows one request in ten seconds, and a burst of two.
const MINIMAL_RATE: f64 = 0.1;

/// The backend servers have announced a limit in a response.
fn announce_limits(context: &ForwardContext, ids: &[&str], per_s: f64) {
    for id in ids {
        let backend = BackendInstance { id: (*id).into(), start: None };
        let rate = RequestRate::new(per_s).expect("a rate");
        context
            .throttle
            .record_send(backend)
            .record_response(RateNotice::Limited(rate), BackoffNotice::None);
    }
}

struct ThrottleCase {
    name: &'static str,
    view: fn() -> DirectoryView,
    kind: RequestKind,
    limited: &'static [&'static str],
    /// Statuses of six requests, one after another, and how many have a retry delay.
    statuses: [u16; 6],
    refused: usize,
    /// Maximum number of requests and prefills that reach the limited backend servers.
    max_reached: usize,
}

fn plain() -> DirectoryView {
    view([entry("first", "near", None), entry("second", "far", None)])
}

fn prefill_engines() -> DirectoryView {
    view([
        entry("decode-1", "near", Some(EngineStage::Decode)),
        entry("prefill-1", "near", Some(EngineStage::Prefill)),
        entry("prefill-2", "near", Some(EngineStage::Prefill)),
    ])
}

fn cases() -> [ThrottleCase; 7] {
    use RequestKind::{Idempotent, NonIdempotent, Streaming};
    [
        ThrottleCase {
            name: "one of two plain servers",
            view: plain,
            kind: NonIdempotent,
            limited: &["first"],
            statuses: [200; 6],
            refused: 0,
            max_reached: 2,
        },
        ThrottleCase {
            name: "all plain servers, calls that are not idempotent",
            view: plain,
            kind: NonIdempotent,
            limited: &["first", "second"],
            statuses: [200, 200, 200, 200, 503, 503],
            refused: 2,
            max_reached: 4,
        },
        ThrottleCase {
            name: "all plain servers, idempotent calls",
            view: plain,
            kind: Idempotent,
            limited: &["first", "second"],
            statuses: [200, 200, 200, 200, 503, 503],
            refused: 2,
            max_reached: 4,
        },
        ThrottleCase {
            name: "streams of a plain service",
            view: plain,
            kind: Streaming,
            limited: &["first", "second"],
            statuses: [200, 200, 200, 200, 503, 503],
            refused: 2,
            max_reached: 4,
        },
        ThrottleCase {
            name: "one decode engine",
            view: pool,
            kind: Streaming,
            limited: &["decode-1"],
            statuses: [200; 6],
            refused: 0,
            max_reached: 1,
        },
        ThrottleCase {
            name: "all decode engines",
            view: pool,
            kind: Streaming,
            limited: &["decode-1", "decode-2"],
            statuses: [200, 200, 503, 503, 503, 503],
            refused: 4,
            max_reached: 2,
        },
        ThrottleCase {
            name: "one prefill engine",
            view: prefill_engines,
            kind: Streaming,
            limited: &["prefill-1"],
            statuses: [200; 6],
            refused: 0,
            max_reached: 2,
        },
    ]
}

#[tokio::test(start_paused = true)]
async fn requests_beyond_the_limit_go_to_others_or_are_refused_at_once() {
    for case in cases() {
        let site = ScriptedSite::default();
        if case.kind == RequestKind::Streaming {
            for id in ["first", "second", "decode-1", "decode-2"] {
                site.script(id, [Step::Stream(vec![ONE])]);
            }
        }
        let (context, _directory) = site.context((case.view)());
        tokio::time::sleep(Duration::from_secs(20)).await;
        announce_limits(&context, case.limited, MINIMAL_RATE);
        let mut refused = 0;
        for status in case.statuses {
            let started = Instant::now();
            let response = handle_request(context.clone(), request(case.kind, 2, false)).await;
            assert_eq!(response.status().as_u16(), status, "{}", case.name);
            let retry_after = response.headers().get("retry-after");
            let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
            if let Some(seconds) = retry_after {
                let seconds: f64 = seconds;
                assert!((1.0..=22.0).contains(&seconds), "{}: {seconds} s", case.name);
                assert!(started.elapsed() < Duration::from_millis(10), "{}", case.name);
                refused += 1;
            }
            let _body = dillspool_io::read_response_body(response.into_body(), 10_000).await;
        }
        assert_eq!(refused, case.refused, "{}", case.name);
        let record = site.record.lock().unwrap();
        let arrivals = record.arrivals.iter().map(|arrival| &arrival.backend);
        let reached = arrivals.chain(&record.prefills);
        let limited = reached.filter(|id| case.limited.contains(&id.as_str())).count();
        assert!(limited <= case.max_reached, "{}: {limited} reached", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn refused_clients_that_retry_when_told_are_served() {
    let site = ScriptedSite::default();
    let (context, _directory) = site.context(view([entry("first", "near", None)]));
    tokio::time::sleep(Duration::from_secs(20)).await;
    announce_limits(&context, &["first"], 1.0);
    let mut served = 0;
    for _turn in 0..5 {
        let routed = request(RequestKind::NonIdempotent, 1, false);
        let response = handle_request(context.clone(), routed).await;
        match response.headers().get("retry-after").and_then(|value| value.to_str().ok()) {
            Some(seconds) => {
                let seconds = seconds.parse().expect("seconds");
                tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
                let routed = request(RequestKind::NonIdempotent, 1, false);
                let again = handle_request(context.clone(), routed).await;
                assert_eq!(again.status().as_u16(), 200);
                served += 1;
            }
            None => assert_eq!(response.status().as_u16(), 200),
        }
    }
    assert!(served > 0, "no request was refused, the test checks nothing");
}

fn peer(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7661))
}

/// Links host 1 to host 2, the holder of the backend servers' limits.
async fn link_to_holder(net: &MemoryNet, limits: &LimitClient, cancel: &CancellationToken) {
    let clock = HostClock::steady();
    let services = ScheduleServices {
        pools: PlacementScheduler::new(
            AdmissionPolicy::default(),
            1,
            DemandMeter::default(),
            HostClock::steady(),
        ),
        calls: CallScheduler::new(CallSchedulerSettings::default(), 1, HostClock::steady()),
        limits: RateLimiter::for_backend_servers(2, HostClock::steady()),
        backend_limits: RateLimiter::for_backend_servers(2, HostClock::steady()),
        bus: FleetBus::new(BusHandlers::none(), clock.clone()),
        dialer: BackendDialer::new(&net.stack(peer(2).ip()), &clock),
    };
    let listener = net.stack(peer(2).ip()).listen(peer(2)).await.expect("a free address");
    tokio::spawn(serve_schedule(listener, services, cancel.clone()));
    let peers =
        |_share: &str| SchedulePeers { own_address: Some(peer(1)), ranked: vec![peer(2), peer(1)] };
    let (limits, stack) = (limits.clone(), net.stack(peer(1).ip()));
    tokio::spawn(limits.run_on_demand(stack, "host-1".into(), peers, || Some(2), cancel.clone()));
}

/// A holder that does not respond is waited for, but not beyond the request's deadline.
#[tokio::test(start_paused = true)]
async fn an_unresponsive_holder_delays_no_request_beyond_its_deadline() {
    let names = ["first", "second", "third", "fourth"];
    for limit_ms in [20, 60, 3_000] {
        let site = ScriptedSite::default();
        let (context, _directory) = site.context(view(names.map(|id| entry(id, "near", None))));
        let (net, cancel) = (MemoryNet::new(), CancellationToken::new());
        link_to_holder(&net, &context.backend_limits, &cancel).await;
        announce_limits(&context, &names, 1.0);
        for id in names {
            context.backend_limits.ensure_link(id);
        }
        tokio::time::sleep(Duration::from_secs(20)).await;
        net.set_link(peer(1).ip(), peer(2).ip(), LinkMode::Frozen);
        let mut routed = request(RequestKind::NonIdempotent, 1, false);
        routed.deadline = routed.arrived + Duration::from_millis(limit_ms);
        let started = Instant::now();
        let response = handle_request(context, routed).await;
        let waited = started.elapsed();
        let max_wait = Duration::from_millis(limit_ms.min(400) + 1);
        assert!(waited <= max_wait, "{limit_ms} ms: {} after {waited:?}", response.status());
        cancel.cancel();
    }
}

/// A request that was never sent does not use up a limit that allows few.
#[tokio::test(start_paused = true)]
async fn unsent_requests_are_refunded() {
    let site = ScriptedSite::default();
    site.script("first", [Step::Unreachable, Step::Answer(200, "ok")]);
    let (context, _directory) = site.context(view([entry("first", "near", None)]));
    tokio::time::sleep(Duration::from_secs(20)).await;
    announce_limits(&context, &["first"], MINIMAL_RATE);
    let first = handle_request(context.clone(), request(RequestKind::NonIdempotent, 1, false));
    assert_eq!(first.await.status().as_u16(), 503);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let second = handle_request(context, request(RequestKind::NonIdempotent, 1, false)).await;
    assert_eq!(second.status().as_u16(), 200);
}

/// A backend server that announces a limit and refuses requests beyond it does not count as
/// failing.
#[tokio::test(start_paused = true)]
async fn a_refusal_by_a_limited_backend_server_is_no_failure() {
    for is_limited in [true, false] {
        let site = ScriptedSite::default();
        // The latency assumed of a backend server that has not responded yet.
        let response = Step::Paced(vec![(60, "ok")]);
        let first = vec![Step::NotRun(503); 20].into_iter().chain([response.clone()]);
        site.script("first", first);
        site.script("second", [response]);
        let entries: [BackendEntry; 2] =
            [entry("first", "near", None), entry("second", "near", None)];
        let (context, _directory) = site.context(view(entries));
        tokio::time::sleep(Duration::from_secs(20)).await;
        if is_limited {
            announce_limits(&context, &["first"], 1_000.0);
        }
        for _request in 0..400 {
            let routed = request(RequestKind::NonIdempotent, 2, false);
            let response = handle_request(context.clone(), routed).await;
            assert_eq!(response.status().as_u16(), 200);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let arrivals = Arc::clone(&site.record);
        let arrivals = arrivals.lock().unwrap();
        let first = arrivals.arrivals.iter().filter(|arrival| arrival.backend == "first").count();
        // Without a limit it is avoided after some failures, otherwise it is picked about as often
        // as the other.
        let expected = if is_limited { 150..=250 } else { 0..=40 };
        assert!(expected.contains(&first), "{is_limited}: picked {first} times");
    }
}

struct WaitCase {
    name: &'static str,
    per_s: f64,
    /// Requests sent one after another that use up the limit.
    before: usize,
    /// When the requests that then arrive at the same time are served, in ms; the others are
    /// refused at once.
    served_ms: &'static [u128],
}

/// One request waits for a server that is unblocked in time; requests that arrive meanwhile are
/// refused at once.
#[tokio::test(start_paused = true)]
async fn one_request_waits_for_a_server_that_is_unblocked_in_time() {
    let cases = [
        WaitCase { name: "unblocked in time", per_s: 10.0, before: 11, served_ms: &[96] },
        WaitCase { name: "unblocked too late", per_s: 2.0, before: 3, served_ms: &[] },
        WaitCase { name: "it has room for two", per_s: 10.0, before: 8, served_ms: &[0, 0, 5] },
    ];
    for case in cases {
        let site = ScriptedSite::default();
        let (context, _directory) = site.context(view([entry("first", "near", None)]));
        tokio::time::sleep(Duration::from_secs(20)).await;
        announce_limits(&context, &["first"], case.per_s);
        let send = async || {
            let routed = request(RequestKind::NonIdempotent, 1, false);
            handle_request(context.clone(), routed).await.status().as_u16()
        };
        for _request in 0..case.before {
            assert_eq!(send().await, 200, "{}: before", case.name);
        }
        let started = Instant::now();
        let requests =
            (0..5).map(|_request| async { (send().await, started.elapsed().as_millis()) });
        let ended = futures_util::future::join_all(requests).await;
        let (served, refused): (Vec<_>, Vec<_>) =
            ended.into_iter().partition(|(status, _after)| *status == 200);
        let served: Vec<_> = served.into_iter().map(|(_status, after)| after).collect();
        assert_eq!(served, case.served_ms, "{}", case.name);
        assert!(refused.iter().all(|end| *end == (503, 0)), "{}: {refused:?}", case.name);
    }
}
