//! TCP probes: whether a process accepts connections.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use crate::stack::NetStack;

/// Outcome of a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The connection was accepted.
    Accepted,
    /// The host refused the connection: no process listens on the port.
    Refused,
    /// The attempt timed out or failed otherwise.
    NoResponse,
}

/// Opens a connection to an address, closes it at once and returns the outcome.
pub async fn probe_connect(
    stack: &NetStack,
    address: SocketAddr,
    timeout: Duration,
) -> ConnectOutcome {
    match tokio::time::timeout(timeout, stack.connect(address)).await {
        Ok(Ok(_connection)) => ConnectOutcome::Accepted,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ConnectOutcome::Refused,
        Ok(Err(_)) | Err(_) => ConnectOutcome::NoResponse,
    }
}
