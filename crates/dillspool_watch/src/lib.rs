//! Replicates tables of the store to every host and keeps the replicas up to date.
//!
//! Every row carries the version that the store assigned to it, so updates from the store and from
//! other hosts can be merged in any order and never move a replica back. See
//! `docs/design/platform_site.md`.

mod follow;
mod freshness;
mod reachability;
mod relay;
mod relay_codec;
mod replica;
mod snapshot;

pub use follow::{FollowRole, FollowSettings, follow_table};
pub use reachability::StoreReachability;
pub use relay::{RelayError, RelayPeers, RelayService, relay_from_peers, serve_relay};
pub use replica::{ReplicaRow, RowClassifier, SharedReplica, TableReplica};
