//! Number of hosts that share a limit, and the share that a holder grants.

use std::collections::VecDeque;
use std::time::Duration;

use dillspool_moment::Moment;

/// How long a host without its holder may spend its local quota: the longest window over which a
/// site sums its limits. Clients of a host that is cut off for longer are sent to other hosts.
const LOCAL_QUOTA_TERM: Duration = Duration::from_secs(8);
/// The same for limits of backend servers, to which such a host could otherwise send nothing.
/// Shorter than [`COUNT_RETENTION`], so that no holder grants this share at the same time.
pub(crate) const BACKEND_QUOTA_TERM: Duration = Duration::from_secs(50);
/// How long the largest host count stays in force. Until then, missing hosts may be cut off and
/// spend their local quota or ask another holder; a host that restarts is back within seconds.
const COUNT_RETENTION: Duration = Duration::from_mins(1);

/// Recent host counts.
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    /// Times and counts, largest first; later ones are smaller.
    counts: VecDeque<(Moment, usize)>,
    /// Hosts that may share the limit although nobody has reported them; counts while it stands.
    listed_hosts: usize,
}

impl FleetSize {
    /// How long a host without its holder may spend its local quota.
    pub const LOCAL_QUOTA_TERM: Duration = LOCAL_QUOTA_TERM;

    /// Records a count.
    pub fn record(&mut self, hosts: usize, now: Moment) {
        self.expire(now);
        while self.counts.back().is_some_and(|(_at, count)| *count <= hosts) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, hosts));
    }

    /// Replaces the number of hosts that are listed and not known to be gone.
    ///
    /// In contrast to reported counts it is not retained: a list may contain hosts that have left.
    pub fn set_listed(&mut self, hosts: usize) {
        self.listed_hosts = hosts;
    }

    /// Returns whether the number of listed hosts is known.
    pub(crate) fn has_listed(&self) -> bool {
        self.listed_hosts > 0
    }

    fn expire(&mut self, now: Moment) {
        while self.counts.front().is_some_and(|(at, _count)| now.since(*at) > COUNT_RETENTION) {
            self.counts.pop_front();
        }
    }

    /// The largest recorded count in force, at least 1; `None` before the first.
    pub fn largest(&self, now: Moment) -> Option<usize> {
        let current = self.counts.iter().filter(|(at, _count)| now.since(*at) <= COUNT_RETENTION);
        current.map(|(_at, count)| (*count).max(1)).max()
    }

    /// The share of a limit that a holder of `served_hosts` hosts grants.
    ///
    /// The rest is left to hosts that may have lost their holder or have another one: the shares of
    /// all holders and hosts add up to one, whichever holder each host asks.
    #[expect(clippy::cast_precision_loss, reason = "hosts are counted in hundreds")]
    pub fn holder_share(&self, served_hosts: usize, now: Moment) -> f64 {
        let served_hosts = served_hosts.max(1);
        let current = self.largest(now).unwrap_or(served_hosts).max(served_hosts);
        let current = current.max(self.listed_hosts);
        served_hosts as f64 / current as f64
    }

    /// The share of a limit that a host without a holder spends.
    #[expect(clippy::cast_precision_loss, reason = "hosts are counted in hundreds")]
    pub fn local_share(&self, now: Moment) -> Option<f64> {
        self.largest(now).map(|hosts| 1.0 / hosts.max(self.listed_hosts) as f64)
    }
}
