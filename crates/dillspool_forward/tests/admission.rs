//! How much memory a request reserves at an engine, and what happens when there is none.

mod common;

use std::time::Duration;

use common::{ONE, ScriptedSite, Step, pool, request};
use dillspool_forward::handle_request;
use dillspool_routing::RequestKind;

struct MemoryCase {
    name: &'static str,
    /// Free tokens of the two engines, of which the first is nearer.
    free: [u64; 2],
    hint: Option<u64>,
    /// Engine that receives the request; none if it is refused.
    placed: Option<&'static str>,
    /// Tokens reserved at that engine.
    reserved: u64,
}

#[tokio::test(start_paused = true)]
async fn a_request_reserves_its_prompt_and_a_part_of_its_response() {
    // The prompt has 1,000 tokens, the response at most 5,000.
    let cases = [
        MemoryCase {
            name: "two fifths of the estimate",
            free: [10_000, 0],
            hint: Some(2_000),
            placed: Some("decode-1"),
            reserved: 1_800,
        },
        MemoryCase {
            name: "just enough",
            free: [1_800, 0],
            hint: Some(2_000),
            placed: Some("decode-1"),
            reserved: 1_800,
        },
        MemoryCase {
            name: "no memory at the nearer engine",
            free: [1_799, 1_800],
            hint: Some(2_000),
            placed: Some("decode-2"),
            reserved: 1_800,
        },
        MemoryCase {
            name: "no memory anywhere",
            free: [1_799, 1_799],
            hint: Some(2_000),
            placed: None,
            reserved: 0,
        },
        MemoryCase {
            name: "a short estimate is raised to the minimum",
            free: [2_000, 0],
            hint: Some(10),
            placed: Some("decode-1"),
            reserved: 1_500,
        },
        MemoryCase {
            name: "no estimate: the longest response counts",
            free: [20_000, 0],
            hint: None,
            placed: Some("decode-1"),
            reserved: 3_000,
        },
        MemoryCase {
            name: "an estimate above the longest response",
            free: [20_000, 0],
            hint: Some(100_000),
            placed: Some("decode-1"),
            reserved: 3_000,
        },
    ];
    for case in cases {
        play(case).await;
    }
}

async fn play(case: MemoryCase) {
    let site = ScriptedSite::default();
    for (id, free) in ["decode-1", "decode-2"].into_iter().zip(case.free) {
        site.script(id, [Step::Stream(vec![ONE])]);
        site.memory.lock().unwrap().insert(id.to_owned(), free);
    }
    let (context, _directory) = site.context(pool());
    let tasks = context.tasks.clone();
    let mut routed = request(RequestKind::Streaming, 1, false);
    if let Some(generation) = &mut routed.generation {
        generation.max_output_tokens = 5_000;
        generation.expected_output_tokens = case.hint;
    }
    let started = tokio::time::Instant::now();
    let response = handle_request(context, routed).await;
    let status = if case.placed.is_some() { 200 } else { 503 };
    assert_eq!(response.status().as_u16(), status, "{}", case.name);
    assert!(started.elapsed() < Duration::from_millis(75), "{}: decided at once", case.name);
    let has_retry_after = response.headers().contains_key("retry-after");
    assert_eq!(
        has_retry_after,
        case.placed.is_none(),
        "{}: it has a Retry-After header",
        case.name
    );
    drop(response);
    tasks.close();
    tasks.wait().await;
    let record = site.record.lock().unwrap();
    let placed = record.arrivals.first().map(|arrival| arrival.backend.as_str());
    assert_eq!(placed, case.placed, "{}", case.name);
    let held: Vec<_> =
        record.reservations.iter().map(|(id, tokens)| (id.as_str(), *tokens)).collect();
    let expected: Vec<_> = case.placed.map(|placed| (placed, case.reserved)).into_iter().collect();
    assert_eq!(held, expected, "{}", case.name);
}
