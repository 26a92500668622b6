//! Table of the outcomes of requests and of the causes of late responses.

use std::collections::BTreeMap;
use std::fmt;

use crate::log_line::LogLine;

/// Outcome of a request, from its `request_ended` line.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// A complete stream that met its objective.
    StreamOnTime,
    /// A complete stream that was late, with the cause.
    StreamLate(String),
    /// Any other outcome.
    Other {
        /// `answered`, `failed`, `refused`, `broken` or `caller_gone`.
        outcome: String,
        /// Cause of a refusal, empty otherwise.
        cause: String,
        /// Whether the client retried after a refusal or a lost response.
        is_client_retry: bool,
    },
}

/// Time spent before a request above which it counts as a client retry, in ms. A refusal and the client's
/// wait take longer than this; less time is the network delay of a first attempt.
const CLIENT_RETRY_MIN_MS: u64 = 100;

impl RequestOutcome {
    fn from_line(line: &LogLine) -> Self {
        let outcome = line.field("outcome");
        match (outcome, line.field("first_ms"), line.field("late")) {
            ("answered", "", _) => Self::other(line, outcome),
            ("answered", _, "") => Self::StreamOnTime,
            ("answered", _, late) => Self::StreamLate(late.to_owned()),
            _ => Self::other(line, outcome),
        }
    }

    fn other(line: &LogLine, outcome: &str) -> Self {
        let spent = line.field("spent_before_ms").parse::<u64>().unwrap_or(0);
        let cause = line.field("cause").to_owned();
        Self::Other {
            outcome: outcome.to_owned(),
            cause,
            is_client_retry: spent > CLIENT_RETRY_MIN_MS,
        }
    }
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StreamOnTime => f.write_str("stream in time"),
            Self::StreamLate(cause) => write!(f, "stream late: {cause}"),
            Self::Other { outcome, cause, is_client_retry } => {
                f.write_str(outcome)?;
                if !cause.is_empty() {
                    write!(f, ": {cause}")?;
                }
                if *is_client_retry { f.write_str(", had come back") } else { Ok(()) }
            }
        }
    }
}

/// Number of requests by outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutcomeTable {
    /// Number of requests by outcome.
    pub counts: BTreeMap<RequestOutcome, u64>,
}

impl OutcomeTable {
    /// Counts the `request_ended` lines of logs.
    pub fn from_lines<'a>(lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut table = Self::default();
        for line in lines.into_iter().filter_map(LogLine::parse) {
            if line.field("event") == "request_ended" {
                *table.counts.entry(RequestOutcome::from_line(&line)).or_default() += 1;
            }
        }
        table
    }
}

impl fmt::Display for OutcomeTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total: u64 = self.counts.values().sum();
        let mut rows: Vec<_> = self.counts.iter().collect();
        rows.sort_by(|a, b| b.1.cmp(a.1).then(a.0.cmp(b.0)));
        writeln!(f, "{total:>8}  requests")?;
        for (outcome, count) in rows {
            writeln!(f, "{count:>8}  {outcome}")?;
        }
        Ok(())
    }
}
