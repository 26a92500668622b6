//! The routing configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_schema::Name;

use crate::route::RouteTable;
use crate::workspace::WorkspaceTable;

/// Properties shared by all engines of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePool {
    /// Maximum concurrent requests per engine.
    pub slots: u32,
    /// KV cache capacity of an engine in tokens.
    pub memory_tokens: u64,
    /// Time to live of a KV handle, the result of a prefill.
    pub handle_ttl: Duration,
    /// Maximum time to live of a memory reservation; zero if the engines do not support
    /// reservations.
    pub max_reservation_ttl: Duration,
    /// Time that an engine takes to switch between prefill and decode.
    pub stage_switch_time: Duration,
}

/// A set of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: Name,
    /// Path of the health check.
    pub health_path: Name,
    /// Maximum connections to one backend server from all hosts together.
    pub max_connections: u32,
    /// Engine properties; `None` if this is not a pool of model engines.
    pub engine: Option<EnginePool>,
}

/// Limits on the size and duration of client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of the request head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of the request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive the request head.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle between two requests.
    pub idle_timeout: Duration,
}

/// One version of the routing configuration.
#[derive(Clone, Debug)]
pub struct RoutingConfig {
    /// Version number; increases with each change.
    pub version: u64,
    /// The routes.
    pub routes: RouteTable,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceEntry>,
    /// Workspaces; `None` if clients need no keys.
    pub workspaces: Option<WorkspaceTable>,
    /// Limits on client requests.
    pub limits: ClientLimits,
}
