//! What a host believes of the store's tables, and how it keeps that up to date.
//!
//! Every row carries the version that the store gave it, so beliefs from the store and from
//! other hosts merge in any order and never go back. See `docs/design/platform_site.md`.

mod age;
mod belief;
mod follow;
mod reach;
mod relay;
mod relay_frame;
mod whole_read;

pub use belief::{ReplicaRow, RowClassifier, SharedReplica, TableReplica};
pub use follow::{FollowRole, FollowSettings, follow_table};
pub use reach::StoreReachability;
pub use relay::{RelayError, RelayPeers, RelayService, relay_from_peers, serve_relay};
