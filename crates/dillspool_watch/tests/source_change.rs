//! A host whose sources change connects to the first of the new ones.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dillspool_io::{HostClock, MemoryNet, NetStack, StallDetector};
use dillspool_watch::{RelayPeers, SharedReplica, StoreReachability, relay_from_peers};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 8146).into()
}

/// Accepts connections and closes them, and records which source each was for.
async fn refuse_all(stack: NetStack, number: u8, attempts: Arc<Mutex<Vec<u8>>>) {
    let mut listener = stack.listen(address(number)).await.expect("a free address");
    tokio::spawn(async move {
        while listener.accept().await.is_some() {
            attempts.lock().expect("no panic").push(number);
        }
    });
}

/// Guards against failed attempts at the previous sources that count for the new ones. A host then
/// skipped as many of the new sources as it had made attempts, and all hosts of a failure domain
/// connected to other sources than planned.
#[tokio::test(start_paused = true)]
async fn failed_attempts_at_previous_sources_do_not_skip_new_ones() {
    for changed_after_ms in (100..2_100).step_by(100) {
        let net = MemoryNet::new();
        let attempts = Arc::default();
        for number in 2..=5 {
            let stack = net.stack(address(number).ip());
            refuse_all(stack, number, Arc::clone(&attempts)).await;
        }
        let clock = HostClock::steady();
        let awake = StallDetector::start(clock, CancellationToken::new());
        let replicas = vec![SharedReplica::new("op".into(), awake)];
        let (sources, listed) = watch::channel(vec![address(2)]);
        let peers = move || RelayPeers {
            sources: listed.borrow().clone(),
            all: Vec::new(),
            subset_seed: None,
        };
        let cancel = CancellationToken::new();
        let status = watch::Sender::new(StoreReachability::unknown());
        let stack = net.stack(address(1).ip());
        tokio::spawn(relay_from_peers(stack, peers, replicas, status, cancel.clone()));
        tokio::time::sleep(Duration::from_millis(changed_after_ms)).await;
        sources.send_replace(vec![address(3), address(4), address(5)]);
        attempts.lock().expect("no panic").clear();
        tokio::time::sleep(Duration::from_secs(3)).await;
        let attempted: Vec<u8> = attempts.lock().expect("no panic").clone();
        let first_new = attempted.iter().copied().find(|number| *number != 2);
        assert_eq!(first_new, Some(3), "after {changed_after_ms} ms: {attempted:?}");
        cancel.cancel();
    }
}
