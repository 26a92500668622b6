//! Whether a process takes connections.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use crate::stack::NetStack;

/// What a connection that is closed at once tells of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// It takes connections.
    Accepted,
    /// Its machine refuses them: nobody listens.
    Refused,
    /// Nobody answers.
    NoResponse,
}

/// Looks at the process that listens on an address.
pub async fn probe_connect(
    stack: &NetStack,
    address: SocketAddr,
    limit: Duration,
) -> ConnectOutcome {
    match tokio::time::timeout(limit, stack.connect(address)).await {
        Ok(Ok(_connection)) => ConnectOutcome::Accepted,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ConnectOutcome::Refused,
        Ok(Err(_)) | Err(_) => ConnectOutcome::NoResponse,
    }
}
