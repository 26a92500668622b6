//! Streams whose engine stalls or breaks off: what the caller receives, and from which engine.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{ONE, ScriptedSite, Step, THREE, TWO, entry, pool, request, view};
use dillspool_forward::handle_request;
use dillspool_io::read_response_body;
use dillspool_routing::{EngineStage, RequestKind};

struct StallCase {
    name: &'static str,
    first: Step,
    second: Step,
    /// How long a prefill takes, in milliseconds.
    prefill_ms: u64,
    /// When the second engine gets free memory, in milliseconds after the request.
    memory_after_ms: u64,
    /// Whether the caller receives the complete stream.
    is_complete: bool,
    /// Number of requests that engines received.
    arrivals: usize,
    /// Number of unused reservations that were released.
    released: usize,
}

#[tokio::test(start_paused = true)]
async fn a_stalled_engine_is_replaced_only_by_one_that_can_resume() {
    let late_end = vec![(0, ONE), (2_000, TWO), (0, THREE)];
    let cases = [
        StallCase {
            name: "stalled, and no other engine has memory: its late events are relayed",
            first: Step::Paced(late_end),
            second: Step::Stream(vec![TWO, THREE]),
            prefill_ms: 0,
            memory_after_ms: 60_000,
            is_complete: true,
            arrivals: 1,
            released: 0,
        },
        StallCase {
            name: "stalled for good: the stream resumes at another engine",
            first: Step::Stalled(vec![ONE]),
            second: Step::Stream(vec![TWO, THREE]),
            prefill_ms: 100,
            memory_after_ms: 0,
            is_complete: true,
            arrivals: 2,
            released: 0,
        },
        StallCase {
            name: "it sends events again before another engine is prepared",
            first: Step::Paced(vec![(0, ONE), (1_500, TWO), (0, THREE)]),
            second: Step::Stream(vec![TWO, THREE]),
            prefill_ms: 500,
            memory_after_ms: 0,
            is_complete: true,
            arrivals: 1,
            released: 1,
        },
        StallCase {
            name: "stalled for good, and memory becomes free later",
            first: Step::Stalled(vec![ONE]),
            second: Step::Stream(vec![TWO, THREE]),
            prefill_ms: 0,
            memory_after_ms: 3_000,
            is_complete: true,
            arrivals: 2,
            released: 0,
        },
        StallCase {
            name: "broken, and memory becomes free before the caller gives up",
            first: Step::Broken(vec![ONE]),
            second: Step::Stream(vec![TWO, THREE]),
            prefill_ms: 0,
            memory_after_ms: 700,
            is_complete: true,
            arrivals: 2,
            released: 0,
        },
        StallCase {
            name: "broken, and no memory becomes free",
            first: Step::Broken(vec![ONE]),
            second: Step::Stream(vec![TWO, THREE]),
            prefill_ms: 0,
            memory_after_ms: 60_000,
            is_complete: false,
            arrivals: 1,
            released: 0,
        },
    ];
    for case in cases {
        play(case).await;
    }
}

async fn play(case: StallCase) {
    let site = ScriptedSite::default();
    site.script("decode-1", [case.first]);
    site.script("decode-2", [case.second]);
    *site.prefill_takes.lock().unwrap() = Duration::from_millis(case.prefill_ms);
    // Only the first engine has memory at the start.
    site.full.lock().unwrap().push("decode-2".to_owned());
    let (context, _directory) = site.context(pool());
    let tasks = context.tasks.clone();
    let full = Arc::clone(&site.full);
    let freeing = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(case.memory_after_ms)).await;
        full.lock().unwrap().clear();
    });
    let routed = request(RequestKind::Streaming, 2, true);
    let response = handle_request(context, routed).await;
    let body = read_response_body(response.into_body(), 10_000).await;
    let text = body.ok().map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
    assert_eq!(
        text == Some(format!("{ONE}{TWO}{THREE}")),
        case.is_complete,
        "{}: {text:?}",
        case.name
    );
    freeing.abort();
    tasks.close();
    tasks.wait().await;
    let record = site.record.lock().unwrap();
    assert_eq!(record.arrivals.len(), case.arrivals, "{}", case.name);
    assert_eq!(record.released_reservations.len(), case.released, "{}", case.name);
}

#[tokio::test(start_paused = true)]
async fn an_incomplete_failure_response_ends_at_the_deadline() {
    for kind in [RequestKind::Streaming, RequestKind::NonIdempotent] {
        let site = ScriptedSite::default();
        let stage = (kind == RequestKind::Streaming).then_some(EngineStage::Decode);
        site.script("one", [Step::StalledFailure(500)]);
        let (context, _directory) = site.context(view([entry("one", "near", stage)]));
        let routed = request(kind, 1, false);
        let limit = routed.remaining();
        let started = tokio::time::Instant::now();
        let response = handle_request(context, routed).await;
        assert_eq!(response.status().as_u16(), 504, "{kind:?}");
        assert!(started.elapsed() <= limit + Duration::from_millis(5), "{kind:?}");
    }
}
