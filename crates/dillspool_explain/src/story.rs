//! Picks a request's lines, and what its hosts believed of its backend servers.

use std::collections::BTreeSet;
use std::fmt;

use crate::line::LogLine;

/// Time around a request within which a host's changes of belief bear on it, in ms: longer than
/// a store's outage takes to be noticed.
const BELIEF_SPAN_MS: u64 = 5_000;
/// Events that tell what a host believes of the store, its configuration or itself.
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

/// Events of other copies of a request that bear on it.
const COPY_EVENTS: [&str; 2] = ["break_traced", "suspect"];
/// Such lines that are shown, the newest.
const MOST_COPIES: usize = 24;

/// What became of a request, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestReport {
    /// The request's own lines in order.
    pub lines: Vec<LogLine>,
    /// Changes of belief on its hosts that bear on it.
    pub beliefs: Vec<LogLine>,
    /// What became of backend servers under other copies of it.
    pub copies: Vec<LogLine>,
    /// One sentence.
    pub verdict: String,
}

impl fmt::Display for RequestReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{}", line.text)?;
        }
        if !self.beliefs.is_empty() {
            writeln!(f, "what its hosts believed:")?;
        }
        for line in &self.beliefs {
            writeln!(f, "  {}", line.text)?;
        }
        if !self.copies.is_empty() {
            writeln!(f, "other copies of it:")?;
        }
        for line in &self.copies {
            writeln!(f, "  {}", line.text)?;
        }
        writeln!(f, "{}", self.verdict)
    }
}

/// Tells the story of a request; `None` when no line names it.
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
    let span = first.saturating_sub(BELIEF_SPAN_MS)..=last + BELIEF_SPAN_MS;
    let bears = |line: &&LogLine| {
        line.field("id").is_empty()
            && hosts.contains(line.field("host"))
            && span.contains(&line.time_ms)
            && (backends.contains(line.field("backend"))
                || HOST_EVENTS.contains(&line.field("event")))
    };
    let mut beliefs: Vec<LogLine> = all.iter().filter(bears).cloned().collect();
    beliefs.sort_by_key(|line| line.time_ms);
    let prints = fields("print");
    let is_copy = |line: &&LogLine| {
        prints.contains(line.field("print"))
            && line.field("id") != id
            && line.time_ms <= last
            && COPY_EVENTS.contains(&line.field("event"))
    };
    let mut copies: Vec<LogLine> = all.iter().filter(is_copy).cloned().collect();
    copies.sort_by_key(|line| line.time_ms);
    copies.drain(..copies.len().saturating_sub(MOST_COPIES));
    let verdict = verdict(id, &own);
    Some(RequestReport { lines: own, beliefs, copies, verdict })
}

fn verdict(id: &str, lines: &[LogLine]) -> String {
    let failure = lines.iter().rev().find(|line| {
        matches!(line.field("event"), "send_failed" | "stream_broke" | "prefill_failed")
    });
    let because = failure.map_or(String::new(), |line| {
        let (backend, cause) = (line.field("backend"), line.field("cause"));
        format!("; before that backend server {backend}: {cause}")
    });
    let ended = lines.iter().rev().find(|line| line.field("event") == "request_ended");
    let refused = lines.iter().rev().find(|line| line.field("event") == "request_refused");
    match (ended, refused) {
        (Some(line), _) => {
            let cause = match line.field("cause") {
                "" => String::new(),
                cause => format!(" ({cause}: {})", meaning(cause)),
            };
            let (outcome, after) = (line.field("outcome"), line.field("after_ms"));
            format!("{id}: {outcome} after {after} ms{cause}{because}")
        }
        (None, Some(line)) => {
            let cause = line.field("cause");
            format!("{id}: refused at once ({cause}: {})", meaning(cause))
        }
        (None, None) => {
            format!("{id}: its end is not in these logs; the host may have died{because}")
        }
    }
}

/// What a cause says, in words.
fn meaning(cause: &str) -> &'static str {
    match cause {
        "not_ready" => "the host knew no configuration yet",
        "malformed" => "the request named no attempt or no host",
        "body_too_large" => "its body was over the configured limit",
        "body_lost" => "its body did not arrive",
        "host_full" => "the host had too much in flight",
        "no_route" => "no route of the configuration in force takes it",
        "no_backend" => "no backend server of its service took requests",
        "no_room" => "the backend servers could not answer it in its time; it did not run",
        "no_memory" => "no decode engine had memory for its answer; it did not run",
        "not_run" => "the backend servers that were asked did not run it",
        "too_late_not_run" => "its time was over before it ran",
        "deadly" => "backend servers end under it; it did not run, and its copies will not",
        "copy_runs" => "backend servers ended under it, and another copy runs; it did not run",
        "timed_out" => "its time was over while it may have run",
        "unknown" => "the backend server's answer was lost; it may have run",
        _ => "see docs/OPERATIONS.md",
    }
}
