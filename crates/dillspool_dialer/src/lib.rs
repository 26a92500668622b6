//! Connects to backend servers, and detects that this host has lost its links to them.
//!
//! A failed connection says little by itself: its backend server may have crashed, or this host may be
//! partitioned from it. See `docs/design/partitions.md`.

mod dialer;
mod link_health;
mod probe_targets;

pub use dialer::{BackendDialer, DialerFleet, dial_backends};
pub use link_health::{LinkChange, LinkHealth, ProbeTally};
pub use probe_targets::choose_probe_targets;
