//! Table of the requests of each workspace against its rate limit.

use std::collections::BTreeMap;
use std::fmt;

use crate::log_line::LogLine;

/// Counts for one workspace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceStats {
    /// Requests that got a response, including errors of backend servers.
    pub answered: u64,
    /// Requests refused because they exceeded the limit.
    pub over_limit: u64,
    /// Requests refused because no limit holder could be asked.
    pub limit_unknown: u64,
    /// Requests that were refused or ended for another reason.
    pub other: u64,
    /// Limit per second, from the refusal with the newest configuration; 0 if there is no refusal.
    pub per_s: f64,
    /// Version of that configuration.
    config: u64,
}

/// Counts for all workspaces.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitTable {
    /// Statistics by workspace.
    pub workspaces: BTreeMap<String, WorkspaceStats>,
}

impl LimitTable {
    /// Builds the table from log lines.
    pub fn from_lines<'a>(lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut table = Self::default();
        for line in lines.into_iter().filter_map(LogLine::parse) {
            let workspace = line.field("workspace");
            if workspace.is_empty() {
                continue;
            }
            match line.field("event") {
                "request_ended" => table.entry(workspace).record_outcome(&line),
                "over_limit" => table.entry(workspace).record_limit(&line),
                _ => {}
            }
        }
        table
    }

    fn entry(&mut self, workspace: &str) -> &mut WorkspaceStats {
        self.workspaces.entry(workspace.to_owned()).or_default()
    }
}

impl WorkspaceStats {
    fn record_outcome(&mut self, line: &LogLine) {
        let count = match (line.field("outcome"), line.field("cause")) {
            ("answered" | "failed", _) => &mut self.answered,
            (_, "over_limit") => &mut self.over_limit,
            (_, "limit_unknown") => &mut self.limit_unknown,
            _ => &mut self.other,
        };
        *count += 1;
    }

    fn record_limit(&mut self, line: &LogLine) {
        let config = line.field("config").parse().unwrap_or(0);
        if config >= self.config {
            self.config = config;
            self.per_s = line.field("per_s").parse().unwrap_or(0.0);
        }
    }
}

impl fmt::Display for LimitTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "answered  over limit  unknown    other  limit a second  workspace")?;
        let mut rows: Vec<_> = self.workspaces.iter().collect();
        rows.sort_by(|a, b| b.1.over_limit.cmp(&a.1.over_limit).then(a.0.cmp(b.0)));
        for (name, stats) in rows {
            let WorkspaceStats { answered, over_limit, limit_unknown, other, per_s, .. } = stats;
            let limit = if *per_s > 0.0 { format!("{per_s}") } else { "-".to_owned() };
            writeln!(
                f,
                "{answered:>8}  {over_limit:>10}  {limit_unknown:>7}  {other:>7}  {limit:>14}  {name}"
            )?;
        }
        Ok(())
    }
}
