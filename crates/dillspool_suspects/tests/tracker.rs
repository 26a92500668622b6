//! Crashes of backend servers whose start time is unknown, and concurrent copies of a request.

use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_suspects::{
    CopyRefusal, FingerprintInput, FingerprintKey, RequestFingerprint, SuspectDecision,
    SuspectPolicy, SuspectTracker,
};

fn fingerprint(name: &str) -> RequestFingerprint {
    let parts = FingerprintInput { caller: name, host: "", path: "/x", body: b"body" };
    RequestFingerprint::of(&FingerprintKey::default(), &parts)
}

struct UnidentifiedCase {
    name: &'static str,
    /// Backend servers and how long ago they crashed, in milliseconds, in the order of the reports.
    crashes: &'static [(&'static str, u64)],
    decision: SuspectDecision,
}

const CASES: [UnidentifiedCase; 5] = [
    UnidentifiedCase {
        name: "one crash reported by three hosts",
        crashes: &[("one", 5000), ("one", 4990), ("one", 5300)],
        decision: SuspectDecision::Watched { ends: 1 },
    },
    UnidentifiedCase {
        name: "three crashes of one backend server",
        crashes: &[("one", 9000), ("one", 6000), ("one", 3000)],
        decision: SuspectDecision::Refused { ends: 3 },
    },
    UnidentifiedCase {
        name: "two crashes, reported again to a new scheduler",
        crashes: &[("one", 9000), ("one", 6000), ("one", 9010), ("one", 6010)],
        decision: SuspectDecision::Watched { ends: 2 },
    },
    UnidentifiedCase {
        name: "three backend servers, newest crash first",
        crashes: &[("three", 1000), ("two", 4000), ("one", 7000)],
        decision: SuspectDecision::Refused { ends: 3 },
    },
    UnidentifiedCase { name: "no crash", crashes: &[], decision: SuspectDecision::Clear },
];

fn tracker() -> SuspectTracker {
    SuspectTracker::new(SuspectPolicy::default(), HostClock::steady())
}

#[tokio::test(start_paused = true)]
async fn crashes_are_told_apart_by_their_times() {
    for case in &CASES {
        let tracker = tracker();
        tokio::time::sleep(Duration::from_mins(1)).await;
        for (backend, age_ms) in case.crashes {
            tracker.record_unidentified_crash(
                fingerprint("a"),
                backend,
                Duration::from_millis(*age_ms),
            );
        }
        assert_eq!(tracker.decide(fingerprint("a")), case.decision, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn only_one_copy_of_a_suspect_runs_at_a_time() {
    let tracker = tracker();
    tokio::time::sleep(Duration::from_mins(1)).await;
    let first = tracker.admit(fingerprint("a")).expect("no crash is recorded");
    let second = tracker.admit(fingerprint("a")).expect("no crash is recorded");
    for (backend, age_ms) in [("one", 4000), ("two", 1000)] {
        tracker.record_unidentified_crash(fingerprint("a"), backend, Duration::from_millis(age_ms));
    }
    let refused = CopyRefusal::CopyRuns { ends: 2 };
    assert_eq!(tracker.admit(fingerprint("a")).err(), Some(refused));
    drop(first);
    assert_eq!(tracker.admit(fingerprint("a")).err(), Some(refused));
    drop(second);
    let third = tracker.admit(fingerprint("a")).expect("no other copy is running");
    assert!(tracker.admit(fingerprint("b")).is_ok(), "another request");
    tracker.record_success(fingerprint("a"));
    assert!(tracker.admit(fingerprint("a")).is_ok(), "it succeeded");
    drop(third);
}
