//! Engines, callers and a clock of milliseconds around the planner, after the platform's published
//! behaviour: answers grow token by token, a prompt read at a decode engine holds its streams up,
//! and where memory runs out the newest answer without a reservation is read again.

pub mod days;
mod engines;
mod world;

pub use days::{DayTerms, day};
pub use world::play;

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub prompt: u64,
    pub guess: u64,
    pub made: u64,
    /// Rank of its route; 0 is the urgent one.
    pub priority: u32,
    pub workspace: usize,
    pub objective_ms: u64,
}

impl Default for Arrival {
    fn default() -> Self {
        let (priority, workspace, objective_ms) = (1, 0, 900);
        Self { at_ms: 0, prompt: 0, guess: 0, made: 0, priority, workspace, objective_ms }
    }
}

/// Reads a recorded load.
pub fn load(text: &str) -> Vec<Arrival> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines
        .map(|line| {
            let parts: Vec<u64> = line.split(',').map(|part| part.parse().unwrap()).collect();
            let (at_ms, prompt, guess, made) = (parts[0], parts[1], parts[2], parts[3]);
            Arrival { at_ms, prompt, guess, made, ..Arrival::default() }
        })
        .collect()
}

/// A pool and what happens to it.
#[derive(Clone, Copy, Debug)]
pub struct PoolModel {
    pub decode: usize,
    pub prefill: usize,
    pub memory: u64,
    pub slots: u32,
    /// Time in which an engine makes a token.
    pub token_ms: f64,
    pub event_tokens: f64,
    /// Decode engines that are gone from a moment on, and when they are back.
    pub lost: Option<(usize, u64)>,
    pub back_ms: u64,
    /// Decode engines that are slower than usual for some time.
    pub slow: Option<SlowEngines>,
    /// Seed of the planner.
    pub seed: u64,
    /// Factor by which prefill engines are slower than usual.
    pub slow_prefill: f64,
    /// Decode engines that answer with a failure, though they say that they are well.
    pub failing: Option<Failing>,
}

/// Decode engines that are slow by turns: in each period another part of them.
#[derive(Clone, Copy, Debug)]
pub struct SlowEngines {
    pub part: f64,
    pub period_ms: u64,
    pub factor: f64,
}

/// Decode engines that fail.
#[derive(Clone, Copy, Debug)]
pub struct Failing {
    pub engines: usize,
    /// From when and until when, in ms.
    pub from_ms: u64,
    pub until_ms: u64,
    /// Every so many requests there.
    pub every: u64,
}

impl PoolModel {
    /// The pool of the deployment of 23 hosts.
    pub fn of_23_hosts() -> Self {
        let usual = Self { decode: 26, prefill: 9, memory: 68_023, ..Self::default() };
        let slow = Some(SlowEngines { part: 0.15, period_ms: 600, factor: 2.5 });
        Self { slots: 12, token_ms: 0.83, event_tokens: 58.0, slow, ..usual }
    }

    /// The pool of the deployment of 83 hosts.
    pub fn of_83_hosts() -> Self {
        Self { decode: 33, prefill: 12, memory: 70_848, slow: None, ..Self::of_23_hosts() }
    }
}

impl Default for PoolModel {
    fn default() -> Self {
        Self {
            decode: 52,
            prefill: 12,
            memory: 62_870,
            slots: 24,
            token_ms: 0.75,
            event_tokens: 64.0,
            lost: None,
            back_ms: u64::MAX,
            slow: None,
            seed: 1,
            slow_prefill: 1.0,
            failing: None,
        }
    }
}

/// What became of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    pub in_time: usize,
    pub late: usize,
    pub refused_twice: usize,
    /// Refusals of callers that came for the first time.
    pub refused_once: usize,
    /// Answers that lost their memory and were read again.
    pub preempted: usize,
    /// Answers with a pause beyond the target.
    pub paused: usize,
    /// Callers that left before their first event.
    pub left: usize,
    /// Callers whose deadline came while an engine worked for them.
    pub expired: usize,
    /// Callers that came back, and how many of those were served.
    pub returned: (usize, usize),
    /// Time of prefill engines without a prompt while callers waited for memory, in ms.
    pub idle_prefill_ms: u64,
    /// Callers by route rank and by workspace, and how many of them were served in time.
    pub by_priority: [(usize, usize); 2],
    pub by_workspace: [(usize, usize); 16],
    /// Callers that got an engine's failure.
    pub failed: usize,
    /// Longest wait of a caller that was refused in the end, in ms.
    pub longest_held: u64,
    /// Callers whose answers are in the largest tenth, and how many of them were served at all.
    pub largest: (usize, usize),
    /// Most memory that was reserved or taken at an engine, in percent.
    pub fullest: u64,
}

impl Outcome {
    /// What callers gain on the mean: 1 in time, 0.2 late, -0.3 after two refusals, and -0.5 where an
    /// engine worked for nothing.
    #[expect(clippy::cast_precision_loss, reason = "some thousand callers")]
    pub fn score(&self, callers: usize) -> f64 {
        let part = |count: usize| count as f64 / callers as f64;
        part(self.in_time) + 0.2 * part(self.late)
            - 0.3 * part(self.refused_twice)
            - 0.5 * part(self.expired + self.left + self.failed)
    }
}
