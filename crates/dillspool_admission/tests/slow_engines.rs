//! An engine that needs more time per token than others gets fewer requests until its measurement
//! has decayed.

use std::time::Duration;

use dillspool_admission::{
    AdmissionPolicy, EngineCapacity, PlacementDecision, PlacementRequest, PoolEngine, PoolPlanner,
    StreamEnd, StreamPlacement, TicketId, WorkClass,
};
use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, SoftwareVersion};

struct PaceCase {
    name: &'static str,
    slow_weight: f64,
    /// Time since the last answers ended.
    elapsed_s: u64,
    /// Whether the slow engine, which is empty, is chosen over one with a stream.
    is_chosen: bool,
}

const CASES: [PaceCase; 3] = [
    PaceCase { name: "speed ignored", slow_weight: 0.0, elapsed_s: 0, is_chosen: true },
    PaceCase { name: "slow", slow_weight: 0.3, elapsed_s: 0, is_chosen: false },
    PaceCase { name: "measurement decayed", slow_weight: 0.3, elapsed_s: 60, is_chosen: true },
];

fn at(ms: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(ms))
}

fn engine(id: &str, prefills: bool) -> PoolEngine {
    let backend = BackendInstance { id: id.into(), start: None };
    PoolEngine {
        backend,
        failure_domain: "d".into(),
        is_prefill: prefills,
        software: SoftwareVersion::default(),
    }
}

fn request() -> PlacementRequest {
    PlacementRequest {
        class: WorkClass::InTime,
        workspace_priority: 0,
        priority: 0,
        failure_domain: "d".into(),
        prompt_tokens: 2_000,
        estimated_tokens: 1_000,
        max_tokens: 2_000,
        objective_left: Duration::from_millis(900),
        max_wait: Duration::from_secs(2),
        time_left: Duration::from_secs(10),
        max_event_gap: None,
        excluded: Vec::new(),
        refusals: 0,
        subset: None,
        software: None,
    }
}

/// Runs an answer with the given event gap to completion on an engine.
fn complete_answer(planner: &mut PoolPlanner, ticket: u64, engine: &str, gap_ms: u64) {
    let placement = StreamPlacement {
        decode_engine: engine.into(),
        reserve_tokens: 2_500,
        prefill_engine: None,
    };
    planner.adopt(TicketId(ticket), &request(), placement, at(0));
    planner.record_started(TicketId(ticket), at(0));
    let event_gap = Some(Duration::from_millis(gap_ms));
    planner.record_ended(TicketId(ticket), StreamEnd { is_complete: true, event_gap }, at(1_000));
}

#[test]
fn slow_engines_get_fewer_requests() {
    for case in CASES {
        let policy =
            AdmissionPolicy { slow_weight: case.slow_weight, ..AdmissionPolicy::default() };
        let capacity = EngineCapacity { memory_tokens: 60_000, slots: 12 };
        let mut planner = PoolPlanner::new(capacity, policy, 1);
        let engines = [engine("slow", false), engine("usual", false), engine("reader", true)];
        planner.set_engines(engines.into_iter());
        for round in 0..6 {
            complete_answer(&mut planner, 2 * round, "usual", 50);
            complete_answer(&mut planner, 2 * round + 1, "slow", 125);
        }
        let placement = StreamPlacement {
            decode_engine: "usual".into(),
            reserve_tokens: 2_500,
            prefill_engine: None,
        };
        let now = at(1_000 + case.elapsed_s * 1_000);
        planner.adopt(TicketId(100), &request(), placement, now);
        let decision = planner.decide(TicketId(101), request(), now);
        let PlacementDecision::Place(placement) = decision else {
            panic!("{}: {decision:?}", case.name)
        };
        assert_eq!(&*placement.decode_engine == "slow", case.is_chosen, "{}", case.name);
    }
}
