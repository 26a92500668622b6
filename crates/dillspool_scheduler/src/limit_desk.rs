//! The limits that this host counts, for itself and for others.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use dillspool_io::HostClock;
use dillspool_limits::{LimitHolder, LimitReading, SpendDecision, SpendRequest};
use dillspool_moment::Moment;
use dillspool_schema::Name;
use xxhash_rust::xxh3::xxh3_64;

/// Start of the names of shares.
const SHARE_PREFIX: &str = "limits-";

/// How limits are counted, alike on all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitTerms {
    /// What all hosts together may pass a limit by in a window, in its unit.
    pub slack: f64,
    /// Shares into which the workspaces are divided; each has a holder of its own.
    pub shares: usize,
}

/// A share of the workspaces, all of whose limits are counted at one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitShare(usize);

impl fmt::Display for LimitShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{SHARE_PREFIX}{}", self.0)
    }
}

impl LimitShare {
    /// Its place among all shares.
    pub(crate) fn index(self) -> usize {
        self.0
    }
}

/// Counts limits for this host, and for others where it holds them.
#[derive(Clone)]
pub struct LimitDesk {
    holders: Arc<Vec<Mutex<LimitHolder>>>,
    clock: HostClock,
}

impl fmt::Debug for LimitDesk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LimitDesk")
    }
}

impl LimitDesk {
    /// A desk that has counted nothing yet.
    pub fn new(terms: LimitTerms, clock: HostClock) -> Self {
        let holder = || Mutex::new(LimitHolder::new(terms.slack, clock.now()));
        let holders = (0..terms.shares.max(1)).map(|_share| holder()).collect();
        Self { holders: Arc::new(holders), clock }
    }

    /// The present moment, as limits are counted by.
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    fn with<T>(&self, share: LimitShare, run: impl FnOnce(&mut LimitHolder, Moment) -> T) -> T {
        let mut holder = self.holders[share.0].lock().unwrap_or_else(PoisonError::into_inner);
        run(&mut holder, self.now())
    }

    /// The share of a workspace.
    pub(crate) fn share_of(&self, workspace: &str) -> LimitShare {
        let shares = self.holders.len() as u64;
        // The remainder is below the number of shares.
        let index = usize::try_from(xxh3_64(workspace.as_bytes()) % shares).unwrap_or_default();
        LimitShare(index)
    }

    /// All shares.
    pub(crate) fn shares(&self) -> impl Iterator<Item = LimitShare> + use<> {
        (0..self.holders.len()).map(LimitShare)
    }

    /// The share of a name.
    pub(crate) fn share_named(&self, name: &str) -> Option<LimitShare> {
        let index = name.strip_prefix(SHARE_PREFIX)?.parse().ok()?;
        (index < self.holders.len()).then_some(LimitShare(index))
    }

    /// Counts a host among those that ask here until the guard is dropped; it knows of `told` hosts.
    pub(crate) fn join(&self, share: LimitShare, told: Option<usize>) -> JoinedGuard {
        self.with(share, |holder, now| holder.join(told, now));
        JoinedGuard { desk: self.clone(), share }
    }

    /// Notes how many hosts share the limits.
    pub(crate) fn note_hosts(&self, share: LimitShare, hosts: usize) {
        self.with(share, |holder, now| holder.note_hosts(hosts, now));
    }

    /// Hosts that share the limits, as far as this one knows.
    pub(crate) fn standing(&self, share: LimitShare) -> usize {
        self.with(share, |holder, now| holder.standing(now))
    }

    /// Decides on a request.
    pub(crate) fn spend(&self, share: LimitShare, request: &SpendRequest) -> SpendDecision {
        let (decision, part, reading) = self.with(share, |holder, now| {
            let decision = holder.spend(request, now);
            (decision, holder.part(now), holder.read(&request.workspace))
        });
        if let (SpendDecision::Refused { come_back }, Some(reading)) = (decision, reading) {
            log::debug!(
                "event=limit_reached workspace={} amount={} balance={:.0} per_s={} config={} part={part:.2} come_back_ms={}",
                request.workspace,
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
    pub(crate) fn give_back(&self, share: LimitShare, workspace: &str, amount: f64) {
        self.with(share, |holder, _now| holder.give_back(workspace, amount));
    }

    /// How a workspace's limit stands here; `None` if nobody asked here for it.
    pub fn read(&self, workspace: &str) -> Option<LimitReading> {
        self.with(self.share_of(workspace), |holder, _now| holder.read(workspace))
    }
}

/// A host that asks here.
pub(crate) struct JoinedGuard {
    desk: LimitDesk,
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
