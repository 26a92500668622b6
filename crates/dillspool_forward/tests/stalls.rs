//! Streams whose engine falls silent or breaks: what the caller still gets, and from whom.

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
    /// When the second engine gets room, in milliseconds after the request.
    room_after_ms: u64,
    /// Whether the whole stream reaches the caller.
    whole: bool,
    /// Requests that reached engines.
    arrivals: usize,
    /// Reservations that were given back without use.
    given_back: usize,
}

#[tokio::test(start_paused = true)]
async fn a_silent_engine_is_left_only_for_one_that_can_go_on() {
    let late_end = vec![(0, ONE), (2_000, TWO), (0, THREE)];
    let cases = [
        StallCase {
            name: "silent, and nobody else has memory: its events still come",
            first: Step::Paced(late_end),
            second: Step::Stream(vec![TWO, THREE]),
            prefill_ms: 0,
            room_after_ms: 60_000,
            whole: true,
            arrivals: 1,
            given_back: 0,
        },
        StallCase {
            name: "silent for good: the stream goes on elsewhere",
            first: Step::Stalled(vec![ONE]),
            second: Step::Stream(vec![TWO, THREE]),
            prefill_ms: 100,
            room_after_ms: 0,
            whole: true,
            arrivals: 2,
            given_back: 0,
        },
        StallCase {
            name: "it speaks again before another engine is prepared",
            first: Step::Paced(vec![(0, ONE), (1_500, TWO), (0, THREE)]),
            second: Step::Stream(vec![TWO, THREE]),
            prefill_ms: 500,
            room_after_ms: 0,
            whole: true,
            arrivals: 1,
            given_back: 1,
        },
        StallCase {
            name: "silent for good, and memory comes later",
            first: Step::Stalled(vec![ONE]),
            second: Step::Stream(vec![TWO, THREE]),
            prefill_ms: 0,
            room_after_ms: 3_000,
            whole: true,
            arrivals: 2,
            given_back: 0,
        },
        StallCase {
            name: "broken, and memory comes before the caller gives up",
            first: Step::Broken(vec![ONE]),
            second: Step::Stream(vec![TWO, THREE]),
            prefill_ms: 0,
            room_after_ms: 700,
            whole: true,
            arrivals: 2,
            given_back: 0,
        },
        StallCase {
            name: "broken, and no memory comes",
            first: Step::Broken(vec![ONE]),
            second: Step::Stream(vec![TWO, THREE]),
            prefill_ms: 0,
            room_after_ms: 60_000,
            whole: false,
            arrivals: 1,
            given_back: 0,
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
    // The first engine alone has memory at the start.
    site.full.lock().unwrap().push("decode-2".to_owned());
    let (context, _directory) = site.context(pool());
    let tasks = context.tasks.clone();
    let full = Arc::clone(&site.full);
    let room = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(case.room_after_ms)).await;
        full.lock().unwrap().clear();
    });
    let routed = request(RequestKind::Streaming, 2, true);
    let answer = handle_request(context, routed).await;
    let body = read_response_body(answer.into_body(), 10_000).await;
    let text = body.ok().map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
    assert_eq!(text == Some(format!("{ONE}{TWO}{THREE}")), case.whole, "{}: {text:?}", case.name);
    room.abort();
    tasks.close();
    tasks.wait().await;
    let record = site.record.lock().unwrap();
    assert_eq!(record.arrivals.len(), case.arrivals, "{}", case.name);
    assert_eq!(record.released_holds.len(), case.given_back, "{}", case.name);
}

#[tokio::test(start_paused = true)]
async fn a_failure_that_never_comes_whole_ends_at_the_time_limit() {
    for kind in [RequestKind::Streaming, RequestKind::NonIdempotent] {
        let site = ScriptedSite::default();
        let stage = (kind == RequestKind::Streaming).then_some(EngineStage::Decode);
        site.script("one", [Step::StalledFailure(500)]);
        let (context, _directory) = site.context(view([entry("one", "near", stage)]));
        let routed = request(kind, 1, false);
        let limit = routed.remaining();
        let started = tokio::time::Instant::now();
        let answer = handle_request(context, routed).await;
        assert_eq!(answer.status().as_u16(), 504, "{kind:?}");
        assert!(started.elapsed() <= limit + Duration::from_millis(5), "{kind:?}");
    }
}
