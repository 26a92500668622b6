//! What the requests of a pool ask of its engines, learnt from what passes through a host, and the
//! split into prefill and decode engines that follows from it.
//!
//! The sums are pure functions over readings. `docs/design/split.md` has the derivation and the
//! ways weighed.

mod decay;
mod meter;
mod need;
mod target;

pub use meter::{DemandMeter, MemoryGuard};
pub use need::{DemandEstimate, EngineCapacity, RoleLoads, required_prefill_engines, role_loads};
pub use target::{SplitTarget, TargetChange};
