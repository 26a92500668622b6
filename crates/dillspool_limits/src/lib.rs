//! Limits that a whole fleet keeps, counted at one host for all.
//!
//! A workspace's limit holds over all hosts together, and may be as small as two requests a second:
//! a part of it for each host would be worth nothing. So one host, the holder, counts the requests of
//! all; hosts that cannot reach it spend a small part of their own. These are decisions over a clock
//! that is passed in: no input or output, no task, no log. See `docs/design/limits.md`.

mod bucket;
mod claims;
mod fleet;
mod holder;
mod ledger;
mod spend;

pub use bucket::{LimitRate, SpendDecision};
pub use fleet::FleetSize;
pub use holder::{LimitHolder, LocalQuota};
pub use ledger::{KeyedLimiter, LimitStatus, LimiterSettings};
pub use spend::{RateVersion, SpendRequest};
