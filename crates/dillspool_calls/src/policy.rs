//! Parameters of the call queue, each with the load pattern that it addresses.

use std::time::Duration;

/// Parameters of a call queue.
///
/// `docs/design/calls.md` has the reason for each value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallPolicy {
    /// Calls in flight beyond a server's slots, as a fraction of the slots and at least one call:
    /// in a surge, a freed slot needs work while the next decision is in transit.
    pub extra_part: f64,
    /// Time from the end of a call until the next one reaches the server. Shorter calls need more
    /// calls beyond the slots.
    pub transit: Duration,
    /// Margin of the calls beyond the slots, in standard deviations of the number of calls that end
    /// within `transit`, for calls that end in bursts.
    pub transit_reserve: f64,
    /// Latency assumed before any call of the service was answered, for a start under load.
    pub assumed_latency: Duration,
    /// Time constant of the decay of a server's own latency, for servers that get few calls.
    pub latency_memory: Duration,
    /// Number of answers at which a server's own latency weighs as much as the pooled latency.
    /// Without it, the latency of a seldom used server would be that of one random call.
    pub latency_prior: f64,
    /// Time constant of a server's completion rate while it has no free slot, for servers that stop
    /// answering.
    pub rate_memory: Duration,
    /// Busy time at which the measured completion rate weighs as much as slots divided by mean
    /// latency, for the start of a surge, when few calls have been completed.
    pub rate_prior: Duration,
    /// Time constant of the arrival rate of calls that can be on time, for bursts.
    pub arrival_memory: Duration,
    /// Margin of an on-time call when it is submitted, beyond its predicted wait and the mean
    /// latency, in mean deviations of the latency. Applies while calls arrive no faster than they
    /// are completed, for short slowdowns, whose backlog soon clears.
    pub margin_calm: f64,
    /// The same margin while calls arrive faster than they are completed by `surge_part` or more;
    /// between the two it is interpolated. Without it, a long surge would fill the queue with calls
    /// that all just miss their objective.
    pub margin_surge: f64,
    /// Margin in a full surge as a fraction of the predicted wait, because predictions of long
    /// waits are less exact.
    pub wait_margin: f64,
    /// Fraction of the completion rate by which arrivals exceed it in a full surge.
    pub surge_part: f64,
    /// Time constant of the decay of a past surge, for callers that return after it.
    pub surge_memory: Duration,
    /// Margin of a call that waits already, in mean deviations of the latency. It is lower than at
    /// submission, so that a small change of the completion rate rejects no waiting calls.
    pub margin_waiting: f64,
    /// Margin of a late call when it is submitted, as a fraction of its predicted wait, for an
    /// oscillating load, in which the capacity left to late calls changes while they wait.
    pub late_margin: f64,
    /// Time constant of the capacity that on-time calls leave, for moments in which they leave
    /// none.
    pub spare_memory: Duration,
    /// Fraction of the completion rate that on-time calls must leave before late calls wait for it,
    /// for a surge that leaves none.
    pub least_spare_part: f64,
    /// Time between two predictions of the same wait, for servers that leave or slow down while
    /// calls wait.
    pub recheck: Duration,
    /// Mean deviations beyond the mean latency for which a forgotten call still counts, for hosts
    /// that leave one after another for another deciding host while their calls run on.
    pub forgotten_margin: f64,
    /// Cost factor of a server in another failure domain: traffic there is billed and takes longer.
    pub far_factor: f64,
    /// How much the failure rate of a server raises its cost, for servers that fail partially.
    pub failure_factor: f64,
    /// Cost factor of a server with a half-open circuit for a call that must not be repeated, for
    /// servers that reset connections.
    pub risk_factor: f64,
    /// Random spread of the costs as a fraction, for equal servers.
    pub spread: f64,
    /// Consecutive calls without a proper answer before a server's circuit opens, for servers that
    /// are gone or hang.
    pub lost_before_rest: u32,
    /// Highest probability of such a run of losses, at the usual failure rate, at which the circuit
    /// opens, for services of which all servers fail partially, where open circuits would only cost
    /// capacity.
    pub row_chance: f64,
    /// Consecutive rejected calls before a server's circuit opens, for servers that reject at once
    /// and therefore look idle.
    pub refused_before_rest: u32,
    /// Excess of a server's failure rate over that of the other servers beyond which its circuit
    /// opens, for servers that fail each call at once and therefore look idle.
    pub failing_excess: f64,
    /// Time for which a circuit opens at first, for short faults.
    pub first_rest: Duration,
    /// Longest time for which a circuit opens, for faults that last.
    pub longest_rest: Duration,
    /// Factor by which a rejection or a reset cuts a server's limit, for other senders that use the
    /// same server.
    pub limit_cut: f64,
    /// Factor by which a server's failure rate must exceed that of the other servers for a reset to
    /// cut its limit, for services of which all servers fail partially.
    pub cut_factor: f64,
    /// Fraction of a server's limit that is left after all cuts, for bursts of rejections.
    pub least_limit_part: f64,
    /// Time in which a limit recovers from its lowest value, for rejections at the end of a burst.
    pub limit_recovers: Duration,
    /// Initial limit of a server that reports no slots, in calls.
    pub first_learned_limit: u32,
    /// Ratio of the latency to the server's lowest up to which a learned limit grows, for unused
    /// capacity.
    pub grows_below: f64,
    /// Ratio of the latency to the server's lowest beyond which a learned limit shrinks, for calls
    /// that queue in the server.
    pub shrinks_above: f64,
    /// Fraction of the time left within which a rejected caller is told to retry, for callers that
    /// retry once.
    pub longest_retry_part: f64,
    /// Longest retry delay of a caller for which there was no server, for servers that join.
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
