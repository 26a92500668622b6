//! Test fleet of routers that counts calls to the store; uses an in-memory network and paused time.
#![allow(dead_code, reason = "each test file uses only some items")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use dillspool_forward::BudgetSettings;
use dillspool_io::{HostClock, MemoryNet, exchange_once, read_body};
use dillspool_roles::ShareRule;
use dillspool_router::{RouterConfig, RouterDaemon};
use dillspool_routerd::prepared_platform;
use dillspool_site_standin::{
    BackendRow, FIRST_SOFTWARE, MOST_SLOTS, StandinKind, StandinRoute, StandinStore, config_text,
};
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::Request;
use tokio_util::sync::CancellationToken;

/// Number of failure domains of a fleet.
const DOMAINS: usize = 5;
/// Hosts with a fast link in each failure domain; the others have a slow one.
const FAST_HOSTS_PER_DOMAIN: usize = 3;
/// Backend servers per host.
pub const BACKENDS_PER_HOST: usize = 10;
/// Every n-th backend server is a plain one.
const PLAIN_EVERY: usize = 7;
/// Time in which a fleet connects to its store, its sources and its schedulers.
pub const SETTLE_TIME: Duration = Duration::from_secs(24);

fn node(net: u8, number: usize) -> IpAddr {
    let [_, _, high, low] = u32::try_from(number + 1).expect("few nodes").to_be_bytes();
    Ipv4Addr::new(10, net, high, low).into()
}

fn store_address() -> SocketAddr {
    SocketAddr::new(node(0, 0), 1)
}

/// Hosts in several failure domains and a store with its rows; the backend servers need not run.
pub struct CountedFleet {
    pub net: MemoryNet,
    pub store: StandinStore,
    pub configs: Vec<RouterConfig>,
    pub daemons: Vec<RouterDaemon>,
    pub cancel: CancellationToken,
}

impl CountedFleet {
    /// Starts `hosts` hosts for the first time and waits for [`SETTLE_TIME`].
    pub async fn start(hosts: usize) -> Self {
        let mut fleet = Self {
            net: MemoryNet::new(),
            store: StandinStore::default(),
            configs: (0..hosts).map(|number| host_config(number, hosts)).collect(),
            daemons: Vec::new(),
            cancel: CancellationToken::new(),
        };
        let stack = fleet.net.stack(store_address().ip());
        let serving = fleet.store.serve(&stack, store_address(), fleet.cancel.clone());
        serving.await.expect("the store listens");
        let route = |prefix, kind, service| StandinRoute {
            prefix,
            kind,
            service,
            attempts: 1,
            is_resumable: false,
        };
        let routes =
            [route("/once/", "non_idempotent", "plain"), route("/stream/", "streaming", "pool")];
        fleet.store.write("op", "config", Some(&config_text(1, "fleet.example", &routes)));
        for number in 0..hosts * BACKENDS_PER_HOST {
            fleet.store.write("servers", &format!("i-{number:08x}"), Some(&backend_row(number)));
        }
        fleet.start_hosts(true).await;
        tokio::time::sleep(SETTLE_TIME).await;
        fleet
    }

    /// Starts all hosts.
    pub async fn start_hosts(&mut self, is_first: bool) {
        let starts =
            self.configs.iter().map(|config| {
                let config = RouterConfig { first_start: is_first, ..config.clone() };
                let stack = self.net.stack(config.callers.ip());
                let clock = HostClock::steady();
                let site = prepared_platform(&stack, &config, &clock);
                async move {
                    RouterDaemon::start(config, stack, site, clock).await.expect("free addresses")
                }
            });
        self.daemons = join_all(starts).await;
    }

    /// Restarts all hosts at once.
    pub async fn restart(&mut self) {
        join_all(self.daemons.drain(..).map(RouterDaemon::stop)).await;
        // Separate tasks close the listeners.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let _before = self.store.take_counts();
        self.start_hosts(false).await;
    }

    /// Number of backend servers that each host holds, read from its metrics.
    pub async fn held(&self) -> Vec<usize> {
        let stack = self.net.stack(node(3, 0));
        let pages = self.configs.iter().map(|config| async {
            let request = Request::builder().uri("/metrics").header("host", "metrics");
            let request = request.body(Full::new(Bytes::new())).expect("a request");
            let limit = Duration::from_secs(1);
            let answer = exchange_once(&stack, config.metrics, request, limit).await;
            let body =
                read_body(answer.expect("a page").into_body(), 1 << 20).await.expect("whole");
            let page = String::from_utf8_lossy(&body).into_owned();
            let gauges = page.lines().filter(|line| line.starts_with("dillspool_backends{"));
            let counts = gauges.filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok());
            counts.sum()
        });
        join_all(pages).await
    }
}

fn backend_row(number: usize) -> String {
    let (service, kind) = match (number % PLAIN_EVERY, number % 3) {
        (0, _) => ("plain", StandinKind::Plain),
        (_, 0) => ("pool", StandinKind::Prefill),
        (_, _) => ("pool", StandinKind::Decode),
    };
    let address = SocketAddr::new(node(2, number), 9000);
    let failure_domain = &format!("domain-{}", number % DOMAINS);
    let slots = MOST_SLOTS;
    let software = FIRST_SOFTWARE;
    BackendRow { service, address, failure_domain, kind, software, state: "ready", slots }.text(1)
}

/// Settings of a host.
pub fn host_config(number: usize, hosts: usize) -> RouterConfig {
    let seeds = [0, hosts / 2, hosts - 1];
    RouterConfig {
        host: format!("host-{number}").into(),
        failure_domain: format!("domain-{}", number % DOMAINS).into(),
        change_limit: Duration::from_secs(4),
        first_start: true,
        seeds: seeds.map(|seed| SocketAddr::new(node(1, seed), 8146)).to_vec(),
        link_mbps: if number / DOMAINS < FAST_HOSTS_PER_DOMAIN { 1000.0 } else { 20.0 },
        budget: BudgetSettings { ratio: 0.2, window: Duration::from_secs(10), extra: 1040.0 },
        share_rule: ShareRule::Fixed(0.33),
        ..super::settings_at(node(1, number), store_address())
    }
}
