//! Which orders a fleet of hosts gives as engines come, crash and stay away.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dillspool_capacity::DemandMeter;
use dillspool_forward::{BackendCalls, CallError, OrderOutcome, ProbeResult};
use dillspool_io::HostClock;
use dillspool_platform::MemoryTable;
use dillspool_roles::{BackoffFn, PoolTargets, ReconcilerSettings, ShareRule, reconcile_stages};
use dillspool_routing::{
    BackendEntry, BackendInstance, BackendStart, BackendState, ClientLimits, DirectoryView,
    EnginePool, EngineStage, RouteTable, RoutingConfig, ServiceEntry,
};
use hyper::StatusCode;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const HOSTS: u64 = 3;

fn config() -> RoutingConfig {
    let pool = EnginePool {
        slots: 64,
        memory_tokens: 40_000,
        handle_ttl: Duration::from_millis(500),
        max_reservation_ttl: Duration::from_secs(2),
        stage_switch_time: Duration::from_secs(6),
    };
    let service = ServiceEntry {
        name: "pool".into(),
        health_path: "/".into(),
        max_connections: 100,
        engine: Some(pool),
    };
    RoutingConfig {
        version: 1,
        routes: RouteTable::default(),
        services: BTreeMap::from([("pool".into(), service)]),
        workspaces: None,
        limits: ClientLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
    }
}

/// A pool of `prefill` engines named `p0` and on, and `decode` ones named `d0` and on.
fn view(prefill: usize, decode: usize) -> Arc<DirectoryView> {
    view_since(None, prefill, decode)
}

/// The same, of engines that tell their start.
fn view_since(start: Option<u64>, prefill: usize, decode: usize) -> Arc<DirectoryView> {
    let named = |count, prefix: &'static str, stage| {
        (0..count).map(move |at| (format!("{prefix}{at}"), stage))
    };
    let engines = named(prefill, "p", EngineStage::Prefill);
    let engines = engines.chain(named(decode, "d", EngineStage::Decode));
    let entries = engines.map(|(id, stage)| {
        let entry = BackendEntry {
            id: id.into(),
            start: start.map(BackendStart),
            service: "pool".into(),
            address: ([127, 0, 0, 1], 9).into(),
            failure_domain: "domain".into(),
            state: BackendState::Ready,
            stage: Some(stage),
            slots: None,
        };
        (Arc::clone(&entry.id), Arc::new(entry))
    });
    Arc::new(DirectoryView {
        version: 1.into(),
        entries: entries.collect(),
        ..DirectoryView::default()
    })
}

fn refused() -> CallError {
    CallError::Refused { status: StatusCode::NOT_FOUND }
}

/// Calls of which orders alone are taken and noted.
fn calls(orders: &Arc<Mutex<Vec<String>>>) -> BackendCalls {
    let orders = Arc::clone(orders);
    BackendCalls {
        forward: Arc::new(|_entry, _request, _terms| Box::pin(async { Err(refused()) })),
        prefill: Arc::new(|_entry, _request, _terms| Box::pin(async { Err(refused()) })),
        reserve: Arc::new(|_entry, _terms| Box::pin(async { Err(refused()) })),
        release_reservation: Arc::new(|_entry, _hold| Box::pin(async { Ok(()) })),
        release_prefill: Arc::new(|_entry, _handle| Box::pin(async { Ok(()) })),
        probe: Arc::new(|_entry| Box::pin(async { ProbeResult::Reachable })),
        order: Arc::new(move |entry, order| {
            orders.lock().unwrap().push(format!("{} {:?}", entry.id, order.stage));
            Box::pin(async { Ok(OrderOutcome::Started) })
        }),
    }
}

/// Keepers of all hosts over one table, each with a delay of its own.
fn start_keepers(
    table: &MemoryTable,
    orders: &Arc<Mutex<Vec<String>>>,
    config: &watch::Receiver<Option<Arc<RoutingConfig>>>,
    listed: &watch::Receiver<Arc<DirectoryView>>,
    cancel: &CancellationToken,
) {
    start_keepers_with(
        table,
        orders,
        config,
        listed,
        &(Arc::new(|_engine: &BackendInstance| false) as BackoffFn),
        cancel,
    );
}

/// The same, of engines of which some want nothing for now.
fn start_keepers_with(
    table: &MemoryTable,
    orders: &Arc<Mutex<Vec<String>>>,
    config: &watch::Receiver<Option<Arc<RoutingConfig>>>,
    listed: &watch::Receiver<Arc<DirectoryView>>,
    rests: &BackoffFn,
    cancel: &CancellationToken,
) {
    for host in 0..HOSTS {
        let settings = ReconcilerSettings {
            host: format!("host-{host}").into(),
            targets: PoolTargets::new(ShareRule::Fixed(0.33), DemandMeter::default()),
            handover_gap: Duration::from_secs(3),
            is_first_start: true,
            clock: HostClock::steady(),
            delay: Arc::new(move || Duration::from_secs(host)),
            is_backing_off: Arc::clone(rests),
        };
        tokio::spawn(reconcile_stages(
            settings,
            table.store(),
            calls(orders),
            config.clone(),
            listed.clone(),
            cancel.clone(),
        ));
    }
}

struct KeeperCase {
    name: &'static str,
    /// Engines that prefill and decode at first, and later.
    at_first: (usize, usize),
    later: (usize, usize),
    /// Orders within 15 s of the start, and within so many seconds of the change.
    ordered_at_first: &'static [&'static str],
    seconds: u64,
    ordered_later: &'static [&'static str],
}

#[tokio::test(start_paused = true)]
async fn one_host_orders_what_the_pool_lacks() {
    let cases = [
        KeeperCase {
            name: "a pool that is as it should be",
            at_first: (3, 6),
            later: (3, 6),
            ordered_at_first: &[],
            seconds: 100,
            ordered_later: &[],
        },
        KeeperCase {
            name: "one prefill engine too many, once",
            at_first: (4, 5),
            later: (3, 6),
            ordered_at_first: &["p0 Decode"],
            seconds: 100,
            ordered_later: &[],
        },
        KeeperCase {
            name: "one of three has crashed: it may return",
            at_first: (3, 6),
            later: (2, 6),
            ordered_at_first: &[],
            seconds: 25,
            ordered_later: &[],
        },
        KeeperCase {
            name: "one of three stays away",
            at_first: (3, 6),
            later: (2, 6),
            ordered_at_first: &[],
            seconds: 45,
            ordered_later: &["d0 Prefill"],
        },
        KeeperCase {
            name: "one of three is left: at once",
            at_first: (3, 6),
            later: (1, 6),
            ordered_at_first: &[],
            seconds: 15,
            ordered_later: &["d0 Prefill"],
        },
    ];
    for case in cases {
        let table = MemoryTable::new();
        let orders = Arc::default();
        let (_config, config) = watch::channel(Some(Arc::new(config())));
        let (directory, listed) = watch::channel(view(case.at_first.0, case.at_first.1));
        let cancel = CancellationToken::new();
        start_keepers(&table, &orders, &config, &listed, &cancel);
        tokio::time::sleep(Duration::from_secs(15)).await;
        let taken = || std::mem::take(&mut *orders.lock().unwrap());
        assert_eq!(taken(), case.ordered_at_first, "{}", case.name);
        directory.send_replace(view(case.later.0, case.later.1));
        tokio::time::sleep(Duration::from_secs(case.seconds)).await;
        assert_eq!(taken(), case.ordered_later, "{}", case.name);
        cancel.cancel();
    }
}

/// An engine that was ordered and starts again before it has changed knows nothing of the order.
#[tokio::test(start_paused = true)]
async fn a_start_is_ordered_anew() {
    let starts = [(Some(9), Some(7), 2), (Some(9), Some(9), 1), (None, None, 1)];
    for (before, after, ordered) in starts {
        let (table, orders) = (MemoryTable::new(), Arc::default());
        let (_config, config) = watch::channel(Some(Arc::new(config())));
        let (directory, listed) = watch::channel(view_since(before, 4, 5));
        let cancel = CancellationToken::new();
        start_keepers(&table, &orders, &config, &listed, &cancel);
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(orders.lock().unwrap().len(), 1, "{before:?}");
        directory.send_replace(view_since(after, 4, 5));
        tokio::time::sleep(Duration::from_secs(12)).await;
        assert_eq!(orders.lock().unwrap().len(), ordered, "{before:?} {after:?}");
        cancel.cancel();
    }
}

/// An engine that has asked for rest is ordered when that is over, and no other one in its place.
#[tokio::test(start_paused = true)]
async fn an_engine_is_not_ordered_in_a_rest() {
    let (table, orders) = (MemoryTable::new(), Arc::default());
    let (_config, config) = watch::channel(Some(Arc::new(config())));
    let (_directory, listed) = watch::channel(view(4, 5));
    let cancel = CancellationToken::new();
    let rested = tokio::time::Instant::now() + Duration::from_secs(20);
    let rests: BackoffFn =
        Arc::new(move |engine| &*engine.id == "p0" && tokio::time::Instant::now() < rested);
    start_keepers_with(&table, &orders, &config, &listed, &rests, &cancel);
    tokio::time::sleep_until(rested).await;
    assert_eq!(*orders.lock().unwrap(), [""; 0]);
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(*orders.lock().unwrap(), ["p0 Decode"]);
    cancel.cancel();
}
