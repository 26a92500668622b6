//! Fixtures of the tests of the whole path: a small system in memory under paused time.
#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::net::SocketAddr;
use std::time::Duration;

use dillspool_config::parse_configuration;
use dillspool_io::{LinkMode, MemoryNet};
use dillspool_local::{
    CallOutcome, CallerClient, ChatCall, ClusterNet, LocalCluster, caller_key, expected_answer,
};
use dillspool_schema::configuration::Configuration;

/// Output tokens of a short answer.
pub const TOKENS: u64 = 20;

/// The small configuration of the tests.
pub fn small_configuration() -> Configuration {
    match parse_configuration("small.toml", include_str!("small.toml")) {
        Ok(configuration) => configuration,
        Err(error) => panic!("{error}"),
    }
}

/// A system in memory with three hosts that all act on version 1.
pub struct TestSystem {
    pub net: MemoryNet,
    pub cluster: LocalCluster,
}

impl TestSystem {
    pub async fn start() -> Self {
        Self::with(small_configuration(), 3).await
    }

    pub async fn with(configuration: Configuration, hosts: usize) -> Self {
        let net = MemoryNet::new();
        let mut cluster = LocalCluster::start(ClusterNet::Memory(net.clone()), configuration).await;
        for index in 1..=hosts {
            cluster.add_host(&format!("entry-{index}")).await;
        }
        let configuration = cluster.configuration.clone();
        let (status, body) = cluster.apply(0, &configuration).await;
        assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
        cluster.wait_in_force(1, Duration::from_secs(10)).await;
        // Every host has heard of every other by then.
        tokio::time::sleep(Duration::from_secs(4)).await;
        Self { net, cluster }
    }

    pub fn caller(&self, group: &str) -> CallerClient {
        CallerClient::new(&self.cluster.client_stack(), caller_key(group))
    }

    pub fn host(&self, index: usize) -> SocketAddr {
        self.cluster.hosts[index].addresses.callers
    }

    /// Index of the host that schedules the only pool, as host 0 sees it.
    pub async fn scheduler(&self) -> usize {
        let status = self.cluster.status(0).await;
        let name = &status.pools[0].scheduler;
        let found = self.cluster.hosts.iter().position(|host| host.host() == name);
        found.unwrap_or_else(|| panic!("{name} is no host"))
    }

    /// Sets the links of a host to everything else.
    pub fn set_links(&self, host: usize, mode: LinkMode) {
        let own = self.cluster.host_ip(host);
        for number in 1..=u8::MAX {
            let other = std::net::Ipv4Addr::new(10, 0, 0, number).into();
            if other != own {
                self.net.set_link(own, other, mode);
            }
        }
    }

    /// How often a body ran on the plain services.
    pub fn runs(&self, body: &str) -> u64 {
        self.cluster.plains.values().filter_map(|plain| plain.runs().get(body).copied()).sum()
    }
}

pub fn chat(text: &str, max_tokens: u64) -> ChatCall {
    ChatCall { model: "small".to_owned(), text: text.to_owned(), max_tokens, stream: true }
}

/// The whole answer to its own request, to the letter.
pub fn assert_whole(outcome: &CallOutcome, text: &str, tokens: u64) {
    assert_eq!(outcome.status, 200, "{outcome:?}");
    assert!(outcome.ended, "{outcome:?}");
    assert_eq!(outcome.text, expected_answer(text, tokens));
    assert_eq!(outcome.tokens, tokens);
}
