//! Which orders the hosts of a fleet send as engines join, crash and stay away.

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
    EnginePool, EngineStage, RouteTable, RoutingConfig, ServiceEntry, SoftwareVersion,
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

/// A pool of `prefill` engines named `p0` and on, and `decode` engines named `d0` and on.
fn view(prefill: usize, decode: usize) -> Arc<DirectoryView> {
    view_since(None, prefill, decode)
}

/// The same, with engines that report their start.
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
            software: SoftwareVersion::default(),
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

/// Backend calls of which only orders succeed; these are recorded.
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

/// Starts the reconcilers of all hosts over one table, each with a delay of its own.
fn start_reconcilers(
    table: &MemoryTable,
    orders: &Arc<Mutex<Vec<String>>>,
    config: &watch::Receiver<Option<Arc<RoutingConfig>>>,
    listed: &watch::Receiver<Arc<DirectoryView>>,
    cancel: &CancellationToken,
) {
    start_reconcilers_with(
        table,
        orders,
        config,
        listed,
        &(Arc::new(|_engine: &BackendInstance| false) as BackoffFn),
        cancel,
    );
}

/// The same, with engines of which some have asked the hosts to back off.
fn start_reconcilers_with(
    table: &MemoryTable,
    orders: &Arc<Mutex<Vec<String>>>,
    config: &watch::Receiver<Option<Arc<RoutingConfig>>>,
    listed: &watch::Receiver<Arc<DirectoryView>>,
    is_backing_off: &BackoffFn,
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
            is_backing_off: Arc::clone(is_backing_off),
            has_lost_links: Arc::new(|_service| false),
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

struct ReconcilerCase {
    name: &'static str,
    /// Engines that prefill and decode at first, and later.
    initial: (usize, usize),
    later: (usize, usize),
    /// Orders within 15 s of the start, and within `seconds` of the change.
    ordered_initially: &'static [&'static str],
    seconds: u64,
    ordered_later: &'static [&'static str],
}

#[tokio::test(start_paused = true)]
async fn one_host_orders_what_the_pool_lacks() {
    let cases = [
        ReconcilerCase {
            name: "the pool matches its target",
            initial: (3, 6),
            later: (3, 6),
            ordered_initially: &[],
            seconds: 100,
            ordered_later: &[],
        },
        ReconcilerCase {
            name: "one prefill engine too many, once",
            initial: (4, 5),
            later: (3, 6),
            ordered_initially: &["p0 Decode"],
            seconds: 100,
            ordered_later: &[],
        },
        ReconcilerCase {
            name: "one of three has crashed and may return",
            initial: (3, 6),
            later: (2, 6),
            ordered_initially: &[],
            seconds: 25,
            ordered_later: &[],
        },
        ReconcilerCase {
            name: "one of three stays away",
            initial: (3, 6),
            later: (2, 6),
            ordered_initially: &[],
            seconds: 45,
            ordered_later: &["d0 Prefill"],
        },
        ReconcilerCase {
            name: "one of three is left: at once",
            initial: (3, 6),
            later: (1, 6),
            ordered_initially: &[],
            seconds: 15,
            ordered_later: &["d0 Prefill"],
        },
    ];
    for case in cases {
        let table = MemoryTable::new();
        let orders = Arc::default();
        let (_config, config) = watch::channel(Some(Arc::new(config())));
        let (directory, listed) = watch::channel(view(case.initial.0, case.initial.1));
        let cancel = CancellationToken::new();
        start_reconcilers(&table, &orders, &config, &listed, &cancel);
        tokio::time::sleep(Duration::from_secs(15)).await;
        let taken = || std::mem::take(&mut *orders.lock().unwrap());
        assert_eq!(taken(), case.ordered_initially, "{}", case.name);
        directory.send_replace(view(case.later.0, case.later.1));
        tokio::time::sleep(Duration::from_secs(case.seconds)).await;
        assert_eq!(taken(), case.ordered_later, "{}", case.name);
        cancel.cancel();
    }
}

/// An engine that was ordered and starts again before it has switched does not know of the order,
/// so it must be ordered again.
#[tokio::test(start_paused = true)]
async fn a_restarted_engine_is_ordered_again() {
    let starts = [(Some(9), Some(7), 2), (Some(9), Some(9), 1), (None, None, 1)];
    for (before, after, ordered) in starts {
        let (table, orders) = (MemoryTable::new(), Arc::default());
        let (_config, config) = watch::channel(Some(Arc::new(config())));
        let (directory, listed) = watch::channel(view_since(before, 4, 5));
        let cancel = CancellationToken::new();
        start_reconcilers(&table, &orders, &config, &listed, &cancel);
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(orders.lock().unwrap().len(), 1, "{before:?}");
        directory.send_replace(view_since(after, 4, 5));
        tokio::time::sleep(Duration::from_secs(12)).await;
        assert_eq!(orders.lock().unwrap().len(), ordered, "{before:?} {after:?}");
        cancel.cancel();
    }
}

/// An engine that has asked for a backoff is ordered when that is over, and no other engine in its
/// place.
#[tokio::test(start_paused = true)]
async fn an_engine_is_not_ordered_during_its_backoff() {
    let (table, orders) = (MemoryTable::new(), Arc::default());
    let (_config, config) = watch::channel(Some(Arc::new(config())));
    let (_directory, listed) = watch::channel(view(4, 5));
    let cancel = CancellationToken::new();
    let backoff_end = tokio::time::Instant::now() + Duration::from_secs(20);
    let is_backing_off: BackoffFn =
        Arc::new(move |engine| &*engine.id == "p0" && tokio::time::Instant::now() < backoff_end);
    start_reconcilers_with(&table, &orders, &config, &listed, &is_backing_off, &cancel);
    tokio::time::sleep_until(backoff_end).await;
    assert_eq!(*orders.lock().unwrap(), [""; 0]);
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(*orders.lock().unwrap(), ["p0 Decode"]);
    cancel.cancel();
}

/// The first host has lost its links to the engines. Guards against its orders, which no engine gets, keeping the other
/// hosts from ordering the same engines.
#[tokio::test(start_paused = true)]
async fn a_host_without_links_leaves_orders_to_others() {
    let (table, orders) = (MemoryTable::new(), Arc::default());
    let (_config, config) = watch::channel(Some(Arc::new(config())));
    let (_directory, listed) = watch::channel(view(4, 5));
    let cancel = CancellationToken::new();
    for host in 0..HOSTS {
        let has_links = host > 0;
        let lost = CallError::NotSent { reason: "links lost".to_owned() };
        let mut calls = calls(&orders);
        if !has_links {
            calls.order = Arc::new(move |_entry, _order| {
                let lost = lost.clone();
                Box::pin(async { Err(lost) })
            });
        }
        let settings = ReconcilerSettings {
            host: format!("host-{host}").into(),
            targets: PoolTargets::new(ShareRule::Fixed(0.33), DemandMeter::default()),
            handover_gap: Duration::from_secs(3),
            is_first_start: true,
            clock: HostClock::steady(),
            delay: Arc::new(move || Duration::from_secs(host * 2)),
            is_backing_off: Arc::new(|_engine| false),
            has_lost_links: Arc::new(move |_service| !has_links),
        };
        let (table, cancel) = (table.store(), cancel.clone());
        tokio::spawn(reconcile_stages(
            settings,
            table,
            calls,
            config.clone(),
            listed.clone(),
            cancel,
        ));
    }
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(*orders.lock().unwrap(), ["p0 Decode"]);
    cancel.cancel();
}
