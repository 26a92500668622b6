//! A host that the store rejects receives the tables from a peer that the store serves.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dillspool_io::{HostClock, LinkMode, MemoryNet, StallDetector};
use dillspool_platform::{
    ChangedRow, PlatformError, StoreEra, StoreVersion, TableDelta, TableWatch, WatchError,
};
use dillspool_watch::{
    FollowRole, FollowSettings, RelayPeers, RelayService, SharedReplica, StoreReachability,
    follow_table, relay_from_peers, serve_relay,
};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

/// Time in which a change must be in force.
const LIMIT: Duration = Duration::from_secs(2);

/// A table of the store with one row, whose access is set per host.
#[derive(Clone, Default)]
struct TestStore {
    state: Arc<Mutex<StoreState>>,
    /// Polls that were served.
    polls: Arc<AtomicUsize>,
    changed: Arc<Notify>,
}

#[derive(Default)]
struct StoreState {
    version: u64,
    text: String,
    compacted_below: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum Access {
    Served,
    Rejected,
    NoResponse,
}

impl TestStore {
    fn write(&self, text: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        text.clone_into(&mut state.text);
        self.changed.notify_waiters();
    }

    fn delta(&self, full: bool) -> TableDelta {
        let state = self.state.lock().unwrap();
        let value = Some(Arc::from(state.text.as_str()));
        let row = ChangedRow { key: "config".into(), version: state.version.into(), value };
        TableDelta { full, version: state.version.into(), rows: vec![row] }
    }

    fn watch(&self, access: watch::Receiver<Access>) -> TableWatch {
        let (store, other) = (self.clone(), self.clone());
        let (snapshot_access, changes_access) = (access.clone(), access);
        TableWatch {
            snapshot: Arc::new(move |_table| {
                let (store, access) = (store.clone(), *snapshot_access.borrow());
                Box::pin(async move {
                    check_access(access).await?;
                    Ok(store.delta(true))
                })
            }),
            changes: Arc::new(move |_table, after, wait| {
                let (store, access) = (other.clone(), *changes_access.borrow());
                Box::pin(async move {
                    check_access(access).await.map_err(|source| WatchError::Store { source })?;
                    store.polls.fetch_add(1, Ordering::Relaxed);
                    let changed = store.changed.notified();
                    let (version, compacted) = {
                        let state = store.state.lock().unwrap();
                        (state.version, state.compacted_below)
                    };
                    if after < compacted.into() {
                        return Err(WatchError::HistoryGone);
                    }
                    if version <= after.into() {
                        let _changed = tokio::time::timeout(wait, changed).await;
                    }
                    let mut delta = store.delta(false);
                    delta.rows.retain(|row| row.version > after);
                    Ok(delta)
                })
            }),
        }
    }
}

async fn check_access(access: Access) -> Result<(), PlatformError> {
    match access {
        Access::Served => Ok(()),
        Access::Rejected => Err(PlatformError::NotDone { reason: "rejected".to_owned() }),
        Access::NoResponse => std::future::pending().await,
    }
}

struct TestHost {
    replica: SharedReplica,
    access: watch::Sender<Access>,
    status: watch::Receiver<StoreReachability>,
}

impl TestHost {
    fn text(&self) -> Option<String> {
        let delta = self.replica.changes_since(0.into());
        let row = delta.rows.iter().find(|row| &*row.key == "config")?;
        row.value.as_deref().map(str::to_owned)
    }
}

async fn start_host(net: &MemoryNet, store: &TestStore, own: &str, peer: &str) -> TestHost {
    start_host_as(net, store, own, peer, FollowRole::Alone).await
}

async fn start_host_as(
    net: &MemoryNet,
    store: &TestStore,
    own: &str,
    peer: &str,
    role: FollowRole,
) -> TestHost {
    let cancel = CancellationToken::new();
    let replica = SharedReplica::new("op".into(), awake());
    let (access, reader) = watch::channel(Access::Served);
    let status_sender = watch::Sender::new(StoreReachability::unknown());
    let status = status_sender.subscribe();
    let relayed = status_sender.clone();
    let settings = FollowSettings::new(Duration::from_millis(2500), LIMIT);
    tokio::spawn(follow_table(
        store.watch(reader),
        replica.clone(),
        status_sender,
        settings,
        watch::channel(role).1,
        cancel.clone(),
    ));
    let own: SocketAddr = own.parse().unwrap();
    let peer: SocketAddr = peer.parse().unwrap();
    let stack = net.stack(own.ip());
    let listener = stack.listen(own).await.expect("a free address");
    let replicas = vec![replica.clone()];
    tokio::spawn(serve_relay(
        listener,
        RelayService::new(replicas.clone(), status.clone(), LIMIT),
        cancel.clone(),
    ));
    let sources = if role == FollowRole::Relayed { vec![peer] } else { Vec::new() };
    let peers = move || RelayPeers { sources: sources.clone(), all: vec![peer], subset_seed: None };
    tokio::spawn(relay_from_peers(stack, peers, replicas, relayed, cancel));
    TestHost { replica, access, status }
}

async fn two_hosts(store: &TestStore) -> (TestHost, TestHost) {
    let net = MemoryNet::new();
    let a = start_host(&net, store, "10.0.0.1:8146", "10.0.0.2:8146").await;
    let b = start_host(&net, store, "10.0.0.2:8146", "10.0.0.1:8146").await;
    (a, b)
}

async fn advance(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_within_the_poll_interval() {
    let store = TestStore::default();
    store.write("one");
    let (a, b) = two_hosts(&store).await;
    advance(50).await;
    assert_eq!((a.text().as_deref(), b.text().as_deref()), (Some("one"), Some("one")));
    store.write("two");
    store.write("three");
    advance(700).await;
    assert_eq!((a.text().as_deref(), b.text().as_deref()), (Some("three"), Some("three")));
}

#[tokio::test(start_paused = true)]
async fn compacted_history_is_replaced_by_a_snapshot() {
    let store = TestStore::default();
    store.write("one");
    let (a, _b) = two_hosts(&store).await;
    advance(50).await;
    store.state.lock().unwrap().compacted_below = 100;
    store.write("two");
    advance(3500).await;
    assert_eq!(a.text().as_deref(), Some("two"));
    assert!(a.status.borrow().is_reachable(), "an answered poll is no outage");
}

struct OutageCase {
    access: Access,
    /// Time within which the relay must deliver a change, in ms.
    within: u64,
}

#[tokio::test(start_paused = true)]
async fn a_host_without_the_store_receives_from_its_peer() {
    let cases = [
        OutageCase { access: Access::Rejected, within: 3500 },
        // The poll in progress must first time out.
        OutageCase { access: Access::NoResponse, within: 4500 },
    ];
    for case in cases {
        let store = TestStore::default();
        store.write("one");
        let (a, b) = two_hosts(&store).await;
        advance(50).await;
        a.access.send_replace(case.access);
        advance(2600).await;
        store.write("two");
        advance(case.within).await;
        assert_eq!(a.text().as_deref(), Some("two"));
        store.write("three");
        advance(700).await;
        assert_eq!(a.text().as_deref(), Some("three"), "further changes are relayed at once");
        a.access.send_replace(Access::Served);
        // An open long poll and a backoff end first.
        advance(1500).await;
        assert!(a.status.borrow().is_reachable() && b.status.borrow().is_reachable());
    }
}

#[tokio::test(start_paused = true)]
async fn a_host_that_starts_in_an_outage_receives_from_its_peer() {
    let store = TestStore::default();
    store.write("one");
    let net = MemoryNet::new();
    let _a = start_host(&net, &store, "10.0.0.1:8146", "10.0.0.2:8146").await;
    advance(50).await;
    let b = start_host(&net, &store, "10.0.0.2:8146", "10.0.0.1:8146").await;
    b.access.send_replace(Access::Rejected);
    advance(1000).await;
    assert_eq!(b.text().as_deref(), Some("one"));
}

#[tokio::test(start_paused = true)]
async fn without_any_source_the_replica_stays() {
    let store = TestStore::default();
    store.write("one");
    let (a, b) = two_hosts(&store).await;
    advance(50).await;
    a.access.send_replace(Access::Rejected);
    b.access.send_replace(Access::Rejected);
    advance(2600).await;
    store.write("two");
    advance(20_000).await;
    assert_eq!((a.text().as_deref(), b.text().as_deref()), (Some("one"), Some("one")));
    a.access.send_replace(Access::Served);
    advance(2000).await;
    assert_eq!((a.text().as_deref(), b.text().as_deref()), (Some("two"), Some("two")));
}

/// A source, and a host that receives its tables from it.
async fn source_and_follower(net: &MemoryNet, store: &TestStore) -> (TestHost, TestHost) {
    let source =
        start_host_as(net, store, "10.0.0.1:8146", "10.0.0.2:8146", FollowRole::Source).await;
    advance(50).await;
    let follower =
        start_host_as(net, store, "10.0.0.2:8146", "10.0.0.1:8146", FollowRole::Relayed).await;
    advance(1000).await;
    (source, follower)
}

#[tokio::test(start_paused = true)]
async fn a_follower_of_a_fresh_source_does_not_poll() {
    let store = TestStore::default();
    store.write("one");
    let (source, follower) = source_and_follower(&MemoryNet::new(), &store).await;
    // From now on the store rejects the follower's polls, but it makes none.
    follower.access.send_replace(Access::Rejected);
    let before = store.polls.load(Ordering::Relaxed);
    advance(8000).await;
    assert!(store.polls.load(Ordering::Relaxed) - before <= 12);
    assert!(follower.status.borrow().direct && source.status.borrow().direct);
    store.write("two");
    advance(700).await;
    assert_eq!(follower.text().as_deref(), Some("two"));
}

struct SourceFault {
    name: &'static str,
    access: Access,
    link: LinkMode,
}

#[tokio::test(start_paused = true)]
async fn a_follower_polls_once_its_source_is_not_fresh() {
    let cases = [
        SourceFault { name: "cut off", access: Access::Served, link: LinkMode::Cut },
        SourceFault { name: "paused", access: Access::Served, link: LinkMode::Frozen },
        SourceFault { name: "rejected", access: Access::Rejected, link: LinkMode::Open },
        SourceFault { name: "no response", access: Access::NoResponse, link: LinkMode::Open },
    ];
    for case in cases {
        let (store, net) = (TestStore::default(), MemoryNet::new());
        store.write("one");
        let (source, follower) = source_and_follower(&net, &store).await;
        source.access.send_replace(case.access);
        let address = |text: &str| text.parse().expect("an address");
        net.set_link(address("10.0.0.1"), address("10.0.0.2"), case.link);
        advance(900).await;
        store.write("two");
        // A change must be in force within two seconds.
        advance(1900).await;
        assert_eq!(follower.text().as_deref(), Some("two"), "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn peers_that_do_not_read_block_no_other() {
    let store = TestStore::default();
    // More than the network buffers for a peer that does not read.
    let text = "x".repeat(300_000);
    store.write(&text);
    let net = MemoryNet::new();
    let a = start_host(&net, &store, "10.0.0.1:8146", "10.0.0.2:8146").await;
    advance(50).await;
    assert_eq!(a.text().as_deref(), Some(text.as_str()));
    let mut silent_peers = Vec::new();
    for last in 20..36_u8 {
        let stack = net.stack([10, 0, 0, last].into());
        let stream = stack.connect(([10, 0, 0, 1], 8146).into()).await.expect("a connection");
        let opened = tokio_tungstenite::client_async("ws://10.0.0.1:8146/", stream).await;
        silent_peers.push(opened.expect("a relay"));
    }
    let b = start_host(&net, &store, "10.0.0.2:8146", "10.0.0.1:8146").await;
    b.access.send_replace(Access::Rejected);
    store.write("two");
    advance(12_000).await;
    assert_eq!(b.text().as_deref(), Some("two"));
}

/// A suspension detector on tokio's clock.
fn awake() -> StallDetector {
    StallDetector::start(HostClock::steady(), CancellationToken::new())
}

/// Guards against a replica that counts as fresh by the relay message of a peer that does not know
/// yet that the store was restored. The host then did not poll the store, although the peer's rows
/// were older than its own.
#[tokio::test(start_paused = true)]
async fn a_peer_of_an_earlier_era_does_not_keep_a_table_fresh() {
    let (net, store) = (MemoryNet::new(), TestStore::default());
    store.write("of before");
    let peer = start_host(&net, &store, "10.0.0.1:8146", "10.0.0.9:8146").await;
    advance(10_000).await;
    assert!(peer.replica.age().is_some());
    let replica = SharedReplica::new("op".into(), awake());
    let version = StoreVersion::new(StoreEra::new(1), 1);
    let row = ChangedRow { key: "config".into(), version, value: Some("restored".into()) };
    replica.merge(&TableDelta { full: true, version, rows: vec![row] });
    let source = "10.0.0.1:8146".parse().unwrap();
    let peers = move || RelayPeers { sources: vec![source], all: Vec::new(), subset_seed: None };
    let (stack, status) = (net.stack("10.0.0.2".parse().unwrap()), StoreReachability::unknown());
    let (replicas, status) = (vec![replica.clone()], watch::Sender::new(status));
    tokio::spawn(relay_from_peers(
        stack,
        peers,
        replicas,
        status.clone(),
        CancellationToken::new(),
    ));
    advance(1_000).await;
    assert!(status.borrow().relayed, "the peer relays");
    assert_eq!(replica.age(), None);
    assert_eq!(replica.version(), version);
}
