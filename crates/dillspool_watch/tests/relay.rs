//! A host that the store turns away takes the tables from a host that it serves.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dillspool_io::{AwakeWatch, HostClock, LinkMode, MemoryNet};
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

/// A table of the store with one row, and who may read it.
#[derive(Clone, Default)]
struct TestStore {
    state: Arc<Mutex<StoreState>>,
    /// Questions that were served.
    questions: Arc<AtomicUsize>,
    changed: Arc<Notify>,
}

#[derive(Default)]
struct StoreState {
    version: u64,
    text: String,
    forgets_below: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum Access {
    Served,
    TurnedAway,
    Silent,
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
        let (for_snapshot, for_changes) = (access.clone(), access);
        TableWatch {
            snapshot: Arc::new(move |_table| {
                let (store, access) = (store.clone(), *for_snapshot.borrow());
                Box::pin(async move {
                    admit(access).await?;
                    Ok(store.delta(true))
                })
            }),
            changes: Arc::new(move |_table, after, wait| {
                let (store, access) = (other.clone(), *for_changes.borrow());
                Box::pin(async move {
                    admit(access).await.map_err(|source| WatchError::Store { source })?;
                    store.questions.fetch_add(1, Ordering::Relaxed);
                    let changed = store.changed.notified();
                    let (version, forgets) = {
                        let state = store.state.lock().unwrap();
                        (state.version, state.forgets_below)
                    };
                    if after < forgets.into() {
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

async fn admit(access: Access) -> Result<(), PlatformError> {
    match access {
        Access::Served => Ok(()),
        Access::TurnedAway => Err(PlatformError::NotDone { reason: "turned away".to_owned() }),
        Access::Silent => std::future::pending().await,
    }
}

struct TestHost {
    belief: SharedReplica,
    access: watch::Sender<Access>,
    reach: watch::Receiver<StoreReachability>,
}

impl TestHost {
    fn text(&self) -> Option<String> {
        let delta = self.belief.changes_since(0.into());
        let row = delta.rows.iter().find(|row| &*row.key == "config")?;
        row.value.as_deref().map(str::to_owned)
    }
}

async fn host(net: &MemoryNet, store: &TestStore, own: &str, peer: &str) -> TestHost {
    host_as(net, store, own, peer, FollowRole::Alone).await
}

async fn host_as(
    net: &MemoryNet,
    store: &TestStore,
    own: &str,
    peer: &str,
    role: FollowRole,
) -> TestHost {
    let cancel = CancellationToken::new();
    let belief = SharedReplica::new("op".into(), awake());
    let (access, reader) = watch::channel(Access::Served);
    let reach_sender = watch::Sender::new(StoreReachability::unknown());
    let reach = reach_sender.subscribe();
    let relayed = reach_sender.clone();
    let settings = FollowSettings::new(Duration::from_millis(2500), LIMIT);
    tokio::spawn(follow_table(
        store.watch(reader),
        belief.clone(),
        reach_sender,
        settings,
        watch::channel(role).1,
        cancel.clone(),
    ));
    let own: SocketAddr = own.parse().unwrap();
    let peer: SocketAddr = peer.parse().unwrap();
    let stack = net.stack(own.ip());
    let listener = stack.listen(own).await.expect("a free address");
    let beliefs = vec![belief.clone()];
    tokio::spawn(serve_relay(
        listener,
        RelayService::new(beliefs.clone(), reach.clone(), LIMIT),
        cancel.clone(),
    ));
    let sources = if role == FollowRole::Relayed { vec![peer] } else { Vec::new() };
    let peers = move || RelayPeers { sources: sources.clone(), all: vec![peer], subset_seed: None };
    tokio::spawn(relay_from_peers(stack, peers, beliefs, relayed, cancel));
    TestHost { belief, access, reach }
}

async fn two_hosts(store: &TestStore) -> (TestHost, TestHost) {
    let net = MemoryNet::new();
    let a = host(&net, store, "10.0.0.1:8146", "10.0.0.2:8146").await;
    let b = host(&net, store, "10.0.0.2:8146", "10.0.0.1:8146").await;
    (a, b)
}

async fn pass(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_within_the_spacing() {
    let store = TestStore::default();
    store.write("one");
    let (a, b) = two_hosts(&store).await;
    pass(50).await;
    assert_eq!((a.text().as_deref(), b.text().as_deref()), (Some("one"), Some("one")));
    store.write("two");
    store.write("three");
    pass(700).await;
    assert_eq!((a.text().as_deref(), b.text().as_deref()), (Some("three"), Some("three")));
}

#[tokio::test(start_paused = true)]
async fn history_that_is_gone_is_read_anew() {
    let store = TestStore::default();
    store.write("one");
    let (a, _b) = two_hosts(&store).await;
    pass(50).await;
    store.state.lock().unwrap().forgets_below = 100;
    store.write("two");
    pass(3500).await;
    assert_eq!(a.text().as_deref(), Some("two"));
    assert!(a.reach.borrow().is_reachable(), "an answered question is no outage");
}

struct OutageCase {
    access: Access,
    /// Time within which the relay must bring a change, in ms.
    within: u64,
}

#[tokio::test(start_paused = true)]
async fn a_host_without_the_store_learns_from_its_peer() {
    let cases = [
        OutageCase { access: Access::TurnedAway, within: 3500 },
        // The question under way must first count as lost.
        OutageCase { access: Access::Silent, within: 4500 },
    ];
    for case in cases {
        let store = TestStore::default();
        store.write("one");
        let (a, b) = two_hosts(&store).await;
        pass(50).await;
        a.access.send_replace(case.access);
        pass(2600).await;
        store.write("two");
        pass(case.within).await;
        assert_eq!(a.text().as_deref(), Some("two"));
        store.write("three");
        pass(700).await;
        assert_eq!(a.text().as_deref(), Some("three"), "further changes come at once");
        a.access.send_replace(Access::Served);
        // A question that the store left open and a pause end first.
        pass(1500).await;
        assert!(a.reach.borrow().is_reachable() && b.reach.borrow().is_reachable());
    }
}

#[tokio::test(start_paused = true)]
async fn a_host_that_starts_in_an_outage_learns_from_its_peer() {
    let store = TestStore::default();
    store.write("one");
    let net = MemoryNet::new();
    let _a = host(&net, &store, "10.0.0.1:8146", "10.0.0.2:8146").await;
    pass(50).await;
    let b = host(&net, &store, "10.0.0.2:8146", "10.0.0.1:8146").await;
    b.access.send_replace(Access::TurnedAway);
    pass(1000).await;
    assert_eq!(b.text().as_deref(), Some("one"));
}

#[tokio::test(start_paused = true)]
async fn without_any_source_the_last_belief_stays() {
    let store = TestStore::default();
    store.write("one");
    let (a, b) = two_hosts(&store).await;
    pass(50).await;
    a.access.send_replace(Access::TurnedAway);
    b.access.send_replace(Access::TurnedAway);
    pass(2600).await;
    store.write("two");
    pass(20_000).await;
    assert_eq!((a.text().as_deref(), b.text().as_deref()), (Some("one"), Some("one")));
    a.access.send_replace(Access::Served);
    pass(2000).await;
    assert_eq!((a.text().as_deref(), b.text().as_deref()), (Some("two"), Some("two")));
}

/// A source and a host that takes its tables from it.
async fn source_and_follower(net: &MemoryNet, store: &TestStore) -> (TestHost, TestHost) {
    let source = host_as(net, store, "10.0.0.1:8146", "10.0.0.2:8146", FollowRole::Source).await;
    pass(50).await;
    let follower = host_as(net, store, "10.0.0.2:8146", "10.0.0.1:8146", FollowRole::Relayed).await;
    pass(1000).await;
    (source, follower)
}

#[tokio::test(start_paused = true)]
async fn a_fresh_source_spares_the_follower_its_questions() {
    let store = TestStore::default();
    store.write("one");
    let (source, follower) = source_and_follower(&MemoryNet::new(), &store).await;
    // From now on the store would not answer the follower, which does not notice.
    follower.access.send_replace(Access::TurnedAway);
    let before = store.questions.load(Ordering::Relaxed);
    pass(8000).await;
    assert!(store.questions.load(Ordering::Relaxed) - before <= 12);
    assert!(follower.reach.borrow().direct && source.reach.borrow().direct);
    store.write("two");
    pass(700).await;
    assert_eq!(follower.text().as_deref(), Some("two"));
}

struct SourceFault {
    name: &'static str,
    access: Access,
    link: LinkMode,
}

#[tokio::test(start_paused = true)]
async fn a_follower_asks_itself_once_its_source_is_not_fresh() {
    let cases = [
        SourceFault { name: "cut off", access: Access::Served, link: LinkMode::Cut },
        SourceFault { name: "paused", access: Access::Served, link: LinkMode::Frozen },
        SourceFault { name: "turned away", access: Access::TurnedAway, link: LinkMode::Open },
        SourceFault { name: "without answers", access: Access::Silent, link: LinkMode::Open },
    ];
    for case in cases {
        let (store, net) = (TestStore::default(), MemoryNet::new());
        store.write("one");
        let (source, follower) = source_and_follower(&net, &store).await;
        source.access.send_replace(case.access);
        let address = |text: &str| text.parse().expect("an address");
        net.set_link(address("10.0.0.1"), address("10.0.0.2"), case.link);
        pass(900).await;
        store.write("two");
        // A change must be in force within two seconds.
        pass(1900).await;
        assert_eq!(follower.text().as_deref(), Some("two"), "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn peers_that_do_not_read_keep_the_tables_from_no_other() {
    let store = TestStore::default();
    // More than the network holds for a peer that does not read.
    let text = "x".repeat(300_000);
    store.write(&text);
    let net = MemoryNet::new();
    let a = host(&net, &store, "10.0.0.1:8146", "10.0.0.2:8146").await;
    pass(50).await;
    assert_eq!(a.text().as_deref(), Some(text.as_str()));
    let mut silent_peers = Vec::new();
    for last in 20..36_u8 {
        let stack = net.stack([10, 0, 0, last].into());
        let stream = stack.connect(([10, 0, 0, 1], 8146).into()).await.expect("a connection");
        let opened = tokio_tungstenite::client_async("ws://10.0.0.1:8146/", stream).await;
        silent_peers.push(opened.expect("a relay"));
    }
    let b = host(&net, &store, "10.0.0.2:8146", "10.0.0.1:8146").await;
    b.access.send_replace(Access::TurnedAway);
    store.write("two");
    pass(12_000).await;
    assert_eq!(b.text().as_deref(), Some("two"));
}

/// A watch by tokio's clock.
fn awake() -> AwakeWatch {
    AwakeWatch::start(HostClock::steady(), CancellationToken::new())
}

/// The word of a peer that does not know yet that the store has come back from a copy kept a host from asking, though
/// the peer's rows were older than its own.
#[tokio::test(start_paused = true)]
async fn a_peer_of_an_earlier_era_made_a_table_count_as_fresh() {
    let (net, store) = (MemoryNet::new(), TestStore::default());
    store.write("of before");
    let peer = host(&net, &store, "10.0.0.1:8146", "10.0.0.9:8146").await;
    pass(10_000).await;
    assert!(peer.belief.age().is_some());
    let belief = SharedReplica::new("op".into(), awake());
    let version = StoreVersion::new(StoreEra::new(1), 1);
    let row = ChangedRow { key: "config".into(), version, value: Some("restored".into()) };
    belief.merge(&TableDelta { full: true, version, rows: vec![row] });
    let source = "10.0.0.1:8146".parse().unwrap();
    let peers = move || RelayPeers { sources: vec![source], all: Vec::new(), subset_seed: None };
    let (stack, reach) = (net.stack("10.0.0.2".parse().unwrap()), StoreReachability::unknown());
    let (beliefs, reach) = (vec![belief.clone()], watch::Sender::new(reach));
    tokio::spawn(relay_from_peers(stack, peers, beliefs, reach.clone(), CancellationToken::new()));
    pass(1_000).await;
    assert!(reach.borrow().relayed, "the peer relays");
    assert_eq!(belief.age(), None);
    assert_eq!(belief.version(), version);
}
