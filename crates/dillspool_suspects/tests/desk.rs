//! Ends of backend servers whose starts nothing tells, and copies that run beside each other.

use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_suspects::{
    CopyRefusal, PrintKey, PrintParts, RequestPrint, SuspectDecision, SuspectDesk, SuspectPolicy,
};

fn print(name: &str) -> RequestPrint {
    let parts = PrintParts { caller: name, host: "", path: "/x", body: b"body" };
    RequestPrint::of(&PrintKey::default(), &parts)
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

fn desk() -> SuspectDesk {
    SuspectDesk::new(SuspectPolicy::default(), HostClock::steady())
}

#[tokio::test(start_paused = true)]
async fn ends_are_told_apart_by_their_moments() {
    for case in &CASES {
        let desk = desk();
        tokio::time::sleep(Duration::from_mins(1)).await;
        for (backend, age_ms) in case.ends {
            desk.note_unnamed_end(print("a"), backend, Duration::from_millis(*age_ms));
        }
        assert_eq!(desk.decide(print("a")), case.decision, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn one_copy_of_a_suspect_runs_at_a_time() {
    let desk = desk();
    tokio::time::sleep(Duration::from_mins(1)).await;
    let first = desk.enter(print("a")).expect("nothing is known of it");
    let second = desk.enter(print("a")).expect("nothing is known of it");
    for (backend, age_ms) in [("one", 4000), ("two", 1000)] {
        desk.note_unnamed_end(print("a"), backend, Duration::from_millis(age_ms));
    }
    let refused = CopyRefusal::CopyRuns { ends: 2 };
    assert_eq!(desk.enter(print("a")).err(), Some(refused));
    drop(first);
    assert_eq!(desk.enter(print("a")).err(), Some(refused));
    drop(second);
    let third = desk.enter(print("a")).expect("it runs alone");
    assert!(desk.enter(print("b")).is_ok(), "another request");
    desk.note_whole(print("a"));
    assert!(desk.enter(print("a")).is_ok(), "it came to a good end");
    drop(third);
}
