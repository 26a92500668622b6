//! Share of the servers' limits that a host uses while it decides on calls by itself.

use std::time::Duration;

use dillspool_moment::Moment;

/// Multiple of the servers' limits that all hosts together may use at first; more than 1 because callers are not
/// spread evenly over the hosts.
const INITIAL_FACTOR: f64 = 2.0;
/// Factor by which the share grows when it rejects a call.
const GROWTH: f64 = 1.5;
/// Factor by which it shrinks when a server refuses a call.
const REDUCTION: f64 = 0.5;
/// Minimum time between two changes, in which the outcomes of calls follow the previous one.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a refusal during which the share does not grow.
const REFUSAL_MEMORY: Duration = Duration::from_secs(2);
/// Time without a rejected call after which the share returns to its initial value.
const RESET_DELAY: Duration = Duration::from_secs(10);

/// Learns the share from the host's own calls: an equal share is too small for a host that gets most callers, and
/// only the servers tell whether they have room beyond it.
#[derive(Clone, Copy, Debug)]
pub struct LocalShare {
    /// Multiple of the initial share, at least 1.
    factor: f64,
    changed_at: Moment,
    rejected_at: Moment,
    refused_at: Option<Moment>,
}

impl Default for LocalShare {
    fn default() -> Self {
        let start = Moment::default();
        Self { factor: 1.0, changed_at: start, rejected_at: start, refused_at: None }
    }
}

impl LocalShare {
    /// Returns the share in a fleet of `hosts`.
    pub fn current(&self, hosts: usize, now: Moment) -> f64 {
        let factor = if self.is_reset(now) { 1.0 } else { self.factor };
        (Self::initial(hosts) * factor).min(1.0)
    }

    fn initial(hosts: usize) -> f64 {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        (INITIAL_FACTOR / f64::from(hosts.max(1))).min(1.0)
    }

    fn is_reset(&self, now: Moment) -> bool {
        now.since(self.rejected_at) > RESET_DELAY
    }

    /// Records that a call was rejected for lack of capacity in a fleet of `hosts`.
    pub fn record_rejection(&mut self, hosts: usize, now: Moment) {
        if self.is_reset(now) {
            self.factor = 1.0;
        }
        self.rejected_at = now;
        let was_refused = self.refused_at.is_some_and(|at| now.since(at) < REFUSAL_MEMORY);
        if was_refused || now.since(self.changed_at) < CHANGE_INTERVAL {
            return;
        }
        self.changed_at = now;
        self.factor = (self.factor * GROWTH).min(1.0 / Self::initial(hosts));
    }

    /// Records that a server refused a call.
    pub fn record_refusal(&mut self, now: Moment) {
        self.refused_at = Some(now);
        if now.since(self.changed_at) < CHANGE_INTERVAL {
            return;
        }
        self.changed_at = now;
        self.factor = (self.factor * REDUCTION).max(1.0);
    }
}
