//! Checks a server that stops listening for moments.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use dillspool_io::{
    ConnectionGate, MemoryNet, ServerGuards, ServerLimits, full_body, handler, serve_http_guarded,
};
use hyper::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Pause after each accepted connection.
const PAUSE: Duration = Duration::from_millis(100);

struct PauseCase {
    name: &'static str,
    /// Attempts to listen again that fail.
    failures: usize,
    /// Time since the first connection at which another one is opened, and whether it is served.
    attempts: &'static [(u64, bool)],
    /// Time at which the server is cancelled.
    cancelled_ms: u64,
}

const CASES: [PauseCase; 4] = [
    PauseCase {
        name: "a pause",
        failures: 0,
        attempts: &[(0, true), (50, false), (99, false), (110, true), (150, false), (250, true)],
        cancelled_ms: 1_000,
    },
    PauseCase {
        name: "listening again fails three times",
        failures: 3,
        attempts: &[(0, true), (110, false), (125, false), (140, true)],
        cancelled_ms: 1_000,
    },
    PauseCase {
        name: "cancelled in a pause",
        failures: 0,
        attempts: &[(0, true), (150, false)],
        cancelled_ms: 50,
    },
    PauseCase {
        name: "cancelled while listening fails",
        failures: 1_000,
        attempts: &[(0, true), (300, false)],
        cancelled_ms: 200,
    },
];

async fn is_served(net: &MemoryNet) -> bool {
    let stack = net.stack("10.0.0.2".parse().expect("an address"));
    let Ok(mut stream) = stack.connect("10.0.0.1:1".parse().expect("an address")).await else {
        return false;
    };
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let mut reply = Vec::new();
    stream.write_all(request).await.is_ok()
        && stream.read_to_end(&mut reply).await.is_ok()
        && reply.starts_with(b"HTTP/1.1 200")
}

#[tokio::test(start_paused = true)]
async fn a_server_refuses_connections_while_it_pauses_and_listens_again() {
    for case in &CASES {
        let net = MemoryNet::new();
        let address = "10.0.0.1:1".parse().expect("an address");
        let stack = net.stack("10.0.0.1".parse().expect("an address"));
        let listener = stack.listen(address).await.expect("a free address");
        let left = Arc::new(AtomicUsize::new(case.failures));
        let gate = ConnectionGate {
            record_accept: Arc::new(|| Some(PAUSE)),
            record_start: Arc::new(|_delay| {}),
            listen: Arc::new(move || {
                let fails = left.load(Ordering::Relaxed) > 0;
                left.fetch_sub(usize::from(fails), Ordering::Relaxed);
                let stack = stack.clone();
                Box::pin(async move {
                    if fails {
                        return Err(io::ErrorKind::AddrInUse.into());
                    }
                    stack.listen(address).await
                })
            }),
        };
        let (_sender, limits) = watch::channel(ServerLimits::default());
        let cancel = CancellationToken::new();
        let guards = ServerGuards { budget: None, gate: Some(gate) };
        let answer = handler(|_request| async { Response::new(full_body("answer")) });
        let serving =
            tokio::spawn(serve_http_guarded(listener, limits, answer, guards, cancel.clone()));
        let begun = tokio::time::Instant::now();
        let cancelled = begun + Duration::from_millis(case.cancelled_ms);
        tokio::spawn(async move {
            tokio::time::sleep_until(cancelled).await;
            cancel.cancel();
        });
        for (at_ms, is_expected) in case.attempts {
            tokio::time::sleep_until(begun + Duration::from_millis(*at_ms)).await;
            assert_eq!(is_served(&net).await, *is_expected, "{}: at {at_ms} ms", case.name);
        }
        tokio::time::sleep_until(cancelled).await;
        let ended = tokio::time::timeout(Duration::from_secs(1), serving).await;
        assert!(ended.is_ok(), "{}: it does not end", case.name);
    }
}
