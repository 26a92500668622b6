//! Counts what fleets of different sizes cost their hosts and the store.
//!
//! Guards against costs per host that grow with the fleet. When every host held every backend server and read all
//! rows at each restart, a machine that ran 986 hosts with 10,000 backend servers used 32 GB before any traffic,
//! and a restart of 200 hosts in this test read 409,001 rows from the store.

mod fleet;

use std::time::Duration;

use dillspool_site_standin::StoreMode;
use fleet::counted::{BACKENDS_PER_HOST, CountedFleet, SETTLE_TIME, host_config};

/// Time for which an idle fleet is observed.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// Duration of the store outage; longer than hosts rely on data from their sources.
const OUTAGE_TIME: Duration = Duration::from_secs(9);
/// Time in which hosts learn from their sources, or by a poll, that the store has recovered.
const RECOVERY_TIME: Duration = Duration::from_secs(10);
/// Longest time until a host knows its backend servers after a restart of all hosts.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// The costs of a fleet of one size.
struct FleetCosts {
    /// Median number of backend servers that a host holds.
    held: usize,
    /// Largest number of backend servers that a host holds.
    max_held: usize,
    /// Rows that the store sends at the first start.
    rows_at_start: usize,
    /// Calls to the store while the fleet is idle.
    calls_at_rest: usize,
    /// Rows that the store sends after an outage.
    rows_after_outage: usize,
    /// Calls to the store when all hosts restart.
    calls_at_restart: usize,
    /// Rows that the store sends when all hosts restart.
    rows_at_restart: usize,
}

/// Counts the costs of a fleet while idle, after a store outage and at a restart of all hosts.
async fn costs(mut fleet: CountedFleet) -> FleetCosts {
    let rows_at_start = fleet.store.take_counts().rows;
    tokio::time::sleep(IDLE_TIME).await;
    let calls_at_rest = fleet.store.take_counts().calls;
    fleet.store.set_mode(StoreMode::Busy);
    tokio::time::sleep(OUTAGE_TIME).await;
    let _away = fleet.store.take_counts();
    fleet.store.set_mode(StoreMode::Serving);
    tokio::time::sleep(RECOVERY_TIME).await;
    let rows_after_outage = fleet.store.take_counts().rows;
    fleet.restart().await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    let mut held = fleet.held().await;
    held.sort_unstable();
    assert!(
        held[0] > 0,
        "some hosts know no backend server {PROPAGATION_TIME:?} after the restart"
    );
    let restart = fleet.store.take_counts();
    fleet.cancel.cancel();
    FleetCosts {
        held: held[held.len() / 2],
        max_held: held.last().copied().unwrap_or_default(),
        rows_at_start,
        calls_at_rest,
        rows_after_outage,
        calls_at_restart: restart.calls,
        rows_at_restart: restart.rows,
    }
}

struct CostCase {
    hosts: usize,
    /// Largest allowed median of backend servers held.
    held: usize,
}

/// Largest allowed median of backend servers held in a large fleet.
///
/// It allows some dozens for each service, and enough that every backend server is held by some hosts.
const MAX_HELD: usize = 450;
/// Hosts that may read full tables when all hosts restart: relay roots and hosts that replace one.
const FULL_TABLE_READERS: usize = 6;
/// The same at the first start: seeds, relay roots and hosts that discover neither in time.
const FIRST_START_READERS: usize = 8;
/// Calls to the store with which a host finds its sources after a start.
const CALLS_PER_HOST: usize = 3;
/// Rows that a host reads to find its sources: six hosts of each failure domain.
const ROWS_PER_HOST: usize = 40;
/// Calls to the store in [`IDLE_TIME`], independent of the number of hosts.
///
/// They are a poll of each of three tables by the relay roots every 1.5 seconds, and the renewals of the order
/// lease.
const CALLS_AT_REST: usize = 220;

#[tokio::test(start_paused = true)]
async fn what_a_host_holds_and_reads_does_not_grow_with_the_fleet() {
    let cases = [CostCase { hosts: 30, held: 300 }, CostCase { hosts: 100, held: MAX_HELD }];
    for case in cases {
        let CostCase { hosts, held } = case;
        let costs = costs(CountedFleet::start(hosts).await).await;
        let backends = hosts * BACKENDS_PER_HOST;
        println!(
            "hosts={hosts} held={} most_held={} rows_at_start={} calls_at_rest={} rows_after_outage={} calls_at_restart={} rows_at_restart={}",
            costs.held,
            costs.max_held,
            costs.rows_at_start,
            costs.calls_at_rest,
            costs.rows_after_outage,
            costs.calls_at_restart,
            costs.rows_at_restart,
        );
        assert!(costs.held <= held, "{hosts} hosts: the median host holds {}", costs.held);
        assert_eq!(
            costs.max_held, backends,
            "{hosts} hosts: some hosts hold all backend servers on behalf of the others"
        );
        let rows = FIRST_START_READERS * backends;
        assert!(costs.rows_at_start <= rows, "{hosts} hosts: {} rows", costs.rows_at_start);
        assert!(costs.calls_at_rest <= CALLS_AT_REST, "{hosts} hosts: {}", costs.calls_at_rest);
        let rows = FULL_TABLE_READERS * backends + hosts * ROWS_PER_HOST;
        assert!(costs.rows_after_outage <= rows, "{hosts} hosts: {}", costs.rows_after_outage);
        assert!(costs.rows_at_restart <= rows, "{hosts} hosts: {} rows", costs.rows_at_restart);
        let calls = FULL_TABLE_READERS * backends.div_ceil(500) + hosts * CALLS_PER_HOST;
        assert!(costs.calls_at_restart <= calls, "{hosts} hosts: {} calls", costs.calls_at_restart);
    }
}

/// Interval between changes of unrelated rows in the table of hosts.
const OTHER_ROW_INTERVAL: Duration = Duration::from_millis(100);

/// Guards against unrelated row changes that delay a host's registration or make it register again.
#[tokio::test(start_paused = true)]
async fn hosts_register_once_while_other_rows_change() {
    const HOSTS: usize = 30;
    let mut fleet = CountedFleet::start(0).await;
    let _before = fleet.store.take_counts();
    let store = fleet.store.clone();
    let others = tokio::spawn(async move {
        for number in 0_u64.. {
            store.write(dillspool_site::OWN_TABLE, "suspects/other", Some(&number.to_string()));
            tokio::time::sleep(OTHER_ROW_INTERVAL).await;
        }
    });
    fleet.configs = (0..HOSTS).map(|number| host_config(number, HOSTS)).collect();
    fleet.start_hosts(true).await;
    tokio::time::sleep(SETTLE_TIME).await;
    others.abort();
    // Six hosts in each of five failure domains all register; without engines nothing else is written.
    assert_eq!(fleet.store.take_counts().writes, HOSTS);
    fleet.cancel.cancel();
}
