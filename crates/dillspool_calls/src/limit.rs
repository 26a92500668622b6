//! How many calls may be in flight at a server.

use dillspool_moment::Moment;

use crate::policy::CallPolicy;

/// Growth of the lowest latency in a second, as a part: a server that became slower for good.
const LOWEST_GROWS: f64 = 0.05;
/// Smallest learned limit, in calls.
const LEAST_LEARNED: f64 = 1.0;

/// The limit of a server that reports its slots, or one learned from outcomes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlaceLimit {
    /// Calls in flight; `None` while slots are reported.
    learned: Option<LearnedLimit>,
    /// Part that is left after rejections and resets, at `cut_at`.
    part: f64,
    cut_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct LearnedLimit {
    limit: f64,
    /// Whether nothing has told yet that it is too high; it grows faster until then.
    is_first: bool,
    /// Lowest mean latency, in seconds.
    lowest: f64,
    lowest_at: Moment,
    shrunk_at: Moment,
}

impl PlaceLimit {
    pub(crate) fn new(slots: Option<u32>, policy: &CallPolicy, now: Moment) -> Self {
        let first = LearnedLimit {
            limit: f64::from(policy.first_learned_limit),
            is_first: true,
            lowest: f64::INFINITY,
            lowest_at: now,
            shrunk_at: now,
        };
        Self { learned: slots.is_none().then_some(first), part: 1.0, cut_at: now }
    }

    /// Calls that the server runs at once, as far as is known.
    pub(crate) fn slots(&self, reported: Option<u32>) -> f64 {
        reported.map(f64::from).or(self.learned.map(|it| it.limit)).unwrap_or(1.0).max(1.0)
    }

    /// Calls beyond the slots, so that a freed slot has work while the next decision is in transit; `latency` is
    /// that of all servers in seconds.
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

    /// Calls that may be in flight, without shares and connections.
    pub(crate) fn read(
        &self,
        reported: Option<u32>,
        extra: f64,
        policy: &CallPolicy,
        now: Moment,
    ) -> f64 {
        (self.slots(reported) + extra) * self.part(policy, now)
    }

    fn part(&self, policy: &CallPolicy, now: Moment) -> f64 {
        let recovered = now.since(self.cut_at).as_secs_f64() / policy.limit_recovers.as_secs_f64();
        (self.part + recovered * (1.0 - policy.least_limit_part)).min(1.0)
    }

    /// The server rejected or reset a call; several within one latency are of one cause.
    pub(crate) fn note_refused(&mut self, latency: f64, policy: &CallPolicy, now: Moment) {
        let part = self.part(policy, now);
        if part < 1.0 && now.since(self.cut_at).as_secs_f64() < latency {
            return;
        }
        (self.part, self.cut_at) = ((part * policy.limit_cut).max(policy.least_limit_part), now);
        if let Some(learned) = &mut self.learned {
            learned.is_first = false;
            learned.limit = (learned.limit * policy.limit_cut).max(LEAST_LEARNED);
        }
    }

    /// A call was answered; `was_full` tells whether the limit was in use when it was sent.
    pub(crate) fn note_answered(
        &mut self,
        latency: f64,
        was_full: bool,
        most: f64,
        policy: &CallPolicy,
        now: Moment,
    ) {
        let Some(learned) = &mut self.learned else { return };
        let age = now.since(learned.lowest_at).as_secs_f64();
        learned.lowest = (learned.lowest * (1.0 + LOWEST_GROWS * age)).min(latency);
        learned.lowest_at = now;
        let ratio = latency / learned.lowest;
        if ratio > policy.shrinks_above {
            learned.is_first = false;
            if now.since(learned.shrunk_at).as_secs_f64() >= latency {
                learned.shrunk_at = now;
                learned.limit = (learned.limit * policy.limit_cut).max(LEAST_LEARNED);
            }
        } else if ratio < policy.grows_below && was_full {
            let growth = if learned.is_first { 1.0 } else { 1.0 / learned.limit };
            learned.limit = (learned.limit + growth).min(most);
        }
    }
}
