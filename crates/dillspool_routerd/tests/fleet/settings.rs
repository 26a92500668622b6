//! Settings of the hosts of a test fleet.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use dillspool_forward::BudgetSettings;
use dillspool_io::WallClock;
use dillspool_roles::ShareRule;
use dillspool_router::{PolicyConfig, RouterConfig};
use dillspool_scheduler::{CallSchedulerSettings, RateLimiterSettings};
use dillspool_suspects::FingerprintKey;

use super::{node, store_address};

/// Settings of a host by its number in a fleet.
pub(super) fn host_config(number: usize, hosts: usize) -> RouterConfig {
    let seeds = [0, hosts - 1].map(|seed| SocketAddr::new(node(1, seed), 8146));
    let host = format!("host-{number}").into();
    RouterConfig { host, seeds: seeds.to_vec(), ..settings_at(node(1, number), store_address()) }
}

/// Settings of a host with an address and a store.
pub fn settings_at(ip: IpAddr, store: SocketAddr) -> RouterConfig {
    let at = |port| SocketAddr::new(ip, port);
    RouterConfig {
        host: "host".into(),
        failure_domain: "domain".into(),
        callers: at(8144),
        readiness: at(8140),
        peers: at(8146),
        metrics: at(7660),
        schedule: at(7661),
        store,
        store_timeout: Duration::from_millis(700),
        watch_wait: Duration::from_millis(2500),
        change_limit: Duration::from_secs(2),
        first_start: false,
        seeds: Vec::new(),
        link_mbps: 100.0,
        budget: BudgetSettings { ratio: 0.2, window: Duration::from_secs(10), extra: 56.0 },
        limits: RateLimiterSettings { slack: 0.0, shares: 2 },
        held_bytes: None,
        fingerprint_key: FingerprintKey::default(),
        lifted: vec![],
        wall_clock: WallClock::system(),
        shutdown_grace: Duration::from_secs(4),
        lapse_grace: Duration::from_secs(2),
        order_handover_gap: Duration::from_secs(3),
        share_rule: ShareRule::Fixed(0.5),
        policy: PolicyConfig::default(),
        calls: CallSchedulerSettings::default(),
        log_level: log::LevelFilter::Info,
    }
}
