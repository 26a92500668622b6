//! Plain requests: which attempts are retried, and what the client receives.

mod common;

use std::time::Duration;

use common::{ScriptedSite, Step, entry, request, view};
use dillspool_forward::{BudgetSettings, RetryBudgets, handle_request};
use dillspool_io::{HostClock, read_response_body};
use dillspool_routing::RequestKind;
use dillspool_routing::RequestKind::{Idempotent, NonIdempotent};

struct PlainCase {
    name: &'static str,
    kind: RequestKind,
    max_attempts: u32,
    /// What the first backend server does; the second always answers.
    first: Step,
    status: u16,
    /// Requests that reached a backend server.
    arrivals: usize,
    retry_after: bool,
}

#[tokio::test(start_paused = true)]
async fn each_failure_of_a_backend_server_has_its_response() {
    let case = |name, kind, max_attempts, first, status, arrivals, retry_after| PlainCase {
        name,
        kind,
        max_attempts,
        first,
        status,
        arrivals,
        retry_after,
    };
    let cases = [
        case("answered", NonIdempotent, 1, Step::Answer(200, "ok"), 200, 1, false),
        case(
            "server error, not idempotent",
            NonIdempotent,
            2,
            Step::Answer(500, "no"),
            500,
            1,
            false,
        ),
        case("server error, idempotent", Idempotent, 2, Step::Answer(500, "no"), 200, 2, false),
        case("server error, one attempt", Idempotent, 1, Step::Answer(500, "no"), 500, 1, false),
        case("client error", Idempotent, 2, Step::Answer(404, "no"), 404, 1, false),
        case("not run, one attempt", NonIdempotent, 1, Step::NotRun(503), 503, 1, true),
        case("not run, two attempts", NonIdempotent, 2, Step::NotRun(503), 200, 2, false),
        case("another server's address", NonIdempotent, 1, Step::NotRun(421), 503, 1, true),
        case("unreachable", NonIdempotent, 1, Step::Unreachable, 200, 1, false),
        case("lost, not idempotent", NonIdempotent, 2, Step::Lost, 502, 1, false),
        case("lost, idempotent", Idempotent, 2, Step::Lost, 200, 2, false),
        case("no response, not idempotent", NonIdempotent, 2, Step::Silent, 504, 1, false),
        case("no response, idempotent", Idempotent, 2, Step::Silent, 200, 2, false),
        case("no seal, not idempotent", NonIdempotent, 2, Step::Unsealed(200), 502, 1, false),
        case("no seal, idempotent", Idempotent, 2, Step::Unsealed(200), 200, 2, false),
        case("a refusal without proof", NonIdempotent, 2, Step::Unsealed(503), 502, 1, false),
        case(
            "a sealed refusal without proof",
            NonIdempotent,
            2,
            Step::Answer(503, ""),
            502,
            1,
            false,
        ),
        case("another request's response", NonIdempotent, 2, Step::OtherRequest, 502, 1, false),
        case("an encoded response", NonIdempotent, 2, Step::Encoded, 502, 1, false),
        case("truncated, not idempotent", NonIdempotent, 2, Step::Broken(vec!["o"]), 502, 1, false),
        case("truncated, idempotent", Idempotent, 2, Step::Broken(vec!["o"]), 200, 2, false),
    ];
    for case in cases {
        let site = ScriptedSite::default();
        // The near one costs less, so it is picked first.
        site.script("first", [case.first.clone()]);
        let backends = [entry("first", "near", None), entry("second", "far", None)];
        let (context, _directory) = site.context(view(backends));
        let routed = request(case.kind, case.max_attempts, false);
        let response = handle_request(context, routed).await;
        assert_eq!(response.status().as_u16(), case.status, "{}", case.name);
        let retry_after = response.headers().contains_key("retry-after");
        assert_eq!(retry_after, case.retry_after, "{}", case.name);
        let arrivals = site.record.lock().unwrap().arrivals.len();
        assert_eq!(arrivals, case.arrivals, "{}", case.name);
        if response.status().is_success() {
            let body =
                read_response_body(response.into_body(), 100).await.expect("a complete body");
            assert_eq!(&body[..], b"ok", "{}", case.name);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn the_time_budget_is_the_remaining_time() {
    let site = ScriptedSite::default();
    site.script("first", [Step::Silent]);
    let backends = [entry("first", "near", None), entry("second", "far", None)];
    let (context, _directory) = site.context(view(backends));
    let response = handle_request(context, request(Idempotent, 2, false)).await;
    assert_eq!(response.status().as_u16(), 200);
    let record = site.record.lock().unwrap();
    let budgets: Vec<_> = record.arrivals.iter().map(|it| it.params.time_budget).collect();
    assert_eq!(budgets, [Duration::from_secs(3), Duration::from_millis(1500)]);
}

#[tokio::test(start_paused = true)]
async fn a_dropped_request_reaches_no_second_backend_server() {
    let site = ScriptedSite::default();
    site.script("first", [Step::Silent]);
    let backends = [entry("first", "near", None), entry("second", "far", None)];
    let (context, _directory) = site.context(view(backends));
    let response = handle_request(context, request(Idempotent, 2, false));
    let left = tokio::time::timeout(Duration::from_millis(200), response).await;
    assert!(left.is_err());
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(site.record.lock().unwrap().arrivals.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn retries_end_with_the_budget() {
    let site = ScriptedSite::default();
    site.script("first", [Step::Answer(500, "no")]);
    site.script("second", [Step::Answer(500, "no")]);
    let backends = [entry("first", "near", None), entry("second", "far", None)];
    let (mut context, _directory) = site.context(view(backends));
    let settings = BudgetSettings { ratio: 0.2, window: Duration::from_secs(10), extra: 8.0 };
    context.budgets = RetryBudgets::new(settings, HostClock::steady());
    context.budgets.set_host_count(8);
    for _request in 0..100 {
        let _response = handle_request(context.clone(), request(Idempotent, 2, false)).await;
    }
    let retries = site.record.lock().unwrap().arrivals.len() - 100;
    // At most the ratio and this host's share of the extra retries, of which most are spent.
    assert!((10..=21).contains(&retries), "{retries}");
}

#[tokio::test(start_paused = true)]
async fn a_draining_backend_server_receives_nothing() {
    let site = ScriptedSite::default();
    let mut draining = entry("first", "near", None);
    draining.state = dillspool_routing::BackendState::Draining;
    let (context, _directory) = site.context(view([draining]));
    let response = handle_request(context, request(NonIdempotent, 1, false)).await;
    assert_eq!(response.status().as_u16(), 503);
    assert!(site.record.lock().unwrap().arrivals.is_empty());
}
