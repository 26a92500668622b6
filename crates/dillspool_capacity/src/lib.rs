//! Estimates the resources that the requests of a pool need, from the requests that pass through a
//! host, and derives the split into prefill and decode engines.
//!
//! The calculations are pure functions of observations. `docs/design/split.md` has the derivation
//! and the alternatives considered.

mod decay;
mod demand;
mod meter;
mod target;

pub use demand::{DemandEstimate, EngineCapacity, RoleLoads, required_prefill_engines, role_loads};
pub use meter::{DemandMeter, MemoryGuard};
pub use target::{SplitTarget, TargetChange};
