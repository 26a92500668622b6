//! The whole path in one process, against stand-ins.

use std::collections::BTreeMap;
use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

use dillspool_config::parse_configuration;
use dillspool_local::{
    CallOutcome, CallerClient, ChatCall, ClusterNet, LocalCluster, OPERATOR_KEY, caller_key,
    expected_answer,
};
use dillspool_schema::configuration::{Configuration, GroupEntry};
use snafu::ResultExt;

use crate::admin_client::{CliError, DemoSnafu, FileSnafu, ReadSnafu};
use crate::args::ExampleName;

/// Entry hosts of the demo.
const HOSTS: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
/// Time for the configuration to be in force.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Requests of each group.
const CALLS_PER_GROUP: u64 = 8;
/// Output tokens of the demo's answers.
const TOKENS: u64 = 24;
/// Repeats of a word in the demo's longer prompts.
const LONG_PROMPT_WORDS: usize = 400;

/// What the demo shows of an example.
struct ExampleDemo {
    file: &'static str,
    text: &'static str,
    /// Route of unrepeatable calls.
    route: &'static str,
    /// Group that sends them.
    group: &'static str,
}

fn example(name: ExampleName) -> ExampleDemo {
    match name {
        ExampleName::HewaSafi => ExampleDemo {
            file: "examples/hewa-safi.toml",
            text: include_str!("../../../examples/hewa-safi.toml"),
            route: "/readings/today",
            group: "stations",
        },
        ExampleName::SharedWire => ExampleDemo {
            file: "examples/shared-wire.toml",
            text: include_str!("../../../examples/shared-wire.toml"),
            route: "/receipts/today",
            group: "distribution",
        },
    }
}

pub(crate) async fn run(name: ExampleName, serve: bool) -> Result<ExitCode, CliError> {
    let demo = example(name);
    let configuration = parse_configuration(demo.file, demo.text).context(FileSnafu)?;
    let cluster = start(configuration).await?;
    let code =
        if serve { serve_until_signal(&cluster).await? } else { play(&cluster, &demo).await };
    cluster.stop();
    Ok(code)
}

async fn start(configuration: Configuration) -> Result<LocalCluster, CliError> {
    let mut cluster = LocalCluster::start(ClusterNet::Tcp, configuration).await;
    for host in HOSTS {
        cluster.add_host(host).await;
    }
    let configuration = cluster.configuration.clone();
    let (status, body) = cluster.apply(0, &configuration).await;
    if status != 200 {
        let message = String::from_utf8_lossy(&body).into_owned();
        return DemoSnafu { message }.fail();
    }
    cluster.wait_in_force(1, START_LIMIT).await;
    println!("applied version 1 to {} hosts", cluster.hosts.len());
    Ok(cluster)
}

async fn serve_until_signal(cluster: &LocalCluster) -> Result<ExitCode, CliError> {
    let what = "the signals";
    let mut out = std::io::stdout();
    for host in &cluster.hosts {
        println!("entry http://{}", host.addresses.callers);
        println!("admin http://{}", host.addresses.operators);
    }
    for group in &cluster.configuration.group {
        println!("key {} {}", group.name, caller_key(&group.name));
    }
    println!("operator-key {OPERATOR_KEY}");
    out.flush().context(ReadSnafu { what: "standard output" })?;
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .context(ReadSnafu { what })?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted.context(ReadSnafu { what })?,
    }
    Ok(ExitCode::SUCCESS)
}

/// What a group saw.
#[derive(Default)]
struct GroupTally {
    calls: u64,
    good: u64,
    wrong: u64,
    first_tokens: Vec<Duration>,
    per_tokens: Vec<Duration>,
}

async fn play(cluster: &LocalCluster, demo: &ExampleDemo) -> ExitCode {
    let mut tallies = BTreeMap::new();
    for group in &cluster.configuration.group {
        let tally = play_group(cluster, group).await;
        tallies.insert(group.name.to_string(), tally);
    }
    let doubled = !play_unrepeatable(cluster, demo).await;
    print_table(&tallies);
    let prefills = cluster.engines.values().map(dillspool_standin::EngineStandIn::prefill_counts);
    let (done, wasted) = prefills.fold((0, 0), |(a, b), (c, d)| (a + c, b + d));
    println!("prefills {done}, wasted {wasted}");
    let wrong: u64 = tallies.values().map(|tally| tally.wrong).sum();
    if wrong == 0 && !doubled {
        println!("every answer was whole and no unrepeatable call ran twice");
        return ExitCode::SUCCESS;
    }
    println!("{wrong} answers were wrong or refused; an unrepeatable call ran twice: {doubled}");
    ExitCode::FAILURE
}

async fn play_group(cluster: &LocalCluster, group: &GroupEntry) -> GroupTally {
    let client = CallerClient::new(&cluster.client_stack(), caller_key(&group.name));
    let Some(pool) = cluster.configuration.pool.first() else {
        return GroupTally::default();
    };
    let mut tally = GroupTally::default();
    for number in 0..CALLS_PER_GROUP {
        let filler =
            if number % 2 == 0 { String::new() } else { "smoke ".repeat(LONG_PROMPT_WORDS) };
        let call = ChatCall {
            model: pool.model.to_string(),
            text: format!("{} {number} {filler}", group.name),
            max_tokens: TOKENS,
            stream: number % 4 != 3,
        };
        let host = cluster.hosts[usize::try_from(number).unwrap_or(0) % cluster.hosts.len()]
            .addresses
            .callers;
        let outcome = client.chat(host, &call).await;
        tally.add(group, &call, &outcome);
        println!(
            "{:<18} call {number}: status {} tokens {} whole {}",
            group.name, outcome.status, outcome.tokens, outcome.ended
        );
    }
    tally
}

impl GroupTally {
    fn add(&mut self, group: &GroupEntry, call: &ChatCall, outcome: &CallOutcome) {
        self.calls += 1;
        if !outcome.ended || outcome.text != expected_answer(&call.text, TOKENS) {
            self.wrong += 1;
            return;
        }
        if !call.stream {
            self.good += 1;
            return;
        }
        let first_target = Duration::from_millis(group.first_token_ms.into());
        let token_target = Duration::from_millis(group.per_token_ms.into());
        if outcome.first_token <= first_target && outcome.per_token <= token_target {
            self.good += 1;
        }
        self.first_tokens.push(outcome.first_token);
        self.per_tokens.push(outcome.per_token);
    }
}

/// Sends one call twice with one key, through two hosts; true if it ran once.
async fn play_unrepeatable(cluster: &LocalCluster, demo: &ExampleDemo) -> bool {
    let client = CallerClient::new(&cluster.client_stack(), caller_key(demo.group));
    let body = "pm2.5 at station 7: 41";
    for host in &cluster.hosts[..2] {
        let outcome = client.plain(host.addresses.callers, demo.route, Some("demo-1"), body).await;
        println!("{:<18} {}: status {} {}", demo.group, demo.route, outcome.status, outcome.text);
        // The answer is recorded in the background, within a commit of the ledger.
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let runs: u64 = cluster.plains.values().filter_map(|it| it.runs().get(body).copied()).sum();
    println!("the call ran {runs} time(s)");
    runs == 1
}

fn percentile(times: &mut [Duration], hundredths: usize) -> Duration {
    times.sort();
    let index = (times.len() * hundredths).div_ceil(100).saturating_sub(1);
    times.get(index).copied().unwrap_or_default()
}

fn print_table(tallies: &BTreeMap<String, GroupTally>) {
    println!(
        "{:<18} {:>6} {:>8} {:>12} {:>12} {:>12} {:>12}",
        "GROUP", "CALLS", "GOODPUT", "FIRST p50", "FIRST p95", "TOKEN p50", "TOKEN p95"
    );
    for (group, tally) in tallies {
        let (mut first, mut token) = (tally.first_tokens.clone(), tally.per_tokens.clone());
        println!(
            "{group:<18} {:>6} {:>8} {:>12.1?} {:>12.1?} {:>12.1?} {:>12.1?}",
            tally.calls,
            tally.good,
            percentile(&mut first, 50),
            percentile(&mut first, 95),
            percentile(&mut token, 50),
            percentile(&mut token, 95),
        );
    }
}
