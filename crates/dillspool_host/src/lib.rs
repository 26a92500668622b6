//! One entry host: all roles as tasks of one process.
//!
//! Every host is equal and keeps nothing; any of them may vanish. See `docs/design/path.md` for
//! the way of a request and `docs/design/membership.md` for the roles.

mod acks;
mod admin;
mod alive_rows;
mod config_keeper;
mod daemon;
mod desk;
mod directory;
mod membership;
mod metrics;
mod parts;
mod upkeep;

pub use acks::ConfigAck;
pub use admin::{
    AdminProblem, ApplyReply, ApplyRequest, ConfigReply, HostLine, PoolLine, StatusReply,
};
pub use daemon::{DaemonError, HostDaemon, HostEnvironment, ListenAddresses};
pub use desk::PlacementOverride;
