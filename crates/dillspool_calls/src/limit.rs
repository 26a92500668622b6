//! The concurrency limit of a backend server: how many calls may be in flight there.

use dillspool_moment::Moment;

use crate::policy::CallPolicy;

/// Relative growth of the lowest latency per second, so that it follows a server that became slower
/// for good.
const MIN_LATENCY_GROWTH_PER_S: f64 = 0.05;
/// Lowest learned limit, in calls.
const MIN_LEARNED_LIMIT: f64 = 1.0;

/// The limit of a server, which follows from the slots that it reports or else is learned from
/// outcomes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyLimit {
    /// The learned limit; `None` while the server reports its slots.
    learned: Option<LearnedLimit>,
    /// Fraction of the limit that was left after rejections and resets at `cut_at`.
    factor: f64,
    cut_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct LearnedLimit {
    limit: f64,
    /// Whether nothing has shown yet that the limit is too high; until then it grows faster, as in
    /// TCP slow start.
    is_slow_start: bool,
    /// Lowest mean latency, in seconds.
    min_latency: f64,
    min_latency_at: Moment,
    shrunk_at: Moment,
}

impl ConcurrencyLimit {
    pub(crate) fn new(slots: Option<u32>, policy: &CallPolicy, now: Moment) -> Self {
        let initial = LearnedLimit {
            limit: f64::from(policy.first_learned_limit),
            is_slow_start: true,
            min_latency: f64::INFINITY,
            min_latency_at: now,
            shrunk_at: now,
        };
        Self { learned: slots.is_none().then_some(initial), factor: 1.0, cut_at: now }
    }

    /// Calls that the server runs concurrently, as far as is known.
    pub(crate) fn slots(&self, reported: Option<u32>) -> f64 {
        reported.map(f64::from).or(self.learned.map(|it| it.limit)).unwrap_or(1.0).max(1.0)
    }

    /// Calls beyond the slots, so that a freed slot has work while the next decision is in transit.
    /// `latency` is the mean over all servers, in seconds.
    pub(crate) fn extra(&self, reported: Option<u32>, latency: f64, policy: &CallPolicy) -> f64 {
        if reported.is_none() {
            return 0.0;
        }
        let slots = self.slots(reported);
        let transit = policy.transit.as_secs_f64();
        let ending = slots * transit / latency.max(transit);
        let needed = ending + policy.transit_reserve * ending.sqrt();
        needed.max(slots * policy.extra_part).ceil().clamp(1.0, slots)
    }

    /// Calls that may be in flight, before the queue's share and the server's connection limit are
    /// applied.
    pub(crate) fn current(
        &self,
        reported: Option<u32>,
        extra: f64,
        policy: &CallPolicy,
        now: Moment,
    ) -> f64 {
        (self.slots(reported) + extra) * self.factor(policy, now)
    }

    fn factor(&self, policy: &CallPolicy, now: Moment) -> f64 {
        let recovered = now.since(self.cut_at).as_secs_f64() / policy.limit_recovers.as_secs_f64();
        (self.factor + recovered * (1.0 - policy.least_limit_part)).min(1.0)
    }

    /// Records that the server rejected or reset a call. Several within one latency have one cause
    /// and cut the limit once.
    pub(crate) fn record_overload(&mut self, latency: f64, policy: &CallPolicy, now: Moment) {
        let factor = self.factor(policy, now);
        if factor < 1.0 && now.since(self.cut_at).as_secs_f64() < latency {
            return;
        }
        (self.factor, self.cut_at) =
            ((factor * policy.limit_cut).max(policy.least_limit_part), now);
        if let Some(learned) = &mut self.learned {
            learned.is_slow_start = false;
            learned.limit = (learned.limit * policy.limit_cut).max(MIN_LEARNED_LIMIT);
        }
    }

    /// Records an answered call; `was_at_limit` is whether the limit was reached when it was sent.
    pub(crate) fn record_answered(
        &mut self,
        latency: f64,
        was_at_limit: bool,
        max_limit: f64,
        policy: &CallPolicy,
        now: Moment,
    ) {
        let Some(learned) = &mut self.learned else { return };
        let age = now.since(learned.min_latency_at).as_secs_f64();
        learned.min_latency =
            (learned.min_latency * (1.0 + MIN_LATENCY_GROWTH_PER_S * age)).min(latency);
        learned.min_latency_at = now;
        let ratio = latency / learned.min_latency;
        if ratio > policy.shrinks_above {
            learned.is_slow_start = false;
            if now.since(learned.shrunk_at).as_secs_f64() >= latency {
                learned.shrunk_at = now;
                learned.limit = (learned.limit * policy.limit_cut).max(MIN_LEARNED_LIMIT);
            }
        } else if ratio < policy.grows_below && was_at_limit {
            let growth = if learned.is_slow_start { 1.0 } else { 1.0 / learned.limit };
            learned.limit = (learned.limit + growth).min(max_limit);
        }
    }
}
