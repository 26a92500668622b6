//! The same system with every part a process of its own, over TCP on the loopback address.
//!
//! Only tests and measurements start processes; the product starts none.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use dillspool_host::{ApplyRequest, StatusReply};
use dillspool_io::{HttpClient, NetStack, read_body};
use dillspool_keys::hash_key;
use dillspool_platform::{HostEntry, HostKind, HostState};
use dillspool_schema::Name;
use dillspool_schema::configuration::{BackendEntry, BackendRole, Configuration};
use http_body_util::Full;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::cluster::{OPERATOR_KEY, caller_key};

/// Bound on every wait; reached only when something is broken.
const WAIT_LIMIT: Duration = Duration::from_mins(1);
/// Seconds after which a stand-in ends by itself, whatever becomes of its parent.
const STANDIN_LIFE_S: &str = "900";
/// Longest reply, in bytes.
const REPLY_LIMIT: usize = 1 << 26;

/// A child process that is ended with its owner.
#[derive(Debug)]
pub struct OwnProcess {
    child: Child,
    /// Addresses that the process printed.
    pub addresses: Vec<SocketAddr>,
}

impl Drop for OwnProcess {
    fn drop(&mut self) {
        // A process that has ended by itself needs no end.
        let _already_ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

impl OwnProcess {
    fn start(binary: &Path, args: &[&str], lines: usize) -> Self {
        let spawned =
            Command::new(binary).args(args).stdout(Stdio::piped()).stderr(Stdio::null()).spawn();
        let mut child = spawned.unwrap_or_else(|error| panic!("{}: {error}", binary.display()));
        let Some(out) = child.stdout.take() else { panic!("the output is piped") };
        let last_word = |line: std::io::Result<String>| {
            let line = line.unwrap_or_default();
            let word = line.split(' ').next_back().unwrap_or_default().to_owned();
            word.parse().unwrap_or_else(|_none| panic!("`{line}` names no address"))
        };
        // The log comes by the same way.
        let is_log = |line: &std::io::Result<String>| {
            line.as_ref().is_ok_and(|line| line.starts_with("time_ms="))
        };
        let told = BufReader::new(out).lines().filter(|line| !is_log(line));
        let addresses = told.take(lines).map(last_word).collect();
        Self { child, addresses }
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Panics
    ///
    /// Panics when the process has gone.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap_or(i32::MAX);
        if let Err(error) = kill(Pid::from_raw(id), signal) {
            panic!("process {id} gets no signal: {error}");
        }
    }

    /// Waits until the process has ended.
    ///
    /// # Panics
    ///
    /// Panics when it cannot be waited for.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap_or_else(|error| panic!("cannot wait: {error}"))
    }
}

/// Where the programs lie.
#[derive(Clone, Debug)]
pub struct BinaryPaths {
    /// `dillspoold`.
    pub daemon: PathBuf,
    /// `dillspool-standin`.
    pub standin: PathBuf,
}

impl BinaryPaths {
    /// The programs beside one that cargo built.
    pub fn beside(program: &Path) -> Self {
        let daemon = program.with_file_name("dillspoold");
        Self { daemon, standin: program.with_file_name("dillspool-standin") }
    }
}

/// A folder of settings files that goes with its owner.
#[derive(Debug)]
struct SettingsFolder(PathBuf);

impl Drop for SettingsFolder {
    fn drop(&mut self) {
        let _left_behind = std::fs::remove_dir_all(&self.0);
    }
}

/// A running system of processes.
#[derive(Debug)]
pub struct ProcessSystem {
    /// The platform.
    pub platform: OwnProcess,
    /// Engines and plain services by name.
    pub backends: BTreeMap<Name, OwnProcess>,
    /// Entry hosts.
    pub hosts: Vec<OwnProcess>,
    /// The configuration with the addresses that the stand-ins got.
    pub configuration: Configuration,
    binaries: BinaryPaths,
    settings: SettingsFolder,
}

impl ProcessSystem {
    /// Starts stand-ins and hosts, and applies the configuration.
    ///
    /// # Panics
    ///
    /// Panics when a part does not start.
    pub async fn start(
        binaries: &BinaryPaths,
        mut configuration: Configuration,
        hosts: usize,
    ) -> Self {
        let platform = start_standin(binaries, &["platform"]);
        let platform_address = platform.addresses[0];
        let mut backends = BTreeMap::new();
        for entry in &mut configuration.backend {
            let args = standin_args(entry);
            let args: Vec<&str> = args.iter().map(String::as_str).collect();
            let process = start_standin(binaries, &args);
            entry.address = process.addresses[0].to_string().into();
            backends.insert(Name::clone(&entry.name), process);
        }
        for group in &mut configuration.group {
            group.key_hashes = vec![hash_key(&caller_key(&group.name))];
        }
        let folder = std::env::temp_dir().join(format!("dillspool-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap_or_else(|error| panic!("no folder: {error}"));
        let mut system = Self {
            platform,
            backends,
            hosts: Vec::new(),
            configuration,
            binaries: binaries.clone(),
            settings: SettingsFolder(folder.clone()),
        };
        for number in 1..=hosts {
            let name = host_name(number);
            std::fs::write(system.settings_file(&name), settings_text(&name, platform_address))
                .unwrap_or_else(|error| panic!("no settings: {error}"));
            let host = system.start_host(&name).await;
            system.hosts.push(host);
        }
        system.apply().await;
        system
    }

    fn settings_file(&self, name: &str) -> PathBuf {
        self.settings.0.join(format!("{name}.toml"))
    }

    async fn start_host(&self, name: &str) -> OwnProcess {
        let file = self.settings_file(name).display().to_string();
        let host = OwnProcess::start(&self.binaries.daemon, &["--settings", &file], 3);
        self.list_host(name, host.addresses[2]).await;
        host
    }

    /// Starts a host in the place of one, which is killed if it still runs.
    pub async fn replace_host(&mut self, index: usize) {
        let started = self.start_host(&host_name(index + 1)).await;
        self.hosts[index] = started;
    }

    async fn list_host(&self, name: &str, peers: SocketAddr) {
        let entry = HostEntry {
            name: name.into(),
            kind: HostKind::Host,
            state: HostState::Live,
            failure_domain: "a".into(),
            address: peers.to_string().into(),
        };
        self.order(&serde_json::json!({ "set_host": entry })).await;
    }

    /// Gives the platform an order.
    ///
    /// # Panics
    ///
    /// Panics when the platform does not answer.
    pub async fn order(&self, order: &serde_json::Value) {
        let _empty: serde_json::Value = post(self.platform.addresses[0], "/order", order).await;
    }

    async fn apply(&self) {
        let text = toml::to_string(&self.configuration).unwrap_or_default();
        let request = ApplyRequest { expected: None, text };
        let operators = self.hosts[0].addresses[1];
        let _reply: serde_json::Value = post(operators, "/apply", &request).await;
        let deadline = tokio::time::Instant::now() + WAIT_LIMIT;
        loop {
            let status: StatusReply = get(operators, "/status").await;
            let ready = status.hosts.iter().filter(|it| it.listed && it.version.0 == 1).count();
            if ready == self.hosts.len() {
                return;
            }
            assert!(tokio::time::Instant::now() < deadline, "not in force in time: {status:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Address for callers of a host.
    pub fn callers(&self, host: usize) -> SocketAddr {
        self.hosts[host].addresses[0]
    }
}

fn host_name(number: usize) -> String {
    format!("entry-{number}")
}

fn start_standin(binaries: &BinaryPaths, args: &[&str]) -> OwnProcess {
    let mut all = vec!["--live-s", STANDIN_LIFE_S];
    all.extend(args);
    OwnProcess::start(&binaries.standin, &all, 1)
}

fn standin_args(entry: &BackendEntry) -> Vec<String> {
    if entry.role == BackendRole::Plain {
        return vec!["plain".to_owned()];
    }
    let number = |name: &str, value: u64| [format!("--{name}"), value.to_string()];
    let mut args = vec!["engine".to_owned()];
    args.extend(number("slots", entry.slots.into()));
    args.extend(number("prefill-tokens-per-s", entry.prefill_tokens_per_s));
    args.extend(number("step-base-us", entry.step_base_us));
    args.extend(number("step-per-stream-us", entry.step_per_stream_us));
    if entry.checks_fence {
        args.push("--checks-fence".to_owned());
    }
    args
}

fn settings_text(name: &str, platform: SocketAddr) -> String {
    let operator = hash_key(OPERATOR_KEY);
    format!(
        "host = \"{name}\"\nfailure_domain = \"a\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
         peers = \"127.0.0.1:0\"\n\
         [platform]\ntable = \"{platform}\"\nobjects = \"{platform}\"\nhosts = \"{platform}\"\n\
         [keys]\npeer_key = \"a peer key of some length\"\n\
         [[keys.operators]]\nname = \"local\"\nkey_hash = \"{operator}\"\n\
         [limits]\ndrain_timeout_ms = 20000\n"
    )
}

/// Posts JSON with the operator's key and reads the JSON reply.
///
/// # Panics
///
/// Panics when the process does not answer with success.
pub async fn post<Q: Serialize, R: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    query: &Q,
) -> R {
    let body = serde_json::to_vec(query).unwrap_or_default();
    call(address, Method::POST, path, body).await
}

/// Gets JSON with the operator's key.
///
/// # Panics
///
/// Panics when the process does not answer with success.
pub async fn get<R: DeserializeOwned>(address: SocketAddr, path: &str) -> R {
    call(address, Method::GET, path, Vec::new()).await
}

async fn call<R: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> R {
    let bytes = call_text(address, method, path, body).await;
    serde_json::from_slice(&bytes).unwrap_or_else(|error| panic!("{address}{path}: {error}"))
}

/// Calls a process and returns the body of its reply.
///
/// # Panics
///
/// Panics when the process does not answer with success.
pub async fn call_text(address: SocketAddr, method: Method, path: &str, body: Vec<u8>) -> Vec<u8> {
    let http = HttpClient::pooled(&NetStack::tcp());
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"))
        .body(Full::new(body.into()))
        .unwrap_or_else(|error| panic!("{path}: {error}"));
    let exchange = async {
        let response = http.send(address, request).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let bytes = read_body(response.into_body(), REPLY_LIMIT)
            .await
            .map_err(|error| error.to_string())?;
        if status.is_success() {
            return Ok(bytes.to_vec());
        }
        Err(format!("{status}: {}", String::from_utf8_lossy(&bytes)))
    };
    match tokio::time::timeout(WAIT_LIMIT, exchange).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => panic!("{address}{path}: {error}"),
        Err(elapsed) => panic!("{address}{path}: {elapsed}"),
    }
}
