//! Simulates engines, callers and a millisecond clock around the planner, after the published
//! behaviour of the platform: answers grow token by token, a prefill on a decode engine slows its
//! streams down, and when memory runs out the newest answer that exceeds its reservation is
//! preempted and prefilled again.

mod engines;
mod simulation;
pub mod workload;

pub use simulation::simulate;
pub use workload::{WorkloadParams, generate_workload};

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub prompt_tokens: u64,
    pub estimated_tokens: u64,
    pub answer_tokens: u64,
    /// Priority of its route; 0 is urgent.
    pub priority: u32,
    pub workspace: usize,
    pub objective_ms: u64,
}

impl Default for Arrival {
    fn default() -> Self {
        let (priority, workspace, objective_ms) = (1, 0, 900);
        Self {
            at_ms: 0,
            prompt_tokens: 0,
            estimated_tokens: 0,
            answer_tokens: 0,
            priority,
            workspace,
            objective_ms,
        }
    }
}

/// Parses a recorded load.
pub fn parse_trace(text: &str) -> Vec<Arrival> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines
        .map(|line| {
            let parts: Vec<u64> = line.split(',').map(|part| part.parse().unwrap()).collect();
            let (at_ms, prompt_tokens, estimated_tokens, answer_tokens) =
                (parts[0], parts[1], parts[2], parts[3]);
            Arrival { at_ms, prompt_tokens, estimated_tokens, answer_tokens, ..Arrival::default() }
        })
        .collect()
}

/// A pool and the faults injected into it.
#[derive(Clone, Copy, Debug)]
pub struct PoolModel {
    pub decode: usize,
    pub prefill: usize,
    pub memory: u64,
    pub slots: u32,
    /// Time in which an engine generates a token.
    pub token_ms: f64,
    pub event_tokens: f64,
    /// Number of decode engines that are lost and when, and when they are back.
    pub lost: Option<(usize, u64)>,
    pub back_ms: u64,
    /// Decode engines that are temporarily slower than usual.
    pub slow: Option<SlowEngines>,
    /// Seed of the planner.
    pub seed: u64,
    /// Factor by which prefill engines are slower than usual.
    pub slow_prefill: f64,
    /// Decode engines that fail requests although they report that they are healthy.
    pub failing: Option<FailingEngines>,
}

/// Decode engines that are slow in turns: a different subset in each period.
#[derive(Clone, Copy, Debug)]
pub struct SlowEngines {
    pub part: f64,
    pub period_ms: u64,
    pub factor: f64,
}

/// Decode engines that fail requests.
#[derive(Clone, Copy, Debug)]
pub struct FailingEngines {
    pub engines: usize,
    /// Period of the faults, in ms.
    pub from_ms: u64,
    pub until_ms: u64,
    /// Every how many requests one fails.
    pub every: u64,
}

impl PoolModel {
    /// The pool of the deployment with 23 hosts.
    pub fn for_23_hosts() -> Self {
        let usual = Self { decode: 26, prefill: 9, memory: 68_023, ..Self::default() };
        let slow = Some(SlowEngines { part: 0.15, period_ms: 600, factor: 2.5 });
        Self { slots: 12, token_ms: 0.83, event_tokens: 58.0, slow, ..usual }
    }

    /// The pool of the deployment with 83 hosts.
    pub fn for_83_hosts() -> Self {
        Self { decode: 33, prefill: 12, memory: 70_848, slow: None, ..Self::for_23_hosts() }
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

/// Totals over all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    pub in_time: usize,
    pub late: usize,
    pub rejected_twice: usize,
    /// Rejections of first attempts.
    pub rejected_once: usize,
    /// Answers that lost their memory and were prefilled again.
    pub preempted: usize,
    /// Answers with an event gap above the limit.
    pub stalled: usize,
    /// Callers that left before their first event.
    pub abandoned: usize,
    /// Callers whose deadline passed while an engine worked for them.
    pub expired: usize,
    /// Callers that retried, and how many of those were served.
    pub retried: (usize, usize),
    /// Time that prefill engines were idle while callers waited for memory, in ms.
    pub idle_prefill_ms: u64,
    /// Callers by route priority and by workspace, and how many of them were served in time.
    pub by_priority: [(usize, usize); 2],
    pub by_workspace: [(usize, usize); 16],
    /// Callers that got an engine's error.
    pub failed: usize,
    /// Longest wait of a caller that was rejected in the end.
    pub longest_rejected_wait_ms: u64,
    /// Callers whose answers are in the largest tenth, and how many of them were served at all.
    pub largest: (usize, usize),
    /// Peak memory reserved or used on an engine, in percent.
    pub peak_memory_percent: u64,
}

impl Outcome {
    /// Mean value to the callers: 1 in time, 0.2 late, -0.3 after two rejections, and -0.5 where an
    /// engine worked in vain.
    #[expect(clippy::cast_precision_loss, reason = "some thousand callers")]
    pub fn score(&self, callers: usize) -> f64 {
        let part = |count: usize| count as f64 / callers as f64;
        part(self.in_time) + 0.2 * part(self.late)
            - 0.3 * part(self.rejected_twice)
            - 0.5 * part(self.expired + self.abandoned + self.failed)
    }
}
