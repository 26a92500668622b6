//! Which hosts read the store for others, and which record themselves for that.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use dillspool_router::{
    HostRow, SourcePlan, count_hosts, full_replica_hosts, plan_initial_sources, plan_sources,
    should_register,
};

/// The host with a number in a failure domain, and the width of its link.
fn row(domain: u16, number: u16, link_mbps: f64) -> HostRow {
    let failure_domain = format!("domain-{domain}").into();
    HostRow { peers: address(domain, number), schedule: None, failure_domain, link_mbps }
}

fn address(domain: u16, number: u16) -> SocketAddr {
    ([10, 0, 0, 1], 1000 * (domain + 1) + number).into()
}

/// Hosts of failure domains, by the widths of their links.
fn fleet(domains: &[Vec<f64>]) -> Vec<HostRow> {
    let hosts = (0_u16..).zip(domains).flat_map(|(domain, links)| {
        (0_u16..).zip(links).map(move |(number, link)| row(domain, number, *link))
    });
    hosts.collect()
}

/// Rows that are in the store once everybody has had a turn to record itself, in this order.
fn listed(hosts: &[HostRow]) -> Vec<HostRow> {
    let mut rows = Vec::new();
    for host in hosts {
        if should_register(&rows, host) {
            rows.push(host.clone());
        }
    }
    rows
}

struct SourceCase {
    name: &'static str,
    /// Widths of the links, by failure domain.
    domains: Vec<Vec<f64>>,
    /// Hosts that ask the store all the time.
    asking: usize,
    /// Hosts that record themselves at most.
    listed: usize,
    /// Hosts that must read it for others, where the links decide.
    roots: &'static [(u16, u16)],
}

#[test]
fn a_few_hosts_read_the_store_for_all() {
    let wide = |count: usize, narrow: usize| [vec![200.0; count], vec![20.0; narrow]].concat();
    let cases = [
        SourceCase {
            name: "three small domains",
            domains: vec![vec![1000.0; 3], vec![1000.0; 3], vec![1000.0; 2]],
            asking: 8,
            listed: 8,
            roots: &[],
        },
        SourceCase {
            name: "one domain, links alike",
            domains: vec![vec![10.0; 5]],
            asking: 2,
            listed: 5,
            roots: &[],
        },
        SourceCase {
            name: "one domain, unknown links",
            domains: vec![vec![0.0; 33]],
            asking: 2,
            listed: 33,
            roots: &[],
        },
        SourceCase {
            name: "wide hosts first: those that come later need no row",
            domains: vec![wide(3, 66), wide(3, 61), wide(3, 49), wide(3, 52), wide(3, 52)],
            asking: 2,
            listed: 30,
            roots: &[],
        },
        SourceCase {
            name: "one wide host in each of two domains",
            domains: vec![vec![10.0; 20], [vec![10.0; 9], vec![200.0]].concat(), wide(1, 30)],
            asking: 2,
            listed: 60,
            roots: &[(1, 9), (2, 0)],
        },
        SourceCase {
            name: "a small domain beside a large one reads for itself",
            domains: vec![wide(2, 40), vec![20.0; 3]],
            asking: 5,
            listed: 9,
            roots: &[(0, 0)],
        },
    ];
    for case in cases {
        let hosts = fleet(&case.domains);
        let rows = listed(&hosts);
        assert!(rows.len() <= case.listed, "{}: {} rows", case.name, rows.len());
        let plan = |host: &HostRow| plan_sources(&rows, host);
        let asking = hosts.iter().filter(|host| !matches!(plan(host), SourcePlan::Relayed(_)));
        assert_eq!(asking.count(), case.asking, "{}", case.name);
        for (domain, number) in case.roots {
            let root = hosts.iter().find(|host| host.peers == address(*domain, *number));
            assert_eq!(root.map(plan), Some(SourcePlan::Root), "{}", case.name);
        }
        let mut first = BTreeSet::new();
        for host in &hosts {
            let SourcePlan::Relayed(sources) = plan(host) else { continue };
            first.insert(sources[0]);
            assert!(!sources.contains(&host.peers), "{}: nobody relays from itself", case.name);
            let relays = |source: &SocketAddr| hosts.iter().find(|other| other.peers == *source);
            for source in sources.iter().filter_map(relays) {
                // Two steps at most: a host, a source of its domain, a root.
                let is_near = source.failure_domain == host.failure_domain;
                let is_root = plan(source) == SourcePlan::Root;
                assert!(is_root || is_near, "{}: {source:?}", case.name);
            }
        }
        let relayed = hosts.iter().any(|host| matches!(plan(host), SourcePlan::Relayed(_)));
        assert!(!relayed || first.len() >= 2, "{}: sources share the hosts", case.name);
    }
}

#[test]
fn a_host_is_recorded_once_and_again_at_another_address() {
    let hosts = fleet(&[vec![20.0; 8]]);
    let rows = listed(&hosts);
    for host in &rows {
        assert!(!should_register(&rows, host), "its row stands already");
    }
    let mut moved = rows[0].clone();
    moved.link_mbps = 200.0;
    moved.peers = address(0, 99);
    assert!(should_register(&rows, &moved));
}

/// Hosts that started again took the fleet for one of four hundred until they had a scheduler, though the rows
/// of all hosts of small domains were there: `retry_budget_empty … allowed=0.4 hosts=400`, and the prompts
/// of the callers that had come back were read where streams ran.
#[test]
fn the_rows_of_small_domains_tell_how_many_hosts_there_are() {
    let cases = [
        ("nobody is recorded yet", vec![], None),
        ("one host", vec![1], Some(1)),
        ("three small domains", vec![3, 3, 2], Some(8)),
        ("all of five are recorded", vec![5, 1], Some(6)),
        ("six may be some of many", vec![6], None),
        ("one large domain beside small ones", vec![20, 3, 3], None),
        ("large domains", vec![20, 19, 21], None),
    ];
    for (name, domains, expected) in cases {
        let domains: Vec<Vec<f64>> = domains.into_iter().map(|hosts| vec![1000.0; hosts]).collect();
        let hosts = fleet(&domains);
        assert_eq!(count_hosts(&listed(&hosts)), expected, "{name}");
    }
}

/// Two sources of a failure domain took each other for roots at the first start of a fleet, as each knew some other rows
/// of hosts, and neither learnt anything for four seconds; then all sixty hosts of the domain read the store.
#[test]
fn whatever_rows_hosts_know_at_first_nobody_takes_from_those_that_take_from_it() {
    let hosts = fleet(&[[vec![1000.0; 3], vec![20.0; 30]].concat(), vec![20.0; 12]]);
    let seeds = [address(0, 0), address(0, 20), address(1, 5)];
    let mut state = 0x5EED_u64;
    for _round in 0..200 {
        // Each host knows rows of its own choice.
        let known: Vec<Vec<HostRow>> = hosts
            .iter()
            .map(|_host| {
                let is_known = |_row: &&HostRow| {
                    state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                    state >> 62 != 0
                };
                hosts.iter().filter(is_known).cloned().collect()
            })
            .collect();
        let takes_from: Vec<BTreeSet<usize>> = (hosts.iter().zip(&known))
            .map(|(host, rows)| {
                let number = |source| hosts.iter().position(|host| host.peers == source);
                match plan_initial_sources(rows, host, &seeds) {
                    SourcePlan::Relayed(sources) => {
                        sources.into_iter().filter_map(number).collect()
                    }
                    SourcePlan::Root | SourcePlan::Alone => BTreeSet::new(),
                }
            })
            .collect();
        for start in 0..hosts.len() {
            let (mut seen, mut open) = (BTreeSet::new(), takes_from[start].clone());
            while let Some(next) = open.pop_first() {
                assert_ne!(next, start, "a circle");
                if seen.insert(next) {
                    open.extend(&takes_from[next]);
                }
            }
        }
        let from_seeds =
            seeds.iter().filter_map(|seed| hosts.iter().position(|it| it.peers == *seed));
        let from_seeds: BTreeSet<usize> = from_seeds.collect();
        let seeds_first = takes_from.iter().filter(|sources| **sources == from_seeds).count();
        assert!(seeds_first < hosts.len() / 2, "most take from their own domain");
    }
}

/// Each host that came first among the rows that it knew took itself for a root and read the tables whole.
#[test]
fn hosts_that_came_first_among_the_rows_they_knew_read_the_store_at_the_first_start() {
    let hosts = fleet(&[[vec![1000.0; 3], vec![20.0; 3]].concat(), vec![1000.0; 6]]);
    let seeds = [address(0, 5), address(1, 2)];
    for known in 0..=hosts.len() {
        for host in &hosts {
            let plan = plan_initial_sources(&hosts[hosts.len() - known..], host, &seeds);
            let reads = !matches!(plan, SourcePlan::Relayed(_));
            assert_eq!(reads, seeds.contains(&host.peers), "{host:?} knows {known}");
        }
    }
}

#[test]
fn six_hosts_of_a_domain_are_relied_on_whoever_else_is_recorded() {
    let rows = fleet(&[[vec![20.0; 30], vec![1000.0; 3]].concat(), vec![20.0; 4]]);
    let relied: Vec<_> = full_replica_hosts(&rows).iter().map(|row| row.peers).collect();
    assert_eq!(relied.len(), 10);
    for number in 30..33 {
        assert!(relied.contains(&address(0, number)), "wide links come first");
    }
    for host in &rows {
        if let SourcePlan::Relayed(sources) = plan_sources(&rows, host) {
            assert!(sources.iter().all(|source| relied.contains(source)), "{host:?}");
        }
    }
}
