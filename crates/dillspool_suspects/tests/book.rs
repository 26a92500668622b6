//! What follows from ends, as tables of what was seen before a copy comes.

use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_suspects::{
    BackendCrash, CrashedInstance, FingerprintInput, FingerprintKey, RequestFingerprint,
    SuspectDecision, SuspectPolicy, SuspectRegistry,
};

fn print(name: &str) -> RequestFingerprint {
    let parts = FingerprintInput { caller: name, host: "a.example", path: "/x", body: b"body" };
    RequestFingerprint::of(&FingerprintKey::default(), &parts)
}

fn at(seconds: u64) -> Moment {
    Moment::after_origin(Duration::from_secs(seconds))
}

/// What was seen.
enum Seen {
    /// An engine ended under these requests.
    End(u64, &'static str, &'static [&'static str]),
    /// A copy came to a good end.
    Whole(u64, &'static str),
}

use Seen::{End, Whole};

struct BookCase {
    name: &'static str,
    seen: &'static [Seen],
    /// When a copy of `a` comes, in seconds.
    comes: u64,
    decision: SuspectDecision,
}

const CASES: [BookCase; 22] = [
    BookCase { name: "nothing is known", seen: &[], comes: 1, decision: SuspectDecision::Clear },
    BookCase {
        name: "another request's end",
        seen: &[End(1, "e1", &["b"])],
        comes: 2,
        decision: SuspectDecision::Clear,
    },
    BookCase {
        name: "one end",
        seen: &[End(1, "e1", &["a", "b"])],
        comes: 2,
        decision: SuspectDecision::Watched { ends: 1 },
    },
    BookCase {
        name: "one end told by several hosts",
        seen: &[End(1, "e1", &["a"]), End(2, "e1", &["a"]), End(3, "e1", &["a"])],
        comes: 4,
        decision: SuspectDecision::Watched { ends: 1 },
    },
    BookCase {
        name: "three ends, others beside it each time",
        seen: &[End(1, "e1", &["a", "b"]), End(2, "e2", &["a", "c"]), End(3, "e3", &["a", "d"])],
        comes: 4,
        decision: SuspectDecision::Refused { ends: 3 },
    },
    BookCase {
        name: "three ends, all of which another one may have caused",
        seen: &[End(1, "e1", &["a", "b"]), End(2, "e2", &["a", "b"]), End(3, "e3", &["a", "b"])],
        comes: 4,
        decision: SuspectDecision::Watched { ends: 3 },
    },
    BookCase {
        name: "a fourth end alone tells the two apart",
        seen: &[
            End(1, "e1", &["a", "b"]),
            End(2, "e2", &["a", "b"]),
            End(3, "e3", &["a", "b"]),
            End(4, "e4", &["a"]),
        ],
        comes: 5,
        decision: SuspectDecision::Refused { ends: 4 },
    },
    BookCase {
        name: "the other one of the two",
        seen: &[
            End(1, "e1", &["a", "b"]),
            End(2, "e2", &["a", "b"]),
            End(3, "e3", &["a", "b"]),
            End(4, "e4", &["b"]),
        ],
        comes: 5,
        decision: SuspectDecision::Watched { ends: 3 },
    },
    BookCase {
        name: "two that always travel together",
        seen: &[
            End(1, "e1", &["a", "b"]),
            End(2, "e2", &["a", "b"]),
            End(3, "e3", &["a", "b"]),
            End(4, "e4", &["a", "b"]),
            End(5, "e5", &["a", "b"]),
        ],
        comes: 6,
        decision: SuspectDecision::Refused { ends: 5 },
    },
    BookCase {
        name: "a good end between them",
        seen: &[End(1, "e1", &["a"]), End(2, "e2", &["a"]), Whole(3, "a"), End(4, "e4", &["a"])],
        comes: 5,
        decision: SuspectDecision::Watched { ends: 1 },
    },
    BookCase {
        name: "a good end last",
        seen: &[End(1, "e1", &["a"]), End(2, "e2", &["a"]), Whole(3, "a")],
        comes: 4,
        decision: SuspectDecision::Clear,
    },
    BookCase {
        name: "two ends a quarter of an hour ago",
        seen: &[End(1, "e1", &["a"]), End(2, "e2", &["a"])],
        comes: 2 + 15 * 60,
        decision: SuspectDecision::Clear,
    },
    BookCase {
        name: "refused for an hour, then tried",
        seen: &[End(1, "e1", &["a"]), End(2, "e2", &["a"]), End(3, "e3", &["a"])],
        comes: 3 + 60 * 60,
        decision: SuspectDecision::Trial { ends: 3 },
    },
    BookCase {
        name: "the trial ended another one",
        seen: &[
            End(1, "e1", &["a"]),
            End(2, "e2", &["a"]),
            End(3, "e3", &["a"]),
            End(3603, "e4", &["a"]),
        ],
        comes: 3604,
        decision: SuspectDecision::Refused { ends: 4 },
    },
    BookCase {
        name: "three ends, each while others ended without it",
        seen: &[
            End(1, "e1", &["a"]),
            End(1, "f1", &["b"]),
            End(2, "f2", &["c"]),
            End(2, "e2", &["a"]),
            End(3, "e3", &["a"]),
            End(3, "f3", &["d"]),
        ],
        comes: 4,
        decision: SuspectDecision::Watched { ends: 3 },
    },
    BookCase {
        name: "three ends, each while another one ended what ran it",
        seen: &[
            End(1, "e1", &["a"]),
            End(1, "f1", &["b"]),
            End(2, "e2", &["a"]),
            End(2, "f2", &["b"]),
            End(3, "e3", &["a"]),
            End(3, "f3", &["b"]),
        ],
        comes: 4,
        decision: SuspectDecision::Refused { ends: 3 },
    },
    BookCase {
        name: "three ends at one moment, of copies that came at once",
        seen: &[End(1, "e1", &["a", "b"]), End(1, "e2", &["a", "c"]), End(1, "e3", &["a"])],
        comes: 2,
        decision: SuspectDecision::Refused { ends: 3 },
    },
    BookCase {
        name: "ends of one moment, of what many ask alike and was answered before",
        seen: &[
            Whole(1, "a"),
            End(5, "e1", &["a", "b"]),
            End(5, "e2", &["a"]),
            End(5, "e3", &["a"]),
            End(5, "e4", &["a"]),
            End(5, "e5", &["a"]),
        ],
        comes: 6,
        decision: SuspectDecision::Watched { ends: 1 },
    },
    BookCase {
        name: "ends of three moments, though it was answered before",
        seen: &[
            Whole(1, "a"),
            End(5, "e1", &["a"]),
            End(5, "e2", &["a"]),
            End(6, "e3", &["a"]),
            End(7, "e4", &["a"]),
        ],
        comes: 8,
        decision: SuspectDecision::Refused { ends: 3 },
    },
    BookCase {
        name: "ends of one moment, of copies that were never answered",
        seen: &[Whole(1, "b"), End(5, "e1", &["a"]), End(5, "e2", &["a"]), End(5, "e3", &["a"])],
        comes: 6,
        decision: SuspectDecision::Refused { ends: 3 },
    },
    BookCase {
        name: "three trials ended one each, and no more is tried",
        seen: &THREE_TRIALS,
        comes: 10_803 + 60 * 60,
        decision: SuspectDecision::Refused { ends: 6 },
    },
    BookCase {
        name: "three trials ended one each, a day ago",
        seen: &THREE_TRIALS,
        comes: 10_803 + 24 * 60 * 60,
        decision: SuspectDecision::Clear,
    },
];

/// A refused request whose copies were tried an hour after its last end each time.
const THREE_TRIALS: [Seen; 6] = [
    End(1, "e1", &["a"]),
    End(2, "e2", &["a"]),
    End(3, "e3", &["a"]),
    End(3603, "e4", &["a"]),
    End(7203, "e5", &["a"]),
    End(10_803, "e6", &["a"]),
];

fn play(book: &mut SuspectRegistry, seen: &[Seen]) {
    for seen in seen {
        match seen {
            End(seconds, backend, prints) => {
                for name in *prints {
                    let backend = CrashedInstance::from(*backend);
                    let end = BackendCrash { fingerprint: print(name), backend, at: at(*seconds) };
                    book.record_crash(&end);
                }
            }
            Whole(seconds, name) => {
                book.record_success(print(name), at(*seconds));
            }
        }
    }
}

#[test]
fn copies_are_decided_on_by_what_was_seen() {
    for case in &CASES {
        let mut book = SuspectRegistry::new(SuspectPolicy::default());
        play(&mut book, case.seen);
        assert_eq!(book.decide(print("a"), at(case.comes)), case.decision, "{}", case.name);
        book.remove_expired(at(case.comes));
        assert_eq!(
            book.decide(print("a"), at(case.comes)),
            case.decision,
            "{}, after others were forgotten",
            case.name
        );
    }
}

#[test]
fn the_order_in_which_rows_tell_ends_does_not_matter() {
    for case in CASES.iter().filter(|case| !case.seen.iter().any(|it| matches!(it, Whole(..)))) {
        let mut book = SuspectRegistry::new(SuspectPolicy::default());
        for seen in case.seen.iter().rev() {
            play(&mut book, std::slice::from_ref(seen));
        }
        assert_eq!(book.decide(print("a"), at(case.comes)), case.decision, "{}", case.name);
    }
}

#[test]
fn a_full_book_keeps_those_with_most_ends() {
    let policy = SuspectPolicy { max_fingerprints: 64, ..SuspectPolicy::default() };
    let mut book = SuspectRegistry::new(policy);
    play(&mut book, &[End(1, "e1", &["a"]), End(2, "e2", &["a"]), End(3, "e3", &["a"])]);
    for number in 0..10_000_u64 {
        let print = print(&number.to_string());
        let backend = CrashedInstance::from(format!("f{}", number / 20));
        book.record_crash(&BackendCrash { fingerprint: print, backend, at: at(4 + number / 100) });
    }
    assert_eq!(book.decide(print("a"), at(110)), SuspectDecision::Refused { ends: 3 });
    let (watched, refused) = book.counts(at(110));
    assert!(watched < 64 && refused == 1, "{watched} watched, {refused} refused");
}
