//! What became of the calls of plain services on which one host decides, as one table.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::line::LogLine;

/// The calls of one service, by the logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallStats {
    /// Hosts for which one host decides, by their newest word.
    pub decided: BTreeSet<String>,
    /// Slots of its backend servers and hosts of the fleet, by the newest word.
    pub slots: u64,
    /// Hosts of the fleet, by the same word.
    pub hosts: u64,
    /// Time of that word, in ms of the hosts' clocks.
    pub said_ms: u64,
    /// Calls that waited.
    pub queued: u64,
    /// Their waits together, in milliseconds.
    pub waited_ms: u64,
    /// The longest of them.
    pub longest_ms: u64,
    /// Calls that were rejected for want of room.
    pub no_room: u64,
    /// Calls that were rejected for want of a server.
    pub no_server: u64,
    /// Decisions that were not followed, by their cause.
    pub overruled: BTreeMap<String, u64>,
}

/// All services on whose calls one host decides, or did.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallTable {
    /// By service.
    pub services: BTreeMap<String, CallStats>,
}

impl CallTable {
    /// Counts the lines of some logs.
    pub fn from_lines<'a>(lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut table = Self::default();
        for line in lines.into_iter().filter_map(LogLine::parse) {
            match line.field("event") {
                "calls_scheduled" => table.of_service(&line).note_switch(&line),
                "call_queued" => table.of_service(&line).note_wait(&line),
                "call_rejected" => table.of_service(&line).note_reject(&line),
                "call_overruled" => table.of_service(&line).note_overruled(&line),
                _ => {}
            }
        }
        table
    }

    fn of_service(&mut self, line: &LogLine) -> &mut CallStats {
        self.services.entry(line.field("service").to_owned()).or_default()
    }
}

fn number(line: &LogLine, field: &str) -> u64 {
    line.field(field).parse().unwrap_or(0)
}

impl CallStats {
    fn note_switch(&mut self, line: &LogLine) {
        let host = line.field("host").to_owned();
        if line.field("by") == "one_host" {
            self.decided.insert(host);
        } else {
            self.decided.remove(&host);
        }
        if line.time_ms >= self.said_ms {
            self.said_ms = line.time_ms;
            self.slots = number(line, "slots");
            self.hosts = number(line, "hosts");
        }
    }

    fn note_wait(&mut self, line: &LogLine) {
        let waited_ms = number(line, "waited_ms");
        self.queued += 1;
        self.waited_ms += waited_ms;
        self.longest_ms = self.longest_ms.max(waited_ms);
    }

    fn note_reject(&mut self, line: &LogLine) {
        let count = match line.field("cause") {
            "no_server" => &mut self.no_server,
            _ => &mut self.no_room,
        };
        *count += 1;
    }

    fn note_overruled(&mut self, line: &LogLine) {
        *self.overruled.entry(line.field("why").to_owned()).or_default() += 1;
    }
}

impl fmt::Display for CallTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "decided for  slots  hosts  queued  mean ms  longest ms  no room  no server  overruled  service"
        )?;
        for (name, used) in &self.services {
            let CallStats { slots, hosts, queued, longest_ms, no_room, no_server, .. } = used;
            let (decided, mean_ms) = (used.decided.len(), used.waited_ms / (*queued).max(1));
            let causes: Vec<_> =
                used.overruled.iter().map(|(why, count)| format!("{count} {why}")).collect();
            let causes = if causes.is_empty() { "-".to_owned() } else { causes.join(", ") };
            writeln!(
                f,
                "{decided:>11}  {slots:>5}  {hosts:>5}  {queued:>6}  {mean_ms:>7}  {longest_ms:>10}  {no_room:>7}  {no_server:>9}  {causes:<9}  {name}"
            )?;
        }
        Ok(())
    }
}
