//! Finds registered hosts that are gone, whose places others may take.
//!
//! See `docs/design/sources.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_platform::StoreVersion;
use dillspool_schema::Name;

use crate::sources::HostRow;

/// Time without a connection after which a host is gone while others of its failure domain are there: longer than
/// a host takes to restart.
const GONE_TIME: Duration = Duration::from_secs(10);
/// The same while no registered host of the failure domain is there: nobody serves for it until one is replaced.
const ALL_GONE_TIME: Duration = Duration::from_secs(2);
/// Time without a connection after which a holder of limits no longer counts a registered host. Shorter, since no row
/// changes and hosts that were heard of count for longer.
const UNREACHABLE_TIME: Duration = Duration::from_secs(6);
/// Failed probes from which on a host may be gone.
const MIN_FAILED_PROBES: u32 = 3;

/// A host row with its key and version.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredHost {
    /// Key of the row.
    pub key: Name,
    /// Version of the row.
    pub version: StoreVersion,
    /// The row.
    pub row: HostRow,
}

#[derive(Clone, Copy, Debug)]
struct ProbeFailures {
    since: Moment,
    count: u32,
}

/// Results of probes of registered hosts.
#[derive(Clone, Debug, Default)]
pub struct HostProbes {
    /// Hosts whose last probe failed.
    failing: BTreeMap<SocketAddr, ProbeFailures>,
}

impl HostProbes {
    /// Records whether a host has accepted a connection.
    pub fn record(&mut self, host: SocketAddr, is_accepted: bool, now: Moment) {
        if is_accepted {
            self.failing.remove(&host);
            return;
        }
        let failures = self.failing.entry(host).or_insert(ProbeFailures { since: now, count: 0 });
        failures.count += 1;
    }

    /// Forgets hosts that are no longer registered.
    pub fn retain(&mut self, rows: &[StoredHost]) {
        self.retain_addresses(&rows.iter().map(|stored| stored.row.peers).collect());
    }

    /// Forgets all hosts but these.
    pub fn retain_addresses(&mut self, hosts: &BTreeSet<SocketAddr>) {
        self.failing.retain(|host, _failures| hosts.contains(host));
    }

    /// Returns the hosts that a holder of limits does not count.
    pub fn unreachable(&self, now: Moment) -> BTreeSet<SocketAddr> {
        let is_unreachable = |failures: &ProbeFailures| {
            failures.count >= MIN_FAILED_PROBES && now.since(failures.since) >= UNREACHABLE_TIME
        };
        let hosts = self.failing.iter().filter(|(_host, failures)| is_unreachable(failures));
        hosts.map(|(host, _failures)| *host).collect()
    }

    /// Returns whether a host is failing that does not count as unreachable yet.
    pub fn has_suspects(&self, now: Moment) -> bool {
        self.failing.len() > self.unreachable(now).len()
    }

    /// Returns whether a probe has failed and no later one of that host has succeeded.
    pub fn has_failures(&self) -> bool {
        !self.failing.is_empty()
    }

    /// Returns the hosts of `rows` that are gone; all are of one failure domain.
    pub fn gone<'a>(&self, rows: &'a [StoredHost], now: Moment) -> Vec<&'a StoredHost> {
        let failures = |stored: &StoredHost| {
            let failures = self.failing.get(&stored.row.peers);
            failures.filter(|failures| failures.count >= MIN_FAILED_PROBES)
        };
        let all_failing = rows.iter().all(|stored| failures(stored).is_some());
        let limit = if all_failing { ALL_GONE_TIME } else { GONE_TIME };
        let is_gone = |stored: &&StoredHost| {
            failures(stored).is_some_and(|failures| now.since(failures.since) >= limit)
        };
        rows.iter().filter(is_gone).collect()
    }
}
