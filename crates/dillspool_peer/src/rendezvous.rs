//! Rendezvous hashing: every host ranks the hosts for a pool alike, without talking.

use dillspool_schema::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hosts in the order in which they should schedule a pool.
///
/// When a host vanishes only the pools it scheduled move. See `docs/design/scheduler.md`.
pub fn rank_hosts<'a>(pool: &str, hosts: impl Iterator<Item = &'a Name>) -> Vec<Name> {
    let seed = xxh3_64_with_seed(pool.as_bytes(), 0);
    let mut ranked: Vec<(u64, &Name)> =
        hosts.map(|host| (xxh3_64_with_seed(host.as_bytes(), seed), host)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, host)| Name::clone(host)).collect()
}
