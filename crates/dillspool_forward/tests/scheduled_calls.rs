//! Calls of a plain service that one host schedules: every outcome frees their slots, and the
//! knowledge of the forwarding host overrides a decision.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::atomic::{AtomicBool, AtomicU32};
use std::time::Duration;

use common::{ScriptedSite, Step, entry, request, view};
use dillspool_forward::{BudgetSettings, ForwardContext, RetryBudgets, handle_request};
use dillspool_io::{HostClock, read_response_body};
use dillspool_routing::RequestKind::{Idempotent, NonIdempotent};
use dillspool_routing::{
    BackendEntry, BackendInstance, BackendStart, BackendState, ClientLimits, DirectoryView,
    RequestKind, RouteTable, RoutingConfig, ServiceEntry,
};
use dillspool_scheduler::{CallClient, CallScheduler, CallSchedulerSettings};
use dillspool_throttle::{BackoffNotice, RateNotice};
use hyper::header::RETRY_AFTER;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

fn config() -> RoutingConfig {
    let service = ServiceEntry {
        name: "service".into(),
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
    let services = BTreeMap::from([("service".into(), service)]);
    RoutingConfig { version: 1, routes: RouteTable::default(), services, workspaces: None, limits }
}

/// A server with two slots, which accepts some more calls at a time.
fn two_slot_server(id: &str, domain: &str) -> BackendEntry {
    BackendEntry { slots: Some(2), start: Some(BackendStart(1)), ..entry(id, domain, None) }
}

/// A host that schedules its own calls, and the directory of its scheduler.
struct SchedulingHost {
    context: ForwardContext,
    scheduler: CallScheduler,
    scheduler_view: watch::Sender<Arc<DirectoryView>>,
    directory: watch::Sender<Arc<DirectoryView>>,
    _config: watch::Sender<Option<Arc<RoutingConfig>>>,
}

impl SchedulingHost {
    async fn start(site: &ScriptedSite, known: DirectoryView, slots_per_host: f64) -> Self {
        Self::start_with_clock(site, known, slots_per_host, HostClock::steady()).await
    }

    /// A host whose decisions age by the given clock.
    async fn start_with_clock(
        site: &ScriptedSite,
        known: DirectoryView,
        slots_per_host: f64,
        clock: HostClock,
    ) -> Self {
        let (mut context, directory) = site.context(known.clone());
        let settings = CallSchedulerSettings { slots_per_host, ..CallSchedulerSettings::default() };
        let scheduler = CallScheduler::new(settings, 1, clock);
        let (config_sender, config) = watch::channel(Some(Arc::new(config())));
        let (scheduler_view, views) = watch::channel(Arc::new(known));
        tokio::spawn(scheduler.clone().run(config, views, || Some(3), CancellationToken::new()));
        context.call_client = CallClient::new(scheduler.clone());
        tokio::time::sleep(Duration::from_millis(5)).await;
        Self { context, scheduler, scheduler_view, directory, _config: config_sender }
    }

    /// Limit of calls in flight.
    fn limit(&self) -> usize {
        let snapshots = self.scheduler.snapshots();
        let servers = snapshots.iter().flat_map(|(_service, snapshot)| &snapshot.servers);
        servers.map(|server| server.limit as usize).sum()
    }

    /// Calls that are queued or in flight.
    fn held_calls(&self) -> usize {
        let snapshots = self.scheduler.snapshots();
        let count = snapshots.iter().map(|(_service, snapshot)| {
            let in_flight: u32 = snapshot.servers.iter().map(|server| server.in_flight).sum();
            snapshot.waiting + in_flight as usize
        });
        count.sum()
    }
}

struct OutcomeCase {
    name: &'static str,
    kind: RequestKind,
    max_attempts: u32,
    /// What the near backend server does; the far one always answers.
    first: Step,
    status: u16,
    /// Requests that reached a backend server.
    arrivals: usize,
    retry_after: bool,
}

/// The responses are the same as without scheduling: whether a call is retried is not up to the
/// scheduling host.
#[tokio::test(start_paused = true)]
async fn each_outcome_frees_the_slot() {
    let case = |name, kind, max_attempts, first, status, arrivals, retry_after| OutcomeCase {
        name,
        kind,
        max_attempts,
        first,
        status,
        arrivals,
        retry_after,
    };
    let cases = [
        case("answered", NonIdempotent, 1, Step::Answer(200, "ok"), 200, 1, false),
        case(
            "server error, not idempotent",
            NonIdempotent,
            2,
            Step::Answer(500, "no"),
            500,
            1,
            false,
        ),
        case("server error, idempotent", Idempotent, 2, Step::Answer(500, "no"), 200, 2, false),
        case("server error, one attempt", Idempotent, 1, Step::Answer(500, "no"), 500, 1, false),
        case("client error", Idempotent, 2, Step::Answer(404, "no"), 404, 1, false),
        case("not run, one attempt", NonIdempotent, 1, Step::NotRun(503), 503, 1, true),
        case("not run, two attempts", NonIdempotent, 2, Step::NotRun(503), 200, 2, false),
        case("unreachable", NonIdempotent, 1, Step::Unreachable, 200, 1, false),
        case("lost, not idempotent", NonIdempotent, 2, Step::Lost, 502, 1, false),
        case("lost, idempotent", Idempotent, 2, Step::Lost, 200, 2, false),
        case("no response, not idempotent", NonIdempotent, 2, Step::Silent, 504, 1, false),
        case("no response, idempotent", Idempotent, 2, Step::Silent, 200, 2, false),
        case("truncated, not idempotent", NonIdempotent, 2, Step::Broken(vec!["o"]), 502, 1, false),
        case("truncated, idempotent", Idempotent, 2, Step::Broken(vec!["o"]), 200, 2, false),
    ];
    // Scheduling off; on, for a service with enough slots for three hosts; and on, for one without.
    for (slots_per_host, is_scheduled) in [(0.0, false), (1.0, false), (10.0, true)] {
        for case in &cases {
            let name = format!("{} at {slots_per_host} slots a host", case.name);
            let site = ScriptedSite::default();
            site.script("first", [case.first.clone()]);
            let known = view([two_slot_server("first", "near"), two_slot_server("second", "far")]);
            let host = SchedulingHost::start(&site, known, slots_per_host).await;
            assert_eq!(host.scheduler.is_scheduled("service"), is_scheduled, "{name}");
            let routed = request(case.kind, case.max_attempts, false);
            let response = handle_request(host.context.clone(), routed).await;
            assert_eq!(response.status().as_u16(), case.status, "{name}");
            assert_eq!(response.headers().contains_key(RETRY_AFTER), case.retry_after, "{name}");
            let record = site.record.lock().unwrap();
            assert_eq!(record.arrivals.len(), case.arrivals, "{name}");
            assert_eq!(host.held_calls(), 0, "{name}: a slot stays taken");
            assert_eq!(
                host.scheduler.snapshots().is_empty(),
                !is_scheduled,
                "{name}: an unused queue"
            );
        }
    }
}

/// The scheduling host is told how calls end: one failed connection opens a server's circuit
/// breaker, as do two calls without a response.
#[tokio::test(start_paused = true)]
async fn the_scheduling_host_is_told_how_calls_end() {
    let cases = [
        (Step::Answer(200, "ok"), 2, false),
        (Step::Answer(500, "no"), 2, false),
        (Step::NotRun(503), 2, false),
        (Step::Unreachable, 1, true),
        (Step::Lost, 1, false),
        (Step::Lost, 2, true),
    ];
    for (step, calls, expected) in cases {
        let site = ScriptedSite::default();
        site.script("first", [step.clone()]);
        let host =
            SchedulingHost::start(&site, view([two_slot_server("first", "near")]), 10.0).await;
        for _call in 0..calls {
            let routed = request(NonIdempotent, 1, false);
            let _response = handle_request(host.context.clone(), routed).await;
        }
        let (_service, snapshot) = host.scheduler.snapshots().pop().expect("a queue");
        assert_eq!(snapshot.servers[0].is_circuit_open, expected, "{step:?} {calls} times");
    }
}

/// A client that disconnects frees the slot of a running call and the queue entry of a waiting one.
#[tokio::test(start_paused = true)]
async fn disconnected_clients_hold_no_slots() {
    let site = ScriptedSite::default();
    site.script("first", [Step::Silent]);
    let host = SchedulingHost::start(&site, view([two_slot_server("first", "near")]), 10.0).await;
    let mut clients: Vec<_> = (0..8)
        .map(|_client| {
            let response = handle_request(host.context.clone(), request(NonIdempotent, 1, false));
            tokio::spawn(response)
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(10)).await;
    let (sent, limit) = (site.record.lock().unwrap().arrivals.len(), host.limit());
    assert!((2..8).contains(&limit), "{limit}");
    assert_eq!((sent, host.held_calls()), (limit, 8));
    while let Some(client) = clients.pop() {
        client.abort();
        let _aborted = client.await;
        assert_eq!(host.held_calls(), clients.len());
    }
    // The calls that waited last were dropped first, so none was sent in their place.
    assert_eq!(site.record.lock().unwrap().arrivals.len(), limit);
}

/// Calls that cannot get a slot in time are refused before their deadline, with a retry delay.
#[tokio::test(start_paused = true)]
async fn calls_beyond_capacity_are_refused_and_not_sent() {
    let site = ScriptedSite::default();
    site.script("first", [Step::Silent]);
    let host = SchedulingHost::start(&site, view([two_slot_server("first", "near")]), 10.0).await;
    let began = Instant::now();
    let calls = 20;
    let clients = (0..calls).map(|_client| async {
        let response = handle_request(host.context.clone(), request(NonIdempotent, 1, false)).await;
        let has_retry_after = response.headers().contains_key(RETRY_AFTER);
        let (status, took) = (response.status().as_u16(), began.elapsed());
        let body = read_response_body(response.into_body(), 100).await.expect("a complete body");
        (status, String::from_utf8_lossy(&body).into_owned(), has_retry_after, took)
    });
    // Calls without a response lower the limit later.
    let limit = async {
        tokio::time::sleep(Duration::from_millis(1)).await;
        host.limit()
    };
    let clients = futures_util::future::join_all(clients);
    let (responses, limit) = futures_util::future::join(clients, limit).await;
    let sent = site.record.lock().unwrap().arrivals.len();
    let refused: Vec<_> = responses.iter().filter(|(status, ..)| *status == 503).collect();
    assert!((2..8).contains(&limit), "{limit}");
    assert_eq!((sent, refused.len()), (limit, calls - limit), "{responses:?}");
    let causes: BTreeSet<_> = refused.iter().map(|(_, cause, _, _)| cause.as_str()).collect();
    assert_eq!(causes, BTreeSet::from(["no_room"]));
    // The clients' own timeout is three seconds.
    let delayed = refused.iter().filter(|(_, _, has_retry_after, took)| {
        !has_retry_after || *took >= Duration::from_millis(2_900)
    });
    assert_eq!(delayed.count(), 0, "{responses:?}");
    assert_eq!(host.held_calls(), 0);
}

/// What differs between this host's directory and that of the scheduling host.
struct KnowledgeCase {
    name: &'static str,
    /// Changes the directory of the scheduling host, in which both servers are ready.
    scheduler: fn(&mut DirectoryView),
    /// Changes the directory of this host.
    own: fn(&mut DirectoryView),
    /// Servers that asked this host to back off.
    backing_off: &'static [&'static str],
    status: u16,
    /// The backend servers that the call reaches.
    reaches: &'static [&'static str],
}

fn change(known: &mut DirectoryView, id: &str, change: impl Fn(&mut BackendEntry)) {
    let mut changed = BackendEntry::clone(&known.entries[id]);
    change(&mut changed);
    known.entries.insert(id.into(), Arc::new(changed));
}

const KNOWLEDGE: [KnowledgeCase; 9] = [
    KnowledgeCase {
        name: "this host knows that a server is draining",
        scheduler: |_known| {},
        own: |known| change(known, "first", |entry| entry.state = BackendState::Draining),
        backing_off: &[],
        status: 200,
        reaches: &["second"],
    },
    KnowledgeCase {
        name: "this host knows that a server is gone",
        scheduler: |_known| {},
        own: |known| drop(known.entries.remove("first")),
        backing_off: &[],
        status: 200,
        reaches: &["second"],
    },
    KnowledgeCase {
        name: "this host knows that a server restarted",
        scheduler: |_known| {},
        own: |known| change(known, "first", |entry| entry.start = Some(BackendStart(2))),
        backing_off: &[],
        status: 200,
        reaches: &["second"],
    },
    KnowledgeCase {
        name: "this host knows that a failure domain is drained",
        scheduler: |_known| {},
        own: |known| known.drained_domains.extend(["near".into()]),
        backing_off: &[],
        status: 200,
        reaches: &["second"],
    },
    KnowledgeCase {
        name: "this host knows that all servers are gone",
        scheduler: |_known| {},
        own: |known| known.entries.clear(),
        backing_off: &[],
        status: 503,
        reaches: &[],
    },
    KnowledgeCase {
        name: "a server asked this host to back off",
        scheduler: |_known| {},
        own: |_known| {},
        backing_off: &["first"],
        status: 200,
        reaches: &["second"],
    },
    KnowledgeCase {
        name: "all servers asked this host to back off",
        scheduler: |_known| {},
        own: |_known| {},
        backing_off: &["first", "second"],
        status: 503,
        reaches: &[],
    },
    KnowledgeCase {
        name: "the scheduling host has lost its directory",
        scheduler: |known| known.entries.clear(),
        own: |known| drop(known.entries.remove("second")),
        backing_off: &[],
        status: 200,
        reaches: &["first"],
    },
    KnowledgeCase {
        name: "there is no server",
        scheduler: |known| known.entries.clear(),
        own: |known| known.entries.clear(),
        backing_off: &[],
        status: 503,
        reaches: &[],
    },
];

#[tokio::test(start_paused = true)]
async fn local_knowledge_overrides_a_decision() {
    for case in &KNOWLEDGE {
        let site = ScriptedSite::default();
        let known = view([two_slot_server("first", "near"), two_slot_server("second", "far")]);
        let host = SchedulingHost::start(&site, known.clone(), 10.0).await;
        let (mut scheduler_view, mut own_view) = (known.clone(), known);
        (case.scheduler)(&mut scheduler_view);
        (case.own)(&mut own_view);
        host.scheduler_view.send_replace(Arc::new(scheduler_view));
        host.directory.send_replace(Arc::new(own_view));
        tokio::time::sleep(Duration::from_millis(5)).await;
        for id in case.backing_off {
            let backend = BackendInstance { id: (*id).into(), start: Some(BackendStart(1)) };
            let sent = host.context.throttle.record_send(backend);
            sent.record_response(RateNotice::Unlimited, BackoffNotice::For(Duration::from_secs(3)));
        }
        assert!(host.scheduler.is_scheduled("service"), "{}", case.name);
        let started = Instant::now();
        let response = handle_request(host.context.clone(), request(NonIdempotent, 1, false)).await;
        assert_eq!(response.status().as_u16(), case.status, "{}", case.name);
        assert!(started.elapsed() < Duration::from_millis(50), "{}: delayed", case.name);
        if case.status == 503 {
            assert!(response.headers().contains_key(RETRY_AFTER), "{}", case.name);
        }
        let record = site.record.lock().unwrap();
        let arrived: Vec<_> = record.arrivals.iter().map(|it| it.backend.as_str()).collect();
        assert_eq!(arrived, case.reaches, "{}", case.name);
        assert_eq!(host.held_calls(), 0, "{}", case.name);
    }
}

/// Every attempt after the first is withdrawn from the retry budget.
#[tokio::test(start_paused = true)]
async fn retries_end_with_the_budget() {
    let site = ScriptedSite::default();
    site.script("first", [Step::Answer(500, "no")]);
    site.script("second", [Step::Answer(500, "no")]);
    let known = view([two_slot_server("first", "near"), two_slot_server("second", "far")]);
    let mut host = SchedulingHost::start(&site, known, 10.0).await;
    let settings = BudgetSettings { ratio: 0.2, window: Duration::from_secs(10), extra: 8.0 };
    host.context.budgets = RetryBudgets::new(settings, HostClock::steady());
    host.context.budgets.set_host_count(8);
    for _request in 0..100 {
        let routed = request(Idempotent, 2, false);
        let _response = handle_request(host.context.clone(), routed).await;
    }
    let retries = site.record.lock().unwrap().arrivals.len() - 100;
    assert!((10..=21).contains(&retries), "{retries}");
    assert_eq!(host.held_calls(), 0);
}

/// A host that is suspended before it can follow a decision picks by itself, since the decisions
/// are too old; their slots are freed.
#[tokio::test(start_paused = true)]
async fn stale_decisions_are_not_followed() {
    for (suspended_ms, held) in [(1, 1), (81, 0)] {
        let site = ScriptedSite::default();
        site.script("first", [Step::Silent]);
        let (steady, reads) = (HostClock::steady(), AtomicU32::new(0));
        let is_suspended = Arc::new(AtomicBool::new(false));
        let suspended = Arc::clone(&is_suspended);
        // Each read of the clock is later than the previous one by this time.
        let clock = HostClock::from_fn(move || {
            let reads = reads.fetch_add(u32::from(suspended.load(Relaxed)), Relaxed);
            steady.now() + Duration::from_millis(suspended_ms) * reads
        });
        let known = view([two_slot_server("first", "near")]);
        let host = SchedulingHost::start_with_clock(&site, known, 10.0, clock).await;
        is_suspended.store(true, Relaxed);
        let response = handle_request(host.context.clone(), request(NonIdempotent, 1, false));
        let client = tokio::spawn(response);
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(site.record.lock().unwrap().arrivals.len(), 1, "{suspended_ms} ms");
        assert_eq!(host.held_calls(), held, "{suspended_ms} ms");
        client.abort();
    }
}
