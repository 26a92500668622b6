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
    pub streams: Vec<RunningStream>,
    /// Reservations of requests that are being prefilled elsewhere.
    pub reserved: BTreeMap<u64, u64>,
    /// End of the prefills on this engine.
    pub prefill_until: u64,
}

impl DecodeEngine {
    pub fn used_memory(&self) -> u64 {
        let held = |stream: &RunningStream| {
            if stream.is_preempted { 0 } else { stream.reserve.max(stream.tokens as u64) }
        };
        self.reserved.values().sum::<u64>() + self.streams.iter().map(held).sum::<u64>()
    }

    /// Advances by one tick at a fraction of the usual speed; returns the streams that ended.
    pub fn step(
        &mut self,
        pool: &PoolModel,
        speed: f64,
        now: u64,
        outcome: &mut Outcome,
    ) -> Vec<RunningStream> {
        let memory = pool.memory;
        outcome.peak_memory_percent =
            outcome.peak_memory_percent.max(self.used_memory() * 100 / memory);
        while self.used_memory() > memory {
            // The newest stream that exceeds its reservation is preempted.
            let outgrown = |stream: &&mut RunningStream| {
                !stream.is_preempted && stream.tokens as u64 > stream.reserve
            };
            let Some(stream) = self.streams.iter_mut().rev().find(outgrown) else { break };
            stream.is_preempted = true;
            outcome.preempted += 1;
        }
        let used = self.used_memory();
        if let Some(stream) = self.streams.iter_mut().find(|stream| stream.is_preempted)
            && used + stream.tokens as u64 + 500 <= memory
        {
            stream.is_preempted = false;
            let prefill_ms = (2.0 * stream.tokens / PREFILL_TOKENS_PER_MS) as u64;
            self.prefill_until = self.prefill_until.max(now) + prefill_ms;
        }
        // A prefill is processed in chunks between tokens, which slows the streams down.
        let speed = if self.prefill_until > now { 0.05 } else { speed };
        let step = speed * TICK_MS as f64 / pool.token_ms;
        for stream in self.streams.iter_mut().filter(|stream| !stream.is_preempted) {
            let generated = step.min(stream.remaining_tokens);
            stream.tokens += generated;
            stream.remaining_tokens -= generated;
            stream.event_tokens += generated;
            let is_first = stream.first_event.is_none() && stream.event_tokens > 0.0;
            if stream.event_tokens >= pool.event_tokens
                || stream.remaining_tokens <= 0.0
                || is_first
            {
                stream.event_tokens = if is_first { stream.event_tokens } else { 0.0 };
                if stream.first_event.is_some() && now - stream.last_event > MAX_EVENT_GAP_MS {
                    stream.is_stalled = true;
                }
                stream.first_event.get_or_insert(now + FIRST_TOKEN_OVERHEAD_MS);
                stream.events += u64::from(!is_first);
                stream.last_event = now;
            }
        }
        let (ended, streams) = self
            .streams
            .drain(..)
            .partition(|stream: &RunningStream| stream.remaining_tokens <= 0.0);
        self.streams = streams;
        ended
    }
}

/// Whether an engine is slow at a point in time; the set of slow engines differs between periods.
pub fn is_slow(slow: &SlowEngines, index: usize, now: u64) -> bool {
    let hash =
        (now / slow.period_ms * 1_009 + index as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let uniform = ((hash ^ (hash >> 29)) >> 11) as f64 / (1_u64 << 53) as f64;
    uniform < slow.part
}
