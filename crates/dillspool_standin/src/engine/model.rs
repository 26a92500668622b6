//! Speeds and sizes of a stand-in engine, and its faults.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A prompt with this text ends each engine that decodes it, a call with it each plain service.
pub const DEADLY_TEXT: &str = "#deadly";
/// A prompt with this text ends each engine that decodes it, after some tokens.
pub const DEADLY_LATE: &str = "#deadly-late";
/// A prompt with this text ends each engine that prefills it.
pub const DEADLY_PROMPT: &str = "#deadly-prompt";

/// Speeds and sizes of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    /// Streams decoded at once.
    pub slots: u32,
    /// Prompt tokens prefilled a second, one prompt at a time.
    pub prefill_tokens_per_s: u64,
    /// Time of a decode step of an empty batch.
    pub step_base: Duration,
    /// Time that each stream adds to a step.
    pub step_per_stream: Duration,
    /// Rate at which KV cache is imported.
    pub link_bytes_per_s: u64,
    /// Size of one prompt token's KV cache.
    pub kv_bytes_per_token: u64,
    /// How long an exported KV cache is kept.
    pub kv_lifetime: Duration,
    /// Blocks kept in the prefix cache.
    pub cache_blocks: usize,
    /// Age of load reports and cache events.
    pub report_lag: Duration,
    /// One cache event of this many is lost; 0 for none.
    pub lose_event_every: u64,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            slots: 20,
            prefill_tokens_per_s: 20_000,
            step_base: Duration::from_millis(15),
            step_per_stream: Duration::from_micros(800),
            link_bytes_per_s: 10_000_000_000,
            kv_bytes_per_token: 160_000,
            kv_lifetime: Duration::from_millis(800),
            cache_blocks: 512,
            report_lag: Duration::from_millis(500),
            lose_event_every: 10,
        }
    }
}

/// What goes wrong in an engine until it is mended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFault {
    /// Nothing.
    #[default]
    None,
    /// Decode streams stop after the token they are at, and keep their memory.
    StallDecode,
    /// Every decode connection breaks off; streams keep running.
    CutStreams,
    /// Imports of KV cache never end.
    StallTransfer,
    /// Prefills answer with an error after their work.
    FailPrefill,
    /// Everything is refused, and all memory is lost, as after a crash.
    Dead,
    /// Decode sends the tokens of another stream.
    WrongStream,
    /// Decode leaves out every tenth token.
    SkipToken,
    /// Cancels are answered but not carried out, as when they overtake the stream's start.
    IgnoreCancel,
}
