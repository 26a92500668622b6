//! A queued request is placed by the time it has left after its wait.

use std::time::Duration;

use dillspool_admission::{
    AdmissionPolicy, EngineCapacity, PlacementDecision, PlacementRequest, PoolEngine, PoolPlanner,
    StreamEnd, TicketId, WorkClass,
};
use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, SoftwareVersion};

fn engine(id: &str, prefills: bool) -> PoolEngine {
    let backend = BackendInstance { id: id.into(), start: None };
    PoolEngine {
        backend,
        failure_domain: "d".into(),
        is_prefill: prefills,
        software: SoftwareVersion::default(),
    }
}

fn request(class: WorkClass, prompt_tokens: u64) -> PlacementRequest {
    PlacementRequest {
        class,
        workspace_priority: 0,
        priority: 0,
        failure_domain: "d".into(),
        prompt_tokens,
        estimated_tokens: 500,
        max_tokens: 1_000,
        objective_left: Duration::from_millis(900),
        max_wait: Duration::from_secs(3),
        time_left: Duration::from_secs(10),
        max_event_gap: Some(Duration::from_millis(300)),
        excluded: Vec::new(),
        refusals: 0,
        subset: None,
        software: None,
    }
}

fn at(ms: u64) -> Moment {
    Moment::after_origin(Duration::from_millis(ms))
}

struct WaitCase {
    name: &'static str,
    /// When a decode engine has room for the request, which is queued from the beginning, in ms.
    room_ms: u64,
    /// Tokens queued at the only prefill engine, which prefills 40 per ms.
    queued_tokens: u64,
    /// Whether the request is placed behind them.
    is_placed: bool,
}

/// After a surge has filled the engines, requests that waited for memory meet a queue of prompts.
/// If such a request is placed by the time it had left when it was queued, its answer is late and
/// takes memory from an answer that could be in time.
#[test]
fn queued_requests_are_placed_by_their_remaining_time() {
    let cases = [
        WaitCase { name: "room at once", room_ms: 50, queued_tokens: 12_000, is_placed: true },
        WaitCase { name: "no queue", room_ms: 500, queued_tokens: 400, is_placed: true },
        WaitCase { name: "room late", room_ms: 500, queued_tokens: 12_000, is_placed: false },
    ];
    for WaitCase { name, room_ms, queued_tokens, is_placed } in cases {
        let capacity = EngineCapacity { memory_tokens: 100_000, slots: 1 };
        let policy = AdmissionPolicy { reads_at_decode: false, ..AdmissionPolicy::default() };
        let mut planner = PoolPlanner::new(capacity, policy, 1);
        let decode = ["one", "other"].map(|id| engine(id, false));
        planner.set_engines(decode.into_iter().chain([engine("prefill", true)]));
        let fresh = request(WorkClass::InTime, 5_000);
        for ticket in [1, 2] {
            let placed = planner.decide(TicketId(ticket), fresh.clone(), at(0));
            assert!(matches!(placed, PlacementDecision::Place(_)), "{name}: {placed:?}");
            planner.record_prefilled(TicketId(ticket), Duration::from_millis(125));
            planner.record_started(TicketId(ticket), at(0));
        }
        let decision = planner.decide(TicketId(3), fresh, at(0));
        assert_eq!(decision, PlacementDecision::Wait, "{name}");
        let end = StreamEnd { is_complete: false, event_gap: None };
        planner.record_ended(TicketId(1), end, at(room_ms));
        let queued = request(WorkClass::UnderWay, queued_tokens);
        let placed = planner.decide(TicketId(4), queued, at(room_ms));
        assert!(matches!(placed, PlacementDecision::Place(_)), "{name}: {placed:?}");
        planner.record_ended(TicketId(2), end, at(room_ms));
        let decided = planner.poll(at(room_ms));
        let placed = decided.iter().any(|(_ticket, it)| matches!(it, PlacementDecision::Place(_)));
        assert_eq!(placed, is_placed, "{name}: {decided:?}");
    }
}
