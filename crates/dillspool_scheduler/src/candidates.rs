//! Which host schedules a pool.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

/// A host that could schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulerCandidate {
    /// Where it takes questions.
    pub address: SocketAddr,
    /// Bandwidth of its link in Mbit/s.
    pub link_mbps: f64,
}

/// Hosts in the order in which a service's requests are scheduled by them.
///
/// Hosts with wide links come first, since all others ask the first; among them a hash of service
/// and address (rendezvous hashing), so that pools are spread and one host's loss moves few.
/// Hosts that know the same rows come to the same order.
pub fn rank_candidates(service: &str, hosts: &[SchedulerCandidate]) -> Vec<SocketAddr> {
    let mut ranked = hosts.to_vec();
    let hash =
        |host: &SchedulerCandidate| xxh3_64(format!("{service} {}", host.address).as_bytes());
    ranked.sort_by(|a, b| b.link_mbps.total_cmp(&a.link_mbps).then(hash(a).cmp(&hash(b))));
    ranked.into_iter().map(|host| host.address).collect()
}
