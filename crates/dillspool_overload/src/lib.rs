//! Decides how many new connections a host accepts, from the load of its link and processor.
//!
//! See `docs/design/overload.md`.

mod limiter;
mod load;

pub use limiter::{ConnectionLimiter, OverloadPolicy};
pub use load::{HostLoad, LoadTracker, TrafficTotals};
