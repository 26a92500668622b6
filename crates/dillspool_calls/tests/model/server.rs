//! A simulated plain server with slots and a queue.

use std::collections::VecDeque;

use dillspool_schema::Name;
use rand::Rng;
use rand::rngs::SmallRng;

/// Calls that wait in a server at most.
const MAX_QUEUE_LENGTH: usize = 24;
/// Number of exponential phases of a call's run time (Erlang distribution); more of them make run
/// times differ less.
const RUN_PHASES: u32 = 3;

#[derive(Clone, Debug)]
pub struct ModelServer {
    pub slots: u32,
    pub mean_ms: f64,
    pub joins_at_us: u64,
    pub leaves_at_us: u64,
    /// When it runs slower.
    pub slow: Option<SlowSpell>,
    /// Fraction of its answers that are lost after the run.
    pub loss_rate: f64,
    running: u32,
    queue: VecDeque<usize>,
}

#[derive(Clone, Copy, Debug)]
pub struct SlowSpell {
    /// In microseconds: the start of the first spell, the time between two starts, and the length
    /// of a spell.
    pub first: u64,
    pub period: u64,
    pub length: u64,
}

const SLOWDOWN_FACTOR: f64 = 2.5;

pub(super) enum AcceptResult {
    Running,
    Queued,
    Rejected,
    Gone,
}

impl ModelServer {
    /// The plain server of the first deployment.
    pub fn new() -> Self {
        Self {
            slots: 6,
            mean_ms: 30.0,
            joins_at_us: 0,
            leaves_at_us: u64::MAX,
            slow: None,
            loss_rate: 0.0,
            running: 0,
            queue: VecDeque::new(),
        }
    }

    pub(super) fn is_present(&self, now: u64) -> bool {
        (self.joins_at_us..self.leaves_at_us).contains(&now)
    }

    pub(super) fn load(&self) -> usize {
        usize::try_from(self.running).unwrap() + self.queue.len()
    }

    pub(super) fn accept(&mut self, call: usize, now: u64) -> AcceptResult {
        if !self.is_present(now) {
            return AcceptResult::Gone;
        }
        if self.running < self.slots {
            self.running += 1;
            return AcceptResult::Running;
        }
        if self.queue.len() == MAX_QUEUE_LENGTH {
            return AcceptResult::Rejected;
        }
        self.queue.push_back(call);
        AcceptResult::Queued
    }

    /// Ends a run; returns the call that runs next.
    pub(super) fn finish(&mut self) -> Option<usize> {
        let next = self.queue.pop_front();
        self.running -= u32::from(next.is_none());
        next
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "short times")]
    pub(super) fn run_us(&self, now: u64, random: &mut SmallRng) -> u64 {
        let draws = (0..RUN_PHASES).map(|_phase| -(1.0 - random.random::<f64>()).ln());
        let run = draws.sum::<f64>() / f64::from(RUN_PHASES) * self.mean_ms * 1000.0;
        let is_slow = self.slow.is_some_and(|SlowSpell { first, period, length }| {
            now >= first && (now - first) % period < length
        });
        (if is_slow { run * SLOWDOWN_FACTOR } else { run }) as u64
    }
}

pub(super) fn server_name(server: usize) -> Name {
    format!("server-{server:03}").into()
}

pub(super) fn server_number(name: &Name) -> usize {
    name[7..].parse().expect("names are made of numbers")
}
