//! Calculates how many engines of a pool should run prefills.

/// Load of the prefill engines, from 0 to 1, at the point at which decode memory is full. Prompts
/// arrive at random, so their queue grows without bound as the load approaches 1, while full decode
/// memory only rejects the excess. A load above 0.8 for some time makes decode engines prefill
/// prompts. The value holds for any lengths and speeds; on three deployments the rounded result is
/// the best fixed split (`docs/design/split.md`).
const MAX_PREFILL_LOAD: f64 = 0.8;

/// Resources that an average request of a pool needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandEstimate {
    /// Number of prompts observed, weighted by their age.
    pub prompts: f64,
    /// Prompts per second.
    pub prompts_per_s: f64,
    /// Number of completed answers observed, weighted by their age.
    pub completed: f64,
    /// Seconds that a prefill engine needs for a prompt.
    pub prefill_s: f64,
    /// Decode memory that an answer holds, in token-seconds.
    pub held_token_s: f64,
    /// Seconds for which an answer holds a slot.
    pub held_s: f64,
}

/// Capacity of each decode engine of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Tokens that fit into the memory of an engine.
    pub memory_tokens: u64,
    /// Answers that an engine runs concurrently.
    pub slots: u32,
}

/// Returns how many of `engines` should run prefills, without rounding.
///
/// With `r` as the ratio of the time that a request takes on a prefill engine to that on a decode
/// engine, `P` prefill engines keep up with `N - P` full decode engines at a load of `r (N - P) /
/// P`; `P` follows from the load that they may have. The request rate does not affect the split, so
/// each host can calculate it from its own observations.
#[expect(clippy::cast_precision_loss, reason = "engines and tokens are far below 2^52")]
pub fn required_prefill_engines(
    engines: usize,
    estimate: &DemandEstimate,
    capacity: EngineCapacity,
) -> f64 {
    let decode_s = decode_s(estimate, capacity);
    let prefill_s = estimate.prefill_s / MAX_PREFILL_LOAD;
    let total_s = prefill_s + decode_s;
    if total_s > 0.0 { engines as f64 * prefill_s / total_s } else { 0.0 }
}

/// Seconds for which a request occupies a whole decode engine.
#[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
fn decode_s(estimate: &DemandEstimate, capacity: EngineCapacity) -> f64 {
    let by_tokens = estimate.held_token_s / capacity.memory_tokens.max(1) as f64;
    let by_slots = estimate.held_s / f64::from(capacity.slots.max(1));
    by_tokens.max(by_slots)
}

/// Load of the prefill and of the decode engines of a pool; values above 1 are overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleLoads {
    /// Load of the prefill engines.
    pub prefill: f64,
    /// Load of the decode engines.
    pub decode: f64,
}

/// Returns the loads of a pool with the given numbers of prefill and decode engines.
#[expect(clippy::cast_precision_loss, reason = "engines are far below 2^52")]
pub fn role_loads(
    estimate: &DemandEstimate,
    capacity: EngineCapacity,
    prefill: usize,
    decode: usize,
) -> RoleLoads {
    let load =
        |busy_s: f64, engines: usize| estimate.prompts_per_s * busy_s / engines.max(1) as f64;
    RoleLoads {
        prefill: load(estimate.prefill_s, prefill),
        decode: load(decode_s(estimate, capacity), decode),
    }
}
