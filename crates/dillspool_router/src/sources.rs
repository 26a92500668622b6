//! Which hosts read the store for the others, and which record themselves for that.
//!
//! `docs/design/sources.md` has the reasons and the figures.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use dillspool_schema::Name;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Hosts of a failure domain up to which each reads the store itself: their calls cost less than
/// a source's shorter questions would.
pub(crate) const MOST_DIRECT_HOSTS: usize = 4;
/// Hosts of a failure domain that relay the tables to the others; two may go.
const DOMAIN_SOURCES: usize = 3;
/// Hosts that read the store for the sources of all failure domains; one may go.
const ROOTS: usize = 2;
/// Hosts of a failure domain that record themselves: its sources, others that take their places, and
/// enough to tell a small domain, all of whose hosts are recorded, from a large one.
const MOST_LISTED: usize = 6;

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

/// Where a host's tables come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourcePlan {
    /// The store; no other host relies on this one.
    Alone,
    /// The store; the sources of the failure domains rely on this host.
    Root,
    /// These hosts, in the order in which this host tries them.
    Relayed(Vec<SocketAddr>),
}

/// Where the tables of the host with `own` row come from.
///
/// Hosts with wide links come first, since a source sends whole tables to many at once. All hosts
/// that know the same rows come to the same sources.
pub fn plan_sources(rows: &[HostRow], own: &HostRow) -> SourcePlan {
    let near = ranked(rows.iter().filter(|row| row.failure_domain == own.failure_domain));
    if near.len() <= MOST_DIRECT_HOSTS {
        return SourcePlan::Alone;
    }
    let roots = roots(rows);
    if roots.contains(&own.peers) {
        return SourcePlan::Root;
    }
    let sources: Vec<_> = near.iter().take(DOMAIN_SOURCES).map(|row| row.peers).collect();
    let mut relayed = if sources.contains(&own.peers) { roots } else { sources };
    rotate_by_rank(&mut relayed, &own.peers);
    SourcePlan::Relayed(relayed)
}

/// Where the tables of the host with `own` row come from while hosts still differ in the rows that they know: those
/// of a seed from the store, those of another one from the first hosts of its failure domain, where it is none of
/// them, and else from the seeds.
///
/// Everybody takes from hosts that come before it in one order, so nobody takes from those that take from it,
/// whatever rows each of them knows; and nobody reads the store because it comes first among the few that it knows.
pub fn plan_initial_sources(rows: &[HostRow], own: &HostRow, seeds: &[SocketAddr]) -> SourcePlan {
    if seeds.contains(&own.peers) {
        return SourcePlan::Root;
    }
    let others = rows.iter().filter(|row| row.peers != own.peers);
    let near = others.filter(|row| row.failure_domain == own.failure_domain);
    let near = ranked(near.chain([own]));
    let first: Vec<_> = near.iter().take(DOMAIN_SOURCES).map(|row| row.peers).collect();
    let mut sources = if first.contains(&own.peers) { seeds.to_vec() } else { first };
    rotate_by_rank(&mut sources, &own.peers);
    SourcePlan::Relayed(sources)
}

/// Lets an equal part of the hosts begin with each of these.
fn rotate_by_rank(peers: &mut [SocketAddr], own: &SocketAddr) {
    let shift = rank(own) % peers.len().max(1) as u64;
    peers.rotate_left(usize::try_from(shift).unwrap_or_default());
}

/// The hosts on which others may come to rely for whole tables, as sources, roots or schedulers: the first of each
/// failure domain, or all of a small one, which read the store themselves. Hosts that recorded themselves
/// before they heard of better ones are none of these.
pub fn full_replica_hosts(rows: &[HostRow]) -> Vec<&HostRow> {
    let domains: BTreeSet<&Name> = rows.iter().map(|row| &row.failure_domain).collect();
    let first = |domain: &Name| {
        let near = ranked(rows.iter().filter(|row| row.failure_domain == *domain));
        near.into_iter().take(MOST_LISTED)
    };
    domains.into_iter().flat_map(first).collect()
}

/// Whether a host should record itself: its failure domain has too few that are as good as it.
pub fn should_register(rows: &[HostRow], own: &HostRow) -> bool {
    let near = rows.iter().filter(|row| row.failure_domain == own.failure_domain);
    let as_good = near.filter(|row| row.peers != own.peers && row.link_mbps >= own.link_mbps);
    as_good.count() < MOST_LISTED && !rows.contains(own)
}

/// Hosts of the fleet, where the rows tell: all hosts of a failure domain with few rows have recorded
/// themselves, those of one with more may have not.
pub fn count_hosts(rows: &[HostRow]) -> Option<usize> {
    let in_domain_of = |row: &HostRow| {
        rows.iter().filter(|other| other.failure_domain == row.failure_domain).count()
    };
    let all_told = rows.iter().all(|row| in_domain_of(row) < MOST_LISTED);
    (all_told && !rows.is_empty()).then_some(rows.len())
}

/// The first host of all large failure domains, and the first of another one.
fn roots(rows: &[HostRow]) -> Vec<SocketAddr> {
    let is_large = |row: &&HostRow| {
        let near = rows.iter().filter(|other| other.failure_domain == row.failure_domain);
        near.count() > MOST_DIRECT_HOSTS
    };
    let all = ranked(rows.iter().filter(is_large));
    let Some(first) = all.first() else { return Vec::new() };
    let elsewhere = all.iter().find(|row| row.failure_domain != first.failure_domain);
    let second = elsewhere.or(all.get(1));
    let chosen = [Some(first), second].into_iter().flatten().take(ROOTS);
    chosen.map(|row| row.peers).collect()
}

/// The widest links first, then by a hash of the address.
fn ranked<'a>(rows: impl Iterator<Item = &'a HostRow>) -> Vec<&'a HostRow> {
    let mut ranked: Vec<_> = rows.collect();
    ranked.sort_by(|a, b| {
        b.link_mbps.total_cmp(&a.link_mbps).then(rank(&a.peers).cmp(&rank(&b.peers)))
    });
    ranked
}

/// Spreads addresses evenly.
fn rank(address: &SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}
