//! Hosts that reach the store relay its tables to hosts that do not.
//!
//! Where a failure domain has few hosts, each reads the store and asks a peer only while it
//! cannot. Where it has many, a few sources read the store and relay to the others, which ask the
//! store only while no source is fresh; every call to the store is billed.

mod serving;
mod taking;

use std::time::Duration;

use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::relay_frame::MESSAGE_LIMIT;

pub use serving::{RelayService, serve_relay};
pub use taking::{RelayError, RelayPeers, relay_from_peers};

/// Time to open a connection to a peer, some round trips between failure domains.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MESSAGE_LIMIT))
        .max_frame_size(Some(MESSAGE_LIMIT))
        .read_buffer_size(4 * 1024)
        .write_buffer_size(0)
}
