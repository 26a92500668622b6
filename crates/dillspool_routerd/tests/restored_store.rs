//! Guards against hosts that keep to what a store said before it came back from a copy.

mod fleet;

use std::time::Duration;

use dillspool_site::OWN_TABLE;
use dillspool_site_standin::{StandinKind, StoreMode};
use fleet::{ComeBack, TestFleet};
use tokio::time::Instant;

/// Time in which a change must be in force, and a backend server that leaves gets its last request.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time after the store's return from which on its word counts.
const SETTLED: Duration = Duration::from_secs(3);
/// Time for which callers send requests.
const SPAN: Duration = Duration::from_secs(7);
/// Time between two requests.
const APART: Duration = Duration::from_millis(8);

/// How the store comes back.
struct RestoredCase {
    name: &'static str,
    hosts: usize,
    /// Time that it gives no answer.
    away: Duration,
    /// Versions that are lost.
    lost: u64,
    /// Time from its return to the change,
    pause: Duration,
    /// and versions given out again after it.
    again: u64,
}

const CASES: [RestoredCase; 5] = [
    RestoredCase {
        name: "the change comes before the old versions are passed",
        hosts: 3,
        away: Duration::from_millis(2_500),
        lost: 20,
        pause: Duration::from_secs(4),
        again: 0,
    },
    RestoredCase {
        name: "the same where hosts relay the tables to each other",
        hosts: 7,
        away: Duration::from_millis(2_500),
        lost: 20,
        pause: Duration::from_secs(4),
        again: 0,
    },
    RestoredCase {
        name: "the old versions are passed before any host asks",
        hosts: 3,
        away: Duration::from_millis(2_500),
        lost: 3,
        pause: Duration::ZERO,
        again: 5,
    },
    RestoredCase {
        name: "nobody notices that the store was away",
        hosts: 3,
        away: Duration::ZERO,
        lost: 3,
        pause: Duration::ZERO,
        again: 5,
    },
    RestoredCase {
        name: "the change has the newest version that hosts know",
        hosts: 1,
        away: Duration::ZERO,
        lost: 0,
        pause: Duration::ZERO,
        again: 0,
    },
];

fn write_others(fleet: &TestFleet, count: u64) {
    for number in 0..count {
        fleet.store.write("others", &format!("row-{number}"), Some("text"));
    }
}

/// Starts a fleet whose store comes back from a copy, and then gets a change; the fleet, and the moment from which
/// on the change must be in force.
async fn start_and_restore(
    case: &RestoredCase,
    change: impl Fn(&TestFleet),
) -> (TestFleet, Instant) {
    let fleet = TestFleet::start(case.hosts, ComeBack::OtherId).await;
    let copy = fleet.store.copy();
    write_others(&fleet, case.lost);
    // Hosts hear of the versions that will be lost.
    fleet.write_config(2, &[]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    if !case.away.is_zero() {
        fleet.store.set_mode(StoreMode::Silent);
        tokio::time::sleep(case.away).await;
    }
    let returned_at = Instant::now();
    fleet.store.restore(&copy);
    fleet.store.set_mode(StoreMode::Serving);
    if !case.pause.is_zero() {
        // The operator writes again what was lost.
        fleet.write_config(2, &[]);
    }
    tokio::time::sleep(case.pause).await;
    change(&fleet);
    write_others(&fleet, case.again);
    (fleet, Instant::now().max(returned_at + SETTLED) + IN_FORCE)
}

/// A change of the configuration that a restored store had acknowledged came into force when its versions had
/// passed the old ones.
#[tokio::test(start_paused = true)]
async fn a_change_acknowledged_by_a_restored_store_was_not_in_force() {
    let mut faults = Vec::new();
    for case in &CASES {
        let change = |fleet: &TestFleet| fleet.write_config(3, &["/again/"]);
        let (fleet, in_force_at) = start_and_restore(case, change).await;
        tokio::time::sleep_until(in_force_at).await;
        for host in 0..case.hosts {
            let dropped = fleet.send(0, host, "/again/1", "sound").await.status;
            let kept = fleet.send(0, host, "/once/1", "sound").await.status;
            if (dropped, kept) != (Some(404), Some(200)) {
                let name = case.name;
                faults.push(format!("{name}: host {host} answers {dropped:?}, {kept:?}"));
            }
        }
    }
    assert_eq!(faults, [""; 0]);
}

/// A backend server that told a restored store that it leaves got requests until that store's versions had passed
/// the old ones.
#[tokio::test(start_paused = true)]
async fn a_server_that_left_by_a_restored_store_got_requests() {
    let mut faults = Vec::new();
    for case in &CASES {
        let leave = |fleet: &TestFleet| {
            let leaving = &fleet.backends(StandinKind::Plain)[0];
            fleet.write_state(leaving, "draining");
        };
        let (fleet, last_at) = start_and_restore(case, leave).await;
        let replies = fleet.send_for(SPAN, APART, case.hosts, "/again/1").await;
        let arrivals = fleet.backends(StandinKind::Plain)[0].arrivals();
        let late = arrivals.iter().filter(|at| **at > last_at).count();
        let served = replies.iter().filter(|(reply, _took)| reply.is_served()).count();
        if late > 0 || served < replies.len() {
            let (name, sent) = (case.name, replies.len());
            faults.push(format!("{name}: {late} came late, {served} of {sent} served"));
        }
    }
    assert_eq!(faults, [""; 0]);
}

/// Hosts that others rely on, whose rows a restored store had lost, were forgotten, and all hosts asked the store
/// themselves until the rows were there again.
#[tokio::test(start_paused = true)]
async fn hosts_forgot_each_other_with_the_rows_that_a_restored_store_lost() {
    let fleet = TestFleet::start(24, ComeBack::OtherId).await;
    let recorded = fleet.store.keys(OWN_TABLE);
    let watch = async |span: Duration| {
        fleet.store.take_counts();
        tokio::time::sleep(span).await;
        fleet.store.take_counts()
    };
    let usual = watch(Duration::from_secs(10)).await;
    let copy = fleet.store.copy().without(OWN_TABLE, "hosts/");
    fleet.store.restore(&copy);
    let restored = watch(Duration::from_secs(10)).await;
    let calls = restored.calls;
    assert!(calls <= 2 * usual.calls + recorded.len(), "{calls} calls, {} before", usual.calls);
    let again = fleet.store.keys(OWN_TABLE);
    assert!(recorded.iter().all(|key| again.contains(key)), "{again:?}, before {recorded:?}");
}
