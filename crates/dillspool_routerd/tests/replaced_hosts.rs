//! Checks that hosts take the places of registered ones that are gone.
//!
//! Only a registered host may hold a workspace's limit: without places for new hosts, every request of a limited
//! workspace was refused once all registered hosts had been replaced.

mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_io::LinkMode;
use fleet::{FleetOptions, RestartIdentity, TestFleet};

/// Hosts of a failure domain that register.
const PLACES: usize = 6;
/// Time in which hosts without a place get one, after they have settled.
const TAKEOVER_TIME: Duration = Duration::from_secs(20);

struct ReplacedCase {
    name: &'static str,
    domains: usize,
    hosts: usize,
    gone_hosts: usize,
    gone_refuse: bool,
}

const CASES: [ReplacedCase; 5] = [
    ReplacedCase { name: "one domain", domains: 1, hosts: 3, gone_hosts: 6, gone_refuse: true },
    ReplacedCase {
        name: "one domain, silent addresses",
        domains: 1,
        hosts: 8,
        gone_hosts: 6,
        gone_refuse: false,
    },
    ReplacedCase { name: "three domains", domains: 3, hosts: 6, gone_hosts: 6, gone_refuse: true },
    ReplacedCase {
        name: "five domains, silent addresses",
        domains: 5,
        hosts: 10,
        gone_hosts: 6,
        gone_refuse: false,
    },
    ReplacedCase {
        name: "replaced twice over",
        domains: 1,
        hosts: 4,
        gone_hosts: 12,
        gone_refuse: true,
    },
];

async fn check_places(case: &ReplacedCase) -> Result<(), String> {
    let options = FleetOptions {
        failure_domains: case.domains,
        gone_hosts: case.gone_hosts,
        gone_refuse: case.gone_refuse,
        ..FleetOptions::default()
    };
    let fleet = TestFleet::start_with(case.hosts, RestartIdentity::NewId, &options).await;
    tokio::time::sleep(TAKEOVER_TIME).await;
    let registered = fleet.registered_hosts();
    let mut live: BTreeMap<usize, usize> = BTreeMap::new();
    for name in &registered {
        if let Some(number) = name.strip_prefix("host-").and_then(|it| it.parse::<usize>().ok()) {
            *live.entry(number % case.domains).or_default() += 1;
        }
    }
    let expected = (case.hosts / case.domains).min(PLACES);
    let has_places =
        (0..case.domains).all(|domain| live.get(&domain).copied().unwrap_or(0) == expected);
    let is_bounded = registered.len() <= case.domains * PLACES.max(case.gone_hosts);
    if has_places && is_bounded {
        return Ok(());
    }
    Err(format!(
        "{}: {expected} live hosts must be registered in each domain: {registered:?}",
        case.name
    ))
}

#[tokio::test(start_paused = true)]
async fn hosts_take_the_places_of_registered_ones_that_are_gone() {
    let mut failures = Vec::new();
    for case in &CASES {
        failures.extend(check_places(case).await.err());
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against hosts that lose their places although they live.
#[tokio::test(start_paused = true)]
async fn live_hosts_keep_their_places() {
    // Hosts with slow links register slowly enough to see that others have.
    let options = FleetOptions { link_mbps: Some(10), ..FleetOptions::default() };
    let fleet = TestFleet::start_with(12, RestartIdentity::NewId, &options).await;
    let before = fleet.registered_hosts();
    assert!((PLACES..12).contains(&before.len()), "{before:?}");
    tokio::time::sleep(Duration::from_mins(1)).await;
    assert_eq!(fleet.registered_hosts(), before, "at rest");
    let numbers = before.iter().filter_map(|name| name.strip_prefix("host-")?.parse().ok());
    let frozen: usize = numbers.clone().next().expect("a host");
    fleet.set_all_links(frozen, LinkMode::Frozen);
    tokio::time::sleep(Duration::from_secs(6)).await;
    fleet.set_all_links(frozen, LinkMode::Open);
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(fleet.registered_hosts(), before, "after one was silent for six seconds");
    for number in numbers.take(2) {
        fleet.restart_host(number).await;
    }
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(fleet.registered_hosts(), before, "after restarts");
}
