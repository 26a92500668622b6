//! Held bytes are counted exactly, stay within their limit, and are freed when a peer stalls.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dillspool_io::{
    ByteBudget, ByteLimits, CallerConnection, ExchangeBytes, HttpError, LinkMode, MemoryNet,
    ServerLimits, StalledSide, exchange_with_budget, full_body, handler, serve_http_with_budget,
};
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::io::AsyncWriteExt;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const TERMS: ByteLimits = ByteLimits {
    max_bytes: 1000,
    max_buffered_response_bytes: 100,
    stall_timeout: Duration::from_secs(8),
};

fn enter(budget: &ByteBudget, id: &str) -> (ExchangeBytes, CancellationToken) {
    let closing = CancellationToken::new();
    (budget.open_exchange(id, closing.clone()), closing)
}

struct HoldCase {
    name: &'static str,
    /// What is held before.
    held: u64,
    asked: u64,
    fits: bool,
    /// Whether a new request with a body of that size fits.
    takes_new: bool,
    is_ready: bool,
}

#[test]
fn bytes_are_held_within_the_limit_and_released_on_drop() {
    let case = |name, held, asked, fits, takes_new, is_ready| HoldCase {
        name,
        held,
        asked,
        fits,
        takes_new,
        is_ready,
    };
    let cases = [
        case("empty", 0, 1000, true, false, false),
        case("beyond the limit", 0, 1001, false, false, true),
        case("room for answers, too", 0, 950, true, true, false),
        case("no room for answers", 0, 951, true, false, false),
        case("up to the limit", 600, 400, true, false, false),
        case("beyond it with another", 600, 401, false, false, true),
    ];
    for case in cases {
        let budget = ByteBudget::new(TERMS);
        let (other, _closing) = enter(&budget, "other");
        let before = other.try_reserve(case.held).expect("room");
        assert_eq!(budget.can_admit(case.asked), case.takes_new, "{}", case.name);
        let (exchange, _closing) = enter(&budget, "asked");
        assert_eq!(
            exchange.empty_guard().try_resize_for_admission(case.asked),
            case.takes_new,
            "{}",
            case.name
        );
        let guard = exchange.try_reserve(case.asked);
        assert_eq!(guard.is_some(), case.fits, "{}", case.name);
        assert_eq!(budget.is_ready(), case.is_ready, "{}", case.name);
        let part = guard.map(|guard| guard.attach(Bytes::from_static(b"part")));
        let copy = part.clone();
        drop(part);
        let held = case.held + if case.fits { case.asked } else { 0 };
        assert_eq!(budget.snapshot().held, held, "{}: a copy still holds", case.name);
        drop((copy, before));
        assert_eq!(budget.snapshot().held, 0, "{}", case.name);
    }
}

/// A host that alternated at one threshold would be listed and delisted with each request.
#[test]
fn readiness_has_a_gap() {
    let budget = ByteBudget::new(TERMS);
    let (exchange, _closing) = enter(&budget, "a");
    let mut guard = exchange.empty_guard();
    for (held, is_ready) in
        [(900, true), (901, false), (800, false), (701, false), (700, true), (900, true)]
    {
        guard.resize(held);
        assert_eq!(budget.is_ready(), is_ready, "{held}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_exchange_in_progress_waits_for_room_and_goes_first() {
    let budget = ByteBudget::new(TERMS);
    let (first, first_ended) = enter(&budget, "first");
    let (second, _ended) = enter(&budget, "second");
    let held = first.reserve(800).await;
    let waiting = tokio::spawn(async move { second.reserve(300).await });
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert!(!budget.can_admit(0), "one in progress waits");
    drop(held);
    let guard = waiting.await.expect("no panic");
    assert_eq!(budget.snapshot().held, 300);
    assert!(!first_ended.is_cancelled());
    drop(guard);
}

struct RoomCase {
    name: &'static str,
    /// What three exchanges hold.
    held: [u64; 3],
    /// What the first one needs beyond.
    needed: u64,
    /// Which of them is ended.
    ended: usize,
}

#[tokio::test(start_paused = true)]
async fn the_exchange_that_holds_the_most_is_ended_after_a_second() {
    let cases = [
        RoomCase { name: "another one", held: [200, 300, 500], needed: 100, ended: 2 },
        RoomCase { name: "the one that asks", held: [500, 300, 200], needed: 100, ended: 0 },
        RoomCase { name: "one that asks for too much", held: [0, 10, 10], needed: 2000, ended: 0 },
    ];
    for case in cases {
        let budget = ByteBudget::new(TERMS);
        let exchanges = ["a", "b", "c"].map(|id| enter(&budget, id));
        let mut guards: Vec<_> = Vec::new();
        for ((exchange, _ended), held) in exchanges.iter().zip(case.held) {
            guards.push(exchange.try_reserve(held).expect("room"));
        }
        let asking = exchanges[0].0.clone();
        let asked = tokio::spawn(async move { asking.reserve(case.needed).await });
        tokio::time::sleep(Duration::from_millis(990)).await;
        assert!(exchanges.iter().all(|it| !it.1.is_cancelled()), "{}: too early", case.name);
        tokio::time::sleep(Duration::from_millis(20)).await;
        for (number, (_exchange, ended)) in exchanges.iter().enumerate() {
            assert_eq!(ended.is_cancelled(), number == case.ended, "{}: {number}", case.name);
        }
        assert_eq!(budget.snapshot().stalled, [0, 0, 1], "{}", case.name);
        asked.abort();
    }
}

/// Many that wait at once must not end one exchange each where one frees enough.
#[tokio::test(start_paused = true)]
async fn no_more_exchanges_are_ended_than_free_enough() {
    let budget = ByteBudget::new(TERMS);
    let large: Vec<_> = ["a", "b"].map(|id| enter(&budget, id)).into_iter().collect();
    let mut guards: Vec<_> =
        large.iter().map(|it| Some(it.0.try_reserve(500).expect("room"))).collect();
    let waiting: Vec<_> = (0..10)
        .map(|number| {
            let (exchange, _closing) = enter(&budget, &format!("w{number}"));
            tokio::spawn(async move { exchange.reserve(20).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(1010)).await;
    let ended: Vec<bool> = large.iter().map(|it| it.1.is_cancelled()).collect();
    assert_eq!(ended.iter().filter(|it| **it).count(), 1);
    for (guard, ended) in guards.iter_mut().zip(ended) {
        if ended {
            *guard = None;
        }
    }
    for hold in waiting {
        assert_eq!(hold.await.expect("no panic").attach(Bytes::new()).len(), 0);
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

/// A caller that never reads its answer would keep it, and the connection, for ever.
#[tokio::test(start_paused = true)]
async fn a_caller_that_reads_nothing_is_cut_off_and_frees_its_bytes() {
    for (name, answer_bytes, stalls) in [("taken at once", 1000, 0), ("unread", 200_000, 1)] {
        let net = MemoryNet::new();
        let budget = ByteBudget::new(ByteLimits { max_bytes: 1 << 20, ..TERMS });
        let answer = handler(move |request: Request<_>| async move {
            let caller = request.extensions().get::<CallerConnection>().expect("a connection");
            let _held = caller.begin_exchange("a");
            Response::new(full_body(vec![b'x'; answer_bytes]))
        });
        let listener = stack(&net, "10.0.0.1").listen(server()).await.expect("it listens");
        let (_limits, limits) = watch::channel(ServerLimits::default());
        let cancel = CancellationToken::new();
        tokio::spawn(serve_http_with_budget(
            listener,
            limits,
            answer,
            Some(budget.clone()),
            cancel,
        ));
        let mut caller = stack(&net, "10.0.0.2").connect(server()).await.expect("a connection");
        caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("it is sent");
        tokio::time::sleep(Duration::from_secs(7)).await;
        let held = budget.snapshot().held;
        let most = if stalls == 0 { 0 } else { answer_bytes as u64 };
        assert!(held <= most && (held > 0) == (stalls > 0), "{name}: {held}");
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(budget.snapshot().held, 0, "{name}");
        assert_eq!(budget.snapshot().stalled, [stalls, 0, 0], "{name}");
    }
}

/// A server that never reads the request's body would hold it until the time limit of the request.
#[tokio::test(start_paused = true)]
async fn a_server_that_reads_no_body_is_given_up() {
    let net = MemoryNet::new();
    let budget = ByteBudget::new(ByteLimits { max_bytes: 1 << 20, ..TERMS });
    let mut listener = stack(&net, "10.0.0.1").listen(server()).await.expect("it listens");
    let accepted = tokio::spawn(async move { listener.accept().await });
    let (held, _closing) = enter(&budget, "a");
    let request = Request::post("/").body(Full::new(vec![b'x'; 500_000].into())).expect("valid");
    let started = tokio::time::Instant::now();
    let near = stack(&net, "10.0.0.2");
    let limit = Duration::from_secs(1);
    let ended = exchange_with_budget(&near, server(), request, limit, &held).await;
    assert!(matches!(ended, Err(HttpError::Lost { .. })), "{ended:?}");
    assert_eq!(started.elapsed().as_secs(), 8);
    assert_eq!(budget.snapshot().stalled, [0, 1, 0]);
    // Only what is in the connection's buffer is charged beside the body, not a second copy of it.
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
