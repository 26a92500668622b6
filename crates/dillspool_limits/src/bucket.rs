//! Token bucket for one limit.

use std::time::Duration;

use dillspool_moment::Moment;

use crate::backlog::RefusedBacklog;
use crate::spend::RateVersion;

/// Maximum retry delay that is returned. When clients ask for many times their workspace's limit, a
/// longer one would be wrong: other requests would have taken the balance by then.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Fraction of a limit that goes to requests even while more urgent ones wait, and the maximum that
/// is saved up for them.
const LOW_PRIORITY_FRACTION: f64 = 0.1;
const MAX_LOW_PRIORITY_RESERVE: f64 = 2.0;
/// Minimum retry delay that is returned.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(1);
/// A bucket holds at least what refills in this time; a limit without a burst would otherwise grant
/// nothing.
const MIN_CAPACITY_TIME: Duration = Duration::from_millis(20);

/// Rate and burst of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRate {
    /// Refill rate per second.
    pub per_s: f64,
    /// Burst size on top of the refill rate.
    pub burst: f64,
}

/// How much is charged of what was spent before a limit was known, as time at the full rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct UnreportedCharge {
    /// Not charged up to this time's worth.
    pub(crate) free: Duration,
    /// Charged up to this time's worth.
    pub(crate) max: Duration,
}

/// Whether an amount may be spent. Log lines print it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SpendDecision {
    /// The amount was spent.
    Allowed,
    /// The amount was not spent; the limit will have room for it and for earlier refused requests
    /// after `come_back`.
    Refused {
        /// Time until a retry can succeed.
        come_back: Duration,
    },
}

/// Token bucket of one limit.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    rate: LimitRate,
    /// Version of the rate.
    version: RateVersion,
    balance: f64,
    /// Amount spent before the limit was known, less what has been refilled since.
    unreported: f64,
    backlog: RefusedBacklog,
    /// Balance reserved for requests that more urgent ones would otherwise starve.
    low_priority_reserve: f64,
    /// Time up to which the balance has been refilled.
    updated_at: Moment,
}

impl TokenBucket {
    /// Creates a bucket that starts to refill at `updated_at`.
    pub(crate) fn new(
        rate: LimitRate,
        version: RateVersion,
        balance: f64,
        updated_at: Moment,
    ) -> Self {
        Self {
            rate,
            version,
            balance,
            unreported: 0.0,
            backlog: RefusedBacklog::default(),
            low_priority_reserve: 0.0,
            updated_at,
        }
    }

    /// Sets the rate unless it is older than the current one; otherwise hosts that learn of changes
    /// late would revert them.
    pub(crate) fn set_rate(&mut self, rate: LimitRate, version: RateVersion) {
        if version >= self.version {
            self.rate = rate;
            self.version = version;
        }
    }

    /// Refills the bucket up to `now`; `share` is the share of the limit that is granted here.
    pub(crate) fn refill(&mut self, now: Moment, share: f64, headroom: f64) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let refilled = elapsed * self.rate.per_s * share;
        let min_capacity = self.rate.per_s * share * MIN_CAPACITY_TIME.as_secs_f64();
        let capacity = (self.rate.burst * share + headroom).max(min_capacity);
        self.balance = (self.balance + refilled).min(capacity);
        self.backlog.drain(refilled);
        self.low_priority_reserve = (self.low_priority_reserve + refilled * LOW_PRIORITY_FRACTION)
            .min(MAX_LOW_PRIORITY_RESERVE);
        self.unreported = (self.unreported - refilled).max(0.0);
    }

    /// Charges what was spent before the limit was known, within the given bounds.
    pub(crate) fn charge_unreported(&mut self, amount: f64, bounds: &UnreportedCharge, share: f64) {
        let per_s = self.rate.per_s * share;
        let (free, max) = (bounds.free.as_secs_f64() * per_s, bounds.max.as_secs_f64() * per_s);
        let charge = |unreported: f64| (unreported - free).clamp(0.0, max);
        let charged = charge(self.unreported);
        self.unreported += amount;
        self.balance -= charge(self.unreported) - charged;
    }

    /// Spends an amount of a priority if the balance is at least `min_balance`: the amount itself,
    /// or zero where a request may overdraw the balance. What more urgent requests were refused and
    /// told to retry for is left to them.
    pub(crate) fn spend(
        &mut self,
        amount: f64,
        priority: u32,
        min_balance: f64,
        share: f64,
    ) -> SpendDecision {
        let amount_ahead = self.backlog.ahead_of(priority);
        let is_available = self.balance > amount_ahead && self.balance >= min_balance;
        let uses_reserve =
            !is_available && amount_ahead > 0.0 && self.low_priority_reserve >= amount;
        if is_available || uses_reserve {
            if uses_reserve {
                self.low_priority_reserve -= amount;
            }
            if min_balance <= 0.0 {
                // The amount is on credit, and the debt already accounts for the waiting time of
                // others.
                self.backlog.remove(priority, amount);
            }
            self.balance -= amount;
            return SpendDecision::Allowed;
        }
        let per_s = self.rate.per_s * share;
        let min_balance = min_balance.max(per_s * MIN_RETRY_DELAY.as_secs_f64());
        let missing = (min_balance - self.balance).max(0.0) + self.backlog.up_to(priority);
        let seconds = if per_s > 0.0 { missing / per_s } else { f64::INFINITY };
        let max_seconds = MAX_RETRY_DELAY.as_secs_f64();
        if seconds < max_seconds {
            self.backlog.add(priority, amount);
        }
        SpendDecision::Refused { come_back: Duration::from_secs_f64(seconds.min(max_seconds)) }
    }

    /// Refunds an amount that was not used.
    pub(crate) fn refund(&mut self, amount: f64) {
        self.balance += amount;
    }

    /// Caps the balance and restarts the refill at `now`.
    pub(crate) fn reset(&mut self, max_balance: f64, now: Moment) {
        self.balance = self.balance.min(max_balance);
        self.updated_at = self.updated_at.max(now);
    }

    pub(crate) fn balance(&self) -> f64 {
        self.balance
    }

    pub(crate) fn rate(&self) -> LimitRate {
        self.rate
    }

    pub(crate) fn updated_at(&self) -> Moment {
        self.updated_at
    }
}
