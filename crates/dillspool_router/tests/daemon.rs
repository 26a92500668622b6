//! Tests of a whole host over an in-memory network: readiness, refusals, configuration and graceful
//! stop.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::{CALLERS, READINESS, TestSite, config};
use dillspool_cases::ClockJumps;
use dillspool_io::{HostClock, HttpClient, MemoryNet, read_body};
use dillspool_router::RouterDaemon;
use http_body_util::Full;
use hyper::{Request, StatusCode};

struct TestHost {
    site: TestSite,
    daemon: RouterDaemon,
    client: HttpClient,
}

impl TestHost {
    async fn start(site: TestSite) -> Self {
        Self::start_by(site, HostClock::steady()).await
    }

    async fn start_by(site: TestSite, clock: HostClock) -> Self {
        let net = MemoryNet::new();
        let stack = net.stack("10.0.0.1".parse().expect("an address"));
        let protocol = common::site(&site);
        let daemon =
            RouterDaemon::start(config(), stack, protocol, clock).await.expect("it starts");
        let client = HttpClient::pooled(&net.stack("10.0.0.2".parse().expect("an address")));
        sleep_ms(100).await;
        Self { site, daemon, client }
    }

    async fn get(&self, address: &str, path: &str, body: &'static str, id: bool) -> (u16, String) {
        let address: SocketAddr = address.parse().expect("an address");
        let builder = Request::builder().method("POST").uri(path).header("host", "a.example");
        let builder = if id { builder.header("x-id", "request-1") } else { builder };
        let request = builder.body(Full::new(Bytes::from(body))).expect("a request");
        let response = self.client.send(address, request).await.expect("a response");
        let status = response.status();
        if id && address.port() == 8144 {
            assert_eq!(response.headers()["x-id"], "request-1");
        }
        let body = read_body(response.into_body(), 10_000).await.expect("a complete body");
        (status.as_u16(), String::from_utf8_lossy(&body).into_owned())
    }

    async fn is_ready(&self) -> bool {
        self.get(READINESS, "/any", "", false).await.0 == 200
    }
}

async fn sleep_ms(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

#[tokio::test(start_paused = true)]
async fn a_host_without_a_configuration_is_not_ready_and_runs_nothing() {
    let host = TestHost::start(TestSite::default()).await;
    assert!(!host.is_ready().await);
    assert_eq!(host.get(CALLERS, "/x/1", "", true).await.0, 503);
    host.site.write_config("1 /x/");
    sleep_ms(4000).await;
    assert!(host.is_ready().await);
    assert_eq!(host.get(CALLERS, "/x/1", "body", true).await, (200, "body".to_owned()));
}

struct RefusedCase {
    name: &'static str,
    path: &'static str,
    body: &'static str,
    id: bool,
    status: StatusCode,
}

#[tokio::test(start_paused = true)]
async fn invalid_requests_are_refused_and_not_forwarded() {
    let site = TestSite::default();
    site.write_config("1 /x/");
    let host = TestHost::start(site).await;
    let too_long = "12345678901234567890".repeat(51).leak();
    let case = |name, path, body, id, status| RefusedCase { name, path, body, id, status };
    let cases = [
        case("no route", "/y/1", "", true, StatusCode::NOT_FOUND),
        case("no id", "/x/1", "", false, StatusCode::BAD_REQUEST),
        case("too long", "/x/1", too_long, true, StatusCode::PAYLOAD_TOO_LARGE),
    ];
    for case in cases {
        let (status, _body) = host.get(CALLERS, case.path, case.body, case.id).await;
        assert_eq!(status, case.status.as_u16(), "{}", case.name);
    }
    assert!(host.site.arrivals.lock().unwrap().is_empty());
}

#[tokio::test(start_paused = true)]
async fn newer_configurations_are_applied_and_older_ones_ignored() {
    let site = TestSite::default();
    site.write_config("5 /x/");
    let host = TestHost::start(site).await;
    host.site.write_config("7 /y/");
    sleep_ms(3000).await;
    assert_eq!(host.get(CALLERS, "/y/1", "", true).await.0, 200);
    for ignored in ["6 /x/", "malformed", "x /z/"] {
        host.site.write_config(ignored);
        sleep_ms(3000).await;
        assert_eq!(host.get(CALLERS, "/y/1", "", true).await.0, 200, "{ignored}");
        assert_eq!(host.get(CALLERS, "/x/1", "", true).await.0, 404, "{ignored}");
    }
}

#[tokio::test(start_paused = true)]
async fn the_path_and_query_reach_the_backend_server_unchanged() {
    let site = TestSite::default();
    site.write_config("1 /x/");
    let host = TestHost::start(site).await;
    host.get(CALLERS, "/x/%7Ea/../b?c=%20d&&e", "", true).await;
    assert_eq!(*host.site.arrivals.lock().unwrap(), ["/x/%7Ea/../b?c=%20d&&e"]);
}

#[tokio::test(start_paused = true)]
async fn a_stop_completes_open_and_new_requests() {
    let site = TestSite::default();
    site.write_config("1 /x/");
    *site.work.lock().unwrap() = Duration::from_secs(4);
    let host = TestHost::start(site).await;
    let TestHost { site, daemon, client } = host;
    let send = |client: HttpClient| async move {
        let request = Request::builder()
            .method("POST")
            .uri("/x/1")
            .header("host", "a.example")
            .header("x-id", "request-1")
            .body(Full::new(Bytes::from("body")))
            .expect("a request");
        client.send(CALLERS.parse().expect("an address"), request).await
    };
    let before = tokio::spawn(send(client.clone()));
    sleep_ms(100).await;
    let stopping = tokio::spawn(daemon.stop());
    sleep_ms(1000).await;
    // The platform keeps sending connections for a while.
    let after = tokio::spawn(send(client));
    for response in [before, after] {
        let response = response.await.expect("no panic").expect("a response");
        assert_eq!(response.status(), StatusCode::OK);
    }
    stopping.await.expect("no panic");
    assert_eq!(site.arrivals.lock().unwrap().len(), 2);
}

/// The platform measures the grace period by its own clock, which also runs while the host is
/// suspended.
#[tokio::test(start_paused = true)]
async fn a_stop_completes_within_the_grace_period() {
    for suspended in [Duration::ZERO, Duration::from_secs(2), Duration::from_secs(5)] {
        let site = TestSite::default();
        site.write_config("1 /x/");
        *site.work.lock().unwrap() = Duration::from_mins(1);
        let jumps = ClockJumps::default();
        let clock = jumps.clock();
        let host = TestHost::start_by(site, clock.clone()).await;
        let client = host.client.clone();
        let request = Request::builder()
            .uri("/x/1")
            .header("host", "a.example")
            .header("x-id", "request-1")
            .body(Full::new(Bytes::new()))
            .expect("a request");
        let _hanging = tokio::spawn(async move {
            client.send(CALLERS.parse().expect("an address"), request).await
        });
        sleep_ms(100).await;
        let started = clock.now();
        let suspending = async {
            sleep_ms(1000).await;
            jumps.suspend(suspended);
        };
        tokio::join!(host.daemon.stop(), suspending);
        assert!(clock.since(started) < Duration::from_secs(8), "suspended for {suspended:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn metrics_show_the_replicated_state() {
    let site = TestSite::default();
    site.write_config("7 /x/");
    let host = TestHost::start(site).await;
    assert_eq!(host.get(CALLERS, "/x/1", "body", true).await.0, 200);
    let (status, text) = host.get("10.0.0.1:7660", "/metrics", "", false).await;
    assert_eq!(status, 200);
    let lines = [
        "dillspool_backends{service=\"service\",part=\"plain\",state=\"ready\"} 1",
        "dillspool_config_version 7",
        "dillspool_store_in_reach 1",
        "dillspool_forward_requests_total{route=\"route\",outcome=\"answered\",cause=\"\"} 1",
    ];
    for line in lines {
        assert!(text.lines().any(|found| found == line), "{line} in {text}");
    }
    for table in ["op", "servers", "own"] {
        let start = format!("dillspool_table_age_seconds{{table=\"{table}\"}} 0.");
        assert!(text.lines().any(|found| found.starts_with(&start)), "{start} in {text}");
    }
}
