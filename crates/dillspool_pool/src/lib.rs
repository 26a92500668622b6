//! Scheduler of a pool: group queues, decode slots, links and placements.
//!
//! One host schedules a pool at a time, chosen by rendezvous hashing. Two at once may reduce goodput
//! but break no guarantee. All state is soft. See `docs/design/scheduler.md`.

mod affinity;
mod class_service;
mod dispatch;
mod engines;
mod health;
mod placements;
mod queue;
mod scheduler;
mod state;
mod suspects;
mod sweep;

pub use engines::{DecodeState, PrefillState};
pub use queue::{FairQueue, QueueTag, QueuedRequest};
pub use scheduler::{LivenessCheck, PoolScheduler, SchedulerCounts};
pub use state::{PoolState, ReserveOutcome};
