//! An engine that restarts under the same id holds no earlier streams, and earlier faults do not
//! count against it.

use std::time::Duration;

use dillspool_admission::{
    AdmissionPolicy, EngineCapacity, EngineFault, PlacementDecision, PlacementRequest, PoolEngine,
    PoolPlanner, TicketId, WorkClass,
};
use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, BackendStart, SoftwareVersion};

fn backend(id: &str, start: Option<u64>) -> BackendInstance {
    BackendInstance { id: id.into(), start: start.map(BackendStart) }
}

fn engines(start: Option<u64>) -> [PoolEngine; 2] {
    let engine = |id, prefills| PoolEngine {
        backend: backend(id, start),
        failure_domain: "d".into(),
        is_prefill: prefills,
        software: SoftwareVersion::default(),
    };
    [engine("decode", false), engine("prefill", true)]
}

fn request() -> PlacementRequest {
    PlacementRequest {
        class: WorkClass::InTime,
        workspace_priority: 0,
        priority: 0,
        failure_domain: "d".into(),
        prompt_tokens: 6_000,
        estimated_tokens: 500,
        max_tokens: 1_000,
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

fn at(ms: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(ms))
}

struct RestartCase {
    name: &'static str,
    /// Start reported before and after.
    starts: [Option<u64>; 2],
    /// Whether it counts as a restart.
    restarted: bool,
}

const CASES: [RestartCase; 4] = [
    RestartCase { name: "another start", starts: [Some(7), Some(9)], restarted: true },
    RestartCase { name: "an earlier start time", starts: [Some(9), Some(7)], restarted: true },
    RestartCase { name: "the same start", starts: [Some(7), Some(7)], restarted: false },
    RestartCase { name: "no start is reported", starts: [None, None], restarted: false },
];

/// A planner whose only decode engine has room for one stream, which is taken.
fn full_pool(start: Option<u64>) -> PoolPlanner {
    let capacity = EngineCapacity { memory_tokens: 10_000, slots: 24 };
    let mut planner = PoolPlanner::new(capacity, AdmissionPolicy::default(), 1);
    planner.set_engines(engines(start).into_iter());
    let placed = planner.decide(TicketId(1), request(), at(0));
    assert!(matches!(placed, PlacementDecision::Place(_)), "{placed:?}");
    planner.record_prefilled(TicketId(1), Duration::from_millis(100));
    planner.record_started(TicketId(1), at(100));
    planner
}

#[test]
fn a_restart_frees_memory_and_queues() {
    for case in CASES {
        let mut planner = full_pool(case.starts[0]);
        planner.set_engines(engines(case.starts[1]).into_iter());
        let decision = planner.decide(TicketId(2), request(), at(200));
        let placed = matches!(decision, PlacementDecision::Place(_));
        assert_eq!(placed, case.restarted, "{}: {decision:?}", case.name);
        assert_eq!(planner.snapshot(at(200)).streams, 1, "{}", case.name);
        // The end of a stream lost in the restart must not free memory of the new start.
        planner.remove(TicketId(1));
        let left = usize::from(case.restarted);
        assert_eq!(planner.snapshot(at(200)).streams, left, "{}", case.name);
    }
}

/// A fault of one start, reported before or after the planner knows the next start.
struct FaultCase {
    name: &'static str,
    fault: EngineFault,
    /// The start that the planner knows, and the one for which the fault is reported.
    known: Option<u64>,
    reported: Option<u64>,
    is_open: bool,
}

#[test]
fn faults_of_another_start_are_ignored() {
    let faults = [EngineFault::Unreachable, EngineFault::ReservedRequestRefused];
    let starts = [
        ("the previous start", Some(9), Some(7), false),
        ("the next start, not known yet", Some(7), Some(9), false),
        ("the same start", Some(9), Some(9), true),
        ("a fault without a start", Some(9), None, true),
        ("no start is ever reported", None, None, true),
    ];
    let cases = faults.into_iter().flat_map(|fault| {
        starts.map(|(name, known, reported, is_open)| FaultCase {
            name,
            fault,
            known,
            reported,
            is_open,
        })
    });
    for case in cases {
        let mut planner = full_pool(case.known);
        for ticket in 10..12 {
            let (ticket, engine) = (TicketId(ticket), backend("decode", case.reported));
            planner.record_fault(ticket, &engine, case.fault, at(300));
        }
        let available = planner.snapshot(at(301)).decode_engines;
        assert_eq!(available, usize::from(!case.is_open), "{} {:?}", case.name, case.fault);
    }
}

#[test]
fn a_restart_closes_the_circuit_breaker() {
    for case in CASES {
        let mut planner = full_pool(case.starts[0]);
        let engine = backend("decode", case.starts[0]);
        planner.record_fault(TicketId(1), &engine, EngineFault::Unreachable, at(300));
        assert_eq!(planner.snapshot(at(301)).decode_engines, 0, "{}", case.name);
        planner.set_engines(engines(case.starts[1]).into_iter());
        assert_eq!(
            planner.snapshot(at(302)).decode_engines,
            usize::from(case.restarted),
            "{}",
            case.name
        );
    }
}
