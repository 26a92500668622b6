//! Servers that get no calls for a while, and then one at a time.

use std::time::Duration;

use dillspool_moment::Moment;

use crate::policy::CallPolicy;

/// Weight of the newest call in the part of calls that fail; some ten decide.
const NEWEST_WEIGHT: f64 = 0.1;
/// Time in which half of what is held against a server is forgotten; faults last some seconds.
const FAILURES_HALVED: Duration = Duration::from_secs(2);
/// Part of calls that fail below which it counts as none.
const LEAST_FAILURES: f64 = 0.001;
/// Doublings at most; the longest rest is reached long before.
const MOST_DOUBLINGS: u32 = 8;

/// Whether a server gets calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerGate {
    /// Up to its limit.
    Open,
    /// One at a time, until one ends well.
    Probing,
    /// None.
    Resting,
}

/// What a server did to lose its calls, and until when it gets none.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BlockState {
    /// When its last rest began; calls that were sent before say nothing more.
    since: Moment,
    /// When that rest ends; `None` once a call has ended well since.
    until: Option<Moment>,
    rests: u32,
    lost_in_row: u32,
    /// The part of its calls that failed before that row.
    failures_before_row: f64,
    refused_in_row: u32,
    failures: f64,
    failures_at: Moment,
}

impl BlockState {
    pub(crate) fn gate(&self, now: Moment) -> ServerGate {
        match self.until {
            None => ServerGate::Open,
            Some(until) if now < until => ServerGate::Resting,
            Some(_) => ServerGate::Probing,
        }
    }

    /// Time until it takes calls.
    pub(crate) fn opens_in(&self, now: Moment) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// The part of its calls that fail, the newest counting most.
    pub(crate) fn failures(&self, now: Moment) -> f64 {
        if self.failures < LEAST_FAILURES {
            return 0.0;
        }
        let halvings = now.since(self.failures_at).as_secs_f64() / FAILURES_HALVED.as_secs_f64();
        self.failures * 0.5_f64.powf(halvings)
    }

    fn note_rate(&mut self, failed: f64, now: Moment) {
        let before = self.failures(now);
        self.failures = before + NEWEST_WEIGHT * (failed - before);
        self.failures_at = now;
    }

    /// A call that was sent at `sent` was answered as it should be.
    pub(crate) fn note_answered(&mut self, sent: Moment, now: Moment) {
        self.note_rate(0.0, now);
        (self.lost_in_row, self.refused_in_row) = (0, 0);
        if sent >= self.since {
            (self.until, self.rests) = (None, 0);
        }
    }

    /// A call failed by the server's own word; `excess` is how much more of its calls fail than elsewhere.
    pub(crate) fn note_failed(
        &mut self,
        sent: Moment,
        excess: f64,
        policy: &CallPolicy,
        now: Moment,
    ) {
        self.note_rate(1.0, now);
        if excess > policy.failing_excess {
            self.rest(sent, policy, now);
        }
    }

    /// No proper answer came; `elsewhere` is the part of calls that fail at the other servers.
    pub(crate) fn note_lost(
        &mut self,
        sent: Moment,
        elsewhere: f64,
        policy: &CallPolicy,
        now: Moment,
    ) {
        if self.lost_in_row == 0 {
            self.failures_before_row = self.failures(now);
        }
        self.note_rate(1.0, now);
        self.lost_in_row += 1;
        // A server that loses a part of its calls still answers the others, and a rest would lose these, too.
        let usual = elsewhere.max(self.failures_before_row);
        let is_row = self.lost_in_row >= policy.lost_before_rest
            && usual.powf(f64::from(self.lost_in_row)) <= policy.row_chance;
        if self.until.is_some() || is_row {
            self.rest(sent, policy, now);
        }
    }

    /// No connection could be made.
    pub(crate) fn note_unreachable(&mut self, sent: Moment, policy: &CallPolicy, now: Moment) {
        self.note_rate(1.0, now);
        self.rest(sent, policy, now);
    }

    /// The server rejected a call.
    pub(crate) fn note_refused(&mut self, sent: Moment, policy: &CallPolicy, now: Moment) {
        self.refused_in_row += 1;
        if self.until.is_some() || self.refused_in_row >= policy.refused_before_rest {
            self.rest(sent, policy, now);
        }
    }

    /// Begins a rest, longer than the last one; calls from before the last one do not.
    fn rest(&mut self, sent: Moment, policy: &CallPolicy, now: Moment) {
        if self.until.is_some() && sent < self.since {
            return;
        }
        let doublings = self.rests.min(MOST_DOUBLINGS);
        let time = (policy.first_rest * 2_u32.pow(doublings)).min(policy.longest_rest);
        (self.since, self.until) = (now, Some(now + time));
        self.rests += 1;
        (self.lost_in_row, self.refused_in_row) = (0, 0);
    }
}
