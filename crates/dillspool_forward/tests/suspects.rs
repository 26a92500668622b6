//! Requests whose connection broke: whether the backend server crashed, and how further copies are
//! handled.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{ONE, ScriptedSite, Step, entry, request, view};
use dillspool_forward::{ForwardContext, handle_request};
use dillspool_io::read_response_body;
use dillspool_routing::{
    BackendEntry, BackendStart, BackendState, DirectoryView, EngineStage, RequestKind,
    RoutedRequest,
};
use dillspool_suspects::{FingerprintKey, RequestFingerprint, SuspectDecision};
use hyper::header::RETRY_AFTER;

const BEFORE: Option<BackendStart> = Some(BackendStart(1));
const AFTER: Option<BackendStart> = Some(BackendStart(2));

/// What the directory shows of the backend server some time after the failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterFailure {
    Same,
    Gone,
    Restarted,
    Draining,
}

struct FailureCase {
    name: &'static str,
    step: Step,
    /// Whether connections are refused after the failure; `None` if there is no response.
    refuses: Option<bool>,
    /// State in the directory before the failure, and what it shows three seconds after it.
    known: BackendState,
    after_failure: AfterFailure,
    decision: SuspectDecision,
}

use BackendState::{Draining, Ready};

const WATCHED: SuspectDecision = SuspectDecision::Watched { ends: 1 };

fn cases() -> Vec<FailureCase> {
    let lost = || Step::Lost;
    let case = |name, step, refuses, known, after_failure, decision| FailureCase {
        name,
        step,
        refuses,
        known,
        after_failure,
        decision,
    };
    vec![
        case("it refuses connections", lost(), Some(true), Ready, AfterFailure::Same, WATCHED),
        case(
            "its stream breaks",
            Step::Broken(vec![ONE]),
            Some(true),
            Ready,
            AfterFailure::Same,
            WATCHED,
        ),
        case(
            "it keeps running",
            lost(),
            Some(false),
            Ready,
            AfterFailure::Same,
            SuspectDecision::Clear,
        ),
        case(
            "it accepts connections and restarts",
            lost(),
            Some(false),
            Ready,
            AfterFailure::Restarted,
            WATCHED,
        ),
        case(
            "it accepts connections and is removed",
            lost(),
            Some(false),
            Ready,
            AfterFailure::Gone,
            SuspectDecision::Clear,
        ),
        case("no response, its row expires", lost(), None, Ready, AfterFailure::Gone, WATCHED),
        case("no response, it restarts", lost(), None, Ready, AfterFailure::Restarted, WATCHED),
        case(
            "no response, it recovers",
            lost(),
            None,
            Ready,
            AfterFailure::Same,
            SuspectDecision::Clear,
        ),
        case(
            "no response, it drains",
            lost(),
            None,
            Ready,
            AfterFailure::Draining,
            SuspectDecision::Clear,
        ),
        case(
            "it was known to be draining",
            lost(),
            Some(true),
            Draining,
            AfterFailure::Gone,
            SuspectDecision::Clear,
        ),
        case(
            "it refuses the request",
            Step::NotRun(503),
            Some(true),
            Ready,
            AfterFailure::Same,
            SuspectDecision::Clear,
        ),
        case(
            "it responds with an error",
            Step::Answer(500, "failed"),
            Some(true),
            Ready,
            AfterFailure::Same,
            SuspectDecision::Clear,
        ),
        case(
            "no connection is made",
            Step::Unreachable,
            Some(true),
            Ready,
            AfterFailure::Same,
            SuspectDecision::Clear,
        ),
    ]
}

/// One engine, or one plain backend server.
fn single_backend(
    kind: RequestKind,
    start: Option<BackendStart>,
    state: BackendState,
) -> DirectoryView {
    let part = (kind == RequestKind::Streaming).then_some(EngineStage::Decode);
    view([BackendEntry { start, state, ..entry("one", "near", part) }])
}

async fn send(context: &ForwardContext, kind: RequestKind) -> (u16, bool, bool) {
    let response = handle_request(context.clone(), request(kind, 1, false)).await;
    let (status, has_retry_after) =
        (response.status().as_u16(), response.headers().contains_key(RETRY_AFTER));
    let is_complete = read_response_body(response.into_body(), 10_000).await.is_ok();
    (status, has_retry_after, is_complete)
}

#[tokio::test(start_paused = true)]
async fn only_a_crash_counts_against_the_request() {
    for kind in [RequestKind::Streaming, RequestKind::NonIdempotent, RequestKind::Idempotent] {
        for case in cases() {
            let name = format!("{kind:?}: {}", case.name);
            let site = ScriptedSite::default();
            site.script("one", [case.step.clone()]);
            match case.refuses {
                Some(true) => site.crashed.lock().unwrap().push("one".to_owned()),
                Some(false) => {}
                None => site.unresponsive.lock().unwrap().push("one".to_owned()),
            }
            let (context, directory) =
                site.context(single_backend(kind, BEFORE, BackendState::Ready));
            tokio::task::yield_now().await;
            let print = request(kind, 1, false).fingerprint;
            let (during, sender) = (context.clone(), directory.clone());
            let known = case.known;
            // The row changes while the request is in progress.
            site.on_arrival(move || {
                if known == BackendState::Draining {
                    sender.send_replace(Arc::new(single_backend(
                        kind,
                        BEFORE,
                        BackendState::Draining,
                    )));
                }
            });
            let _response = send(&during, kind).await;
            tokio::time::sleep(Duration::from_secs(3)).await;
            let shown = match case.after_failure {
                AfterFailure::Same => None,
                AfterFailure::Gone => Some(view([])),
                AfterFailure::Restarted => Some(single_backend(kind, AFTER, BackendState::Ready)),
                AfterFailure::Draining => {
                    Some(single_backend(kind, BEFORE, BackendState::Draining))
                }
            };
            if let Some(shown) = shown {
                directory.send_replace(Arc::new(shown));
            }
            tokio::time::sleep(Duration::from_secs(12)).await;
            assert_eq!(context.suspects.decide(print), case.decision, "{name}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_refused_copy_reaches_no_backend_server_and_is_refused_at_once() {
    for kind in [RequestKind::Streaming, RequestKind::NonIdempotent, RequestKind::Idempotent] {
        let site = ScriptedSite::default();
        site.script("one", [Step::Lost]);
        site.crashed.lock().unwrap().push("one".to_owned());
        let (context, directory) = site.context(single_backend(kind, BEFORE, BackendState::Ready));
        for start in 1..=3 {
            let shown = single_backend(kind, Some(BackendStart(start)), BackendState::Ready);
            directory.send_replace(Arc::new(shown));
            tokio::time::sleep(Duration::from_secs(1)).await;
            let (status, _has_retry_after, _is_complete) = send(&context, kind).await;
            assert_eq!(status, 502, "{kind:?}");
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let before = site.record.lock().unwrap().reservation_requests.len();
        let started = tokio::time::Instant::now();
        assert_eq!(send(&context, kind).await, (503, false, true), "{kind:?}");
        assert_eq!(started.elapsed(), Duration::ZERO, "{kind:?}");
        let record = site.record.lock().unwrap();
        assert_eq!(
            (record.arrivals.len(), record.reservation_requests.len()),
            (3, before),
            "{kind:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn one_copy_of_a_watched_request_runs_at_a_time_and_a_success_clears_it() {
    let kind = RequestKind::NonIdempotent;
    // After one crash further copies run as before, since many clients may send the same request.
    for (ends, beside) in [(1, (200, false, true)), (2, (503, true, true))] {
        let site = ScriptedSite::default();
        let lost = std::iter::repeat_n(Step::Lost, ends);
        site.script("one", lost.chain([Step::Silent, Step::Answer(200, "ok")]));
        let (context, directory) = site.context(single_backend(kind, BEFORE, BackendState::Ready));
        for start in 0..ends as u64 {
            let shown = single_backend(kind, Some(BackendStart(start)), BackendState::Ready);
            directory.send_replace(Arc::new(shown));
            site.crashed.lock().unwrap().push("one".to_owned());
            assert_eq!(send(&context, kind).await.0, 502);
            tokio::time::sleep(Duration::from_secs(1)).await;
            site.crashed.lock().unwrap().clear();
        }
        let print = request(kind, 1, false).fingerprint;
        assert_eq!(context.suspects.decide(print), SuspectDecision::Watched { ends });
        let running = tokio::spawn({
            let context = context.clone();
            async move { send(&context, kind).await }
        });
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(send(&context, kind).await, beside, "another copy runs, {ends} ends");
        running.abort();
        let _aborted = running.await;
        assert_eq!(send(&context, kind).await.0, 200, "the other copy has ended, {ends} ends");
        assert_eq!(context.suspects.decide(print), SuspectDecision::Clear);
    }
}

struct PartCase {
    name: &'static str,
    step: Step,
    decision: SuspectDecision,
}

/// A run that breaks off at its beginning is held against the parts of its prompt; a whole answer clears them.
#[tokio::test(start_paused = true)]
async fn a_crash_counts_against_the_parts_of_runs_that_were_starting() {
    let case = |name, step, decision| PartCase { name, step, decision };
    let cases = [
        case("no response", Step::Lost, WATCHED),
        case("a response without events", Step::Broken(vec![]), WATCHED),
        case("a first event just before", Step::Broken(vec![ONE]), WATCHED),
        case("it did not run", Step::NotRun(503), SuspectDecision::Clear),
        case("a whole answer", Step::Stream(vec![ONE]), SuspectDecision::Clear),
    ];
    let part = RequestFingerprint::of_part(&FingerprintKey::default(), "part");
    for PartCase { name, step, decision } in cases {
        let site = ScriptedSite::default();
        site.script("one", [step, Step::Stream(vec![ONE])]);
        site.crashed.lock().unwrap().push("one".to_owned());
        let kind = RequestKind::Streaming;
        let (context, _directory) = site.context(single_backend(kind, BEFORE, BackendState::Ready));
        let send = || async {
            let routed =
                RoutedRequest { part_fingerprints: [part].into(), ..request(kind, 1, false) };
            let response = handle_request(context.clone(), routed).await;
            read_response_body(response.into_body(), 10_000).await.is_ok()
        };
        let _complete = send().await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(context.suspects.decide(part), decision, "{name}");
        assert!(send().await, "{name}: another request with the part");
        assert_eq!(context.suspects.decide(part), SuspectDecision::Clear, "{name}");
    }
}
