//! Which hosts of a failure domain read the store for the others.
//!
//! `docs/design/sources.md` has the reasons and the figures.

use std::net::SocketAddr;

use dillspool_schema::Name;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Hosts of a failure domain up to which each reads the store itself: their calls cost less than
/// a source's shorter questions would.
const MOST_DIRECT_HOSTS: usize = 4;
/// Sources of a larger failure domain at least; two, so that one may go.
const FEWEST_SOURCES: usize = 2;
/// Hosts that a source serves at most. When all of them start at once it sends each the whole
/// tables, 0.75 MB at 3,000 backend servers.
const HOSTS_PER_SOURCE: usize = 32;

/// A host's own row in the store.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct HostRow {
    /// Where other hosts connect.
    pub peers: SocketAddr,
    /// Where other hosts ask it as a scheduler; absent where an older version runs.
    #[serde(default)]
    pub schedule: Option<SocketAddr>,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Bandwidth of its link in Mbit/s; 0 when its settings do not say.
    #[serde(default)]
    pub link_mbps: f64,
}

/// Sources of a failure domain in the order in which the host at `own` tries them; `None` where
/// each host reads the store itself.
///
/// Hosts with wide links come first, since a source sends whole tables to many at once. All hosts
/// of a domain that know the same rows come to the same sources.
pub fn choose_sources(near: &[&HostRow], own: &SocketAddr) -> Option<Vec<SocketAddr>> {
    if near.len() <= MOST_DIRECT_HOSTS {
        return None;
    }
    let mut ranked = near.to_vec();
    ranked.sort_by(|a, b| {
        b.link_mbps.total_cmp(&a.link_mbps).then(rank(&a.peers).cmp(&rank(&b.peers)))
    });
    let count = near.len().div_ceil(HOSTS_PER_SOURCE).max(FEWEST_SOURCES);
    let mut sources: Vec<_> = ranked.into_iter().take(count).map(|row| row.peers).collect();
    // An equal part of the hosts begins with each source.
    let shift = rank(own) % sources.len() as u64;
    sources.rotate_left(usize::try_from(shift).unwrap_or_default());
    Some(sources)
}

/// Spreads addresses evenly.
fn rank(address: &SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}
