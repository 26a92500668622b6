//! Model requests: memory is reserved before the prefill, events arrive once and in order, streams resume.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{ONE, ScriptedSite, Step, THREE, TWO, pool, request};
use dillspool_forward::{BudgetSettings, RetryBudgets, handle_request};
use dillspool_io::{HostClock, ResponseBody, read_response_body};
use dillspool_routing::RequestKind;
use hyper::Response;

async fn body_of(response: Response<ResponseBody>) -> Result<String, String> {
    let body = read_response_body(response.into_body(), 10_000).await;
    body.map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
        .map_err(|error| error.to_string())
}

struct StreamCase {
    name: &'static str,
    resumable: bool,
    first: Step,
    second: Step,
    /// The body, or `None` if the response must break off.
    body: Option<String>,
    arrivals: usize,
}

#[tokio::test(start_paused = true)]
async fn events_arrive_once_in_order_and_broken_streams_end_with_an_error() {
    let complete = format!("{ONE}{TWO}{THREE}");
    let case = |name, resumable, first, second, body: Option<&str>, arrivals| StreamCase {
        name,
        resumable,
        first,
        second,
        body: body.map(str::to_owned),
        arrivals,
    };
    let cases = [
        case(
            "complete",
            false,
            Step::Stream(vec![ONE, TWO, THREE]),
            Step::Lost,
            Some(&complete),
            1,
        ),
        case(
            "split at odd places",
            false,
            Step::Stream(vec!["id: 1\nda", "ta: a\n\nid: 2\ndata: b\n", "\nid: 3\ndata: c\n\n"]),
            Step::Lost,
            Some(&complete),
            1,
        ),
        case(
            "broken, resumed after the last complete event",
            true,
            Step::Broken(vec![ONE, "id: 2\nda"]),
            Step::Stream(vec![TWO, THREE]),
            Some(&complete),
            2,
        ),
        case("broken, not resumable", false, Step::Broken(vec![ONE]), Step::Lost, None, 1),
        case(
            "ended within an event",
            false,
            Step::Stream(vec![ONE, "id: 2\nda"]),
            Step::Lost,
            None,
            1,
        ),
        case("an event twice", false, Step::Stream(vec![ONE, ONE]), Step::Lost, None, 1),
        case(
            "resumed with an event twice",
            true,
            Step::Broken(vec![ONE, TWO]),
            Step::Stream(vec![TWO, THREE]),
            None,
            2,
        ),
        case("broken twice", true, Step::Broken(vec![ONE]), Step::Broken(vec![TWO]), None, 2),
    ];
    for case in cases {
        let site = ScriptedSite::default();
        site.script("decode-1", [case.first]);
        site.script("decode-2", [case.second]);
        let (context, _directory) = site.context(pool());
        let routed = request(RequestKind::Streaming, 2, case.resumable);
        let response = handle_request(context, routed).await;
        assert_eq!(response.status().as_u16(), 200, "{}", case.name);
        let body = body_of(response).await.ok();
        assert_eq!(body, case.body, "{}", case.name);
        let record = site.record.lock().unwrap();
        assert_eq!(record.arrivals.len(), case.arrivals, "{}", case.name);
        if let Some(second) = record.arrivals.get(1) {
            assert!(second.params.resume_after.is_some(), "{}", case.name);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn memory_is_reserved_before_the_prefill_and_for_a_growing_response() {
    let site = ScriptedSite::default();
    site.script("decode-1", [Step::Stream(vec![ONE])]);
    let (context, _directory) = site.context(pool());
    let response = handle_request(context, request(RequestKind::Streaming, 1, false)).await;
    assert_eq!(body_of(response).await.as_deref(), Ok(ONE));
    let record = site.record.lock().unwrap();
    // 1,000 for the prompt, and the minimum response of 500, since the estimate is lower.
    assert_eq!(record.reservations, [("decode-1".to_owned(), 1500)]);
    assert_eq!(record.prefills, ["prefill-1"]);
    let sent = &record.arrivals[0].params;
    assert_eq!(sent.reservation.as_deref(), Some("hold-1"));
    assert_eq!(sent.prefilled.as_ref().map(|it| &*it.handle), Some("handle"));
    assert!(record.released_reservations.is_empty() && record.released_prefills.is_empty());
}

#[tokio::test(start_paused = true)]
async fn without_memory_nothing_is_prefilled_and_the_caller_is_told_to_retry() {
    let site = ScriptedSite::default();
    site.full.lock().unwrap().extend(["decode-1".to_owned(), "decode-2".to_owned()]);
    let (context, _directory) = site.context(pool());
    let started = tokio::time::Instant::now();
    let response = handle_request(context, request(RequestKind::Streaming, 1, false)).await;
    assert_eq!(response.status().as_u16(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert!(started.elapsed() < Duration::from_millis(75), "the refusal is immediate");
    let record = site.record.lock().unwrap();
    assert!(record.prefills.is_empty() && record.arrivals.is_empty());
}

#[tokio::test(start_paused = true)]
async fn without_a_prefill_the_decode_engine_prefills_the_prompt() {
    let site = ScriptedSite::default();
    site.script("decode-1", [Step::Stream(vec![ONE])]);
    *site.refuses_prefill.lock().unwrap() = true;
    let (context, _directory) = site.context(pool());
    let response = handle_request(context, request(RequestKind::Streaming, 1, false)).await;
    assert_eq!(body_of(response).await.as_deref(), Ok(ONE));
    let record = site.record.lock().unwrap();
    assert_eq!(record.arrivals[0].params.prefilled, None);
    assert!(record.arrivals[0].params.reservation.is_some());
}

#[tokio::test(start_paused = true)]
async fn reservation_and_prefill_are_released_when_the_request_is_not_sent() {
    let site = ScriptedSite::default();
    site.script("decode-1", [Step::Unreachable]);
    site.script("decode-2", [Step::Unreachable]);
    let (context, _directory) = site.context(pool());
    let tasks = context.tasks.clone();
    let response = handle_request(context, request(RequestKind::Streaming, 1, false)).await;
    assert_eq!(response.status().as_u16(), 503);
    tasks.close();
    tasks.wait().await;
    let record = site.record.lock().unwrap();
    assert_eq!(record.released_reservations, ["hold-1", "hold-2"]);
    assert_eq!(record.released_prefills.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_may_not_be_resumed_is_not_retried() {
    struct AmbiguousCase {
        step: Step,
        status: u16,
    }
    let cases = [
        AmbiguousCase { step: Step::Lost, status: 502 },
        AmbiguousCase { step: Step::Silent, status: 504 },
        AmbiguousCase { step: Step::Unsealed(200), status: 502 },
        AmbiguousCase { step: Step::NotRun(503), status: 200 },
    ];
    for case in cases {
        let site = ScriptedSite::default();
        site.script("decode-1", [case.step.clone()]);
        site.script("decode-2", [Step::Stream(vec![ONE])]);
        let (context, _directory) = site.context(pool());
        let response = handle_request(context, request(RequestKind::Streaming, 2, false)).await;
        assert_eq!(response.status().as_u16(), case.status, "{:?}", case.step);
    }
}

#[tokio::test(start_paused = true)]
async fn a_retry_of_a_caller_waits_briefly_for_memory() {
    let site = ScriptedSite::default();
    site.script("decode-1", [Step::Stream(vec![ONE])]);
    site.full.lock().unwrap().extend(["decode-1".to_owned(), "decode-2".to_owned()]);
    let (context, _directory) = site.context(pool());
    let mut routed = request(RequestKind::Streaming, 1, false);
    // A third of its time limit has passed.
    routed.spent_before = Duration::from_secs(5);
    routed.deadline = routed.deadline.saturating_sub(Duration::from_secs(5));
    let full = Arc::clone(&site.full);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        full.lock().unwrap().clear();
    });
    let response = handle_request(context, routed).await;
    assert_eq!(response.status().as_u16(), 200);
}

#[tokio::test(start_paused = true)]
async fn repeated_prefills_count_against_the_retry_budget() {
    let site = ScriptedSite::default();
    site.script("decode-1", [Step::NotRun(503)]);
    site.script("decode-2", [Step::NotRun(503)]);
    let (mut context, _directory) = site.context(pool());
    let settings = BudgetSettings { ratio: 0.2, window: Duration::from_secs(10), extra: 8.0 };
    context.budgets = RetryBudgets::new(settings, HostClock::steady());
    context.budgets.set_host_count(8);
    for _request in 0..100 {
        let routed = request(RequestKind::Streaming, 2, false);
        let _response = handle_request(context.clone(), routed).await;
    }
    let record = site.record.lock().unwrap();
    let (repeats, prefills) = (record.arrivals.len() - 100, record.prefills.len());
    // The ratio of 100 requests plus this host's share of the extra budget. A prefill engine whose results are
    // not used receives few prompts.
    assert!((5..=21).contains(&repeats), "{repeats}");
    assert!(prefills + repeats <= 100 + 21, "{prefills} and {repeats}");
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_refused_a_prefill_is_excluded_for_a_while() {
    let site = ScriptedSite::default();
    site.script("decode-1", [Step::Stream(vec![ONE])]);
    site.script("decode-2", [Step::Stream(vec![ONE])]);
    *site.refuses_prefill.lock().unwrap() = true;
    let (context, _directory) = site.context(pool());
    for _request in 0..10 {
        let routed = request(RequestKind::Streaming, 1, false);
        let response = handle_request(context.clone(), routed).await;
        assert_eq!(body_of(response).await.as_deref(), Ok(ONE));
    }
    assert_eq!(site.record.lock().unwrap().prefills.len(), 1);
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let _response = handle_request(context, request(RequestKind::Streaming, 1, false)).await;
    assert_eq!(site.record.lock().unwrap().prefills.len(), 2);
}
