//! Checks that a server at its limit of connections makes room for new ones.

use std::net::SocketAddr;
use std::time::Duration;

use dillspool_io::{MemoryNet, NetStream, ServerLimits, handler, serve_http, text_response};
use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_util::sync::CancellationToken;

const ADDRESS: &str = "10.0.0.1:80";
const MAX_CONNECTIONS: usize = 40;
/// Time that `/slow` takes.
const SLOW: Duration = Duration::from_secs(2);
/// Time within which a new connection must get its response.
const MAX_WAIT: Duration = Duration::from_millis(500);

fn address() -> SocketAddr {
    ADDRESS.parse().expect("an address")
}

async fn start(net: &MemoryNet) {
    let listener = net.stack(address().ip()).listen(address()).await.expect("a free address");
    let limits = ServerLimits { max_connections: MAX_CONNECTIONS, ..ServerLimits::default() };
    let answer = handler(|request| async move {
        if request.uri().path() == "/slow" {
            tokio::time::sleep(SLOW).await;
        }
        text_response(StatusCode::OK, "text/plain", "ok")
    });
    tokio::spawn(serve_http(listener, limits, answer, CancellationToken::new()));
}

async fn connect(net: &MemoryNet) -> NetStream {
    let client = net.stack("10.0.0.2".parse().expect("an address"));
    client.connect(address()).await.expect("the server listens")
}

async fn send(stream: &mut NetStream, path: &str) {
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("an open connection");
}

/// Reads a response; `None` if the connection ends without one.
async fn receive(stream: &mut NetStream) -> Option<String> {
    let mut text = String::new();
    while !text.ends_with("ok") {
        let mut bytes = [0; 1024];
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => text.push_str(&String::from_utf8_lossy(&bytes[..count])),
        }
    }
    Some(text)
}

/// Guards against a server that accepts no new connection while idle ones take up its limit.
#[tokio::test(start_paused = true)]
async fn new_connections_are_served_while_kept_ones_reach_the_limit() {
    let net = MemoryNet::new();
    start(&net).await;
    let mut slow = Vec::new();
    for _connection in 0..4 {
        let mut stream = connect(&net).await;
        send(&mut stream, "/slow").await;
        slow.push(stream);
    }
    let mut kept = Vec::new();
    for number in 0..3 * MAX_CONNECTIONS {
        let mut stream = connect(&net).await;
        send(&mut stream, "/").await;
        let response = tokio::time::timeout(MAX_WAIT, receive(&mut stream)).await;
        let response = response.unwrap_or_else(|_elapsed| panic!("{number}: not served in time"));
        assert!(response.is_some(), "{number}: no response");
        kept.push(stream);
    }
    // Making room breaks no response off.
    for stream in &mut slow {
        assert!(receive(stream).await.is_some(), "a response in progress was broken off");
    }
    // The newest connections are still open.
    let newest = kept.last_mut().expect("connections");
    send(newest, "/").await;
    assert!(receive(newest).await.is_some());
}
