//! How a call queue stands, for metrics and logs.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_routing::BackendInstance;

use crate::request::RejectCause;

/// How one backend server stands.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSnapshot {
    /// Which one, and of which start.
    pub backend: BackendInstance,
    /// Calls that this queue may have in flight there.
    pub limit: u32,
    /// Calls in flight there.
    pub in_flight: u32,
    /// Mean time in which it runs one call.
    pub mean_latency: Duration,
    /// Whether it gets no calls for a while because it failed some.
    pub is_circuit_open: bool,
}

/// How a call queue stands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueSnapshot {
    /// The backend servers that take calls, in the order of their ids.
    pub servers: Vec<ServerSnapshot>,
    /// Calls that wait.
    pub waiting: usize,
    /// Calls rejected since the queue was made, by cause.
    pub rejected: BTreeMap<RejectCause, u64>,
}
