//! Which instances of backend servers are leaving.

use std::time::Duration;

use dillspool_leaving::{LeavingRegistry, LeavingUpdate};
use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, BackendStart};

fn instance(id: &str, start: Option<u64>) -> BackendInstance {
    BackendInstance { id: id.into(), start: start.map(BackendStart) }
}

fn update(id: &str, start: Option<u64>) -> LeavingUpdate {
    let at = Moment::after_origin(Duration::from_secs(1));
    LeavingUpdate { backend: instance(id, start), at }
}

struct InstanceCase {
    name: &'static str,
    /// Start time of the instance that announced it.
    announced: Option<u64>,
    /// Start time of the instance that is looked up.
    looked_up: Option<u64>,
    is_leaving: bool,
}

const CASES: [InstanceCase; 5] = [
    InstanceCase { name: "same start", announced: Some(7), looked_up: Some(7), is_leaving: true },
    InstanceCase { name: "later start", announced: Some(7), looked_up: Some(8), is_leaving: false },
    InstanceCase {
        name: "earlier start, after the clock was set back",
        announced: Some(7),
        looked_up: Some(6),
        is_leaving: false,
    },
    InstanceCase {
        name: "unknown start times",
        announced: None,
        looked_up: None,
        is_leaving: true,
    },
    InstanceCase {
        name: "known start time, announced without one",
        announced: None,
        looked_up: Some(7),
        is_leaving: true,
    },
];

#[test]
fn leaving_instance_is_told_apart_from_the_next_one() {
    for case in &CASES {
        let mut registry = LeavingRegistry::default();
        assert!(registry.record(&update("i-1", case.announced)), "{}: new", case.name);
        assert!(!registry.record(&update("i-1", case.announced)), "{}: again", case.name);
        assert_eq!(
            registry.is_leaving(&instance("i-1", case.looked_up)),
            case.is_leaving,
            "{}",
            case.name
        );
        assert!(!registry.is_leaving(&instance("i-2", case.announced)), "{}: another", case.name);
    }
}

#[test]
fn several_instances_of_a_backend_server_may_be_leaving() {
    let mut registry = LeavingRegistry::default();
    for start in 1..=3 {
        assert!(registry.record(&update("i-1", Some(start))));
    }
    assert!((1..=3).all(|start| registry.is_leaving(&instance("i-1", Some(start)))));
    assert!(!registry.is_leaving(&instance("i-1", Some(4))));
    let newest: Vec<_> = registry.newest(2).map(|it| it.backend.start).collect();
    assert_eq!(newest, [Some(BackendStart(3)), Some(BackendStart(2))]);
}

#[test]
fn oldest_instances_are_dropped_at_the_limit() {
    let mut registry = LeavingRegistry::default();
    for number in 0..10_000 {
        registry.record(&update(&format!("i-{number}"), Some(1)));
    }
    assert_eq!(registry.count(), 8_192);
    assert!(!registry.is_leaving(&instance("i-0", Some(1))));
    assert!(registry.is_leaving(&instance("i-9999", Some(1))));
}
