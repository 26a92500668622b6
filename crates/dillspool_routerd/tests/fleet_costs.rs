//! What a fleet costs its hosts and the store, as it grows: counted, not timed.
//!
//! Every host held every backend server, and each that started again read all their rows from the store: at 986
//! hosts before 10,000 backend servers a machine that runs them all had 32 GB in use before traffic began. At 200
//! hosts here 409,001 rows left the store when all started again. What a host holds and reads must not grow with
//! the fleet.

mod fleet;

use std::time::Duration;

use dillspool_site_standin::StoreMode;
use fleet::counted::{BACKENDS_A_HOST, CountedFleet, SETTLING, host_config};

/// Time over which a fleet at rest is watched.
const REST: Duration = Duration::from_secs(30);
/// Time for which the store is away, longer than what sources told counts.
const OUTAGE: Duration = Duration::from_secs(9);
/// Time after which hosts have heard of its return from their sources, or asked themselves.
const SETTLED_AGAIN: Duration = Duration::from_secs(10);
/// Longest time until a host that started again with all others knows its backend servers.
const KNOWN_AFTER: Duration = Duration::from_secs(2);

/// The costs of a fleet of one size.
struct FleetCosts {
    /// Backend servers that the middle host holds, and the host that holds most.
    held: usize,
    most_held: usize,
    /// Rows that the store sends at the first start.
    rows_at_start: usize,
    /// Calls to the store while nothing happens.
    calls_at_rest: usize,
    /// Rows that the store sends when it comes back.
    rows_after_outage: usize,
    /// Calls to the store, and rows that it sends, when all hosts start again.
    calls_at_restart: usize,
    rows_at_restart: usize,
}

/// Counts what a fleet costs through a rest, an outage of the store and a restart of all hosts.
async fn costs(mut fleet: CountedFleet) -> FleetCosts {
    let rows_at_start = fleet.store.take_counts().rows;
    tokio::time::sleep(REST).await;
    let calls_at_rest = fleet.store.take_counts().calls;
    fleet.store.set_mode(StoreMode::Busy);
    tokio::time::sleep(OUTAGE).await;
    let _away = fleet.store.take_counts();
    fleet.store.set_mode(StoreMode::Serving);
    tokio::time::sleep(SETTLED_AGAIN).await;
    let rows_after_outage = fleet.store.take_counts().rows;
    fleet.restart().await;
    tokio::time::sleep(KNOWN_AFTER).await;
    let mut held = fleet.held().await;
    held.sort_unstable();
    assert!(held[0] > 0, "all hosts know backend servers {KNOWN_AFTER:?} after they started");
    let restart = fleet.store.take_counts();
    fleet.cancel.cancel();
    FleetCosts {
        held: held[held.len() / 2],
        most_held: held.last().copied().unwrap_or_default(),
        rows_at_start,
        calls_at_rest,
        rows_after_outage,
        calls_at_restart: restart.calls,
        rows_at_restart: restart.rows,
    }
}

struct CostCase {
    hosts: usize,
    /// Backend servers that the middle host holds at most.
    held: usize,
}

/// Backend servers that a host of a large fleet holds at most: some dozens of each service, and enough that each
/// backend server has hosts that send to it.
const MOST_HELD: usize = 450;
/// Hosts that read the whole tables from the store when all start again: roots, and others that take their
/// place.
const WHOLE_READERS: usize = 6;
/// The same at the first start: the seeds, roots, and some that heard of neither in time.
const FIRST_READERS: usize = 8;
/// Calls to the store with which a host finds out, after it has started, from whom it takes the tables.
const CALLS_A_HOST: usize = 3;
/// Rows that it reads for that: six hosts of each failure domain.
const ROWS_A_HOST: usize = 40;
/// Calls of a fleet at rest in that time, however many hosts it has: those of its roots, a question each second and
/// a half for each of three tables, and the lease of orders.
const CALLS_AT_REST: usize = 220;

#[tokio::test(start_paused = true)]
async fn what_a_host_holds_and_reads_does_not_grow_with_the_fleet() {
    let cases = [CostCase { hosts: 30, held: 300 }, CostCase { hosts: 100, held: MOST_HELD }];
    for case in cases {
        let CostCase { hosts, held } = case;
        let costs = costs(CountedFleet::start(hosts).await).await;
        let backends = hosts * BACKENDS_A_HOST;
        println!(
            "hosts={hosts} held={} most_held={} rows_at_start={} calls_at_rest={} rows_after_outage={} calls_at_restart={} rows_at_restart={}",
            costs.held,
            costs.most_held,
            costs.rows_at_start,
            costs.calls_at_rest,
            costs.rows_after_outage,
            costs.calls_at_restart,
            costs.rows_at_restart,
        );
        assert!(costs.held <= held, "{hosts} hosts: the middle one holds {}", costs.held);
        assert_eq!(costs.most_held, backends, "{hosts} hosts: some hold all, for the others");
        let rows = FIRST_READERS * backends;
        assert!(costs.rows_at_start <= rows, "{hosts} hosts: {} rows", costs.rows_at_start);
        assert!(costs.calls_at_rest <= CALLS_AT_REST, "{hosts} hosts: {}", costs.calls_at_rest);
        let rows = WHOLE_READERS * backends + hosts * ROWS_A_HOST;
        assert!(costs.rows_after_outage <= rows, "{hosts} hosts: {}", costs.rows_after_outage);
        assert!(costs.rows_at_restart <= rows, "{hosts} hosts: {} rows", costs.rows_at_restart);
        let calls = WHOLE_READERS * backends.div_ceil(500) + hosts * CALLS_A_HOST;
        assert!(costs.calls_at_restart <= calls, "{hosts} hosts: {} calls", costs.calls_at_restart);
    }
}

/// Time between two changes of other rows in the table of hosts.
const OTHERS_CHANGE: Duration = Duration::from_millis(100);

/// Each change of another row put off the moment at which a host records itself, or had it record itself again.
#[tokio::test(start_paused = true)]
async fn other_rows_kept_hosts_from_recording_themselves_once() {
    const HOSTS: usize = 30;
    let mut fleet = CountedFleet::start(0).await;
    let _before = fleet.store.take_counts();
    let store = fleet.store.clone();
    let others = tokio::spawn(async move {
        for number in 0_u64.. {
            store.write(dillspool_site::OWN_TABLE, "suspects/other", Some(&number.to_string()));
            tokio::time::sleep(OTHERS_CHANGE).await;
        }
    });
    fleet.configs = (0..HOSTS).map(|number| host_config(number, HOSTS)).collect();
    fleet.start_hosts(true).await;
    tokio::time::sleep(SETTLING).await;
    others.abort();
    // Six hosts of each of five failure domains: all of them, and nothing else is written without engines.
    assert_eq!(fleet.store.take_counts().writes, HOSTS);
    fleet.cancel.cancel();
}
