//! Routes by host name and path prefix.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dillspool_schema::Name;
use xxhash_rust::xxh3::xxh3_64;

/// How often a request may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May be executed more than once.
    Idempotent,
    /// May be executed at most once.
    NonIdempotent,
    /// The answer is a stream of numbered events.
    Streaming,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: Name,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Destination and settings for the requests of one host name and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: Name,
    /// Host name in lower case.
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: Name,
    /// How often a request may be executed.
    pub kind: RequestKind,
    /// Maximum time to handle a request.
    pub timeout: Duration,
    /// Target time to the answer, or to the first event of a stream.
    pub objective: Duration,
    /// Target for the longest pause between two events of a stream.
    pub max_event_gap: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether an interrupted stream may resume on another engine after its last event.
    pub resumable: bool,
    /// Whether clients need no key on this route even if other routes require one.
    pub keyless: bool,
    /// Services that the requests are split between.
    pub shares: Vec<ServiceShare>,
}

impl RouteEntry {
    /// Whether a request may be executed again after an attempt that may have been executed.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.resumable,
        }
    }

    /// Picks a service by weight; the same ID always yields the same service.
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

/// Route table, matched by host name and longest path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: BTreeMap<Name, BTreeMap<Name, Arc<RouteEntry>>>,
}

impl RouteTable {
    /// Builds the table. If two routes have the same host name and prefix, the later one wins.
    pub fn new(routes: impl IntoIterator<Item = RouteEntry>) -> Self {
        let mut table = Self::default();
        for route in routes {
            let prefixes = table.by_host.entry(Name::clone(&route.host)).or_default();
            prefixes.insert(Name::clone(&route.path_prefix), Arc::new(route));
        }
        table
    }

    /// Finds the route with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let host = host_name(host).to_ascii_lowercase();
        let prefixes = self.by_host.get(host.as_str())?;
        // All prefixes end with a slash, so only positions after a slash can match.
        path.rmatch_indices('/').find_map(|(at, _slash)| prefixes.get(path.get(..=at)?))
    }

    /// Longest timeout of any route; zero without routes.
    pub fn longest_timeout(&self) -> Duration {
        let routes = self.by_host.values().flat_map(BTreeMap::values);
        routes.map(|route| route.timeout).max().unwrap_or_default()
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.by_host.values().map(BTreeMap::len).sum()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

/// Strips the port from a `Host` header value.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        Some(_) | None => host,
    }
}
