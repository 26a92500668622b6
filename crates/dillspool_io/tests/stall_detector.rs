//! Tests of stall detection: the host was suspended, or its process stopped, while data waited to be read.

use std::time::{Duration, Instant};

use dillspool_cases::ClockJumps;
use dillspool_io::{HostClock, StallDetector};
use tokio_util::sync::CancellationToken;

/// Interval of the detector's checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

struct StallCase {
    name: &'static str,
    /// Time from the start of the wait to the suspension.
    before_ms: u64,
    suspended_ms: u64,
    /// Time from the end of the suspension to the read.
    after_ms: u64,
    /// Greatest possible age of the data at the time of the read.
    age_ms: u64,
}

const CASES: [StallCase; 5] = [
    StallCase { name: "no stall", before_ms: 1000, suspended_ms: 0, after_ms: 1000, age_ms: 0 },
    StallCase {
        name: "read immediately after the stall",
        before_ms: 1000,
        suspended_ms: 5000,
        after_ms: 0,
        age_ms: 5000,
    },
    StallCase {
        name: "read some time after the stall",
        before_ms: 1000,
        suspended_ms: 5000,
        after_ms: 300,
        age_ms: 5300,
    },
    StallCase {
        name: "suspended at the start of the wait",
        before_ms: 0,
        suspended_ms: 5000,
        after_ms: 0,
        age_ms: 5000,
    },
    StallCase {
        name: "delay on a busy host",
        before_ms: 1000,
        suspended_ms: 300,
        after_ms: 0,
        age_ms: 0,
    },
];

#[tokio::test(start_paused = true)]
async fn data_read_after_a_stall_dates_from_its_start() {
    for case in CASES {
        let jumps = ClockJumps::default();
        let detector = StallDetector::start(jumps.clock(), CancellationToken::new());
        tokio::time::sleep(Duration::from_secs(2)).await;
        let since = detector.clock().now();
        tokio::time::sleep(Duration::from_millis(case.before_ms)).await;
        jumps.suspend(Duration::from_millis(case.suspended_ms));
        tokio::time::sleep(Duration::from_millis(case.after_ms)).await;
        let age = detector.clock().since(detector.observed_at(since));
        let min_age = Duration::from_millis(case.age_ms);
        // The detector dates the start of a stall to its last check before it.
        let max_age = if min_age.is_zero() { min_age } else { min_age + CHECK_INTERVAL };
        assert!((min_age..=max_age).contains(&age), "{}: {age:?}", case.name);
        // A wait that begins after the stall is not affected by it.
        let since = detector.clock().now();
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(
            detector.clock().since(detector.observed_at(since)),
            Duration::ZERO,
            "{}",
            case.name
        );
    }
}

#[tokio::test(start_paused = true)]
async fn timer_instant_accounts_for_suspended_time() {
    let jumps = ClockJumps::default();
    let clock = jumps.clock();
    let deadline = clock.now() + Duration::from_secs(3);
    jumps.suspend(Duration::from_secs(2));
    assert_eq!(clock.until(deadline), Duration::from_secs(1));
    tokio::time::sleep_until(clock.to_instant(deadline)).await;
    assert_eq!(clock.until(deadline), Duration::ZERO);
}

#[test]
fn boot_clock_is_monotonic() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let _entered = runtime.enter();
    let clock = HostClock::boot();
    let (first, started) = (clock.now(), Instant::now());
    let readings = 100_000;
    let mut last = first;
    for _reading in 0..readings {
        let now = clock.now();
        assert!(now >= last, "the clock went back from {last:?} to {now:?}");
        last = now;
    }
    println!("{} ns per reading", started.elapsed().as_nanos() / readings);
    assert!(last > first);
}
