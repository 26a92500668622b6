//! Connects to backend servers, directly or through another host, and detects partitions.
//!
//! A failed connection says little by itself: its backend server may have crashed, or this host may be
//! partitioned from it. Another host's connection tells the two apart, and serves the request meanwhile. See
//! `docs/design/partitions.md`.

mod dialer;
mod link_health;
mod probe_targets;
mod recovery;
mod tunnel;
mod tunnel_peers;
mod verification;

pub use dialer::{BackendDialer, DialerFleet, TunnelCounts};
pub use link_health::{BackendPath, LinkChange, LinkHealth, ProbeTally};
pub use probe_targets::choose_probe_targets;
pub use recovery::dial_backends;
pub use tunnel::{OpenTunnelFn, TunnelError, TunnelPeer, TunnelPermit};
pub use tunnel_peers::{MAX_PEERS_TRIED, TunnelPeers};
