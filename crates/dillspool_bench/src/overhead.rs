//! What the router adds to an answer: the same stand-ins through a host and called directly.

use std::net::SocketAddr;
use std::time::Duration;

use dillspool_config::parse_configuration;
use dillspool_engine::EngineClient;
use dillspool_io::NetStack;
use dillspool_local::{CallerClient, ChatCall, ClusterNet, LocalCluster, caller_key, chat_prompt};
use dillspool_schema::StreamId;
use dillspool_schema::configuration::{BackendRole, Configuration};
use dillspool_schema::engine::{DecodeRequest, PrefillRequest};
use tokio::time::Instant;

/// Answers of each trial, one after the other.
const ANSWERS: u64 = 60;
/// Tokens of an answer.
const TOKENS: u64 = 40;
/// Prompt of about 300 tokens.
const PROMPT_WORDS: usize = 200;
const LIMIT: Duration = Duration::from_secs(10);

/// Times of one answer.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerTimes {
    first: Duration,
    total: Duration,
}

fn configuration(fast: bool) -> Result<Configuration, String> {
    let text = include_str!("../../../examples/hewa-safi.toml");
    let mut configuration = parse_configuration("hewa-safi", text).map_err(|it| it.to_string())?;
    if fast {
        for entry in &mut configuration.backend {
            entry.prefill_tokens_per_s = 1_000_000_000;
            entry.step_base_us = 1;
            entry.step_per_stream_us = 1;
            entry.link_bytes_per_s = 1_000_000_000_000;
        }
    }
    Ok(configuration)
}

pub(crate) fn run() -> Result<(), String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    for fast in [false, true] {
        let configuration = configuration(fast)?;
        runtime.block_on(trial(
            configuration,
            if fast { "engines without delay" } else { "realistic engines" },
        ));
    }
    Ok(())
}

async fn trial(configuration: Configuration, name: &str) {
    let mut cluster = LocalCluster::start(ClusterNet::Tcp, configuration).await;
    for host in ["entry-1", "entry-2", "entry-3"] {
        cluster.add_host(host).await;
    }
    let configuration = cluster.configuration.clone();
    cluster.apply(0, &configuration).await;
    cluster.wait_in_force(1, LIMIT).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (mut routed, mut direct) = (Vec::new(), Vec::new());
    for number in 0..ANSWERS {
        direct.push(ask_engines(&cluster, number).await);
        routed.push(ask_host(&cluster, number).await);
    }
    let median = |times: &[AnswerTimes], of: fn(&AnswerTimes) -> Duration| {
        let mut times: Vec<Duration> = times.iter().map(of).collect();
        times.sort();
        times[times.len() / 2]
    };
    for (what, of) in [
        ("first token", (|it| it.first) as fn(&AnswerTimes) -> Duration),
        ("whole answer", |it| it.total),
    ] {
        let (through, straight) = (median(&routed, of), median(&direct, of));
        println!(
            "{name:<22} {what:<13} direct {straight:>9.1?}, through a host {through:>9.1?}, ratio {:.3}, added {:.0} us",
            through.as_secs_f64() / straight.as_secs_f64(),
            through.saturating_sub(straight).as_secs_f64() * 1e6
        );
    }
    cluster.stop();
}

fn message(number: u64) -> String {
    format!("{number} {}", "smoke ".repeat(PROMPT_WORDS))
}

async fn ask_host(cluster: &LocalCluster, number: u64) -> AnswerTimes {
    let caller = CallerClient::new(&NetStack::tcp(), caller_key("clinic-alerts"));
    let index = usize::try_from(number).unwrap_or(0) % cluster.hosts.len();
    let call = ChatCall {
        model: "alert-8b".to_owned(),
        text: message(number),
        max_tokens: TOKENS,
        stream: true,
    };
    let outcome = caller.chat(cluster.hosts[index].addresses.callers, &call).await;
    assert!(outcome.ended, "{outcome:?}");
    AnswerTimes { first: outcome.first_token, total: outcome.total }
}

/// Prefill, then decode, as the host does it, on a client that keeps its connections.
async fn ask_engines(cluster: &LocalCluster, number: u64) -> AnswerTimes {
    let engines = EngineClient::new(&NetStack::tcp());
    let address = |role| -> SocketAddr {
        let declared: Vec<_> =
            cluster.configuration.backend.iter().filter(|it| it.role == role).collect();
        let index = usize::try_from(number).unwrap_or(0) % declared.len();
        cluster.engines[&declared[index].name].address()
    };
    let stream = StreamId { host: "direct".into(), incarnation: 0, sequence: number };
    let started = Instant::now();
    let prefill = PrefillRequest {
        stream: stream.clone(),
        model: "alert-8b".into(),
        prompt: chat_prompt(&message(number)).into(),
        generated: Vec::new(),
        priority: 0,
    };
    let source = address(BackendRole::Prefill);
    let export = engines.prefill(source, &prefill, LIMIT).await;
    let Ok(export) = export else { return AnswerTimes::default() };
    let decode = DecodeRequest {
        stream,
        model: "alert-8b".into(),
        kv: export.kv,
        kv_address: source.to_string().into(),
        from: 0,
        max_tokens: TOKENS,
        priority: 0,
    };
    let opened = engines.decode(address(BackendRole::Decode), &decode, LIMIT, LIMIT).await;
    let Ok(mut tokens) = opened else { return AnswerTimes::default() };
    let mut times = AnswerTimes::default();
    while let Ok(event) = tokens.next().await {
        if times.first.is_zero() {
            times.first = started.elapsed();
        }
        if event.finish.is_some() {
            break;
        }
    }
    times.total = started.elapsed();
    times
}
