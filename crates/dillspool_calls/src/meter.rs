//! Sums in which what is old loses weight.

use std::time::Duration;

use dillspool_moment::Moment;

/// A sum that decays with a time constant.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayedSum {
    value: f64,
    at: Moment,
}

impl DecayedSum {
    pub(crate) fn read(&self, memory: Duration, now: Moment) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        if age == 0.0 { self.value } else { self.value * (-age / memory.as_secs_f64()).exp() }
    }

    pub(crate) fn add(&mut self, amount: f64, memory: Duration, now: Moment) {
        self.set(self.read(memory, now) + amount, now);
    }

    pub(crate) fn set(&mut self, value: f64, now: Moment) {
        *self = Self { value, at: now };
    }
}

/// A mean over time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayedMean {
    value: f64,
    at: Moment,
}

impl DecayedMean {
    pub(crate) fn read(&self) -> f64 {
        self.value
    }

    /// Notes the value that holds since the last one was noted.
    pub(crate) fn note(&mut self, value: f64, memory: Duration, now: Moment) {
        let kept = (-now.since(self.at).as_secs_f64() / memory.as_secs_f64()).exp();
        self.value = value + (self.value - value) * kept;
        self.at = now;
    }
}

/// Mean and mean deviation of a latency, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LatencyMean {
    pub(crate) mean: f64,
    pub(crate) deviation: f64,
}

/// Latency of all servers of a service, in which each answer counts alike.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PooledLatency {
    latency: LatencyMean,
    answers: f64,
}

/// Answers that the pooled latency is made of at most, the newest.
const POOLED_ANSWERS: f64 = 60.0;
/// Answers for which the assumed latency counts.
const ASSUMED_ANSWERS: f64 = 4.0;
/// Mean deviation assumed before any answer, as a part of the mean.
const ASSUMED_DEVIATION: f64 = 0.5;

impl PooledLatency {
    pub(crate) fn new(assumed: Duration) -> Self {
        let mean = assumed.as_secs_f64();
        let latency = LatencyMean { mean, deviation: mean * ASSUMED_DEVIATION };
        Self { latency, answers: ASSUMED_ANSWERS }
    }

    pub(crate) fn read(&self) -> LatencyMean {
        self.latency
    }

    pub(crate) fn note(&mut self, latency: f64) {
        self.answers = (self.answers + 1.0).min(POOLED_ANSWERS);
        let LatencyMean { mean, deviation } = &mut self.latency;
        *deviation += ((latency - *mean).abs() - *deviation) / self.answers;
        *mean += (latency - *mean) / self.answers;
    }
}

/// Answers that the latency of one server is made of at most, the newest.
const SERVER_ANSWERS: f64 = 8.0;

/// Latency of one server, which fades into that of all where it is seldom seen.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerLatency {
    mean: f64,
    answers: DecayedSum,
}

impl ServerLatency {
    pub(crate) fn note(&mut self, latency: f64, memory: Duration, now: Moment) {
        let before = self.answers.read(memory, now).min(SERVER_ANSWERS - 1.0);
        self.mean += (latency - self.mean) / (before + 1.0);
        self.answers.set(before + 1.0, now);
    }

    /// The mean, where `pooled` counts as much as `prior` answers.
    pub(crate) fn mean(&self, pooled: f64, prior: f64, memory: Duration, now: Moment) -> f64 {
        let answers = self.answers.read(memory, now);
        (answers * self.mean + prior * pooled) / (answers + prior)
    }
}
