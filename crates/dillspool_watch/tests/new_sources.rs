//! A host whose sources change begins with the first of the new ones.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dillspool_io::{AwakeWatch, HostClock, MemoryNet, NetStack};
use dillspool_watch::{RelayPeers, SharedReplica, StoreReachability, relay_from_peers};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 8146).into()
}

/// Takes connections and closes them, and notes which source each was for.
async fn refuse_all(stack: NetStack, number: u8, taken: Arc<Mutex<Vec<u8>>>) {
    let mut listener = stack.listen(address(number)).await.expect("a free address");
    tokio::spawn(async move {
        while listener.accept().await.is_some() {
            taken.lock().expect("no panic").push(number);
        }
    });
}

/// Failed tries of the sources before were counted on: a host began behind the first of the new ones, as many places
/// as it had tried in vain, and all hosts of a failure domain began at other ones than they were meant to.
#[tokio::test(start_paused = true)]
async fn tries_of_other_sources_had_a_host_begin_behind_the_first_of_the_new_ones() {
    for tried_ms in (100..2_100).step_by(100) {
        let net = MemoryNet::new();
        let taken = Arc::default();
        for number in 2..=5 {
            let stack = net.stack(address(number).ip());
            refuse_all(stack, number, Arc::clone(&taken)).await;
        }
        let clock = HostClock::steady();
        let awake = AwakeWatch::start(clock, CancellationToken::new());
        let beliefs = vec![SharedReplica::new("op".into(), awake)];
        let (sources, listed) = watch::channel(vec![address(2)]);
        let peers = move || RelayPeers {
            sources: listed.borrow().clone(),
            all: Vec::new(),
            subset_seed: None,
        };
        let cancel = CancellationToken::new();
        let reach = watch::Sender::new(StoreReachability::unknown());
        let stack = net.stack(address(1).ip());
        tokio::spawn(relay_from_peers(stack, peers, beliefs, reach, cancel.clone()));
        tokio::time::sleep(Duration::from_millis(tried_ms)).await;
        sources.send_replace(vec![address(3), address(4), address(5)]);
        taken.lock().expect("no panic").clear();
        tokio::time::sleep(Duration::from_secs(3)).await;
        let tried: Vec<u8> = taken.lock().expect("no panic").clone();
        let first_new = tried.iter().copied().find(|number| *number != 2);
        assert_eq!(first_new, Some(3), "after {tried_ms} ms: {tried:?}");
        cancel.cancel();
    }
}
