//! Model requests: memory before the prefill, events once and in order, resumption.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{ONE, ScriptedSite, Step, THREE, TWO, pool, request};
use dillspool_forward::{BudgetSettings, RetryBudgets, handle_request};
use dillspool_io::{HostClock, ResponseBody, read_response_body};
use dillspool_routing::RequestKind;
use hyper::Response;

async fn body_of(answer: Response<ResponseBody>) -> Result<String, String> {
    let body = read_response_body(answer.into_body(), 10_000).await;
    body.map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
        .map_err(|error| error.to_string())
}

struct StreamCase {
    name: &'static str,
    resumable: bool,
    first: Step,
    second: Step,
    /// The body, `None` when the answer must break off.
    body: Option<String>,
    arrivals: usize,
}

#[tokio::test(start_paused = true)]
async fn events_come_once_in_order_and_broken_answers_do_not_end() {
    let whole = format!("{ONE}{TWO}{THREE}");
    let case = |name, resumable, first, second, body: Option<&str>, arrivals| StreamCase {
        name,
        resumable,
        first,
        second,
        body: body.map(str::to_owned),
        arrivals,
    };
    let cases = [
        case("whole", false, Step::Stream(vec![ONE, TWO, THREE]), Step::Lost, Some(&whole), 1),
        case(
            "cut into odd parts",
            false,
            Step::Stream(vec!["id: 1\nda", "ta: a\n\nid: 2\ndata: b\n", "\nid: 3\ndata: c\n\n"]),
            Step::Lost,
            Some(&whole),
            1,
        ),
        case(
            "broken, goes on behind the last whole event",
            true,
            Step::Broken(vec![ONE, "id: 2\nda"]),
            Step::Stream(vec![TWO, THREE]),
            Some(&whole),
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
        let answer = handle_request(context, routed).await;
        assert_eq!(answer.status().as_u16(), 200, "{}", case.name);
        let body = body_of(answer).await.ok();
        assert_eq!(body, case.body, "{}", case.name);
        let record = site.record.lock().unwrap();
        assert_eq!(record.arrivals.len(), case.arrivals, "{}", case.name);
        if let Some(second) = record.arrivals.get(1) {
            assert!(second.terms.resume_after.is_some(), "{}", case.name);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn memory_is_reserved_before_the_prefill_and_for_a_growing_answer() {
    let site = ScriptedSite::default();
    site.script("decode-1", [Step::Stream(vec![ONE])]);
    let (context, _directory) = site.context(pool());
    let answer = handle_request(context, request(RequestKind::Streaming, 1, false)).await;
    assert_eq!(body_of(answer).await.as_deref(), Ok(ONE));
    let record = site.record.lock().unwrap();
    // Prompt 1,000 and the smallest answer of 500, since the hint is less.
    assert_eq!(record.holds, [("decode-1".to_owned(), 1500)]);
    assert_eq!(record.prefills, ["prefill-1"]);
    let sent = &record.arrivals[0].terms;
    assert_eq!(sent.reservation.as_deref(), Some("hold-1"));
    assert_eq!(sent.prefilled.as_ref().map(|it| &*it.handle), Some("handle"));
    assert!(record.released_holds.is_empty() && record.released_prefills.is_empty());
}

#[tokio::test(start_paused = true)]
async fn without_memory_nothing_is_prefilled_and_the_caller_comes_back() {
    let site = ScriptedSite::default();
    site.full.lock().unwrap().extend(["decode-1".to_owned(), "decode-2".to_owned()]);
    let (context, _directory) = site.context(pool());
    let started = tokio::time::Instant::now();
    let answer = handle_request(context, request(RequestKind::Streaming, 1, false)).await;
    assert_eq!(answer.status().as_u16(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    assert!(started.elapsed() < Duration::from_millis(75), "the refusal comes at once");
    let record = site.record.lock().unwrap();
    assert!(record.prefills.is_empty() && record.arrivals.is_empty());
}

#[tokio::test(start_paused = true)]
async fn without_a_prefill_the_decode_engine_reads_the_prompt_itself() {
    let site = ScriptedSite::default();
    site.script("decode-1", [Step::Stream(vec![ONE])]);
    *site.refuses_prefill.lock().unwrap() = true;
    let (context, _directory) = site.context(pool());
    let answer = handle_request(context, request(RequestKind::Streaming, 1, false)).await;
    assert_eq!(body_of(answer).await.as_deref(), Ok(ONE));
    let record = site.record.lock().unwrap();
    assert_eq!(record.arrivals[0].terms.prefilled, None);
    assert!(record.arrivals[0].terms.reservation.is_some());
}

#[tokio::test(start_paused = true)]
async fn what_a_request_holds_is_given_back_when_it_is_not_sent() {
    let site = ScriptedSite::default();
    site.script("decode-1", [Step::Unreachable]);
    site.script("decode-2", [Step::Unreachable]);
    let (context, _directory) = site.context(pool());
    let tasks = context.tasks.clone();
    let answer = handle_request(context, request(RequestKind::Streaming, 1, false)).await;
    assert_eq!(answer.status().as_u16(), 503);
    tasks.close();
    tasks.wait().await;
    let record = site.record.lock().unwrap();
    assert_eq!(record.released_holds, ["hold-1", "hold-2"]);
    assert_eq!(record.released_prefills.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_may_not_be_resumed_is_unrepeatable() {
    struct UnclearCase {
        step: Step,
        status: u16,
    }
    let cases = [
        UnclearCase { step: Step::Lost, status: 502 },
        UnclearCase { step: Step::Silent, status: 504 },
        UnclearCase { step: Step::Unsealed(200), status: 502 },
        UnclearCase { step: Step::NotRun(503), status: 200 },
    ];
    for case in cases {
        let site = ScriptedSite::default();
        site.script("decode-1", [case.step.clone()]);
        site.script("decode-2", [Step::Stream(vec![ONE])]);
        let (context, _directory) = site.context(pool());
        let answer = handle_request(context, request(RequestKind::Streaming, 2, false)).await;
        assert_eq!(answer.status().as_u16(), case.status, "{:?}", case.step);
    }
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_returns_waits_a_moment_for_memory() {
    let site = ScriptedSite::default();
    site.script("decode-1", [Step::Stream(vec![ONE])]);
    site.full.lock().unwrap().extend(["decode-1".to_owned(), "decode-2".to_owned()]);
    let (context, _directory) = site.context(pool());
    let mut routed = request(RequestKind::Streaming, 1, false);
    // It has used up a third of its time.
    routed.spent_before = Duration::from_secs(5);
    routed.deadline = routed.deadline.saturating_sub(Duration::from_secs(5));
    let full = Arc::clone(&site.full);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        full.lock().unwrap().clear();
    });
    let answer = handle_request(context, routed).await;
    assert_eq!(answer.status().as_u16(), 200);
}

#[tokio::test(start_paused = true)]
async fn repeated_prefills_are_in_the_budget_too() {
    let site = ScriptedSite::default();
    site.script("decode-1", [Step::NotRun(503)]);
    site.script("decode-2", [Step::NotRun(503)]);
    let (mut context, _directory) = site.context(pool());
    let terms = BudgetSettings { ratio: 0.2, window: Duration::from_secs(10), extra: 8.0 };
    context.budgets = RetryBudgets::new(terms, HostClock::steady());
    context.budgets.set_host_count(8);
    for _request in 0..100 {
        let routed = request(RequestKind::Streaming, 2, false);
        let _answer = handle_request(context.clone(), routed).await;
    }
    let record = site.record.lock().unwrap();
    let (repeats, prefills) = (record.arrivals.len() - 100, record.prefills.len());
    // The ratio of 100 requests and this host's part of what is beyond it; a prefill engine whose
    // results nobody takes gets few prompts.
    assert!((5..=21).contains(&repeats), "{repeats}");
    assert!(prefills + repeats <= 100 + 21, "{prefills} and {repeats}");
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_refused_a_prefill_is_not_asked_again_at_once() {
    let site = ScriptedSite::default();
    site.script("decode-1", [Step::Stream(vec![ONE])]);
    site.script("decode-2", [Step::Stream(vec![ONE])]);
    *site.refuses_prefill.lock().unwrap() = true;
    let (context, _directory) = site.context(pool());
    for _request in 0..10 {
        let routed = request(RequestKind::Streaming, 1, false);
        let answer = handle_request(context.clone(), routed).await;
        assert_eq!(body_of(answer).await.as_deref(), Ok(ONE));
    }
    assert_eq!(site.record.lock().unwrap().prefills.len(), 1);
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let _answer = handle_request(context, request(RequestKind::Streaming, 1, false)).await;
    assert_eq!(site.record.lock().unwrap().prefills.len(), 2);
}
