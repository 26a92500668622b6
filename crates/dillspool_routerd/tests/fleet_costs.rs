//! What a fleet costs its hosts and the store, as it grows: counted, not timed.
//!
//! Every host held every backend server, and each that started again read all their rows from the store: at 986
//! hosts before 10,000 backend servers a machine that runs them all had 32 GB in use before traffic began. At 200
//! hosts here 409,001 rows left the store when all started again. What a host holds and reads must not grow with
//! the fleet.

mod fleet;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use dillspool_forward::BudgetTerms;
use dillspool_io::{HostClock, MemoryNet, exchange_once, read_body};
use dillspool_roles::ShareRule;
use dillspool_router::{RouterConfig, RouterDaemon};
use dillspool_routerd::prepared_platform;
use dillspool_site_standin::{
    BackendRow, MOST_SLOTS, StandinKind, StandinRoute, StandinStore, StoreMode, config_text,
};
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::Request;
use tokio_util::sync::CancellationToken;

/// Failure domains of a fleet.
const DOMAINS: usize = 5;
/// Hosts of a failure domain with a wide link; the others have a narrow one.
const WIDE_HOSTS: usize = 3;
/// Backend servers for each host.
const BACKENDS_A_HOST: usize = 10;
/// One backend server in so many is a plain one.
const PLAIN_EACH: usize = 7;
/// Time in which a fleet has found its store, its sources and its schedulers.
const SETTLING: Duration = Duration::from_secs(24);
/// Time over which a fleet at rest is watched.
const REST: Duration = Duration::from_secs(30);
/// Time for which the store is away, longer than what sources told counts.
const OUTAGE: Duration = Duration::from_secs(9);
/// Time after which hosts have heard of its return from their sources, or asked themselves.
const SETTLED_AGAIN: Duration = Duration::from_secs(10);
/// Longest time until a host that started again with all others knows its backend servers.
const KNOWN_AFTER: Duration = Duration::from_secs(2);

fn node(net: u8, number: usize) -> IpAddr {
    let [_, _, high, low] = u32::try_from(number + 1).expect("few nodes").to_be_bytes();
    Ipv4Addr::new(10, net, high, low).into()
}

fn store_address() -> SocketAddr {
    SocketAddr::new(node(0, 0), 1)
}

/// The costs of a fleet of one size.
struct FleetCosts {
    /// Backend servers that the middle host holds, and the host that holds most.
    held: usize,
    most_held: usize,
    /// Rows that the store sends at the first start.
    rows_at_start: usize,
    /// Calls to the store while nothing happens.
    calls_at_rest: usize,
    /// Rows that the store sends when it comes back.
    rows_after_outage: usize,
    /// Calls to the store, and rows that it sends, when all hosts start again.
    calls_at_restart: usize,
    rows_at_restart: usize,
}

struct CountedFleet {
    net: MemoryNet,
    store: StandinStore,
    configs: Vec<RouterConfig>,
    daemons: Vec<RouterDaemon>,
    cancel: CancellationToken,
}

impl CountedFleet {
    async fn start(hosts: usize) -> Self {
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
        for number in 0..hosts * BACKENDS_A_HOST {
            fleet.store.write("servers", &format!("i-{number:08x}"), Some(&backend_row(number)));
        }
        fleet.start_hosts(true).await;
        tokio::time::sleep(SETTLING).await;
        fleet
    }

    async fn start_hosts(&mut self, is_first: bool) {
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

    /// Stops all hosts at once and starts them again.
    async fn restart(&mut self) {
        join_all(self.daemons.drain(..).map(RouterDaemon::stop)).await;
        // Their listeners are closed by tasks of their own.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let _before = self.store.take_counts();
        self.start_hosts(false).await;
    }

    /// Backend servers that each host holds, by its own page of metrics.
    async fn held(&self) -> Vec<usize> {
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

    async fn costs(mut self) -> FleetCosts {
        let rows_at_start = self.store.take_counts().rows;
        tokio::time::sleep(REST).await;
        let calls_at_rest = self.store.take_counts().calls;
        self.store.set_mode(StoreMode::Busy);
        tokio::time::sleep(OUTAGE).await;
        let _away = self.store.take_counts();
        self.store.set_mode(StoreMode::Serving);
        tokio::time::sleep(SETTLED_AGAIN).await;
        let rows_after_outage = self.store.take_counts().rows;
        self.restart().await;
        tokio::time::sleep(KNOWN_AFTER).await;
        let mut held = self.held().await;
        held.sort_unstable();
        assert!(held[0] > 0, "all hosts know backend servers {KNOWN_AFTER:?} after they started");
        let restart = self.store.take_counts();
        self.cancel.cancel();
        FleetCosts {
            held: held[held.len() / 2],
            most_held: held.last().copied().unwrap_or_default(),
            rows_at_start,
            calls_at_rest,
            rows_after_outage,
            calls_at_restart: restart.calls,
            rows_at_restart: restart.rows,
        }
    }
}

fn backend_row(number: usize) -> String {
    let (service, kind) = match (number % PLAIN_EACH, number % 3) {
        (0, _) => ("plain", StandinKind::Plain),
        (_, 0) => ("pool", StandinKind::Prefill),
        (_, _) => ("pool", StandinKind::Decode),
    };
    let address = SocketAddr::new(node(2, number), 9000);
    let failure_domain = &format!("domain-{}", number % DOMAINS);
    let slots = MOST_SLOTS;
    BackendRow { service, address, failure_domain, kind, state: "ready", slots }.text(1)
}

fn host_config(number: usize, hosts: usize) -> RouterConfig {
    let seeds = [0, hosts / 2, hosts - 1];
    RouterConfig {
        host: format!("host-{number}").into(),
        failure_domain: format!("domain-{}", number % DOMAINS).into(),
        change_limit: Duration::from_secs(4),
        first_start: true,
        seeds: seeds.map(|seed| SocketAddr::new(node(1, seed), 8146)).to_vec(),
        link_mbps: if number / DOMAINS < WIDE_HOSTS { 1000.0 } else { 20.0 },
        budget: BudgetTerms { ratio: 0.2, window: Duration::from_secs(10), extra: 1040.0 },
        share_rule: ShareRule::Fixed(0.33),
        ..fleet::settings_at(node(1, number), store_address())
    }
}

struct CostCase {
    hosts: usize,
    /// Backend servers that the middle host holds at most.
    held: usize,
}

/// Backend servers that a host of a large fleet holds at most: some dozens of each service, and enough that each
/// backend server has hosts that send to it.
const MOST_HELD: usize = 450;
/// Hosts that read the whole tables from the store when all start again: roots, and others that take their
/// place.
const WHOLE_READERS: usize = 6;
/// The same at the first start: the seeds, roots, and some that heard of neither in time.
const FIRST_READERS: usize = 8;
/// Calls to the store with which a host finds out, after it has started, from whom it takes the tables.
const CALLS_A_HOST: usize = 3;
/// Rows that it reads for that: six hosts of each failure domain.
const ROWS_A_HOST: usize = 40;
/// Calls of a fleet at rest in that time, however many hosts it has: those of its roots, a question each second and
/// a half for each of three tables, and the lease of orders.
const CALLS_AT_REST: usize = 220;

#[tokio::test(start_paused = true)]
async fn what_a_host_holds_and_reads_does_not_grow_with_the_fleet() {
    let cases = [CostCase { hosts: 30, held: 300 }, CostCase { hosts: 100, held: MOST_HELD }];
    for case in cases {
        let CostCase { hosts, held } = case;
        let costs = CountedFleet::start(hosts).await.costs().await;
        let backends = hosts * BACKENDS_A_HOST;
        println!(
            "hosts={hosts} held={} most_held={} rows_at_start={} calls_at_rest={} rows_after_outage={} calls_at_restart={} rows_at_restart={}",
            costs.held,
            costs.most_held,
            costs.rows_at_start,
            costs.calls_at_rest,
            costs.rows_after_outage,
            costs.calls_at_restart,
            costs.rows_at_restart,
        );
        assert!(costs.held <= held, "{hosts} hosts: the middle one holds {}", costs.held);
        assert_eq!(costs.most_held, backends, "{hosts} hosts: some hold all, for the others");
        let rows = FIRST_READERS * backends;
        assert!(costs.rows_at_start <= rows, "{hosts} hosts: {} rows", costs.rows_at_start);
        assert!(costs.calls_at_rest <= CALLS_AT_REST, "{hosts} hosts: {}", costs.calls_at_rest);
        let rows = WHOLE_READERS * backends + hosts * ROWS_A_HOST;
        assert!(costs.rows_after_outage <= rows, "{hosts} hosts: {}", costs.rows_after_outage);
        assert!(costs.rows_at_restart <= rows, "{hosts} hosts: {} rows", costs.rows_at_restart);
        let calls = WHOLE_READERS * backends.div_ceil(500) + hosts * CALLS_A_HOST;
        assert!(costs.calls_at_restart <= calls, "{hosts} hosts: {} calls", costs.calls_at_restart);
    }
}

/// Time between two changes of other rows in the table of hosts.
const OTHERS_CHANGE: Duration = Duration::from_millis(100);

/// Each change of another row put off the moment at which a host records itself, or had it record itself again.
#[tokio::test(start_paused = true)]
async fn other_rows_kept_hosts_from_recording_themselves_once() {
    const HOSTS: usize = 30;
    let mut fleet = CountedFleet::start(0).await;
    let _before = fleet.store.take_counts();
    let store = fleet.store.clone();
    let others = tokio::spawn(async move {
        for number in 0_u64.. {
            store.write(dillspool_site::OWN_TABLE, "suspects/other", Some(&number.to_string()));
            tokio::time::sleep(OTHERS_CHANGE).await;
        }
    });
    fleet.configs = (0..HOSTS).map(|number| host_config(number, HOSTS)).collect();
    fleet.start_hosts(true).await;
    tokio::time::sleep(SETTLING).await;
    others.abort();
    // Six hosts of each of five failure domains: all of them, and nothing else is written without engines.
    assert_eq!(fleet.store.take_counts().writes, HOSTS);
    fleet.cancel.cancel();
}
