//! A stream that is unlikely to complete before its caller's deadline is not started, so it holds
//! no memory in vain.

use std::time::Duration;

use dillspool_admission::{
    AdmissionPolicy, EngineCapacity, PlacementDecision, PlacementRequest, PoolEngine, PoolPlanner,
    TicketId, WorkClass,
};
use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, SoftwareVersion};

struct DeadlineCase {
    name: &'static str,
    class: WorkClass,
    /// Time left to the caller; an answer of the estimated length typically takes 2,000 ms.
    left_ms: u64,
    chance: f64,
    is_started: bool,
}

const CASES: [DeadlineCase; 8] = [
    DeadlineCase {
        name: "off",
        class: WorkClass::Late,
        left_ms: 500,
        chance: 0.0,
        is_started: true,
    },
    DeadlineCase {
        name: "late",
        class: WorkClass::Late,
        left_ms: 500,
        chance: 0.7,
        is_started: false,
    },
    DeadlineCase {
        name: "new",
        class: WorkClass::InTime,
        left_ms: 950,
        chance: 0.7,
        is_started: false,
    },
    DeadlineCase {
        name: "resumed",
        class: WorkClass::UnderWay,
        left_ms: 500,
        chance: 0.7,
        is_started: false,
    },
    DeadlineCase {
        name: "an even chance, late",
        class: WorkClass::Late,
        left_ms: 2_400,
        chance: 0.7,
        is_started: false,
    },
    DeadlineCase {
        name: "an even chance, new",
        class: WorkClass::InTime,
        left_ms: 2_400,
        chance: 0.7,
        is_started: true,
    },
    DeadlineCase {
        name: "enough time for most answers",
        class: WorkClass::Late,
        left_ms: 6_000,
        chance: 0.7,
        is_started: true,
    },
    DeadlineCase {
        name: "enough time for the longest answer",
        class: WorkClass::Late,
        left_ms: 5_300,
        chance: 1.0,
        is_started: true,
    },
];

fn engine(id: &str, prefills: bool) -> PoolEngine {
    let backend = BackendInstance { id: id.into(), start: None };
    PoolEngine {
        backend,
        failure_domain: "d".into(),
        is_prefill: prefills,
        software: SoftwareVersion::default(),
    }
}

fn decide(case: &DeadlineCase) -> PlacementDecision {
    let policy = AdmissionPolicy { completion_chance: case.chance, ..AdmissionPolicy::default() };
    let capacity = EngineCapacity { memory_tokens: 60_000, slots: 12 };
    let mut planner = PoolPlanner::new(capacity, policy, 1);
    planner.set_engines([engine("decode", false), engine("prefill", true)].into_iter());
    let request = PlacementRequest {
        class: case.class,
        workspace_priority: 0,
        priority: 0,
        failure_domain: "d".into(),
        prompt_tokens: 5_000,
        estimated_tokens: 2_000,
        max_tokens: 5_000,
        objective_left: Duration::from_millis(900),
        max_wait: Duration::from_millis(case.left_ms),
        time_left: Duration::from_millis(case.left_ms),
        max_event_gap: None,
        excluded: Vec::new(),
        refusals: 0,
        subset: None,
        software: None,
    };
    planner.decide(TicketId(1), request, Moment::after_origin(Duration::from_secs(1)))
}

#[test]
fn streams_start_only_if_likely_to_complete() {
    for case in CASES {
        let decision = decide(&case);
        let is_started = matches!(decision, PlacementDecision::Place(_));
        assert_eq!(is_started, case.is_started, "{}: {decision:?}", case.name);
        assert_ne!(decision, PlacementDecision::Wait, "{}", case.name);
    }
}
