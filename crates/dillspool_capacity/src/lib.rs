//! What the requests of a pool ask of its engines, learnt from what passes through a host, and the
//! split into prefill and decode engines that follows from it.
//!
//! The sums are pure functions over readings. `docs/design/split.md` has the derivation and the
//! ways weighed.

mod decay;
mod meter;
mod need;
mod target;

pub use meter::{DemandMeter, MemoryTicket};
pub use need::{DemandReading, EngineMemory, PartLoads, part_loads, prefill_need};
pub use target::{SplitTarget, TargetChange};
