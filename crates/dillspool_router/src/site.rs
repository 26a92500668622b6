//! A site's protocol, as closures and functions that a site's adapter fills.

use std::fmt;
use std::sync::Arc;

use dillspool_forward::BackendCalls;
use dillspool_leaving::LeavingTracker;
use dillspool_platform::{TableStore, TableWatch};
use dillspool_routing::{BackendEntry, RequestMetadata, RoutingConfig};
use dillspool_schema::Name;
use dillspool_throttle::ThrottleTracker;
use hyper::HeaderMap;

/// Everything that differs between sites.
#[derive(Clone)]
pub struct SiteProtocol {
    /// Decodes a request's terms and leaves what is passed on.
    pub extract_metadata: fn(&mut HeaderMap) -> RequestMetadata,
    /// Names the request in an answer of the router's own.
    pub set_request_id: fn(&mut HeaderMap, &str),
    /// Decodes a configuration.
    pub decode_config: fn(&str) -> Result<RoutingConfig, String>,
    /// Decodes the row of a backend server with an id.
    pub decode_backend: fn(&str, &str) -> Result<BackendEntry, String>,
    /// The failure domain that an operator's row of this key says is drained.
    pub drained_domain: fn(&str) -> Option<&str>,
    /// Table and key of the configuration.
    pub config_row: (Name, Name),
    /// Table of the backend servers.
    pub directory_table: Name,
    /// Table of the product's own rows.
    pub own_table: Name,
    /// Calls to backend servers.
    pub calls: BackendCalls,
    /// Remembers what the answers to them say of how much the backend servers take.
    pub throttle: ThrottleTracker,
    /// Remembers which backend servers say in them that they leave.
    pub leaving: LeavingTracker,
    /// Follows the store's tables.
    pub watch: TableWatch,
    /// The product's own rows in the store.
    pub store: TableStore,
    /// Names the protocol in the log.
    pub label: Arc<str>,
}

impl fmt::Debug for SiteProtocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SiteProtocol").field("label", &self.label).finish_non_exhaustive()
    }
}
