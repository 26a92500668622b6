//! Ranking of the hosts that can schedule a pool.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

/// A host that can act as scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulerCandidate {
    /// Address of its schedule listener.
    pub address: SocketAddr,
    /// Bandwidth of its link in Mbit/s.
    pub link_mbps: f64,
}

/// Returns the hosts in order of preference as scheduler of a service.
///
/// Hosts with the highest link bandwidth come first, since all other hosts send their requests to
/// the first one. Ties are ordered by a hash of service and address (rendezvous hashing), so that
/// pools are spread over the hosts and the loss of one host moves few of them. Hosts that know the
/// same rows compute the same order.
pub fn rank_candidates(service: &str, hosts: &[SchedulerCandidate]) -> Vec<SocketAddr> {
    let mut ranked = hosts.to_vec();
    let hash =
        |host: &SchedulerCandidate| xxh3_64(format!("{service} {}", host.address).as_bytes());
    ranked.sort_by(|a, b| b.link_mbps.total_cmp(&a.link_mbps).then(hash(a).cmp(&hash(b))));
    ranked.into_iter().map(|host| host.address).collect()
}
