//! What the log contains about a request, and what it must never contain.

mod common;

use std::sync::{Mutex, PoisonError};

use common::{ONE, ScriptedSite, Step, entry, request, view};
use dillspool_cases::{fixed_cases, run_paused};
use dillspool_forward::handle_request;
use dillspool_io::read_response_body;
use dillspool_routing::{EngineStage, PromptPart, RequestKind};
use dillspool_suspects::{
    BackendCrash, FingerprintInput, FingerprintKey, RequestFingerprint, SuspectUpdate,
};
use log::{LevelFilter, Log, Metadata, Record};
use proptest::prelude::*;

/// Captures all log lines; the lock makes the tests of this file run one after another.
struct LineCapture {
    lines: Mutex<Vec<String>>,
    lock: Mutex<()>,
}

static CAPTURE: LineCapture = LineCapture { lines: Mutex::new(Vec::new()), lock: Mutex::new(()) };

impl Log for LineCapture {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.lines.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Values that no log line may contain.
#[derive(Clone, Debug)]
struct RequestSecrets {
    body: String,
    key: String,
    part: String,
}

/// Sends one request to two engines that do `step`, and returns the log lines.
fn lines_of(kind: RequestKind, step: &Step, full: bool, secrets: &RequestSecrets) -> Vec<String> {
    let _lock = CAPTURE.lock.lock().unwrap_or_else(PoisonError::into_inner);
    // Only the first call in the process sets the logger.
    let _set_before = log::set_logger(&CAPTURE);
    log::set_max_level(LevelFilter::Trace);
    CAPTURE.lines.lock().unwrap().clear();
    run_paused(async {
        let site = ScriptedSite::default();
        let stage = (kind == RequestKind::Streaming).then_some(EngineStage::Decode);
        for id in ["one", "two"] {
            site.script(id, [step.clone()]);
        }
        if full {
            site.full.lock().unwrap().extend(["one".to_owned(), "two".to_owned()]);
        }
        let mut engines = vec![entry("one", "near", stage), entry("two", "far", stage)];
        if kind == RequestKind::Streaming {
            engines.push(entry("three", "near", Some(EngineStage::Prefill)));
        }
        let (context, _directory) = site.context(view(engines));
        let mut routed = request(kind, 2, true);
        routed.body = secrets.body.clone().into();
        let key = secrets.key.parse().expect("a header value");
        routed.headers.insert(hyper::header::AUTHORIZATION, key);
        if let Some(generation) = &mut routed.generation {
            let part = PromptPart { id: secrets.part.as_str().into(), tokens: 1000 };
            generation.prompt_parts.push(part);
        }
        let response = handle_request(context, routed).await;
        let _complete_or_broken = read_response_body(response.into_body(), 10_000).await;
    });
    CAPTURE.lines.lock().unwrap().clone()
}

fn steps() -> Vec<Step> {
    vec![
        Step::Answer(200, "fine"),
        Step::Answer(500, "own failure"),
        Step::Unsealed(200),
        Step::OtherRequest,
        Step::NotRun(503),
        Step::Unreachable,
        Step::Lost,
        Step::Silent,
        Step::Broken(vec![ONE]),
        Step::Stream(vec![ONE]),
    ]
}

struct LineCase {
    kind: RequestKind,
    step: Step,
    full: bool,
    /// Expected events in order.
    events: Vec<&'static str>,
    /// Expected fields of the last line.
    last: Vec<&'static str>,
}

#[test]
fn each_decision_is_logged_with_its_inputs() {
    let secrets = RequestSecrets { body: "b".into(), key: "k".into(), part: "p".into() };
    let cases = [
        LineCase {
            kind: RequestKind::Idempotent,
            step: Step::Answer(200, "fine"),
            full: false,
            events: vec!["request_ended"],
            last: vec!["outcome=answered", "directory=1", "chosen=1"],
        },
        LineCase {
            kind: RequestKind::Idempotent,
            step: Step::Lost,
            full: false,
            events: vec!["send_failed", "send_failed", "request_ended"],
            last: vec!["outcome=refused", "cause=unknown", "directory=1", "chosen=2"],
        },
        LineCase {
            kind: RequestKind::Streaming,
            step: Step::Stream(vec![ONE]),
            full: false,
            events: vec!["stream_placed", "request_ended"],
            last: vec!["outcome=answered", "events=1"],
        },
        LineCase {
            kind: RequestKind::Streaming,
            step: Step::Stream(vec![ONE]),
            full: true,
            events: vec![
                "reservation_failed",
                "reservation_failed",
                "turned_away",
                "request_ended",
            ],
            last: vec!["outcome=refused", "cause=no_memory"],
        },
    ];
    for case in cases {
        let lines = lines_of(case.kind, &case.step, case.full, &secrets);
        let events: Vec<&str> = lines
            .iter()
            .filter_map(|line| line.strip_prefix("event=")?.split(' ').next())
            .filter(|event| *event != "backend_aside")
            .collect();
        assert_eq!(events, case.events, "{:?}", case.step);
        let last = lines.last().expect("a last line");
        for field in case.last {
            assert!(last.split(' ').any(|found| found == field), "{field} in {last}");
        }
    }
}

proptest! {
    #![proptest_config(fixed_cases(64))]

    #[test]
    fn no_line_contains_a_body_a_key_or_a_part_of_a_prompt(
        step in 0..steps().len(),
        kind in prop_oneof![
            Just(RequestKind::Idempotent),
            Just(RequestKind::NonIdempotent),
            Just(RequestKind::Streaming),
        ],
        full in any::<bool>(),
        body in "[a-zA-Z0-9]{16,40}",
        key in "[a-zA-Z0-9]{16,40}",
        part in "[a-f0-9]{16}",
    ) {
        let secrets = RequestSecrets { body, key, part };
        let lines = lines_of(kind, &steps()[step], full, &secrets);
        prop_assert!(lines.iter().any(|line| line.starts_with("event=request_ended id=request-1 ")));
        for line in &lines {
            prop_assert!(line.starts_with("event=") && !line.contains('\n'), "{}", line);
            for secret in [&secrets.body, &secrets.key, &secrets.part] {
                prop_assert!(!line.contains(secret.as_str()), "{}", line);
            }
        }
    }
}

/// A crash counts against every request that ran there, and all hosts receive all of these updates. If each were
/// logged, hundreds of hosts would write a line for each request, and nearly all of them would be irrelevant.
#[test]
fn updates_from_other_hosts_are_logged_only_for_repeated_crashes() {
    let _lock = CAPTURE.lock.lock().unwrap_or_else(PoisonError::into_inner);
    let _set_before = log::set_logger(&CAPTURE);
    log::set_max_level(LevelFilter::Info);
    CAPTURE.lines.lock().unwrap().clear();
    run_paused(async {
        let site = ScriptedSite::default();
        let (context, _directory) = site.context(view([]));
        let crashed = |number: usize, backend: &str| {
            let body = number.to_le_bytes();
            let parts = FingerprintInput { caller: "", host: "", path: "", body: &body };
            let print = RequestFingerprint::of(&FingerprintKey::default(), &parts);
            let at = context.suspects.now();
            SuspectUpdate::Crashed(BackendCrash { fingerprint: print, backend: backend.into(), at })
        };
        for number in 0..1000 {
            assert!(context.suspects.apply_update(&crashed(number, "one")));
        }
        for backend in ["two", "three"] {
            assert!(context.suspects.apply_update(&crashed(7, backend)));
        }
    });
    let lines = CAPTURE.lines.lock().unwrap().clone();
    let logged: Vec<_> = lines.iter().filter(|line| line.contains("event=suspect ")).collect();
    assert_eq!(logged.len(), 2, "{logged:?}");
    assert!(logged[1].contains("Refused { ends: 3 }"), "{logged:?}");
}
