//! Limits as one host counts them.

use std::collections::HashMap;
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_schema::Name;

use crate::bucket::{BeforeTerms, LimitBucket, LimitRate, SpendDecision};
use crate::spend::SpendRequest;

/// Part of what a site allows beyond its limits that a balance may hold beyond the burst: requests come in
/// clumps, and a limit may be as small as two a second, so that a workspace within its limit would be refused.
const HEADROOM_PART: f64 = 0.375;
/// Part of it that a holder starts with. It does not know what was spent before and counts the limit
/// itself as spent; the burst comes back by time.
const START_PART: f64 = 0.0625;
/// Part of its own burst that the first holder of all starts with; of a limit's whole burst that is a
/// quarter, while it grants half. All hosts have just started, and the callers of the time in which none of
/// them answered come at once. What the hosts granted before they were lost is not known; the rest is
/// left for it.
const FIRST_PART: f64 = 0.5;
/// Least balance at the start, so that the first request of all is not refused.
const LEAST_START: f64 = 1e-9;
/// Subjects above which balances that are full again are forgotten.
const MOST_BUCKETS: usize = 16_384;

/// What a backend server got before its limit was known. It counts over four seconds; with two of them free, it gets
/// in any four, those before included, what it takes in five. A charge for all would leave a server that is in need,
/// and was asked three times what it takes, without any request for twice as long; one for more than the four seconds
/// would be for what is counted nowhere any more.
const BEFORE_BACKEND_LIMIT: BeforeTerms =
    BeforeTerms { free: Duration::from_secs(2), most: Duration::from_secs(4) };
/// Limits of workspaces are known before anything is spent.
const BEFORE_WORKSPACE_LIMIT: BeforeTerms =
    BeforeTerms { free: Duration::ZERO, most: Duration::ZERO };

/// What a ledger grants beside the limits themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimiterSettings {
    /// Balance beyond the burst.
    headroom: f64,
    /// Balance at the start.
    start: f64,
    /// Whether a request may run a balance into debt.
    lends: bool,
    /// What is charged of what was spent before a limit was known.
    before: BeforeTerms,
}

impl LimiterSettings {
    /// Terms of a holder, where a site allows so much beyond the limits in a window.
    ///
    /// A request is granted while any balance is left: a limit may be as small as two requests a
    /// second, and a request that is larger than its burst would never be granted otherwise.
    pub fn holder(slack: f64) -> Self {
        Self {
            headroom: HEADROOM_PART * slack,
            start: (START_PART * slack).max(LEAST_START),
            lends: true,
            before: BEFORE_WORKSPACE_LIMIT,
        }
    }

    /// Terms of a holder of the limits that backend servers name, in requests; a limit may be below one.
    ///
    /// A holder begins in debt: each of several that come one after another would else lend a request.
    pub const fn backend_servers() -> Self {
        Self { headroom: 0.0, start: -1.0, lends: true, before: BEFORE_BACKEND_LIMIT }
    }

    /// Terms of a host that has no holder and spends a part of such limits, each far below one request a
    /// second. `phase` is from 0 to 1, another one on each host: the first requests of all hosts would else
    /// come at once.
    pub const fn own_part_of_backend_servers(phase: f64) -> Self {
        Self { headroom: 0.0, start: -phase, lends: true, before: BEFORE_BACKEND_LIMIT }
    }

    /// Terms of a host that has no holder and spends a part of its own: all such parts together
    /// stay within the limit, so each must.
    pub const fn own_part() -> Self {
        Self { headroom: 0.0, start: 0.0, lends: false, before: BEFORE_WORKSPACE_LIMIT }
    }
}

/// A limit as it stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatus {
    /// The limit.
    pub rate: LimitRate,
    /// What is left; below zero while a debt is being paid.
    pub balance: f64,
}

/// Balances by subject.
#[derive(Clone, Debug)]
pub struct KeyedLimiter {
    terms: LimiterSettings,
    /// When the count began.
    since: Moment,
    /// Whether nobody is known to have counted before.
    is_first: bool,
    buckets: HashMap<Name, LimitBucket>,
}

impl KeyedLimiter {
    /// Begins to count, as the first that does.
    pub fn new(terms: LimiterSettings, since: Moment) -> Self {
        Self { terms, since, is_first: true, buckets: HashMap::new() }
    }

    /// Begins again, where others have counted before. What they granted is not known and counts as
    /// spent: balances start with next to nothing, and the burst comes back by time.
    pub fn reset(&mut self, now: Moment) {
        self.since = now;
        self.is_first = false;
        for bucket in self.buckets.values_mut() {
            bucket.begin_again(self.terms.start, now);
        }
    }

    /// Spends what a request asks of a limit, of which `part` is granted here.
    pub fn spend(&mut self, request: &SpendRequest, part: f64, now: Moment) -> SpendDecision {
        self.forget_full(now, part);
        let LimiterSettings { headroom, start, lends, before } = self.terms;
        let since = self.since;
        let first =
            if self.is_first && lends { request.rate.burst * part * FIRST_PART } else { 0.0 };
        let bucket = self.buckets.entry(Name::clone(&request.subject)).or_insert_with(|| {
            LimitBucket::new(request.rate, request.version, start + first, since)
        });
        bucket.fill(now, part, headroom);
        bucket.set_rate(request.rate, request.version);
        // A limit that was lowered holds at once.
        bucket.fill(now, part, headroom);
        bucket.charge_before(request.unreported, &before, part);
        if request.amount <= 0.0 {
            return SpendDecision::Allowed;
        }
        let least = if lends { 0.0 } else { request.amount };
        bucket.spend(request.amount, request.priority, least, part)
    }

    /// Gives back an amount of a request that did not run.
    pub fn refund(&mut self, subject: &str, amount: f64) {
        if let Some(bucket) = self.buckets.get_mut(subject) {
            bucket.give_back(amount);
        }
    }

    /// How a limit stands; `None` if it was not asked for.
    pub fn status(&self, subject: &str) -> Option<LimitStatus> {
        let bucket = self.buckets.get(subject)?;
        Some(LimitStatus { rate: bucket.rate(), balance: bucket.balance() })
    }

    /// Subjects that are counted.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Forgets balances that are full again, once there are very many: they come and go.
    fn forget_full(&mut self, now: Moment, part: f64) {
        if self.buckets.len() < MOST_BUCKETS {
            return;
        }
        let headroom = self.terms.headroom;
        let is_full = |bucket: &LimitBucket| {
            let rate = bucket.rate();
            let gain = now.since(bucket.at()).as_secs_f64() * rate.per_s * part;
            bucket.balance() + gain >= rate.burst * part + headroom
        };
        // One that comes back starts as one that was never seen.
        self.buckets.retain(|_subject, bucket| !is_full(bucket));
        self.since = now;
    }
}
