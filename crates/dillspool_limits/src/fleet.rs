//! How many hosts share a limit, and what part of it a holder grants.

use std::collections::VecDeque;
use std::time::Duration;

use dillspool_moment::Moment;

/// Time for which a host that has lost its holder spends a part of its own: the longest time over
/// which a site sums its limits. A host that is cut off for longer sends its callers to others.
const OWN_TERM: Duration = Duration::from_secs(8);
/// The same of limits that backend servers name: with none of its own such a host could ask nothing of them.
/// Shorter than the count of hosts stands, so that no holder grants its part meanwhile.
pub(crate) const BACKEND_OWN_TERM: Duration = Duration::from_secs(50);
/// Time for which the largest count of hosts stands. Hosts that are missing may be cut off and spend
/// their parts, or ask another holder, until then; a host that starts anew is back within seconds.
const COUNT_STANDS: Duration = Duration::from_mins(1);

/// Counts of hosts that were seen or told lately.
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    /// Moments and counts, the largest first; later ones are smaller.
    counts: VecDeque<(Moment, usize)>,
}

impl FleetSize {
    /// Time for which a host without its holder may spend its own part.
    pub const LOCAL_QUOTA_TERM: Duration = OWN_TERM;

    /// Notes a count.
    pub fn record(&mut self, hosts: usize, now: Moment) {
        self.forget(now);
        while self.counts.back().is_some_and(|(_at, count)| *count <= hosts) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, hosts));
    }

    fn forget(&mut self, now: Moment) {
        while self.counts.front().is_some_and(|(at, _count)| now.since(*at) > COUNT_STANDS) {
            self.counts.pop_front();
        }
    }

    /// The largest count that stands, at least 1; `None` before the first.
    pub fn largest(&self, now: Moment) -> Option<usize> {
        let standing = self.counts.iter().filter(|(at, _count)| now.since(*at) <= COUNT_STANDS);
        standing.map(|(_at, count)| (*count).max(1)).max()
    }

    /// The part of a limit that a holder grants which serves so many hosts.
    ///
    /// The rest is left to hosts that may have lost their holder, or have another one: the parts of
    /// all holders and hosts add up to one, whoever asks whom.
    #[expect(clippy::cast_precision_loss, reason = "hosts are counted in hundreds")]
    pub fn holder_share(&self, served: usize, now: Moment) -> f64 {
        let served = served.max(1);
        let standing = self.largest(now).unwrap_or(served).max(served);
        served as f64 / standing as f64
    }

    /// The part of a limit that a host without a holder spends.
    #[expect(clippy::cast_precision_loss, reason = "hosts are counted in hundreds")]
    pub fn local_share(&self, now: Moment) -> Option<f64> {
        self.largest(now).map(|hosts| 1.0 / hosts as f64)
    }
}
