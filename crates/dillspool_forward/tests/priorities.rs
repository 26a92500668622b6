//! Prompts of responses that miss their objective anyway get a lower priority.

mod common;

use std::time::Duration;

use common::{ONE, ScriptedSite, Step, THREE, TWO, pool, request};
use dillspool_cases::run_paused;
use dillspool_forward::{WorkPriority, handle_request};
use dillspool_io::read_response_body;
use dillspool_routing::RequestKind;

struct PriorityCase {
    name: &'static str,
    spent_before_ms: u64,
    resume_after: Option<u64>,
    /// What the first decode engine does; the second one sends all events.
    first: Step,
    priorities: &'static [WorkPriority],
}

#[test]
fn a_prefill_request_carries_its_priority() {
    let complete = || Step::Stream(vec![ONE, TWO, THREE]);
    let cases = [
        PriorityCase {
            name: "a first attempt",
            spent_before_ms: 0,
            resume_after: None,
            first: complete(),
            priorities: &[WorkPriority::Normal],
        },
        PriorityCase {
            name: "a retry within the objective",
            spent_before_ms: 250,
            resume_after: None,
            first: complete(),
            priorities: &[WorkPriority::Normal],
        },
        PriorityCase {
            name: "a retry after the objective has passed",
            spent_before_ms: 4_000,
            resume_after: None,
            first: complete(),
            priorities: &[WorkPriority::Late],
        },
        PriorityCase {
            name: "a caller that resumes a broken stream",
            spent_before_ms: 0,
            resume_after: Some(1),
            first: Step::Stream(vec![TWO, THREE]),
            priorities: &[WorkPriority::Late],
        },
        PriorityCase {
            name: "a stream that breaks off",
            spent_before_ms: 0,
            resume_after: None,
            first: Step::Broken(vec![ONE]),
            priorities: &[WorkPriority::Normal, WorkPriority::Normal],
        },
    ];
    for case in cases {
        run_paused(async {
            let site = ScriptedSite::default();
            site.script("decode-1", [case.first.clone()]);
            site.script("decode-2", [Step::Stream(vec![TWO, THREE])]);
            let (context, _directory) = site.context(pool());
            let mut routed = request(RequestKind::Streaming, 2, true);
            routed.spent_before = Duration::from_millis(case.spent_before_ms);
            routed.resume_after = case.resume_after;
            let response = handle_request(context, routed).await;
            read_response_body(response.into_body(), 10_000).await.expect("a complete stream");
            assert_eq!(site.record.lock().unwrap().priorities, case.priorities, "{}", case.name);
        });
    }
}
