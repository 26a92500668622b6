//! A request may end each engine that runs it, and its caller sends it again, to any host.
//!
//! Each copy was a new request to each host, and went on to the next engine when one ended under it: all decode
//! engines of the pool ended one after the other, again each time they were back, for as long as the caller sent
//! it. What a copy had ended was forgotten with it.

mod common;

use std::time::Duration;

use common::{TOKENS, TestSystem, assert_whole, chat};
use dillspool_io::LinkMode;
use dillspool_local::CallOutcome;
use dillspool_standin::{DEADLY_LATE, DEADLY_PROMPT, DEADLY_TEXT, EngineStandIn, PlainStandIn};

/// Copies that the caller sends.
const COPIES: usize = 12;
/// Time between two copies; engines are back by then.
const COPIES_APART: Duration = Duration::from_secs(4);
/// Engines that one request may end: who has ended three is known.
const MOST_ENDS: u64 = 3;

fn ends(system: &TestSystem) -> u64 {
    system.cluster.engines.values().map(EngineStandIn::ends).sum()
}

/// Sends copies to the hosts in turn; what the last one got.
async fn send_copies(system: &TestSystem, text: &str, copies: usize) -> CallOutcome {
    let caller = system.caller("summaries");
    let mut last = CallOutcome::default();
    for copy in 0..copies {
        last = caller.chat(system.host(copy % 3), &chat(text, TOKENS)).await;
        tokio::time::sleep(COPIES_APART).await;
    }
    last
}

fn assert_refused(outcome: &CallOutcome, name: &str) {
    assert_eq!(outcome.status, 503, "{name}: {outcome:?}");
    assert_eq!(outcome.code.as_deref(), Some("deadly_request"), "{name}: {outcome:?}");
    assert_eq!(outcome.outcome.as_deref(), Some("not_run"), "{name}: {outcome:?}");
    assert_eq!(outcome.retry_after_ms, None, "{name}: {outcome:?}");
}

/// Other requests of the caller are served, and other callers.
async fn check_others(system: &TestSystem) {
    for group in ["summaries", "alerts"] {
        let call = chat("a sound request", TOKENS);
        let outcome = system.caller(group).chat(system.host(1), &call).await;
        assert_whole(&outcome, &call.text, TOKENS);
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_ends_what_runs_it_is_stopped() {
    for text in [DEADLY_TEXT, DEADLY_LATE, DEADLY_PROMPT] {
        let system = TestSystem::start().await;
        check_others(&system).await;
        let last = send_copies(&system, text, COPIES).await;
        let ended = ends(&system);
        assert!(ended > 0, "{text}: nothing ended, the test shows nothing");
        assert!(ended <= MOST_ENDS, "{text}: {ended} engines ended");
        assert_refused(&last, text);
        check_others(&system).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_new_scheduler_of_the_pool_knows_it_too() {
    let system = TestSystem::start().await;
    send_copies(&system, DEADLY_TEXT, 4).await;
    let before = ends(&system);
    let scheduler = system.scheduler().await;
    system.set_links(scheduler, LinkMode::Cut);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let caller = system.caller("summaries");
    for copy in 1..6 {
        let host = system.host((scheduler + 1 + copy % 2) % 3);
        let outcome = caller.chat(host, &chat(DEADLY_TEXT, TOKENS)).await;
        assert_refused(&outcome, "another scheduler");
    }
    assert_eq!(ends(&system), before);
}

/// Plain services have no scheduler: each host learns by itself.
#[tokio::test(start_paused = true)]
async fn a_plain_call_that_ends_what_runs_it_is_stopped() {
    for path in ["/config/1", "/readings"] {
        let system = TestSystem::start().await;
        let caller = system.caller("alerts");
        let mut last = CallOutcome::default();
        for _copy in 0..COPIES {
            last = caller.plain(system.host(0), path, None, DEADLY_TEXT).await;
            tokio::time::sleep(COPIES_APART).await;
        }
        let ended: u64 = system.cluster.plains.values().map(PlainStandIn::ends).sum();
        assert!(ended > 0, "{path}: nothing ended, the test shows nothing");
        assert!(ended <= MOST_ENDS, "{path}: {ended} backend servers ended");
        assert_refused(&last, path);
        let other = caller.plain(system.host(0), path, None, "another body").await;
        assert_eq!(other.status, 201, "{path}: {other:?}");
    }
}

/// An answer that has begun waits for another engine for up to thirty seconds; one that is known not to be run any
/// more was kept waiting as long.
#[tokio::test(start_paused = true)]
async fn an_answer_under_way_ends_once_its_request_is_refused() {
    let system = TestSystem::start().await;
    let outcome = system.caller("summaries").chat(system.host(0), &chat(DEADLY_LATE, TOKENS)).await;
    assert_eq!(ends(&system), MOST_ENDS, "{outcome:?}");
    assert!(!outcome.ended, "{outcome:?}");
    assert_eq!(outcome.code.as_deref(), Some("deadly_request"), "{outcome:?}");
    assert!(outcome.total < Duration::from_secs(5), "{outcome:?}");
}
