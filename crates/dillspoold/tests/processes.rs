//! The whole path with every part a process of its own, over TCP on the loopback address.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use dillspool_config::{hash_key, parse_configuration};
use dillspool_host::{ApplyRequest, StatusReply};
use dillspool_io::{HttpClient, NetStack, read_body};
use dillspool_local::{CallerClient, ChatCall, OPERATOR_KEY, caller_key, expected_answer};
use dillspool_platform::{HostEntry, HostKind, HostState};
use dillspool_schema::configuration::{BackendRole, Configuration};
use http_body_util::Full;
use hyper::{Method, Request};

/// Bound on every wait; reached only when something is broken.
const LIMIT: Duration = Duration::from_mins(1);

/// A child process that is ended with the test.
struct OwnProcess {
    child: Child,
    /// What the process printed of its addresses: a word and an address a line.
    addresses: Vec<SocketAddr>,
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
        let mut child = Command::new(binary)
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}", binary.display()));
        let out = child.stdout.take().expect("the output is piped");
        let addresses = BufReader::new(out)
            .lines()
            .take(lines)
            .map(|line| {
                let line = line.expect("the process prints its addresses");
                let address = line.split(' ').next_back().expect("a line has a last word");
                address.parse().expect("the last word is an address")
            })
            .collect();
        Self { child, addresses }
    }
}

fn daemon_binary() -> PathBuf {
    env!("CARGO_BIN_EXE_dillspoold").into()
}

/// The stand-ins' binary lies beside the daemon's.
fn standin_binary() -> PathBuf {
    daemon_binary().with_file_name("dillspool-standin")
}

fn start_standin(args: &[&str]) -> OwnProcess {
    let mut all = vec!["--live-s", "300"];
    all.extend(args);
    OwnProcess::start(&standin_binary(), &all, 1)
}

async fn call(address: SocketAddr, method: Method, path: &str, body: String) -> (u16, Vec<u8>) {
    let http = HttpClient::pooled(&NetStack::tcp());
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .body(Full::new(body.into()))
        .expect("the request is well formed");
    let response = http.send(address, request).await.expect("the process answers");
    let status = response.status().as_u16();
    let bytes = read_body(response.into_body(), 1 << 24).await.expect("the reply is whole");
    (status, bytes.to_vec())
}

fn settings_text(name: &str, platform: SocketAddr) -> String {
    let operator = hash_key(OPERATOR_KEY);
    format!(
        "host = \"{name}\"\nfailure_domain = \"a\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         [platform]\ntable = \"{platform}\"\nobjects = \"{platform}\"\nhosts = \"{platform}\"\n\
         [keys]\npeer_key = \"a peer key of some length\"\n\
         [[keys.operators]]\nname = \"test\"\nkey_hash = \"{operator}\"\n\
         [limits]\ndrain_timeout_ms = 4000\n"
    )
}

struct ProcessSystem {
    _stand_ins: Vec<OwnProcess>,
    hosts: Vec<OwnProcess>,
    _settings: SettingsFolder,
}

/// A folder of settings files that goes with the test.
struct SettingsFolder(PathBuf);

impl Drop for SettingsFolder {
    fn drop(&mut self) {
        let _left_behind = std::fs::remove_dir_all(&self.0);
    }
}

async fn start_system() -> ProcessSystem {
    let mut configuration = example();
    let platform = start_standin(&["platform"]);
    let platform_address = platform.addresses[0];
    let mut stand_ins = vec![platform];
    for entry in &mut configuration.backend {
        let kind = if entry.role == BackendRole::Plain { "plain" } else { "engine" };
        let process = start_standin(&[kind]);
        entry.address = process.addresses[0].to_string().into();
        stand_ins.push(process);
    }
    let folder = std::env::temp_dir().join(format!("dillspool-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be made");
    let mut hosts = Vec::new();
    for name in ["entry-1", "entry-2", "entry-3"] {
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings_text(name, platform_address)).expect("the file is written");
        let file = file.to_str().expect("the path is text");
        let host = OwnProcess::start(&daemon_binary(), &["--settings", file], 3);
        let entry = HostEntry {
            name: name.into(),
            kind: HostKind::Host,
            state: HostState::Live,
            failure_domain: "a".into(),
            address: host.addresses[2].to_string().into(),
        };
        let order = serde_json::json!({ "set_host": entry }).to_string();
        let (status, _) = call(platform_address, Method::POST, "/order", order).await;
        assert_eq!(status, 200);
        hosts.push(host);
    }
    let text = toml::to_string(&configuration).expect("a configuration is TOML");
    let apply = serde_json::to_string(&ApplyRequest { expected: None, text }).expect("JSON");
    let (status, body) = call(hosts[0].addresses[1], Method::POST, "/apply", apply).await;
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
    wait_in_force(hosts[0].addresses[1], 3).await;
    ProcessSystem { _stand_ins: stand_ins, hosts, _settings: SettingsFolder(folder) }
}

fn example() -> Configuration {
    let text = include_str!("../../../examples/hewa-safi.toml");
    let mut configuration = parse_configuration("hewa-safi.toml", text).expect("it is valid");
    for group in &mut configuration.group {
        group.key_hashes = vec![hash_key(&caller_key(&group.name))];
        // Verdicts here are about whole answers; a busy machine may be slow.
        group.first_token_ms = 30_000;
    }
    configuration
}

async fn wait_in_force(operators: SocketAddr, hosts: usize) {
    let deadline = tokio::time::Instant::now() + LIMIT;
    loop {
        let (_, body) = call(operators, Method::GET, "/status", String::new()).await;
        let status: StatusReply = serde_json::from_slice(&body).expect("the status is JSON");
        let ready = status.hosts.iter().filter(|it| it.listed && it.version.0 == 1).count();
        if ready == hosts {
            return;
        }
        assert!(tokio::time::Instant::now() < deadline, "not in force in time: {status:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test]
async fn separate_processes_serve_whole_answers_and_drain() {
    let mut system = start_system().await;
    let caller = CallerClient::new(&NetStack::tcp(), caller_key("clinic-alerts"));
    for host in &system.hosts {
        let call = ChatCall {
            model: "alert-8b".to_owned(),
            text: format!("smoke at {}", host.addresses[0]),
            max_tokens: 12,
            stream: true,
        };
        let outcome = caller.chat(host.addresses[0], &call).await;
        assert!(outcome.ended, "{outcome:?}");
        assert_eq!(outcome.text, expected_answer(&call.text, 12));
    }
    let readings = CallerClient::new(&NetStack::tcp(), caller_key("stations"));
    let (first, second) = (system.hosts[0].addresses[0], system.hosts[1].addresses[0]);
    let sent = readings.plain(first, "/readings", Some("r-1"), "pm2.5 41").await;
    assert_eq!(sent.status, 201, "{sent:?}");
    let resent = recorded(&readings, second).await;
    assert_eq!(resent, sent.text);
    drain_one(&mut system).await;
}

/// Sends the reading again until its answer is recorded; the answer says how often it ran.
async fn recorded(caller: &CallerClient, host: SocketAddr) -> String {
    let deadline = tokio::time::Instant::now() + LIMIT;
    loop {
        let outcome = caller.plain(host, "/readings", Some("r-1"), "pm2.5 41").await;
        if outcome.status == 201 {
            return outcome.text;
        }
        assert_eq!(outcome.outcome.as_deref(), Some("unknown"), "{outcome:?}");
        assert!(tokio::time::Instant::now() < deadline, "never recorded: {outcome:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A host that is asked to drain ends by itself, with success.
async fn drain_one(system: &mut ProcessSystem) {
    let mut host = system.hosts.pop().expect("there are three hosts");
    let (status, _) = call(host.addresses[1], Method::POST, "/drain", "{}".to_owned()).await;
    assert_eq!(status, 202);
    let ended = tokio::task::spawn_blocking(move || host.child.wait()).await;
    let exit = ended.expect("the wait ends").expect("the process is ours");
    assert!(exit.success(), "{exit:?}");
}
