//! The real run: processes on the loopback address, a seeded load, and one fault in its middle.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dillspool_engine::EngineClient;
use dillspool_io::NetStack;
use dillspool_local::{
    BinaryPaths, CallOutcome, CallerClient, ChatCall, ProcessSystem, Signal, caller_key,
    expected_answer, get, post,
};
use dillspool_schema::configuration::BackendRole;
use serde_json::json;
use tokio::time::Instant;

use crate::mix::{Arrival, UserMix};

/// Entry hosts, as each user has today.
const HOSTS: usize = 7;
/// Load of the run, as a part of the capacity.
const LOAD: f64 = 0.4;
/// Seconds of load before the fault.
const BEFORE: Duration = Duration::from_secs(4);
/// Seconds of load after the fault has begun.
const AFTER_S: u64 = 12;
/// Longest outage of the store, stop of a process and the like.
const FAULT_TIME: Duration = Duration::from_secs(6);
/// Time after the load in which engines must hold nothing.
const FREE_LIMIT: Duration = Duration::from_secs(5);
/// Unrepeatable calls a second.
const READINGS_PER_S: u64 = 20;
/// Time in which a refused connection is told from one that broke later.
const CONNECT_TIME: Duration = Duration::from_millis(5);
/// Sendings of one unrepeatable call at most.
const MOST_SENDINGS: usize = 12;

/// What is done to the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    None,
    KillHost,
    KillScheduler,
    StopHost,
    DrainHost,
    KillDecode,
    KillPrefill,
    StoreOutage,
    LostAnswers,
    KillHostInOutage,
}

const FAULTS: [FaultKind; 10] = [
    FaultKind::None,
    FaultKind::KillHost,
    FaultKind::KillScheduler,
    FaultKind::StopHost,
    FaultKind::DrainHost,
    FaultKind::KillDecode,
    FaultKind::KillPrefill,
    FaultKind::StoreOutage,
    FaultKind::LostAnswers,
    FaultKind::KillHostInOutage,
];

/// What the callers saw, and what the services counted.
#[derive(Clone, Debug, Default)]
struct FaultTally {
    requests: usize,
    whole: usize,
    refused: usize,
    /// Ended by an unmistakable error after work was done.
    marked: usize,
    /// The connection broke, as when the caller's own host is killed.
    broken: usize,
    wrong: usize,
    readings: usize,
    recorded: usize,
    doubled: usize,
    false_not_run: usize,
    held: usize,
    recovery: Duration,
}

pub(crate) fn run(mix: &UserMix, seed: u64) -> Result<(), String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let binaries = BinaryPaths::beside(&program);
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    println!(
        "{:<18} {:>8} {:>6} {:>7} {:>6} {:>6} {:>5} {:>8} {:>8} {:>7} {:>9} {:>5} {:>9}",
        "FAULT",
        "REQUESTS",
        "WHOLE",
        "REFUSED",
        "MARKED",
        "BROKEN",
        "WRONG",
        "READINGS",
        "RECORDED",
        "DOUBLED",
        "FALSE NR",
        "HELD",
        "RECOVERY"
    );
    let mut broken_promises = 0;
    for fault in FAULTS {
        let tally = runtime.block_on(run_fault(mix, fault, seed, &binaries));
        println!(
            "{:<18} {:>8} {:>6} {:>7} {:>6} {:>6} {:>5} {:>8} {:>8} {:>7} {:>9} {:>5} {:>8.1}s",
            format!("{fault:?}"),
            tally.requests,
            tally.whole,
            tally.refused,
            tally.marked,
            tally.broken,
            tally.wrong,
            tally.readings,
            tally.recorded,
            tally.doubled,
            tally.false_not_run,
            tally.held,
            tally.recovery.as_secs_f64()
        );
        broken_promises += tally.wrong + tally.doubled + tally.false_not_run + tally.held;
    }
    if broken_promises == 0 {
        Ok(())
    } else {
        Err("a promise was broken: see the table".to_owned())
    }
}

async fn run_fault(
    mix: &UserMix,
    fault: FaultKind,
    seed: u64,
    binaries: &BinaryPaths,
) -> FaultTally {
    let system = ProcessSystem::start(binaries, mix.configuration.clone(), HOSTS).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let seconds = BEFORE.as_secs() + AFTER_S;
    let started = Instant::now();
    let hosts: Arc<[std::net::SocketAddr]> =
        (0..HOSTS).map(|host| system.callers(host)).collect::<Vec<_>>().into();
    let load = tokio::spawn(send_load(
        mix.arrivals(LOAD, seconds, seed),
        mix.model,
        Arc::clone(&hosts),
        started,
    ));
    let readings = tokio::spawn(send_readings(mix.clone(), Arc::clone(&hosts), seconds));
    tokio::time::sleep_until(started + BEFORE).await;
    inject(&system, mix, fault).await;
    let (requests, readings) = (load.await.unwrap_or_default(), readings.await.unwrap_or_default());
    tokio::time::sleep(FREE_LIMIT).await;
    let mut tally = tally_requests(&requests, started + BEFORE);
    tally_readings(&system, &readings, &mut tally).await;
    tally.held = held_streams(&system, fault).await;
    tally
}

/// Index of the host that schedules the first pool.
async fn scheduler(system: &ProcessSystem) -> usize {
    let status: dillspool_host::StatusReply = get(system.hosts[0].addresses[1], "/status").await;
    let name = status.pools.first().map_or("", |pool| &*pool.scheduler);
    let number = name.trim_start_matches("entry-").parse::<usize>().unwrap_or(1);
    number - 1
}

async fn inject(system: &ProcessSystem, mix: &UserMix, fault: FaultKind) {
    let scheduler = scheduler(system).await;
    let other = (scheduler + 1) % HOSTS;
    let engine = |role| {
        let declared = mix.configuration.backend.iter().find(|entry| entry.role == role);
        declared.and_then(|entry| system.backends.get(&entry.name))
    };
    match fault {
        FaultKind::None => {}
        FaultKind::KillHost => system.hosts[other].signal(Signal::SIGKILL),
        FaultKind::KillScheduler => system.hosts[scheduler].signal(Signal::SIGKILL),
        FaultKind::StopHost => {
            system.hosts[other].signal(Signal::SIGSTOP);
            tokio::time::sleep(FAULT_TIME).await;
            system.hosts[other].signal(Signal::SIGCONT);
        }
        FaultKind::DrainHost => system.hosts[other].signal(Signal::SIGTERM),
        FaultKind::KillDecode => kill(engine(BackendRole::Decode)),
        FaultKind::KillPrefill => kill(engine(BackendRole::Prefill)),
        FaultKind::StoreOutage => {
            system.order(&json!({ "down": true })).await;
            tokio::time::sleep(FAULT_TIME).await;
            system.order(&json!({ "down": false })).await;
        }
        FaultKind::LostAnswers => system.order(&json!({ "lose_answers": 20 })).await,
        FaultKind::KillHostInOutage => {
            system.order(&json!({ "down": true })).await;
            system.hosts[other].signal(Signal::SIGKILL);
            tokio::time::sleep(FAULT_TIME).await;
            system.order(&json!({ "down": false })).await;
        }
    }
}

fn kill(process: Option<&dillspool_local::OwnProcess>) {
    if let Some(process) = process {
        process.signal(Signal::SIGKILL);
    }
}

/// One model request and what came of it.
struct RequestTrace {
    arrival: Arrival,
    outcome: CallOutcome,
    sent: Instant,
}

async fn send_load(
    arrivals: Vec<Arrival>,
    model: &'static str,
    hosts: Arc<[std::net::SocketAddr]>,
    started: Instant,
) -> Vec<RequestTrace> {
    let mut calls = tokio::task::JoinSet::new();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        if arrival.leaves_after.is_some() {
            continue;
        }
        tokio::time::sleep_until(started + arrival.at).await;
        let hosts = Arc::clone(&hosts);
        calls.spawn(async move {
            let caller = CallerClient::new(&NetStack::tcp(), caller_key(arrival.group));
            let call = ChatCall {
                model: model.to_owned(),
                text: arrival.text.clone(),
                max_tokens: arrival.max_tokens,
                stream: number % 2 == 0,
            };
            let sent = Instant::now();
            let outcome = send_balanced(&caller, &hosts, number, &call).await;
            RequestTrace { arrival, outcome, sent }
        });
    }
    calls.join_all().await
}

/// Sends to a host, and to the next one if it takes no connection, as the balancer would.
async fn send_balanced(
    caller: &CallerClient,
    hosts: &[std::net::SocketAddr],
    number: usize,
    call: &ChatCall,
) -> CallOutcome {
    let mut outcome = CallOutcome::default();
    for step in 0..hosts.len() {
        let sent = Instant::now();
        outcome = caller.chat(hosts[(number + step) % hosts.len()], call).await;
        let refused = outcome.status == 0 && sent.elapsed() < CONNECT_TIME;
        if !refused {
            break;
        }
    }
    outcome
}

/// One unrepeatable call with all its sendings.
#[derive(Default)]
struct ReadingTrace {
    body: String,
    outcomes: Vec<CallOutcome>,
}

async fn send_readings(
    mix: UserMix,
    hosts: Arc<[std::net::SocketAddr]>,
    seconds: u64,
) -> Vec<ReadingTrace> {
    let group = mix.configuration.group.last().map_or("", |group| &*group.name).to_owned();
    let route = mix.configuration.route.iter().find(|route| !route.repeatable);
    let route = route.map_or_else(String::new, |route| route.prefix.to_string());
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..seconds * READINGS_PER_S {
        tokio::time::sleep(Duration::from_millis(1000 / READINGS_PER_S)).await;
        let (hosts, group, route) = (Arc::clone(&hosts), group.clone(), route.clone());
        calls.spawn(async move {
            let caller = CallerClient::new(&NetStack::tcp(), caller_key(&group));
            send_reading(&caller, &hosts, &route, number).await
        });
    }
    calls.join_all().await
}

/// Sends until an answer is there, each time through another host and with the same key.
async fn send_reading(
    caller: &CallerClient,
    hosts: &[std::net::SocketAddr],
    route: &str,
    number: u64,
) -> ReadingTrace {
    let body = format!("reading {number}");
    let key = format!("key-{number}");
    let mut trace = ReadingTrace { body: body.clone(), outcomes: Vec::new() };
    for sending in 0..MOST_SENDINGS {
        let index = usize::try_from(number).unwrap_or(0) + sending;
        let host = hosts[index % hosts.len()];
        let sent = caller.plain(host, route, Some(&key), &body);
        let outcome = tokio::time::timeout(Duration::from_secs(8), sent).await.unwrap_or_default();
        let pause = outcome.retry_after_ms.unwrap_or(200).min(2000);
        let is_answer = outcome.ended;
        trace.outcomes.push(outcome);
        if is_answer {
            break;
        }
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    trace
}

fn tally_requests(requests: &[RequestTrace], fault_at: Instant) -> FaultTally {
    let mut tally = FaultTally { requests: requests.len(), ..FaultTally::default() };
    for request in requests {
        let outcome = &request.outcome;
        let whole = outcome.text == expected_answer(&request.arrival.text, request.arrival.output);
        match outcome.outcome.as_deref() {
            None if outcome.ended && whole => {
                tally.whole += 1;
                continue;
            }
            None if outcome.ended => tally.wrong += 1,
            Some("not_run") => tally.refused += 1,
            Some(_) => tally.marked += 1,
            None => tally.broken += 1,
        }
        let since = request.sent.saturating_duration_since(fault_at);
        tally.recovery = tally.recovery.max(since);
    }
    tally
}

async fn tally_readings(system: &ProcessSystem, readings: &[ReadingTrace], tally: &mut FaultTally) {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for entry in &system.configuration.backend {
        if entry.role != BackendRole::Plain {
            continue;
        }
        let Some(process) = system.backends.get(&entry.name) else { continue };
        let counts: BTreeMap<String, u64> = post(process.addresses[0], "/runs", &()).await;
        for (body, count) in counts {
            *runs.entry(body).or_default() += count;
        }
    }
    tally.readings = readings.len();
    tally.doubled = runs.values().filter(|count| **count > 1).count();
    for reading in readings {
        let ran = runs.get(&reading.body).copied().unwrap_or(0) > 0;
        let answered = reading.outcomes.last().is_some_and(|outcome| outcome.ended);
        tally.recorded += usize::from(answered);
        let only_not_run =
            reading.outcomes.iter().all(|outcome| outcome.outcome.as_deref() == Some("not_run"));
        tally.false_not_run += usize::from(ran && only_not_run);
    }
}

async fn held_streams(system: &ProcessSystem, fault: FaultKind) -> usize {
    let engines = EngineClient::new(&NetStack::tcp());
    let mut held = 0;
    for entry in &system.configuration.backend {
        if entry.role == BackendRole::Plain {
            continue;
        }
        let Some(process) = system.backends.get(&entry.name) else { continue };
        match engines.list(process.addresses[0]).await {
            Ok(listing) => held += listing.streams.len() + listing.exports.len(),
            Err(error) => {
                let killed = matches!(fault, FaultKind::KillDecode | FaultKind::KillPrefill);
                assert!(killed, "{}: {error}", entry.name);
            }
        }
    }
    held
}
