//! Engines, callers and a clock of milliseconds around the planner, after the platform's published
//! behaviour: answers grow token by token, a prompt read at a decode engine holds its streams up,
//! and where memory runs out the newest answer without a reservation is read again.

mod world;

pub use world::play;

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub prompt: u64,
    pub guess: u64,
    pub made: u64,
}

/// Reads a recorded load.
pub fn load(text: &str) -> Vec<Arrival> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines
        .map(|line| {
            let parts: Vec<u64> = line.split(',').map(|part| part.parse().unwrap()).collect();
            Arrival { at_ms: parts[0], prompt: parts[1], guess: parts[2], made: parts[3] }
        })
        .collect()
}

/// A pool and what happens to it.
#[derive(Clone, Copy, Debug)]
pub struct PoolModel {
    pub decode: usize,
    pub prefill: usize,
    pub memory: u64,
    /// Decode engines that are gone from a moment on.
    pub lost: Option<(usize, u64)>,
    /// Factor by which prefill engines are slower than usual.
    pub slow_prefill: f64,
    /// Decode engines that answer with a failure, though they say that they are well.
    pub failing: Option<Failing>,
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

impl Default for PoolModel {
    fn default() -> Self {
        Self {
            decode: 52,
            prefill: 12,
            memory: 62_870,
            lost: None,
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
    /// Callers that got an engine's failure.
    pub failed: usize,
    /// Longest wait of a caller that was refused in the end, in ms.
    pub longest_held: u64,
    /// Callers whose answers are in the largest tenth, and how many of them were served at all.
    pub largest: (usize, usize),
    /// Most memory that was reserved or taken at an engine, in percent.
    pub fullest: u64,
}
