//! For each promise a planted fault that the checker must catch.

use dillspool_io::NetStack;
use dillspool_site_standin::{
    EXPECTED_BACKEND, REQUEST_ID, RunLog, StandinBackend, StandinKind, expected_answer, stream_text,
};
use dillspool_soak::{CallKind, CallOutcome, CallRecord, check_calls};
use http_body_util::Full;
use hyper::Request;
use std::time::Duration;

/// Runs an attempt at a stand-in, so that the log of runs has it.
async fn run(runs: &RunLog, id: &str, times: usize) {
    let backend = StandinBackend::new("b", StandinKind::Plain, runs);
    let stack = NetStack::tcp();
    let address = backend.serve(&stack, ([127, 0, 0, 1], 0).into()).await.expect("a port");
    for _time in 0..times {
        let request = Request::builder()
            .uri("/x")
            .header(REQUEST_ID, id)
            .header(EXPECTED_BACKEND, "b")
            .body(Full::default())
            .expect("a request");
        let limit = Duration::from_secs(5);
        dillspool_io::exchange_once(&stack, address, request, limit).await.expect("an answer");
    }
    backend.crash();
}

struct PlantedCase {
    name: &'static str,
    kind: CallKind,
    outcome: CallOutcome,
    runs: usize,
    promise: Option<&'static str>,
}

fn answer(status: u16, body: &str) -> CallOutcome {
    CallOutcome::Answer(status, body.to_owned())
}

#[tokio::test]
async fn planted_faults_are_caught() {
    use CallKind::{Repeatable, ResumableStream, Stream, Unrepeatable};
    let once = Some("an unrepeatable request runs once at most");
    let refusal = Some("a refusal that says not run is true");
    let whole = Some("every caller gets the whole answer to its own request");
    let ran = Some("a success ran");
    let case =
        |name, kind, outcome, runs, promise| PlantedCase { name, kind, outcome, runs, promise };
    let good = expected_answer("r");
    let events = stream_text("r", 0);
    let cases = [
        case("served", Unrepeatable, answer(200, &good), 1, None),
        case("refused", Unrepeatable, answer(503, ""), 0, None),
        case("unknown", Unrepeatable, answer(502, ""), 1, None),
        case("repeated", Repeatable, answer(200, &good), 2, None),
        case("resumed", ResumableStream, answer(200, &events), 2, None),
        case("broken off", Stream, CallOutcome::Nothing, 1, None),
        case("ran twice", Unrepeatable, answer(200, &good), 2, once),
        case("ran twice, unknown to its caller", Stream, CallOutcome::Nothing, 2, once),
        case("refused and ran", Unrepeatable, answer(503, ""), 1, refusal),
        case("asked to come back and ran", Stream, answer(429, ""), 1, refusal),
        case("another's answer", Repeatable, answer(200, "answer to s"), 1, whole),
        case("cut short as if whole", Unrepeatable, answer(200, "ans"), 1, whole),
        case("an event missing", Stream, answer(200, &stream_text("r", 1)), 1, whole),
        case(
            "an event twice",
            ResumableStream,
            answer(200, &format!("{events}{events}")),
            1,
            whole,
        ),
        case("made up", Repeatable, answer(200, &good), 0, ran),
    ];
    for case in cases {
        let runs = RunLog::default();
        run(&runs, "r", case.runs).await;
        let record = CallRecord { id: "r".to_owned(), kind: case.kind, outcome: case.outcome };
        let found = check_calls(&[record], &runs);
        let promises: Vec<&str> = found.iter().map(|it| it.promise).collect();
        assert_eq!(promises, case.promise.into_iter().collect::<Vec<_>>(), "{}", case.name);
    }
}

#[tokio::test]
async fn a_run_that_nobody_asked_for_is_caught() {
    let runs = RunLog::default();
    run(&runs, "smuggled", 1).await;
    let found = check_calls(&[], &runs);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].promise, "only what callers send runs");
}
