//! Which engines have memory enough for a request: its own and some for answers that grow.

mod common;

use std::time::Duration;

use common::{ONE, ScriptedSite, Step, pool, request};
use dillspool_forward::answer_request;
use dillspool_routing::RequestKind;

struct MemoryCase {
    name: &'static str,
    /// Free tokens of the two engines.
    free: [u64; 2],
    hint: Option<u64>,
    /// Engine that gets the request; none when it is refused.
    placed: Option<&'static str>,
    /// Tokens asked of that engine: for the request, and beside it.
    asked: [u64; 2],
    /// Reservations given back because there was no headroom beside them.
    given_back: usize,
}

#[tokio::test(start_paused = true)]
async fn a_request_is_placed_where_answers_can_grow_beside_it() {
    // The prompt has 1,000 tokens, the answer 5,000 at most.
    let cases = [
        MemoryCase {
            name: "room for its own and beside it",
            free: [10_000, 0],
            hint: Some(2_000),
            placed: Some("decode-1"),
            asked: [2_600, 1_400],
            given_back: 0,
        },
        MemoryCase {
            name: "just enough",
            free: [4_000, 0],
            hint: Some(2_000),
            placed: Some("decode-1"),
            asked: [2_600, 1_400],
            given_back: 0,
        },
        MemoryCase {
            name: "no headroom at the nearer engine",
            free: [3_999, 4_000],
            hint: Some(2_000),
            placed: Some("decode-2"),
            asked: [2_600, 1_400],
            given_back: 1,
        },
        MemoryCase {
            name: "no headroom anywhere",
            free: [3_999, 3_999],
            hint: Some(2_000),
            placed: None,
            asked: [0, 0],
            given_back: 2,
        },
        MemoryCase {
            name: "a short guess counts as the least",
            free: [2_000, 0],
            hint: Some(10),
            placed: Some("decode-1"),
            asked: [1_500, 500],
            given_back: 0,
        },
        MemoryCase {
            name: "no guess: the longest answer counts",
            free: [20_000, 0],
            hint: None,
            placed: Some("decode-1"),
            asked: [5_000, 3_500],
            given_back: 0,
        },
        MemoryCase {
            name: "a guess beyond the longest answer",
            free: [20_000, 0],
            hint: Some(100_000),
            placed: Some("decode-1"),
            asked: [6_000, 5_000],
            given_back: 0,
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
        generation.output_limit = 5_000;
        generation.output_hint = case.hint;
    }
    let started = tokio::time::Instant::now();
    let answer = answer_request(context, routed).await;
    let status = if case.placed.is_some() { 200 } else { 503 };
    assert_eq!(answer.status().as_u16(), status, "{}", case.name);
    assert!(started.elapsed() < Duration::from_millis(75), "{}: decided at once", case.name);
    drop(answer);
    tasks.close();
    tasks.wait().await;
    let record = site.record.lock().unwrap();
    let placed = record.arrivals.first().map(|arrival| arrival.backend.as_str());
    assert_eq!(placed, case.placed, "{}", case.name);
    if let Some(placed) = placed {
        let asked = record.holds.iter().filter(|(id, _tokens)| id == placed);
        let asked: Vec<u64> = asked.map(|(_id, tokens)| *tokens).collect();
        assert_eq!(asked, case.asked, "{}", case.name);
    }
    assert_eq!(record.released_holds.len(), case.given_back, "{}", case.name);
}
