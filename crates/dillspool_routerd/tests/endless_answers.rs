//! Checks answers of backend servers that never end: bytes that are no answer, in a head or a body, until the host
//! closes the connection.
//!
//! The host reads a bounded number of bytes beyond what its caller gets, and the caller is answered in time.

mod fleet;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dillspool_io::{ByteLimits, NetStack};
use dillspool_site_standin::{
    BackendRow, FIRST_SOFTWARE, REQUEST_ID, SEAL, StandinKind, StandinRoute, config_text,
};
use fleet::{FleetOptions, RestartIdentity, TestFleet};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

const SERVICE: &str = "endless";
const HOST: &str = "fleet.example";
/// Bytes that a backend server sends at once, each millisecond.
const PIECE_BYTES: usize = 16 * 1024;
/// Largest number of bytes that a host with limits may take of one answer, beyond what it passes on.
const MAX_TAKEN_BYTES: usize = 2 * 1024 * 1024;
/// The same without limits: such a host buffers answers of 16 MiB.
const MAX_UNLIMITED_BYTES: usize = 17 * 1024 * 1024;
/// Time in which a caller must be answered: that of its request, and a half second.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(3_500);
/// Time in which the host must have closed the connection of the backend server, after its answer.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(1);
/// Limits of a host with 160 MB.
const HELD_BYTES: ByteLimits = ByteLimits {
    max_bytes: 48_000_000,
    max_buffered_response_bytes: 64 * 1024,
    stall_timeout: Duration::from_secs(8),
};

struct EndlessCase {
    name: &'static str,
    path: &'static str,
    /// What comes before the endless bytes; `{head}` stands for a status line and proof of origin.
    start: &'static str,
    /// What is repeated without end.
    repeated: &'static str,
}

const CASES: [EndlessCase; 14] = [
    EndlessCase { name: "no line", path: "/call/1", start: "", repeated: "x" },
    EndlessCase { name: "bytes of zero", path: "/call/1", start: "", repeated: "\0" },
    EndlessCase { name: "empty lines", path: "/call/1", start: "", repeated: "\r\n" },
    EndlessCase { name: "headers", path: "/call/1", start: "{head}", repeated: "x: y\r\n" },
    EndlessCase { name: "a long header", path: "/again/1", start: "{head}x: ", repeated: "y" },
    EndlessCase {
        name: "interim responses",
        path: "/call/1",
        start: "",
        repeated: "HTTP/1.1 100 Continue\r\n\r\n",
    },
    EndlessCase {
        name: "a body without length",
        path: "/call/1",
        start: "{head}\r\n",
        repeated: "x",
    },
    EndlessCase {
        name: "a failure without length",
        path: "/again/1",
        start: "HTTP/1.1 503 Service Unavailable\r\n\r\n",
        repeated: "x",
    },
    EndlessCase {
        name: "zeros of a chunk's size",
        path: "/call/1",
        start: "{head}transfer-encoding: chunked\r\n\r\n",
        repeated: "0",
    },
    EndlessCase {
        name: "an extension of a chunk",
        path: "/call/1",
        start: "{head}transfer-encoding: chunked\r\n\r\n5;",
        repeated: "x",
    },
    EndlessCase {
        name: "trailers",
        path: "/call/1",
        start: "{head}transfer-encoding: chunked\r\n\r\n0\r\n",
        repeated: "x: y\r\n",
    },
    EndlessCase {
        name: "an event",
        path: "/events/1",
        start: "{head}\r\nid: 1\ndata: ",
        repeated: "x",
    },
    EndlessCase {
        name: "lines of an event",
        path: "/events/1",
        start: "{head}\r\n",
        repeated: "data: x\n",
    },
    EndlessCase {
        name: "a head in place of a stream",
        path: "/events/1",
        start: "",
        repeated: "event: x\n",
    },
];

/// Bytes that the host took on a connection, and when it was closed; `None` while it is open.
#[derive(Clone, Copy, Debug)]
struct TakenBytes {
    count: usize,
    closed_at: Option<Instant>,
}

type TakenLog = Arc<Mutex<Vec<TakenBytes>>>;

/// Answers each connection without end, until it is closed.
async fn serve_endless(
    case: &'static EndlessCase,
    taken: TakenLog,
    stack: NetStack,
    at: SocketAddr,
) {
    let mut listener = stack.listen(at).await.expect("a free address");
    while let Some(mut stream) = listener.accept().await {
        let taken = Arc::clone(&taken);
        tokio::spawn(async move {
            let mut request = vec![0; 4096];
            let count = stream.read(&mut request).await.unwrap_or(0);
            let text = String::from_utf8_lossy(&request[..count]).into_owned();
            let mut lines = text.lines().filter_map(|line| line.split_once(": "));
            let id = lines.find(|(name, _value)| name.eq_ignore_ascii_case(REQUEST_ID));
            let id = id.map_or("", |(_name, value)| value);
            let head = format!("HTTP/1.1 200 OK\r\n{REQUEST_ID}: {id}\r\n{SEAL}: s\r\n");
            let start = case.start.replace("{head}", &head);
            let place = {
                let mut taken = taken.lock().expect("no panic");
                taken.push(TakenBytes { count: 0, closed_at: None });
                taken.len() - 1
            };
            let repeated = case.repeated.repeat(PIECE_BYTES / case.repeated.len());
            let mut piece = start;
            while stream.write_all(piece.as_bytes()).await.is_ok() {
                taken.lock().expect("no panic")[place].count += piece.len();
                piece.clone_from(&repeated);
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            taken.lock().expect("no panic")[place].closed_at = Some(Instant::now());
        });
    }
}

async fn check(case: &'static EndlessCase, held_bytes: Option<ByteLimits>) -> Result<(), String> {
    let options = FleetOptions { held_bytes, ..FleetOptions::default() };
    let fleet = TestFleet::start_with(1, RestartIdentity::NewId, &options).await;
    let route = |prefix, kind, attempts| StandinRoute {
        prefix,
        kind,
        service: SERVICE,
        attempts,
        is_resumable: false,
    };
    let routes = [
        route("/call/", "non_idempotent", 1),
        route("/again/", "idempotent", 2),
        route("/events/", "streaming", 1),
    ];
    fleet.store.write("op", "config", Some(&config_text(2, HOST, &routes)));
    let taken = TakenLog::default();
    for number in [1, 2] {
        let address = SocketAddr::new(IpAddr::from(Ipv4Addr::new(10, 0, 9, number)), 9000);
        let row = BackendRow {
            service: SERVICE,
            address,
            failure_domain: "domain",
            kind: StandinKind::Plain,
            software: FIRST_SOFTWARE,
            state: "ready",
            slots: 8,
        };
        fleet.store.write("servers", &format!("i-endless-{number}"), Some(&row.text(1)));
        let stack = fleet.net.stack(address.ip());
        tokio::spawn(serve_endless(case, Arc::clone(&taken), stack, address));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    taken.lock().expect("no panic").clear();
    let asked = Instant::now();
    let reply = fleet.send(0, 0, case.path, "").await;
    let took = asked.elapsed();
    tokio::time::sleep(MAX_CLOSE_TIME).await;
    let taken = taken.lock().expect("no panic").clone();
    // The caller stops reading a body after 100 KB.
    let most = taken.iter().map(|it| it.count).max().unwrap_or(0);
    let max_taken = if held_bytes.is_some() { MAX_TAKEN_BYTES } else { MAX_UNLIMITED_BYTES };
    let is_right = !reply.is_served()
        && took <= MAX_ANSWER_TIME
        && !taken.is_empty()
        && most <= max_taken
        && taken.iter().all(|it| it.closed_at.is_some());
    let limits = if held_bytes.is_some() { "limits" } else { "no limits" };
    let status = reply.status;
    println!("{} ({limits}): {status:?} after {took:?}, {most} bytes, {}", case.name, taken.len());
    if is_right {
        return Ok(());
    }
    Err(format!("{} ({limits}): {reply:?} after {took:?}, taken: {taken:?}", case.name))
}

#[tokio::test(start_paused = true)]
async fn answers_without_end_are_bounded_and_their_callers_are_answered() {
    let mut failures = Vec::new();
    for case in &CASES {
        for held_bytes in [Some(HELD_BYTES), None] {
            failures.extend(check(case, held_bytes).await.err());
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
