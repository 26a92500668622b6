//! Which engines prefill and which decode, and the one host that orders it.
//!
//! How many of a pool prefill follows from what its requests ask (`dillspool_capacity`), unless
//! the settings say it; see `docs/design/split.md`.
//!
//! Orders come from the holder of a lease: a row of the store that is written under a condition
//! before each round of orders. See `docs/design/platform_site.md`.

mod lease;
mod plan;
mod reconciler;
mod targets;

pub use lease::{LeaseRow, OrderLease, OrderTerm};
pub use plan::{
    StageChange, initial_prefill_engines, plan_stage_changes, prefill_engines_for_share,
};
pub use reconciler::{BackoffFn, DelayFn, ReconcilerSettings, reconcile_stages};
pub use targets::{PoolTargets, ShareRule};
