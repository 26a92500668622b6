//! What a failed call tells of its effect, by table: over TCP and over the memory network alike.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use dillspool_io::{
    HttpClient, HttpError, LinkMode, MemoryNet, ServerLimits, handler, serve_http, text_response,
};
use hyper::{Method, StatusCode};
use tokio_util::sync::CancellationToken;

const SERVER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));

#[derive(Clone, Copy, Debug, PartialEq)]
enum CallEffect {
    Answered,
    NotSent,
    Lost,
    Status,
}

struct CallRow {
    name: &'static str,
    path: &'static str,
    /// Link before the call, and 100 ms into it.
    before: LinkMode,
    during: LinkMode,
    effect: CallEffect,
}

const CALLS: [CallRow; 6] = [
    CallRow {
        name: "well",
        path: "/well",
        before: LinkMode::Open,
        during: LinkMode::Open,
        effect: CallEffect::Answered,
    },
    CallRow {
        name: "no connection",
        path: "/well",
        before: LinkMode::Cut,
        during: LinkMode::Cut,
        effect: CallEffect::NotSent,
    },
    CallRow {
        name: "cut while the server works",
        path: "/slow",
        before: LinkMode::Open,
        during: LinkMode::Cut,
        effect: CallEffect::Lost,
    },
    CallRow {
        name: "frozen while the server works",
        path: "/slow",
        before: LinkMode::Open,
        during: LinkMode::Frozen,
        effect: CallEffect::Lost,
    },
    CallRow {
        name: "answer that is not what was asked for",
        path: "/text",
        before: LinkMode::Open,
        during: LinkMode::Open,
        effect: CallEffect::Lost,
    },
    CallRow {
        name: "refused by the server",
        path: "/none",
        before: LinkMode::Open,
        during: LinkMode::Open,
        effect: CallEffect::Status,
    },
];

async fn serve(net: &MemoryNet) -> SocketAddr {
    let listener =
        net.stack(SERVER).listen(SocketAddr::new(SERVER, 0)).await.expect("the port is free");
    let address = listener.local_addr();
    let answers = handler(|request: hyper::Request<hyper::body::Incoming>| async move {
        let json = |text: &'static str| text_response(StatusCode::OK, "application/json", text);
        match request.uri().path() {
            "/well" => json("7"),
            "/slow" => {
                tokio::time::sleep(Duration::from_secs(1)).await;
                json("7")
            }
            "/text" => json("not a number"),
            _ => text_response(StatusCode::NOT_FOUND, "text/plain", "no"),
        }
    });
    tokio::spawn(serve_http(listener, ServerLimits::default(), answers, CancellationToken::new()));
    address
}

#[tokio::test(start_paused = true)]
async fn each_failure_tells_what_is_known_of_the_effect() {
    for row in &CALLS {
        let net = MemoryNet::new();
        let address = serve(&net).await;
        net.set_link(SERVER, CLIENT, row.before);
        let client = HttpClient::pooled(&net.stack(CLIENT));
        let call =
            client.call::<_, u32>(Method::POST, address, row.path, &(), Duration::from_secs(5));
        let change = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            net.set_link(SERVER, CLIENT, row.during);
        };
        let (reply, ()) = tokio::join!(call, change);
        let effect = match reply {
            Ok(7) => CallEffect::Answered,
            Ok(other) => panic!("{}: {other}", row.name),
            Err(HttpError::NotSent { .. }) => CallEffect::NotSent,
            Err(HttpError::Lost { .. }) => CallEffect::Lost,
            Err(HttpError::Status { .. }) => CallEffect::Status,
        };
        assert_eq!(effect, row.effect, "{}", row.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_server_that_is_cancelled_finishes_what_it_has() {
    let net = MemoryNet::new();
    let stack = net.stack(SERVER);
    let listener = stack.listen(SocketAddr::new(SERVER, 0)).await.expect("the port is free");
    let address = listener.local_addr();
    let cancel = CancellationToken::new();
    let slow = handler(|_request| async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        text_response(StatusCode::OK, "application/json", "7")
    });
    let served = tokio::spawn(serve_http(listener, ServerLimits::default(), slow, cancel.clone()));
    let client = HttpClient::pooled(&net.stack(CLIENT));
    let limit = Duration::from_secs(5);
    let call = client.call::<_, u32>(Method::POST, address, "/", &(), limit);
    let end = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cancel.cancel();
    };
    let (reply, ()) = tokio::join!(call, end);
    assert_eq!(reply.expect("the exchange is finished"), 7);
    served.await.expect("the server ends");
    let after = client.call::<_, u32>(Method::POST, address, "/", &(), limit).await;
    assert!(matches!(after, Err(HttpError::NotSent { .. })), "{after:?}");
}
