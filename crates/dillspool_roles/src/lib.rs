//! Decides which engines of a pool prefill and which decode, and orders the changes from one host.
//!
//! The number of prefill engines of a pool follows from the demand of its requests
//! (`dillspool_capacity`), unless the settings fix it; see `docs/design/split.md`.
//!
//! Orders are sent by the holder of a lease: a row of the store that is written conditionally
//! before each round of orders. See `docs/design/platform_site.md`.

mod lease;
mod plan;
mod reconciler;
mod targets;

pub use lease::{LeaseRow, OrderLease, OrderTerm};
pub use plan::{
    StageChange, initial_prefill_engines, plan_stage_changes, prefill_engines_for_share,
};
pub use reconciler::{BackoffFn, DelayFn, LostLinksFn, ReconcilerSettings, reconcile_stages};
pub use targets::{PoolTargets, ShareRule};
