//! The limits that this host counts, for itself and for others.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use dillspool_io::HostClock;
use dillspool_limits::{LimitHolder, LimitStatus, LocalQuota, SpendDecision, SpendRequest};
use dillspool_moment::Moment;
use dillspool_schema::Name;
use xxhash_rust::xxh3::xxh3_64;

/// Whose limits a desk counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitScope {
    /// Those of workspaces, as the configuration states them.
    Workspaces,
    /// Those that backend servers name.
    BackendServers,
}

impl LimitScope {
    /// Start of the names of its shares.
    fn share_prefix(self) -> &'static str {
        match self {
            Self::Workspaces => "limits-",
            Self::BackendServers => "backend-limits-",
        }
    }
}

/// How limits of workspaces are counted, alike on all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimiterSettings {
    /// What all hosts together may pass a limit by in a window, in its unit.
    pub slack: f64,
    /// Shares into which limits are divided; each has a holder of its own.
    pub shares: usize,
}

/// A share of the limits, all of which are counted at one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitShare {
    scope: LimitScope,
    /// Its place among all shares.
    pub(crate) index: usize,
}

impl fmt::Display for LimitShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", self.scope.share_prefix(), self.index)
    }
}

/// Counts limits for this host, and for others where it holds them.
#[derive(Clone)]
pub struct RateLimiter {
    scope: LimitScope,
    holders: Arc<Vec<Mutex<LimitHolder>>>,
    clock: HostClock,
}

impl fmt::Debug for RateLimiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LimitDesk")
    }
}

impl RateLimiter {
    /// A desk of the limits of workspaces that has counted nothing yet.
    pub fn new(terms: RateLimiterSettings, clock: HostClock) -> Self {
        let holder = |now| LimitHolder::new(terms.slack, now);
        Self::of_scope(LimitScope::Workspaces, terms.shares, holder, clock)
    }

    /// The same of the limits that backend servers name.
    pub fn for_backend_servers(shares: usize, clock: HostClock) -> Self {
        let holder = LimitHolder::for_backend_servers;
        Self::of_scope(LimitScope::BackendServers, shares, holder, clock)
    }

    fn of_scope(
        scope: LimitScope,
        shares: usize,
        holder: impl Fn(Moment) -> LimitHolder,
        clock: HostClock,
    ) -> Self {
        let holders = (0..shares.max(1)).map(|_share| Mutex::new(holder(clock.now()))).collect();
        Self { scope, holders: Arc::new(holders), clock }
    }

    /// What this host spends while it has no holder.
    pub(crate) fn own_parts(&self) -> LocalQuota {
        match self.scope {
            LimitScope::Workspaces => LocalQuota::new(self.now()),
            LimitScope::BackendServers => {
                LocalQuota::for_backend_servers(rand::random(), self.now())
            }
        }
    }

    /// The present moment, as limits are counted by.
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    fn with<T>(&self, share: LimitShare, run: impl FnOnce(&mut LimitHolder, Moment) -> T) -> T {
        let mut holder = self.holders[share.index].lock().unwrap_or_else(PoisonError::into_inner);
        run(&mut holder, self.now())
    }

    /// The share of a subject.
    pub(crate) fn share_of(&self, subject: &str) -> LimitShare {
        let shares = self.holders.len() as u64;
        // The remainder is below the number of shares.
        let index = usize::try_from(xxh3_64(subject.as_bytes()) % shares).unwrap_or_default();
        LimitShare { scope: self.scope, index }
    }

    /// All shares.
    pub(crate) fn shares(&self) -> impl Iterator<Item = LimitShare> + use<> {
        let scope = self.scope;
        (0..self.holders.len()).map(move |index| LimitShare { scope, index })
    }

    /// The share of a name.
    pub(crate) fn share_named(&self, name: &str) -> Option<LimitShare> {
        let index = name.strip_prefix(self.scope.share_prefix())?.parse().ok()?;
        (index < self.holders.len()).then_some(LimitShare { scope: self.scope, index })
    }

    /// Counts a host among those that ask here until the guard is dropped; it knows of `told` hosts.
    pub(crate) fn join(&self, share: LimitShare, told: Option<usize>) -> JoinedGuard {
        self.with(share, |holder, now| holder.join(told, now));
        JoinedGuard { desk: self.clone(), share }
    }

    /// Notes how many hosts share the limits.
    pub(crate) fn note_hosts(&self, share: LimitShare, hosts: usize) {
        self.with(share, |holder, now| holder.record_host_count(hosts, now));
    }

    /// Hosts that share the limits, as far as this one knows.
    pub(crate) fn standing(&self, share: LimitShare) -> usize {
        self.with(share, |holder, now| holder.known_hosts(now))
    }

    /// Decides on a request.
    pub(crate) fn spend(&self, share: LimitShare, request: &SpendRequest) -> SpendDecision {
        let (decision, part, reading) = self.with(share, |holder, now| {
            let decision = holder.spend(request, now);
            (decision, holder.granted_share(now), holder.status(&request.subject))
        });
        if let (SpendDecision::Refused { come_back }, Some(reading)) = (decision, reading) {
            log::debug!(
                "event=limit_reached subject=\"{}\" amount={} balance={:.1} per_s={} version={:?} part={part:.2} come_back_ms={}",
                request.subject,
                request.amount,
                reading.balance,
                reading.rate.per_s,
                request.version,
                come_back.as_millis(),
            );
        }
        decision
    }

    /// Takes back what a request did not use.
    pub(crate) fn give_back(&self, share: LimitShare, subject: &str, amount: f64) {
        self.with(share, |holder, _now| holder.refund(subject, amount));
    }

    /// How a limit stands here; `None` if nobody asked here for it.
    pub fn status(&self, subject: &str) -> Option<LimitStatus> {
        self.with(self.share_of(subject), |holder, _now| holder.status(subject))
    }
}

/// A host that asks here.
pub(crate) struct JoinedGuard {
    desk: RateLimiter,
    share: LimitShare,
}

impl Drop for JoinedGuard {
    fn drop(&mut self) {
        self.desk.with(self.share, LimitHolder::leave);
    }
}

/// Name of a share as hosts call it.
pub(crate) fn share_name(share: LimitShare) -> Name {
    share.to_string().into()
}
