//! Ends of backend servers whose starts nothing tells, and copies that run beside each other.

use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_suspects::{
    CopyRefusal, FingerprintInput, FingerprintKey, RequestFingerprint, SuspectDecision,
    SuspectPolicy, SuspectTracker,
};

fn print(name: &str) -> RequestFingerprint {
    let parts = FingerprintInput { caller: name, host: "", path: "/x", body: b"body" };
    RequestFingerprint::of(&FingerprintKey::default(), &parts)
}

struct UnnamedCase {
    name: &'static str,
    /// Backend servers and how long ago they ended, in milliseconds, as they are told.
    ends: &'static [(&'static str, u64)],
    decision: SuspectDecision,
}

const CASES: [UnnamedCase; 5] = [
    UnnamedCase {
        name: "one end, told by three hosts",
        ends: &[("one", 5000), ("one", 4990), ("one", 5300)],
        decision: SuspectDecision::Watched { ends: 1 },
    },
    UnnamedCase {
        name: "three ends of one backend server",
        ends: &[("one", 9000), ("one", 6000), ("one", 3000)],
        decision: SuspectDecision::Refused { ends: 3 },
    },
    UnnamedCase {
        name: "the same, told again to a new scheduler",
        ends: &[("one", 9000), ("one", 6000), ("one", 9010), ("one", 6010)],
        decision: SuspectDecision::Watched { ends: 2 },
    },
    UnnamedCase {
        name: "three backend servers, the newest first",
        ends: &[("three", 1000), ("two", 4000), ("one", 7000)],
        decision: SuspectDecision::Refused { ends: 3 },
    },
    UnnamedCase { name: "nothing", ends: &[], decision: SuspectDecision::Clear },
];

fn desk() -> SuspectTracker {
    SuspectTracker::new(SuspectPolicy::default(), HostClock::steady())
}

#[tokio::test(start_paused = true)]
async fn ends_are_told_apart_by_their_moments() {
    for case in &CASES {
        let desk = desk();
        tokio::time::sleep(Duration::from_mins(1)).await;
        for (backend, age_ms) in case.ends {
            desk.record_unidentified_crash(print("a"), backend, Duration::from_millis(*age_ms));
        }
        assert_eq!(desk.decide(print("a")), case.decision, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn one_copy_of_a_suspect_runs_at_a_time() {
    let desk = desk();
    tokio::time::sleep(Duration::from_mins(1)).await;
    let first = desk.admit(print("a")).expect("nothing is known of it");
    let second = desk.admit(print("a")).expect("nothing is known of it");
    for (backend, age_ms) in [("one", 4000), ("two", 1000)] {
        desk.record_unidentified_crash(print("a"), backend, Duration::from_millis(age_ms));
    }
    let refused = CopyRefusal::CopyRuns { ends: 2 };
    assert_eq!(desk.admit(print("a")).err(), Some(refused));
    drop(first);
    assert_eq!(desk.admit(print("a")).err(), Some(refused));
    drop(second);
    let third = desk.admit(print("a")).expect("it runs alone");
    assert!(desk.admit(print("b")).is_ok(), "another request");
    desk.record_success(print("a"));
    assert!(desk.admit(print("a")).is_ok(), "it came to a good end");
    drop(third);
}
