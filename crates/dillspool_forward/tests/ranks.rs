//! Prompts whose answers are late anyway yield to those that can be in time.

mod common;

use std::time::Duration;

use common::{ONE, ScriptedSite, Step, THREE, TWO, pool, request};
use dillspool_cases::run_paused;
use dillspool_forward::{WorkPriority, handle_request};
use dillspool_io::read_response_body;
use dillspool_routing::RequestKind;

struct RankCase {
    name: &'static str,
    spent_before_ms: u64,
    resume_after: Option<u64>,
    /// What the first decode engine does; the second one sends all events.
    first: Step,
    ranks: &'static [WorkPriority],
}

#[test]
fn a_prefill_names_its_rank() {
    let whole = || Step::Stream(vec![ONE, TWO, THREE]);
    let cases = [
        RankCase {
            name: "a first attempt",
            spent_before_ms: 0,
            resume_after: None,
            first: whole(),
            ranks: &[WorkPriority::Normal],
        },
        RankCase {
            name: "a caller that came back within the objective",
            spent_before_ms: 250,
            resume_after: None,
            first: whole(),
            ranks: &[WorkPriority::Normal],
        },
        RankCase {
            name: "a caller that came back behind the objective",
            spent_before_ms: 4_000,
            resume_after: None,
            first: whole(),
            ranks: &[WorkPriority::Late],
        },
        RankCase {
            name: "a caller that goes on with a broken answer",
            spent_before_ms: 0,
            resume_after: Some(1),
            first: Step::Stream(vec![TWO, THREE]),
            ranks: &[WorkPriority::Late],
        },
        RankCase {
            name: "an answer that breaks off under way",
            spent_before_ms: 0,
            resume_after: None,
            first: Step::Broken(vec![ONE]),
            ranks: &[WorkPriority::Normal, WorkPriority::Normal],
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
            let answer = handle_request(context, routed).await;
            read_response_body(answer.into_body(), 10_000).await.expect("a whole stream");
            assert_eq!(site.record.lock().unwrap().ranks, case.ranks, "{}", case.name);
        });
    }
}
