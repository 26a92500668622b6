//! The host that counts limits for all, and a host that has lost it.

use std::time::Duration;

use dillspool_moment::Moment;

use crate::bucket::SpendDecision;
use crate::fleet::{BACKEND_OWN_TERM, FleetSize};
use crate::ledger::{KeyedLimiter, LimitStatus, LimiterSettings};
use crate::spend::SpendRequest;

/// Time from its first host on for which a holder takes it that as many hosts again ask another one,
/// where nobody has told it of so many: where all hosts start at once, those that were there first
/// choose different holders, and look for the best one each two seconds.
const SETTLES_AFTER: Duration = Duration::from_secs(4);
/// Part of the limits that it grants until then: two such holders stay within the limit together.
const AT_START: f64 = 0.5;

/// Counts limits for the hosts that ask.
///
/// Any host can be one, and two may be at once: what keeps them within a limit together is that
/// each grants the part of the hosts it serves, and begins with nothing.
#[derive(Clone, Debug)]
pub struct LimitHolder {
    ledger: KeyedLimiter,
    fleet: FleetSize,
    /// Hosts that ask here; this one is among them only while it asks itself.
    served: usize,
    /// When a host asked here for the first time.
    first_join: Option<Moment>,
    /// The most hosts that any host told of.
    most_told: usize,
}

impl LimitHolder {
    /// A holder of workspaces' limits that serves nobody yet; the site allows `slack` beyond them in a window.
    pub fn new(slack: f64, now: Moment) -> Self {
        Self::of_terms(LimiterSettings::holder(slack), now)
    }

    /// A holder of the limits that backend servers name.
    pub fn for_backend_servers(now: Moment) -> Self {
        Self::of_terms(LimiterSettings::backend_servers(), now)
    }

    fn of_terms(terms: LimiterSettings, now: Moment) -> Self {
        let ledger = KeyedLimiter::new(terms, now);
        Self { ledger, fleet: FleetSize::default(), served: 0, first_join: None, most_told: 0 }
    }

    /// Notes how many hosts share the limits at least, by the word of others.
    pub fn record_host_count(&mut self, hosts: usize, now: Moment) {
        self.most_told = self.most_told.max(hosts);
        self.fleet.record(hosts, now);
    }

    /// A host asks here from now on, and knows of so many hosts.
    pub fn join(&mut self, told: Option<usize>, now: Moment) {
        let has_served = self.first_join.is_some();
        if (self.served == 0 && has_served) || (!has_served && told.is_some()) {
            // Others were asked meanwhile, or before.
            self.ledger.reset(now);
        }
        self.first_join.get_or_insert(now);
        self.served += 1;
        if let Some(told) = told {
            self.record_host_count(told, now);
        }
        self.fleet.record(self.served, now);
    }

    /// A host asks here no more.
    pub fn leave(&mut self, now: Moment) {
        // The larger count stands for a while.
        self.fleet.record(self.served, now);
        self.served = self.served.saturating_sub(1);
    }

    /// Hosts that share the limits, as far as this one knows; what it tells those that ask here. A
    /// holder of few would else have each of them take itself for one of few.
    pub fn known_hosts(&self, now: Moment) -> usize {
        self.fleet.largest(now).unwrap_or(self.served).max(self.served)
    }

    /// Decides on a request.
    pub fn spend(&mut self, request: &SpendRequest, now: Moment) -> SpendDecision {
        self.fleet.record(self.served, now);
        self.ledger.spend(request, self.granted_share(now), now)
    }

    /// Takes back what a request did not use.
    pub fn refund(&mut self, subject: &str, amount: f64) {
        self.ledger.refund(subject, amount);
    }

    /// How a limit stands.
    pub fn status(&self, subject: &str) -> Option<LimitStatus> {
        self.ledger.status(subject)
    }

    /// Part of the limits that is granted here now.
    pub fn granted_share(&self, now: Moment) -> f64 {
        let part = self.fleet.holder_share(self.served, now);
        if self.is_settled(now) { part } else { part.min(AT_START) }
    }

    /// Whether all hosts ask here that ever will, or are known.
    fn is_settled(&self, now: Moment) -> bool {
        let starts = self.first_join.is_some_and(|first| now.since(first) < SETTLES_AFTER);
        !starts || self.served <= self.most_told
    }
}

/// A host's own part of the limits while it has no holder.
#[derive(Clone, Debug)]
pub struct LocalQuota {
    ledger: KeyedLimiter,
    fleet: FleetSize,
    /// When a holder was heard of last.
    word: Option<Moment>,
    /// Time after that for which the parts are spent.
    term: Duration,
}

impl LocalQuota {
    /// Parts of a host that has heard of no holder yet: none.
    pub fn new(now: Moment) -> Self {
        Self::of_terms(LimiterSettings::own_part(), FleetSize::LOCAL_QUOTA_TERM, now)
    }

    /// The same of limits that backend servers name; `phase` is from 0 to 1, another one on each host.
    pub fn for_backend_servers(phase: f64, now: Moment) -> Self {
        let terms = LimiterSettings::own_part_of_backend_servers(phase);
        Self::of_terms(terms, BACKEND_OWN_TERM, now)
    }

    fn of_terms(terms: LimiterSettings, term: Duration, now: Moment) -> Self {
        let ledger = KeyedLimiter::new(terms, now);
        Self { ledger, fleet: FleetSize::default(), word: None, term }
    }

    /// Notes a holder's word that it counts for this host, and for how many.
    pub fn record_heartbeat(&mut self, hosts: usize, now: Moment) {
        if hosts > 0 {
            self.fleet.record(hosts, now);
        }
        self.word = Some(now);
        self.ledger.reset(now);
    }

    /// Hosts that share the limits, by the word of holders.
    pub fn known_hosts(&self, now: Moment) -> Option<usize> {
        self.fleet.largest(now)
    }

    /// Decides on a request without a holder; `None` when there is no part left to decide by.
    pub fn spend(&mut self, request: &SpendRequest, now: Moment) -> Option<SpendDecision> {
        let silent = now.since(self.word?);
        if silent > self.term {
            return None;
        }
        let part = self.fleet.local_share(now)?;
        Some(self.ledger.spend(request, part, now))
    }
}
