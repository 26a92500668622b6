//! Exponentially decaying sums and means, and latency estimates.

use std::time::Duration;

use dillspool_moment::Moment;

/// A sum that decays exponentially with a time constant.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayedSum {
    value: f64,
    at: Moment,
}

impl DecayedSum {
    pub(crate) fn read(&self, time_constant: Duration, now: Moment) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        if age == 0.0 {
            self.value
        } else {
            self.value * (-age / time_constant.as_secs_f64()).exp()
        }
    }

    pub(crate) fn add(&mut self, amount: f64, time_constant: Duration, now: Moment) {
        self.set(self.read(time_constant, now) + amount, now);
    }

    pub(crate) fn set(&mut self, value: f64, now: Moment) {
        *self = Self { value, at: now };
    }
}

/// An exponentially weighted mean over time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayedMean {
    value: f64,
    at: Moment,
}

impl DecayedMean {
    pub(crate) fn read(&self) -> f64 {
        self.value
    }

    /// Records the value that has held since the last one was recorded.
    pub(crate) fn record(&mut self, value: f64, time_constant: Duration, now: Moment) {
        let kept = (-now.since(self.at).as_secs_f64() / time_constant.as_secs_f64()).exp();
        self.value = value + (self.value - value) * kept;
        self.at = now;
    }
}

/// Mean and mean absolute deviation of a latency, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LatencyEstimate {
    pub(crate) mean: f64,
    pub(crate) deviation: f64,
}

/// Latency over all servers of a service; each answer has the same weight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PooledLatency {
    latency: LatencyEstimate,
    answers: f64,
}

/// Number of the newest answers that the pooled latency covers at most.
const MAX_POOLED_ANSWERS: f64 = 60.0;
/// Number of answers that the assumed latency counts as.
const ASSUMED_ANSWERS: f64 = 4.0;
/// Mean deviation assumed before any answer, as a fraction of the mean.
const ASSUMED_DEVIATION_RATIO: f64 = 0.5;

impl PooledLatency {
    pub(crate) fn new(assumed: Duration) -> Self {
        let mean = assumed.as_secs_f64();
        let latency = LatencyEstimate { mean, deviation: mean * ASSUMED_DEVIATION_RATIO };
        Self { latency, answers: ASSUMED_ANSWERS }
    }

    pub(crate) fn read(&self) -> LatencyEstimate {
        self.latency
    }

    pub(crate) fn record(&mut self, latency: f64) {
        self.answers = (self.answers + 1.0).min(MAX_POOLED_ANSWERS);
        let LatencyEstimate { mean, deviation } = &mut self.latency;
        *deviation += ((latency - *mean).abs() - *deviation) / self.answers;
        *mean += (latency - *mean) / self.answers;
    }
}

/// Number of the newest answers that the latency of one server covers at most.
const MAX_SERVER_ANSWERS: f64 = 8.0;

/// Latency of one server, which tends to the pooled latency while the server gets few calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerLatency {
    mean: f64,
    answers: DecayedSum,
}

impl ServerLatency {
    pub(crate) fn record(&mut self, latency: f64, time_constant: Duration, now: Moment) {
        let before = self.answers.read(time_constant, now).min(MAX_SERVER_ANSWERS - 1.0);
        self.mean += (latency - self.mean) / (before + 1.0);
        self.answers.set(before + 1.0, now);
    }

    /// The mean, with `pooled` weighted as `prior` answers.
    pub(crate) fn mean(
        &self,
        pooled: f64,
        prior: f64,
        time_constant: Duration,
        now: Moment,
    ) -> f64 {
        let answers = self.answers.read(time_constant, now);
        (answers * self.mean + prior * pooled) / (answers + prior)
    }
}
