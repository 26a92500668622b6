//! Tests that held bytes are counted exactly, stay within the limit, and are released when a peer stalls.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dillspool_io::{
    ByteBudget, ByteLimits, CallerConnection, ExchangeBytes, HttpError, LinkMode, MemoryNet,
    ServerGuards, ServerLimits, StalledSide, exchange_with_budget, full_body, handler,
    serve_http_guarded,
};
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::io::AsyncWriteExt;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const LIMITS: ByteLimits = ByteLimits {
    max_bytes: 1000,
    max_buffered_response_bytes: 100,
    stall_timeout: Duration::from_secs(8),
};

fn open(budget: &ByteBudget, id: &str) -> (ExchangeBytes, CancellationToken) {
    let closing = CancellationToken::new();
    (budget.open_exchange(id, closing.clone()), closing)
}

struct ReserveCase {
    name: &'static str,
    /// Bytes held before.
    held: u64,
    requested: u64,
    fits: bool,
    /// Whether a new request with a body of that size is admitted.
    is_admitted: bool,
    is_ready: bool,
}

#[test]
fn reservations_stay_within_the_limit_and_end_on_drop() {
    let case = |name, held, requested, fits, is_admitted, is_ready| ReserveCase {
        name,
        held,
        requested,
        fits,
        is_admitted,
        is_ready,
    };
    let cases = [
        case("empty", 0, 1000, true, false, false),
        case("beyond the limit", 0, 1001, false, false, true),
        case("capacity left for responses", 0, 950, true, true, false),
        case("no capacity left for responses", 0, 951, true, false, false),
        case("up to the limit", 600, 400, true, false, false),
        case("beyond the limit with another", 600, 401, false, false, true),
    ];
    for case in cases {
        let budget = ByteBudget::new(LIMITS);
        let (other, _closing) = open(&budget, "other");
        let before = other.try_reserve(case.held).expect("capacity");
        assert_eq!(budget.can_admit(case.requested), case.is_admitted, "{}", case.name);
        let (exchange, _closing) = open(&budget, "new");
        assert_eq!(
            exchange.empty_guard().try_resize_for_admission(case.requested),
            case.is_admitted,
            "{}",
            case.name
        );
        let guard = exchange.try_reserve(case.requested);
        assert_eq!(guard.is_some(), case.fits, "{}", case.name);
        assert_eq!(budget.is_ready(), case.is_ready, "{}", case.name);
        let attached = guard.map(|guard| guard.attach(Bytes::from_static(b"part")));
        let copy = attached.clone();
        drop(attached);
        let held = case.held + if case.fits { case.requested } else { 0 };
        assert_eq!(budget.snapshot().held, held, "{}: the copy keeps the reservation", case.name);
        drop((copy, before));
        assert_eq!(budget.snapshot().held, 0, "{}", case.name);
    }
}

/// With a single threshold, a host near it would change its readiness with each request.
#[test]
fn readiness_has_hysteresis() {
    let budget = ByteBudget::new(LIMITS);
    let (exchange, _closing) = open(&budget, "a");
    let mut guard = exchange.empty_guard();
    for (held, is_ready) in
        [(900, true), (901, false), (800, false), (701, false), (700, true), (900, true)]
    {
        guard.resize(held);
        assert_eq!(budget.is_ready(), is_ready, "{held}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_waiting_exchange_goes_before_new_requests() {
    let budget = ByteBudget::new(LIMITS);
    let (first, first_closing) = open(&budget, "first");
    let (second, _closing) = open(&budget, "second");
    let held = first.reserve(800).await;
    let waiting = tokio::spawn(async move { second.reserve(300).await });
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert!(!budget.can_admit(0), "an exchange in progress waits");
    drop(held);
    let guard = waiting.await.expect("no panic");
    assert_eq!(budget.snapshot().held, 300);
    assert!(!first_closing.is_cancelled());
    drop(guard);
}

struct AbortCase {
    name: &'static str,
    /// Bytes held by each of three exchanges.
    held: [u64; 3],
    /// Additional bytes that the first exchange needs.
    needed: u64,
    /// Index of the exchange that is aborted.
    aborted: usize,
}

#[tokio::test(start_paused = true)]
async fn the_largest_exchange_is_aborted_after_a_second() {
    let cases = [
        AbortCase { name: "another exchange", held: [200, 300, 500], needed: 100, aborted: 2 },
        AbortCase { name: "the waiting exchange", held: [500, 300, 200], needed: 100, aborted: 0 },
        AbortCase {
            name: "an exchange that needs more than the limit",
            held: [0, 10, 10],
            needed: 2000,
            aborted: 0,
        },
    ];
    for case in cases {
        let budget = ByteBudget::new(LIMITS);
        let exchanges = ["a", "b", "c"].map(|id| open(&budget, id));
        let mut guards: Vec<_> = Vec::new();
        for ((exchange, _closing), held) in exchanges.iter().zip(case.held) {
            guards.push(exchange.try_reserve(held).expect("capacity"));
        }
        let waiting = exchanges[0].0.clone();
        let reservation = tokio::spawn(async move { waiting.reserve(case.needed).await });
        tokio::time::sleep(Duration::from_millis(990)).await;
        assert!(exchanges.iter().all(|it| !it.1.is_cancelled()), "{}: too early", case.name);
        tokio::time::sleep(Duration::from_millis(20)).await;
        for (number, (_exchange, closing)) in exchanges.iter().enumerate() {
            assert_eq!(closing.is_cancelled(), number == case.aborted, "{}: {number}", case.name);
        }
        assert_eq!(budget.snapshot().stalled, [0, 0, 1], "{}", case.name);
        reservation.abort();
    }
}

/// Guards against each waiting exchange aborting another one when a single abort releases enough.
#[tokio::test(start_paused = true)]
async fn no_more_exchanges_are_aborted_than_needed() {
    let budget = ByteBudget::new(LIMITS);
    let large: Vec<_> = ["a", "b"].map(|id| open(&budget, id)).into_iter().collect();
    let mut guards: Vec<_> =
        large.iter().map(|it| Some(it.0.try_reserve(500).expect("capacity"))).collect();
    let waiting: Vec<_> = (0..10)
        .map(|number| {
            let (exchange, _closing) = open(&budget, &format!("w{number}"));
            tokio::spawn(async move { exchange.reserve(20).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(1010)).await;
    let aborted: Vec<bool> = large.iter().map(|it| it.1.is_cancelled()).collect();
    assert_eq!(aborted.iter().filter(|it| **it).count(), 1);
    for (guard, aborted) in guards.iter_mut().zip(aborted) {
        if aborted {
            *guard = None;
        }
    }
    for reservation in waiting {
        assert_eq!(reservation.await.expect("no panic").attach(Bytes::new()).len(), 0);
    }
}

#[tokio::test(start_paused = true)]
async fn without_a_budget_nothing_is_counted_or_limited() {
    let exchange = ExchangeBytes::default();
    let guard = exchange.reserve(u64::MAX).await;
    assert!(exchange.try_reserve(u64::MAX).is_some());
    assert_eq!((exchange.held(), exchange.limits()), (0, None));
    drop(guard);
}

const SERVER: &str = "10.0.0.1:80";

fn stack(net: &MemoryNet, node: &str) -> dillspool_io::NetStack {
    net.stack(node.parse().expect("an address"))
}

fn server() -> SocketAddr {
    SERVER.parse().expect("an address")
}

/// Without the stall timeout, a caller that never reads its response would keep the response and the
/// connection forever.
#[tokio::test(start_paused = true)]
async fn a_caller_that_reads_nothing_is_disconnected() {
    for (name, response_bytes, stalls) in [("read immediately", 1000, 0), ("unread", 200_000, 1)] {
        let net = MemoryNet::new();
        let budget = ByteBudget::new(ByteLimits { max_bytes: 1 << 20, ..LIMITS });
        let test_handler = handler(move |request: Request<_>| async move {
            let caller = request.extensions().get::<CallerConnection>().expect("a connection");
            let _held = caller.begin_exchange("a");
            Response::new(full_body(vec![b'x'; response_bytes]))
        });
        let listener = stack(&net, "10.0.0.1").listen(server()).await.expect("it listens");
        let (_limits, limits) = watch::channel(ServerLimits::default());
        let cancel = CancellationToken::new();
        tokio::spawn(serve_http_guarded(
            listener,
            limits,
            test_handler,
            ServerGuards { budget: Some(budget.clone()), gate: None },
            cancel,
        ));
        let mut caller = stack(&net, "10.0.0.2").connect(server()).await.expect("a connection");
        caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("it is sent");
        tokio::time::sleep(Duration::from_secs(7)).await;
        let held = budget.snapshot().held;
        let max_held = if stalls == 0 { 0 } else { response_bytes as u64 };
        assert!(held <= max_held && (held > 0) == (stalls > 0), "{name}: {held}");
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(budget.snapshot().held, 0, "{name}");
        assert_eq!(budget.snapshot().stalled, [stalls, 0, 0], "{name}");
    }
}

/// Without the stall timeout, a server that never reads the request body would keep it in memory until the
/// request times out.
#[tokio::test(start_paused = true)]
async fn an_exchange_fails_if_the_server_reads_no_body() {
    let net = MemoryNet::new();
    let budget = ByteBudget::new(ByteLimits { max_bytes: 1 << 20, ..LIMITS });
    let mut listener = stack(&net, "10.0.0.1").listen(server()).await.expect("it listens");
    let accepted = tokio::spawn(async move { listener.accept().await });
    let (held, _closing) = open(&budget, "a");
    let request = Request::post("/").body(Full::new(vec![b'x'; 500_000].into())).expect("valid");
    let started = tokio::time::Instant::now();
    let client = stack(&net, "10.0.0.2");
    let limit = Duration::from_secs(1);
    let outcome = exchange_with_budget(&client, server(), request, limit, &held).await;
    assert!(matches!(outcome, Err(HttpError::Lost { .. })), "{outcome:?}");
    assert_eq!(started.elapsed().as_secs(), 8);
    assert_eq!(budget.snapshot().stalled, [0, 1, 0]);
    // Only the connection's buffer is charged in addition to the body, not a second copy of the body.
    assert!(budget.snapshot().peak_held <= 64 * 1024, "{:?}", budget.snapshot());
    drop(accepted);
    net.set_link(
        "10.0.0.1".parse().expect("an address"),
        "10.0.0.2".parse().expect("an address"),
        LinkMode::Cut,
    );
    assert_eq!(budget.snapshot().held, 0);
    assert_eq!(StalledSide::ALL.map(StalledSide::name), ["caller", "backend", "budget"]);
}
