//! Freshness of one table says nothing about another one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dillspool_cases::ClockJumps;
use dillspool_io::{MemoryNet, StallDetector};
use dillspool_platform::{ChangedRow, PlatformError, TableDelta, TableWatch, WatchError};
use dillspool_schema::Name;
use dillspool_watch::{
    FollowRole, FollowSettings, RelayPeers, RelayService, SharedReplica, StoreReachability,
    follow_table, relay_from_peers, serve_relay,
};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

/// Time in which a change must be in force.
const LIMIT: Duration = Duration::from_secs(3);
/// Table whose access the cases change.
const CONFIG: &str = "op";
/// Table for which the store always answers.
const BACKENDS: &str = "servers";

/// How the store answers one host's requests for the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Access {
    Served,
    Rejected,
    NoResponse,
    /// Changes are compacted, and snapshot reads get no response.
    HistoryGone,
    /// Changes are compacted, and snapshot reads are rejected.
    HistoryGoneAndRejected,
    /// Requests for all tables get no response.
    CutOff,
}

#[derive(Clone, Default)]
struct TestStore {
    versions: Arc<Mutex<BTreeMap<Name, u64>>>,
    changed: Arc<Notify>,
}

impl TestStore {
    /// A store with one row in each table.
    fn with_rows() -> Self {
        let store = Self::default();
        store.write(CONFIG);
        store.write(BACKENDS);
        store
    }

    fn write(&self, table: &str) {
        *self.versions.lock().unwrap().entry(table.into()).or_default() += 1;
        self.changed.notify_waiters();
    }

    fn version(&self, table: &str) -> u64 {
        self.versions.lock().unwrap().get(table).copied().unwrap_or_default()
    }

    fn delta(&self, table: &str, full: bool, after: u64) -> TableDelta {
        let version = self.version(table);
        let row =
            ChangedRow { key: "row".into(), version: version.into(), value: Some("text".into()) };
        let rows = if version > after { vec![row] } else { Vec::new() };
        TableDelta { full, version: version.into(), rows }
    }

    fn watch(&self, access: &watch::Receiver<Access>) -> TableWatch {
        let (store, other) = (self.clone(), self.clone());
        let (snapshot_access, changes_access) = (access.clone(), access.clone());
        TableWatch {
            snapshot: Arc::new(move |table| {
                let store = store.clone();
                let access = access_to(&table, *snapshot_access.borrow());
                Box::pin(async move {
                    match access {
                        Access::Served => Ok(store.delta(&table, true, 0)),
                        Access::Rejected | Access::HistoryGoneAndRejected => Err(rejected()),
                        Access::NoResponse | Access::HistoryGone | Access::CutOff => {
                            std::future::pending().await
                        }
                    }
                })
            }),
            changes: Arc::new(move |table, after, wait| {
                let store = other.clone();
                let access = access_to(&table, *changes_access.borrow());
                Box::pin(async move {
                    match access {
                        Access::Served => {}
                        Access::Rejected => {
                            return Err(WatchError::Store { source: rejected() });
                        }
                        Access::NoResponse | Access::CutOff => std::future::pending().await,
                        Access::HistoryGone | Access::HistoryGoneAndRejected => {
                            return Err(WatchError::HistoryGone);
                        }
                    }
                    let changed = store.changed.notified();
                    if store.version(&table) <= after.into() {
                        let _changed = tokio::time::timeout(wait, changed).await;
                    }
                    Ok(store.delta(&table, false, after.into()))
                })
            }),
        }
    }
}

fn access_to(table: &str, access: Access) -> Access {
    if table == CONFIG || access == Access::CutOff { access } else { Access::Served }
}

fn rejected() -> PlatformError {
    PlatformError::NotDone { reason: "rejected".to_owned() }
}

struct TestHost {
    /// Suspends the host.
    jumps: ClockJumps,
    config: SharedReplica,
    backends: SharedReplica,
    access: watch::Sender<Access>,
}

/// Starts a host that receives its tables from a peer if it has one.
async fn start_host(
    net: &MemoryNet,
    store: &TestStore,
    own: &str,
    source: Option<&str>,
    role: FollowRole,
) -> TestHost {
    let cancel = CancellationToken::new();
    let jumps = ClockJumps::default();
    let awake = StallDetector::start(jumps.clock(), cancel.clone());
    let config = SharedReplica::new(CONFIG.into(), awake.clone());
    let backends = SharedReplica::new(BACKENDS.into(), awake);
    let (access, reader) = watch::channel(Access::Served);
    let status = watch::Sender::new(StoreReachability::unknown());
    let settings = FollowSettings::new(Duration::from_millis(2500), LIMIT);
    for (replica, is_probe) in [(&config, true), (&backends, false)] {
        tokio::spawn(follow_table(
            store.watch(&reader),
            replica.clone(),
            status.clone(),
            FollowSettings { is_probe, ..settings.clone() },
            watch::channel(role).1,
            cancel.clone(),
        ));
    }
    let own: SocketAddr = own.parse().unwrap();
    let stack = net.stack(own.ip());
    let listener = stack.listen(own).await.expect("a free address");
    let replicas = vec![config.clone(), backends.clone()];
    tokio::spawn(serve_relay(
        listener,
        RelayService::new(replicas.clone(), status.subscribe(), LIMIT),
        cancel.clone(),
    ));
    let all: Vec<SocketAddr> = source.iter().map(|peer| peer.parse().unwrap()).collect();
    // A source connects to peers only while the store is unreachable.
    let sources = if role == FollowRole::Relayed { all.clone() } else { Vec::new() };
    let peers =
        move || RelayPeers { sources: sources.clone(), all: all.clone(), subset_seed: None };
    tokio::spawn(relay_from_peers(stack, peers, replicas, status, cancel));
    TestHost { jumps, config, backends, access }
}

async fn advance(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

struct FreshnessCase {
    name: &'static str,
    /// How the store answers the root of the relays for the configuration.
    root: Access,
    /// Hosts between the root and the last one.
    between: usize,
}

#[tokio::test(start_paused = true)]
async fn a_table_that_its_source_cannot_refresh_is_polled() {
    let case = |name, root, between| FreshnessCase { name, root, between };
    let cases = [
        case("rejected", Access::Rejected, 0),
        case("no response", Access::NoResponse, 0),
        case("history gone", Access::HistoryGone, 0),
        case("history gone, rejected", Access::HistoryGoneAndRejected, 0),
        case("no response, two relays deep", Access::NoResponse, 1),
        case("history gone, two relays deep", Access::HistoryGone, 1),
        case("history gone, three relays deep", Access::HistoryGone, 2),
    ];
    for case in cases {
        let (store, net) = (TestStore::with_rows(), MemoryNet::new());
        let root = start_host(&net, &store, "10.0.0.1:8146", None, FollowRole::Source).await;
        advance(100).await;
        let mut hosts = vec![root];
        for number in 0..=case.between {
            let own = format!("10.0.0.{}:8146", number + 2);
            let source = format!("10.0.0.{}:8146", number + 1);
            let role = FollowRole::Relayed;
            hosts.push(start_host(&net, &store, &own, Some(source.as_str()), role).await);
            advance(1500).await;
        }
        advance(4000).await;
        hosts[0].access.send_replace(case.root);
        // The other table changes constantly, which must not keep the configuration fresh.
        let noise = store.clone();
        let busy = tokio::spawn(async move {
            loop {
                advance(200).await;
                noise.write(BACKENDS);
            }
        });
        advance(900).await;
        store.write(CONFIG);
        let written = store.version(CONFIG);
        advance(LIMIT.as_millis().try_into().unwrap()).await;
        for (place, host) in hosts.iter().enumerate().skip(1) {
            assert_eq!(host.config.version(), written.into(), "{}, host {place}", case.name);
        }
        busy.abort();
    }
}

/// Guards against stale tables that two hosts relay to each other: one of them is cut off from the
/// store, and its tables must not count as fresh because they come back from the other, although
/// the tables change and age at different times.
#[tokio::test(start_paused = true)]
async fn a_relay_cycle_does_not_keep_tables_fresh() {
    for (config_every, backends_every) in [(700, 1100), (2300, 300), (300, 2300), (5000, 1900)] {
        let (store, net) = (TestStore::with_rows(), MemoryNet::new());
        let (one, other) = ("10.0.0.1:8146", "10.0.0.2:8146");
        let root = start_host(&net, &store, one, Some(other), FollowRole::Source).await;
        let relayed = start_host(&net, &store, other, Some(one), FollowRole::Relayed).await;
        advance(5000).await;
        root.access.send_replace(Access::CutOff);
        let mut history = Vec::new();
        for step in 1..300_u64 {
            advance(100).await;
            let now = step * 100;
            if now.is_multiple_of(config_every) {
                store.write(CONFIG);
            }
            if now.is_multiple_of(backends_every) {
                store.write(BACKENDS);
            }
            history.push((now, store.version(CONFIG), store.version(BACKENDS)));
            // A poll in progress at the start of the outage must first time out.
            let limit =
                u64::try_from(LIMIT.as_millis()).unwrap() + if now < 8000 { 2000 } else { 0 };
            let due = history.iter().rev().find(|(at, ..)| at + limit <= now);
            let Some((at, config, backends)) = due else { continue };
            for host in [&root, &relayed] {
                let name = format!("{config_every}, {backends_every}, of {at} at {now}");
                assert!(host.config.version() >= (*config).into(), "configuration: {name}");
                assert!(host.backends.version() >= (*backends).into(), "backend servers: {name}");
            }
        }
    }
}

struct SuspendedCase {
    name: &'static str,
    /// How the store answers the source after it resumes.
    root: Access,
    suspended_ms: u64,
}

#[tokio::test(start_paused = true)]
async fn a_suspended_source_does_not_count_as_fresh() {
    let case = |name, root, suspended_ms| SuspendedCase { name, root, suspended_ms };
    let cases = [
        case("its poll gets no response", Access::NoResponse, 10_000),
        case("its poll is rejected", Access::Rejected, 10_000),
        case("for an hour", Access::NoResponse, 3_600_000),
    ];
    for case in cases {
        let (store, net) = (TestStore::with_rows(), MemoryNet::new());
        let root = start_host(&net, &store, "10.0.0.1:8146", None, FollowRole::Source).await;
        advance(100).await;
        let source = Some("10.0.0.1:8146");
        let last = start_host(&net, &store, "10.0.0.2:8146", source, FollowRole::Relayed).await;
        advance(3000).await;
        assert!(last.config.age().is_some_and(|age| age < LIMIT), "{}: before", case.name);
        root.access.send_replace(case.root);
        root.jumps.suspend(Duration::from_millis(case.suspended_ms));
        let suspended = Duration::from_millis(case.suspended_ms);
        assert!(root.config.age().is_some_and(|age| age >= suspended), "{}: its own", case.name);
        // The peer has received nothing newer than before the suspension, and polls the store
        // itself in time.
        store.write(CONFIG);
        let newest = store.version(CONFIG);
        advance(u64::try_from(LIMIT.as_millis()).expect("small")).await;
        assert_eq!(last.config.version(), newest.into(), "{}", case.name);
    }
}

/// Guards against a poll that was lost while the host was suspended and delays the table until its
/// timeout: three seconds after it resumed the host still acted on the old configuration.
#[tokio::test(start_paused = true)]
async fn a_resumed_host_does_not_wait_for_a_lost_poll() {
    let (store, net) = (TestStore::with_rows(), MemoryNet::new());
    let host = start_host(&net, &store, "10.0.0.1:8146", None, FollowRole::Alone).await;
    advance(5000).await;
    host.access.send_replace(Access::NoResponse);
    // This makes the next poll the one that is lost.
    store.write(CONFIG);
    advance(500).await;
    host.access.send_replace(Access::Served);
    host.jumps.suspend(Duration::from_secs(10));
    store.write(CONFIG);
    advance(1000).await;
    assert_eq!(host.config.version(), store.version(CONFIG).into());
}

/// Guards against counting a response that was awaited during a suspension as fresh. It reflects the
/// time before, so the host went on with outdated tables until its next poll was answered, and
/// refused what it could not check against current ones.
#[tokio::test(start_paused = true)]
async fn a_resumed_host_polls_for_changes_at_once() {
    for after_poll_ms in [100, 700, 1500, 2300] {
        let (store, net) = (TestStore::with_rows(), MemoryNet::new());
        let host = start_host(&net, &store, "10.0.0.1:8146", None, FollowRole::Alone).await;
        advance(5000).await;
        // This starts the next poll.
        store.write(CONFIG);
        store.write(BACKENDS);
        advance(400 + after_poll_ms).await;
        host.jumps.suspend(Duration::from_secs(1));
        advance(800).await;
        for (table, replica) in
            [("configuration", &host.config), ("backend servers", &host.backends)]
        {
            let age = replica.age().expect("it is known");
            assert!(age < Duration::from_millis(900), "{after_poll_ms} ms: {table} is {age:?} old");
        }
    }
}
