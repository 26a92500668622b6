//! Guards against requests that reach a backend server after it has said in an answer that it leaves.

mod fleet;

use std::time::Duration;

use dillspool_site_standin::{Arrival, StandinBackend, StandinKind, StoreMode};
use fleet::{ComeBack, TestFleet, held_up};
use tokio::time::Instant;

/// Time of a case.
const SPAN: Duration = Duration::from_secs(8);
/// When the store changes.
const STORE_AT: Duration = Duration::from_secs(1);
/// When backend servers begin to say that they leave.
const LEAVING_AT: Duration = Duration::from_secs(2);
/// Time between two requests.
const APART: Duration = Duration::from_millis(8);
/// Time in which a request that nobody takes is refused.
const AT_ONCE: Duration = Duration::from_millis(700);
/// Time after a host was told from which on it sends nothing there.
const KNOWN_AFTER: Duration = Duration::from_millis(500);

struct LeavingCase {
    name: &'static str,
    path: &'static str,
    hosts: usize,
    kind: StandinKind,
    /// How many of the four leave.
    count: usize,
    store: StoreMode,
    /// Requests that are served at least, in a hundred.
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
        name: "all engines that decode",
        path: "/stream/1",
        hosts: 1,
        kind: StandinKind::Decode,
        count: 4,
        store: StoreMode::Silent,
        served: 20,
    },
    LeavingCase {
        name: "an engine that decodes",
        path: "/stream/1",
        hosts: 3,
        kind: StandinKind::Decode,
        count: 1,
        store: StoreMode::Silent,
        served: 99,
    },
    LeavingCase {
        name: "three engines that decode",
        path: "/resumed/1",
        hosts: 3,
        kind: StandinKind::Decode,
        count: 3,
        store: StoreMode::Silent,
        served: 99,
    },
    LeavingCase {
        name: "an engine that prefills",
        path: "/stream/1",
        hosts: 3,
        kind: StandinKind::Prefill,
        count: 1,
        store: StoreMode::Silent,
        served: 99,
    },
    LeavingCase {
        name: "three engines that prefill",
        path: "/stream/1",
        hosts: 1,
        kind: StandinKind::Prefill,
        count: 3,
        store: StoreMode::Silent,
        served: 99,
    },
];

/// Arrivals of a host's requests; what a host asks for itself is anyone's.
fn of_host(arrivals: &[Arrival], host: usize) -> Vec<Instant> {
    let prefix = format!("attempt-{host}-");
    let own = arrivals.iter().filter(|arrival| arrival.id.starts_with(&prefix));
    own.map(|arrival| arrival.at).collect()
}

/// What reached a backend server though the host that sent it had been told.
fn find_late(backend: &StandinBackend, hosts: usize, since: Instant) -> Vec<String> {
    let mut arrivals = backend.arrived();
    arrivals.retain(|arrival| arrival.at >= since);
    let mut faults = Vec::new();
    let mut last_told = since;
    for host in 0..hosts {
        let sent = of_host(&arrivals, host);
        let Some(told) = sent.first() else { continue };
        last_told = last_told.max(*told);
        let late = sent.iter().filter(|at| **at > *told + KNOWN_AFTER).count();
        if late > 0 {
            faults.push(format!("{} got {late} from host {host} that knew", backend.id));
        }
    }
    let late = |arrival: &&Arrival| arrival.at > last_told + KNOWN_AFTER;
    let late = arrivals.iter().filter(late).count();
    if late > 0 {
        faults.push(format!("{} got {late} when all knew", backend.id));
    }
    faults
}

/// Plays a case; what went other than it should.
async fn play(case: &LeavingCase) -> Vec<String> {
    let fleet = TestFleet::start(case.hosts, ComeBack::OtherId).await;
    let fleet = &fleet;
    let started = Instant::now();
    let change = async {
        tokio::time::sleep_until(started + STORE_AT).await;
        fleet.store.set_mode(case.store);
        tokio::time::sleep_until(started + LEAVING_AT).await;
        let leaving = fleet.busiest(case.kind, case.count);
        for backend in &leaving {
            backend.say_leaving(&["1"]);
        }
        leaving
    };
    let callers = fleet.send_for(SPAN, APART, case.hosts, case.path);
    let (replies, leaving) = futures_util::future::join(callers, change).await;
    let mut faults = Vec::new();
    for backend in &leaving {
        faults.extend(find_late(backend, case.hosts, started + LEAVING_AT));
    }
    let served = replies.iter().filter(|(reply, _took)| reply.is_served()).count();
    if served * 100 < replies.len() * case.served {
        faults.push(format!("{served} of {} served", replies.len()));
    }
    faults.extend(held_up(&replies, AT_ONCE));
    faults
}

async fn play_all(kind: StandinKind) -> Vec<String> {
    let mut faults = Vec::new();
    for case in CASES.iter().filter(|case| case.kind == kind) {
        let found = play(case).await;
        faults.extend(found.into_iter().map(|fault| format!("{}: {fault}", case.name)));
    }
    faults
}

#[tokio::test(start_paused = true)]
async fn a_plain_server_that_said_it_leaves_still_got_requests() {
    assert_eq!(play_all(StandinKind::Plain).await, [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn a_decode_engine_that_said_it_leaves_still_got_requests() {
    assert_eq!(play_all(StandinKind::Decode).await, [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn a_prefill_engine_that_said_it_leaves_still_got_requests() {
    assert_eq!(play_all(StandinKind::Prefill).await, [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn the_next_start_of_a_backend_server_that_left_gets_requests() {
    for (kind, path) in [(StandinKind::Plain, "/again/1"), (StandinKind::Decode, "/stream/1")] {
        let fleet = TestFleet::start(1, ComeBack::SameId).await;
        let send = async || fleet.send(0, 0, path, "sound").await;
        for backend in fleet.backends(kind) {
            backend.say_leaving(&["1"]);
        }
        // One answer of each tells; a refusal tells that all have.
        while send().await.is_served() {}
        for backend in fleet.backends(kind) {
            backend.crash();
        }
        tokio::time::sleep(Duration::from_secs(4)).await;
        assert!(send().await.is_served(), "{kind:?}");
    }
}

/// Hosts of a large fleet send to one backend server once in a while; each would else send to one that leaves until
/// an answer tells it.
#[tokio::test(start_paused = true)]
async fn hosts_that_were_not_answered_still_sent_to_a_backend_server_that_leaves() {
    const HOSTS: usize = 12;
    let mut late = Vec::new();
    for (kind, path) in [(StandinKind::Plain, "/again/1"), (StandinKind::Decode, "/stream/1")] {
        let fleet = TestFleet::start(HOSTS, ComeBack::OtherId).await;
        let fleet = &fleet;
        let moments = (0..160_u32).map(|number| Duration::from_millis(50) * number);
        let callers = moments.enumerate().map(|(number, moment)| async move {
            tokio::time::sleep(moment).await;
            fleet.send(number % 8, number % HOSTS, path, "sound").await
        });
        let leave = async {
            tokio::time::sleep(STORE_AT).await;
            fleet.store.set_mode(StoreMode::Silent);
            tokio::time::sleep(LEAVING_AT.saturating_sub(STORE_AT)).await;
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
    assert_eq!(late, [0, 0], "plain, decode");
}
