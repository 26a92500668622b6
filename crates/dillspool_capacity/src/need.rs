//! How many engines of a pool should prefill.

/// Load of the prefill engines, 0 to 1, at the moment at which decode memory is full. Prompts come
/// at random, and a queue of them grows without bound as the load nears 1, where a full memory
/// only refuses what is over it; what is over 0.8 for a while is read at decode engines. The
/// figure holds for any lengths and paces; on three deployments the rounded need is the best fixed split
/// (`docs/design/split.md`).
const PREFILL_LOAD: f64 = 0.8;

/// What an average request of a pool asks of its engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandEstimate {
    /// Prompts observed, by their age.
    pub prompts: f64,
    /// Prompts a second.
    pub prompts_per_s: f64,
    /// Answers observed to their end, by their age.
    pub completed: f64,
    /// Seconds for which one prefill engine reads a prompt.
    pub prefill_s: f64,
    /// Token-seconds of decode memory that an answer holds.
    pub held_token_s: f64,
    /// Seconds for which an answer holds a slot.
    pub held_s: f64,
}

/// What an engine of a pool holds at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Tokens of all its answers.
    pub memory_tokens: u64,
    /// Answers.
    pub slots: u32,
}

/// Engines of `engines` that should prefill, as a fraction that is not rounded.
///
/// With `r` the time of a prefill engine over that of a decode engine for one request, `P` prefill
/// engines keep up with `N - P` full decode engines at a load of `r (N - P) / P`; `P` follows from
/// the load that they may have. How many requests come does not matter for the split, so each host
/// can work it out from what it sees itself.
#[expect(clippy::cast_precision_loss, reason = "engines and tokens are far below 2^52")]
pub fn required_prefill_engines(
    engines: usize,
    reading: &DemandEstimate,
    memory: EngineCapacity,
) -> f64 {
    let decode_s = decode_s(reading, memory);
    let prefill_s = reading.prefill_s / PREFILL_LOAD;
    let both = prefill_s + decode_s;
    if both > 0.0 { engines as f64 * prefill_s / both } else { 0.0 }
}

/// Seconds for which a request fills a decode engine.
#[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
fn decode_s(reading: &DemandEstimate, memory: EngineCapacity) -> f64 {
    let by_tokens = reading.held_token_s / memory.memory_tokens.max(1) as f64;
    let by_slots = reading.held_s / f64::from(memory.slots.max(1));
    by_tokens.max(by_slots)
}

/// How much of its engines each part of a pool uses, 0 to 1 and beyond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleLoads {
    /// Those that prefill.
    pub prefill: f64,
    /// Those that decode.
    pub decode: f64,
}

/// The loads of a pool in which so many engines prefill and so many decode.
#[expect(clippy::cast_precision_loss, reason = "engines are far below 2^52")]
pub fn role_loads(
    reading: &DemandEstimate,
    memory: EngineCapacity,
    prefill: usize,
    decode: usize,
) -> RoleLoads {
    let load = |busy_s: f64, engines: usize| reading.prompts_per_s * busy_s / engines.max(1) as f64;
    RoleLoads {
        prefill: load(reading.prefill_s, prefill),
        decode: load(decode_s(reading, memory), decode),
    }
}
