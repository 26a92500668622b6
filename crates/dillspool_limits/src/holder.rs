//! The holder, which counts limits for all hosts, and the local quota of a host that has lost it.

use std::time::Duration;

use dillspool_moment::Moment;

use crate::bucket::SpendDecision;
use crate::fleet_size::{BACKEND_QUOTA_TERM, FleetSize};
use crate::limiter::{KeyedLimiter, LimitStatus, LimiterSettings};
use crate::spend::SpendRequest;

/// Time after its first host joined during which a holder assumes that another holder serves as
/// many hosts, unless it was told the host count. When all hosts start at once, the early ones
/// choose different holders, and they look for the best one every two seconds.
const STARTUP_PERIOD: Duration = Duration::from_secs(4);
/// Share of the limits that is granted until then; two such holders stay within the limit together.
const STARTUP_SHARE: f64 = 0.5;

/// Counts limits for the hosts that ask it.
///
/// Any host can be the holder, and there may be two at once. They stay within a limit together
/// because each grants only the share of the hosts that it serves, and starts with an empty
/// balance.
#[derive(Clone, Debug)]
pub struct LimitHolder {
    limiter: KeyedLimiter,
    fleet_size: FleetSize,
    /// Hosts that ask this holder; includes its own host only while that asks it.
    served_hosts: usize,
    /// When the first host joined.
    first_join: Option<Moment>,
    /// Highest host count that any host reported.
    max_reported_hosts: usize,
}

impl LimitHolder {
    /// Creates a holder of workspace limits without any hosts; `slack` is what the site tolerates
    /// beyond a limit per window.
    pub fn new(slack: f64, now: Moment) -> Self {
        Self::with_settings(LimiterSettings::holder(slack), now)
    }

    /// Creates a holder of limits that backend servers announce.
    pub fn for_backend_servers(now: Moment) -> Self {
        Self::with_settings(LimiterSettings::holder_for_backend_servers(), now)
    }

    fn with_settings(settings: LimiterSettings, now: Moment) -> Self {
        let limiter = KeyedLimiter::new(settings, now);
        Self {
            limiter,
            fleet_size: FleetSize::default(),
            served_hosts: 0,
            first_join: None,
            max_reported_hosts: 0,
        }
    }

    /// Records a minimum for the number of hosts that share the limits, as reported by others.
    pub fn record_host_count(&mut self, hosts: usize, now: Moment) {
        self.max_reported_hosts = self.max_reported_hosts.max(hosts);
        self.fleet_size.record(hosts, now);
    }

    /// Replaces the number of hosts that are listed and not known to be gone. It is not reported to
    /// other hosts, which have the list as well and would retain the number.
    pub fn set_listed_hosts(&mut self, hosts: usize) {
        self.max_reported_hosts = self.max_reported_hosts.max(hosts);
        self.fleet_size.set_listed(hosts);
    }

    /// Updates the number of listed hosts, if it was set before.
    pub fn update_listed_hosts(&mut self, hosts: usize) {
        if self.fleet_size.has_listed() {
            self.fleet_size.set_listed(hosts);
        }
    }

    /// Adds a host that asks this holder from now on, with the host count that it reports.
    pub fn join(&mut self, reported_hosts: Option<usize>, now: Moment) {
        let has_served = self.first_join.is_some();
        if (self.served_hosts == 0 && has_served) || (!has_served && reported_hosts.is_some()) {
            // Other holders were asked in the meantime, or before.
            self.limiter.reset(now);
        }
        self.first_join.get_or_insert(now);
        self.served_hosts += 1;
        if let Some(reported_hosts) = reported_hosts {
            self.record_host_count(reported_hosts, now);
        }
        self.fleet_size.record(self.served_hosts, now);
    }

    /// Removes a host that no longer asks this holder.
    pub fn leave(&mut self, now: Moment) {
        // The larger count stays in force for a while.
        self.fleet_size.record(self.served_hosts, now);
        self.served_hosts = self.served_hosts.saturating_sub(1);
    }

    /// Number of hosts known to share the limits, which is reported to the hosts that ask here. If
    /// the holder only reported the few that it serves, each would assume a small fleet and take
    /// too large a local quota.
    pub fn known_hosts(&self, now: Moment) -> usize {
        self.fleet_size.largest(now).unwrap_or(self.served_hosts).max(self.served_hosts)
    }

    /// Decides on a request.
    pub fn spend(&mut self, request: &SpendRequest, now: Moment) -> SpendDecision {
        self.fleet_size.record(self.served_hosts, now);
        self.limiter.spend(request, self.granted_share(now), now)
    }

    /// Refunds what a request did not use.
    pub fn refund(&mut self, subject: &str, amount: f64) {
        self.limiter.refund(subject, amount);
    }

    /// Current state of a limit.
    pub fn status(&self, subject: &str) -> Option<LimitStatus> {
        self.limiter.status(subject)
    }

    /// Share of the limits that is granted here now.
    pub fn granted_share(&self, now: Moment) -> f64 {
        let share = self.fleet_size.holder_share(self.served_hosts, now);
        if self.is_settled(now) { share } else { share.min(STARTUP_SHARE) }
    }

    /// Whether the startup period is over, or a reported host count covers all hosts that are
    /// served here.
    fn is_settled(&self, now: Moment) -> bool {
        let is_starting = self.first_join.is_some_and(|first| now.since(first) < STARTUP_PERIOD);
        !is_starting || self.served_hosts <= self.max_reported_hosts
    }
}

/// The share of the limits that a host may spend while it has no holder.
#[derive(Clone, Debug)]
pub struct LocalQuota {
    limiter: KeyedLimiter,
    fleet_size: FleetSize,
    /// When a holder was last heard from.
    last_heartbeat: Option<Moment>,
    /// How long after that the quota may be spent.
    term: Duration,
}

impl LocalQuota {
    /// Creates an empty quota for a host that has not heard from a holder yet.
    pub fn new(now: Moment) -> Self {
        Self::with_settings(LimiterSettings::local_quota(), FleetSize::LOCAL_QUOTA_TERM, now)
    }

    /// The same for limits that backend servers announce; `phase` is between 0 and 1 and differs
    /// per host.
    pub fn for_backend_servers(phase: f64, now: Moment) -> Self {
        let settings = LimiterSettings::local_quota_for_backend_servers(phase);
        Self::with_settings(settings, BACKEND_QUOTA_TERM, now)
    }

    fn with_settings(settings: LimiterSettings, term: Duration, now: Moment) -> Self {
        let limiter = KeyedLimiter::new(settings, now);
        Self { limiter, fleet_size: FleetSize::default(), last_heartbeat: None, term }
    }

    /// Records a holder's heartbeat, which reports the number of hosts.
    pub fn record_heartbeat(&mut self, hosts: usize, now: Moment) {
        if hosts > 0 {
            self.fleet_size.record(hosts, now);
        }
        self.last_heartbeat = Some(now);
        self.limiter.reset(now);
    }

    /// Replaces the number of hosts that are listed and not known to be gone.
    pub fn set_listed_hosts(&mut self, hosts: usize) {
        self.fleet_size.set_listed(hosts);
    }

    /// Number of hosts that share the limits, as reported by holders.
    pub fn known_hosts(&self, now: Moment) -> Option<usize> {
        self.fleet_size.largest(now)
    }

    /// Decides on a request without a holder; `None` if there is no quota left.
    pub fn spend(&mut self, request: &SpendRequest, now: Moment) -> Option<SpendDecision> {
        let silence = now.since(self.last_heartbeat?);
        if silence > self.term {
            return None;
        }
        let share = self.fleet_size.local_share(now)?;
        Some(self.limiter.spend(request, share, now))
    }
}
