//! Hosts that reach the store relay its tables to hosts that do not.
//!
//! In a failure domain with few hosts, each polls the store and connects to a peer only while the
//! store is unreachable. In one with many, a few sources poll the store and relay to the others,
//! which poll only while no source is fresh, since every call to the store is billed.

mod client;
mod server;

use std::time::Duration;

use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::relay_codec::MAX_MESSAGE_BYTES;

pub use client::{RelayError, RelayPeers, relay_from_peers};
pub use server::{RelayService, serve_relay};

/// Timeout for connecting to a peer, some round trips between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
        .read_buffer_size(4 * 1024)
        .write_buffer_size(0)
}
