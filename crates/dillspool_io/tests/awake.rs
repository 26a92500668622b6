//! Stalls of a host: it was suspended, or its process stopped, while something waited for it.

use std::time::{Duration, Instant};

use dillspool_cases::ClockJumps;
use dillspool_io::{HostClock, StallDetector};
use tokio_util::sync::CancellationToken;

/// Longest time between two notes that the process runs.
const NOTED_EVERY: Duration = Duration::from_millis(250);

struct StallCase {
    name: &'static str,
    /// Time from the start of the wait to the suspension, and from there to the answer's reading, in ms.
    before_ms: u64,
    suspended_ms: u64,
    after_ms: u64,
    /// Age of what was read, in ms: how long before its reading it may have come.
    age_ms: u64,
}

const CASES: [StallCase; 5] = [
    StallCase { name: "no stall", before_ms: 1000, suspended_ms: 0, after_ms: 1000, age_ms: 0 },
    StallCase {
        name: "read at once after it",
        before_ms: 1000,
        suspended_ms: 5000,
        after_ms: 0,
        age_ms: 5000,
    },
    StallCase {
        name: "read some time after it",
        before_ms: 1000,
        suspended_ms: 5000,
        after_ms: 300,
        age_ms: 5300,
    },
    StallCase {
        name: "suspended at once",
        before_ms: 0,
        suspended_ms: 5000,
        after_ms: 0,
        age_ms: 5000,
    },
    StallCase { name: "a busy host", before_ms: 1000, suspended_ms: 300, after_ms: 0, age_ms: 0 },
];

#[tokio::test(start_paused = true)]
async fn what_waited_through_a_stall_is_as_old_as_its_start() {
    for case in CASES {
        let jumps = ClockJumps::default();
        let watch = StallDetector::start(jumps.clock(), CancellationToken::new());
        tokio::time::sleep(Duration::from_secs(2)).await;
        let since = watch.clock().now();
        tokio::time::sleep(Duration::from_millis(case.before_ms)).await;
        jumps.suspend(Duration::from_millis(case.suspended_ms));
        tokio::time::sleep(Duration::from_millis(case.after_ms)).await;
        let age = watch.clock().since(watch.observed_at(since));
        let least = Duration::from_millis(case.age_ms);
        // A stall begins at the last note before it.
        let most = if least.is_zero() { least } else { least + NOTED_EVERY };
        assert!((least..=most).contains(&age), "{}: {age:?}", case.name);
        // What is waited for from now on is not held against it.
        let since = watch.clock().now();
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(watch.clock().since(watch.observed_at(since)), Duration::ZERO, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_timer_wakes_and_the_clock_decides() {
    let jumps = ClockJumps::default();
    let clock = jumps.clock();
    let deadline = clock.now() + Duration::from_secs(3);
    jumps.suspend(Duration::from_secs(2));
    assert_eq!(clock.until(deadline), Duration::from_secs(1));
    tokio::time::sleep_until(clock.to_instant(deadline)).await;
    assert_eq!(clock.until(deadline), Duration::ZERO);
}

#[test]
fn the_clock_since_boot_goes_on_and_is_cheap() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let _entered = runtime.enter();
    let clock = HostClock::boot();
    let (first, started) = (clock.now(), Instant::now());
    let readings = 100_000;
    let mut last = first;
    for _reading in 0..readings {
        let now = clock.now();
        assert!(now >= last, "it went back from {last:?} to {now:?}");
        last = now;
    }
    println!("{} ns a reading", started.elapsed().as_nanos() / readings);
    assert!(last > first);
}
