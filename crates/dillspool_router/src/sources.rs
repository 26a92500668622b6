//! Selects the hosts that read the store on behalf of others, and those that register for this.
//!
//! `docs/design/sources.md` explains the design and has the figures.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use dillspool_schema::Name;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Largest number of hosts in a failure domain that all read the store directly: up to this size
/// their calls cost less than the shorter polls of a source would.
pub(crate) const MAX_DIRECT_HOSTS: usize = 4;
/// Hosts of a failure domain that relay the tables to the others; two of them may fail.
const SOURCES_PER_DOMAIN: usize = 3;
/// Hosts that read the store for the sources of all failure domains; one of them may fail.
const ROOT_COUNT: usize = 2;
/// Hosts of a failure domain that register: its sources, their possible replacements, and enough to
/// tell a small domain, in which every host registers, from a large one.
const MAX_REGISTERED_PER_DOMAIN: usize = 6;

/// Row of a host in the store.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct HostRow {
    /// Address on which other hosts connect.
    pub peers: SocketAddr,
    /// Address of its scheduler; older versions do not write it.
    #[serde(default)]
    pub schedule: Option<SocketAddr>,
    /// Failure domain of the host.
    pub failure_domain: Name,
    /// Bandwidth of its link in Mbit/s; 0 if its settings do not specify it.
    #[serde(default)]
    pub link_mbps: f64,
}

/// Where a host reads its tables from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourcePlan {
    /// The store; no other host depends on this one.
    Alone,
    /// The store; the sources of the failure domains depend on this host.
    Root,
    /// These hosts, in the order in which they are tried.
    Relayed(Vec<SocketAddr>),
}

/// Selects where the host with the row `own` reads its tables from.
///
/// Hosts with faster links come first, since a source sends whole tables to many hosts at once. All
/// hosts that know the same rows select the same sources.
pub fn plan_sources(rows: &[HostRow], own: &HostRow) -> SourcePlan {
    let domain_rows =
        rank_by_link(rows.iter().filter(|row| row.failure_domain == own.failure_domain));
    if domain_rows.len() <= MAX_DIRECT_HOSTS {
        return SourcePlan::Alone;
    }
    let roots = choose_roots(rows);
    if roots.contains(&own.peers) {
        return SourcePlan::Root;
    }
    let sources: Vec<_> =
        domain_rows.iter().take(SOURCES_PER_DOMAIN).map(|row| row.peers).collect();
    let mut relayed = if sources.contains(&own.peers) { roots } else { sources };
    rotate_by_hash(&mut relayed, &own.peers);
    SourcePlan::Relayed(relayed)
}

/// Selects where the host with the row `own` reads its tables from while hosts still know different
/// rows. A seed reads the store; any other host reads from the first hosts of its failure domain
/// or, if it is one of these, from the seeds.
///
/// Every host reads only from hosts that precede it in a common order, so there are no cycles,
/// whatever rows each host knows. No host reads the store just because it comes first among the few
/// rows it knows.
pub fn plan_initial_sources(rows: &[HostRow], own: &HostRow, seeds: &[SocketAddr]) -> SourcePlan {
    if seeds.contains(&own.peers) {
        return SourcePlan::Root;
    }
    let others = rows.iter().filter(|row| row.peers != own.peers);
    let domain_rows = others.filter(|row| row.failure_domain == own.failure_domain);
    let domain_rows = rank_by_link(domain_rows.chain([own]));
    let first: Vec<_> = domain_rows.iter().take(SOURCES_PER_DOMAIN).map(|row| row.peers).collect();
    let mut sources = if first.contains(&own.peers) { seeds.to_vec() } else { first };
    rotate_by_hash(&mut sources, &own.peers);
    SourcePlan::Relayed(sources)
}

/// Spreads the hosts evenly over the first entry of the list.
fn rotate_by_hash(peers: &mut [SocketAddr], own: &SocketAddr) {
    let shift = address_hash(own) % peers.len().max(1) as u64;
    peers.rotate_left(usize::try_from(shift).unwrap_or_default());
}

/// Hosts that may serve whole tables to others, as sources, roots or schedulers: the first ones of
/// each failure domain, or all hosts of a small domain, which read the store directly. Hosts that
/// registered before they learned of better candidates are not included.
pub fn full_replica_hosts(rows: &[HostRow]) -> Vec<&HostRow> {
    let domains: BTreeSet<&Name> = rows.iter().map(|row| &row.failure_domain).collect();
    let first = |domain: &Name| {
        let domain_rows = rank_by_link(rows.iter().filter(|row| row.failure_domain == *domain));
        domain_rows.into_iter().take(MAX_REGISTERED_PER_DOMAIN)
    };
    domains.into_iter().flat_map(first).collect()
}

/// Returns whether a host should register: its failure domain has too few hosts with a link at
/// least as fast.
pub fn should_register(rows: &[HostRow], own: &HostRow) -> bool {
    let domain_rows = rows.iter().filter(|row| row.failure_domain == own.failure_domain);
    let at_least_as_fast =
        domain_rows.filter(|row| row.peers != own.peers && row.link_mbps >= own.link_mbps);
    at_least_as_fast.count() < MAX_REGISTERED_PER_DOMAIN && !rows.contains(own)
}

/// Size of the fleet if it follows from the rows: in a failure domain with few rows every host has
/// registered, in one with more some may not have.
pub fn count_hosts(rows: &[HostRow]) -> Option<usize> {
    let in_domain_of = |row: &HostRow| {
        rows.iter().filter(|other| other.failure_domain == row.failure_domain).count()
    };
    let all_registered = rows.iter().all(|row| in_domain_of(row) < MAX_REGISTERED_PER_DOMAIN);
    (all_registered && !rows.is_empty()).then_some(rows.len())
}

/// Selects the first host of all large failure domains, and the first one of another large domain
/// or, if there is none, the second host.
fn choose_roots(rows: &[HostRow]) -> Vec<SocketAddr> {
    let is_large = |row: &&HostRow| {
        let domain_rows = rows.iter().filter(|other| other.failure_domain == row.failure_domain);
        domain_rows.count() > MAX_DIRECT_HOSTS
    };
    let all = rank_by_link(rows.iter().filter(is_large));
    let Some(first) = all.first() else { return Vec::new() };
    let elsewhere = all.iter().find(|row| row.failure_domain != first.failure_domain);
    let second = elsewhere.or(all.get(1));
    let chosen = [Some(first), second].into_iter().flatten().take(ROOT_COUNT);
    chosen.map(|row| row.peers).collect()
}

/// Sorts by link bandwidth, fastest first, then by a hash of the address.
fn rank_by_link<'a>(rows: impl Iterator<Item = &'a HostRow>) -> Vec<&'a HostRow> {
    let mut ranked: Vec<_> = rows.collect();
    ranked.sort_by(|a, b| {
        b.link_mbps
            .total_cmp(&a.link_mbps)
            .then(address_hash(&a.peers).cmp(&address_hash(&b.peers)))
    });
    ranked
}

fn address_hash(address: &SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}
