//! One limit: a balance that fills by time and is spent by requests.

use std::time::Duration;

use dillspool_moment::Moment;

use crate::claims::ClaimLine;
use crate::spend::RateVersion;

/// Longest time to come back that is named: beyond it the callers of a workspace that asks many times
/// its limit would be told of a time at which others have come first.
const LONGEST_LINE: Duration = Duration::from_secs(30);

/// Part of a limit that requests get before which more urgent ones go, and how much of it is kept for them.
const SPARED_PART: f64 = 0.1;
const MOST_SPARED: f64 = 2.0;
/// Least time to come back.
const LEAST_WAIT: Duration = Duration::from_millis(1);
/// Time whose rate a balance keeps at least: a limit without a burst would else grant nothing.
const LEAST_KEPT: Duration = Duration::from_millis(20);

/// How much may be spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRate {
    /// So much a second.
    pub per_s: f64,
    /// So much at once beyond that.
    pub burst: f64,
}

/// How much is charged of what was spent before a limit was known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BeforeTerms {
    /// Time whose worth is not charged.
    pub(crate) free: Duration,
    /// Time whose worth is charged at most.
    pub(crate) most: Duration,
}

/// Whether an amount may be spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SpendDecision {
    /// It is spent.
    Allowed,
    /// It is not; the limit has room for it, and for those that were refused before, so much later.
    Refused {
        /// Time until then.
        come_back: Duration,
    },
}

/// A balance under a limit.
#[derive(Clone, Debug)]
pub(crate) struct LimitBucket {
    rate: LimitRate,
    /// How new the rate is.
    version: RateVersion,
    balance: f64,
    /// What was spent before the limit was known, as far as its time has not come yet.
    before: f64,
    line: ClaimLine,
    /// What is kept for requests that more urgent ones go before, so that those do not take all.
    spared: f64,
    /// Until when the balance is counted.
    at: Moment,
}

impl LimitBucket {
    /// A balance that begins to fill at a moment.
    pub(crate) fn new(rate: LimitRate, version: RateVersion, balance: f64, at: Moment) -> Self {
        Self { rate, version, balance, before: 0.0, line: ClaimLine::default(), spared: 0.0, at }
    }

    /// Takes a limit, if it is no older than the one that holds: hosts that hear of changes late
    /// would else raise it again.
    pub(crate) fn set_rate(&mut self, rate: LimitRate, version: RateVersion) {
        if version >= self.version {
            self.rate = rate;
            self.version = version;
        }
    }

    /// Counts up to a moment; `part` of the limit is granted here.
    pub(crate) fn fill(&mut self, now: Moment, part: f64, headroom: f64) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let gain = passed * self.rate.per_s * part;
        let least = self.rate.per_s * part * LEAST_KEPT.as_secs_f64();
        let most = (self.rate.burst * part + headroom).max(least);
        self.balance = (self.balance + gain).min(most);
        self.line.pass(gain);
        self.spared = (self.spared + gain * SPARED_PART).min(MOST_SPARED);
        self.before = (self.before - gain).max(0.0);
    }

    /// Charges what was spent before the limit was known, as far as it counts still.
    pub(crate) fn charge_before(&mut self, amount: f64, terms: &BeforeTerms, part: f64) {
        let per_s = self.rate.per_s * part;
        let (free, most) = (terms.free.as_secs_f64() * per_s, terms.most.as_secs_f64() * per_s);
        let charge = |before: f64| (before - free).clamp(0.0, most);
        let charged = charge(self.before);
        self.before += amount;
        self.balance -= charge(self.before) - charged;
    }

    /// Spends an amount of a rank while the balance is above `least`: the amount itself, or zero where a
    /// request may run the balance into debt. What more urgent requests were told to come back for is left
    /// to them.
    pub(crate) fn spend(&mut self, amount: f64, rank: u32, least: f64, part: f64) -> SpendDecision {
        let claimed = self.line.before(rank);
        let is_free = self.balance > claimed && self.balance >= least;
        let is_spared = !is_free && claimed > 0.0 && self.spared >= amount;
        if is_free || is_spared {
            if is_spared {
                self.spared -= amount;
            }
            if least <= 0.0 {
                // It is lent what it takes, and the debt says how long others wait for that.
                self.line.come_back(rank, amount);
            }
            self.balance -= amount;
            return SpendDecision::Allowed;
        }
        let per_s = self.rate.per_s * part;
        let least = least.max(per_s * LEAST_WAIT.as_secs_f64());
        let missing = (least - self.balance).max(0.0) + self.line.up_to(rank);
        let seconds = if per_s > 0.0 { missing / per_s } else { f64::INFINITY };
        let longest = LONGEST_LINE.as_secs_f64();
        if seconds < longest {
            self.line.add(rank, amount);
        }
        SpendDecision::Refused { come_back: Duration::from_secs_f64(seconds.min(longest)) }
    }

    /// Gives an amount back that was not used after all.
    pub(crate) fn give_back(&mut self, amount: f64) {
        self.balance += amount;
    }

    /// Begins again at a moment, with at most so much.
    pub(crate) fn begin_again(&mut self, most: f64, now: Moment) {
        self.balance = self.balance.min(most);
        self.at = self.at.max(now);
    }

    pub(crate) fn balance(&self) -> f64 {
        self.balance
    }

    pub(crate) fn rate(&self) -> LimitRate {
        self.rate
    }

    pub(crate) fn at(&self) -> Moment {
        self.at
    }
}
