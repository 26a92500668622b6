//! The simulated decode engines.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "tokens and milliseconds of a few seconds"
)]

use std::collections::BTreeMap;

use super::simulation::{
    FIRST_TOKEN_OVERHEAD_MS, MAX_EVENT_GAP_MS, PREFILL_TOKENS_PER_MS, TICK_MS,
};
use super::{Outcome, PoolModel, SlowEngines};

/// A stream on a decode engine.
#[derive(Clone, Debug)]
pub struct RunningStream {
    pub ticket: u64,
    pub reserve: u64,
    pub tokens: f64,
    pub remaining_tokens: f64,
    /// Tokens of the event in progress.
    pub event_tokens: f64,
    pub events: u64,
    pub last_event: u64,
    pub first_event: Option<u64>,
    pub is_stalled: bool,
    pub is_preempted: bool,
}

/// A decode engine.
#[derive(Clone, Debug, Default)]
pub struct DecodeEngine {
    pub runs: Vec<RunningStream>,
    /// Reservations of requests that are being prefilled elsewhere.
    pub reserved: BTreeMap<u64, u64>,
    /// End of the prefills on this engine.
    pub prefill_until: u64,
}

impl DecodeEngine {
    pub fn taken(&self) -> u64 {
        let held = |run: &RunningStream| {
            if run.is_preempted { 0 } else { run.reserve.max(run.tokens as u64) }
        };
        self.reserved.values().sum::<u64>() + self.runs.iter().map(held).sum::<u64>()
    }

    /// Advances by one tick at a fraction of the usual speed; returns the streams that ended.
    pub fn step(
        &mut self,
        pool: &PoolModel,
        pace: f64,
        now: u64,
        outcome: &mut Outcome,
    ) -> Vec<RunningStream> {
        let memory = pool.memory;
        outcome.peak_memory_percent = outcome.peak_memory_percent.max(self.taken() * 100 / memory);
        while self.taken() > memory {
            // The newest stream that exceeds its reservation is preempted.
            let outgrown =
                |run: &&mut RunningStream| !run.is_preempted && run.tokens as u64 > run.reserve;
            let Some(run) = self.runs.iter_mut().rev().find(outgrown) else { break };
            run.is_preempted = true;
            outcome.preempted += 1;
        }
        let taken = self.taken();
        if let Some(run) = self.runs.iter_mut().find(|run| run.is_preempted)
            && taken + run.tokens as u64 + 500 <= memory
        {
            run.is_preempted = false;
            let prefill_ms = (2.0 * run.tokens / PREFILL_TOKENS_PER_MS) as u64;
            self.prefill_until = self.prefill_until.max(now) + prefill_ms;
        }
        // A prefill is processed in chunks between tokens, which slows the streams down.
        let pace = if self.prefill_until > now { 0.05 } else { pace };
        let step = pace * TICK_MS as f64 / pool.token_ms;
        for run in self.runs.iter_mut().filter(|run| !run.is_preempted) {
            let made = step.min(run.remaining_tokens);
            run.tokens += made;
            run.remaining_tokens -= made;
            run.event_tokens += made;
            let is_first = run.first_event.is_none() && run.event_tokens > 0.0;
            if run.event_tokens >= pool.event_tokens || run.remaining_tokens <= 0.0 || is_first {
                run.event_tokens = if is_first { run.event_tokens } else { 0.0 };
                if run.first_event.is_some() && now - run.last_event > MAX_EVENT_GAP_MS {
                    run.is_stalled = true;
                }
                run.first_event.get_or_insert(now + FIRST_TOKEN_OVERHEAD_MS);
                run.events += u64::from(!is_first);
                run.last_event = now;
            }
        }
        let (over, runs) =
            self.runs.drain(..).partition(|run: &RunningStream| run.remaining_tokens <= 0.0);
        self.runs = runs;
        over
    }
}

/// Whether an engine is slow at a point in time; the set of slow engines differs between periods.
pub fn is_slow(slow: &SlowEngines, place: usize, now: u64) -> bool {
    let mixed =
        (now / slow.period_ms * 1_009 + place as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let even = ((mixed ^ (mixed >> 29)) >> 11) as f64 / (1_u64 << 53) as f64;
    even < slow.part
}
