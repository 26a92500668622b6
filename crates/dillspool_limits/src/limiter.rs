//! Token buckets of all limits on one host.

use std::collections::HashMap;
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_schema::Name;

use crate::bucket::{LimitRate, SpendDecision, TokenBucket, UnreportedCharge};
use crate::spend::SpendRequest;

/// Fraction of the tolerance beyond a site's limits that a balance may hold beyond the burst.
/// Requests arrive in clumps and a limit can be as small as two a second, so a workspace within its
/// limit would otherwise be refused.
const HEADROOM_FRACTION: f64 = 0.375;
/// Fraction of the tolerance that a holder starts with. It does not know what was spent before and
/// counts the limit itself as spent; the burst refills over time.
const INITIAL_FRACTION: f64 = 0.0625;
/// Fraction of its own burst that the very first holder starts with; a quarter of the limit's whole
/// burst, since it grants half. All hosts have just started, and clients that got no answer
/// meanwhile arrive at once. The rest is left for what the hosts granted before they were lost,
/// which is not known.
const FIRST_HOLDER_FRACTION: f64 = 0.5;
/// Minimum initial balance, so that the very first request is not refused.
const MIN_INITIAL_BALANCE: f64 = 1e-9;
/// Number of buckets above which full ones are removed.
const MAX_BUCKETS: usize = 16_384;

/// What a backend server received before its limit was known. It counts over four seconds; with two
/// of them free, it gets in any four seconds, those before included, at most what it accepts in
/// five. Charging for all of it would leave an overloaded backend server, sent three times what it
/// accepts, without any request for twice as long; charging for more than four seconds would cover
/// requests that no longer count.
const BACKEND_UNREPORTED_CHARGE: UnreportedCharge =
    UnreportedCharge { free: Duration::from_secs(2), max: Duration::from_secs(4) };
/// Limits of workspaces are known before anything is spent.
const WORKSPACE_UNREPORTED_CHARGE: UnreportedCharge =
    UnreportedCharge { free: Duration::ZERO, max: Duration::ZERO };

/// Settings of a limiter besides the limits themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimiterSettings {
    /// Balance allowed beyond the burst.
    headroom: f64,
    /// Initial balance.
    initial_balance: f64,
    /// Whether a request may overdraw the balance.
    allows_debt: bool,
    /// How much is charged of what was spent before a limit was known.
    unreported: UnreportedCharge,
}

impl LimiterSettings {
    /// Settings of a holder whose site tolerates `slack` beyond the limits per window.
    ///
    /// A request is granted while any balance is left: a limit can be as small as two requests a
    /// second, and a request larger than the burst would never be granted otherwise.
    pub fn holder(slack: f64) -> Self {
        Self {
            headroom: HEADROOM_FRACTION * slack,
            initial_balance: (INITIAL_FRACTION * slack).max(MIN_INITIAL_BALANCE),
            allows_debt: true,
            unreported: WORKSPACE_UNREPORTED_CHARGE,
        }
    }

    /// Settings of a holder of limits that backend servers announce, in requests; a limit can be
    /// below one.
    ///
    /// The holder starts in debt; otherwise, each of several successive holders would grant a
    /// request on credit.
    pub const fn holder_for_backend_servers() -> Self {
        Self {
            headroom: 0.0,
            initial_balance: -1.0,
            allows_debt: true,
            unreported: BACKEND_UNREPORTED_CHARGE,
        }
    }

    /// Settings of a host that has no holder and spends a share of such limits, each far below one
    /// request a second. `phase` is between 0 and 1 and differs per host, so that the first
    /// requests of all hosts do not arrive at once.
    pub const fn local_quota_for_backend_servers(phase: f64) -> Self {
        Self {
            headroom: 0.0,
            initial_balance: -phase,
            allows_debt: true,
            unreported: BACKEND_UNREPORTED_CHARGE,
        }
    }

    /// Settings of a host that has no holder and spends its local quota. All quotas together stay
    /// within the limit, so each one must: no request may overdraw it.
    pub const fn local_quota() -> Self {
        Self {
            headroom: 0.0,
            initial_balance: 0.0,
            allows_debt: false,
            unreported: WORKSPACE_UNREPORTED_CHARGE,
        }
    }
}

/// Current state of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatus {
    /// The limit.
    pub rate: LimitRate,
    /// Remaining balance; negative while a debt is being paid off.
    pub balance: f64,
}

/// Token buckets by key.
#[derive(Clone, Debug)]
pub struct KeyedLimiter {
    settings: LimiterSettings,
    /// When counting started.
    started_at: Moment,
    /// Whether no earlier holder is known.
    is_first: bool,
    buckets: HashMap<Name, TokenBucket>,
}

impl KeyedLimiter {
    /// Creates a limiter that assumes it is the first to count.
    pub fn new(settings: LimiterSettings, started_at: Moment) -> Self {
        Self { settings, started_at, is_first: true, buckets: HashMap::new() }
    }

    /// Starts over after others have counted. What they granted is not known and counts as spent:
    /// balances start almost empty, and the burst refills over time.
    pub fn reset(&mut self, now: Moment) {
        self.started_at = now;
        self.is_first = false;
        for bucket in self.buckets.values_mut() {
            bucket.reset(self.settings.initial_balance, now);
        }
    }

    /// Spends from a limit of which the share `share` is granted here.
    pub fn spend(&mut self, request: &SpendRequest, share: f64, now: Moment) -> SpendDecision {
        self.remove_full(now, share);
        let LimiterSettings { headroom, initial_balance, allows_debt, unreported } = self.settings;
        let started_at = self.started_at;
        let first = if self.is_first && allows_debt {
            request.rate.burst * share * FIRST_HOLDER_FRACTION
        } else {
            0.0
        };
        let bucket = self.buckets.entry(Name::clone(&request.subject)).or_insert_with(|| {
            TokenBucket::new(request.rate, request.version, initial_balance + first, started_at)
        });
        bucket.refill(now, share, headroom);
        bucket.set_rate(request.rate, request.version);
        // A lowered limit takes effect at once.
        bucket.refill(now, share, headroom);
        bucket.charge_unreported(request.unreported, &unreported, share);
        if request.amount <= 0.0 {
            return SpendDecision::Allowed;
        }
        let min_balance = if allows_debt { 0.0 } else { request.amount };
        bucket.spend(request.amount, request.priority, min_balance, share)
    }

    /// Refunds an amount of a request that was not sent.
    pub fn refund(&mut self, subject: &str, amount: f64) {
        if let Some(bucket) = self.buckets.get_mut(subject) {
            bucket.refund(amount);
        }
    }

    /// Current state of a limit; `None` if nothing was requested from it.
    pub fn status(&self, subject: &str) -> Option<LimitStatus> {
        let bucket = self.buckets.get(subject)?;
        Some(LimitStatus { rate: bucket.rate(), balance: bucket.balance() })
    }

    /// Number of limits that are tracked.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no limits are tracked.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Removes full buckets once there are too many; workspaces and backend servers come and go.
    fn remove_full(&mut self, now: Moment, share: f64) {
        if self.buckets.len() < MAX_BUCKETS {
            return;
        }
        let headroom = self.settings.headroom;
        let is_full = |bucket: &TokenBucket| {
            let rate = bucket.rate();
            let refilled = now.since(bucket.updated_at()).as_secs_f64() * rate.per_s * share;
            bucket.balance() + refilled >= rate.burst * share + headroom
        };
        // A removed bucket that is needed again starts like a new one.
        self.buckets.retain(|_subject, bucket| !is_full(bucket));
        self.started_at = now;
    }
}
