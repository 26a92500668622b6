//! Whether a process takes connections.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use crate::stack::NetStack;

/// What a connection that is closed at once tells of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSign {
    /// It takes connections.
    Takes,
    /// Its machine refuses them: nobody listens.
    Refuses,
    /// Nobody answers.
    Silent,
}

/// Looks at the process that listens on an address.
pub async fn look_at_process(
    stack: &NetStack,
    address: SocketAddr,
    limit: Duration,
) -> ProcessSign {
    match tokio::time::timeout(limit, stack.connect(address)).await {
        Ok(Ok(_connection)) => ProcessSign::Takes,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProcessSign::Refuses,
        Ok(Err(_)) | Err(_) => ProcessSign::Silent,
    }
}
