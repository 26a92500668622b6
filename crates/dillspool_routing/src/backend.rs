//! Backend servers as the platform's directory shows them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use dillspool_schema::Name;

/// Names one start of a backend server.
pub type BackendId = Name;

/// Whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// The part that an engine plays in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStage {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates answers.
    Decode,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendEntry {
    /// Its id, new with each start.
    pub id: BackendId,
    /// Service to which it belongs.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: Name,
    /// Whether it takes new requests.
    pub state: BackendState,
    /// Set for a model engine.
    pub stage: Option<EngineStage>,
}

impl BackendEntry {
    /// Whether new requests may go to it.
    pub fn is_ready(&self) -> bool {
        self.state == BackendState::Ready
    }
}

/// All backend servers known at one moment.
#[derive(Clone, Debug, Default)]
pub struct DirectoryView {
    /// Version of the store's directory that it was made from.
    pub version: u64,
    /// By id.
    pub entries: BTreeMap<BackendId, Arc<BackendEntry>>,
}

impl DirectoryView {
    /// The backend servers of a service that take new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<BackendEntry>> {
        self.entries.values().filter(move |entry| &*entry.service == service && entry.is_ready())
    }

    /// The engines of a service that play one part and take new requests.
    pub fn ready_in_stage<'a>(
        &'a self,
        service: &'a str,
        stage: EngineStage,
    ) -> impl Iterator<Item = &'a Arc<BackendEntry>> {
        self.ready(service).filter(move |entry| entry.stage == Some(stage))
    }

    /// Whether an id still takes new requests.
    pub fn is_ready(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.is_ready())
    }
}
