//! Backend servers as the platform's directory shows them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use dillspool_part::TableSubset;
use dillspool_schema::Name;
use dillspool_version::StoreVersion;

/// Names a backend server; another start of it may have the same name.
pub type BackendId = Name;

/// When a backend server started, by its own clock, in milliseconds of Unix time.
///
/// Tells one start from another and nothing more: clocks jump, so a later start may have the smaller
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BackendStart(pub u64);

impl BackendStart {
    /// Whether two tellings of one id are of different starts. One that tells none is taken for the same.
    pub fn are_different(one: Option<Self>, other: Option<Self>) -> bool {
        matches!((one, other), (Some(one), Some(other)) if one != other)
    }
}

impl std::fmt::Display for BackendStart {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// One start of a backend server: what it holds, does or did is remembered under this.
///
/// `docs/design/identity.md` lists all that is remembered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BackendInstance {
    /// The backend server.
    pub id: BackendId,
    /// Its start; `None` where it tells none, and then its id alone counts.
    pub start: Option<BackendStart>,
}

impl BackendInstance {
    /// Names this start, as its id does where it tells none.
    pub fn label(&self) -> Name {
        match self.start {
            // No id has a space.
            Some(start) => format!("{} {start}", self.id).into(),
            None => Name::clone(&self.id),
        }
    }
}

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
    /// Its id.
    pub id: BackendId,
    /// Its start; `None` where its row tells none.
    pub start: Option<BackendStart>,
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
    /// Requests that it runs at the same time; `None` where its row tells none.
    pub slots: Option<u32>,
}

impl BackendEntry {
    /// Whether it takes new requests, as its own row says.
    pub fn is_ready(&self) -> bool {
        self.state == BackendState::Ready
    }

    /// The start that this entry is of.
    pub fn instance(&self) -> BackendInstance {
        BackendInstance { id: BackendId::clone(&self.id), start: self.start }
    }
}

/// The backend servers known at one moment.
#[derive(Clone, Debug, Default)]
pub struct DirectoryView {
    /// Version of the store's directory that it was made from.
    pub version: StoreVersion,
    /// By id.
    pub entries: BTreeMap<BackendId, Arc<BackendEntry>>,
    /// Failure domains whose backend servers get nothing new, by the operator's word.
    pub drained_domains: BTreeSet<Name>,
    /// Which of all backend servers these are, with their services as classes; `None` for all.
    pub subset: Option<Arc<TableSubset>>,
}

impl DirectoryView {
    /// Whether new requests may go to a backend server: it is ready, and its failure domain is not drained.
    pub fn accepts_requests(&self, entry: &BackendEntry) -> bool {
        entry.is_ready() && !self.drained_domains.contains(&entry.failure_domain)
    }

    /// The backend servers of a service that take new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<BackendEntry>> {
        self.entries
            .values()
            .filter(move |entry| &*entry.service == service && self.accepts_requests(entry))
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
        self.entries.get(id).is_some_and(|entry| self.accepts_requests(entry))
    }

    /// Whether a backend server is known to have started again since an entry of it was read: what it
    /// held then is gone.
    pub fn has_restarted(&self, entry: &BackendEntry) -> bool {
        self.entries
            .get(&entry.id)
            .is_some_and(|known| BackendStart::are_different(known.start, entry.start))
    }
}
