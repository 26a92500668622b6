//! Decisions on copies of a request after given sequences of crashes and successes.

use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_suspects::{
    BackendCrash, CrashedInstance, FingerprintInput, FingerprintKey, RequestFingerprint,
    SuspectDecision, SuspectPolicy, SuspectRegistry,
};

fn fingerprint(name: &str) -> RequestFingerprint {
    let parts = FingerprintInput { caller: name, host: "a.example", path: "/x", body: b"body" };
    RequestFingerprint::of(&FingerprintKey::default(), &parts)
}

fn at(seconds: u64) -> Moment {
    Moment::after_origin(Duration::from_secs(seconds))
}

/// What was observed.
enum Observation {
    /// An engine crashed while running these requests.
    Crash(u64, &'static str, &'static [&'static str]),
    /// A copy succeeded.
    Success(u64, &'static str),
}

use Observation::{Crash, Success};

struct RegistryCase {
    name: &'static str,
    observed: &'static [Observation],
    /// When a copy of request `a` arrives, in seconds.
    arrives_at_s: u64,
    decision: SuspectDecision,
}

const CASES: [RegistryCase; 22] = [
    RegistryCase {
        name: "nothing is known",
        observed: &[],
        arrives_at_s: 1,
        decision: SuspectDecision::Clear,
    },
    RegistryCase {
        name: "crash of another request",
        observed: &[Crash(1, "e1", &["b"])],
        arrives_at_s: 2,
        decision: SuspectDecision::Clear,
    },
    RegistryCase {
        name: "one crash",
        observed: &[Crash(1, "e1", &["a", "b"])],
        arrives_at_s: 2,
        decision: SuspectDecision::Watched { ends: 1 },
    },
    RegistryCase {
        name: "one crash reported by several hosts",
        observed: &[Crash(1, "e1", &["a"]), Crash(2, "e1", &["a"]), Crash(3, "e1", &["a"])],
        arrives_at_s: 4,
        decision: SuspectDecision::Watched { ends: 1 },
    },
    RegistryCase {
        name: "three crashes, with a different concurrent request each time",
        observed: &[
            Crash(1, "e1", &["a", "b"]),
            Crash(2, "e2", &["a", "c"]),
            Crash(3, "e3", &["a", "d"]),
        ],
        arrives_at_s: 4,
        decision: SuspectDecision::Refused { ends: 3 },
    },
    RegistryCase {
        name: "three crashes, with the same concurrent request each time",
        observed: &[
            Crash(1, "e1", &["a", "b"]),
            Crash(2, "e2", &["a", "b"]),
            Crash(3, "e3", &["a", "b"]),
        ],
        arrives_at_s: 4,
        decision: SuspectDecision::Watched { ends: 3 },
    },
    RegistryCase {
        name: "a fourth crash alone tells the two apart",
        observed: &[
            Crash(1, "e1", &["a", "b"]),
            Crash(2, "e2", &["a", "b"]),
            Crash(3, "e3", &["a", "b"]),
            Crash(4, "e4", &["a"]),
        ],
        arrives_at_s: 5,
        decision: SuspectDecision::Refused { ends: 4 },
    },
    RegistryCase {
        name: "a fourth crash of the concurrent request alone",
        observed: &[
            Crash(1, "e1", &["a", "b"]),
            Crash(2, "e2", &["a", "b"]),
            Crash(3, "e3", &["a", "b"]),
            Crash(4, "e4", &["b"]),
        ],
        arrives_at_s: 5,
        decision: SuspectDecision::Watched { ends: 3 },
    },
    RegistryCase {
        name: "two requests that always run together",
        observed: &[
            Crash(1, "e1", &["a", "b"]),
            Crash(2, "e2", &["a", "b"]),
            Crash(3, "e3", &["a", "b"]),
            Crash(4, "e4", &["a", "b"]),
            Crash(5, "e5", &["a", "b"]),
        ],
        arrives_at_s: 6,
        decision: SuspectDecision::Refused { ends: 5 },
    },
    RegistryCase {
        name: "a success between crashes",
        observed: &[
            Crash(1, "e1", &["a"]),
            Crash(2, "e2", &["a"]),
            Success(3, "a"),
            Crash(4, "e4", &["a"]),
        ],
        arrives_at_s: 5,
        decision: SuspectDecision::Watched { ends: 1 },
    },
    RegistryCase {
        name: "a success after the crashes",
        observed: &[Crash(1, "e1", &["a"]), Crash(2, "e2", &["a"]), Success(3, "a")],
        arrives_at_s: 4,
        decision: SuspectDecision::Clear,
    },
    RegistryCase {
        name: "two crashes a quarter of an hour ago",
        observed: &[Crash(1, "e1", &["a"]), Crash(2, "e2", &["a"])],
        arrives_at_s: 2 + 15 * 60,
        decision: SuspectDecision::Clear,
    },
    RegistryCase {
        name: "trial after an hour of refusal",
        observed: &[Crash(1, "e1", &["a"]), Crash(2, "e2", &["a"]), Crash(3, "e3", &["a"])],
        arrives_at_s: 3 + 60 * 60,
        decision: SuspectDecision::Trial { ends: 3 },
    },
    RegistryCase {
        name: "the trial crashed another one",
        observed: &[
            Crash(1, "e1", &["a"]),
            Crash(2, "e2", &["a"]),
            Crash(3, "e3", &["a"]),
            Crash(3603, "e4", &["a"]),
        ],
        arrives_at_s: 3604,
        decision: SuspectDecision::Refused { ends: 4 },
    },
    RegistryCase {
        name: "three crashes, each simultaneous with an unrelated crash",
        observed: &[
            Crash(1, "e1", &["a"]),
            Crash(1, "f1", &["b"]),
            Crash(2, "f2", &["c"]),
            Crash(2, "e2", &["a"]),
            Crash(3, "e3", &["a"]),
            Crash(3, "f3", &["d"]),
        ],
        arrives_at_s: 4,
        decision: SuspectDecision::Watched { ends: 3 },
    },
    RegistryCase {
        name: "three crashes, each simultaneous with a crash of the same other request",
        observed: &[
            Crash(1, "e1", &["a"]),
            Crash(1, "f1", &["b"]),
            Crash(2, "e2", &["a"]),
            Crash(2, "f2", &["b"]),
            Crash(3, "e3", &["a"]),
            Crash(3, "f3", &["b"]),
        ],
        arrives_at_s: 4,
        decision: SuspectDecision::Refused { ends: 3 },
    },
    RegistryCase {
        name: "three simultaneous crashes of copies that arrived at once",
        observed: &[
            Crash(1, "e1", &["a", "b"]),
            Crash(1, "e2", &["a", "c"]),
            Crash(1, "e3", &["a"]),
        ],
        arrives_at_s: 2,
        decision: SuspectDecision::Refused { ends: 3 },
    },
    RegistryCase {
        name: "simultaneous crashes of a popular request that succeeded before",
        observed: &[
            Success(1, "a"),
            Crash(5, "e1", &["a", "b"]),
            Crash(5, "e2", &["a"]),
            Crash(5, "e3", &["a"]),
            Crash(5, "e4", &["a"]),
            Crash(5, "e5", &["a"]),
        ],
        arrives_at_s: 6,
        decision: SuspectDecision::Watched { ends: 1 },
    },
    RegistryCase {
        name: "crashes at three times, although it succeeded before",
        observed: &[
            Success(1, "a"),
            Crash(5, "e1", &["a"]),
            Crash(5, "e2", &["a"]),
            Crash(6, "e3", &["a"]),
            Crash(7, "e4", &["a"]),
        ],
        arrives_at_s: 8,
        decision: SuspectDecision::Refused { ends: 3 },
    },
    RegistryCase {
        name: "simultaneous crashes of copies that never succeeded",
        observed: &[
            Success(1, "b"),
            Crash(5, "e1", &["a"]),
            Crash(5, "e2", &["a"]),
            Crash(5, "e3", &["a"]),
        ],
        arrives_at_s: 6,
        decision: SuspectDecision::Refused { ends: 3 },
    },
    RegistryCase {
        name: "three trials crashed one each: no further trial",
        observed: &THREE_TRIALS,
        arrives_at_s: 10_803 + 60 * 60,
        decision: SuspectDecision::Refused { ends: 6 },
    },
    RegistryCase {
        name: "three trials crashed one each, a day ago",
        observed: &THREE_TRIALS,
        arrives_at_s: 10_803 + 24 * 60 * 60,
        decision: SuspectDecision::Clear,
    },
];

/// A refused request with three failed trials, each an hour after the last crash.
const THREE_TRIALS: [Observation; 6] = [
    Crash(1, "e1", &["a"]),
    Crash(2, "e2", &["a"]),
    Crash(3, "e3", &["a"]),
    Crash(3603, "e4", &["a"]),
    Crash(7203, "e5", &["a"]),
    Crash(10_803, "e6", &["a"]),
];

fn replay(registry: &mut SuspectRegistry, observed: &[Observation]) {
    for observed in observed {
        match observed {
            Crash(seconds, backend, fingerprints) => {
                for name in *fingerprints {
                    let backend = CrashedInstance::from(*backend);
                    let crash =
                        BackendCrash { fingerprint: fingerprint(name), backend, at: at(*seconds) };
                    registry.record_crash(&crash);
                }
            }
            Success(seconds, name) => {
                registry.record_success(fingerprint(name), at(*seconds));
            }
        }
    }
}

#[test]
fn decisions_follow_from_observations() {
    for case in &CASES {
        let mut registry = SuspectRegistry::new(SuspectPolicy::default());
        replay(&mut registry, case.observed);
        assert_eq!(
            registry.decide(fingerprint("a"), at(case.arrives_at_s)),
            case.decision,
            "{}",
            case.name
        );
        registry.remove_expired(at(case.arrives_at_s));
        assert_eq!(
            registry.decide(fingerprint("a"), at(case.arrives_at_s)),
            case.decision,
            "{}, after expired requests were removed",
            case.name
        );
    }
}

#[test]
fn order_of_crash_reports_does_not_matter() {
    for case in
        CASES.iter().filter(|case| !case.observed.iter().any(|it| matches!(it, Success(..))))
    {
        let mut registry = SuspectRegistry::new(SuspectPolicy::default());
        for observed in case.observed.iter().rev() {
            replay(&mut registry, std::slice::from_ref(observed));
        }
        assert_eq!(
            registry.decide(fingerprint("a"), at(case.arrives_at_s)),
            case.decision,
            "{}",
            case.name
        );
    }
}

#[test]
fn full_registry_keeps_requests_with_most_crashes() {
    let policy = SuspectPolicy { max_fingerprints: 64, ..SuspectPolicy::default() };
    let mut registry = SuspectRegistry::new(policy);
    replay(
        &mut registry,
        &[Crash(1, "e1", &["a"]), Crash(2, "e2", &["a"]), Crash(3, "e3", &["a"])],
    );
    for number in 0..10_000_u64 {
        let fingerprint = fingerprint(&number.to_string());
        let backend = CrashedInstance::from(format!("f{}", number / 20));
        registry.record_crash(&BackendCrash { fingerprint, backend, at: at(4 + number / 100) });
    }
    assert_eq!(registry.decide(fingerprint("a"), at(110)), SuspectDecision::Refused { ends: 3 });
    let (watched, refused) = registry.counts(at(110));
    assert!(watched < 64 && refused == 1, "{watched} watched, {refused} refused");
}
