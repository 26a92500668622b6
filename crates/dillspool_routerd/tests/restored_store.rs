//! Guards against hosts that keep using data from before the store was restored from a backup.

mod fleet;

use std::time::Duration;

use dillspool_site::OWN_TABLE;
use dillspool_site_standin::{StandinKind, StoreMode};
use fleet::{RestartIdentity, TestFleet};
use tokio::time::Instant;

/// Time in which a change must take effect, and after which a leaving backend server gets no more requests.
const EFFECTIVE_AFTER: Duration = Duration::from_secs(2);
/// Time after the restore from which hosts must follow the store.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time for which callers send requests.
const CASE_DURATION: Duration = Duration::from_secs(7);
/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);

/// How the store is restored.
struct RestoredCase {
    name: &'static str,
    hosts: usize,
    /// Time for which the store does not respond.
    outage: Duration,
    /// Number of versions that are lost.
    lost_versions: u64,
    /// Time from the restore to the change.
    change_delay: Duration,
    /// Number of lost versions that are assigned again after the change.
    reassigned_versions: u64,
}

const CASES: [RestoredCase; 5] = [
    RestoredCase {
        name: "the change comes before the versions exceed the old ones",
        hosts: 3,
        outage: Duration::from_millis(2_500),
        lost_versions: 20,
        change_delay: Duration::from_secs(4),
        reassigned_versions: 0,
    },
    RestoredCase {
        name: "the same with hosts that relay the tables to each other",
        hosts: 7,
        outage: Duration::from_millis(2_500),
        lost_versions: 20,
        change_delay: Duration::from_secs(4),
        reassigned_versions: 0,
    },
    RestoredCase {
        name: "the versions exceed the old ones before any host polls",
        hosts: 3,
        outage: Duration::from_millis(2_500),
        lost_versions: 3,
        change_delay: Duration::ZERO,
        reassigned_versions: 5,
    },
    RestoredCase {
        name: "no host notices the outage of the store",
        hosts: 3,
        outage: Duration::ZERO,
        lost_versions: 3,
        change_delay: Duration::ZERO,
        reassigned_versions: 5,
    },
    RestoredCase {
        name: "the change has the newest version that hosts know",
        hosts: 1,
        outage: Duration::ZERO,
        lost_versions: 0,
        change_delay: Duration::ZERO,
        reassigned_versions: 0,
    },
];

fn write_others(fleet: &TestFleet, count: u64) {
    for number in 0..count {
        fleet.store.write("others", &format!("row-{number}"), Some("text"));
    }
}

/// Starts a fleet, restores its store from a backup and then makes a change.
///
/// Returns the fleet and the time from which the change must be in force.
async fn start_and_restore(
    case: &RestoredCase,
    change: impl Fn(&TestFleet),
) -> (TestFleet, Instant) {
    let fleet = TestFleet::start(case.hosts, RestartIdentity::NewId).await;
    let copy = fleet.store.copy();
    write_others(&fleet, case.lost_versions);
    // Makes hosts learn the versions that will be lost.
    fleet.write_config(2, &[]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    if !case.outage.is_zero() {
        fleet.store.set_mode(StoreMode::Silent);
        tokio::time::sleep(case.outage).await;
    }
    let restored_at = Instant::now();
    fleet.store.restore(&copy);
    fleet.store.set_mode(StoreMode::Serving);
    if !case.change_delay.is_zero() {
        // The operator writes the lost configuration again.
        fleet.write_config(2, &[]);
    }
    tokio::time::sleep(case.change_delay).await;
    change(&fleet);
    write_others(&fleet, case.reassigned_versions);
    (fleet, Instant::now().max(restored_at + SETTLE_TIME) + EFFECTIVE_AFTER)
}

/// Guards against hosts that ignore a configuration change which a restored store has acknowledged, until the
/// store's versions exceed those from before the restore.
#[tokio::test(start_paused = true)]
async fn a_change_acknowledged_by_a_restored_store_is_in_force() {
    let mut violations = Vec::new();
    for case in &CASES {
        let change = |fleet: &TestFleet| fleet.write_config(3, &["/again/"]);
        let (fleet, in_force_at) = start_and_restore(case, change).await;
        tokio::time::sleep_until(in_force_at).await;
        for host in 0..case.hosts {
            let dropped = fleet.send(0, host, "/again/1", "sound").await.status;
            let kept = fleet.send(0, host, "/once/1", "sound").await.status;
            if (dropped, kept) != (Some(404), Some(200)) {
                let name = case.name;
                violations.push(format!("{name}: host {host} answers {dropped:?}, {kept:?}"));
            }
        }
    }
    assert_eq!(violations, [""; 0]);
}

/// Guards against hosts that send requests to a backend server which a restored store lists as leaving, until the
/// store's versions exceed those from before the restore.
#[tokio::test(start_paused = true)]
async fn a_server_that_leaves_after_a_restore_gets_no_requests() {
    let mut violations = Vec::new();
    for case in &CASES {
        let leave = |fleet: &TestFleet| {
            let leaving = &fleet.backends(StandinKind::Plain)[0];
            fleet.write_state(leaving, "draining");
        };
        let (fleet, last_at) = start_and_restore(case, leave).await;
        let replies = fleet.send_for(CASE_DURATION, REQUEST_INTERVAL, case.hosts, "/again/1").await;
        let arrivals = fleet.backends(StandinKind::Plain)[0].arrivals();
        let late = arrivals.iter().filter(|at| **at > last_at).count();
        let served = replies.iter().filter(|(reply, _took)| reply.is_served()).count();
        if late > 0 || served < replies.len() {
            let (name, sent) = (case.name, replies.len());
            violations.push(format!("{name}: {late} late requests, {served} of {sent} served"));
        }
    }
    assert_eq!(violations, [""; 0]);
}

/// Guards against a load peak on the store when a restore loses the rows of relay hosts.
///
/// Hosts dropped those relays and polled the store themselves until the rows had been written again.
#[tokio::test(start_paused = true)]
async fn hosts_keep_their_relays_when_a_restore_loses_the_host_rows() {
    let fleet = TestFleet::start(24, RestartIdentity::NewId).await;
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
