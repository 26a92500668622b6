//! Table of requests, and of prompt parts, during which backend servers crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::iter;

use crate::log_line::LogLine;

/// Counts for one request and its copies, or for all requests with one part in their prompts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectStats {
    /// Instances of backend servers that crashed while they ran it.
    pub crashed: BTreeSet<String>,
    /// Copies that were refused.
    pub refused: u64,
    /// Copies that succeeded.
    pub succeeded: u64,
    /// Route of the last copy.
    pub route: String,
    /// Workspace of the last copy.
    pub workspace: String,
    /// Unix time at which the last copy ended, in ms.
    pub last_ms: u64,
}

/// All requests and prompt parts during which backend servers crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectTable {
    /// Statistics by fingerprint.
    pub suspects: BTreeMap<String, SuspectStats>,
}

impl SuspectTable {
    /// Builds the table from log lines.
    pub fn from_lines<'a>(lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut table = Self::default();
        for line in lines.into_iter().filter_map(LogLine::parse) {
            let parts = line.field("parts").split(',');
            // A run that had sent events for a while did not crash its engine by beginning on a part.
            let parts = parts.filter(|_part| line.field("progress") != "underway");
            let fingerprints = iter::once(line.field("print")).chain(parts);
            for fingerprint in fingerprints.filter(|fingerprint| !fingerprint.is_empty()) {
                table.suspects.entry(fingerprint.to_owned()).or_default().record(&line);
            }
        }
        table.suspects.retain(|_fingerprint, stats| !stats.crashed.is_empty());
        table
    }
}

impl SuspectStats {
    fn record(&mut self, line: &LogLine) {
        match line.field("event") {
            "break_traced" if line.field("found") == "ended" => {
                self.crashed.insert(format!("{} {}", line.field("backend"), line.field("start")));
            }
            "request_ended" => {
                self.refused += u64::from(line.field("cause") == "deadly");
                self.succeeded += u64::from(line.field("outcome") == "answered");
                line.field("route").clone_into(&mut self.route);
                line.field("workspace").clone_into(&mut self.workspace);
                self.last_ms = self.last_ms.max(line.time_ms);
            }
            _ => {}
        }
    }
}

impl fmt::Display for SuspectTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "ended  refused    whole  print                             last copy      route, workspace"
        )?;
        let mut rows: Vec<_> = self.suspects.iter().collect();
        rows.sort_by_key(|(_fingerprint, stats)| {
            (std::cmp::Reverse((stats.crashed.len(), stats.refused)), stats.last_ms)
        });
        for (fingerprint, stats) in rows {
            let SuspectStats { crashed, refused, succeeded, route, workspace, last_ms } = stats;
            writeln!(
                f,
                "{:>5}  {refused:>7}  {succeeded:>7}  {fingerprint:<32}  {last_ms:<13}  {route} {workspace}",
                crashed.len(),
            )?;
        }
        Ok(())
    }
}
