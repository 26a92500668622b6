//! Tests authorization: known, unknown and revoked keys, and a host with a stale configuration.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use common::{CALLERS, TestSite};
use dillspool_io::{HostClock, HttpClient, MemoryNet, read_body};
use dillspool_router::RouterDaemon;
use http_body_util::Full;
use hyper::Request;
use hyper::header::RETRY_AFTER;

struct TestHost {
    site: TestSite,
    _daemon: RouterDaemon,
    /// Client with pooled connections.
    client: HttpClient,
}

impl TestHost {
    async fn start(config: &str) -> Self {
        let site = TestSite::default();
        site.write_config(config);
        let net = MemoryNet::new();
        let stack = net.stack("10.0.0.1".parse().expect("an address"));
        let protocol = common::site(&site);
        let daemon = RouterDaemon::start(common::config(), stack, protocol, HostClock::steady())
            .await
            .expect("it starts");
        let client = HttpClient::pooled(&net.stack("10.0.0.2".parse().expect("an address")));
        sleep_ms(100).await;
        Self { site, _daemon: daemon, client }
    }

    /// Returns the status, and whether the response has a Retry-After header.
    async fn send(&self, path: &str, key: &str) -> (u16, bool) {
        let address: SocketAddr = CALLERS.parse().expect("an address");
        let builder = Request::builder().method("POST").uri(path).header("host", "a.example");
        let builder = builder.header("x-id", "request-1");
        let builder = if key.is_empty() { builder } else { builder.header("x-key", key) };
        let request = builder.body(Full::new(Bytes::from("body"))).expect("a request");
        let response = self.client.send(address, request).await.expect("a response");
        let (status, has_retry_after) =
            (response.status().as_u16(), response.headers().contains_key(RETRY_AFTER));
        let _body = read_body(response.into_body(), 10_000).await.expect("a complete body");
        (status, has_retry_after)
    }

    fn arrivals(&self) -> Vec<String> {
        std::mem::take(&mut self.site.arrivals.lock().unwrap())
    }
}

async fn sleep_ms(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

struct KeyCase {
    name: &'static str,
    config: &'static str,
    path: &'static str,
    key: &'static str,
    status: u16,
    /// Path and workspace that reached the backend server.
    arrived: Option<&'static str>,
}

#[tokio::test(start_paused = true)]
async fn a_key_authorizes_requests_of_its_workspace() {
    let known = "1 /x/ county:k1,k2 clinic:k3";
    let keyless = "1 /x/ keyless county:k1";
    let case = |name, config, path, key, status, arrived| KeyCase {
        name,
        config,
        path,
        key,
        status,
        arrived,
    };
    let cases = [
        case("first key", known, "/x/", "k1", 200, Some("/x/county")),
        case("second key", known, "/x/", "k2", 200, Some("/x/county")),
        case("another workspace", known, "/x/", "k3", 200, Some("/x/clinic")),
        case("unknown", known, "/x/", "k4", 401, None),
        case("workspace name instead of a key", known, "/x/", "county", 401, None),
        case("no key", known, "/x/", "", 401, None),
        case("no route", known, "/y/", "k1", 404, None),
        case("keyless route", keyless, "/x/", "", 200, Some("/x/")),
        case("keyless route, a key", keyless, "/x/", "k1", 200, Some("/x/")),
        case("keyless route, unknown key", keyless, "/x/", "k9", 200, Some("/x/")),
        case("no workspaces", "1 /x/", "/x/", "k1", 200, Some("/x/")),
    ];
    for case in cases {
        let host = TestHost::start(case.config).await;
        assert_eq!(host.send(case.path, case.key).await, (case.status, false), "{}", case.name);
        let arrived = case.arrived.map(str::to_owned);
        assert_eq!(host.arrivals(), arrived.into_iter().collect::<Vec<_>>(), "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_revoked_key_is_refused_on_an_open_connection() {
    let host = TestHost::start("1 /x/ county:k1 clinic:k2").await;
    assert_eq!(host.send("/x/", "k1").await, (200, false));
    host.site.write_config("2 /x/ clinic:k2");
    sleep_ms(3000).await;
    assert_eq!(host.send("/x/", "k1").await, (401, false));
    assert_eq!(host.send("/x/", "k2").await, (200, false));
    host.site.write_config("3 /x/ clinic:k1,k2");
    sleep_ms(3000).await;
    host.arrivals();
    assert_eq!(host.send("/x/", "k1").await, (200, false));
    assert_eq!(host.arrivals(), ["/x/clinic"], "it belongs to another workspace now");
}

#[tokio::test(start_paused = true)]
async fn a_host_with_a_stale_configuration_asks_to_retry_unknown_keys_and_routes() {
    let host = TestHost::start("1 /x/ county:k1").await;
    assert_eq!(host.send("/x/", "k2").await, (401, false));
    assert_eq!(host.send("/y/", "k1").await, (404, false));
    host.site.is_store_unavailable.store(true, Ordering::Relaxed);
    host.site.write_config("2 /x/ county:k2");
    sleep_ms(10_000).await;
    // The key or route may have been added since; another host may know it.
    assert_eq!(host.send("/x/", "k2").await, (503, true));
    assert_eq!(host.send("/y/", "k1").await, (503, true));
    // No configuration could contain this one.
    assert_eq!(host.send("/x/", "").await, (401, false));
    // Known keys work for as long as an outage lasts.
    assert_eq!(host.send("/x/", "k1").await, (200, false));
    host.site.is_store_unavailable.store(false, Ordering::Relaxed);
    sleep_ms(3000).await;
    assert_eq!(host.send("/x/", "k2").await, (200, false));
    assert_eq!(host.send("/x/", "k1").await, (401, false));
}

#[tokio::test(start_paused = true)]
async fn a_host_that_polls_an_unchanging_store_rejects_unknown_keys_and_routes() {
    let host = TestHost::start("1 /x/ county:k1").await;
    for turn in 0..100 {
        sleep_ms(100).await;
        assert_eq!(host.send("/x/", "k2").await, (401, false), "turn {turn}");
        assert_eq!(host.send("/y/", "k1").await, (404, false), "turn {turn}");
    }
}
