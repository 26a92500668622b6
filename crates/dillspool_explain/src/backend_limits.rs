//! Table of the rate limits that backend servers report, and of how often hosts blocked requests under them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::log_line::LogLine;

/// Counts for one backend server that has reported a limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendLimitStats {
    /// Newest reported limit per second.
    pub per_s: f64,
    /// Whether the backend server has withdrawn its limit.
    pub is_withdrawn: bool,
    /// Time of the newest report, in ms of the hosts' clocks.
    pub reported_ms: u64,
    /// Hosts that received a limit from the backend server itself.
    pub direct_hosts: BTreeSet<String>,
    /// Hosts that received a limit from another host.
    pub relayed_hosts: BTreeSet<String>,
    /// Number of times that a host blocked sends to it on the word of the limit holder.
    pub blocked_by_holder: u64,
    /// Number of times that a host blocked sends to it while no limit holder could be asked.
    pub blocked_without_holder: u64,
}

/// All backend servers that have reported a limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendLimitTable {
    /// Statistics by start of a backend server.
    pub backends: BTreeMap<String, BackendLimitStats>,
}

impl BackendLimitTable {
    /// Builds the table from log lines.
    pub fn from_lines<'a>(lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut table = Self::default();
        for line in lines.into_iter().filter_map(LogLine::parse) {
            match line.field("event") {
                "backend_limit" | "backend_limit_over" => table.entry(&line).record_limit(&line),
                "backend_closed" => table.entry(&line).record_block(&line),
                _ => {}
            }
        }
        table
    }

    fn entry(&mut self, line: &LogLine) -> &mut BackendLimitStats {
        self.backends.entry(line.field("backend").to_owned()).or_default()
    }
}

impl BackendLimitStats {
    fn record_limit(&mut self, line: &LogLine) {
        let age_ms = line.field("age_ms").parse().unwrap_or(0);
        let is_direct = line.field("from") == "answer";
        // A report relayed by another host is as old as its `age_ms` says; a response has just arrived.
        let reported_ms =
            if is_direct { line.time_ms } else { line.time_ms.saturating_sub(age_ms) };
        let hosts = if is_direct { &mut self.direct_hosts } else { &mut self.relayed_hosts };
        hosts.insert(line.field("host").to_owned());
        if reported_ms < self.reported_ms {
            return;
        }
        self.reported_ms = reported_ms;
        self.is_withdrawn = line.field("event") == "backend_limit_over";
        let rate = if self.is_withdrawn { line.field("before") } else { line.field("per_s") };
        self.per_s = rate.parse().unwrap_or(self.per_s);
    }

    fn record_block(&mut self, line: &LogLine) {
        let count = if line.field("by") == "holder" {
            &mut self.blocked_by_holder
        } else {
            &mut self.blocked_without_holder
        };
        *count += line.field("times").parse().unwrap_or(1);
    }
}

impl fmt::Display for BackendLimitTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "limit a second  now   heard   told  closed  unknown  said at ms     backend server"
        )?;
        for (name, stats) in &self.backends {
            let BackendLimitStats {
                per_s,
                is_withdrawn,
                reported_ms,
                direct_hosts,
                relayed_hosts,
                blocked_by_holder,
                blocked_without_holder,
            } = stats;
            let now = if *is_withdrawn { "over" } else { "on" };
            let (direct, relayed) = (direct_hosts.len(), relayed_hosts.len());
            writeln!(
                f,
                "{per_s:>14}  {now:<4}  {direct:>5}  {relayed:>5}  {blocked_by_holder:>6}  {blocked_without_holder:>7}  {reported_ms:>13}  {name}"
            )?;
        }
        Ok(())
    }
}
