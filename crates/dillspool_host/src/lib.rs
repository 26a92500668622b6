//! An entry host, which runs all roles as tasks of one process.
//!
//! All hosts are equal and keep no persistent state, so any of them may fail. See
//! `docs/design/path.md` for the path of a request and `docs/design/membership.md` for the roles.

mod acks;
mod admin;
mod components;
mod config_replica;
mod daemon;
mod heartbeat_rows;
mod membership;
mod metrics;
mod periodic_tasks;
mod placement_client;
mod scheduler_registry;

pub use acks::ConfigAck;
pub use admin::{
    AdminProblem, ApplyReply, ApplyRequest, ConfigReply, HostLine, PoolLine, StatusReply,
};
pub use daemon::{DaemonError, HostDaemon, HostEnvironment, ListenAddresses};
pub use placement_client::PlacementOverride;
