//! Tests a whole host with peers that read and send slowly: its memory is bounded, and other
//! callers are not affected.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use common::{CALLERS, READINESS, TestSite, config};
use dillspool_forward::{BackendResponse, CallError};
use dillspool_io::{
    ByteLimits, HostClock, HttpClient, MemoryNet, NetStack, NetStream, ResponseBody, channel_body,
    exchange_with_budget, full_body, read_body,
};
use dillspool_router::{RouterConfig, RouterDaemon};
use dillspool_routing::{ClientLimits, RequestKind, RouteEntry, RouteTable, RoutingConfig};
use http_body_util::Full;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Request, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

/// Size of a long response.
const LONG_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Size of its chunks.
const CHUNK_BYTES: usize = 16 * 1024;
/// Time that a short call takes at its backend server.
const WORK_TIME: Duration = Duration::from_millis(30);
const METRICS: &str = "10.0.0.1:7660";
/// A backend server that accepts connections and reads nothing.
const STALLED_BACKEND: &str = "10.0.0.7:80";

/// Limits of a host with 88 MB of memory.
const SMALL_HOST: ByteLimits = ByteLimits {
    max_bytes: 26_400_000,
    max_buffered_response_bytes: 64 * 1024,
    stall_timeout: Duration::from_secs(8),
};

/// A host with limited bytes, its network, and the work of its backend server.
struct LimitedHost {
    net: MemoryNet,
    _daemon: RouterDaemon,
    client: HttpClient,
    arrivals: Arc<AtomicUsize>,
    /// Responses that have not been read to their end.
    open_responses: Arc<AtomicUsize>,
}

fn stack(net: &MemoryNet, node: &str) -> NetStack {
    net.stack(node.parse().expect("an address"))
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// Adds a route for streams to the common configuration.
fn decode_config(text: &str) -> Result<RoutingConfig, String> {
    let config = common::decode_config(text)?;
    let plain = config.routes.find("a.example", "/x/").expect("the route");
    let stream = RouteEntry {
        path_prefix: "/s/".into(),
        kind: RequestKind::Streaming,
        max_event_gap: Some(Duration::from_millis(300)),
        ..RouteEntry::clone(plain)
    };
    let routes = RouteTable::new([RouteEntry::clone(plain), stream]);
    let limits = ClientLimits { max_body_bytes: 2_000_000, ..config.limits };
    Ok(RoutingConfig { routes, limits, services: BTreeMap::default(), ..config })
}

impl LimitedHost {
    async fn start(held_bytes: Option<ByteLimits>) -> Self {
        let net = MemoryNet::new();
        let site = TestSite::default();
        site.write_config("1 /x/");
        let mut protocol = common::site(&site);
        protocol.decode_config = decode_config;
        let (arrivals, open_responses) = (Arc::<AtomicUsize>::default(), Arc::default());
        let (arrived, open) = (Arc::clone(&arrivals), Arc::clone(&open_responses));
        let backend_stack = stack(&net, "10.0.0.1");
        protocol.calls.forward = Arc::new(move |_entry, request, _terms| {
            arrived.fetch_add(1, Ordering::Relaxed);
            let (open, backend_stack) = (Arc::clone(&open), backend_stack.clone());
            Box::pin(async move {
                if request.uri.path() == "/x/unreading" {
                    let sent = Request::post("/").body(Full::new(request.body.clone()));
                    let sent = sent.expect("a request");
                    let (to, limit) = (address(STALLED_BACKEND), Duration::from_secs(1));
                    let ended =
                        exchange_with_budget(&backend_stack, to, sent, limit, &request.held_bytes)
                            .await;
                    let reason = format!("{ended:?}");
                    return Err(CallError::Lost { reason });
                }
                tokio::time::sleep(WORK_TIME).await;
                Ok(respond(request.uri.path(), &open))
            })
        });
        let config = RouterConfig { held_bytes, ..config() };
        let host_stack = stack(&net, "10.0.0.1");
        let daemon = RouterDaemon::start(config, host_stack, protocol, HostClock::steady()).await;
        let client = HttpClient::pooled(&stack(&net, "10.0.0.2"));
        tokio::time::sleep(Duration::from_millis(100)).await;
        Self { net, _daemon: daemon.expect("it starts"), client, arrivals, open_responses }
    }

    /// Sends a request and leaves its response unread.
    async fn send(&self, path: &str, body: &str) -> NetStream {
        let caller = stack(&self.net, "10.0.0.3");
        let mut stream = caller.connect(address(CALLERS)).await.expect("a connection");
        let length = body.len();
        let head = format!("POST {path} HTTP/1.1\r\nhost: a.example\r\nx-id: request-1\r\n");
        let text = format!("{head}content-length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes()).await.expect("it is sent");
        stream
    }

    /// Returns status, text and duration of a request.
    async fn call(&self, to: &str, path: &str, body: Bytes) -> (u16, String, Duration) {
        let started = Instant::now();
        let request = Request::post(path).header("host", "a.example").header("x-id", "request-1");
        let request = request.body(Full::new(body)).expect("a request");
        let response = self.client.send(address(to), request).await.expect("a response");
        let status = response.status().as_u16();
        let body =
            read_body(response.into_body(), LONG_RESPONSE_BYTES).await.expect("a complete body");
        (status, String::from_utf8_lossy(&body).into_owned(), started.elapsed())
    }

    async fn short_call(&self) -> (u16, String, Duration) {
        self.call(CALLERS, "/x/usual", Bytes::from_static(b"body")).await
    }

    /// Reads a metric from the metrics page.
    async fn metric(&self, name: &str) -> Option<u64> {
        let (_status, text, _took) = self.call(METRICS, "/metrics", Bytes::new()).await;
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }
}

fn respond(path: &str, open: &Arc<AtomicUsize>) -> BackendResponse {
    let mut headers = HeaderMap::new();
    let body = match path {
        "/x/long" => {
            headers.insert(CONTENT_LENGTH, LONG_RESPONSE_BYTES.into());
            chunked_body(
                LONG_RESPONSE_BYTES / CHUNK_BYTES,
                Bytes::from(vec![b'x'; CHUNK_BYTES]),
                open,
            )
        }
        "/s/stream" => {
            chunked_body(400, Bytes::from(format!("data: {}\n\n", "x".repeat(2000))), open)
        }
        _ => full_body("ok"),
    };
    BackendResponse {
        status: StatusCode::OK,
        headers,
        matches_request_id: true,
        is_sealed: true,
        is_encoded: false,
        did_not_run: false,
        body,
    }
}

/// Body whose chunks are sent one at a time, each after the previous one was read.
fn chunked_body(count: usize, chunk: Bytes, open: &Arc<AtomicUsize>) -> ResponseBody {
    let (sender, receiver) = tokio::sync::mpsc::channel(1);
    let open = Arc::clone(open);
    open.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(async move {
        for _chunk in 0..count {
            if sender.send(Ok(chunk.clone())).await.is_err() {
                break;
            }
        }
        open.fetch_sub(1, Ordering::Relaxed);
    });
    channel_body(receiver)
}

async fn sleep_secs(seconds: u64) {
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}

/// Reads one byte per second until the stream ends.
fn read_slowly(mut stream: NetStream) {
    tokio::spawn(async move {
        let mut byte = [0];
        while stream.read(&mut byte).await.is_ok_and(|read| read > 0) {
            sleep_secs(1).await;
        }
    });
}

/// Reads the rest; returns whether the host ended the response before its full length.
async fn is_truncated(mut stream: NetStream) -> bool {
    let mut read = Vec::new();
    // A reset connection has the same result.
    let _reset = stream.read_to_end(&mut read).await;
    read.len() < LONG_RESPONSE_BYTES
}

/// 99th percentile of the duration of short calls by fifty callers, all of which must succeed.
async fn p99_latency(host: &LimitedHost) -> Duration {
    let mut times = Vec::new();
    for _round in 0..20 {
        let calls = (0..50).map(|_caller| host.short_call());
        for (status, text, took) in futures_util::future::join_all(calls).await {
            assert_eq!((status, text.as_str()), (200, "ok"));
            times.push(took);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    times.sort();
    times[times.len() * 99 / 100]
}

/// Guards against memory exhaustion: a host with 88 MB ran out of memory at about 17 callers that
/// read one byte per second.
#[tokio::test(start_paused = true)]
async fn five_hundred_slow_readers_do_not_delay_other_callers() {
    let host = LimitedHost::start(Some(SMALL_HOST)).await;
    let baseline = p99_latency(&host).await;
    for number in 0..500 {
        let path = ["/x/small", "/s/stream", "/x/long"][number % 3];
        read_slowly(host.send(path, "body").await);
    }
    sleep_secs(2).await;
    let loaded = p99_latency(&host).await;
    assert!(
        loaded <= baseline.mul_f64(1.2),
        "{loaded:?} beside slow readers, {baseline:?} without"
    );
    let held = host.metric("dillspool_held_bytes").await.expect("a metric");
    let limit = host.metric("dillspool_held_limit_bytes").await.expect("a metric");
    println!(
        "{held} of {limit} bytes held, p99 {loaded:?} beside slow readers, {baseline:?} without"
    );
    assert!(held > 1_000_000 && held < limit, "{held} of {limit} bytes held");
    assert_eq!(host.call(READINESS, "/", Bytes::new()).await.0, 200);
}

/// Guards against such a request waiting for the route's timeout with a second copy of the body.
#[tokio::test(start_paused = true)]
async fn a_backend_server_that_never_reads_the_body_times_out() {
    let host = LimitedHost::start(Some(SMALL_HOST)).await;
    let listener = stack(&host.net, "10.0.0.7").listen(address(STALLED_BACKEND)).await;
    let mut listener = listener.expect("it listens");
    tokio::spawn(async move {
        let mut accepted = Vec::new();
        while let Some(stream) = listener.accept().await {
            accepted.push(stream);
        }
    });
    let body = Bytes::from(vec![b'x'; 1_000_000]);
    let (status, _text, took) = host.call(CALLERS, "/x/unreading", body).await;
    assert_eq!((status, took.as_secs()), (502, 8));
    assert_eq!(host.arrivals.load(Ordering::Relaxed), 1);
    let stalled = "dillspool_exchanges_stalled_total{side=\"backend\"}";
    assert_eq!(host.metric(stalled).await, Some(1));
    assert_eq!(host.metric("dillspool_held_bytes").await, Some(0));
}

/// Guards against a missed close: a half-closed connection with unread data is not seen as closed.
#[tokio::test(start_paused = true)]
async fn half_closed_connections_are_aborted() {
    let host = LimitedHost::start(Some(SMALL_HOST)).await;
    let mut callers = Vec::new();
    for _caller in 0..200 {
        let mut stream = host.send("/x/long", "body").await;
        stream.write_all(b"POST /x/").await.expect("it is sent");
        stream.shutdown().await.expect("it is closed");
        callers.push(stream);
    }
    sleep_secs(1).await;
    assert_eq!(host.short_call().await.0, 200);
    assert!(host.metric("dillspool_held_bytes").await.expect("a metric") > 1_000_000);
    sleep_secs(8).await;
    assert_eq!(host.metric("dillspool_held_bytes").await, Some(0));
    assert_eq!(host.open_responses.load(Ordering::Relaxed), 0);
    assert!(is_truncated(callers.pop().expect("a caller")).await);
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_stops_reading_a_response_is_disconnected() {
    let host = LimitedHost::start(Some(SMALL_HOST)).await;
    let mut stream = host.send("/x/long", "body").await;
    let mut read = vec![0; LONG_RESPONSE_BYTES / 2];
    stream.read_exact(&mut read).await.expect("half of it");
    sleep_secs(7).await;
    assert_eq!(host.open_responses.load(Ordering::Relaxed), 1);
    let held = host.metric("dillspool_held_bytes").await.expect("a metric");
    assert!((1..=80_000).contains(&held), "{held} bytes held");
    sleep_secs(2).await;
    assert_eq!(host.open_responses.load(Ordering::Relaxed), 0);
    let stalled = "dillspool_exchanges_stalled_total{side=\"caller\"}";
    assert_eq!(host.metric(stalled).await, Some(1));
    assert!(is_truncated(stream).await);
}

/// A caller that sends its body byte by byte, or stops, only uses the bytes it has sent.
#[tokio::test(start_paused = true)]
async fn a_caller_that_stops_sending_is_refused_without_a_run() {
    let host = LimitedHost::start(Some(SMALL_HOST)).await;
    let mut stream = host.send("/x/usual", "").await;
    let mut read = vec![0; 1000];
    let _first_response = stream.read(&mut read).await.expect("a response");
    let head =
        "POST /x/usual HTTP/1.1\r\nhost: a.example\r\nx-id: r\r\ncontent-length: 100000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    stream.write_all(&vec![b'x'; 40_000]).await.expect("it is sent");
    sleep_secs(7).await;
    assert_eq!(host.metric("dillspool_held_bytes").await, Some(40_000));
    sleep_secs(2).await;
    let length = stream.read(&mut read).await.expect("a response");
    assert!(read[..length].starts_with(b"HTTP/1.1 408"));
    assert_eq!(host.metric("dillspool_held_bytes").await, Some(0));
    assert_eq!(host.arrivals.load(Ordering::Relaxed), 1);
}

/// Requests beyond the limit are refused at once and do not run; the others get complete responses.
#[tokio::test(start_paused = true)]
async fn requests_beyond_the_limit_are_refused_at_once() {
    let limits = ByteLimits { max_bytes: 1_000_000, ..SMALL_HOST };
    let host = LimitedHost::start(Some(limits)).await;
    let body = Bytes::from(vec![b'x'; 100_000]);
    let surge = (0..60).map(|_call| host.call(CALLERS, "/x/usual", body.clone()));
    let readiness = async {
        tokio::time::sleep(WORK_TIME / 2).await;
        host.call(READINESS, "/", Bytes::new()).await.0
    };
    let (responses, ready) = tokio::join!(futures_util::future::join_all(surge), readiness);
    let served = responses.iter().filter(|it| it.0 == 200).count();
    assert_eq!(served, 9, "as many as fit");
    assert_eq!(host.arrivals.load(Ordering::Relaxed), served, "what was refused did not run");
    for (status, text, took) in responses.iter().filter(|it| it.0 != 200) {
        assert_eq!((*status, text.as_str()), (503, "host_full"));
        assert!(*took < Duration::from_millis(20), "{took:?}");
    }
    assert_eq!(ready, 503, "while nearly all of the limit is held");
    assert_eq!(host.short_call().await.0, 200);
    assert_eq!(host.call(READINESS, "/", Bytes::new()).await.0, 200);
    assert_eq!(host.metric("dillspool_held_bytes").await, Some(0));
}

/// Open exchanges continue at the limit; only the largest one is aborted for them.
#[tokio::test(start_paused = true)]
async fn an_open_exchange_beyond_the_limit_aborts_the_largest() {
    let limits = ByteLimits { max_bytes: 300_000, ..SMALL_HOST };
    let host = LimitedHost::start(Some(limits)).await;
    let mut callers = Vec::new();
    for _caller in 0..12 {
        callers.push(host.send("/x/long", "body").await);
    }
    sleep_secs(6).await;
    let held = host.metric("dillspool_held_bytes").await.expect("a metric");
    assert!(held <= limits.max_bytes, "{held} bytes held");
    let ended = host.metric("dillspool_exchanges_stalled_total{side=\"budget\"}").await;
    assert!(ended.is_some_and(|ended| (1..12).contains(&ended)), "{ended:?}");
    for caller in callers {
        drop(caller);
    }
    sleep_secs(1).await;
    assert_eq!(host.metric("dillspool_held_bytes").await, Some(0));
    assert_eq!(host.short_call().await.0, 200);
}

/// Without the setting nothing is limited, aborted or counted.
#[tokio::test(start_paused = true)]
async fn without_a_limit_nothing_is_refused_or_aborted() {
    let host = LimitedHost::start(None).await;
    let stream = host.send("/x/long", "body").await;
    sleep_secs(60).await;
    assert!(!is_truncated(stream).await);
    assert_eq!(host.metric("dillspool_held_bytes").await, None);
    assert_eq!(host.call(READINESS, "/", Bytes::new()).await.0, 200);
}
