//! The limits that this host counts, for itself and for other hosts.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use dillspool_io::HostClock;
use dillspool_limits::{LimitHolder, LimitStatus, LocalQuota, SpendDecision, SpendRequest};
use dillspool_moment::Moment;
use dillspool_schema::Name;
use xxhash_rust::xxh3::xxh3_64;

/// Which limits a limiter counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitScope {
    /// Limits of workspaces, as configured.
    Workspaces,
    /// Limits that backend servers advertise.
    BackendServers,
}

impl LimitScope {
    /// Returns the prefix of the names of the scope's shares.
    fn share_prefix(self) -> &'static str {
        match self {
            Self::Workspaces => "limits-",
            Self::BackendServers => "backend-limits-",
        }
    }
}

/// Settings for the limits of workspaces. The same on all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimiterSettings {
    /// Amount by which all hosts together may exceed a limit in a window, in the limit's unit.
    pub slack: f64,
    /// Number of shares into which the limits are divided; each share has its own holder.
    pub shares: usize,
}

/// A share of the limits; one host counts all limits in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitShare {
    scope: LimitScope,
    /// Index among the shares of the scope.
    pub(crate) index: usize,
}

impl fmt::Display for LimitShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", self.scope.share_prefix(), self.index)
    }
}

/// Grants amounts from rate limits to this host, and to other hosts for the shares that it holds.
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
    /// Creates a limiter for the limits of workspaces.
    pub fn new(settings: RateLimiterSettings, clock: HostClock) -> Self {
        let holder = |now| LimitHolder::new(settings.slack, now);
        Self::for_scope(LimitScope::Workspaces, settings.shares, holder, clock)
    }

    /// Creates a limiter for the limits that backend servers advertise.
    pub fn for_backend_servers(shares: usize, clock: HostClock) -> Self {
        let holder = LimitHolder::for_backend_servers;
        Self::for_scope(LimitScope::BackendServers, shares, holder, clock)
    }

    fn for_scope(
        scope: LimitScope,
        shares: usize,
        holder: impl Fn(Moment) -> LimitHolder,
        clock: HostClock,
    ) -> Self {
        let holders = (0..shares.max(1)).map(|_share| Mutex::new(holder(clock.now()))).collect();
        Self { scope, holders: Arc::new(holders), clock }
    }

    /// Returns the quota that this host spends while it has no holder.
    pub(crate) fn local_quota(&self) -> LocalQuota {
        match self.scope {
            LimitScope::Workspaces => LocalQuota::new(self.now()),
            LimitScope::BackendServers => {
                LocalQuota::for_backend_servers(rand::random(), self.now())
            }
        }
    }

    /// Returns the current time of the limits' clock.
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    fn with<T>(&self, share: LimitShare, run: impl FnOnce(&mut LimitHolder, Moment) -> T) -> T {
        let mut holder = self.holders[share.index].lock().unwrap_or_else(PoisonError::into_inner);
        run(&mut holder, self.now())
    }

    /// Returns the share that a subject's limit belongs to.
    pub(crate) fn share_of(&self, subject: &str) -> LimitShare {
        let shares = self.holders.len() as u64;
        // The remainder is less than the number of shares.
        let index = usize::try_from(xxh3_64(subject.as_bytes()) % shares).unwrap_or_default();
        LimitShare { scope: self.scope, index }
    }

    /// Returns all shares.
    pub(crate) fn shares(&self) -> impl Iterator<Item = LimitShare> + use<> {
        let scope = self.scope;
        (0..self.holders.len()).map(move |index| LimitShare { scope, index })
    }

    /// Returns the share with this name, if it belongs to this limiter's scope.
    pub(crate) fn share_named(&self, name: &str) -> Option<LimitShare> {
        let index = name.strip_prefix(self.scope.share_prefix())?.parse().ok()?;
        (index < self.holders.len()).then_some(LimitShare { scope: self.scope, index })
    }

    /// Counts a host among those that ask here until the guard is dropped. The host knows of
    /// `known_hosts` hosts.
    pub(crate) fn join(&self, share: LimitShare, known_hosts: Option<usize>) -> JoinedGuard {
        self.with(share, |holder, now| holder.join(known_hosts, now));
        JoinedGuard { limiter: self.clone(), share }
    }

    /// Records how many hosts share the limits.
    pub(crate) fn record_host_count(&self, share: LimitShare, hosts: usize) {
        self.with(share, |holder, now| holder.record_host_count(hosts, now));
    }

    /// Replaces the number of hosts that are listed and not known to be gone.
    pub(crate) fn set_listed_hosts(&self, share: LimitShare, hosts: usize) {
        self.with(share, |holder, _now| holder.set_listed_hosts(hosts));
    }

    /// Updates the number of listed hosts, if it was set before.
    pub(crate) fn update_listed_hosts(&self, share: LimitShare, hosts: usize) {
        self.with(share, |holder, _now| holder.update_listed_hosts(hosts));
    }

    /// Returns the number of hosts that share the limits, as far as this host knows.
    pub(crate) fn known_hosts(&self, share: LimitShare) -> usize {
        self.with(share, |holder, now| holder.known_hosts(now))
    }

    /// Grants or refuses a request.
    pub(crate) fn spend(&self, share: LimitShare, request: &SpendRequest) -> SpendDecision {
        let (decision, granted_share, status) = self.with(share, |holder, now| {
            let decision = holder.spend(request, now);
            (decision, holder.granted_share(now), holder.status(&request.subject))
        });
        if let (SpendDecision::Refused { come_back }, Some(status)) = (decision, status) {
            log::debug!(
                "event=limit_reached subject=\"{}\" amount={} balance={:.1} per_s={} version={:?} part={granted_share:.2} come_back_ms={}",
                request.subject,
                request.amount,
                status.balance,
                status.rate.per_s,
                request.version,
                come_back.as_millis(),
            );
        }
        decision
    }

    /// Refunds the amount of a request that was not sent.
    pub(crate) fn refund(&self, share: LimitShare, subject: &str, amount: f64) {
        self.with(share, |holder, _now| holder.refund(subject, amount));
    }

    /// Returns the status of a limit; `None` if it was never requested here.
    pub fn status(&self, subject: &str) -> Option<LimitStatus> {
        self.with(self.share_of(subject), |holder, _now| holder.status(subject))
    }
}

/// Counts a joined host until it is dropped.
pub(crate) struct JoinedGuard {
    limiter: RateLimiter,
    share: LimitShare,
}

impl Drop for JoinedGuard {
    fn drop(&mut self) {
        self.limiter.with(self.share, LimitHolder::leave);
    }
}

/// Returns the name of a share on the wire.
pub(crate) fn share_name(share: LimitShare) -> Name {
    share.to_string().into()
}
