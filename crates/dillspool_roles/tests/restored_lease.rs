//! The lease row is restored from a copy: terms that it no longer shows still count.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_platform::MemoryTable;
use dillspool_roles::{OrderLease, OrderTerm};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

/// Minimum time between the orders of two holders.
const HANDOVER_GAP: Duration = Duration::from_secs(3);

fn lease(table: &MemoryTable, host: &str) -> OrderLease {
    OrderLease::new(table.store(), host.into(), HANDOVER_GAP, HostClock::steady())
}

async fn acquire(lease: &OrderLease) -> Option<OrderTerm> {
    lease.acquire(&[], &BTreeMap::new(), 1).await.ok().flatten()
}

struct RestoredCase {
    name: &'static str,
    /// Hosts that acquire a term each before the copy,
    before: &'static [&'static str],
    /// and between the copy and the restore.
    lost: &'static [&'static str],
    /// The host that acquires the next term.
    next: &'static str,
}

const CASES: [RestoredCase; 5] = [
    RestoredCase { name: "the row is lost", before: &[], lost: &["a"], next: "b" },
    RestoredCase { name: "the next one had it before", before: &["b"], lost: &["a"], next: "b" },
    RestoredCase { name: "a third one had it before", before: &["c"], lost: &["a"], next: "b" },
    RestoredCase { name: "the holder goes on", before: &["a"], lost: &["a"], next: "a" },
    RestoredCase { name: "nothing is lost", before: &["a"], lost: &[], next: "b" },
];

struct RestoredLease {
    /// Newest term before the restore.
    last: OrderTerm,
    next: OrderTerm,
    /// Time between the two.
    waited: Duration,
}

async fn run_case(case: &RestoredCase) -> RestoredLease {
    let table = MemoryTable::new();
    let mut leases = BTreeMap::new();
    for host in ["a", "b", "c"] {
        let lease = lease(&table, host);
        lease.read().await.expect("an answer");
        leases.insert(host, lease);
    }
    let mut last = None;
    for host in case.before {
        last = acquire(&leases[host]).await;
    }
    let copy = table.snapshot();
    for host in case.lost {
        last = acquire(&leases[host]).await;
    }
    let taken_at = Instant::now();
    table.restore(&copy);
    let next = acquire(&leases[case.next]).await.expect("nobody else wants it");
    RestoredLease { last: last.expect("a term"), next, waited: taken_at.elapsed() }
}

/// Guards against a fencing token that is given out again because its row was lost in a restore.
#[tokio::test(start_paused = true)]
async fn a_restored_store_gives_no_fence_to_two_terms() {
    for case in &CASES {
        let RestoredLease { last, next, .. } = run_case(case).await;
        assert!(next.fence > last.fence, "{}: {} after {}", case.name, next.fence, last.fence);
    }
}

/// Guards against a host that finds no row, or its own older one, and sends orders while the last
/// holder's term is still valid.
#[tokio::test(start_paused = true)]
async fn a_restored_store_lets_no_two_holders_send_orders() {
    for case in CASES.iter().filter(|case| case.lost != [case.next]) {
        let RestoredLease { waited, .. } = run_case(case).await;
        assert!(waited >= 2 * HANDOVER_GAP, "{}: after {waited:?}", case.name);
    }
}

/// Terms of three hosts under a seed, with restores from copies at random times.
async fn run_seed(seed: u64) -> Vec<(Instant, &'static str, u64)> {
    let table = MemoryTable::new();
    let terms = Arc::new(Mutex::new(Vec::new()));
    let hosts = ["a", "b", "c"].map(|host| {
        let (lease, terms) = (lease(&table, host), Arc::clone(&terms));
        let mut random = SmallRng::seed_from_u64(seed * 8 + u64::from(host.as_bytes()[0]));
        tokio::spawn(async move {
            for _round in 0..12 {
                tokio::time::sleep(Duration::from_millis(random.random_range(1..9_000))).await;
                if let Some(term) = acquire(&lease).await {
                    let term = (Instant::now(), host, term.fence);
                    terms.lock().expect("no panic").push(term);
                }
            }
        })
    });
    let mut random = SmallRng::seed_from_u64(seed);
    let restores = async {
        for _round in 0..6 {
            let mut pause = || Duration::from_millis(random.random_range(1..7_000));
            let (interval, age) = (pause(), pause());
            tokio::time::sleep(interval).await;
            let copy = table.snapshot();
            tokio::time::sleep(age).await;
            table.restore(&copy);
        }
    };
    restores.await;
    for host in hosts {
        host.await.expect("no panic");
    }
    let mut terms = terms.lock().expect("no panic").clone();
    terms.sort_unstable();
    terms
}

#[tokio::test(start_paused = true)]
async fn fences_increase_and_holders_keep_the_handover_gap_whenever_the_store_is_restored() {
    let mut faults = Vec::new();
    let mut taken = 0;
    for seed in 0..200 {
        let terms = run_seed(seed).await;
        taken += terms.len();
        for pair in terms.windows(2) {
            let [(before, one, fence), (after, other, next)] = pair else { continue };
            if next <= fence {
                faults.push(format!("seed {seed}: fence {next} of {other} after {fence} of {one}"));
            }
            if one != other && *after - *before < HANDOVER_GAP {
                faults.push(format!("seed {seed}: {other} {:?} after {one}", *after - *before));
            }
        }
    }
    assert!(taken > 400, "only {taken} terms");
    assert_eq!(faults, [""; 0]);
}
