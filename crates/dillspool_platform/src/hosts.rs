//! The platform's list of live and leaving hosts and backend servers, which may be stale.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{BoxFuture, HttpClient};
use dillspool_schema::Name;
use serde::{Deserialize, Serialize};

use crate::PlatformError;
use crate::table::post_json;

/// Kind of a host list entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    /// An entry host of this system.
    Host,
    /// A backend server.
    Backend,
}

/// State of an entry, as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It is running.
    Live,
    /// It is being removed.
    Leaving,
}

/// A host or backend server in the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct HostEntry {
    /// Name, as in the settings or the configuration.
    pub name: Name,
    /// Kind of the entry.
    pub kind: HostKind,
    /// State of the entry.
    pub state: HostState,
    /// Failure domain of the entry.
    pub failure_domain: Name,
    /// Address for peers; unused for backend servers.
    pub address: Name,
}

/// Requests the list unless the known version is current.
///
/// At the two-year size of the fleet, the whole list takes about 370 KB, and it changes a few times
/// an hour.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct HostListQuery {
    /// Version that the caller knows; 0 for none.
    pub known: u64,
}

/// Response to a [`HostListQuery`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct HostListReply {
    /// Version of the list.
    pub version: u64,
    /// All entries; `None` if the known version is current.
    pub entries: Option<Vec<HostEntry>>,
}

type ListFn =
    dyn Fn(HostListQuery) -> BoxFuture<Result<HostListReply, PlatformError>> + Send + Sync;

/// Client of the host list service.
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
    /// Creates a client of the service at an address, over HTTP; each call ends within `timeout`.
    pub fn http(client: &HttpClient, address: SocketAddr, timeout: Duration) -> Self {
        Self { list: post_json(client, address, "/hosts/list", timeout) }
    }
}
