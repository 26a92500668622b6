//! Tests that the error of a failed call says whether the server may have processed it.

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
enum CallOutcome {
    Answered,
    NotSent,
    Lost,
    Status,
}

struct CallCase {
    name: &'static str,
    path: &'static str,
    /// Link mode before the call.
    before: LinkMode,
    /// Link mode from 100 ms after the start of the call.
    during: LinkMode,
    outcome: CallOutcome,
}

const CASES: [CallCase; 6] = [
    CallCase {
        name: "success",
        path: "/ok",
        before: LinkMode::Open,
        during: LinkMode::Open,
        outcome: CallOutcome::Answered,
    },
    CallCase {
        name: "no connection",
        path: "/ok",
        before: LinkMode::Cut,
        during: LinkMode::Cut,
        outcome: CallOutcome::NotSent,
    },
    CallCase {
        name: "cut while the server works",
        path: "/slow",
        before: LinkMode::Open,
        during: LinkMode::Cut,
        outcome: CallOutcome::Lost,
    },
    CallCase {
        name: "frozen while the server works",
        path: "/slow",
        before: LinkMode::Open,
        during: LinkMode::Frozen,
        outcome: CallOutcome::Lost,
    },
    CallCase {
        name: "response of the wrong type",
        path: "/text",
        before: LinkMode::Open,
        during: LinkMode::Open,
        outcome: CallOutcome::Lost,
    },
    CallCase {
        name: "error status",
        path: "/none",
        before: LinkMode::Open,
        during: LinkMode::Open,
        outcome: CallOutcome::Status,
    },
];

async fn serve(net: &MemoryNet) -> SocketAddr {
    let listener =
        net.stack(SERVER).listen(SocketAddr::new(SERVER, 0)).await.expect("the port is free");
    let address = listener.local_addr();
    let test_handler = handler(|request: hyper::Request<hyper::body::Incoming>| async move {
        let json = |text: &'static str| text_response(StatusCode::OK, "application/json", text);
        match request.uri().path() {
            "/ok" => json("7"),
            "/slow" => {
                tokio::time::sleep(Duration::from_secs(1)).await;
                json("7")
            }
            "/text" => json("not a number"),
            _ => text_response(StatusCode::NOT_FOUND, "text/plain", "no"),
        }
    });
    tokio::spawn(serve_http(
        listener,
        ServerLimits::default(),
        test_handler,
        CancellationToken::new(),
    ));
    address
}

#[tokio::test(start_paused = true)]
async fn errors_say_whether_a_call_may_have_run() {
    for case in &CASES {
        let net = MemoryNet::new();
        let address = serve(&net).await;
        net.set_link(SERVER, CLIENT, case.before);
        let client = HttpClient::pooled(&net.stack(CLIENT));
        let call =
            client.call::<_, u32>(Method::POST, address, case.path, &(), Duration::from_secs(5));
        let change = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            net.set_link(SERVER, CLIENT, case.during);
        };
        let (response, ()) = tokio::join!(call, change);
        let outcome = match response {
            Ok(7) => CallOutcome::Answered,
            Ok(other) => panic!("{}: {other}", case.name),
            Err(HttpError::NotSent { .. }) => CallOutcome::NotSent,
            Err(HttpError::Lost { .. }) => CallOutcome::Lost,
            Err(HttpError::Status { .. }) => CallOutcome::Status,
        };
        assert_eq!(outcome, case.outcome, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_server_finishes_exchanges_in_progress() {
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
    let (response, ()) = tokio::join!(call, end);
    assert_eq!(response.expect("the exchange is finished"), 7);
    served.await.expect("the server ends");
    let after = client.call::<_, u32>(Method::POST, address, "/", &(), limit).await;
    assert!(matches!(after, Err(HttpError::NotSent { .. })), "{after:?}");
}
