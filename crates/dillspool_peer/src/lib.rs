//! Connections between hosts, and their liveness.
//!
//! A host connects to the hosts of its failure domain and to the candidates that may schedule a pool,
//! never to all hosts. See `docs/design/membership.md`.

mod codec;
mod dialer;
mod error;
mod hello;
mod links;
mod listener;
mod rendezvous;
mod view;

pub use codec::{ControlBytes, decode_message, encode_message};
pub use error::PeerError;
pub use hello::{PROTOCOL_VERSION, PeerIdentity};
pub use links::{LinkSettings, PeerHandlers, PeerLinks};
pub use rendezvous::rank_hosts;
pub use view::{HostView, LEASE_TIME, OwnerStatus, PeerStatus};
