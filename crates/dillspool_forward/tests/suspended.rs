//! The host is suspended during a request, while its monotonic clock stands still.

mod common;

use std::time::Duration;

use common::{ONE, ScriptedSite, Step, TWO, entry, pool, request, view};
use dillspool_cases::ClockJumps;
use dillspool_forward::{BudgetSettings, RetryBudgets, handle_request};
use dillspool_io::{StallDetector, read_response_body};
use dillspool_routing::{RequestKind, RoutedRequest};
use tokio_util::sync::CancellationToken;

/// Longer than the deadline of any request in these tests.
const SUSPENDED: Duration = Duration::from_secs(20);

/// When the host is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum When {
    /// After the request's head was read and before it is processed.
    Arrived,
    /// During the prefill of its prompt.
    Prefilling,
    /// While the first backend server processes it.
    Sent,
    /// Never.
    Never,
}

struct SuspendCase {
    name: &'static str,
    kind: RequestKind,
    when: When,
    /// What the first backend server does; the second one responds.
    first: Step,
    status: u16,
    /// Number of requests that backend servers receive.
    sends: usize,
}

fn cases() -> Vec<SuspendCase> {
    use RequestKind::{Idempotent, NonIdempotent, Streaming};
    let case = |name, kind, when, first, status, sends| SuspendCase {
        name,
        kind,
        when,
        first,
        status,
        sends,
    };
    let stream = || Step::Stream(vec![ONE, TWO]);
    vec![
        case("call, awake", Idempotent, When::Never, Step::Lost, 200, 2),
        case("call, before it", Idempotent, When::Arrived, Step::Lost, 503, 0),
        case("call, lost during it", Idempotent, When::Sent, Step::Lost, 504, 1),
        case("call, refused during it", NonIdempotent, When::Sent, Step::NotRun(503), 503, 1),
        case(
            "call, its response has arrived",
            Idempotent,
            When::Sent,
            Step::Answer(200, "ok"),
            200,
            1,
        ),
        case("stream, awake", Streaming, When::Never, Step::Lost, 200, 2),
        case("stream, before it", Streaming, When::Arrived, stream(), 503, 0),
        case("stream, during the prefill", Streaming, When::Prefilling, stream(), 503, 0),
        case("stream, lost during it", Streaming, When::Sent, Step::Lost, 504, 1),
        case("stream, its response has arrived", Streaming, When::Sent, stream(), 200, 1),
    ]
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_after_a_deadline_that_passed_during_a_suspension() {
    for case in cases() {
        let (site, jumps) = (ScriptedSite::default(), ClockJumps::default());
        let is_stream = case.kind == RequestKind::Streaming;
        let (one, two) = if is_stream { ("decode-1", "decode-2") } else { ("one", "two") };
        let second = if is_stream { Step::Stream(vec![ONE, TWO]) } else { Step::Answer(200, "ok") };
        site.script(one, [case.first.clone()]);
        site.script(two, [second]);
        let directory_view = if is_stream {
            pool()
        } else {
            view([entry(one, "near", None), entry(two, "far", None)])
        };
        let (context, _directory) = site.context(directory_view);
        tokio::task::yield_now().await;
        let clock = jumps.clock();
        let fresh = request(case.kind, 2, true);
        let time_limit = fresh.deadline.since(fresh.arrived);
        let arrived = clock.now();
        let routed = RoutedRequest { clock, arrived, deadline: arrived + time_limit, ..fresh };
        *site.prefill_takes.lock().unwrap() = Duration::from_millis(50);
        match case.when {
            When::Never => {}
            When::Arrived => jumps.suspend(SUSPENDED),
            When::Prefilling => {
                let jumps = jumps.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    jumps.suspend(SUSPENDED);
                });
            }
            When::Sent => {
                let jumps = jumps.clone();
                site.on_arrival(move || jumps.suspend(SUSPENDED));
            }
        }
        let response = handle_request(context, routed).await;
        let status = response.status().as_u16();
        let _body = read_response_body(response.into_body(), 10_000).await;
        assert_eq!(status, case.status, "{}", case.name);
        assert_eq!(site.record.lock().unwrap().arrivals.len(), case.sends, "{}", case.name);
        if let Some(arrival) = site.record.lock().unwrap().arrivals.last() {
            assert!(arrival.params.time_budget <= time_limit, "{}", case.name);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn the_retry_budget_window_includes_suspended_time() {
    let jumps = ClockJumps::default();
    let settings = BudgetSettings { ratio: 0.0, window: Duration::from_secs(10), extra: 4.0 };
    let budgets = RetryBudgets::new(settings, jumps.clock());
    budgets.set_host_count(1);
    let service = "service".into();
    let taken = (0..10).filter(|_try| budgets.try_withdraw(&service)).count();
    assert_eq!(taken, 3, "three quarters of four");
    jumps.suspend(Duration::from_secs(9));
    assert!(!budgets.try_withdraw(&service), "the window is not over");
    jumps.suspend(Duration::from_secs(2));
    assert!(budgets.try_withdraw(&service), "the window is over");
}

/// Suspension in the middle of a request, shorter than the request's time limit.
const SHORT_SUSPENSION: Duration = Duration::from_millis(1500);
/// Longest delay of the final response after the deadline: a host checks four times a second whether it was
/// suspended.
const LATEST_FINAL: Duration = Duration::from_millis(400);

struct FinalCase {
    name: &'static str,
    kind: RequestKind,
    /// What each backend server does.
    step: Step,
    prefill_takes: Duration,
}

/// A timer set before a suspension fires late by the length of the suspension, so a host that was suspended for
/// 1.5 s in a request returned its final response 1.5 s after the deadline.
#[tokio::test(start_paused = true)]
async fn the_final_response_arrives_at_the_deadline_despite_a_suspension() {
    use RequestKind::{NonIdempotent, Streaming};
    let at_once = Duration::ZERO;
    let never = Duration::from_hours(1);
    let case = |name, kind, step, prefill_takes| FinalCase { name, kind, step, prefill_takes };
    let cases = [
        case("a call without a response", NonIdempotent, Step::Silent, at_once),
        case("a failure that stalls", Streaming, Step::StalledFailure(500), at_once),
        case("a stream without a head", Streaming, Step::Silent, at_once),
        case("a stream that stalls", Streaming, Step::Stalled(vec![ONE]), at_once),
        case("a prefill without a response", Streaming, Step::Silent, never),
    ];
    for case in cases {
        let (site, jumps) = (ScriptedSite::default(), ClockJumps::default());
        let ids = ["decode-1", "decode-2", "one"];
        for id in ids {
            site.script(id, [case.step.clone()]);
        }
        let is_stream = case.kind == Streaming;
        let directory_view = if is_stream { pool() } else { view([entry("one", "near", None)]) };
        let (context, _directory) = site.context(directory_view);
        tokio::task::yield_now().await;
        *site.prefill_takes.lock().unwrap() = case.prefill_takes;
        let clock = jumps.clock();
        let cancel = CancellationToken::new();
        let _awake = StallDetector::start(clock.clone(), cancel.clone());
        let fresh = request(case.kind, 1, false);
        let time_limit = fresh.deadline.since(fresh.arrived);
        assert!(
            time_limit > SHORT_SUSPENSION + Duration::from_secs(1),
            "{}: the time limit is too short",
            case.name
        );
        let arrived = clock.now();
        let deadline = arrived + time_limit;
        let routed = RoutedRequest { clock: clock.clone(), arrived, deadline, ..fresh };
        let suspending = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            jumps.suspend(SHORT_SUSPENSION);
        };
        let answering = async {
            let response = handle_request(context, routed).await;
            let _body = read_response_body(response.into_body(), 10_000).await;
            clock.now()
        };
        let ((), ended) = tokio::join!(suspending, answering);
        let late = ended.since(deadline);
        assert!(late <= LATEST_FINAL, "{}: {late:?} after its deadline", case.name);
        assert!(ended + LATEST_FINAL >= deadline, "{}: given up early", case.name);
        cancel.cancel();
    }
}
