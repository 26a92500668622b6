//! Report on one request: its log lines, related state changes on its hosts, and a summary.

use std::collections::BTreeSet;
use std::fmt;

use crate::log_line::LogLine;

/// Time before and after a request within which state changes of its hosts are reported, in ms; longer than
/// it takes to detect an outage of the store.
const STATE_CHANGE_WINDOW_MS: u64 = 5_000;
/// Events about a host itself and its view of the store and the configuration.
const HOST_EVENTS: [&str; 8] = [
    "store_lost",
    "store_regained",
    "config_applied",
    "row_unreadable",
    "relay_started",
    "relay_ended",
    "stopping",
    "started",
];

/// Events of other copies of a request that can explain its outcome.
const COPY_EVENTS: [&str; 2] = ["break_traced", "suspect"];
/// Maximum number of such lines in a report; the newest are kept.
const MAX_COPY_LINES: usize = 24;

/// Outcome of a request and its cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestReport {
    /// Log lines of the request in order of time.
    pub lines: Vec<LogLine>,
    /// State changes on its hosts that can explain the outcome.
    pub state_changes: Vec<LogLine>,
    /// Events of backend servers that ran other copies of the request.
    pub copies: Vec<LogLine>,
    /// Outcome and cause in one sentence.
    pub summary: String,
}

impl fmt::Display for RequestReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{}", line.text)?;
        }
        if !self.state_changes.is_empty() {
            writeln!(f, "state changes on its hosts:")?;
        }
        for line in &self.state_changes {
            writeln!(f, "  {}", line.text)?;
        }
        if !self.copies.is_empty() {
            writeln!(f, "other copies of the request:")?;
        }
        for line in &self.copies {
            writeln!(f, "  {}", line.text)?;
        }
        writeln!(f, "{}", self.summary)
    }
}

/// Builds the report on request `id`; `None` if no line contains the id.
pub fn explain<'a>(id: &str, lines: impl IntoIterator<Item = &'a str>) -> Option<RequestReport> {
    let all: Vec<LogLine> = lines.into_iter().filter_map(LogLine::parse).collect();
    let mut own: Vec<LogLine> = all.iter().filter(|line| line.field("id") == id).cloned().collect();
    own.sort_by_key(|line| line.time_ms);
    let (first, last) = (own.first()?.time_ms, own.last()?.time_ms);
    let fields = |key: &str| -> BTreeSet<String> {
        own.iter().map(|line| line.field(key).to_owned()).filter(|it| !it.is_empty()).collect()
    };
    let (hosts, mut backends) = (fields("host"), fields("backend"));
    backends.extend(fields("prefill"));
    let window = first.saturating_sub(STATE_CHANGE_WINDOW_MS)..=last + STATE_CHANGE_WINDOW_MS;
    let is_relevant = |line: &&LogLine| {
        line.field("id").is_empty()
            && hosts.contains(line.field("host"))
            && window.contains(&line.time_ms)
            && (backends.contains(line.field("backend"))
                || HOST_EVENTS.contains(&line.field("event")))
    };
    let mut state_changes: Vec<LogLine> = all.iter().filter(is_relevant).cloned().collect();
    state_changes.sort_by_key(|line| line.time_ms);
    let fingerprints = fields("print");
    let is_copy = |line: &&LogLine| {
        fingerprints.contains(line.field("print"))
            && line.field("id") != id
            && line.time_ms <= last
            && COPY_EVENTS.contains(&line.field("event"))
    };
    let mut copies: Vec<LogLine> = all.iter().filter(is_copy).cloned().collect();
    copies.sort_by_key(|line| line.time_ms);
    copies.drain(..copies.len().saturating_sub(MAX_COPY_LINES));
    let summary = summarize(id, &own);
    Some(RequestReport { lines: own, state_changes, copies, summary })
}

fn summarize(id: &str, lines: &[LogLine]) -> String {
    let failure = lines.iter().rev().find(|line| {
        matches!(line.field("event"), "send_failed" | "stream_broke" | "prefill_failed")
    });
    let failure_text = failure.map_or(String::new(), |line| {
        let (backend, cause) = (line.field("backend"), line.field("cause"));
        format!("; earlier failure at backend server {backend}: {cause}")
    });
    let ended = lines.iter().rev().find(|line| line.field("event") == "request_ended");
    let refused = lines.iter().rev().find(|line| line.field("event") == "request_refused");
    match (ended, refused) {
        (Some(line), _) => {
            let cause = match line.field("cause") {
                "" => String::new(),
                cause => format!(" ({cause}: {})", describe_cause(cause)),
            };
            let (outcome, after) = (line.field("outcome"), line.field("after_ms"));
            format!("{id}: {outcome} after {after} ms{cause}{failure_text}")
        }
        (None, Some(line)) => {
            let cause = line.field("cause");
            format!("{id}: refused immediately ({cause}: {})", describe_cause(cause))
        }
        (None, None) => {
            format!("{id}: no outcome in these logs; the host may have crashed{failure_text}")
        }
    }
}

/// Returns the explanation of a `cause` field.
fn describe_cause(cause: &str) -> &'static str {
    match cause {
        "not_ready" => "the host had not loaded a configuration yet",
        "malformed" => "the request specified no attempt or no host",
        "body_too_large" => "the request body exceeded the configured limit",
        "body_lost" => "the request body did not arrive completely",
        "host_full" => "the host had too much in flight",
        "no_route" => "no route of the active configuration matches it",
        "no_backend" => "no backend server of its service accepted requests",
        "no_room" => "the backend servers could not respond to it in time; it did not run",
        "no_memory" => "no decode engine had enough memory for its response; it did not run",
        "software_gone" => {
            "no engine is left with the software version that began its stream; it did not run"
        }
        "software_unknown" => {
            "no host knew which software version began its stream; it did not run"
        }
        "not_run" => "none of the backend servers that were tried ran it",
        "too_late_not_run" => "its deadline passed before it ran",
        "deadly" => {
            "backend servers crash while they run it; it did not run, and its copies are refused"
        }
        "copy_runs" => {
            "backend servers crashed while they ran it, and another copy is running; it did not run"
        }
        "timed_out" => "its deadline passed; it may have run",
        "unknown" => "the backend server's response was lost; it may have run",
        _ => "see docs/OPERATIONS.md",
    }
}
