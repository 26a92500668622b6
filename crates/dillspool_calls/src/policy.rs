//! The limits of the call queue, each with the load pattern that it answers.

use std::time::Duration;

/// Limits of a call queue.
///
/// `docs/design/calls.md` has what each was chosen by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallPolicy {
    /// Calls in flight beyond a server's slots, as a part of the slots, and at least one call: a surge, in
    /// which a freed slot needs work while the next decision is in transit.
    pub extra_part: f64,
    /// Time from the end of a call until the next one reaches the server that it has freed. Calls that are
    /// shorter need more of them beyond the slots.
    pub transit: Duration,
    /// Standard deviations of the number of calls that end in that time for which there are calls beyond the
    /// slots: ends in clumps.
    pub transit_reserve: f64,
    /// Latency assumed of a server before any call of the service was answered: a start under load.
    pub assumed_latency: Duration,
    /// Time constant after which a server's own latency is forgotten: servers that get few calls.
    pub latency_memory: Duration,
    /// Answers at which a server's own latency counts as much as that of all: servers that are seldom used,
    /// whose latency would else be one random call's.
    pub latency_prior: f64,
    /// Time constant of a server's completion rate while it has no free slot: servers that stop answering.
    pub rate_memory: Duration,
    /// Busy time at which the measured rate counts as much as slots divided by mean latency: the first moments
    /// of a surge, when few calls were completed.
    pub rate_prior: Duration,
    /// Time constant of the rate at which calls arrive that can be on time: bursts.
    pub arrival_memory: Duration,
    /// Mean deviations of the latency beyond its mean that a call on time must have left after its predicted
    /// wait when it is asked, where calls arrive no faster than they are completed: slow spells, whose backlog
    /// is soon gone.
    pub margin_calm: f64,
    /// The same where calls arrive faster by `surge_part` or more, and in proportion between: a long surge, which
    /// would else fill the queue with calls that all just miss.
    pub margin_surge: f64,
    /// Part of the predicted wait that a call must have left beyond it in a full surge: what is predicted of a
    /// long wait is less exact.
    pub wait_margin: f64,
    /// Part of the completion rate by which arrivals exceed it in a full surge.
    pub surge_part: f64,
    /// Time constant in which a surge is forgotten that is over: callers that return after it.
    pub surge_memory: Duration,
    /// Mean deviations that a call must have left while it waits: fewer, so that a small change of the rate
    /// rejects none that wait.
    pub margin_waiting: f64,
    /// Part of its predicted wait that a late call must have left beyond it when it is asked: an oscillating load, in
    /// which what is left to late calls changes while they wait.
    pub late_margin: f64,
    /// Time constant of what calls on time leave: moments in which they leave nothing.
    pub spare_memory: Duration,
    /// Part of the completion rate that must be left by calls on time before late calls wait for it: a surge
    /// that leaves none.
    pub least_spare_part: f64,
    /// Time between two predictions of the same wait: servers that leave or slow down while calls wait.
    pub recheck: Duration,
    /// Mean deviations beyond the mean latency for which a forgotten call keeps its place: hosts that leave one
    /// after another for another decider while their calls run on.
    pub forgotten_margin: f64,
    /// Cost of another failure domain, as a factor: its bytes are billed, and it takes longer.
    pub far_factor: f64,
    /// How much the part of calls that fail raises a server's cost: servers that fail partially.
    pub failure_factor: f64,
    /// Cost of a server that is tried again for a call that must not be repeated, as a factor: servers that
    /// reset connections.
    pub risk_factor: f64,
    /// Part by which costs are spread at random: equal servers.
    pub spread: f64,
    /// Calls without a proper answer in a row before a server rests: servers that are gone or hang.
    pub lost_before_rest: u32,
    /// Chance below which a longer row must be at the other servers' part of calls that fail: services of which
    /// all servers fail partially, where rests would only take capacity.
    pub row_chance: f64,
    /// Rejected calls in a row before a server rests: servers that reject at once and so look empty.
    pub refused_before_rest: u32,
    /// Part of calls that fail beyond the part at the other servers from which a server rests: servers that
    /// fail each call at once and so look empty.
    pub failing_excess: f64,
    /// First time for which a server rests: short faults.
    pub first_rest: Duration,
    /// Longest such time: faults that last.
    pub longest_rest: Duration,
    /// Factor of a server's limit after a rejection or a reset: other senders that use the same server.
    pub limit_cut: f64,
    /// Factor by which the part of its calls that fail must exceed that of the other servers for a reset to cut a
    /// server's limit: services of which all servers fail partially.
    pub cut_factor: f64,
    /// Part of a server's limit that is left after all cuts: clumps of rejections.
    pub least_limit_part: f64,
    /// Time in which a limit recovers from its lowest: rejections that were the end of a burst.
    pub limit_recovers: Duration,
    /// Limit of a server that reports no slots, before anything is learned, in calls.
    pub first_learned_limit: u32,
    /// Latency over the server's own lowest up to which a learned limit grows: unused capacity.
    pub grows_below: f64,
    /// Latency over the server's own lowest from which a learned limit shrinks: calls that queue in the server.
    pub shrinks_above: f64,
    /// Part of the time left after which a rejected caller returns at the latest: callers that retry once.
    pub longest_retry_part: f64,
    /// Longest time after which a caller returns that found no server: servers that join.
    pub no_server_retry: Duration,
}

impl Default for CallPolicy {
    fn default() -> Self {
        Self {
            extra_part: 0.25,
            transit: Duration::from_millis(5),
            transit_reserve: 2.0,
            assumed_latency: Duration::from_millis(30),
            latency_memory: Duration::from_secs(1),
            latency_prior: 2.0,
            rate_memory: Duration::from_millis(250),
            rate_prior: Duration::from_millis(100),
            arrival_memory: Duration::from_millis(300),
            margin_calm: 0.5,
            margin_surge: 2.0,
            wait_margin: 2.0,
            surge_part: 0.5,
            surge_memory: Duration::from_secs(1),
            margin_waiting: 0.0,
            late_margin: 1.0,
            spare_memory: Duration::from_secs(1),
            least_spare_part: 0.05,
            recheck: Duration::from_millis(5),
            forgotten_margin: 4.0,
            far_factor: 1.3,
            failure_factor: 6.0,
            risk_factor: 4.0,
            spread: 0.1,
            lost_before_rest: 2,
            row_chance: 0.0001,
            refused_before_rest: 3,
            failing_excess: 0.5,
            first_rest: Duration::from_millis(500),
            longest_rest: Duration::from_secs(4),
            limit_cut: 0.8,
            cut_factor: 2.0,
            least_limit_part: 0.5,
            limit_recovers: Duration::from_secs(1),
            first_learned_limit: 4,
            grows_below: 1.3,
            shrinks_above: 1.6,
            longest_retry_part: 1.0 / 3.0,
            no_server_retry: Duration::from_secs(1),
        }
    }
}
