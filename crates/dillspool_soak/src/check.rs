//! The promises, checked from what callers and backend servers saw.

use std::collections::BTreeSet;
use std::fmt;

use dillspool_site_standin::{
    FIRST_SOFTWARE, ReceivedEvent, RunLog, expected_answer, parse_event, stream_text,
};

/// Kinds of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// It may run again.
    Repeatable,
    /// It may run once at most.
    Unrepeatable,
    /// A stream that may be resumed.
    ResumableStream,
    /// A stream that may run once at most.
    Stream,
}

impl CallKind {
    fn runs_once(self) -> bool {
        match self {
            Self::Unrepeatable | Self::Stream => true,
            Self::Repeatable | Self::ResumableStream => false,
        }
    }
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A status and a whole body.
    Answer(u16, String),
    /// The answer broke off or never came.
    Nothing,
}

/// One call of a caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The attempt's id.
    pub id: String,
    /// Its kind.
    pub kind: CallKind,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which promise.
    pub promise: &'static str,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.detail)
    }
}

/// Statuses that promise that a request did not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Checks all calls once everything has come to rest.
pub fn check_calls(calls: &[CallRecord], runs: &RunLog) -> Vec<Violation> {
    let sent: BTreeSet<&str> = calls.iter().map(|call| call.id.as_str()).collect();
    let mut violations: Vec<Violation> = calls.iter().flat_map(|call| check(call, runs)).collect();
    for id in runs.ids().iter().filter(|id| !sent.contains(id.as_str())) {
        let detail = format!("{id} ran, and no caller sent it");
        violations.push(Violation { promise: "only what callers send runs", detail });
    }
    violations
}

fn check(call: &CallRecord, runs: &RunLog) -> Vec<Violation> {
    let ran = runs.of(&call.id);
    let mut violations = Vec::new();
    let mut broken = |promise, detail: String| {
        violations
            .push(Violation { promise, detail: format!("{} {:?}: {detail}", call.id, call.kind) });
    };
    if call.kind.runs_once() && ran.len() > 1 {
        broken("an unrepeatable request runs once at most", format!("ran at {ran:?}"));
    }
    let CallOutcome::Answer(status, body) = &call.outcome else { return violations };
    if PROMISES.contains(status) && call.kind.runs_once() && !ran.is_empty() {
        broken("a refusal that says not run is true", format!("{status}, ran at {ran:?}"));
    }
    if (200..300).contains(status) {
        let is_whole = match call.kind {
            CallKind::Repeatable | CallKind::Unrepeatable => *body == expected_answer(&call.id),
            CallKind::ResumableStream | CallKind::Stream => is_whole_stream(&call.id, body),
        };
        if !is_whole {
            broken("every caller gets the whole answer to its own request", format!("{body:?}"));
        }
        if ran.is_empty() {
            broken("a success ran", "it ran nowhere".to_owned());
        }
    }
    violations
}

/// Whether a body is a whole stream of engines with one software version.
fn is_whole_stream(id: &str, body: &str) -> bool {
    let first = body.split_inclusive("\n\n").next().and_then(parse_event);
    let Some(ReceivedEvent { software, .. }) = first else { return false };
    let suffix = if software == FIRST_SOFTWARE { String::new() } else { format!(" {software}") };
    body == stream_text(id, 0).replace("\n\n", &format!("{suffix}\n\n"))
}
