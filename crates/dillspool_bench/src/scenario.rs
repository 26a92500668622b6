//! One run: a mix at a load under a policy, in memory under paused time.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_io::MemoryNet;
use dillspool_local::{
    CallOutcome, CallerClient, ChatCall, ClusterNet, LocalCluster, caller_key, expected_answer,
};
use dillspool_schema::configuration::{BackendRole, GroupEntry};
use dillspool_standin::EngineFault;
use tokio::time::Instant;

use crate::mix::{Arrival, UserMix};
use crate::policy::PolicyName;

/// Entry hosts of a run.
const HOSTS: usize = 3;
/// Unrepeatable calls a second beside the model requests.
const READINGS_PER_S: u64 = 10;
/// Time after which a caller gives its answer up; longer than any answer should take.
const CALLER_PATIENCE: Duration = Duration::from_mins(1);
/// Time for the hosts to hear of each other before the first request.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RequestEnd {
    /// Whole, and both targets met.
    Good,
    /// Whole, and a target missed.
    Late,
    /// Refused before any work.
    Refused,
    /// Broken off or failed after work was done.
    Failed,
    /// The caller left.
    Left,
    /// Another text than was asked for: must never be.
    Wrong,
}

/// One request and what came of it.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) arrival: Arrival,
    pub(crate) end: RequestEnd,
    pub(crate) first_token: Duration,
    pub(crate) per_token: Duration,
    pub(crate) total: Duration,
}

/// A run that is over.
#[derive(Clone, Debug)]
pub(crate) struct RunResult {
    pub(crate) records: Vec<RequestRecord>,
    pub(crate) prefills: u64,
    /// Prefills whose result was never imported by a decode engine, and the answers of which
    /// were not whole.
    pub(crate) wasted: u64,
    /// Readings that were sent and that ran twice or more.
    pub(crate) readings: (u64, u64),
    /// Streams that engines still held some seconds after the last caller was done.
    pub(crate) held_after: usize,
}

/// What a run plays.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunPlan {
    pub(crate) policy: PolicyName,
    pub(crate) load: f64,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
    /// Whether a decode engine dies in the middle.
    pub(crate) kill_engine: bool,
    /// How many times as much the last group sends.
    pub(crate) flood: f64,
}

/// Time for which an engine is dead.
const DEAD_TIME: Duration = Duration::from_secs(10);

/// Runs a scenario on a thread of its own.
pub(crate) fn run_scenario(mix: &UserMix, plan: RunPlan) -> Result<RunResult, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .map_err(|error| format!("cannot build a runtime: {error}"))?;
    Ok(runtime.block_on(play(mix, plan)))
}

async fn play(mix: &UserMix, plan: RunPlan) -> RunResult {
    let net = ClusterNet::Memory(MemoryNet::new());
    let mut cluster = LocalCluster::start(net, mix.configuration.clone()).await;
    cluster.desk = plan.policy.desk(plan.seed);
    for index in 1..=HOSTS {
        cluster.add_host(&format!("entry-{index}")).await;
    }
    let configuration = cluster.configuration.clone();
    let (status, _) = cluster.apply(0, &configuration).await;
    assert_eq!(status, 200, "the examples are valid");
    cluster.wait_in_force(1, Duration::from_secs(10)).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let readings = tokio::spawn(send_readings(ReadingSender::new(&cluster, mix), plan.seconds));
    if plan.kill_engine {
        kill_engine(&cluster, mix, Duration::from_secs(plan.seconds) / 3);
    }
    let records = send_all(&cluster, mix, plan).await;
    let sent = readings.await.unwrap_or(0);
    tokio::time::sleep(Duration::from_secs(10)).await;
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for plain in cluster.plains.values() {
        for (body, count) in plain.runs() {
            *runs.entry(body).or_default() += count;
        }
    }
    let doubled = runs.values().filter(|count| **count > 1).count() as u64;
    let counts = cluster.engines.values().map(dillspool_standin::EngineStandIn::prefill_counts);
    let prefills = counts.map(|(done, _)| done).sum();
    let used = cluster.engines.values().map(dillspool_standin::EngineStandIn::imports_done);
    let result = RunResult {
        records,
        prefills,
        wasted: prefills.saturating_sub(used.sum()),
        readings: (sent, doubled),
        held_after: cluster.held_streams(),
    };
    cluster.stop();
    result
}

/// Lets the first decode engine die after a time, and come back empty.
fn kill_engine(cluster: &LocalCluster, mix: &UserMix, after: Duration) {
    let declared = &mix.configuration.backend;
    let Some(entry) = declared.iter().find(|it| it.role == BackendRole::Decode) else { return };
    let engine = cluster.engines[&entry.name].clone();
    tokio::spawn(async move {
        tokio::time::sleep(after).await;
        engine.set_fault(EngineFault::Dead);
        tokio::time::sleep(DEAD_TIME).await;
        engine.set_fault(EngineFault::None);
    });
}

async fn send_all(cluster: &LocalCluster, mix: &UserMix, plan: RunPlan) -> Vec<RequestRecord> {
    let started = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    let RunPlan { load, seconds, seed, flood, .. } = plan;
    let arrivals = mix.flooded_arrivals(load, seconds, seed, flood);
    for (number, arrival) in arrivals.into_iter().enumerate() {
        tokio::time::sleep_until(started + arrival.at).await;
        let client = CallerClient::new(&cluster.client_stack(), caller_key(arrival.group));
        let host = cluster.hosts[number % HOSTS].addresses.callers;
        let group = group_entry(mix, arrival.group);
        let call = ChatCall {
            model: mix.model.to_owned(),
            text: arrival.text.clone(),
            max_tokens: arrival.max_tokens,
            stream: true,
        };
        calls.spawn(async move {
            let patience = arrival.leaves_after.unwrap_or(CALLER_PATIENCE);
            let outcome = tokio::time::timeout(patience, client.chat(host, &call)).await.ok();
            record(arrival, group.as_ref(), outcome)
        });
    }
    let mut records = calls.join_all().await;
    records.sort_by_key(|record| record.arrival.at);
    records
}

fn group_entry(mix: &UserMix, name: &str) -> Option<GroupEntry> {
    mix.configuration.group.iter().find(|group| &*group.name == name).cloned()
}

fn record(
    arrival: Arrival,
    group: Option<&GroupEntry>,
    outcome: Option<CallOutcome>,
) -> RequestRecord {
    let Some(outcome) = outcome else {
        let zero = Duration::ZERO;
        let end =
            if arrival.leaves_after.is_some() { RequestEnd::Left } else { RequestEnd::Failed };
        return RequestRecord { arrival, end, first_token: zero, per_token: zero, total: zero };
    };
    let end = if outcome.ended {
        if outcome.text == expected_answer(&arrival.text, arrival.output) {
            let met = group.is_some_and(|group| {
                outcome.first_token <= Duration::from_millis(group.first_token_ms.into())
                    && outcome.per_token <= Duration::from_millis(group.per_token_ms.into())
            });
            if met { RequestEnd::Good } else { RequestEnd::Late }
        } else {
            RequestEnd::Wrong
        }
    } else if outcome.outcome.as_deref() == Some("not_run") {
        RequestEnd::Refused
    } else {
        RequestEnd::Failed
    };
    RequestRecord {
        arrival,
        end,
        first_token: outcome.first_token,
        per_token: outcome.per_token,
        total: outcome.total,
    }
}

/// Sends unrepeatable calls beside the model requests.
struct ReadingSender {
    client: CallerClient,
    hosts: Vec<std::net::SocketAddr>,
    route: String,
}

impl ReadingSender {
    fn new(cluster: &LocalCluster, mix: &UserMix) -> Self {
        let group = mix.configuration.group.last().map_or("", |group| &*group.name);
        let route = mix.configuration.route.iter().find(|route| !route.repeatable);
        Self {
            client: CallerClient::new(&cluster.client_stack(), caller_key(group)),
            hosts: cluster.hosts.iter().map(|host| host.addresses.callers).collect(),
            route: route.map_or_else(String::new, |route| route.prefix.to_string()),
        }
    }
}

/// Sends each reading twice with one key, through two hosts.
async fn send_readings(sender: ReadingSender, seconds: u64) -> u64 {
    let total = seconds * READINGS_PER_S;
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..total {
        tokio::time::sleep(Duration::from_secs(1) / u32::try_from(READINGS_PER_S).unwrap_or(1))
            .await;
        for step in 0..2 {
            let client = sender.client.clone();
            let index = usize::try_from(number + step).unwrap_or(0) % sender.hosts.len();
            let (host, route) = (sender.hosts[index], sender.route.clone());
            calls.spawn(async move {
                let (key, body) = (format!("key-{number}"), format!("reading {number}"));
                client.plain(host, &route, Some(&key), &body).await
            });
        }
    }
    calls.join_all().await;
    total
}
