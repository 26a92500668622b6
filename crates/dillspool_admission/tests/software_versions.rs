//! Placement among engines of several software versions.

use std::time::Duration;

use dillspool_admission::{
    AdmissionPolicy, EngineCapacity, PlacementDecision, PlacementRejection, PlacementRequest,
    PoolEngine, PoolPlanner, StreamPlacement, TicketId, WorkClass,
};
use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, SoftwareVersion};
use dillspool_schema::Name;

/// Engines by ID, stage and version.
type Engines = &'static [(&'static str, bool, &'static str)];

fn planner(engines: Engines, seed: u64) -> PoolPlanner {
    let capacity = EngineCapacity { memory_tokens: 100_000, slots: 8 };
    let mut planner = PoolPlanner::new(capacity, AdmissionPolicy::default(), seed);
    planner.set_engines(engines.iter().map(|(id, is_prefill, software)| PoolEngine {
        backend: BackendInstance { id: (*id).into(), start: None },
        failure_domain: "d".into(),
        is_prefill: *is_prefill,
        software: SoftwareVersion((*software).into()),
    }));
    planner
}

fn request(software: Option<&str>) -> PlacementRequest {
    PlacementRequest {
        class: WorkClass::InTime,
        workspace_priority: 0,
        priority: 0,
        failure_domain: "d".into(),
        prompt_tokens: 1_000,
        estimated_tokens: 500,
        max_tokens: 1_000,
        objective_left: Duration::from_millis(900),
        max_wait: Duration::from_secs(3),
        time_left: Duration::from_secs(10),
        max_event_gap: Some(Duration::from_millis(300)),
        excluded: Vec::new(),
        refusals: 0,
        subset: None,
        software: software.map(|name| SoftwareVersion(name.into())),
    }
}

fn now() -> Moment {
    Moment::after_origin(Duration::from_secs(1))
}

struct PlacementCase {
    name: &'static str,
    engines: Engines,
    /// Version that the stream is bound to.
    software: Option<&'static str>,
    /// The engines that may decode, each with those that may prefill then; none if it is rejected.
    allowed: &'static [(&'static str, &'static [&'static str])],
}

const CASES: [PlacementCase; 7] = [
    PlacementCase {
        name: "one version",
        engines: &[("d1", false, "v1"), ("p1", true, "v1")],
        software: None,
        allowed: &[("d1", &["p1"])],
    },
    PlacementCase {
        name: "two versions, any is allowed",
        engines: &[
            ("d1", false, "v1"),
            ("d2", false, "v2"),
            ("p1", true, "v1"),
            ("p2", true, "v2"),
        ],
        software: None,
        allowed: &[("d1", &["p1"]), ("d2", &["p2"])],
    },
    PlacementCase {
        name: "only one version has a prefill engine",
        engines: &[
            ("d1", false, "v1"),
            ("d2", false, "v2"),
            ("d3", false, "v2"),
            ("p1", true, "v1"),
        ],
        software: None,
        allowed: &[("d1", &["p1"])],
    },
    PlacementCase {
        name: "no version of a decode engine has a prefill engine",
        engines: &[("d1", false, "v1"), ("p2", true, "v2")],
        software: None,
        allowed: &[("d1", &[])],
    },
    PlacementCase {
        name: "bound to the second version",
        engines: &[
            ("d1", false, "v1"),
            ("d2", false, "v2"),
            ("p1", true, "v1"),
            ("p2", true, "v2"),
        ],
        software: Some("v2"),
        allowed: &[("d2", &["p2"])],
    },
    PlacementCase {
        name: "bound to a version without a prefill engine",
        engines: &[("d1", false, "v1"), ("d2", false, "v2"), ("p1", true, "v1")],
        software: Some("v2"),
        allowed: &[("d2", &[])],
    },
    PlacementCase {
        name: "bound to a version without a decode engine",
        engines: &[("d1", false, "v1"), ("p1", true, "v1"), ("p2", true, "v2")],
        software: Some("v2"),
        allowed: &[],
    },
];

#[test]
fn a_stream_is_placed_at_engines_of_one_version() {
    for case in CASES {
        for seed in 0..16 {
            let mut planner = planner(case.engines, seed);
            match planner.decide(TicketId(1), request(case.software), now()) {
                PlacementDecision::Place(placement) => {
                    let StreamPlacement { decode_engine, prefill_engine, .. } = placement;
                    let allowed = case.allowed.iter().find(|it| it.0 == &*decode_engine);
                    let (_decode, prefills) = allowed.unwrap_or_else(|| {
                        panic!("{}: decodes at {decode_engine}", case.name);
                    });
                    let is_allowed = prefill_engine
                        .as_ref()
                        .map_or(prefills.is_empty(), |it| prefills.contains(&&**it));
                    assert!(is_allowed, "{}: prefilled at {prefill_engine:?}", case.name);
                }
                PlacementDecision::Reject { cause, .. } => {
                    assert!(case.allowed.is_empty(), "{}: {cause:?}", case.name);
                    assert_eq!(cause, PlacementRejection::NoEngine, "{}", case.name);
                }
                PlacementDecision::Wait => panic!("{}: it waits", case.name),
            }
        }
    }
}

/// Another prefill engine, after the first one has failed.
#[test]
fn another_prefill_engine_has_the_version_of_the_decode_engine() {
    const ENGINES: Engines =
        &[("d1", false, "v1"), ("p1", true, "v1"), ("p2", true, "v2"), ("p3", true, "v1")];
    let mut planner = planner(ENGINES, 1);
    let placed = planner.decide(TicketId(1), request(None), now());
    let PlacementDecision::Place(placement) = placed else { panic!("{placed:?}") };
    let first = placement.prefill_engine.expect("a prefill engine");
    let excluded = vec![Name::clone(&first)];
    let again = PlacementRequest { excluded, ..request(None) };
    let second = planner.choose_prefill(TicketId(1), &again, now()).expect("another one");
    assert!(["p1", "p3"].contains(&&*second) && second != first, "{first}, then {second}");
    let excluded = vec![first, second];
    let again = PlacementRequest { excluded, ..request(None) };
    assert_eq!(planner.choose_prefill(TicketId(1), &again, now()), None);
}
