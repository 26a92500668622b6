//! The routing configuration in force, as one whole.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_schema::Name;

use crate::route::RouteTable;
use crate::workspace::WorkspaceTable;

/// What the engines of a pool have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePool {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that fit into an engine's memory.
    pub memory_tokens: u64,
    /// Life of a prefill's result.
    pub handle_ttl: Duration,
    /// Longest life of a reservation of memory; zero where engines take none.
    pub max_reservation_ttl: Duration,
    /// Time that an engine takes to change its stage.
    pub stage_switch_time: Duration,
}

/// A set of alike backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: Name,
    /// Path of the health check.
    pub health_path: Name,
    /// Connections that a backend server takes from all callers together.
    pub max_connections: u32,
    /// Set for a pool of model engines.
    pub engine: Option<EnginePool>,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Longest head of a request in bytes.
    pub max_header_bytes: usize,
    /// Longest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Time to send a head.
    pub header_timeout: Duration,
    /// Time that a connection may rest between two requests.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct RoutingConfig {
    /// Grows with each change.
    pub version: u64,
    /// The routes.
    pub routes: RouteTable,
    /// The services by name.
    pub services: BTreeMap<Name, ServiceEntry>,
    /// The workspaces; `None` where callers need no keys.
    pub workspaces: Option<WorkspaceTable>,
    /// Limits on callers.
    pub limits: ClientLimits,
}
