//! The final log line of a stream reports the stages before its first event and why it was late.

mod common;

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use common::{ONE, ScriptedSite, Step, TWO, pool, request};
use dillspool_cases::run_paused;
use dillspool_forward::handle_request;
use dillspool_io::read_response_body;
use dillspool_routing::{RequestKind, RoutedRequest};
use log::{LevelFilter, Log, Metadata, Record};

/// Captures all log lines of this process, whose only test runs its cases one after another.
struct LineCapture {
    lines: Mutex<Vec<String>>,
}

static CAPTURE: LineCapture = LineCapture { lines: Mutex::new(Vec::new()) };

impl Log for LineCapture {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

struct LateCase {
    name: &'static str,
    /// Changes the request before it is handled.
    change: fn(&mut RoutedRequest),
    /// What both decode engines do.
    step: Step,
    prefill_takes_ms: u64,
    /// Expected fields of the last line.
    fields: &'static [&'static str],
}

fn no_change(_request: &mut RoutedRequest) {}

fn spend_two_seconds(request: &mut RoutedRequest) {
    request.spent_before = Duration::from_secs(2);
}

fn resume_after_first(request: &mut RoutedRequest) {
    request.resume_after = Some(1);
}

const CASES: &[fn() -> LateCase] = &[
    || LateCase {
        name: "in time",
        change: no_change,
        step: Step::Paced(vec![(20, ONE), (40, TWO)]),
        prefill_takes_ms: 100,
        fields: &[
            "late=",
            "reserved_ms=0",
            "prefilled_ms=100",
            "opened_ms=100",
            "first_ms=120",
            "events=2",
            "longest_pause_ms=40",
            "reopened=0",
            "read_at_decode=false",
        ],
    },
    || LateCase {
        name: "the prefill took too long",
        change: no_change,
        step: Step::Paced(vec![(20, ONE)]),
        prefill_takes_ms: 400,
        fields: &["late=prefill", "prefilled_ms=400", "first_ms=420"],
    },
    || LateCase {
        name: "the first event took too long",
        change: no_change,
        step: Step::Paced(vec![(600, ONE)]),
        prefill_takes_ms: 50,
        fields: &["late=first_event", "opened_ms=50", "first_ms=650"],
    },
    || LateCase {
        name: "the engine paused",
        change: no_change,
        step: Step::Paced(vec![(20, ONE), (500, TWO)]),
        prefill_takes_ms: 50,
        fields: &["late=pause", "longest_pause_ms=500"],
    },
    || LateCase {
        name: "the caller had been refused",
        change: spend_two_seconds,
        step: Step::Paced(vec![(20, ONE)]),
        prefill_takes_ms: 50,
        fields: &["late=returned", "spent_before_ms=2000"],
    },
    || LateCase {
        name: "the caller resumes a broken stream",
        change: resume_after_first,
        step: Step::Paced(vec![(20, TWO)]),
        prefill_takes_ms: 50,
        fields: &["late=continued", "events=1"],
    },
];

#[test]
fn the_final_log_line_of_a_stream_says_why_it_was_late() {
    log::set_logger(&CAPTURE).expect("the only logger of this process");
    log::set_max_level(LevelFilter::Info);
    for case in CASES {
        let case = case();
        run_paused(async {
            let site = ScriptedSite::default();
            *site.prefill_takes.lock().unwrap() = Duration::from_millis(case.prefill_takes_ms);
            site.script("decode-1", [case.step.clone()]);
            site.script("decode-2", [case.step.clone()]);
            let (context, _directory) = site.context(pool());
            let mut routed = request(RequestKind::Streaming, 2, true);
            (case.change)(&mut routed);
            let response = handle_request(context, routed).await;
            read_response_body(response.into_body(), 10_000).await.expect("a complete stream");
        });
        let lines = CAPTURE.lines.lock().unwrap();
        let last = lines.last().expect("a last line");
        for field in case.fields {
            assert!(last.split(' ').any(|found| found == *field), "{}: {last}", case.name);
        }
    }
}
