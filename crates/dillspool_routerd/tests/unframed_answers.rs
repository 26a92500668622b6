//! Checks answers of backend servers that have neither a length nor chunks and end with their connection.
//!
//! Such an answer is complete when its connection is closed, and broken off when it is reset. A stream that ends inside
//! an event has been broken off, whatever ended its connection.

mod fleet;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use dillspool_io::{LinkMode, NetStack};
use dillspool_site_standin::{
    BackendRow, FIRST_SOFTWARE, REQUEST_ID, SEAL, StandinKind, StandinRoute, config_text,
};
use fleet::{CallerReply, RestartIdentity, TestFleet};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const SERVICE: &str = "unframed";
const BACKEND: &str = "i-unframed";
const HOST: &str = "fleet.example";

/// How an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerEnd {
    /// Its connection is closed.
    Closed,
    /// Its connection is reset.
    Reset,
}

/// What the backend server answers on each attempt; the last one is repeated.
type Script = &'static [(&'static str, AnswerEnd)];

const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
const INSIDE_EVENT: &str = "id: 1\ndata: one\n\nid: 2\nda";
const LAST_EVENT: &str = "id: 2\ndata: two\n\n";

struct UnframedCase {
    name: &'static str,
    path: &'static str,
    script: Script,
    /// The body that the caller must get as a complete success; `None` if it must get none.
    complete: Option<&'static str>,
}

const CASES: [UnframedCase; 8] = [
    UnframedCase {
        name: "a call",
        path: "/call/1",
        script: &[("answer", AnswerEnd::Closed)],
        complete: Some("answer"),
    },
    UnframedCase {
        name: "a call without a body",
        path: "/call/1",
        script: &[("", AnswerEnd::Closed)],
        complete: Some(""),
    },
    UnframedCase {
        name: "a call that is reset",
        path: "/call/1",
        script: &[("answ", AnswerEnd::Reset)],
        complete: None,
    },
    UnframedCase {
        name: "a stream",
        path: "/events/1",
        script: &[(EVENTS, AnswerEnd::Closed)],
        complete: Some(EVENTS),
    },
    UnframedCase {
        name: "a stream that ends inside an event",
        path: "/events/1",
        script: &[(INSIDE_EVENT, AnswerEnd::Closed)],
        complete: None,
    },
    UnframedCase {
        name: "a stream that is reset between two events",
        path: "/events/1",
        script: &[("id: 1\ndata: one\n\n", AnswerEnd::Reset)],
        complete: None,
    },
    UnframedCase {
        name: "a resumable stream that ends inside an event, and goes on",
        path: "/resumed/1",
        script: &[(INSIDE_EVENT, AnswerEnd::Closed), (LAST_EVENT, AnswerEnd::Closed)],
        complete: Some(EVENTS),
    },
    UnframedCase {
        name: "a resumable stream that is reset inside an event, and goes on",
        path: "/resumed/1",
        script: &[(INSIDE_EVENT, AnswerEnd::Reset), (LAST_EVENT, AnswerEnd::Closed)],
        complete: Some(EVENTS),
    },
];

fn backend_address(number: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::from(Ipv4Addr::new(10, 0, 9, number)), 9000)
}

/// What all backend servers of a test share.
#[derive(Clone)]
struct ScriptedAnswers {
    fleet: Arc<TestFleet>,
    script: Script,
    /// Number of answers so far.
    count: Arc<AtomicUsize>,
}

/// Answers one request on each connection.
async fn serve_unframed(answers: ScriptedAnswers, stack: NetStack, address: SocketAddr) {
    let mut listener = stack.listen(address).await.expect("a free address");
    while let Some(mut stream) = listener.accept().await {
        let answers = answers.clone();
        tokio::spawn(async move {
            let mut request = Vec::new();
            while !request.windows(4).any(|end| end == b"\r\n\r\n") {
                let mut bytes = [0; 4096];
                match stream.read(&mut bytes).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => request.extend_from_slice(&bytes[..count]),
                }
            }
            let text = String::from_utf8_lossy(&request).into_owned();
            let header = |name: &str| {
                let mut lines = text.lines().filter_map(|line| line.split_once(": "));
                lines.find(|(key, _value)| key.eq_ignore_ascii_case(name)).map(|(_key, it)| it)
            };
            let id = header(REQUEST_ID).unwrap_or_default();
            let number = answers.count.fetch_add(1, Ordering::Relaxed);
            let (body, end) = answers.script[number.min(answers.script.len() - 1)];
            let head = format!("HTTP/1.1 200 OK\r\n{REQUEST_ID}: {id}\r\n{SEAL}: s\r\n\r\n");
            let answer = format!("{head}{body}");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            // The answer is read before the connection ends.
            tokio::time::sleep(Duration::from_millis(50)).await;
            match end {
                AnswerEnd::Closed => {
                    let _closed = stream.shutdown().await;
                }
                AnswerEnd::Reset => {
                    for host in 0..2 {
                        answers.fleet.set_link_to(host, address.ip(), LinkMode::Cut);
                        answers.fleet.set_link_to(host, address.ip(), LinkMode::Open);
                    }
                }
            }
        });
    }
}

async fn send(case: &UnframedCase) -> CallerReply {
    let fleet = Arc::new(TestFleet::start(2, RestartIdentity::NewId).await);
    let route = |prefix, kind, attempts, is_resumable| StandinRoute {
        prefix,
        kind,
        service: SERVICE,
        attempts,
        is_resumable,
    };
    let routes = [
        route("/call/", "non_idempotent", 1, false),
        route("/events/", "streaming", 1, false),
        route("/resumed/", "streaming", 3, true),
    ];
    fleet.store.write("op", "config", Some(&config_text(2, HOST, &routes)));
    let answers =
        ScriptedAnswers { fleet: Arc::clone(&fleet), script: case.script, count: Arc::default() };
    for number in [1, 2] {
        let address = backend_address(number);
        let row = BackendRow {
            service: SERVICE,
            address,
            failure_domain: "domain",
            kind: StandinKind::Plain,
            software: FIRST_SOFTWARE,
            state: "ready",
            slots: 8,
        };
        let stack = fleet.net.stack(address.ip());
        fleet.store.write("servers", &format!("{BACKEND}-{number}"), Some(&row.text(1)));
        tokio::spawn(serve_unframed(answers.clone(), stack, address));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.send(0, 0, case.path, "").await
}

#[tokio::test(start_paused = true)]
async fn answers_without_length_end_with_their_connection() {
    for case in &CASES {
        let reply = send(case).await;
        let complete = reply.body.as_deref().filter(|_body| reply.status == Some(200));
        assert_eq!(complete, case.complete, "{}: {reply:?}", case.name);
    }
}
