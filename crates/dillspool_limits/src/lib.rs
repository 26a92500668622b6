//! Rate limits that a whole fleet of hosts shares, counted by one host for all.
//!
//! A workspace's limit holds for all hosts together and can be as small as two requests a second,
//! so a fixed share per host would be useless. Instead, one host, the holder, counts the requests
//! of all; hosts that cannot reach it spend a small local quota. The crate makes decisions on times
//! passed in by the caller and does no I/O, spawns no tasks and logs nothing. See
//! `docs/design/limits.md`.

mod backlog;
mod bucket;
mod fleet_size;
mod holder;
mod limiter;
mod spend;

pub use bucket::{LimitRate, SpendDecision};
pub use fleet_size::FleetSize;
pub use holder::{LimitHolder, LocalQuota};
pub use limiter::{KeyedLimiter, LimitStatus, LimiterSettings};
pub use spend::{RateVersion, SpendRequest};
