//! Backend servers as listed in the platform's directory.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use dillspool_part::TableSubset;
use dillspool_schema::Name;
use dillspool_version::StoreVersion;

/// Identifies a backend server. The ID may be reused after a restart; see [`BackendInstance`].
pub type BackendId = Name;

/// Start time of a backend server by its own clock, in milliseconds of Unix time.
///
/// Compare for equality only: clocks can jump, so a later start may have a smaller value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BackendStart(pub u64);

impl BackendStart {
    /// Whether two start times are known to differ. An unknown start time matches any other.
    pub fn are_different(one: Option<Self>, other: Option<Self>) -> bool {
        matches!((one, other), (Some(one), Some(other)) if one != other)
    }
}

impl std::fmt::Display for BackendStart {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// One run of a backend server, from start to exit; state about a backend server is keyed by this.
///
/// `docs/design/identity.md` lists all such state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BackendInstance {
    /// ID of the backend server.
    pub id: BackendId,
    /// Start time; if `None`, instances are told apart by ID only.
    pub start: Option<BackendStart>,
}

impl BackendInstance {
    /// Returns a unique label: the ID, followed by the start time if it is known.
    pub fn label(&self) -> Name {
        match self.start {
            // IDs contain no spaces, so labels are unambiguous.
            Some(start) => format!("{} {start}", self.id).into(),
            None => Name::clone(&self.id),
        }
    }
}

/// Version of the software that a backend server runs. Versions have no order: an earlier one may follow a later one.
///
/// What two versions generate does not fit together; `docs/design/software_versions.md` lists what must not mix them.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(pub Name);

impl std::fmt::Display for SoftwareVersion {
    /// Replaces characters that would break a log line.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let sanitize = |c: char| if c.is_ascii_graphic() && c != '"' { c } else { '\'' };
        self.0.chars().map(sanitize).try_for_each(|c| f.write_char(c))
    }
}

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests and is about to shut down.
    Draining,
}

/// Role of an engine in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStage {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates the output tokens.
    Decode,
}

/// Directory entry of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendEntry {
    /// ID of the backend server.
    pub id: BackendId,
    /// Start time; `None` if the directory row has none.
    pub start: Option<BackendStart>,
    /// Version of its software, not of the weights that it serves.
    pub software: SoftwareVersion,
    /// Service to which the backend server belongs.
    pub service: Name,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: Name,
    /// State reported by its directory row.
    pub state: BackendState,
    /// Role of the engine; `None` if this is not a model engine.
    pub stage: Option<EngineStage>,
    /// Maximum concurrent requests; `None` if the directory row has none.
    pub slots: Option<u32>,
}

impl BackendEntry {
    /// Whether its directory row reports it as ready.
    pub fn is_ready(&self) -> bool {
        self.state == BackendState::Ready
    }

    /// The instance that this entry describes.
    pub fn instance(&self) -> BackendInstance {
        BackendInstance { id: BackendId::clone(&self.id), start: self.start }
    }
}

/// Snapshot of the known backend servers.
#[derive(Clone, Debug, Default)]
pub struct DirectoryView {
    /// Version of the store's directory table at the time of the snapshot.
    pub version: StoreVersion,
    /// Entries by ID.
    pub entries: BTreeMap<BackendId, Arc<BackendEntry>>,
    /// Failure domains that an operator has drained; their backend servers get no new requests.
    pub drained_domains: BTreeSet<Name>,
    /// The subset of all backend servers that this snapshot covers, with services as classes;
    /// `None` for all.
    pub subset: Option<Arc<TableSubset>>,
}

impl DirectoryView {
    /// Whether new requests may go to a backend server: it is ready and its failure domain is not
    /// drained.
    pub fn accepts_requests(&self, entry: &BackendEntry) -> bool {
        entry.is_ready() && !self.drained_domains.contains(&entry.failure_domain)
    }

    /// Backend servers of a service that accept new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<BackendEntry>> {
        self.entries
            .values()
            .filter(move |entry| &*entry.service == service && self.accepts_requests(entry))
    }

    /// Engines of a service that have the given role and accept new requests.
    pub fn ready_in_stage<'a>(
        &'a self,
        service: &'a str,
        stage: EngineStage,
    ) -> impl Iterator<Item = &'a Arc<BackendEntry>> {
        self.ready(service).filter(move |entry| entry.stage == Some(stage))
    }

    /// Whether the backend server with this ID accepts new requests.
    pub fn is_ready(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|entry| self.accepts_requests(entry))
    }

    /// Whether a backend server has restarted with another software version since `entry` was read.
    pub fn has_changed_software(&self, entry: &BackendEntry) -> bool {
        self.has_restarted(entry)
            && self.entries.get(&entry.id).is_some_and(|known| known.software != entry.software)
    }

    /// Whether a backend server has restarted since `entry` was read, which means that its
    /// in-memory state is lost.
    pub fn has_restarted(&self, entry: &BackendEntry) -> bool {
        self.entries
            .get(&entry.id)
            .is_some_and(|known| BackendStart::are_different(known.start, entry.start))
    }
}
