//! Decides whether failed connections are the fault of this host's links, and which way a connection takes.

use std::collections::HashMap;
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::BackendInstance;
use dillspool_schema::Name;

/// Minimum time between two verifications of a service whose backend servers were found reachable.
const VERIFICATION_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for which a backend server is reached through other hosts; it ends sooner when a probe of the direct
/// link succeeds.
const DETOUR_TIME: Duration = Duration::from_secs(10);
/// Time for which no other host is asked to connect to a backend server to which another one could not connect.
const OUTAGE_TIME: Duration = Duration::from_secs(1);
/// Number of backend servers with a link state from which expired ones are dropped.
const MAX_BACKENDS: usize = 1024;

/// Which way a connection to a backend server takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendPath {
    /// Directly and, if that fails, through another host.
    Direct,
    /// Directly only: other hosts cannot connect to it either.
    DirectOnly,
    /// Through another host and, if none can help, directly.
    Detour,
    /// Through another host only: this host is partitioned from all backend servers of the service.
    DetourOnly,
}

/// Result of probing several backend servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTally {
    /// When the probes began.
    pub started: Moment,
    /// Number of backend servers that were probed.
    pub probed: usize,
    /// Whether one of them accepted a connection.
    pub is_any_reachable: bool,
}

/// A change of the links to the backend servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// This host is partitioned from all of them.
    Lost,
    /// A connection succeeded again.
    Restored {
        /// Time since the links were found lost.
        after: Duration,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceLinks {
    /// When the links were found lost; `None` if they are sound.
    lost: Option<Moment>,
    last_verified: Option<Moment>,
    last_connected: Option<Moment>,
}

/// State of the link to one backend server whose direct connections fail.
#[derive(Clone, Copy, Debug)]
enum BackendLink {
    /// Another host could connect to it.
    DetourUntil(Moment),
    /// Another host could not connect to it either.
    OutageUntil(Moment),
}

/// The links of this host to the backend servers.
///
/// A failed connection is held against the link, not the backend server, once another host has connected to that
/// server. The links to a whole service are lost when probes of several of its backend servers all fail and no
/// connection succeeded meanwhile; one success restores them.
#[derive(Clone, Debug, Default)]
pub struct LinkHealth {
    services: HashMap<Name, ServiceLinks>,
    backends: HashMap<BackendInstance, BackendLink>,
}

impl LinkHealth {
    /// Whether this host is partitioned from the backend servers of a service.
    pub fn is_partitioned(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|links| links.lost.is_some())
    }

    /// Services from whose backend servers this host is partitioned.
    pub fn partitioned_services(&self) -> Vec<Name> {
        let lost = self.services.iter().filter(|(_service, links)| links.lost.is_some());
        lost.map(|(service, _links)| Name::clone(service)).collect()
    }

    /// Which way a connection to a backend server takes.
    pub fn path(&self, service: &str, backend: &BackendInstance, now: Moment) -> BackendPath {
        if self.is_partitioned(service) {
            return BackendPath::DetourOnly;
        }
        match self.backends.get(backend) {
            Some(BackendLink::DetourUntil(until)) if *until > now => BackendPath::Detour,
            Some(BackendLink::OutageUntil(until)) if *until > now => BackendPath::DirectOnly,
            Some(BackendLink::DetourUntil(_) | BackendLink::OutageUntil(_)) | None => {
                BackendPath::Direct
            }
        }
    }

    /// Backend servers that are reached through other hosts, at most `max_count`, those first whose direct link was
    /// lost first.
    pub fn detoured(&self, max_count: usize, now: Moment) -> Vec<BackendInstance> {
        let mut detoured: Vec<_> = self
            .backends
            .iter()
            .filter_map(|(backend, link)| match link {
                BackendLink::DetourUntil(until) if *until > now => Some((*until, backend.clone())),
                BackendLink::DetourUntil(_) | BackendLink::OutageUntil(_) => None,
            })
            .collect();
        detoured.sort_by_key(|(until, _backend)| *until);
        detoured.into_iter().take(max_count).map(|(_until, backend)| backend).collect()
    }

    /// Whether a failed connection calls for a verification.
    pub fn needs_verification(&self, service: &str, now: Moment) -> bool {
        let links = self.services.get(service).copied().unwrap_or_default();
        links.lost.is_none()
            && links.last_verified.is_none_or(|at| now.since(at) >= VERIFICATION_INTERVAL)
    }

    /// Records a successful direct connection.
    pub fn record_connected(
        &mut self,
        service: &Name,
        backend: &BackendInstance,
        now: Moment,
    ) -> Option<LinkChange> {
        self.backends.remove(backend);
        self.record_reachable(service, now)
    }

    /// Records that another host connected to a backend server to which this host could not.
    pub fn record_detour(&mut self, backend: BackendInstance, now: Moment) {
        self.set_backend_link(backend, BackendLink::DetourUntil(now + DETOUR_TIME), now);
    }

    /// Records that another host could not connect to a backend server either.
    pub fn record_outage(&mut self, backend: BackendInstance, now: Moment) {
        self.set_backend_link(backend, BackendLink::OutageUntil(now + OUTAGE_TIME), now);
    }

    /// Records the result of a verification.
    pub fn record_verification(
        &mut self,
        service: &Name,
        tally: ProbeTally,
        now: Moment,
    ) -> Option<LinkChange> {
        if tally.is_any_reachable {
            self.entry(service).last_verified = Some(now);
            return self.record_reachable(service, now);
        }
        let links = self.entry(service);
        let has_connected = links.last_connected.is_some_and(|at| at >= tally.started);
        if tally.probed == 0 || has_connected || links.lost.is_some() {
            return None;
        }
        links.lost = Some(now);
        Some(LinkChange::Lost)
    }

    fn record_reachable(&mut self, service: &Name, now: Moment) -> Option<LinkChange> {
        let links = self.entry(service);
        links.last_connected = Some(now);
        let lost = links.lost.take()?;
        Some(LinkChange::Restored { after: now.since(lost) })
    }

    fn set_backend_link(&mut self, backend: BackendInstance, link: BackendLink, now: Moment) {
        if self.backends.len() >= MAX_BACKENDS {
            self.backends.retain(|_backend, link| match link {
                BackendLink::DetourUntil(until) | BackendLink::OutageUntil(until) => *until > now,
            });
        }
        self.backends.insert(backend, link);
    }

    fn entry(&mut self, service: &Name) -> &mut ServiceLinks {
        self.services.entry(Name::clone(service)).or_default()
    }
}
