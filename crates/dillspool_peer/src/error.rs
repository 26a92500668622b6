//! How a connection between hosts fails.

use snafu::Snafu;

/// A failed peer connection or call.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// The peer is not connected.
    #[snafu(display("host `{host}` is not connected; check its peer address and the network"))]
    NotConnected {
        /// Name of the host.
        host: String,
    },
    /// The connection broke off or could not be made.
    #[snafu(display("the peer connection failed: {reason}; it is tried again"))]
    Connection {
        /// What it met.
        reason: String,
    },
    /// The peer's proof of the shared key is wrong.
    #[snafu(display(
        "the peer does not know the shared key; set the same keys.peer_key on all hosts"
    ))]
    Proof,
    /// The peer speaks a version that is too far from ours.
    #[snafu(display(
        "the peer speaks version {theirs}, this host {ours}; upgrade one step at a time"
    ))]
    Version {
        /// The peer's version.
        theirs: u32,
        /// This host's version.
        ours: u32,
    },
    /// The peer sent something that is no message.
    #[snafu(display("the peer sent no valid message: {reason}; check that both run dillspoold"))]
    Malformed {
        /// What was wrong.
        reason: String,
    },
}
