//! Table of the calls of plain services that are scheduled by one host for the whole fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::log_line::LogLine;

/// Counts of the calls of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallStats {
    /// Hosts whose calls one host schedules, according to their latest `calls_scheduled` line.
    pub scheduled_hosts: BTreeSet<String>,
    /// Slots of the service's backend servers, from the newest `calls_scheduled` line.
    pub slots: u64,
    /// Hosts of the fleet, from the same line.
    pub hosts: u64,
    /// Time of that line, in ms of the hosts' clocks.
    pub reported_ms: u64,
    /// Calls that waited in the queue.
    pub queued: u64,
    /// Sum of their waits.
    pub total_wait_ms: u64,
    /// Longest of their waits.
    pub max_wait_ms: u64,
    /// Calls rejected for lack of capacity.
    pub no_capacity: u64,
    /// Calls rejected for lack of an available backend server.
    pub no_server: u64,
    /// Scheduling decisions that a host did not follow, by cause.
    pub overruled: BTreeMap<String, u64>,
}

/// All services whose calls are or were scheduled by one host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallTable {
    /// Statistics by service.
    pub services: BTreeMap<String, CallStats>,
}

impl CallTable {
    /// Builds the table from log lines.
    pub fn from_lines<'a>(lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut table = Self::default();
        for line in lines.into_iter().filter_map(LogLine::parse) {
            match line.field("event") {
                "calls_scheduled" => table.entry(&line).record_mode_change(&line),
                "call_queued" => table.entry(&line).record_wait(&line),
                "call_rejected" => table.entry(&line).record_rejection(&line),
                "call_overruled" => table.entry(&line).record_overruled(&line),
                _ => {}
            }
        }
        table
    }

    fn entry(&mut self, line: &LogLine) -> &mut CallStats {
        self.services.entry(line.field("service").to_owned()).or_default()
    }
}

fn parse_u64(line: &LogLine, field: &str) -> u64 {
    line.field(field).parse().unwrap_or(0)
}

impl CallStats {
    fn record_mode_change(&mut self, line: &LogLine) {
        let host = line.field("host").to_owned();
        if line.field("by") == "one_host" {
            self.scheduled_hosts.insert(host);
        } else {
            self.scheduled_hosts.remove(&host);
        }
        if line.time_ms >= self.reported_ms {
            self.reported_ms = line.time_ms;
            self.slots = parse_u64(line, "slots");
            self.hosts = parse_u64(line, "hosts");
        }
    }

    fn record_wait(&mut self, line: &LogLine) {
        let wait_ms = parse_u64(line, "waited_ms");
        self.queued += 1;
        self.total_wait_ms += wait_ms;
        self.max_wait_ms = self.max_wait_ms.max(wait_ms);
    }

    fn record_rejection(&mut self, line: &LogLine) {
        let count = match line.field("cause") {
            "no_server" => &mut self.no_server,
            _ => &mut self.no_capacity,
        };
        *count += 1;
    }

    fn record_overruled(&mut self, line: &LogLine) {
        *self.overruled.entry(line.field("why").to_owned()).or_default() += 1;
    }
}

impl fmt::Display for CallTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "decided for  slots  hosts  queued  mean ms  longest ms  no room  no server  overruled  service"
        )?;
        for (name, stats) in &self.services {
            let CallStats { slots, hosts, queued, max_wait_ms, no_capacity, no_server, .. } = stats;
            let (scheduled, mean_ms) =
                (stats.scheduled_hosts.len(), stats.total_wait_ms / (*queued).max(1));
            let causes: Vec<_> =
                stats.overruled.iter().map(|(why, count)| format!("{count} {why}")).collect();
            let causes = if causes.is_empty() { "-".to_owned() } else { causes.join(", ") };
            writeln!(
                f,
                "{scheduled:>11}  {slots:>5}  {hosts:>5}  {queued:>6}  {mean_ms:>7}  {max_wait_ms:>10}  {no_capacity:>7}  {no_server:>9}  {causes:<9}  {name}"
            )?;
        }
        Ok(())
    }
}
