//! The whole path: from a caller's request to the whole answer, and the refusals on the way.

mod common;

use common::{TOKENS, TestSystem, assert_whole, chat};
use dillspool_local::{CallOutcome, CallerClient, ChatCall};

#[tokio::test(start_paused = true)]
async fn every_host_gives_whole_answers() {
    let system = TestSystem::start().await;
    let caller = system.caller("alerts");
    for host in 0..3 {
        for stream in [true, false] {
            let call = ChatCall { stream, ..chat(&format!("host {host}"), TOKENS) };
            let outcome = caller.chat(system.host(host), &call).await;
            assert_whole(&outcome, &call.text, TOKENS);
        }
    }
    assert_eq!(system.cluster.held_streams(), 0);
}

#[tokio::test(start_paused = true)]
async fn answers_do_not_mix_when_many_run_at_once() {
    let system = TestSystem::start().await;
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..9_usize {
        let caller = system.caller("summaries");
        let host = system.host(number % 3);
        calls.spawn(async move {
            let call = chat(&format!("log {number}"), TOKENS);
            (call.clone(), caller.chat(host, &call).await)
        });
    }
    for (call, outcome) in calls.join_all().await {
        assert_whole(&outcome, &call.text, TOKENS);
    }
}

/// A request that is refused, and what the caller is told.
struct RefusalRow {
    name: &'static str,
    key: &'static str,
    model: &'static str,
    text_bytes: usize,
    status: u16,
    code: &'static str,
}

const REFUSALS: [RefusalRow; 3] = [
    RefusalRow {
        name: "wrong key",
        key: "no key of ours",
        model: "small",
        text_bytes: 10,
        status: 401,
        code: "invalid_api_key",
    },
    RefusalRow {
        name: "unknown model",
        key: "key-of-alerts",
        model: "huge",
        text_bytes: 10,
        status: 404,
        code: "model_not_found",
    },
    RefusalRow {
        name: "body over the limit",
        key: "key-of-alerts",
        model: "small",
        text_bytes: 3 * 1024 * 1024,
        status: 413,
        code: "body_too_large",
    },
];

#[tokio::test(start_paused = true)]
async fn refusals_say_what_is_true_and_what_to_do() {
    let system = TestSystem::start().await;
    for row in &REFUSALS {
        let caller = CallerClient::new(&system.cluster.client_stack(), row.key);
        let call =
            ChatCall { model: row.model.to_owned(), ..chat(&"x".repeat(row.text_bytes), TOKENS) };
        let outcome: CallOutcome = caller.chat(system.host(0), &call).await;
        assert_eq!(outcome.status, row.status, "{}: {outcome:?}", row.name);
        assert_eq!(outcome.code.as_deref(), Some(row.code), "{}", row.name);
        assert_eq!(outcome.outcome.as_deref(), Some("not_run"), "{}", row.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_prompt_too_long_for_its_target_is_refused_at_once() {
    let system = TestSystem::start().await;
    let caller = system.caller("alerts");
    // 25,000 tokens take more than a second to prefill; the target is 400 ms.
    let outcome = caller.chat(system.host(0), &chat(&"x".repeat(100_000), TOKENS)).await;
    assert_eq!(outcome.status, 429, "{outcome:?}");
    assert_eq!(outcome.outcome.as_deref(), Some("not_run"));
    assert!(outcome.retry_after_ms.is_some());
    assert!(outcome.total < std::time::Duration::from_millis(100), "{outcome:?}");
    let prefills: u64 = system.cluster.engines.values().map(|it| it.prefill_counts().0).sum();
    assert_eq!(prefills, 0);
}

/// A path, and whether a route takes it.
struct RouteRow {
    path: &'static str,
    status: u16,
}

const ROUTES: [RouteRow; 5] = [
    RouteRow { path: "/readings", status: 201 },
    RouteRow { path: "/readings/7", status: 201 },
    RouteRow { path: "/readings?station=7", status: 201 },
    RouteRow { path: "/readings-of-others", status: 404 },
    RouteRow { path: "/", status: 404 },
];

#[tokio::test(start_paused = true)]
async fn a_route_takes_its_path_and_what_lies_below_it() {
    let system = TestSystem::start().await;
    let caller = system.caller("alerts");
    for row in &ROUTES {
        let outcome = caller.plain(system.host(0), row.path, None, row.path).await;
        assert_eq!(outcome.status, row.status, "{}: {outcome:?}", row.path);
    }
}
