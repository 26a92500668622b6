//! Predicted waits of calls, and the capacity that on-time calls leave to late ones.

use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;

use crate::estimators::LatencyEstimate;
use crate::policy::CallPolicy;
use crate::servers::CapacityEstimate;

/// Slots that on-time calls must leave before a late call gets one: half of a slot counts as one.
pub(crate) const MIN_LATE_SLOTS: f64 = 0.5;
/// Limit of a predicted wait; no call has that much time left.
const MAX_WAIT_S: f64 = 86_400.0;

/// Safety margin beyond a prediction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitMargin {
    /// Margin in mean deviations of the latency.
    deviations: f64,
    /// Margin as a fraction of the predicted wait.
    wait: f64,
}

/// The recent load of the queue, which the state of its servers does not show.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentLoad {
    /// Calls per second that arrive and can be on time.
    pub(crate) arrivals: f64,
    /// Number of waiting on-time calls.
    pub(crate) on_time: usize,
    /// Decayed remainder of an earlier excess of arrivals.
    pub(crate) excess: f64,
    /// Calls per second that were recently left to late calls.
    pub(crate) spare: f64,
}

/// Predictions at one point in time.
#[derive(Clone, Debug)]
pub(crate) struct WaitForecast {
    policy: Arc<CallPolicy>,
    now: Moment,
    latency: LatencyEstimate,
    capacity: CapacityEstimate,
    load: RecentLoad,
    /// Fraction of the completion rate by which arrivals exceed it, or recently did.
    pub(crate) excess: f64,
    /// Late calls that may be in flight at once.
    late_slots: f64,
    /// Calls per second that are left to late calls.
    pub(crate) spare: f64,
}

impl WaitForecast {
    pub(crate) fn new(
        policy: Arc<CallPolicy>,
        capacity: CapacityEstimate,
        latency: LatencyEstimate,
        load: RecentLoad,
        now: Moment,
    ) -> Self {
        let RecentLoad { arrivals, excess, .. } = load;
        let CapacityEstimate { rate, slots, .. } = capacity;
        let mut forecast =
            Self { policy, now, latency, capacity, load, excess, late_slots: 0.0, spare: 0.0 };
        if rate <= 0.0 {
            return forecast;
        }
        // By Little's law, the arriving on-time calls occupy `arrivals * slots / rate` slots.
        let slots = slots.max(1.0);
        let policy = &forecast.policy;
        let free_slots = slots - arrivals * slots / rate;
        let spare = rate - arrivals;
        let has_spare = free_slots >= MIN_LATE_SLOTS && spare >= policy.least_spare_part * rate;
        forecast.excess = (arrivals / rate - 1.0).min(forecast.policy.surge_part).max(excess);
        forecast.late_slots = free_slots;
        forecast.spare = if has_spare { spare } else { 0.0 };
        forecast
    }

    /// Late calls that may be in flight at once.
    pub(crate) fn late_slots(&self) -> f64 {
        self.late_slots
    }

    /// Whether on-time calls leave enough capacity for late calls to wait for.
    pub(crate) fn has_spare(&self) -> bool {
        self.spare > 0.0
    }

    /// Calls per second for which rejected callers may return: what is left to late calls, but at
    /// least a small fraction of the completion rate.
    pub(crate) fn retry_rate(&self) -> f64 {
        self.spare.max(self.policy.least_spare_part * self.capacity.rate)
    }

    /// Margin that an on-time call must have when it is submitted.
    pub(crate) fn margin_at_submit(&self) -> WaitMargin {
        let CallPolicy { margin_calm, margin_surge, wait_margin, surge_part, .. } = *self.policy;
        let surge = (self.excess / surge_part).clamp(0.0, 1.0);
        let deviations = margin_calm + (margin_surge - margin_calm) * surge;
        WaitMargin { deviations, wait: wait_margin * surge }
    }

    /// Margin that a call must have while it waits.
    pub(crate) fn margin_waiting(&self) -> WaitMargin {
        WaitMargin { deviations: self.policy.margin_waiting, wait: 0.0 }
    }

    /// Time until all waiting on-time calls have been sent.
    pub(crate) fn backlog(&self) -> Duration {
        wait_time(self.load.on_time, self.capacity.rate)
    }

    /// Time that a call needs once it is sent.
    fn run_time(&self, margin: WaitMargin) -> Duration {
        let LatencyEstimate { mean, deviation } = self.latency;
        Duration::from_secs_f64(mean * self.capacity.calls_per_slot + margin.deviations * deviation)
    }

    /// Predicted end of an on-time call that waits behind `ahead` others, while `higher_arrivals`
    /// calls of higher priority arrive per second.
    pub(crate) fn on_time_end(
        &self,
        ahead: usize,
        higher_arrivals: f64,
        margin: WaitMargin,
    ) -> Moment {
        let CapacityEstimate { rate, .. } = self.capacity;
        let left = (rate - higher_arrivals).max(self.policy.least_spare_part * rate);
        self.now + wait_time(ahead + 1, left).mul_f64(1.0 + margin.wait) + self.run_time(margin)
    }

    /// Predicted end of a late call that is being submitted and waits behind `ahead` others and all
    /// on-time calls. It assumes the lower of the current and the recent spare capacity.
    pub(crate) fn late_end_at_submit(&self, ahead: usize) -> Moment {
        let spare = self.spare.min(self.load.spare);
        let wait = wait_time(ahead + 1, spare).mul_f64(1.0 + self.policy.late_margin);
        self.now + self.backlog() + wait + self.run_time(self.margin_at_submit())
    }

    /// Predicted end of a late call that waits already. It assumes the higher of the current and
    /// the recent spare capacity, so that a moment without any does not reject the call.
    pub(crate) fn late_end(&self, ahead: usize) -> Moment {
        let spare = self.spare.max(self.load.spare);
        self.now
            + self.backlog()
            + wait_time(ahead + 1, spare)
            + self.run_time(self.margin_waiting())
    }
}

#[expect(clippy::cast_precision_loss, reason = "calls that wait are counted in thousands")]
fn wait_time(calls: usize, rate: f64) -> Duration {
    let wait = if calls == 0 { 0.0 } else { calls as f64 / rate };
    Duration::from_secs_f64(wait.min(MAX_WAIT_S))
}
