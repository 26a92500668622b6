//! Prompt parts: which requests are refused after which crashes, for how long, and what other hosts are told.

use std::sync::Arc;
use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_moment::Moment;
use dillspool_suspects::{
    BackendCrash, CopyRefusal, FingerprintInput, FingerprintKey, PartDecision, RequestFingerprint,
    RunProgress, SuspectDecision, SuspectPolicy, SuspectRegistry, SuspectTracker, SuspectUpdate,
};

fn part(name: &str) -> RequestFingerprint {
    RequestFingerprint::of_part(&FingerprintKey::default(), name)
}

fn parts(names: &[&str]) -> Vec<RequestFingerprint> {
    names.iter().map(|name| part(name)).collect()
}

fn request(name: &str) -> RequestFingerprint {
    let input = FingerprintInput { caller: "", host: "", path: name, body: b"" };
    RequestFingerprint::of(&FingerprintKey::default(), &input)
}

fn at(ms: u64) -> Moment {
    Moment::after_origin(Duration::from_hours(48) + Duration::from_millis(ms))
}

/// Something that is recorded, with its time in ms.
#[derive(Clone, Copy)]
enum Event {
    /// A backend server crashed on which runs with these parts were starting.
    Crash(u64, &'static [&'static str]),
    /// An answer began well on these parts.
    Success(u64, &'static [&'static str]),
}

use Event::{Crash, Success};

struct PartCase {
    name: &'static str,
    events: &'static [Event],
    /// When the decision is asked for, in ms.
    asked_at: u64,
    refused: &'static [&'static [&'static str]],
    allowed: &'static [&'static [&'static str]],
}

const THREE: [Event; 3] =
    [Crash(1000, &["first", "bad"]), Crash(2000, &["bad"]), Crash(3000, &["bad", "x"])];

const CASES: [PartCase; 13] = [
    PartCase {
        name: "two crashes",
        events: &[THREE[0], THREE[1]],
        asked_at: 3500,
        refused: &[],
        allowed: &[&["bad"]],
    },
    PartCase {
        name: "three crashes",
        events: &THREE,
        asked_at: 3500,
        refused: &[&["bad"], &["x", "bad"], &["first", "bad"]],
        allowed: &[&["first"], &["x"], &["first", "x"], &[]],
    },
    PartCase {
        name: "the third crash is so recent that reports may be missing",
        events: &THREE,
        asked_at: 3050,
        refused: &[],
        allowed: &[&["bad"]],
    },
    PartCase {
        name: "an answer began well after the first crash",
        events: &[THREE[0], Success(1500, &["bad"]), THREE[1], THREE[2]],
        asked_at: 3500,
        refused: &[],
        allowed: &[&["bad"]],
    },
    PartCase {
        name: "an answer begins well after the refusal",
        events: &[THREE[0], THREE[1], THREE[2], Success(4000, &["bad"])],
        asked_at: 4500,
        refused: &[],
        allowed: &[&["bad"]],
    },
    PartCase {
        name: "crashes at the same moment",
        events: &[
            Crash(1000, &["bad"]),
            Crash(1010, &["bad"]),
            Crash(1020, &["bad"]),
            Crash(2000, &["bad"]),
        ],
        asked_at: 3500,
        refused: &[],
        allowed: &[&["bad"]],
    },
    PartCase {
        name: "a popular part that begins well between the crashes",
        events: &[
            Crash(1000, &["first", "bad"]),
            Success(1400, &["first"]),
            Crash(2000, &["first", "bad"]),
            Success(2400, &["first"]),
            Crash(3000, &["first", "bad"]),
        ],
        asked_at: 3500,
        refused: &[&["first", "bad"], &["bad"]],
        allowed: &[&["first"], &["first", "x"]],
    },
    PartCase {
        name: "two parts in the same crashes",
        events: &[
            Crash(1000, &["first", "bad"]),
            Crash(2000, &["first", "bad"]),
            Crash(3000, &["first", "bad"]),
        ],
        asked_at: 3500,
        refused: &[&["first", "bad"], &["bad", "x", "first"]],
        allowed: &[&["first"], &["bad"], &["first", "x"]],
    },
    PartCase {
        name: "two parts in the same crashes, one of which begins well then",
        events: &[
            Crash(1000, &["first", "bad"]),
            Crash(2000, &["first", "bad"]),
            Crash(3000, &["first", "bad"]),
            Success(3600, &["first"]),
        ],
        asked_at: 4000,
        refused: &[&["first", "bad"], &["bad"]],
        allowed: &[&["first"]],
    },
    PartCase {
        name: "two parts that crash engines behind one first part",
        events: &[
            Crash(1000, &["first", "bad"]),
            Crash(2000, &["first", "worse"]),
            Crash(3000, &["first", "bad"]),
            Crash(4000, &["first", "worse"]),
            Crash(5000, &["first", "bad"]),
        ],
        asked_at: 5500,
        refused: &[&["first", "bad"]],
        allowed: &[&["first", "worse"], &["first"]],
    },
    PartCase {
        name: "a first part that crashes engines, with others by chance",
        events: &[
            Crash(1000, &["bad", "x"]),
            Crash(2000, &["bad", "y"]),
            Crash(3000, &["bad", "z"]),
        ],
        asked_at: 3500,
        refused: &[&["bad", "u"], &["bad", "x"]],
        allowed: &[&["x"], &["y", "z"]],
    },
    PartCase {
        name: "one report of the guilty part is missing",
        events: &[
            Crash(1000, &["first", "bad"]),
            Crash(2000, &["first", "bad"]),
            Crash(3000, &["first"]),
            Crash(4000, &["first", "bad"]),
            Crash(5000, &["first", "bad"]),
            Crash(6000, &["first", "bad"]),
        ],
        asked_at: 6500,
        refused: &[&["first", "bad"]],
        allowed: &[&["x"]],
    },
    PartCase {
        name: "a refusal period that has passed",
        events: &THREE,
        asked_at: 3000 + 30_000,
        refused: &[],
        allowed: &[&["bad"]],
    },
];

fn registry(events: &[Event]) -> SuspectRegistry {
    let mut registry = SuspectRegistry::new(SuspectPolicy::default());
    for (number, event) in events.iter().enumerate() {
        match event {
            Crash(ms, names) => {
                let crash = |fingerprint| BackendCrash {
                    fingerprint,
                    backend: format!("engine {number}").into(),
                    at: at(*ms),
                };
                let crashes: Vec<_> = parts(names).into_iter().map(crash).collect();
                registry.record_crashes(&crashes, at(*ms));
            }
            Success(ms, names) => {
                for part in parts(names) {
                    registry.record_success(part, at(*ms));
                }
            }
        }
    }
    registry
}

#[test]
fn requests_with_a_blamed_part_are_refused() {
    for case in &CASES {
        let mut registry = registry(case.events);
        registry.settle(at(case.asked_at));
        let is_refused = |names: &&&[&str]| {
            let decision = registry.decide_parts(&parts(names), 0.0, at(case.asked_at));
            matches!(decision, PartDecision::Refused(_))
        };
        let allowed: Vec<_> = case.refused.iter().filter(|names| !is_refused(names)).collect();
        assert!(allowed.is_empty(), "{}: {allowed:?} are allowed", case.name);
        let refused: Vec<_> = case.allowed.iter().filter(is_refused).collect();
        assert!(refused.is_empty(), "{}: {refused:?} are refused", case.name);
    }
}

/// A request that broke off beside a part that crashes engines is not the cause, however often that happens.
#[test]
fn crashes_by_a_part_are_not_held_against_whole_requests() {
    let mut registry = SuspectRegistry::new(SuspectPolicy::default());
    for number in 0..6 {
        let crash = |fingerprint| BackendCrash {
            fingerprint,
            backend: format!("engine {number}").into(),
            at: at(1000 * (number + 1)),
        };
        registry.record_crashes(
            &[crash(part("bad")), crash(request("/beside"))],
            at(1000 * (number + 1)),
        );
    }
    registry.settle(at(7000));
    assert_eq!(registry.decide(request("/beside"), at(7000)), SuspectDecision::Clear);
}

#[test]
fn each_failed_trial_lengthens_the_refusal() {
    let crash = |ms| BackendCrash {
        fingerprint: part("bad"),
        backend: format!("engine {ms}").into(),
        at: at(ms),
    };
    let mut registry = registry(&THREE);
    let mut last = 3000;
    for expected_s in [30, 120, 480, 1920] {
        registry.settle(at(last + 1000));
        let period = registry.part_groups()[0].refusal_period;
        assert_eq!(period, Duration::from_secs(expected_s));
        last += expected_s * 1000 + 10;
        registry.record_crash(&crash(last));
    }
}

/// Crashes of many parts take bounded memory, and do not displace a refused one.
#[test]
fn the_number_of_parts_is_bounded() {
    let policy = SuspectPolicy::default();
    let mut registry = registry(&THREE);
    registry.settle(at(3500));
    for number in 0..20_000_u64 {
        registry.record_crash(&BackendCrash {
            fingerprint: part(&format!("part {number}")),
            backend: format!("another {}", number / 8).into(),
            at: at(4000 + number),
        });
    }
    let (watched, refused) = registry.part_counts(at(25_000));
    assert!(watched <= policy.parts.max_parts, "{watched} parts");
    assert_eq!(refused, 1);
    assert_eq!(registry.decide(part("bad"), at(25_000)), SuspectDecision::Refused { ends: 3 });
}

fn tracker() -> SuspectTracker {
    SuspectTracker::new(SuspectPolicy::default(), HostClock::steady())
}

async fn crash_three_times(tracker: &SuspectTracker) {
    for number in 0..3 {
        let backend: Arc<str> = format!("engine {number}").into();
        tracker.record_crash(request(&format!("/{number}")), &[part("bad")], &backend);
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn one_trial_runs_at_a_time_and_its_success_ends_the_refusal() {
    let tracker = tracker();
    crash_three_times(&tracker).await;
    let refused = CopyRefusal::DeadlyPart { part: part("bad"), ends: 3 };
    assert_eq!(tracker.admit_prompt(request("/a"), &parts(&["bad"])).err(), Some(refused));
    assert!(tracker.admit_prompt(request("/a"), &parts(&["x"])).is_ok());
    // The period and its spread over hosts.
    tokio::time::sleep(Duration::from_secs(46)).await;
    let trial = tracker.admit_prompt(request("/a"), &parts(&["bad"])).expect("a trial");
    let beside = tracker.admit_prompt(request("/b"), &parts(&["bad", "x"]));
    assert_eq!(beside.err(), Some(CopyRefusal::CopyRuns { ends: 3 }));
    tracker.record_begun_well(&parts(&["bad"]), Duration::ZERO);
    drop(trial);
    assert!(tracker.admit_prompt(request("/b"), &parts(&["bad"])).is_ok());
    assert_eq!(tracker.part_counts(), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn a_waiting_request_learns_that_its_part_is_refused() {
    let tracker = tracker();
    let waiting = tokio::spawn({
        let tracker = tracker.clone();
        async move { tracker.wait_until_refused(request("/a"), &parts(&["bad"])).await }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!waiting.is_finished());
    crash_three_times(&tracker).await;
    assert!(waiting.is_finished(), "it waits on");
}

#[tokio::test(start_paused = true)]
async fn an_operator_can_allow_a_part() {
    let tracker = tracker();
    crash_three_times(&tracker).await;
    tracker.set_lifted(parts(&["bad"]));
    assert!(tracker.admit_prompt(request("/a"), &parts(&["bad"])).is_ok());
}

/// A host that has seen an answer begin well tells those that know only of the crash before.
#[tokio::test(start_paused = true)]
async fn a_report_that_is_out_of_date_is_answered() {
    let tracker = tracker();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let crashed_at = tracker.now();
    tokio::time::sleep(Duration::from_secs(1)).await;
    tracker.record_begun_well(&parts(&["first"]), Duration::ZERO);
    let crash =
        BackendCrash { fingerprint: part("first"), backend: "engine".into(), at: crashed_at };
    assert!(tracker.apply_update(&SuspectUpdate::Crashed(crash)));
    let updates = tracker.take_updates();
    assert!(
        matches!(updates.front(), Some(SuspectUpdate::Succeeded { fingerprint, .. }) if *fingerprint == part("first")),
        "{updates:?}"
    );
    assert_eq!(tracker.decide(part("first")), SuspectDecision::Clear);
}

#[test]
fn only_a_run_that_has_sent_events_for_a_while_is_underway() {
    let progress = |ms: Option<u64>| RunProgress::since_first_event(ms.map(Duration::from_millis));
    assert_eq!(progress(None), RunProgress::Starting);
    assert_eq!(progress(Some(99)), RunProgress::Starting);
    assert_eq!(progress(Some(100)), RunProgress::Underway);
}

#[test]
fn fingerprints_of_parts_and_requests_are_told_apart() {
    let (part, request) = (part("bad"), request("/bad"));
    assert!(part.is_part());
    assert!(!request.is_part());
    assert_eq!(part.to_string().parse(), Ok(part));
    assert!(part.to_string().starts_with("70617274"), "{part}");
}

/// A host that starts learns all crashes at once from the rows of others, one report of which may be missing.
#[test]
fn crashes_that_are_learnt_at_once_have_the_same_parts_refused() {
    let mut crashes = Vec::new();
    for number in 0..11_u64 {
        let mut crash = |name| {
            crashes.push(BackendCrash {
                fingerprint: part(name),
                backend: format!("engine {number}").into(),
                at: at(1000 * (number + 1)),
            });
        };
        crash("first");
        if number != 5 {
            crash("bad");
        }
    }
    let mut registry = SuspectRegistry::new(SuspectPolicy::default());
    // Rows are read one after the other; here all crashes of one part come first.
    crashes.sort_by_key(|crash| crash.fingerprint);
    for crash in &crashes {
        registry.record_crashes(std::slice::from_ref(crash), at(11_900));
    }
    registry.settle(at(12_000));
    for asked_at in [12_000, 13_000] {
        let is_refused = |names: &[&str]| {
            let decision = registry.decide_parts(&parts(names), 0.0, at(asked_at));
            matches!(decision, PartDecision::Refused(_))
        };
        assert!(is_refused(&["first", "bad"]));
        assert!(!is_refused(&["first", "x"]), "at {asked_at}");
        registry.remove_expired(at(asked_at));
    }
}
