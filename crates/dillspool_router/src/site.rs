//! Interface to the protocol of a site, as functions and closures that the site's adapter provides.

use std::fmt;
use std::sync::Arc;

use dillspool_dialer::BackendDialer;
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
    /// Extracts the request's metadata from the headers; the remaining headers are forwarded.
    pub extract_metadata: fn(&mut HeaderMap) -> RequestMetadata,
    /// Sets the request id on a response that the router sends.
    pub set_request_id: fn(&mut HeaderMap, &str),
    /// Decodes a configuration.
    pub decode_config: fn(&str) -> Result<RoutingConfig, String>,
    /// Decodes the directory row of the backend server with an id.
    pub decode_backend: fn(&str, &str) -> Result<BackendEntry, String>,
    /// Failure domain that is drained while the operator's row with this key exists.
    pub drained_domain: fn(&str) -> Option<&str>,
    /// Table and key of the configuration.
    pub config_row: (Name, Name),
    /// Table of the backend servers.
    pub directory_table: Name,
    /// Table of the router's own rows.
    pub own_table: Name,
    /// Calls to backend servers.
    pub calls: BackendCalls,
    /// Opens the connections of these calls.
    pub dialer: BackendDialer,
    /// Tracks the rate limits and backoff periods that backend servers announce in responses.
    pub throttle: ThrottleTracker,
    /// Tracks the backend servers that announce in a response that they are leaving.
    pub leaving: LeavingTracker,
    /// Reads and watches the store's tables.
    pub watch: TableWatch,
    /// Writes the router's own rows to the store.
    pub store: TableStore,
    /// Name of the protocol in the log.
    pub label: Arc<str>,
}

impl fmt::Debug for SiteProtocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SiteProtocol").field("label", &self.label).finish_non_exhaustive()
    }
}
