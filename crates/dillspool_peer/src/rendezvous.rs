//! Rendezvous hashing: all hosts compute the same ranking for a pool without coordination.

use dillspool_schema::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Ranks the hosts in the order in which they should schedule a pool.
///
/// When a host disappears, only the pools that it scheduled move. See `docs/design/scheduler.md`.
pub fn rank_hosts<'a>(pool: &str, hosts: impl Iterator<Item = &'a Name>) -> Vec<Name> {
    let seed = xxh3_64_with_seed(pool.as_bytes(), 0);
    let mut ranked: Vec<(u64, &Name)> =
        hosts.map(|host| (xxh3_64_with_seed(host.as_bytes(), seed), host)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, host)| Name::clone(host)).collect()
}
