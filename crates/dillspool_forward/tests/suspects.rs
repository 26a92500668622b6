//! Runs that broke off: whether the backend server ended, and what follows for the next copy.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{ONE, ScriptedSite, Step, entry, request, view};
use dillspool_forward::{ForwardContext, handle_request};
use dillspool_io::read_response_body;
use dillspool_routing::{
    BackendEntry, BackendStart, BackendState, DirectoryView, EngineStage, RequestKind,
};
use dillspool_suspects::SuspectDecision;
use hyper::header::RETRY_AFTER;

const BEFORE: Option<BackendStart> = Some(BackendStart(1));
const AFTER: Option<BackendStart> = Some(BackendStart(2));

/// What the directory shows of the backend server some time after the break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Later {
    Same,
    Gone,
    Restarted,
    Draining,
}

struct BreakCase {
    name: &'static str,
    step: Step,
    /// Whether a connection is refused after the break; `None` where nobody answers.
    refuses: Option<bool>,
    /// What the directory shows before the break, and three seconds after it.
    known: BackendState,
    later: Later,
    decision: SuspectDecision,
}

use BackendState::{Draining, Ready};

const WATCHED: SuspectDecision = SuspectDecision::Watched { ends: 1 };

fn cases() -> Vec<BreakCase> {
    let lost = || Step::Lost;
    let case = |name, step, refuses, known, later, decision| BreakCase {
        name,
        step,
        refuses,
        known,
        later,
        decision,
    };
    vec![
        case("it refuses connections", lost(), Some(true), Ready, Later::Same, WATCHED),
        case("its stream breaks", Step::Broken(vec![ONE]), Some(true), Ready, Later::Same, WATCHED),
        case("it lives on", lost(), Some(false), Ready, Later::Same, SuspectDecision::Clear),
        case(
            "it takes connections and starts again",
            lost(),
            Some(false),
            Ready,
            Later::Restarted,
            WATCHED,
        ),
        case(
            "it takes connections and leaves",
            lost(),
            Some(false),
            Ready,
            Later::Gone,
            SuspectDecision::Clear,
        ),
        case("nobody answers, its row lapses", lost(), None, Ready, Later::Gone, WATCHED),
        case("nobody answers, another start", lost(), None, Ready, Later::Restarted, WATCHED),
        case(
            "nobody answers, it is back",
            lost(),
            None,
            Ready,
            Later::Same,
            SuspectDecision::Clear,
        ),
        case(
            "nobody answers, it leaves",
            lost(),
            None,
            Ready,
            Later::Draining,
            SuspectDecision::Clear,
        ),
        case(
            "it was known to leave",
            lost(),
            Some(true),
            Draining,
            Later::Gone,
            SuspectDecision::Clear,
        ),
        case(
            "it refuses the request",
            Step::NotRun(503),
            Some(true),
            Ready,
            Later::Same,
            SuspectDecision::Clear,
        ),
        case(
            "it fails the request",
            Step::Answer(500, "failed"),
            Some(true),
            Ready,
            Later::Same,
            SuspectDecision::Clear,
        ),
        case(
            "no connection is made",
            Step::Unreachable,
            Some(true),
            Ready,
            Later::Same,
            SuspectDecision::Clear,
        ),
    ]
}

/// One engine, or one plain backend server.
fn only(kind: RequestKind, start: Option<BackendStart>, state: BackendState) -> DirectoryView {
    let part = (kind == RequestKind::Streaming).then_some(EngineStage::Decode);
    view([BackendEntry { start, state, ..entry("one", "near", part) }])
}

async fn answer(context: &ForwardContext, kind: RequestKind) -> (u16, bool, bool) {
    let response = handle_request(context.clone(), request(kind, 1, false)).await;
    let (status, invites) =
        (response.status().as_u16(), response.headers().contains_key(RETRY_AFTER));
    let whole = read_response_body(response.into_body(), 10_000).await.is_ok();
    (status, invites, whole)
}

#[tokio::test(start_paused = true)]
async fn an_end_stands_against_the_request_only_where_there_was_one() {
    for kind in [RequestKind::Streaming, RequestKind::NonIdempotent, RequestKind::Idempotent] {
        for case in cases() {
            let name = format!("{kind:?}: {}", case.name);
            let site = ScriptedSite::default();
            site.script("one", [case.step.clone()]);
            match case.refuses {
                Some(true) => site.ended.lock().unwrap().push("one".to_owned()),
                Some(false) => {}
                None => site.unclear.lock().unwrap().push("one".to_owned()),
            }
            let (context, directory) = site.context(only(kind, BEFORE, BackendState::Ready));
            tokio::task::yield_now().await;
            let print = request(kind, 1, false).fingerprint;
            let (during, sender) = (context.clone(), directory.clone());
            let known = case.known;
            // The row changes while the request is under way.
            site.on_arrival(move || {
                if known == BackendState::Draining {
                    sender.send_replace(Arc::new(only(kind, BEFORE, BackendState::Draining)));
                }
            });
            let _answer = answer(&during, kind).await;
            tokio::time::sleep(Duration::from_secs(3)).await;
            let shown = match case.later {
                Later::Same => None,
                Later::Gone => Some(view([])),
                Later::Restarted => Some(only(kind, AFTER, BackendState::Ready)),
                Later::Draining => Some(only(kind, BEFORE, BackendState::Draining)),
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
async fn a_refused_copy_reaches_nobody_and_is_told_so_at_once() {
    for kind in [RequestKind::Streaming, RequestKind::NonIdempotent, RequestKind::Idempotent] {
        let site = ScriptedSite::default();
        site.script("one", [Step::Lost]);
        site.ended.lock().unwrap().push("one".to_owned());
        let (context, directory) = site.context(only(kind, BEFORE, BackendState::Ready));
        for start in 1..=3 {
            let shown = only(kind, Some(BackendStart(start)), BackendState::Ready);
            directory.send_replace(Arc::new(shown));
            tokio::time::sleep(Duration::from_secs(1)).await;
            let (status, _invites, _whole) = answer(&context, kind).await;
            assert_eq!(status, 502, "{kind:?}");
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let before = site.record.lock().unwrap().reservation_requests.len();
        let asked = tokio::time::Instant::now();
        assert_eq!(answer(&context, kind).await, (503, false, true), "{kind:?}");
        assert_eq!(asked.elapsed(), Duration::ZERO, "{kind:?}");
        let record = site.record.lock().unwrap();
        assert_eq!(
            (record.arrivals.len(), record.reservation_requests.len()),
            (3, before),
            "{kind:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn one_copy_of_a_watched_request_runs_at_a_time_and_a_good_end_clears_it() {
    let kind = RequestKind::NonIdempotent;
    // After one end copies run as before: many may ask alike.
    for (ends, beside) in [(1, (200, false, true)), (2, (503, true, true))] {
        let site = ScriptedSite::default();
        let lost = std::iter::repeat_n(Step::Lost, ends);
        site.script("one", lost.chain([Step::Silent, Step::Answer(200, "ok")]));
        let (context, directory) = site.context(only(kind, BEFORE, BackendState::Ready));
        for start in 0..ends as u64 {
            let shown = only(kind, Some(BackendStart(start)), BackendState::Ready);
            directory.send_replace(Arc::new(shown));
            site.ended.lock().unwrap().push("one".to_owned());
            assert_eq!(answer(&context, kind).await.0, 502);
            tokio::time::sleep(Duration::from_secs(1)).await;
            site.ended.lock().unwrap().clear();
        }
        let print = request(kind, 1, false).fingerprint;
        assert_eq!(context.suspects.decide(print), SuspectDecision::Watched { ends });
        let running = tokio::spawn({
            let context = context.clone();
            async move { answer(&context, kind).await }
        });
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(answer(&context, kind).await, beside, "another copy runs, {ends} ends");
        running.abort();
        let _aborted = running.await;
        assert_eq!(answer(&context, kind).await.0, 200, "the other copy is over, {ends} ends");
        assert_eq!(context.suspects.decide(print), SuspectDecision::Clear);
    }
}
