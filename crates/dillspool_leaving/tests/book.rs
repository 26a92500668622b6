//! Which starts of backend servers have said that they leave.

use std::time::Duration;

use dillspool_leaving::{LeavingRegistry, LeavingUpdate};
use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, BackendStart};

fn started(id: &str, start: Option<u64>) -> BackendInstance {
    BackendInstance { id: id.into(), start: start.map(BackendStart) }
}

fn news(id: &str, start: Option<u64>) -> LeavingUpdate {
    let at = Moment::after_origin(Duration::from_secs(1));
    LeavingUpdate { backend: started(id, start), at }
}

struct StartCase {
    name: &'static str,
    /// The start that said so.
    said: Option<u64>,
    /// The start that is asked about.
    asked: Option<u64>,
    leaves: bool,
}

const CASES: [StartCase; 5] = [
    StartCase { name: "the same start", said: Some(7), asked: Some(7), leaves: true },
    StartCase { name: "a later start", said: Some(7), asked: Some(8), leaves: false },
    StartCase { name: "a start by a clock set back", said: Some(7), asked: Some(6), leaves: false },
    StartCase { name: "no start is told", said: None, asked: None, leaves: true },
    StartCase {
        name: "a start that was not told before",
        said: None,
        asked: Some(7),
        leaves: true,
    },
];

#[test]
fn a_start_that_leaves_is_told_from_the_next_one() {
    for case in &CASES {
        let mut book = LeavingRegistry::default();
        assert!(book.record(&news("i-1", case.said)), "{}: news", case.name);
        assert!(!book.record(&news("i-1", case.said)), "{}: again", case.name);
        assert_eq!(book.is_leaving(&started("i-1", case.asked)), case.leaves, "{}", case.name);
        assert!(!book.is_leaving(&started("i-2", case.said)), "{}: another", case.name);
    }
}

#[test]
fn several_starts_of_one_backend_server_may_leave() {
    let mut book = LeavingRegistry::default();
    for start in 1..=3 {
        assert!(book.record(&news("i-1", Some(start))));
    }
    assert!((1..=3).all(|start| book.is_leaving(&started("i-1", Some(start)))));
    assert!(!book.is_leaving(&started("i-1", Some(4))));
    let newest: Vec<_> = book.newest(2).map(|it| it.backend.start).collect();
    assert_eq!(newest, [Some(BackendStart(3)), Some(BackendStart(2))]);
}

#[test]
fn what_is_remembered_is_bounded_and_the_oldest_goes_first() {
    let mut book = LeavingRegistry::default();
    for number in 0..10_000 {
        book.record(&news(&format!("i-{number}"), Some(1)));
    }
    assert_eq!(book.count(), 8_192);
    assert!(!book.is_leaving(&started("i-0", Some(1))));
    assert!(book.is_leaving(&started("i-9999", Some(1))));
}
