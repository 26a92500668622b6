//! What real `dillspoold` processes cost: at rest by their number, and under load by request.

use std::time::Duration;

use dillspool_io::NetStack;
use dillspool_local::{
    BinaryPaths, CallerClient, ChatCall, OwnProcess, ProcessSystem, call_text, caller_key,
};
use hyper::Method;

use crate::mix::UserMix;

/// Hosts of each trial; all are in one failure domain, so each has links to all others.
const SIZES: [usize; 3] = [8, 32, 96];
/// Time to settle, and time to measure at rest.
const SETTLE: Duration = Duration::from_secs(6);
const WATCH: Duration = Duration::from_secs(10);
/// Load of the loaded trial as a part of the capacity, and its seconds.
const LOAD: f64 = 0.8;
const LOAD_S: u64 = 15;
/// Clock ticks a second in /proc, as on every Linux that this runs on.
const TICKS_PER_S: f64 = 100.0;
/// Bytes of a memory page.
const PAGE_BYTES: f64 = 4096.0;
/// Fields of /proc/PID/stat after the command: user and system time.
const STAT_TIMES: (usize, usize) = (11, 12);

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
struct ProcessUse {
    cpu_s: f64,
    resident_mb: f64,
    control_bytes: f64,
}

async fn read_use(process: &OwnProcess) -> Result<ProcessUse, String> {
    let read = |name: &str| {
        std::fs::read_to_string(format!("/proc/{}/{name}", process.id()))
            .map_err(|error| format!("/proc cannot be read: {error}"))
    };
    let stat = read("stat")?;
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let field =
        |index: usize| fields.get(index).and_then(|it| it.parse::<f64>().ok()).unwrap_or(0.0);
    let statm = read("statm")?;
    let pages = statm.split(' ').nth(1).and_then(|it| it.parse::<f64>().ok()).unwrap_or(0.0);
    let metrics = call_text(process.addresses[1], Method::GET, "/metrics", Vec::new()).await;
    let metrics = String::from_utf8_lossy(&metrics).into_owned();
    let control = metrics
        .lines()
        .find_map(|line| line.strip_prefix("dillspool_control_bytes_total "))
        .and_then(|text| text.parse::<f64>().ok())
        .unwrap_or(0.0);
    Ok(ProcessUse {
        cpu_s: (field(STAT_TIMES.0) + field(STAT_TIMES.1)) / TICKS_PER_S,
        resident_mb: pages * PAGE_BYTES / 1e6,
        control_bytes: control,
    })
}

async fn total_use(system: &ProcessSystem) -> Result<ProcessUse, String> {
    let mut total = ProcessUse::default();
    for host in &system.hosts {
        let one = read_use(host).await?;
        total.cpu_s += one.cpu_s;
        total.resident_mb += one.resident_mb;
        total.control_bytes += one.control_bytes;
    }
    Ok(total)
}

pub(crate) fn run(mix: &UserMix, seed: u64) -> Result<(), String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let binaries = BinaryPaths::beside(&program);
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    runtime.block_on(async {
        for hosts in SIZES {
            at_rest(mix, &binaries, hosts).await?;
        }
        under_load(mix, &binaries, seed).await
    })
}

async fn at_rest(mix: &UserMix, binaries: &BinaryPaths, hosts: usize) -> Result<(), String> {
    let system = ProcessSystem::start(binaries, mix.configuration.clone(), hosts).await;
    tokio::time::sleep(SETTLE).await;
    let before = total_use(&system).await?;
    let started = tokio::time::Instant::now();
    tokio::time::sleep(WATCH).await;
    let after = total_use(&system).await?;
    let (seconds, hosts) = (started.elapsed().as_secs_f64(), hosts as f64);
    println!(
        "at rest, {hosts:>3} hosts, each linked to all: {:.2}% of a core, {:.1} MB resident, {:.0} B/s of control a host",
        (after.cpu_s - before.cpu_s) / seconds / hosts * 100.0,
        after.resident_mb / hosts,
        (after.control_bytes - before.control_bytes) / seconds / hosts
    );
    Ok(())
}

async fn under_load(mix: &UserMix, binaries: &BinaryPaths, seed: u64) -> Result<(), String> {
    let system = ProcessSystem::start(binaries, mix.configuration.clone(), SIZES[0]).await;
    tokio::time::sleep(SETTLE).await;
    let before = total_use(&system).await?;
    let started = tokio::time::Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    for (number, arrival) in mix.arrivals(LOAD, LOAD_S, seed).into_iter().enumerate() {
        tokio::time::sleep_until(started + arrival.at).await;
        let host = system.callers(number % SIZES[0]);
        let model = mix.model.to_owned();
        calls.spawn(async move {
            let caller = CallerClient::new(&NetStack::tcp(), caller_key(arrival.group));
            let (text, max_tokens) = (arrival.text, arrival.max_tokens);
            caller.chat(host, &ChatCall { model, text, max_tokens, stream: true }).await
        });
    }
    let outcomes = calls.join_all().await;
    let after = total_use(&system).await?;
    let seconds = started.elapsed().as_secs_f64();
    let whole = outcomes.iter().filter(|it| it.ended).count();
    let tokens: u64 = outcomes.iter().map(|it| it.tokens).sum();
    let (cpu, bytes) = (after.cpu_s - before.cpu_s, after.control_bytes - before.control_bytes);
    println!(
        "under load, {} hosts, {seconds:.1} s: {} requests, {whole} whole, {tokens} tokens",
        SIZES[0],
        outcomes.len()
    );
    println!(
        "  {:.0} us of processor a request all told, {:.1} us a token; {:.0} B/s of control a host, {:.1} MB resident",
        cpu * 1e6 / outcomes.len() as f64,
        cpu * 1e6 / tokens as f64,
        bytes / seconds / SIZES[0] as f64,
        after.resident_mb / SIZES[0] as f64
    );
    Ok(())
}
