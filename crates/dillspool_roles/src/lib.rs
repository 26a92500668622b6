//! Which engines prefill and which decode, and the one host that orders it.
//!
//! Orders come from the holder of a lease: a row of the store that is written under a condition
//! before each round of orders. See `docs/design/platform_site.md`.

mod keeper;
mod lease;
mod plan;

pub use keeper::{KeeperSettings, keep_stages};
pub use lease::{LeaseRow, OrderLease, OrderTerm};
pub use plan::{StageChange, StagePlan};
