//! Tables of cases for the share of the servers' limits that a host uses by itself.

use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_scheduler::LocalShare;

#[derive(Clone, Copy, Debug)]
enum ShareEvent {
    Rejection,
    Refusal,
    Nothing,
}

use ShareEvent::{Nothing, Refusal, Rejection};

struct ShareCase {
    name: &'static str,
    hosts: usize,
    /// What happens at each time in milliseconds.
    events: &'static [(u64, ShareEvent)],
    share: f64,
}

const CASES: [ShareCase; 10] = [
    ShareCase { name: "at first", hosts: 20, events: &[(0, Nothing)], share: 0.1 },
    ShareCase { name: "one host", hosts: 1, events: &[(0, Rejection)], share: 1.0 },
    ShareCase { name: "a rejected call", hosts: 20, events: &[(1_000, Rejection)], share: 0.15 },
    ShareCase {
        name: "two rejected at once",
        hosts: 20,
        events: &[(1_000, Rejection), (1_100, Rejection)],
        share: 0.15,
    },
    ShareCase {
        name: "two rejected one after the other",
        hosts: 20,
        events: &[(1_000, Rejection), (1_300, Rejection)],
        share: 0.225,
    },
    ShareCase {
        name: "never more than the whole",
        hosts: 3,
        events: &[(1_000, Rejection), (1_300, Rejection), (1_600, Rejection), (1_900, Rejection)],
        share: 1.0,
    },
    ShareCase {
        name: "a server refuses a call",
        hosts: 20,
        events: &[(1_000, Rejection), (1_300, Rejection), (1_600, Refusal)],
        share: 0.1125,
    },
    ShareCase {
        name: "no growth after a refusal",
        hosts: 20,
        events: &[(1_000, Rejection), (1_300, Refusal), (1_600, Rejection), (2_900, Rejection)],
        share: 0.1,
    },
    ShareCase {
        name: "growth once refusals have ended",
        hosts: 20,
        events: &[(1_000, Rejection), (1_300, Refusal), (3_400, Rejection)],
        share: 0.15,
    },
    ShareCase {
        name: "back to the first one without rejections",
        hosts: 20,
        events: &[(1_000, Rejection), (1_300, Rejection), (12_000, Nothing)],
        share: 0.1,
    },
];

#[test]
fn a_share_grows_with_rejected_calls_and_shrinks_when_servers_refuse_some() {
    for case in &CASES {
        // A clock starts long before the first call.
        let moment = |ms| Moment::after_origin(Duration::from_hours(1) + Duration::from_millis(ms));
        let (mut share, mut last) = (LocalShare::default(), moment(0));
        for (at, event) in case.events {
            last = moment(*at);
            match event {
                Rejection => share.record_rejection(case.hosts, last),
                Refusal => share.record_refusal(last),
                Nothing => {}
            }
        }
        let current = share.current(case.hosts, last);
        assert!((current - case.share).abs() < 1e-9, "{}: {current}", case.name);
    }
}
