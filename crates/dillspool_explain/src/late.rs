//! How the requests of some logs ended, and why answers were late, as one table.

use std::collections::BTreeMap;
use std::fmt;

use crate::line::LogLine;

/// How a request ended, as its last line says.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// A whole stream in time.
    StreamInTime,
    /// A whole stream that was late, by cause.
    StreamLate(String),
    /// Any other end: outcome and cause, and whether the caller had come back.
    Other {
        /// `answered`, `failed`, `refused`, `broken` or `caller_gone`.
        outcome: String,
        /// Cause of a refusal, empty otherwise.
        cause: String,
        /// Whether the caller had been refused, or lost an answer, before.
        returned: bool,
    },
}

/// Time that a returned caller has spent before, at least, in ms: a refusal's way and time to come
/// back; less is the way of a first attempt.
const RETURNED_MS: u64 = 100;

impl RequestOutcome {
    fn of(line: &LogLine) -> Self {
        let outcome = line.field("outcome");
        match (outcome, line.field("first_ms"), line.field("late")) {
            ("answered", "", _) => Self::other(line, outcome),
            ("answered", _, "") => Self::StreamInTime,
            ("answered", _, late) => Self::StreamLate(late.to_owned()),
            _ => Self::other(line, outcome),
        }
    }

    fn other(line: &LogLine, outcome: &str) -> Self {
        let spent = line.field("spent_before_ms").parse::<u64>().unwrap_or(0);
        let cause = line.field("cause").to_owned();
        Self::Other { outcome: outcome.to_owned(), cause, returned: spent > RETURNED_MS }
    }
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StreamInTime => f.write_str("stream in time"),
            Self::StreamLate(cause) => write!(f, "stream late: {cause}"),
            Self::Other { outcome, cause, returned } => {
                f.write_str(outcome)?;
                if !cause.is_empty() {
                    write!(f, ": {cause}")?;
                }
                if *returned { f.write_str(", had come back") } else { Ok(()) }
            }
        }
    }
}

/// Counts of ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutcomeTable {
    /// Requests by their end.
    pub counts: BTreeMap<RequestOutcome, u64>,
}

impl OutcomeTable {
    /// Counts the last lines of all requests in some logs.
    pub fn from_lines<'a>(lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut table = Self::default();
        for line in lines.into_iter().filter_map(LogLine::parse) {
            if line.field("event") == "request_ended" {
                *table.counts.entry(RequestOutcome::of(&line)).or_default() += 1;
            }
        }
        table
    }
}

impl fmt::Display for OutcomeTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all: u64 = self.counts.values().sum();
        let mut rows: Vec<_> = self.counts.iter().collect();
        rows.sort_by(|a, b| b.1.cmp(a.1).then(a.0.cmp(b.0)));
        writeln!(f, "{all:>8}  requests")?;
        for (end, count) in rows {
            writeln!(f, "{count:>8}  {end}")?;
        }
        Ok(())
    }
}
