//! Types of the connections that one host makes to a backend server for another.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use dillspool_io::{BoxFuture, NetStream};
use dillspool_routing::BackendEntry;
use tokio::sync::OwnedSemaphorePermit;

/// Why a backend server could not be reached through another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TunnelError {
    /// The backend server refused the other host's connection, too.
    BackendRefused,
    /// The backend server did not respond to the other host either.
    BackendSilent,
    /// The other host cannot help: it is out of reach, partitioned itself, full, or does not know the backend
    /// server as one that accepts requests.
    PeerUnavailable(String),
}

impl fmt::Display for TunnelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BackendRefused => f.write_str("refused, also from another host"),
            Self::BackendSilent => f.write_str("no connection, also from another host"),
            Self::PeerUnavailable(reason) => write!(f, "no other host connects to it: {reason}"),
        }
    }
}

impl TunnelError {
    /// The error of a connection attempt whose direct way failed as well.
    pub(crate) fn into_io(self) -> io::Error {
        let kind = match &self {
            Self::BackendRefused => io::ErrorKind::ConnectionRefused,
            Self::BackendSilent => io::ErrorKind::TimedOut,
            // Says nothing about the backend server.
            Self::PeerUnavailable(_reason) => io::ErrorKind::NotConnected,
        };
        io::Error::new(kind, self.to_string())
    }
}

/// A host that may open tunnels for this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TunnelPeer {
    /// Where it accepts links of other hosts.
    pub address: SocketAddr,
    /// Whether it is in the failure domain of this host.
    pub is_near: bool,
}

/// Opens a tunnel through the host at an address to a backend server.
pub type OpenTunnelFn = Arc<
    dyn Fn(SocketAddr, Arc<BackendEntry>) -> BoxFuture<Result<NetStream, TunnelError>>
        + Send
        + Sync,
>;

/// Counts a tunnel that this host serves until it is dropped.
#[derive(Debug)]
pub struct TunnelPermit {
    pub(crate) _permit: OwnedSemaphorePermit,
}
