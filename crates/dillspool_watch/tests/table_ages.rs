//! What is known of one table says nothing of another one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dillspool_cases::ClockJumps;
use dillspool_io::{AwakeWatch, MemoryNet};
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
/// Table that the cases disturb.
const CONFIG: &str = "op";
/// Table that the store always answers for.
const BACKENDS: &str = "servers";

/// How the store answers one host about the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Access {
    Served,
    TurnedAway,
    Silent,
    /// Changes are gone, and whole reads get no answer.
    HistoryGone,
    /// Changes are gone, and whole reads are turned away.
    HistoryGoneAndTurnedAway,
    /// No question about any table gets an answer.
    CutOff,
}

#[derive(Clone, Default)]
struct TestStore {
    versions: Arc<Mutex<BTreeMap<Name, u64>>>,
    changed: Arc<Notify>,
}

impl TestStore {
    /// A store with a row in each table.
    fn written() -> Self {
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
        let (for_snapshot, for_changes) = (access.clone(), access.clone());
        TableWatch {
            snapshot: Arc::new(move |table| {
                let store = store.clone();
                let access = access_to(&table, *for_snapshot.borrow());
                Box::pin(async move {
                    match access {
                        Access::Served => Ok(store.delta(&table, true, 0)),
                        Access::TurnedAway | Access::HistoryGoneAndTurnedAway => Err(turned_away()),
                        Access::Silent | Access::HistoryGone | Access::CutOff => {
                            std::future::pending().await
                        }
                    }
                })
            }),
            changes: Arc::new(move |table, after, wait| {
                let store = other.clone();
                let access = access_to(&table, *for_changes.borrow());
                Box::pin(async move {
                    match access {
                        Access::Served => {}
                        Access::TurnedAway => {
                            return Err(WatchError::Store { source: turned_away() });
                        }
                        Access::Silent | Access::CutOff => std::future::pending().await,
                        Access::HistoryGone | Access::HistoryGoneAndTurnedAway => {
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

fn turned_away() -> PlatformError {
    PlatformError::NotDone { reason: "turned away".to_owned() }
}

struct TestHost {
    /// Suspends it.
    jumps: ClockJumps,
    config: SharedReplica,
    backends: SharedReplica,
    access: watch::Sender<Access>,
}

/// A host that takes its tables from a peer where it has one.
async fn host(
    net: &MemoryNet,
    store: &TestStore,
    own: &str,
    source: Option<&str>,
    role: FollowRole,
) -> TestHost {
    let cancel = CancellationToken::new();
    let jumps = ClockJumps::default();
    let awake = AwakeWatch::start(jumps.clock(), cancel.clone());
    let config = SharedReplica::new(CONFIG.into(), awake.clone());
    let backends = SharedReplica::new(BACKENDS.into(), awake);
    let (access, reader) = watch::channel(Access::Served);
    let reach = watch::Sender::new(StoreReachability::unknown());
    let settings = FollowSettings::new(Duration::from_millis(2500), LIMIT);
    for (belief, is_probe) in [(&config, true), (&backends, false)] {
        tokio::spawn(follow_table(
            store.watch(&reader),
            belief.clone(),
            reach.clone(),
            FollowSettings { is_probe, ..settings.clone() },
            watch::channel(role).1,
            cancel.clone(),
        ));
    }
    let own: SocketAddr = own.parse().unwrap();
    let stack = net.stack(own.ip());
    let listener = stack.listen(own).await.expect("a free address");
    let beliefs = vec![config.clone(), backends.clone()];
    tokio::spawn(serve_relay(
        listener,
        RelayService::new(beliefs.clone(), reach.subscribe(), LIMIT),
        cancel.clone(),
    ));
    let all: Vec<SocketAddr> = source.iter().map(|peer| peer.parse().unwrap()).collect();
    // A source asks its peers only while the store is out of reach.
    let sources = if role == FollowRole::Relayed { all.clone() } else { Vec::new() };
    let peers =
        move || RelayPeers { sources: sources.clone(), all: all.clone(), subset_seed: None };
    tokio::spawn(relay_from_peers(stack, peers, beliefs, reach, cancel));
    TestHost { jumps, config, backends, access }
}

async fn pass(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

struct AgeCase {
    name: &'static str,
    /// What the root of the relays meets when it asks for the configuration.
    root: Access,
    /// Hosts between the root and the last one.
    between: usize,
}

#[tokio::test(start_paused = true)]
async fn a_table_that_its_source_does_not_hear_of_is_asked_for() {
    let case = |name, root, between| AgeCase { name, root, between };
    let cases = [
        case("turned away", Access::TurnedAway, 0),
        case("silent", Access::Silent, 0),
        case("history gone", Access::HistoryGone, 0),
        case("history gone, turned away", Access::HistoryGoneAndTurnedAway, 0),
        case("silent, two relays deep", Access::Silent, 1),
        case("history gone, two relays deep", Access::HistoryGone, 1),
        case("history gone, three relays deep", Access::HistoryGone, 2),
    ];
    for case in cases {
        let (store, net) = (TestStore::written(), MemoryNet::new());
        let root = host(&net, &store, "10.0.0.1:8146", None, FollowRole::Source).await;
        pass(100).await;
        let mut hosts = vec![root];
        for number in 0..=case.between {
            let own = format!("10.0.0.{}:8146", number + 2);
            let source = format!("10.0.0.{}:8146", number + 1);
            let role = FollowRole::Relayed;
            hosts.push(host(&net, &store, &own, Some(source.as_str()), role).await);
            pass(1500).await;
        }
        pass(4000).await;
        hosts[0].access.send_replace(case.root);
        // The other table changes all the time, and says nothing of the configuration.
        let noise = store.clone();
        let busy = tokio::spawn(async move {
            loop {
                pass(200).await;
                noise.write(BACKENDS);
            }
        });
        pass(900).await;
        store.write(CONFIG);
        let written = store.version(CONFIG);
        pass(LIMIT.as_millis().try_into().unwrap()).await;
        for (place, host) in hosts.iter().enumerate().skip(1) {
            assert_eq!(host.config.version(), written.into(), "{}, host {place}", case.name);
        }
        busy.abort();
    }
}

/// Two hosts that take the tables from each other, of which one is cut off: what goes round in a circle
/// must not pass for news, though the tables change and age at different moments.
#[tokio::test(start_paused = true)]
async fn a_circle_of_relays_does_not_keep_tables_fresh() {
    for (config_every, backends_every) in [(700, 1100), (2300, 300), (300, 2300), (5000, 1900)] {
        let (store, net) = (TestStore::written(), MemoryNet::new());
        let (one, other) = ("10.0.0.1:8146", "10.0.0.2:8146");
        let root = host(&net, &store, one, Some(other), FollowRole::Source).await;
        let relayed = host(&net, &store, other, Some(one), FollowRole::Relayed).await;
        pass(5000).await;
        root.access.send_replace(Access::CutOff);
        let mut history = Vec::new();
        for step in 1..300_u64 {
            pass(100).await;
            let now = step * 100;
            if now.is_multiple_of(config_every) {
                store.write(CONFIG);
            }
            if now.is_multiple_of(backends_every) {
                store.write(BACKENDS);
            }
            history.push((now, store.version(CONFIG), store.version(BACKENDS)));
            // A question under way when the cut began must first count as lost.
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
    /// What the source meets when it asks after it woke up.
    root: Access,
    suspended_ms: u64,
}

#[tokio::test(start_paused = true)]
async fn a_source_that_was_suspended_is_not_taken_for_fresh() {
    let case = |name, root, suspended_ms| SuspendedCase { name, root, suspended_ms };
    let cases = [
        case("its question is not answered", Access::Silent, 10_000),
        case("it is turned away", Access::TurnedAway, 10_000),
        case("for an hour", Access::Silent, 3_600_000),
    ];
    for case in cases {
        let (store, net) = (TestStore::written(), MemoryNet::new());
        let root = host(&net, &store, "10.0.0.1:8146", None, FollowRole::Source).await;
        pass(100).await;
        let source = Some("10.0.0.1:8146");
        let last = host(&net, &store, "10.0.0.2:8146", source, FollowRole::Relayed).await;
        pass(3000).await;
        assert!(last.config.age().is_some_and(|age| age < LIMIT), "{}: before", case.name);
        root.access.send_replace(case.root);
        root.jumps.suspend(Duration::from_millis(case.suspended_ms));
        let suspended = Duration::from_millis(case.suspended_ms);
        assert!(root.config.age().is_some_and(|age| age >= suspended), "{}: its own", case.name);
        // Its peer has heard nothing newer than before the suspension, and asks the store itself in time.
        store.write(CONFIG);
        let newest = store.version(CONFIG);
        pass(u64::try_from(LIMIT.as_millis()).expect("small")).await;
        assert_eq!(last.config.version(), newest.into(), "{}", case.name);
    }
}

/// A question whose answer was lost while the host was suspended held its table up for all the time that it had
/// been given before: three seconds after it woke up the host still acted on what it knew before.
#[tokio::test(start_paused = true)]
async fn a_host_that_wakes_up_does_not_wait_for_what_was_lost_meanwhile() {
    let (store, net) = (TestStore::written(), MemoryNet::new());
    let host = host(&net, &store, "10.0.0.1:8146", None, FollowRole::Alone).await;
    pass(5000).await;
    host.access.send_replace(Access::Silent);
    // Its next question is the one that is lost.
    store.write(CONFIG);
    pass(500).await;
    host.access.send_replace(Access::Served);
    host.jumps.suspend(Duration::from_secs(10));
    store.write(CONFIG);
    pass(1000).await;
    assert_eq!(host.config.version(), store.version(CONFIG).into());
}

/// An answer that was waited for while the host stood still tells of the moment before, so the host went on with
/// what it knew then until its next question was answered, and refused what it could not know to be new.
#[tokio::test(start_paused = true)]
async fn a_host_that_wakes_up_asks_at_once_what_has_changed() {
    for after_question in [100, 700, 1500, 2300] {
        let (store, net) = (TestStore::written(), MemoryNet::new());
        let host = host(&net, &store, "10.0.0.1:8146", None, FollowRole::Alone).await;
        pass(5000).await;
        // Its next question begins now.
        store.write(CONFIG);
        store.write(BACKENDS);
        pass(400 + after_question).await;
        host.jumps.suspend(Duration::from_secs(1));
        pass(800).await;
        for (table, belief) in
            [("configuration", &host.config), ("backend servers", &host.backends)]
        {
            let age = belief.age().expect("it is known");
            assert!(
                age < Duration::from_millis(900),
                "{after_question} ms: {table} is {age:?} old"
            );
        }
    }
}
