//! The platform's list of live and leaving hosts and backend servers; it lags.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{BoxFuture, HttpClient};
use dillspool_schema::Name;
use serde::{Deserialize, Serialize};

use crate::PlatformError;
use crate::table::post;

/// What an entry of the list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    /// An entry host of the system.
    Host,
    /// A backend server.
    Backend,
}

/// What the platform knows of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It runs.
    Live,
    /// It is being taken away.
    Leaving,
}

/// One host or backend server of the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct HostEntry {
    /// Name, as in the settings or the configuration.
    pub name: Name,
    /// Host or backend server.
    pub kind: HostKind,
    /// Live or leaving.
    pub state: HostState,
    /// Failure domain.
    pub failure_domain: Name,
    /// Address for peers; unused for backend servers.
    pub address: Name,
}

/// Asks for the list unless it is the one that is known.
///
/// At the two-year size the whole list is some 370 KB, and it changes a few times an hour.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct HostListQuery {
    /// Version that the asker has; 0 for none.
    pub known: u64,
}

/// The list as read.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct HostListReply {
    /// Version of the list.
    pub version: u64,
    /// All entries, `None` if the known version is the newest.
    pub entries: Option<Vec<HostEntry>>,
}

type ListFn =
    dyn Fn(HostListQuery) -> BoxFuture<Result<HostListReply, PlatformError>> + Send + Sync;

/// The host list.
#[derive(Clone)]
pub struct HostList {
    /// Reads the list.
    pub list: Arc<ListFn>,
}

impl fmt::Debug for HostList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HostList")
    }
}

impl HostList {
    /// The list at an address, reached over HTTP; each call ends within `limit`.
    pub fn http(client: &HttpClient, address: SocketAddr, limit: Duration) -> Self {
        Self { list: post(client, address, "/hosts/list", limit) }
    }
}
