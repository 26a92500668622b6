//! Hosts and stand-ins of one configuration.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use dillspool_config::AuditRow;
use dillspool_host::{
    ApplyRequest, ConfigReply, HostDaemon, HostEnvironment, PlacementOverride, StatusReply,
};
use dillspool_io::{HostClock, HttpClient, MemoryNet, NetStack, UnixMillis, WallClock, read_body};
use dillspool_keys::hash_key;
use dillspool_platform::{HostEntry, HostKind, HostState};
use dillspool_schema::configuration::{BackendEntry, BackendRole, Configuration};
use dillspool_schema::settings::{
    HostSettings, KeySettings, LimitSettings, ListenSettings, OperatorKey, PlatformSettings,
};
use dillspool_schema::{Name, Secret};
use dillspool_standin::{EngineModel, EngineStandIn, PlainStandIn, PlatformStandIn};
use http_body_util::Full;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request};
use tokio_util::sync::CancellationToken;

/// Key of the operator `local`.
pub const OPERATOR_KEY: &str = "operator-key-of-the-local-cluster";
/// Key that the hosts share.
const PEER_KEY: &str = "peer-key-of-the-local-cluster";
/// Time for one operators' call.
const ADMIN_LIMIT: Duration = Duration::from_secs(10);
/// Longest reply to an operators' call, in bytes.
const ADMIN_REPLY_LIMIT: usize = 16 * 1024 * 1024;
/// Unix time at which a cluster in memory starts.
const MEMORY_EPOCH: UnixMillis = UnixMillis(1_700_000_000_000);

/// The key of a group's callers.
pub fn caller_key(group: &str) -> String {
    format!("key-of-{group}")
}

/// What carries the connections.
#[derive(Clone, Debug)]
pub enum ClusterNet {
    /// TCP on the loopback address.
    Tcp,
    /// In memory, an address for each node.
    Memory(MemoryNet),
}

impl ClusterNet {
    fn stack(&self, node: IpAddr) -> NetStack {
        match self {
            Self::Tcp => NetStack::tcp(),
            Self::Memory(net) => net.stack(node),
        }
    }

    fn address(&self, number: u8) -> IpAddr {
        match self {
            Self::Tcp => Ipv4Addr::LOCALHOST.into(),
            Self::Memory(_) => Ipv4Addr::new(10, 0, 0, number).into(),
        }
    }

    fn host_clock(&self) -> HostClock {
        match self {
            Self::Tcp => HostClock::boot(),
            Self::Memory(_) => HostClock::steady(),
        }
    }

    fn clock(&self) -> WallClock {
        match self {
            Self::Tcp => WallClock::system(),
            Self::Memory(_) => WallClock::tokio(MEMORY_EPOCH),
        }
    }
}

/// A running system.
#[derive(Debug)]
pub struct LocalCluster {
    /// What carries the connections.
    pub net: ClusterNet,
    /// The platform.
    pub platform: PlatformStandIn,
    /// Engines by name.
    pub engines: BTreeMap<Name, EngineStandIn>,
    /// Plain services by name.
    pub plains: BTreeMap<Name, PlainStandIn>,
    /// Entry hosts.
    pub hosts: Vec<HostDaemon>,
    /// The configuration with the addresses that the stand-ins got.
    pub configuration: Configuration,
    /// Another way to place requests, for hosts that are added from now on.
    pub desk: Option<PlacementOverride>,
    clock: WallClock,
    failure_domains: Vec<Name>,
    cancel: CancellationToken,
    nodes: u8,
}

impl LocalCluster {
    /// Starts the stand-ins of a configuration; hosts are added and the configuration applied
    /// by the caller.
    ///
    /// # Panics
    ///
    /// Panics when an address cannot be listened on, which ends a test or the demo.
    pub async fn start(net: ClusterNet, mut configuration: Configuration) -> Self {
        let cancel = CancellationToken::new();
        let mut nodes = 1;
        let listener = listen(&net, nodes).await;
        let platform = PlatformStandIn::start(listener, &cancel);
        let (mut engines, mut plains) = (BTreeMap::new(), BTreeMap::new());
        let kv_sizes: BTreeMap<Name, (u64, u32)> = configuration
            .pool
            .iter()
            .map(|pool| (Name::clone(&pool.name), (pool.kv_bytes_per_token, pool.kv_lifetime_ms)))
            .collect();
        for entry in &mut configuration.backend {
            nodes += 1;
            let listener = listen(&net, nodes).await;
            entry.address = listener.local_addr().to_string().into();
            let name = Name::clone(&entry.name);
            if entry.role == BackendRole::Plain {
                let stack = net.stack(net.address(nodes));
                plains.insert(name, PlainStandIn::start(&stack, listener, &cancel));
                continue;
            }
            let stack = net.stack(net.address(nodes));
            let model = engine_model(entry, kv_sizes.get(&entry.pool).copied());
            let engine = EngineStandIn::start(model, &stack, listener, entry.checks_fence, &cancel);
            engines.insert(name, engine);
        }
        for group in &mut configuration.group {
            group.key_hashes = vec![hash_key(&caller_key(&group.name))];
        }
        let mut failure_domains: Vec<Name> =
            configuration.backend.iter().map(|it| Name::clone(&it.failure_domain)).collect();
        failure_domains.sort();
        failure_domains.dedup();
        let clock = net.clock();
        Self {
            net,
            platform,
            engines,
            plains,
            hosts: Vec::new(),
            configuration,
            desk: None,
            clock,
            failure_domains,
            cancel,
            nodes,
        }
    }

    /// Adds a host and puts it on the platform's list.
    ///
    /// # Panics
    ///
    /// Panics when the host does not start.
    pub async fn add_host(&mut self, name: &str) -> usize {
        self.nodes += 1;
        let node = self.net.address(self.nodes);
        let domain = self.hosts.len() % self.failure_domains.len().max(1);
        let failure_domain =
            self.failure_domains.get(domain).cloned().unwrap_or_else(|| "local".into());
        let settings = self.settings(name, &failure_domain, node);
        let stack = self.net.stack(node);
        let environment = HostEnvironment {
            stack,
            clock: self.clock.clone(),
            host_clock: self.net.host_clock(),
            seed: self.nodes.into(),
            placement_override: self.desk.clone(),
        };
        let daemon = match HostDaemon::start(settings, environment).await {
            Ok(daemon) => daemon,
            Err(error) => panic!("host {name} does not start: {error}"),
        };
        self.platform.hosts.set(HostEntry {
            name: name.into(),
            kind: HostKind::Host,
            state: HostState::Live,
            failure_domain,
            address: daemon.addresses.peers.to_string().into(),
        });
        self.hosts.push(daemon);
        self.hosts.len() - 1
    }

    /// Address of the node of a host, to cut or freeze its links.
    pub fn host_ip(&self, index: usize) -> IpAddr {
        self.hosts[index].addresses.callers.ip()
    }

    /// A client's stack on a node of its own.
    pub fn client_stack(&self) -> NetStack {
        self.net.stack(self.net.address(u8::MAX))
    }

    fn settings(&self, name: &str, failure_domain: &Name, node: IpAddr) -> HostSettings {
        let listen: Name = SocketAddr::new(node, 0).to_string().into();
        let platform: Name = self.platform.address().to_string().into();
        HostSettings {
            host: name.into(),
            failure_domain: Name::clone(failure_domain),
            listen: ListenSettings {
                callers: Name::clone(&listen),
                operators: Name::clone(&listen),
                peers: listen,
            },
            platform: PlatformSettings {
                table: Name::clone(&platform),
                objects: Name::clone(&platform),
                hosts: platform,
                timeout_ms: 1000,
            },
            keys: KeySettings {
                operators: vec![OperatorKey {
                    name: "local".into(),
                    key_hash: hash_key(OPERATOR_KEY),
                }],
                peer_key: Secret::new(PEER_KEY),
            },
            limits: Some(LimitSettings::default()),
            log: None,
        }
    }

    /// Calls a host's operators' listener; the status and body of the reply.
    ///
    /// # Panics
    ///
    /// Panics when the host does not answer.
    pub async fn admin(
        &self,
        host: usize,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> (u16, Bytes) {
        let http = HttpClient::pooled(&self.client_stack());
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"))
            .body(Full::new(body));
        let request = request.unwrap_or_else(|error| panic!("bad request: {error}"));
        let exchange = async {
            let response = http.send(self.hosts[host].addresses.operators, request).await?;
            let status = response.status().as_u16();
            let bytes = read_body(response.into_body(), ADMIN_REPLY_LIMIT).await;
            Ok::<_, dillspool_io::HttpError>((status, bytes.unwrap_or_default()))
        };
        let Ok(reply) = tokio::time::timeout(ADMIN_LIMIT, exchange).await else {
            panic!("host {host} does not answer in time");
        };
        reply.unwrap_or_else(|error| panic!("host {host} does not answer: {error}"))
    }

    /// Applies a configuration through a host.
    ///
    /// # Panics
    ///
    /// Panics when the host does not answer.
    pub async fn apply(&self, host: usize, configuration: &Configuration) -> (u16, Bytes) {
        let text = match toml::to_string(configuration) {
            Ok(text) => text,
            Err(error) => panic!("the configuration is no TOML: {error}"),
        };
        let body = serde_json::to_vec(&ApplyRequest { expected: None, text }).unwrap_or_default();
        self.admin(host, Method::POST, "/apply", body.into()).await
    }

    /// The status as a host sees it.
    ///
    /// # Panics
    ///
    /// Panics when the host does not answer.
    pub async fn status(&self, host: usize) -> StatusReply {
        let (_, body) = self.admin(host, Method::GET, "/status", Bytes::new()).await;
        match serde_json::from_slice(&body) {
            Ok(status) => status,
            Err(error) => panic!("the status cannot be read: {error}"),
        }
    }

    /// The configuration that a host acts on.
    ///
    /// # Panics
    ///
    /// Panics when the host does not answer.
    pub async fn config_in_force(&self, host: usize) -> Configuration {
        let (_, body) = self.admin(host, Method::GET, "/config", Bytes::new()).await;
        match serde_json::from_slice::<ConfigReply>(&body) {
            Ok(reply) => reply.configuration,
            Err(error) => panic!("the configuration cannot be read: {error}"),
        }
    }

    /// The audit trail as a host reads it.
    ///
    /// # Panics
    ///
    /// Panics when the host does not answer.
    pub async fn audit(&self, host: usize) -> Vec<AuditRow> {
        let (_, body) = self.admin(host, Method::GET, "/audit", Bytes::new()).await;
        match serde_json::from_slice(&body) {
            Ok(rows) => rows,
            Err(error) => panic!("the audit trail cannot be read: {error}"),
        }
    }

    /// Waits until all hosts of the list act on a version and hear their peers.
    ///
    /// # Panics
    ///
    /// Panics when that takes longer than `limit`.
    pub async fn wait_in_force(&self, version: u64, limit: Duration) {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let status = self.status(0).await;
            let listed = status.hosts.iter().filter(|it| it.listed);
            if listed.clone().count() == self.hosts.len()
                && listed.clone().all(|it| it.version.0 >= version)
            {
                return;
            }
            assert!(tokio::time::Instant::now() < deadline, "not in force in time: {status:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Streams that engines hold memory for.
    pub fn held_streams(&self) -> usize {
        self.engines.values().map(|engine| engine.held_streams().len()).sum()
    }

    /// Ends everything.
    pub fn stop(&self) {
        for host in &self.hosts {
            host.stop();
        }
        self.cancel.cancel();
    }
}

async fn listen(net: &ClusterNet, node: u8) -> dillspool_io::NetListener {
    let address = net.address(node);
    match net.stack(address).listen(SocketAddr::new(address, 0)).await {
        Ok(listener) => listener,
        Err(error) => panic!("cannot listen on {address}: {error}"),
    }
}

fn engine_model(entry: &BackendEntry, kv: Option<(u64, u32)>) -> EngineModel {
    let default = EngineModel::default();
    let (kv_bytes_per_token, kv_lifetime) = kv
        .map_or((default.kv_bytes_per_token, default.kv_lifetime), |(bytes, lifetime_ms)| {
            (bytes, Duration::from_millis(lifetime_ms.into()))
        });
    EngineModel {
        slots: entry.slots,
        prefill_tokens_per_s: entry.prefill_tokens_per_s,
        step_base: Duration::from_micros(entry.step_base_us),
        step_per_stream: Duration::from_micros(entry.step_per_stream_us),
        link_bytes_per_s: entry.link_bytes_per_s,
        kv_bytes_per_token,
        kv_lifetime,
        ..default
    }
}
