//! Tests which hosts read the store for others, and which hosts register for this.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use dillspool_router::{
    HostRow, SourcePlan, count_hosts, full_replica_hosts, plan_initial_sources, plan_sources,
    should_register,
};

/// A host by its number in a failure domain, with the bandwidth of its link.
fn row(domain: u16, number: u16, link_mbps: f64) -> HostRow {
    let failure_domain = format!("domain-{domain}").into();
    HostRow { peers: address(domain, number), schedule: None, failure_domain, link_mbps }
}

fn address(domain: u16, number: u16) -> SocketAddr {
    ([10, 0, 0, 1], 1000 * (domain + 1) + number).into()
}

/// Hosts of several failure domains, by the bandwidths of their links.
fn fleet(domains: &[Vec<f64>]) -> Vec<HostRow> {
    let hosts = (0_u16..).zip(domains).flat_map(|(domain, links)| {
        (0_u16..).zip(links).map(move |(number, link)| row(domain, number, *link))
    });
    hosts.collect()
}

/// Rows in the store after each host, in this order, has had the chance to register.
fn register_all(hosts: &[HostRow]) -> Vec<HostRow> {
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
    /// Link bandwidths, by failure domain.
    domains: Vec<Vec<f64>>,
    /// Number of hosts that poll the store.
    polling: usize,
    /// Maximum number of hosts that register.
    max_registered: usize,
    /// Hosts that must be roots, where the links determine this.
    roots: &'static [(u16, u16)],
}

#[test]
fn a_few_hosts_read_the_store_for_all() {
    let links = |fast: usize, slow: usize| [vec![200.0; fast], vec![20.0; slow]].concat();
    let cases = [
        SourceCase {
            name: "three small domains",
            domains: vec![vec![1000.0; 3], vec![1000.0; 3], vec![1000.0; 2]],
            polling: 8,
            max_registered: 8,
            roots: &[],
        },
        SourceCase {
            name: "one domain, links alike",
            domains: vec![vec![10.0; 5]],
            polling: 2,
            max_registered: 5,
            roots: &[],
        },
        SourceCase {
            name: "one domain, unknown links",
            domains: vec![vec![0.0; 33]],
            polling: 2,
            max_registered: 33,
            roots: &[],
        },
        SourceCase {
            name: "fast links first: later hosts do not register",
            domains: vec![links(3, 66), links(3, 61), links(3, 49), links(3, 52), links(3, 52)],
            polling: 2,
            max_registered: 30,
            roots: &[],
        },
        SourceCase {
            name: "one fast link in each of two domains",
            domains: vec![vec![10.0; 20], [vec![10.0; 9], vec![200.0]].concat(), links(1, 30)],
            polling: 2,
            max_registered: 60,
            roots: &[(1, 9), (2, 0)],
        },
        SourceCase {
            name: "a small domain beside a large one reads directly",
            domains: vec![links(2, 40), vec![20.0; 3]],
            polling: 5,
            max_registered: 9,
            roots: &[(0, 0)],
        },
    ];
    for case in cases {
        let hosts = fleet(&case.domains);
        let rows = register_all(&hosts);
        assert!(rows.len() <= case.max_registered, "{}: {} rows", case.name, rows.len());
        let plan = |host: &HostRow| plan_sources(&rows, host);
        let polling = hosts.iter().filter(|host| !matches!(plan(host), SourcePlan::Relayed(_)));
        assert_eq!(polling.count(), case.polling, "{}", case.name);
        for (domain, number) in case.roots {
            let root = hosts.iter().find(|host| host.peers == address(*domain, *number));
            assert_eq!(root.map(plan), Some(SourcePlan::Root), "{}", case.name);
        }
        let mut first = BTreeSet::new();
        for host in &hosts {
            let SourcePlan::Relayed(sources) = plan(host) else { continue };
            first.insert(sources[0]);
            assert!(!sources.contains(&host.peers), "{}: no host relays from itself", case.name);
            let relays = |source: &SocketAddr| hosts.iter().find(|other| other.peers == *source);
            for source in sources.iter().filter_map(relays) {
                // At most two hops: from a root to a source of the domain to a host.
                let is_same_domain = source.failure_domain == host.failure_domain;
                let is_root = plan(source) == SourcePlan::Root;
                assert!(is_root || is_same_domain, "{}: {source:?}", case.name);
            }
        }
        let relayed = hosts.iter().any(|host| matches!(plan(host), SourcePlan::Relayed(_)));
        assert!(!relayed || first.len() >= 2, "{}: sources share the hosts", case.name);
    }
}

#[test]
fn a_host_registers_once_and_again_at_a_new_address() {
    let hosts = fleet(&[vec![20.0; 8]]);
    let rows = register_all(&hosts);
    for host in &rows {
        assert!(!should_register(&rows, host), "already registered");
    }
    let mut moved = rows[0].clone();
    moved.link_mbps = 200.0;
    moved.peers = address(0, 99);
    assert!(should_register(&rows, &moved));
}

/// Guards against restarted hosts assuming a fleet of four hundred until they were linked to a
/// scheduler, although the rows of all hosts of small domains were present. They logged
/// `retry_budget_empty … allowed=0.4 hosts=400`, and the prompts of retries were prefilled on
/// engines that were running streams.
#[test]
fn the_host_count_follows_from_the_rows_of_small_domains() {
    let cases = [
        ("no host registered yet", vec![], None),
        ("one host", vec![1], Some(1)),
        ("three small domains", vec![3, 3, 2], Some(8)),
        ("all of five registered", vec![5, 1], Some(6)),
        ("six may be some of many", vec![6], None),
        ("one large domain beside small ones", vec![20, 3, 3], None),
        ("large domains", vec![20, 19, 21], None),
    ];
    for (name, domains, expected) in cases {
        let domains: Vec<Vec<f64>> = domains.into_iter().map(|hosts| vec![1000.0; hosts]).collect();
        let hosts = fleet(&domains);
        assert_eq!(count_hosts(&register_all(&hosts)), expected, "{name}");
    }
}

/// Guards against relay cycles at the first start of a fleet. Two sources of a failure domain knew
/// different host rows and took each other for roots. Neither received anything for four seconds,
/// and then all sixty hosts of the domain read the store.
#[test]
fn initial_sources_form_no_cycle_whatever_rows_hosts_know() {
    let hosts = fleet(&[[vec![1000.0; 3], vec![20.0; 30]].concat(), vec![20.0; 12]]);
    let seeds = [address(0, 0), address(0, 20), address(1, 5)];
    let mut state = 0x5EED_u64;
    for _round in 0..200 {
        // Each host knows its own random subset of the rows.
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
        let sources_of: Vec<BTreeSet<usize>> = (hosts.iter().zip(&known))
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
            let (mut seen, mut open) = (BTreeSet::new(), sources_of[start].clone());
            while let Some(next) = open.pop_first() {
                assert_ne!(next, start, "a cycle");
                if seen.insert(next) {
                    open.extend(&sources_of[next]);
                }
            }
        }
        let from_seeds =
            seeds.iter().filter_map(|seed| hosts.iter().position(|it| it.peers == *seed));
        let from_seeds: BTreeSet<usize> = from_seeds.collect();
        let seeds_first = sources_of.iter().filter(|sources| **sources == from_seeds).count();
        assert!(seeds_first < hosts.len() / 2, "most read from their own domain");
    }
}

/// Guards against every host that came first among the rows it knew acting as a root and reading
/// whole tables.
#[test]
fn only_seeds_read_the_store_at_the_first_start() {
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
fn the_six_best_hosts_of_a_domain_serve_full_replicas() {
    let rows = fleet(&[[vec![20.0; 30], vec![1000.0; 3]].concat(), vec![20.0; 4]]);
    let serving: Vec<_> = full_replica_hosts(&rows).iter().map(|row| row.peers).collect();
    assert_eq!(serving.len(), 10);
    for number in 30..33 {
        assert!(serving.contains(&address(0, number)), "fast links come first");
    }
    for host in &rows {
        if let SourcePlan::Relayed(sources) = plan_sources(&rows, host) {
            assert!(sources.iter().all(|source| serving.contains(source)), "{host:?}");
        }
    }
}
