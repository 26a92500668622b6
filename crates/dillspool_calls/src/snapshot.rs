//! Snapshots of a call queue, for metrics and logs.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_routing::BackendInstance;

use crate::request::RejectCause;

/// State of one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSnapshot {
    /// The backend server instance.
    pub backend: BackendInstance,
    /// Calls that this queue may have in flight there.
    pub limit: u32,
    /// Calls in flight there.
    pub in_flight: u32,
    /// Mean time that it takes to run one call.
    pub mean_latency: Duration,
    /// Whether its circuit breaker is open or half-open.
    pub is_circuit_open: bool,
}

/// State of a call queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueSnapshot {
    /// The backend servers that take calls, in the order of their ids.
    pub servers: Vec<ServerSnapshot>,
    /// Number of waiting calls.
    pub waiting: usize,
    /// Calls rejected since the queue was created, by cause.
    pub rejected: BTreeMap<RejectCause, u64>,
}
