//! How the requests of each workspace fared against its limit, as one table.

use std::collections::BTreeMap;
use std::fmt;

use crate::line::LogLine;

/// One workspace, by the logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceStats {
    /// Requests that were answered, failures of backend servers included.
    pub answered: u64,
    /// Requests beyond the limit.
    pub over_limit: u64,
    /// Requests for which nobody could be asked.
    pub unknown: u64,
    /// Requests that were refused, or ended, for other causes.
    pub other: u64,
    /// The limit a second, of the newest configuration that a refusal names; 0 before the first.
    pub per_s: f64,
    /// Version of that configuration.
    config: u64,
}

/// The use of all workspaces.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitTable {
    /// By workspace.
    pub workspaces: BTreeMap<String, WorkspaceStats>,
}

impl LimitTable {
    /// Counts the requests of some logs.
    pub fn from_lines<'a>(lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut table = Self::default();
        for line in lines.into_iter().filter_map(LogLine::parse) {
            let workspace = line.field("workspace");
            if workspace.is_empty() {
                continue;
            }
            match line.field("event") {
                "request_ended" => table.of_workspace(workspace).note_end(&line),
                "over_limit" => table.of_workspace(workspace).note_limit(&line),
                _ => {}
            }
        }
        table
    }

    fn of_workspace(&mut self, workspace: &str) -> &mut WorkspaceStats {
        self.workspaces.entry(workspace.to_owned()).or_default()
    }
}

impl WorkspaceStats {
    fn note_end(&mut self, line: &LogLine) {
        let count = match (line.field("outcome"), line.field("cause")) {
            ("answered" | "failed", _) => &mut self.answered,
            (_, "over_limit") => &mut self.over_limit,
            (_, "limit_unknown") => &mut self.unknown,
            _ => &mut self.other,
        };
        *count += 1;
    }

    fn note_limit(&mut self, line: &LogLine) {
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
        for (name, used) in rows {
            let WorkspaceStats { answered, over_limit, unknown, other, per_s, .. } = used;
            let limit = if *per_s > 0.0 { format!("{per_s}") } else { "-".to_owned() };
            writeln!(
                f,
                "{answered:>8}  {over_limit:>10}  {unknown:>7}  {other:>7}  {limit:>14}  {name}"
            )?;
        }
        Ok(())
    }
}
