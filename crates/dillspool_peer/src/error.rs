//! Errors of connections between hosts.

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
    /// The connection broke or could not be established.
    #[snafu(display("the peer connection failed: {reason}; retrying"))]
    Connection {
        /// Cause of the failure.
        reason: String,
    },
    /// The peer's proof of the shared key is invalid.
    #[snafu(display(
        "the peer failed to prove the shared key; set the same keys.peer_key on all hosts"
    ))]
    Proof,
    /// The peer's protocol version is not compatible.
    #[snafu(display(
        "the peer uses protocol version {theirs}, this host {ours}; upgrade one version at a time"
    ))]
    Version {
        /// The peer's version.
        theirs: u32,
        /// This host's version.
        ours: u32,
    },
    /// The peer sent an invalid message.
    #[snafu(display(
        "the peer sent an invalid message: {reason}; check that both hosts run dillspoold"
    ))]
    Malformed {
        /// What is invalid.
        reason: String,
    },
}
