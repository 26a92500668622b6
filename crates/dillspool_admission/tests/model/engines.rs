//! The decode engines of the model.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "tokens and milliseconds of a few seconds"
)]

use std::collections::BTreeMap;

use super::world::{OPENING_MS, PAUSE_MS, READ_TOKENS_A_MS, TICK_MS};
use super::{Outcome, PoolModel, SlowEngines};

/// A stream at a decode engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub ticket: u64,
    pub reserve: u64,
    pub tokens: f64,
    pub left: f64,
    /// Tokens of the event under way.
    pub part: f64,
    pub events: u64,
    pub last_event: u64,
    pub first_event: Option<u64>,
    pub paused: bool,
    pub waits: bool,
}

/// A decode engine.
#[derive(Clone, Debug, Default)]
pub struct Decode {
    pub runs: Vec<Run>,
    /// Reservations of requests whose prompts are being read elsewhere.
    pub reserved: BTreeMap<u64, u64>,
    /// Until when a prompt is read here.
    pub reads_until: u64,
}

impl Decode {
    pub fn taken(&self) -> u64 {
        let held = |run: &Run| if run.waits { 0 } else { run.reserve.max(run.tokens as u64) };
        self.reserved.values().sum::<u64>() + self.runs.iter().map(held).sum::<u64>()
    }

    /// Goes on by one tick at a part of the usual pace; returns the streams that ended.
    pub fn step(
        &mut self,
        pool: &PoolModel,
        pace: f64,
        now: u64,
        outcome: &mut Outcome,
    ) -> Vec<Run> {
        let memory = pool.memory;
        outcome.fullest = outcome.fullest.max(self.taken() * 100 / memory);
        while self.taken() > memory {
            // The newest that has outgrown its reservation gives way.
            let outgrown = |run: &&mut Run| !run.waits && run.tokens as u64 > run.reserve;
            let Some(run) = self.runs.iter_mut().rev().find(outgrown) else { break };
            run.waits = true;
            outcome.preempted += 1;
        }
        let taken = self.taken();
        if let Some(run) = self.runs.iter_mut().find(|run| run.waits)
            && taken + run.tokens as u64 + 500 <= memory
        {
            run.waits = false;
            let read_ms = (2.0 * run.tokens / READ_TOKENS_A_MS) as u64;
            self.reads_until = self.reads_until.max(now) + read_ms;
        }
        // Prompts are read in pieces between tokens, which come far more slowly meanwhile.
        let pace = if self.reads_until > now { 0.05 } else { pace };
        let step = pace * TICK_MS as f64 / pool.token_ms;
        for run in self.runs.iter_mut().filter(|run| !run.waits) {
            let made = step.min(run.left);
            run.tokens += made;
            run.left -= made;
            run.part += made;
            let is_first = run.first_event.is_none() && run.part > 0.0;
            if run.part >= pool.event_tokens || run.left <= 0.0 || is_first {
                run.part = if is_first { run.part } else { 0.0 };
                if run.first_event.is_some() && now - run.last_event > PAUSE_MS {
                    run.paused = true;
                }
                run.first_event.get_or_insert(now + OPENING_MS);
                run.events += u64::from(!is_first);
                run.last_event = now;
            }
        }
        let (over, runs) = self.runs.drain(..).partition(|run: &Run| run.left <= 0.0);
        self.runs = runs;
        over
    }
}

/// Whether an engine is slow at a moment; which ones are differs from period to period.
pub fn is_slow(slow: &SlowEngines, place: usize, now: u64) -> bool {
    let mixed =
        (now / slow.period_ms * 1_009 + place as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let even = ((mixed ^ (mixed >> 29)) >> 11) as f64 / (1_u64 << 53) as f64;
    even < slow.part
}
