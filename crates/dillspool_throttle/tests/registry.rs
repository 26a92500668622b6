//! Rate limits announced by backend servers, and the resulting send decisions.

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

/// The rate that a grant is requested with; `None` if sends are unlimited.
fn enforced_rate(
    registry: &mut ThrottleRegistry,
    backend: &BackendInstance,
    now: Moment,
) -> Option<f64> {
    match registry.decide(backend, 1.0, now) {
        SendDecision::Unlimited => None,
        SendDecision::NeedsGrant(spend) => Some(spend.rate.per_s),
        SendDecision::Blocked { until } => panic!("blocked until {until:?}"),
    }
}

/// A source of information about a backend server's limit.
#[derive(Clone, Copy)]
enum Report {
    /// An answer that arrives now, to a request sent at the given time in ms.
    Answer { sent: u64, per_s: Option<f64> },
    /// An update from another host, announced at the given time in ms.
    Update { at: u64, per_s: Option<f64> },
}

use Report::{Answer, Update};

struct ReportCase {
    name: &'static str,
    /// Reports with their time of arrival in ms.
    reports: &'static [(u64, Report)],
    /// Rate in force at 1,000 ms.
    enforced_rate: Option<f64>,
}

const CASES: [ReportCase; 13] = [
    ReportCase { name: "nothing", reports: &[], enforced_rate: None },
    ReportCase {
        name: "an answer without a limit",
        reports: &[(10, Answer { sent: 0, per_s: None })],
        enforced_rate: None,
    },
    ReportCase {
        name: "an answer with a limit",
        reports: &[(10, Answer { sent: 0, per_s: Some(5.0) })],
        enforced_rate: Some(5.0),
    },
    ReportCase {
        name: "an answer with another limit",
        reports: &[
            (10, Answer { sent: 0, per_s: Some(5.0) }),
            (20, Answer { sent: 0, per_s: Some(2.0) }),
        ],
        enforced_rate: Some(2.0),
    },
    ReportCase {
        name: "an answer to a request older than the limit",
        reports: &[
            (10, Answer { sent: 0, per_s: Some(5.0) }),
            (20, Answer { sent: 5, per_s: None }),
        ],
        enforced_rate: Some(5.0),
    },
    ReportCase {
        name: "twice the rate, half a second after the limit was lifted",
        reports: &[
            (10, Answer { sent: 0, per_s: Some(5.0) }),
            (500, Answer { sent: 400, per_s: None }),
        ],
        enforced_rate: Some(10.0),
    },
    ReportCase {
        name: "a limit that was lifted and announced again",
        reports: &[
            (10, Answer { sent: 0, per_s: Some(5.0) }),
            (300, Answer { sent: 200, per_s: None }),
            (400, Answer { sent: 350, per_s: Some(5.0) }),
        ],
        enforced_rate: Some(5.0),
    },
    ReportCase {
        name: "update of another host",
        reports: &[(10, Update { at: 5, per_s: Some(5.0) })],
        enforced_rate: Some(5.0),
    },
    ReportCase {
        name: "older update of another host",
        reports: &[
            (10, Answer { sent: 0, per_s: Some(5.0) }),
            (20, Update { at: 9, per_s: Some(7.0) }),
        ],
        enforced_rate: Some(5.0),
    },
    ReportCase {
        name: "newer update of another host",
        reports: &[
            (10, Answer { sent: 0, per_s: Some(5.0) }),
            (30, Update { at: 20, per_s: Some(7.0) }),
        ],
        enforced_rate: Some(7.0),
    },
    ReportCase {
        name: "older update that the limit was lifted",
        reports: &[(10, Answer { sent: 0, per_s: Some(5.0) }), (20, Update { at: 9, per_s: None })],
        enforced_rate: Some(5.0),
    },
    ReportCase {
        name: "newer update that the limit was lifted",
        reports: &[
            (10, Answer { sent: 0, per_s: Some(5.0) }),
            (510, Update { at: 500, per_s: None }),
        ],
        enforced_rate: Some(10.0),
    },
    ReportCase {
        name: "a rate of zero is still probed now and then",
        reports: &[(10, Answer { sent: 0, per_s: Some(0.0) })],
        enforced_rate: Some(0.1),
    },
];

#[test]
fn newest_report_wins() {
    for case in &CASES {
        let mut registry = ThrottleRegistry::default();
        for (now, report) in case.reports {
            match *report {
                Answer { sent, per_s } => {
                    let notice = per_s.map_or(RateNotice::Unlimited, limited);
                    registry.record_response(&backend(1), at(sent), notice, at(*now));
                }
                Update { at: announced_at, per_s } => {
                    let update = ThrottleUpdate {
                        backend: backend(1),
                        rate: per_s.map(rate),
                        at: at(announced_at),
                    };
                    registry.apply_update(&update, at(*now));
                }
            }
        }
        let enforced_rate = enforced_rate(&mut registry, &backend(1), at(1_000));
        assert_eq!(
            enforced_rate.map(f64::round),
            case.enforced_rate.map(f64::round),
            "{}: {enforced_rate:?}",
            case.name
        );
        // A limit of one instance does not bind the next.
        assert_eq!(
            registry.decide(&backend(2), 1.0, at(1_000)),
            SendDecision::Unlimited,
            "{}",
            case.name
        );
    }
}

struct DriftCase {
    name: &'static str,
    per_s: f64,
    is_reported: bool,
}

#[test]
fn small_rate_changes_are_not_reported() {
    let cases = [
        DriftCase { name: "the same", per_s: 10.0, is_reported: false },
        DriftCase { name: "a little more", per_s: 10.9, is_reported: false },
        DriftCase { name: "a little less", per_s: 9.1, is_reported: false },
        DriftCase { name: "more", per_s: 11.5, is_reported: true },
        DriftCase { name: "less", per_s: 8.5, is_reported: true },
    ];
    for case in cases {
        let mut registry = ThrottleRegistry::default();
        let first = registry.record_response(&backend(1), at(0), limited(10.0), at(10));
        assert_eq!(first, NoticeChange::Limited { rate: rate(10.0), previous: None });
        let change = registry.record_response(&backend(1), at(15), limited(case.per_s), at(20));
        assert_eq!(change != NoticeChange::None, case.is_reported, "{}", case.name);
        assert_eq!(
            enforced_rate(&mut registry, &backend(1), at(30)),
            Some(case.per_s),
            "{}",
            case.name
        );
    }
}

#[test]
fn rate_ramps_up_after_a_limit_is_lifted() {
    let mut registry = ThrottleRegistry::default();
    registry.record_response(&backend(1), at(0), limited(5.0), at(10));
    registry.record_response(&backend(1), at(100), RateNotice::Unlimited, at(200));
    for (ms, per_s) in [(200, Some(5.0)), (700, Some(10.0)), (1_200, Some(20.0)), (4_200, None)] {
        assert_eq!(enforced_rate(&mut registry, &backend(1), at(ms)), per_s, "at {ms}");
    }
    assert_eq!(registry.limited(), 0);
}

#[test]
fn blocked_backend_server_gets_no_grant_requests() {
    let mut registry = ThrottleRegistry::default();
    registry.block(&backend(1), at(500), at(20));
    assert_eq!(
        registry.decide(&backend(1), 1.0, at(100)),
        SendDecision::Unlimited,
        "no limit is announced"
    );
    registry.record_response(&backend(1), at(0), limited(5.0), at(10));
    registry.block(&backend(1), at(500), at(20));
    registry.block(&backend(1), at(300), at(20));
    assert_eq!(
        registry.decide(&backend(1), 1.0, at(499)),
        SendDecision::Blocked { until: at(500) }
    );
    assert_eq!(enforced_rate(&mut registry, &backend(1), at(500)), Some(5.0));
    // A changed limit takes effect at once.
    registry.block(&backend(1), at(900), at(550));
    registry.record_response(&backend(1), at(550), limited(50.0), at(600));
    assert_eq!(enforced_rate(&mut registry, &backend(1), at(601)), Some(50.0));
}

#[test]
fn sends_before_the_limit_are_reported_once() {
    let mut registry = ThrottleRegistry::default();
    for ms in [0, 300, 900, 1_100, 1_200] {
        registry.record_send(&backend(1), at(ms));
    }
    registry.record_response(&backend(1), at(1_200), limited(5.0), at(1_250));
    let reported: Vec<_> =
        registry.take_unreported(at(1_300)).into_iter().map(|it| it.unreported).collect();
    assert_eq!(reported, [4.0]);
    assert_eq!(registry.take_unreported(at(1_400)), []);
    registry.record_response(&backend(1), at(1_300), limited(2.0), at(1_500));
    assert_eq!(registry.take_unreported(at(1_600)), [], "the limit was known");
}

#[test]
fn limits_of_absent_backend_servers_are_removed() {
    let mut registry = ThrottleRegistry::default();
    registry.record_response(&backend(1), at(0), limited(5.0), at(10));
    registry.remove_stale(&DirectoryView::default(), at(59_000));
    assert_eq!(registry.limited(), 1, "the backend server may return");
    registry.remove_stale(&DirectoryView::default(), at(61_000));
    assert_eq!(registry.limited(), 0);
}

#[test]
fn blocks_are_logged_once_a_second_with_their_count() {
    let mut registry = ThrottleRegistry::default();
    assert_eq!(registry.block(&backend(1), at(20), at(10)), None, "no limit is announced");
    registry.record_response(&backend(1), at(0), limited(5.0), at(10));
    let blocks =
        (0..250).map(|step| registry.block(&backend(1), at(10 + step * 10), at(step * 10)));
    let reported: Vec<_> = blocks.flatten().collect();
    assert_eq!(reported, [1, 100, 100]);
}
