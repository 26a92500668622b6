//! What backend servers say they take, and what became of sends beyond it, as one table.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::line::LogLine;

/// One backend server that has named a limit, by the logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendLimitStats {
    /// The newest limit a second that it named.
    pub per_s: f64,
    /// Whether it names none any more.
    pub is_over: bool,
    /// Time of that word, in ms of the hosts' clocks.
    pub said_ms: u64,
    /// Hosts that got it from the backend server itself.
    pub heard: BTreeSet<String>,
    /// Hosts that another one has told.
    pub told: BTreeSet<String>,
    /// Times that a host left it alone, by the word of whoever counts.
    pub closed: u64,
    /// The same where nobody could be asked.
    pub unknown: u64,
}

/// All backend servers that have named a limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendLimitTable {
    /// By start of the backend server.
    pub backends: BTreeMap<String, BackendLimitStats>,
}

impl BackendLimitTable {
    /// Reads the lines of some logs.
    pub fn from_lines<'a>(lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut table = Self::default();
        for line in lines.into_iter().filter_map(LogLine::parse) {
            match line.field("event") {
                "backend_limit" | "backend_limit_over" => table.of_backend(&line).note_word(&line),
                "backend_closed" => table.of_backend(&line).note_closed(&line),
                _ => {}
            }
        }
        table
    }

    fn of_backend(&mut self, line: &LogLine) -> &mut BackendLimitStats {
        self.backends.entry(line.field("backend").to_owned()).or_default()
    }
}

impl BackendLimitStats {
    fn note_word(&mut self, line: &LogLine) {
        let age_ms = line.field("age_ms").parse().unwrap_or(0);
        let is_own = line.field("from") == "answer";
        // Another host's word is as old as it says; an answer came just now.
        let said_ms = if is_own { line.time_ms } else { line.time_ms.saturating_sub(age_ms) };
        let hosts = if is_own { &mut self.heard } else { &mut self.told };
        hosts.insert(line.field("host").to_owned());
        if said_ms < self.said_ms {
            return;
        }
        self.said_ms = said_ms;
        self.is_over = line.field("event") == "backend_limit_over";
        let rate = if self.is_over { line.field("before") } else { line.field("per_s") };
        self.per_s = rate.parse().unwrap_or(self.per_s);
    }

    fn note_closed(&mut self, line: &LogLine) {
        let count = if line.field("by") == "holder" { &mut self.closed } else { &mut self.unknown };
        *count += line.field("times").parse().unwrap_or(1);
    }
}

impl fmt::Display for BackendLimitTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "limit a second  now   heard   told  closed  unknown  said at ms     backend server"
        )?;
        for (name, used) in &self.backends {
            let BackendLimitStats { per_s, is_over, said_ms, heard, told, closed, unknown } = used;
            let now = if *is_over { "over" } else { "on" };
            let (heard, told) = (heard.len(), told.len());
            writeln!(
                f,
                "{per_s:>14}  {now:<4}  {heard:>5}  {told:>5}  {closed:>6}  {unknown:>7}  {said_ms:>13}  {name}"
            )?;
        }
        Ok(())
    }
}
