//! Checks that a backend server gets no more requests after one of its responses has said that it is leaving.

mod fleet;

use std::time::Duration;

use dillspool_site_standin::{Arrival, StandinBackend, StandinKind, StoreMode};
use fleet::{RestartIdentity, TestFleet, find_slow_refusals};
use tokio::time::Instant;

/// Duration of a test case.
const CASE_DURATION: Duration = Duration::from_secs(8);
/// Time at which the store changes its mode.
const STORE_CHANGE_TIME: Duration = Duration::from_secs(1);
/// Time at which backend servers start to announce that they are leaving.
const LEAVING_TIME: Duration = Duration::from_secs(2);
/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);
/// Longest time until a request that no backend server accepts is refused.
const MAX_REFUSAL_DELAY: Duration = Duration::from_millis(700);
/// Time after the first announcement from which a host must send nothing to that backend server.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);

struct LeavingCase {
    name: &'static str,
    path: &'static str,
    hosts: usize,
    kind: StandinKind,
    /// How many of the four backend servers leave.
    count: usize,
    store: StoreMode,
    /// Minimum percentage of requests that are served.
    served: usize,
}

const CASES: [LeavingCase; 9] = [
    LeavingCase {
        name: "a plain server, the row not written",
        path: "/again/1",
        hosts: 3,
        kind: StandinKind::Plain,
        count: 1,
        store: StoreMode::Serving,
        served: 100,
    },
    LeavingCase {
        name: "a plain server, the store silent",
        path: "/once/1",
        hosts: 3,
        kind: StandinKind::Plain,
        count: 1,
        store: StoreMode::Silent,
        served: 100,
    },
    LeavingCase {
        name: "three plain servers, the store busy",
        path: "/once/1",
        hosts: 3,
        kind: StandinKind::Plain,
        count: 3,
        store: StoreMode::Busy,
        served: 100,
    },
    LeavingCase {
        name: "all plain servers",
        path: "/again/1",
        hosts: 1,
        kind: StandinKind::Plain,
        count: 4,
        store: StoreMode::Silent,
        served: 20,
    },
    LeavingCase {
        name: "all decode engines",
        path: "/stream/1",
        hosts: 1,
        kind: StandinKind::Decode,
        count: 4,
        store: StoreMode::Silent,
        served: 20,
    },
    LeavingCase {
        name: "a decode engine",
        path: "/stream/1",
        hosts: 3,
        kind: StandinKind::Decode,
        count: 1,
        store: StoreMode::Silent,
        served: 99,
    },
    LeavingCase {
        name: "three decode engines",
        path: "/resumed/1",
        hosts: 3,
        kind: StandinKind::Decode,
        count: 3,
        store: StoreMode::Silent,
        served: 99,
    },
    LeavingCase {
        name: "a prefill engine",
        path: "/stream/1",
        hosts: 3,
        kind: StandinKind::Prefill,
        count: 1,
        store: StoreMode::Silent,
        served: 99,
    },
    LeavingCase {
        name: "three prefill engines",
        path: "/stream/1",
        hosts: 1,
        kind: StandinKind::Prefill,
        count: 3,
        store: StoreMode::Silent,
        served: 99,
    },
];

/// Returns when requests of a host arrived; requests without its attempt ID belong to no host.
fn of_host(arrivals: &[Arrival], host: usize) -> Vec<Instant> {
    let prefix = format!("attempt-{host}-");
    let own = arrivals.iter().filter(|arrival| arrival.id.starts_with(&prefix));
    own.map(|arrival| arrival.at).collect()
}

/// Finds requests that hosts sent to a backend server although they knew that it was leaving.
fn find_late(backend: &StandinBackend, hosts: usize, since: Instant) -> Vec<String> {
    let mut arrivals = backend.arrived();
    arrivals.retain(|arrival| arrival.at >= since);
    let mut violations = Vec::new();
    let mut last_told = since;
    for host in 0..hosts {
        let sent = of_host(&arrivals, host);
        let Some(told) = sent.first() else { continue };
        last_told = last_told.max(*told);
        let late = sent.iter().filter(|at| **at > *told + PROPAGATION_TIME).count();
        if late > 0 {
            violations.push(format!("{} got {late} late requests from host {host}", backend.id));
        }
    }
    let late = |arrival: &&Arrival| arrival.at > last_told + PROPAGATION_TIME;
    let late = arrivals.iter().filter(late).count();
    if late > 0 {
        violations
            .push(format!("{} got {late} requests after all hosts had been told", backend.id));
    }
    violations
}

/// Runs a case and returns the violations.
async fn run_case(case: &LeavingCase) -> Vec<String> {
    let fleet = TestFleet::start(case.hosts, RestartIdentity::NewId).await;
    let fleet = &fleet;
    let started = Instant::now();
    let change = async {
        tokio::time::sleep_until(started + STORE_CHANGE_TIME).await;
        fleet.store.set_mode(case.store);
        tokio::time::sleep_until(started + LEAVING_TIME).await;
        let leaving = fleet.busiest(case.kind, case.count);
        for backend in &leaving {
            backend.say_leaving(&["1"]);
        }
        leaving
    };
    let callers = fleet.send_for(CASE_DURATION, REQUEST_INTERVAL, case.hosts, case.path);
    let (replies, leaving) = futures_util::future::join(callers, change).await;
    let mut violations = Vec::new();
    for backend in &leaving {
        violations.extend(find_late(backend, case.hosts, started + LEAVING_TIME));
    }
    let served = replies.iter().filter(|(reply, _took)| reply.is_served()).count();
    if served * 100 < replies.len() * case.served {
        violations.push(format!("{served} of {} served", replies.len()));
    }
    violations.extend(find_slow_refusals(&replies, MAX_REFUSAL_DELAY));
    violations
}

async fn run_cases(kind: StandinKind) -> Vec<String> {
    let mut violations = Vec::new();
    for case in CASES.iter().filter(|case| case.kind == kind) {
        let found = run_case(case).await;
        violations.extend(found.into_iter().map(|violation| format!("{}: {violation}", case.name)));
    }
    violations
}

#[tokio::test(start_paused = true)]
async fn a_leaving_plain_server_gets_no_requests() {
    assert_eq!(run_cases(StandinKind::Plain).await, [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn a_leaving_decode_engine_gets_no_requests() {
    assert_eq!(run_cases(StandinKind::Decode).await, [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn a_leaving_prefill_engine_gets_no_requests() {
    assert_eq!(run_cases(StandinKind::Prefill).await, [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn a_backend_server_gets_requests_after_it_left_and_restarted() {
    for (kind, path) in [(StandinKind::Plain, "/again/1"), (StandinKind::Decode, "/stream/1")] {
        let fleet = TestFleet::start(1, RestartIdentity::SameId).await;
        let send = async || fleet.send(0, 0, path, "sound").await;
        for backend in fleet.backends(kind) {
            backend.say_leaving(&["1"]);
        }
        // Each server announces it in one response; a refusal shows that the host knows about all.
        while send().await.is_served() {}
        for backend in fleet.backends(kind) {
            backend.crash();
        }
        tokio::time::sleep(Duration::from_secs(4)).await;
        assert!(send().await.is_served(), "{kind:?}");
    }
}

/// Guards against hosts that learn only from their own responses that a backend server is leaving.
///
/// In a large fleet a host rarely sends to a given backend server, so each one would still send it a request.
#[tokio::test(start_paused = true)]
async fn hosts_learn_from_each_other_that_a_backend_server_leaves() {
    const HOSTS: usize = 12;
    let mut late = Vec::new();
    for (kind, path) in [(StandinKind::Plain, "/again/1"), (StandinKind::Decode, "/stream/1")] {
        let fleet = TestFleet::start(HOSTS, RestartIdentity::NewId).await;
        let fleet = &fleet;
        let moments = (0..160_u32).map(|number| Duration::from_millis(50) * number);
        let callers = moments.enumerate().map(|(number, moment)| async move {
            tokio::time::sleep(moment).await;
            fleet.send(number % 8, number % HOSTS, path, "sound").await
        });
        let leave = async {
            tokio::time::sleep(STORE_CHANGE_TIME).await;
            fleet.store.set_mode(StoreMode::Silent);
            tokio::time::sleep(LEAVING_TIME.saturating_sub(STORE_CHANGE_TIME)).await;
            let leaving = fleet.busiest(kind, 1).remove(0);
            leaving.say_leaving(&["1"]);
            (leaving, Instant::now())
        };
        let callers = futures_util::future::join_all(callers);
        let (replies, (leaving, since)) = futures_util::future::join(callers, leave).await;
        assert!(replies.iter().all(fleet::CallerReply::is_served), "{kind:?}");
        let arrivals = leaving.arrivals().into_iter().filter(|at| *at >= since);
        let arrivals: Vec<_> = arrivals.collect();
        let first = *arrivals.first().expect("it is the busiest");
        let known = first + Duration::from_secs(1);
        late.push(arrivals.iter().filter(|at| **at > known).count());
    }
    assert_eq!(late, [0, 0], "late requests to the plain server and to the decode engine");
}
