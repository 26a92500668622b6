//! What counts as a partition from the backend servers of a service.

use std::time::Duration;

use dillspool_dialer::{LinkChange, LinkHealth, ProbeTally};
use dillspool_moment::Moment;
use dillspool_routing::BackendInstance;

/// Something that happens to the links, at a time in milliseconds.
#[derive(Clone, Copy, Debug)]
enum LinkEvent {
    Connected(u64),
    /// A verification: when it began and ended, how many servers it probed, and whether one was reachable.
    Verified(u64, u64, usize, bool),
}

struct HealthCase {
    name: &'static str,
    events: &'static [LinkEvent],
    is_partitioned: bool,
    /// Whether a connection that fails 300 ms after the last event calls for a verification.
    needs_verification: bool,
}

const CASES: [HealthCase; 7] = [
    HealthCase {
        name: "nothing known",
        events: &[],
        is_partitioned: false,
        needs_verification: true,
    },
    HealthCase {
        name: "no server could be probed",
        events: &[LinkEvent::Verified(0, 150, 0, false)],
        is_partitioned: false,
        needs_verification: true,
    },
    HealthCase {
        name: "no server is reachable",
        events: &[LinkEvent::Connected(0), LinkEvent::Verified(10, 160, 4, false)],
        is_partitioned: true,
        needs_verification: false,
    },
    HealthCase {
        name: "a connection succeeded during the probes",
        events: &[LinkEvent::Connected(100), LinkEvent::Verified(10, 160, 4, false)],
        is_partitioned: false,
        needs_verification: true,
    },
    HealthCase {
        name: "one server is reachable",
        events: &[LinkEvent::Verified(10, 12, 4, true)],
        is_partitioned: false,
        needs_verification: true,
    },
    HealthCase {
        name: "one connection restores the links",
        events: &[LinkEvent::Verified(10, 160, 4, false), LinkEvent::Connected(400)],
        is_partitioned: false,
        needs_verification: true,
    },
    HealthCase {
        name: "one probe restores the links",
        events: &[LinkEvent::Verified(10, 160, 4, false), LinkEvent::Verified(400, 402, 2, true)],
        is_partitioned: false,
        needs_verification: true,
    },
];

fn at(millis: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(millis))
}

fn backend() -> BackendInstance {
    BackendInstance { id: "i-1".into(), start: None }
}

fn apply(health: &mut LinkHealth, event: LinkEvent) -> (u64, Option<LinkChange>) {
    let service = "service".into();
    match event {
        LinkEvent::Connected(now) => (now, health.record_connected(&service, &backend(), at(now))),
        LinkEvent::Verified(from, now, probed, is_any_reachable) => {
            let tally = ProbeTally { started: at(from), probed, is_any_reachable };
            (now, health.record_verification(&service, tally, at(now)))
        }
    }
}

#[test]
fn only_failures_of_all_probed_servers_are_a_partition() {
    for case in CASES {
        let mut health = LinkHealth::default();
        let mut last = 0;
        let mut changes = 0;
        for event in case.events {
            let (now, change) = apply(&mut health, *event);
            last = now;
            changes += usize::from(change.is_some());
        }
        assert_eq!(health.is_partitioned("service"), case.is_partitioned, "{}", case.name);
        assert!(!health.is_partitioned("other"), "{}", case.name);
        let needs = health.needs_verification("service", at(last + 300));
        assert_eq!(needs, case.needs_verification, "{}", case.name);
        let restored = case.name.ends_with("restores the links");
        assert_eq!(
            changes,
            usize::from(case.is_partitioned) + 2 * usize::from(restored),
            "{}",
            case.name
        );
    }
}

#[test]
fn sound_links_are_not_verified_again_at_once() {
    let mut health = LinkHealth::default();
    apply(&mut health, LinkEvent::Verified(0, 2, 4, true));
    assert!(!health.needs_verification("service", at(200)));
    assert!(health.needs_verification("service", at(300)));
    assert_eq!(
        (
            apply(&mut health, LinkEvent::Verified(300, 450, 4, false)).1,
            apply(&mut health, LinkEvent::Connected(700)).1
        ),
        (Some(LinkChange::Lost), Some(LinkChange::Restored { after: Duration::from_millis(250) })),
    );
}
