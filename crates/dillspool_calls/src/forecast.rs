//! How long calls are predicted to wait, and what calls on time leave to late ones.

use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;

use crate::meter::LatencyMean;
use crate::policy::CallPolicy;
use crate::servers::ServerSurvey;

/// Slots that calls on time must leave before a late call gets one: most of one.
pub(crate) const LEAST_LATE_PLACES: f64 = 0.5;
/// Wait that no call has time for.
const ENDLESS_S: f64 = 86_400.0;

/// What must be left beyond a prediction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitMargin {
    /// Mean deviations of the latency.
    deviations: f64,
    /// Part of the wait.
    wait: f64,
}

/// What the queue knows of the load beside the servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentLoad {
    /// Calls a second that arrive and can be on time.
    pub(crate) arrivals: f64,
    /// Calls on time that wait.
    pub(crate) on_time: usize,
    /// What is left of an earlier excess of arrivals.
    pub(crate) excess: f64,
    /// Calls a second that late calls had lately.
    pub(crate) spare: f64,
}

/// What is predicted at one moment.
#[derive(Clone, Debug)]
pub(crate) struct WaitForecast {
    policy: Arc<CallPolicy>,
    now: Moment,
    latency: LatencyMean,
    survey: ServerSurvey,
    load: RecentLoad,
    /// Part of the completion rate by which arrivals exceed it, or did a short time ago.
    pub(crate) excess: f64,
    /// Late calls that may be in flight at once.
    late_places: f64,
    /// Calls a second that late calls may have.
    pub(crate) spare: f64,
}

impl WaitForecast {
    pub(crate) fn new(
        policy: Arc<CallPolicy>,
        survey: ServerSurvey,
        latency: LatencyMean,
        load: RecentLoad,
        now: Moment,
    ) -> Self {
        let RecentLoad { arrivals, excess, .. } = load;
        let ServerSurvey { rate, slots, .. } = survey;
        let mut forecast =
            Self { policy, now, latency, survey, load, excess, late_places: 0.0, spare: 0.0 };
        if rate <= 0.0 {
            return forecast;
        }
        // By Little's law, the slots that the calls on time of the next moments occupy.
        let slots = slots.max(1.0);
        let policy = &forecast.policy;
        let places = slots - arrivals * slots / rate;
        let spare = rate - arrivals;
        let has_spare = places >= LEAST_LATE_PLACES && spare >= policy.least_spare_part * rate;
        forecast.excess = (arrivals / rate - 1.0).min(forecast.policy.surge_part).max(excess);
        forecast.late_places = places;
        forecast.spare = if has_spare { spare } else { 0.0 };
        forecast
    }

    /// Late calls that may be in flight at once.
    pub(crate) fn late_places(&self) -> f64 {
        self.late_places
    }

    /// Whether late calls may wait for what calls on time leave.
    pub(crate) fn has_spare(&self) -> bool {
        self.spare > 0.0
    }

    /// Calls a second that late calls may have, at least a small part of all.
    pub(crate) fn least_spare(&self) -> f64 {
        self.spare.max(self.policy.least_spare_part * self.survey.rate)
    }

    /// What a call on time must have left when it is asked.
    pub(crate) fn margin_at_ask(&self) -> WaitMargin {
        let CallPolicy { margin_calm, margin_surge, wait_margin, surge_part, .. } = *self.policy;
        let surge = (self.excess / surge_part).clamp(0.0, 1.0);
        let deviations = margin_calm + (margin_surge - margin_calm) * surge;
        WaitMargin { deviations, wait: wait_margin * surge }
    }

    /// What a call must have left while it waits.
    pub(crate) fn margin_waiting(&self) -> WaitMargin {
        WaitMargin { deviations: self.policy.margin_waiting, wait: 0.0 }
    }

    /// Time until all calls on time that wait have a place.
    pub(crate) fn backlog(&self) -> Duration {
        wait(self.load.on_time, self.survey.rate)
    }

    /// Time that a call needs once it is sent.
    fn run(&self, margin: WaitMargin) -> Duration {
        let LatencyMean { mean, deviation } = self.latency;
        Duration::from_secs_f64(mean * self.survey.crowding + margin.deviations * deviation)
    }

    /// Predicted end of a call on time that waits behind `ahead` others, while `above` calls a second arrive that
    /// go before it.
    pub(crate) fn on_time_end(&self, ahead: usize, above: f64, margin: WaitMargin) -> Moment {
        let ServerSurvey { rate, .. } = self.survey;
        let left = (rate - above).max(self.policy.least_spare_part * rate);
        self.now + wait(ahead + 1, left).mul_f64(1.0 + margin.wait) + self.run(margin)
    }

    /// Predicted end of a late call that is asked and waits behind `ahead` others and all calls on time, by what is
    /// left to late calls now and was lately.
    pub(crate) fn late_end_at_ask(&self, ahead: usize) -> Moment {
        let spare = self.spare.min(self.load.spare);
        let wait = wait(ahead + 1, spare).mul_f64(1.0 + self.policy.late_margin);
        self.now + self.backlog() + wait + self.run(self.margin_at_ask())
    }

    /// Predicted end of a late call that waits already, by what is left to late calls now or was lately: it is not
    /// rejected for one moment in which nothing is left.
    pub(crate) fn late_end(&self, ahead: usize) -> Moment {
        let spare = self.spare.max(self.load.spare);
        self.now + self.backlog() + wait(ahead + 1, spare) + self.run(self.margin_waiting())
    }
}

#[expect(clippy::cast_precision_loss, reason = "calls that wait are counted in thousands")]
fn wait(calls: usize, rate: f64) -> Duration {
    let wait = if calls == 0 { 0.0 } else { calls as f64 / rate };
    Duration::from_secs_f64(wait.min(ENDLESS_S))
}
