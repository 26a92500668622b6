//! Requests under which backend servers ended, as one table.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::line::LogLine;

/// One request, by the logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectStats {
    /// Starts of backend servers that ended while it ran.
    pub ended: BTreeSet<String>,
    /// Copies that were refused.
    pub refused: u64,
    /// Copies that came to a good end.
    pub whole: u64,
    /// Its route.
    pub route: String,
    /// Its workspace.
    pub workspace: String,
    /// When a copy came last, in ms of Unix time.
    pub last_ms: u64,
}

/// All requests under which backend servers ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectTable {
    /// By print.
    pub suspects: BTreeMap<String, SuspectStats>,
}

impl SuspectTable {
    /// Collects the requests of some logs.
    pub fn from_lines<'a>(lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut table = Self::default();
        for line in lines.into_iter().filter_map(LogLine::parse) {
            let print = line.field("print");
            if print.is_empty() {
                continue;
            }
            table.suspects.entry(print.to_owned()).or_default().note(&line);
        }
        table.suspects.retain(|_print, used| !used.ended.is_empty());
        table
    }
}

impl SuspectStats {
    fn note(&mut self, line: &LogLine) {
        match line.field("event") {
            "break_traced" if line.field("found") == "ended" => {
                self.ended.insert(format!("{} {}", line.field("backend"), line.field("start")));
            }
            "request_ended" => {
                self.refused += u64::from(line.field("cause") == "deadly");
                self.whole += u64::from(line.field("outcome") == "answered");
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
        rows.sort_by_key(|(_print, used)| {
            (std::cmp::Reverse((used.ended.len(), used.refused)), used.last_ms)
        });
        for (print, used) in rows {
            let SuspectStats { ended, refused, whole, route, workspace, last_ms } = used;
            writeln!(
                f,
                "{:>5}  {refused:>7}  {whole:>7}  {print:<32}  {last_ms:<13}  {route} {workspace}",
                ended.len(),
            )?;
        }
        Ok(())
    }
}
