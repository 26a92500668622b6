//! Calls of a plain service on which one host decides: every way out frees their places, and what this host knows
//! goes before the decision.

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
use dillspool_scheduler::{CallClient, CallDesk, CallTerms};
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

/// A server with two slots, which takes some calls more at a time.
fn small(id: &str, domain: &str) -> BackendEntry {
    BackendEntry { slots: Some(2), start: Some(BackendStart(1)), ..entry(id, domain, None) }
}

/// A host that decides by its own desk, and what the desk knows.
struct DecidingHost {
    context: ForwardContext,
    desk: CallDesk,
    desk_view: watch::Sender<Arc<DirectoryView>>,
    directory: watch::Sender<Arc<DirectoryView>>,
    _config: watch::Sender<Option<Arc<RoutingConfig>>>,
}

impl DecidingHost {
    async fn start(site: &ScriptedSite, known: DirectoryView, slots_per_host: f64) -> Self {
        Self::start_by(site, known, slots_per_host, HostClock::steady()).await
    }

    /// A host whose decisions grow old by a clock.
    async fn start_by(
        site: &ScriptedSite,
        known: DirectoryView,
        slots_per_host: f64,
        clock: HostClock,
    ) -> Self {
        let (mut context, directory) = site.context(known.clone());
        let terms = CallTerms { slots_per_host, ..CallTerms::default() };
        let desk = CallDesk::new(terms, 1, clock);
        let (config_sender, config) = watch::channel(Some(Arc::new(config())));
        let (desk_view, views) = watch::channel(Arc::new(known));
        tokio::spawn(desk.clone().run(config, views, || Some(3), CancellationToken::new()));
        context.call_client = CallClient::new(desk.clone());
        tokio::time::sleep(Duration::from_millis(5)).await;
        Self { context, desk, desk_view, directory, _config: config_sender }
    }

    /// Calls that may be in flight at once.
    fn limit(&self) -> usize {
        let readings = self.desk.read();
        let servers = readings.iter().flat_map(|(_service, reading)| &reading.servers);
        servers.map(|server| server.limit as usize).sum()
    }

    /// Calls that wait or are in flight.
    fn held(&self) -> usize {
        let readings = self.desk.read();
        let count = readings.iter().map(|(_service, reading)| {
            let in_flight: u32 = reading.servers.iter().map(|server| server.in_flight).sum();
            reading.waiting + in_flight as usize
        });
        count.sum()
    }
}

struct PathCase {
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

/// The same answers as those of each host by itself: what may be sent again is not the deciding host's to say.
#[tokio::test(start_paused = true)]
async fn each_way_out_frees_the_place() {
    let case = |name, kind, max_attempts, first, status, arrivals, retry_after| PathCase {
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
        case("own failure, unrepeatable", NonIdempotent, 2, Step::Answer(500, "no"), 500, 1, false),
        case("own failure, repeatable", Idempotent, 2, Step::Answer(500, "no"), 200, 2, false),
        case("own failure, one attempt", Idempotent, 1, Step::Answer(500, "no"), 500, 1, false),
        case("a caller's failure", Idempotent, 2, Step::Answer(404, "no"), 404, 1, false),
        case("not run, one attempt", NonIdempotent, 1, Step::NotRun(503), 503, 1, true),
        case("not run, two attempts", NonIdempotent, 2, Step::NotRun(503), 200, 2, false),
        case("unreachable", NonIdempotent, 1, Step::Unreachable, 200, 1, false),
        case("lost, unrepeatable", NonIdempotent, 2, Step::Lost, 502, 1, false),
        case("lost, repeatable", Idempotent, 2, Step::Lost, 200, 2, false),
        case("silent, unrepeatable", NonIdempotent, 2, Step::Silent, 504, 1, false),
        case("silent, repeatable", Idempotent, 2, Step::Silent, 200, 2, false),
        case("cut short, unrepeatable", NonIdempotent, 2, Step::Broken(vec!["o"]), 502, 1, false),
        case("cut short, repeatable", Idempotent, 2, Step::Broken(vec!["o"]), 200, 2, false),
    ];
    // Off; on, where the service has slots enough for three hosts; and on, where it has not.
    for (slots_per_host, is_decided) in [(0.0, false), (1.0, false), (10.0, true)] {
        for case in &cases {
            let name = format!("{} at {slots_per_host} slots a host", case.name);
            let site = ScriptedSite::default();
            site.script("first", [case.first.clone()]);
            let known = view([small("first", "near"), small("second", "far")]);
            let host = DecidingHost::start(&site, known, slots_per_host).await;
            assert_eq!(host.desk.is_scheduled("service"), is_decided, "{name}");
            let routed = request(case.kind, case.max_attempts, false);
            let answer = handle_request(host.context.clone(), routed).await;
            assert_eq!(answer.status().as_u16(), case.status, "{name}");
            assert_eq!(answer.headers().contains_key(RETRY_AFTER), case.retry_after, "{name}");
            let record = site.record.lock().unwrap();
            assert_eq!(record.arrivals.len(), case.arrivals, "{name}");
            assert_eq!(host.held(), 0, "{name}: a place stays taken");
            assert_eq!(host.desk.read().is_empty(), !is_decided, "{name}: a queue without a use");
        }
    }
}

/// The deciding host learns how calls ended: one connection that cannot be made blocks a server, as do two calls
/// without an answer.
#[tokio::test(start_paused = true)]
async fn the_deciding_host_learns_how_calls_end() {
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
        let host = DecidingHost::start(&site, view([small("first", "near")]), 10.0).await;
        for _call in 0..calls {
            let routed = request(NonIdempotent, 1, false);
            let _answer = handle_request(host.context.clone(), routed).await;
        }
        let (_service, reading) = host.desk.read().pop().expect("a queue");
        assert_eq!(reading.servers[0].is_circuit_open, expected, "{step:?} {calls} times");
    }
}

/// A caller that leaves while its call runs frees the place, and one that leaves while it waits leaves the queue.
#[tokio::test(start_paused = true)]
async fn callers_that_leave_hold_nothing() {
    let site = ScriptedSite::default();
    site.script("first", [Step::Silent]);
    let host = DecidingHost::start(&site, view([small("first", "near")]), 10.0).await;
    let mut callers: Vec<_> = (0..8)
        .map(|_caller| {
            let answer = handle_request(host.context.clone(), request(NonIdempotent, 1, false));
            tokio::spawn(answer)
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(10)).await;
    let (sent, limit) = (site.record.lock().unwrap().arrivals.len(), host.limit());
    assert!((2..8).contains(&limit), "{limit}");
    assert_eq!((sent, host.held()), (limit, 8));
    while let Some(caller) = callers.pop() {
        caller.abort();
        let _aborted = caller.await;
        assert_eq!(host.held(), callers.len());
    }
    // The last waiting calls left first, so nothing was sent in their stead.
    assert_eq!(site.record.lock().unwrap().arrivals.len(), limit);
}

/// Calls without hope of a place are refused before their time is over, and say when to come back.
#[tokio::test(start_paused = true)]
async fn calls_without_room_are_refused_and_not_sent() {
    let site = ScriptedSite::default();
    site.script("first", [Step::Silent]);
    let host = DecidingHost::start(&site, view([small("first", "near")]), 10.0).await;
    let began = Instant::now();
    let calls = 20;
    let callers = (0..calls).map(|_caller| async {
        let answer = handle_request(host.context.clone(), request(NonIdempotent, 1, false)).await;
        let invites = answer.headers().contains_key(RETRY_AFTER);
        let (status, took) = (answer.status().as_u16(), began.elapsed());
        let body = read_response_body(answer.into_body(), 100).await.expect("a whole body");
        (status, String::from_utf8_lossy(&body).into_owned(), invites, took)
    });
    // Calls without an answer lower the limit later.
    let limit = async {
        tokio::time::sleep(Duration::from_millis(1)).await;
        host.limit()
    };
    let callers = futures_util::future::join_all(callers);
    let (answers, limit) = futures_util::future::join(callers, limit).await;
    let sent = site.record.lock().unwrap().arrivals.len();
    let refused: Vec<_> = answers.iter().filter(|(status, ..)| *status == 503).collect();
    assert!((2..8).contains(&limit), "{limit}");
    assert_eq!((sent, refused.len()), (limit, calls - limit), "{answers:?}");
    let causes: BTreeSet<_> = refused.iter().map(|(_, cause, _, _)| cause.as_str()).collect();
    assert_eq!(causes, BTreeSet::from(["no_room"]));
    // Three seconds are the callers' own time.
    let held_up = refused
        .iter()
        .filter(|(_, _, invites, took)| !invites || *took >= Duration::from_millis(2_900));
    assert_eq!(held_up.count(), 0, "{answers:?}");
    assert_eq!(host.held(), 0);
}

/// What differs between this host and the one that decides.
struct KnowledgeCase {
    name: &'static str,
    /// What the deciding host knows beside both servers being ready.
    decider: fn(&mut DirectoryView),
    /// The same of this host.
    own: fn(&mut DirectoryView),
    /// Servers that want nothing from this host.
    resting: &'static [&'static str],
    status: u16,
    /// Where the call arrives.
    arrives_at: &'static [&'static str],
}

fn change(known: &mut DirectoryView, id: &str, change: impl Fn(&mut BackendEntry)) {
    let mut changed = BackendEntry::clone(&known.entries[id]);
    change(&mut changed);
    known.entries.insert(id.into(), Arc::new(changed));
}

const KNOWLEDGE: [KnowledgeCase; 9] = [
    KnowledgeCase {
        name: "this host knows that a server leaves",
        decider: |_known| {},
        own: |known| change(known, "first", |entry| entry.state = BackendState::Draining),
        resting: &[],
        status: 200,
        arrives_at: &["second"],
    },
    KnowledgeCase {
        name: "this host knows that a server is gone",
        decider: |_known| {},
        own: |known| drop(known.entries.remove("first")),
        resting: &[],
        status: 200,
        arrives_at: &["second"],
    },
    KnowledgeCase {
        name: "this host knows another start of a server",
        decider: |_known| {},
        own: |known| change(known, "first", |entry| entry.start = Some(BackendStart(2))),
        resting: &[],
        status: 200,
        arrives_at: &["second"],
    },
    KnowledgeCase {
        name: "this host knows that a failure domain is drained",
        decider: |_known| {},
        own: |known| known.drained_domains.extend(["near".into()]),
        resting: &[],
        status: 200,
        arrives_at: &["second"],
    },
    KnowledgeCase {
        name: "this host knows that all servers are gone",
        decider: |_known| {},
        own: |known| known.entries.clear(),
        resting: &[],
        status: 503,
        arrives_at: &[],
    },
    KnowledgeCase {
        name: "a server wants nothing from this host",
        decider: |_known| {},
        own: |_known| {},
        resting: &["first"],
        status: 200,
        arrives_at: &["second"],
    },
    KnowledgeCase {
        name: "no server wants anything from this host",
        decider: |_known| {},
        own: |_known| {},
        resting: &["first", "second"],
        status: 503,
        arrives_at: &[],
    },
    KnowledgeCase {
        name: "the deciding host has lost its directory",
        decider: |known| known.entries.clear(),
        own: |known| drop(known.entries.remove("second")),
        resting: &[],
        status: 200,
        arrives_at: &["first"],
    },
    KnowledgeCase {
        name: "there is no server",
        decider: |known| known.entries.clear(),
        own: |known| known.entries.clear(),
        resting: &[],
        status: 503,
        arrives_at: &[],
    },
];

#[tokio::test(start_paused = true)]
async fn what_this_host_knows_goes_before_a_decision() {
    for case in &KNOWLEDGE {
        let site = ScriptedSite::default();
        let known = view([small("first", "near"), small("second", "far")]);
        let host = DecidingHost::start(&site, known.clone(), 10.0).await;
        let (mut decider, mut own) = (known.clone(), known);
        (case.decider)(&mut decider);
        (case.own)(&mut own);
        host.desk_view.send_replace(Arc::new(decider));
        host.directory.send_replace(Arc::new(own));
        tokio::time::sleep(Duration::from_millis(5)).await;
        for id in case.resting {
            let backend = BackendInstance { id: (*id).into(), start: Some(BackendStart(1)) };
            let sent = host.context.throttle.record_send(backend);
            sent.record_response(RateNotice::Unlimited, BackoffNotice::For(Duration::from_secs(3)));
        }
        assert!(host.desk.is_scheduled("service"), "{}", case.name);
        let asked = Instant::now();
        let answer = handle_request(host.context.clone(), request(NonIdempotent, 1, false)).await;
        assert_eq!(answer.status().as_u16(), case.status, "{}", case.name);
        assert!(asked.elapsed() < Duration::from_millis(50), "{}: held up", case.name);
        if case.status == 503 {
            assert!(answer.headers().contains_key(RETRY_AFTER), "{}", case.name);
        }
        let record = site.record.lock().unwrap();
        let arrived: Vec<_> = record.arrivals.iter().map(|it| it.backend.as_str()).collect();
        assert_eq!(arrived, case.arrives_at, "{}", case.name);
        assert_eq!(host.held(), 0, "{}", case.name);
    }
}

/// Every send beyond the first is taken from the retry budget.
#[tokio::test(start_paused = true)]
async fn repeated_sends_end_with_the_budget() {
    let site = ScriptedSite::default();
    site.script("first", [Step::Answer(500, "no")]);
    site.script("second", [Step::Answer(500, "no")]);
    let known = view([small("first", "near"), small("second", "far")]);
    let mut host = DecidingHost::start(&site, known, 10.0).await;
    let terms = BudgetSettings { ratio: 0.2, window: Duration::from_secs(10), extra: 8.0 };
    host.context.budgets = RetryBudgets::new(terms, HostClock::steady());
    host.context.budgets.set_host_count(8);
    for _request in 0..100 {
        let routed = request(Idempotent, 2, false);
        let _answer = handle_request(host.context.clone(), routed).await;
    }
    let extras = site.record.lock().unwrap().arrivals.len() - 100;
    assert!((10..=21).contains(&extras), "{extras}");
    assert_eq!(host.held(), 0);
}

/// A host that is stopped before each decision can be followed chooses by itself: the decisions are old, and their
/// places are given back.
#[tokio::test(start_paused = true)]
async fn decisions_that_are_old_are_not_followed() {
    for (stop_ms, held) in [(1, 1), (81, 0)] {
        let site = ScriptedSite::default();
        site.script("first", [Step::Silent]);
        let (steady, reads) = (HostClock::steady(), AtomicU32::new(0));
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopping = Arc::clone(&is_stopped);
        // Each read of the clock is so much later than the one before.
        let clock = HostClock::from_fn(move || {
            let reads = reads.fetch_add(u32::from(stopping.load(Relaxed)), Relaxed);
            steady.now() + Duration::from_millis(stop_ms) * reads
        });
        let known = view([small("first", "near")]);
        let host = DecidingHost::start_by(&site, known, 10.0, clock).await;
        is_stopped.store(true, Relaxed);
        let answer = handle_request(host.context.clone(), request(NonIdempotent, 1, false));
        let caller = tokio::spawn(answer);
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(site.record.lock().unwrap().arrivals.len(), 1, "{stop_ms} ms");
        assert_eq!(host.held(), held, "{stop_ms} ms");
        caller.abort();
    }
}
