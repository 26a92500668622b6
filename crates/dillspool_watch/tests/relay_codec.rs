//! What is sent over a relay connection: compressed messages for hosts that accept them, and
//! uncompressed ones for hosts of earlier versions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{HostClock, MemoryNet, NetStack, StallDetector};
use dillspool_platform::{ChangedRow, TableDelta};
use dillspool_schema::relay::RelayMessage;
use dillspool_watch::{
    RelayPeers, RelayService, SharedReplica, StoreReachability, relay_from_peers, serve_relay,
};
use futures_util::{SinkExt, StreamExt};
use tokio::sync::watch;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{accept_async, client_async};
use tokio_util::sync::CancellationToken;

const LIMIT: Duration = Duration::from_secs(2);

fn source() -> SocketAddr {
    "10.0.0.1:7000".parse().unwrap()
}

/// Rows as backend servers write them.
fn rows(count: u64) -> Vec<ChangedRow> {
    let row = |number: u64| {
        let id = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 24;
        let text = format!(
            r#"{{"service":"pool","address":"10.{}.{}.{}:8080","zone":"westlands","version":"v1","slots":64,"state":"ready","written":4,"warms_in":0,"stage":"decode","models":[{{"name":"m","version":1,"adapters":[]}}]}}"#,
            number % 3,
            number / 250 % 250,
            number % 250,
        );
        ChangedRow {
            key: format!("i-{id:010x}").into(),
            version: (number + 1).into(),
            value: Some(text.into()),
        }
    };
    (0..count).map(row).collect()
}

fn replica(rows: Vec<ChangedRow>) -> SharedReplica {
    let replica = SharedReplica::new("servers".into(), awake());
    let version = rows.len() as u64 + 1;
    replica.merge(&TableDelta { full: true, version: version.into(), rows });
    replica
}

/// A host whose table is fresh by its own polls, and that relays it.
async fn serve(stack: &NetStack, rows: Vec<ChangedRow>) -> SharedReplica {
    let served = replica(rows.clone());
    let store = dillspool_platform::TableWatch {
        snapshot: {
            let version = rows.len() as u64 + 1;
            Arc::new(move |_table| {
                let rows = rows.clone();
                Box::pin(
                    async move { Ok(TableDelta { full: true, version: version.into(), rows }) },
                )
            })
        },
        changes: Arc::new(|_table, after, _wait| {
            Box::pin(
                async move { Ok(TableDelta { full: false, version: after, rows: Vec::new() }) },
            )
        }),
    };
    let status = watch::Sender::new(StoreReachability::unknown());
    let role = watch::Sender::new(dillspool_watch::FollowRole::Alone);
    let cancel = CancellationToken::new();
    let settings = dillspool_watch::FollowSettings::new(LIMIT, LIMIT);
    let follow = dillspool_watch::follow_table(
        store,
        served.clone(),
        status.clone(),
        settings,
        role.subscribe(),
        cancel.clone(),
    );
    tokio::spawn(async move {
        follow.await;
        drop(role);
    });
    let listener = stack.listen(source()).await.expect("a free address");
    tokio::spawn(serve_relay(
        listener,
        RelayService::new(vec![served.clone()], status.subscribe(), LIMIT),
        cancel,
    ));
    tokio::time::sleep(Duration::from_millis(50)).await;
    served
}

struct FrameCase {
    name: &'static str,
    path: &'static str,
    rows: u64,
    /// Minimum and maximum size of the first message in bytes.
    bytes: std::ops::Range<usize>,
    is_compressed: bool,
}

#[tokio::test(start_paused = true)]
async fn whole_tables_are_compressed_for_hosts_that_accept_it() {
    let cases = [
        FrameCase {
            name: "no rows",
            path: "/packed",
            rows: 0,
            bytes: 1..100,
            is_compressed: false,
        },
        FrameCase {
            name: "a few",
            path: "/packed",
            rows: 3,
            bytes: 600..1_024,
            is_compressed: false,
        },
        FrameCase { name: "some", path: "/packed", rows: 20, bytes: 1..1_200, is_compressed: true },
        FrameCase {
            name: "many",
            path: "/packed",
            rows: 3000,
            bytes: 1..120_000,
            is_compressed: true,
        },
        FrameCase {
            name: "many, for an earlier version",
            path: "/",
            rows: 3000,
            bytes: 700_000..900_000,
            is_compressed: false,
        },
    ];
    for case in cases {
        let net = MemoryNet::default();
        let _source = serve(&net.stack(source().ip()), rows(case.rows)).await;
        let stack = net.stack("10.0.0.2".parse().unwrap());
        let stream = stack.connect(source()).await.expect("a connection");
        let url = format!("ws://{}{}", source(), case.path);
        let (mut socket, _response) = client_async(url, stream).await.expect("a connection");
        let message = socket.next().await.expect("a message").expect("whole").into_data();
        assert!(case.bytes.contains(&message.len()), "{}: {}", case.name, message.len());
        assert_eq!(message[0] == 0, case.is_compressed, "{}", case.name);
        if !case.is_compressed {
            let message: RelayMessage = ciborium::from_reader(&message[..]).expect("a message");
            assert_eq!(message.rows.len() as u64, case.rows, "{}", case.name);
        }
    }
}

/// Receives tables from a peer for three seconds and returns the replica's rows.
async fn received(net: &MemoryNet) -> TableDelta {
    let replica = SharedReplica::new("servers".into(), awake());
    let peers = || RelayPeers { sources: vec![source()], all: vec![source()], subset_seed: None };
    let relay = relay_from_peers(
        net.stack("10.0.0.2".parse().unwrap()),
        peers,
        vec![replica.clone()],
        watch::Sender::new(StoreReachability::unknown()),
        CancellationToken::new(),
    );
    let _over = tokio::time::timeout(Duration::from_secs(3), relay).await;
    replica.changes_since(0.into())
}

#[tokio::test(start_paused = true)]
async fn compressed_tables_are_received_completely() {
    for count in [0, 1, 3, 4, 20, 3000] {
        let net = MemoryNet::default();
        let source = serve(&net.stack(source().ip()), rows(count)).await;
        let received = received(&net).await;
        assert_eq!(received, source.changes_since(0.into()), "{count} rows");
    }
}

/// Invalid first messages. The client disconnects, and a message that expands to 64 MB costs no
/// more memory than the largest valid one.
#[tokio::test(start_paused = true)]
async fn a_message_that_cannot_be_decoded_changes_nothing() {
    let oversized = {
        use std::io::Write;
        let fast = flate2::Compression::fast();
        let mut encoder = flate2::write::DeflateEncoder::new(vec![0], fast);
        // The CBOR header of a text of 64 MB, and its zeros.
        encoder.write_all(&[0x7A, 0x04, 0, 0, 0]).unwrap();
        for _part in 0..64 {
            encoder.write_all(&vec![0; 1024 * 1024]).unwrap();
        }
        encoder.finish().unwrap()
    };
    let cases =
        [vec![0], vec![0, 1, 2, 3], vec![0, 0xFF, 0xFF], Vec::new(), vec![0xFF; 40], oversized];
    for bytes in cases {
        let net = MemoryNet::default();
        let stack = net.stack(source().ip());
        let mut listener = stack.listen(source()).await.expect("a free address");
        let message = bytes.clone();
        tokio::spawn(async move {
            while let Some(stream) = listener.accept().await {
                let mut socket = accept_async(stream).await.expect("a connection");
                let _sent = socket.send(Message::Binary(message.clone().into())).await;
                let _left = socket.next().await;
            }
        });
        assert_eq!(received(&net).await.rows, Vec::new(), "{} bytes", bytes.len());
    }
}

/// A suspension detector on tokio's clock.
fn awake() -> StallDetector {
    StallDetector::start(HostClock::steady(), CancellationToken::new())
}
