//! Routes by host name and path prefix.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dillspool_schema::Name;
use xxhash_rust::xxh3::xxh3_64;

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Running it again does no harm.
    Idempotent,
    /// It may run once at most.
    NonIdempotent,
    /// Its answer is a stream of numbered events.
    Streaming,
}

/// A service and its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: Name,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// Where the requests of one host name and path prefix go, and on which terms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: Name,
    /// Host name of its requests, in lower case.
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: Name,
    /// How often its requests may run.
    pub kind: RequestKind,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time within which an answer is of full use; for a stream, its first event.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is in time.
    pub max_event_gap: Option<Duration>,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether a stream may go on at another engine behind its last event.
    pub resumable: bool,
    /// Whether its callers need no key where others do.
    pub keyless: bool,
    /// Services that take its requests.
    pub shares: Vec<ServiceShare>,
}

impl RouteEntry {
    /// Whether a request may run again after it may have run.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.resumable,
        }
    }

    /// The service for a request, by weight; the same id always gets the same one.
    pub fn pick_service(&self, request_id: &str) -> Option<&Name> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return self.shares.first().map(|share| &share.service);
        }
        let mut point = xxh3_64(request_id.as_bytes()) % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}

/// All routes, found by host name and longest path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: BTreeMap<Name, BTreeMap<Name, Arc<RouteEntry>>>,
}

impl RouteTable {
    /// Builds the table; of two routes with one prefix the later one stays.
    pub fn new(routes: impl IntoIterator<Item = RouteEntry>) -> Self {
        let mut table = Self::default();
        for route in routes {
            let prefixes = table.by_host.entry(Name::clone(&route.host)).or_default();
            prefixes.insert(Name::clone(&route.path_prefix), Arc::new(route));
        }
        table
    }

    /// The route with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let host = host_name(host).to_ascii_lowercase();
        let prefixes = self.by_host.get(host.as_str())?;
        // Prefixes end with a slash, so only the path's own directories can be one.
        path.rmatch_indices('/').find_map(|(at, _slash)| prefixes.get(path.get(..=at)?))
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.by_host.values().map(BTreeMap::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

/// The host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        Some(_) | None => host,
    }
}
