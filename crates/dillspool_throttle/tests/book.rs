//! What is remembered of backend servers that name how much they take, and what follows for a send.

use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, BackendStart, DirectoryView};
use dillspool_throttle::{
    NoticeChange, RateNotice, RequestRate, SendDecision, ThrottleRegistry, ThrottleUpdate,
};

fn at(ms: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(100_000 + ms))
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::new(per_s).expect("a rate")
}

fn limited(per_s: f64) -> RateNotice {
    RateNotice::Limited(rate(per_s))
}

fn backend(start: u64) -> BackendInstance {
    BackendInstance { id: "i-1".into(), start: Some(BackendStart(start)) }
}

/// The rate that a send is asked for with; `None` where it is free.
fn kept(book: &mut ThrottleRegistry, backend: &BackendInstance, now: Moment) -> Option<f64> {
    match book.decide(backend, 1.0, now) {
        SendDecision::Unlimited => None,
        SendDecision::NeedsGrant(spend) => Some(spend.rate.per_s),
        SendDecision::Blocked { until } => panic!("closed until {until:?}"),
    }
}

/// Something that tells of a backend server.
#[derive(Clone, Copy)]
enum Word {
    /// An answer of now to something that was sent at a moment, in ms.
    Answer { sent: u64, names: Option<f64> },
    /// Another host's word of a moment.
    Told { at: u64, names: Option<f64> },
}

use Word::{Answer, Told};

struct WordCase {
    name: &'static str,
    /// Words by the moment at which they come, in ms.
    words: &'static [(u64, Word)],
    /// What holds at 1,000 ms.
    kept: Option<f64>,
}

const CASES: [WordCase; 13] = [
    WordCase { name: "nothing", words: &[], kept: None },
    WordCase {
        name: "an answer that names none",
        words: &[(10, Answer { sent: 0, names: None })],
        kept: None,
    },
    WordCase {
        name: "one that names a limit",
        words: &[(10, Answer { sent: 0, names: Some(5.0) })],
        kept: Some(5.0),
    },
    WordCase {
        name: "another one",
        words: &[
            (10, Answer { sent: 0, names: Some(5.0) }),
            (20, Answer { sent: 0, names: Some(2.0) }),
        ],
        kept: Some(2.0),
    },
    WordCase {
        name: "an answer to something older than the limit",
        words: &[(10, Answer { sent: 0, names: Some(5.0) }), (20, Answer { sent: 5, names: None })],
        kept: Some(5.0),
    },
    WordCase {
        name: "what is over for half a second is kept to twice over",
        words: &[
            (10, Answer { sent: 0, names: Some(5.0) }),
            (500, Answer { sent: 400, names: None }),
        ],
        kept: Some(10.0),
    },
    WordCase {
        name: "what is over and named again",
        words: &[
            (10, Answer { sent: 0, names: Some(5.0) }),
            (300, Answer { sent: 200, names: None }),
            (400, Answer { sent: 350, names: Some(5.0) }),
        ],
        kept: Some(5.0),
    },
    WordCase {
        name: "a host's word",
        words: &[(10, Told { at: 5, names: Some(5.0) })],
        kept: Some(5.0),
    },
    WordCase {
        name: "a host's older word",
        words: &[
            (10, Answer { sent: 0, names: Some(5.0) }),
            (20, Told { at: 9, names: Some(7.0) }),
        ],
        kept: Some(5.0),
    },
    WordCase {
        name: "a host's newer word",
        words: &[
            (10, Answer { sent: 0, names: Some(5.0) }),
            (30, Told { at: 20, names: Some(7.0) }),
        ],
        kept: Some(7.0),
    },
    WordCase {
        name: "a host's older word that it is over",
        words: &[(10, Answer { sent: 0, names: Some(5.0) }), (20, Told { at: 9, names: None })],
        kept: Some(5.0),
    },
    WordCase {
        name: "a host's newer word that it is over",
        words: &[(10, Answer { sent: 0, names: Some(5.0) }), (510, Told { at: 500, names: None })],
        kept: Some(10.0),
    },
    WordCase {
        name: "nothing is taken, but tried now and then",
        words: &[(10, Answer { sent: 0, names: Some(0.0) })],
        kept: Some(0.1),
    },
];

#[test]
fn the_newest_word_holds() {
    for case in &CASES {
        let mut book = ThrottleRegistry::default();
        for (now, word) in case.words {
            match *word {
                Answer { sent, names } => {
                    let notice = names.map_or(RateNotice::Unlimited, limited);
                    book.record_response(&backend(1), at(sent), notice, at(*now));
                }
                Told { at: told, names } => {
                    let news =
                        ThrottleUpdate { backend: backend(1), rate: names.map(rate), at: at(told) };
                    book.apply_update(&news, at(*now));
                }
            }
        }
        let kept = kept(&mut book, &backend(1), at(1_000));
        assert_eq!(kept.map(f64::round), case.kept.map(f64::round), "{}: {kept:?}", case.name);
        // What one start named does not bind the next.
        assert_eq!(
            book.decide(&backend(2), 1.0, at(1_000)),
            SendDecision::Unlimited,
            "{}",
            case.name
        );
    }
}

struct ToldCase {
    name: &'static str,
    per_s: f64,
    is_told: bool,
}

#[test]
fn a_rate_that_drifts_is_told_when_it_has_changed() {
    let cases = [
        ToldCase { name: "the same", per_s: 10.0, is_told: false },
        ToldCase { name: "a little more", per_s: 10.9, is_told: false },
        ToldCase { name: "a little less", per_s: 9.1, is_told: false },
        ToldCase { name: "more", per_s: 11.5, is_told: true },
        ToldCase { name: "less", per_s: 8.5, is_told: true },
    ];
    for case in cases {
        let mut book = ThrottleRegistry::default();
        let first = book.record_response(&backend(1), at(0), limited(10.0), at(10));
        assert_eq!(first, NoticeChange::Limited { rate: rate(10.0), before: None });
        let change = book.record_response(&backend(1), at(15), limited(case.per_s), at(20));
        assert_eq!(change != NoticeChange::None, case.is_told, "{}", case.name);
        assert_eq!(kept(&mut book, &backend(1), at(30)), Some(case.per_s), "{}", case.name);
    }
}

#[test]
fn what_is_over_comes_back_by_and_by() {
    let mut book = ThrottleRegistry::default();
    book.record_response(&backend(1), at(0), limited(5.0), at(10));
    book.record_response(&backend(1), at(100), RateNotice::Unlimited, at(200));
    for (ms, per_s) in [(200, Some(5.0)), (700, Some(10.0)), (1_200, Some(20.0)), (4_200, None)] {
        assert_eq!(kept(&mut book, &backend(1), at(ms)), per_s, "at {ms}");
    }
    assert_eq!(book.limited(), 0);
}

#[test]
fn a_closed_backend_server_is_not_asked_for_until_then() {
    let mut book = ThrottleRegistry::default();
    book.block(&backend(1), at(500), at(20));
    assert_eq!(
        book.decide(&backend(1), 1.0, at(100)),
        SendDecision::Unlimited,
        "it names no limit"
    );
    book.record_response(&backend(1), at(0), limited(5.0), at(10));
    book.block(&backend(1), at(500), at(20));
    book.block(&backend(1), at(300), at(20));
    assert_eq!(book.decide(&backend(1), 1.0, at(499)), SendDecision::Blocked { until: at(500) });
    assert_eq!(kept(&mut book, &backend(1), at(500)), Some(5.0));
    // A changed limit is asked for at once.
    book.block(&backend(1), at(900), at(550));
    book.record_response(&backend(1), at(550), limited(50.0), at(600));
    assert_eq!(kept(&mut book, &backend(1), at(601)), Some(50.0));
}

#[test]
fn what_was_sent_before_is_told_once() {
    let mut book = ThrottleRegistry::default();
    for ms in [0, 300, 900, 1_100, 1_200] {
        book.record_send(&backend(1), at(ms));
    }
    book.record_response(&backend(1), at(1_200), limited(5.0), at(1_250));
    let told: Vec<_> =
        book.take_unreported(at(1_300)).into_iter().map(|it| it.unreported).collect();
    assert_eq!(told, [4.0]);
    assert_eq!(book.take_unreported(at(1_400)), []);
    book.record_response(&backend(1), at(1_300), limited(2.0), at(1_500));
    assert_eq!(book.take_unreported(at(1_600)), [], "the limit was known");
}

#[test]
fn what_is_gone_for_long_is_forgotten() {
    let mut book = ThrottleRegistry::default();
    book.record_response(&backend(1), at(0), limited(5.0), at(10));
    book.remove_stale(&DirectoryView::default(), at(59_000));
    assert_eq!(book.limited(), 1, "it may return");
    book.remove_stale(&DirectoryView::default(), at(61_000));
    assert_eq!(book.limited(), 0);
}

#[test]
fn closings_are_told_once_a_second_with_their_number() {
    let mut book = ThrottleRegistry::default();
    assert_eq!(book.block(&backend(1), at(20), at(10)), None, "it names no limit");
    book.record_response(&backend(1), at(0), limited(5.0), at(10));
    let closings = (0..250).map(|step| book.block(&backend(1), at(10 + step * 10), at(step * 10)));
    let told: Vec<_> = closings.flatten().collect();
    assert_eq!(told, [1, 100, 100]);
}
