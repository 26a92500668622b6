//! Slopes of docs/CAPACITY.md: a figure for several sizes, a line through them, and a check of
//! the line at a size that it was not drawn through.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dillspool_config::{ConfigDelta, ConfigSnapshot, ConfigVersion, parse_configuration};
use dillspool_local::chat_prompt;
use dillspool_peer::{decode_message, encode_message};
use dillspool_pool::PoolState;
use dillspool_schema::messages::{
    HeartbeatMessage, PeerMessage, PlacementGrant, ReleaseCause, ReleaseMessage, ReserveAnswer,
    ReserveMessage,
};
use dillspool_schema::{Name, StreamId};
use hdrhistogram::Histogram;

use crate::ALLOCATED;

/// Bytes that WebSocket, TCP and IP add to a message.
const FRAME_BYTES: usize = 46;
/// Times that a short piece of code is repeated to be measured.
const REPEATS: u32 = 20_000;

/// A measured figure at a size.
struct SizePoint {
    size: f64,
    value: f64,
}

/// A line through points, by least squares.
struct SlopeLine {
    slope: f64,
    base: f64,
    /// Largest distance of a point from the line, in hundredths of the point.
    residual: f64,
}

fn fit(points: &[SizePoint]) -> SlopeLine {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|it| it.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|it| it.value).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|it| (it.size - mean_size).powi(2)).sum();
    let joint: f64 = points.iter().map(|it| (it.size - mean_size) * (it.value - mean_value)).sum();
    let slope = joint / spread;
    let base = mean_value - slope * mean_size;
    let off = |it: &SizePoint| ((slope * it.size + base) / it.value - 1.0).abs() * 100.0;
    SlopeLine { slope, base, residual: points.iter().map(off).fold(0.0, f64::max) }
}

/// Measures at the sizes, fits, and checks the last size, which the fit has not seen.
fn report(what: &str, unit: &str, sizes: &[u32], measure: impl Fn(u32) -> f64) {
    let points: Vec<SizePoint> = sizes
        .iter()
        .map(|size| SizePoint { size: f64::from(*size), value: measure(*size) })
        .collect();
    let Some((check, fitted)) = points.split_last() else { return };
    let line = fit(fitted);
    let predicted = line.slope * check.size + line.base;
    println!(
        "{what:<44} slope {:>10.3} base {:>10.1} {unit:<8} residual {:>4.1}% | at {:>6}: predicted {predicted:.1}, measured {:.1}",
        line.slope, line.base, line.residual, check.size, check.value
    );
}

pub(crate) fn run() -> Result<(), String> {
    messages()?;
    configuration();
    decisions()?;
    Ok(())
}

fn stream(sequence: u64) -> StreamId {
    StreamId { host: "entry-123".into(), incarnation: 1_796_215_624_592, sequence }
}

fn reserve(sequence: u64, group: &str) -> ReserveMessage {
    ReserveMessage {
        stream: stream(sequence),
        pool: "alerts".into(),
        group: group.into(),
        prompt: 1200,
        output: 300,
        wait_ms: 350,
        prefix: 0x1234_5678_9abc_def0,
        prefilled: None,
        avoid: Vec::new(),
        print: None,
    }
}

fn release(sequence: u64) -> ReleaseMessage {
    ReleaseMessage {
        stream: stream(sequence),
        pool: "alerts".into(),
        cause: ReleaseCause::Done,
        tokens: 300,
        cached: 256,
        print: None,
        ended: None,
    }
}

fn messages() -> Result<(), String> {
    let grant =
        PlacementGrant { prefill: "prefill-westlands".into(), decode: "decode-karen-1".into() };
    let answer = ReserveAnswer { stream: stream(7), grant: Some(grant), refusal: None };
    let rows = [
        ("reserve", PeerMessage::Ask(reserve(7, "clinic-alerts"))),
        ("answer", PeerMessage::Answer(answer)),
        ("release", PeerMessage::Free(release(7))),
        ("heartbeat", PeerMessage::Beat(HeartbeatMessage { config: 3200, draining: false })),
    ];
    for (name, message) in rows {
        let bytes = encode_message(&message).map_err(|error| error.to_string())?;
        let started = Instant::now();
        for _ in 0..REPEATS {
            let bytes = encode_message(&message).map_err(|error| error.to_string())?;
            decode_message(&bytes).map_err(|error| error.to_string())?;
        }
        let cpu = started.elapsed() / REPEATS;
        println!(
            "message {name:<36} {} B, {} B on the wire, encode and decode {cpu:?}",
            bytes.len(),
            bytes.len() + FRAME_BYTES
        );
    }
    Ok(())
}

/// A configuration of so many groups and engines in pools of 20 engines.
fn config_text(groups: u32, engines: u32) -> String {
    use std::fmt::Write;
    let mut text = "[policy]\ngoodput_weight = 60\n".to_owned();
    // Writing to a string cannot fail, here and below.
    for group in 0..groups {
        let key = dillspool_keys::hash_key(&group.to_string());
        let _infallible = write!(
            text,
            "[[group]]\nname = \"group-{group:05}\"\nshare = 10\npriority = 1\n\
             key_hashes = [\"{key}\"]\nfirst_token_ms = 360\nper_token_ms = 35\n"
        );
    }
    let pools = engines.div_ceil(20).max(1);
    for pool in 0..pools {
        let _infallible = write!(
            text,
            "[[pool]]\nname = \"pool-{pool:04}\"\nmodel = \"model-{}\"\n\
             kv_bytes_per_token = 160000\nkv_lifetime_ms = 800\n",
            pool % 21
        );
    }
    for engine in 0..engines.max(2) {
        let role = if engine % 20 < 6 && engine % 2 == 0 { "prefill" } else { "decode" };
        let _infallible = write!(
            text,
            "[[backend]]\nname = \"engine-{engine:05}\"\nrole = \"{role}\"\n\
             pool = \"pool-{:04}\"\naddress = \"10.0.0.1:{}\"\nfailure_domain = \"d{}\"\n\
             slots = 20\n",
            engine / 20,
            1000 + engine,
            engine % 21
        );
    }
    text
}

fn snapshot(groups: u32, engines: u32) -> Result<Arc<ConfigSnapshot>, String> {
    let configuration = parse_configuration("slopes", &config_text(groups, engines))
        .map_err(|error| error.to_string())?;
    Ok(Arc::new(ConfigSnapshot::new(ConfigVersion(1), configuration)))
}

fn configuration() {
    let held = |groups, engines| {
        let before = ALLOCATED.current_usage();
        let Ok(snapshot) = snapshot(groups, engines) else { return 0.0 };
        let held = ALLOCATED.current_usage() - before;
        drop(snapshot);
        held as f64
    };
    let sizes = [1000, 2000, 4000, 6900];
    report("memory of a snapshot, per group", "B", &sizes, |groups| held(groups, 20));
    report("memory of a snapshot, per engine", "B", &[400, 800, 1600, 2700], |it| held(20, it));
    let full = |groups, engines| {
        let text = snapshot(groups, engines)
            .ok()
            .and_then(|it| serde_json::to_string(&it.configuration).ok());
        text.map_or(0.0, |text| text.len() as f64)
    };
    report("whole configuration, per group", "B", &sizes, |groups| full(groups, 20));
    report("whole configuration, per engine", "B", &[400, 800, 1600, 2700], |it| full(20, it));
    let delta = |groups| {
        let Ok(base) = snapshot(groups, 20) else { return 0.0 };
        let mut next = base.configuration.clone();
        next.group[0].share += 1;
        let delta = ConfigDelta::between(&base.configuration, &next);
        serde_json::to_string(&delta).map_or(0.0, |text| text.len() as f64)
    };
    for groups in sizes {
        println!("delta of one group of {groups:<22} {} B", delta(groups));
    }
    let adopt = |groups| {
        let Ok(base) = snapshot(groups, 2700) else { return 0.0 };
        let mut next = base.configuration.clone();
        next.group[0].share += 1;
        let delta = ConfigDelta::between(&base.configuration, &next);
        let started = Instant::now();
        let adopted = ConfigSnapshot::new(ConfigVersion(2), delta.apply(&base.configuration));
        let micros = started.elapsed().as_secs_f64() * 1e6;
        drop(adopted);
        micros
    };
    report("time to adopt a delta, 2,700 engines", "us", &sizes, adopt);
}

fn decisions() -> Result<(), String> {
    let placements = |count: u32| {
        let Ok(snapshot) = snapshot(100, 2700) else { return 0.0 };
        let Some(pool) = snapshot.configuration.pool.first() else { return 0.0 };
        let now = tokio::time::Instant::now();
        let mut state = PoolState::new(pool, &snapshot, now);
        let before = ALLOCATED.current_usage();
        let mut now = now;
        for number in 0..count {
            now += Duration::from_millis(200);
            state.submit(reserve(number.into(), "group-00001"), now);
            state.dispatch(now);
        }
        (ALLOCATED.current_usage() - before) as f64
    };
    let sleeping = |pools: u32| {
        let Ok(snapshot) = snapshot(6900, pools * 20) else { return 0.0 };
        let now = tokio::time::Instant::now();
        let before = ALLOCATED.current_usage();
        let declared = &snapshot.configuration.pool;
        let states: Vec<PoolState> =
            declared.iter().map(|pool| PoolState::new(pool, &snapshot, now)).collect();
        let held = ALLOCATED.current_usage() - before;
        drop(states);
        held as f64
    };
    report("memory of sleeping schedulers, per pool", "B", &[20, 40, 80, 135], sleeping);
    report("memory of placements, per placement", "B", &[80, 160, 240, 320], placements);
    println!(
        "{:<44} {:>8} {:>8} {:>8} (us)",
        "one decision: submit, pump, release", "p50", "p99", "max"
    );
    for engines in [20, 40, 80, 160, 320] {
        let histogram = decide(engines)?;
        let micros = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        println!(
            "  pool of {engines:<34} {:>8.1} {:>8.1} {:>8.1}",
            micros(0.5),
            micros(0.99),
            micros(1.0)
        );
    }
    println!("prompt of the entry host: {} B more than the message", chat_prompt("").len());
    Ok(())
}

/// Times decisions in a pool with 6,900 groups, half of its slots taken.
fn decide(engines: u32) -> Result<Histogram<u64>, String> {
    let text = config_text(6900, engines).replace("pool = \"pool-", "pool = \"x-");
    let text = rename_pools(&text);
    let configuration = parse_configuration("slopes", &text).map_err(|error| error.to_string())?;
    let snapshot = Arc::new(ConfigSnapshot::new(ConfigVersion(1), configuration));
    let Some(pool) = snapshot.configuration.pool.first() else { return Err("no pool".to_owned()) };
    let mut now = tokio::time::Instant::now();
    let mut state = PoolState::new(pool, &snapshot, now);
    let mut histogram = Histogram::<u64>::new(3).map_err(|error| error.to_string())?;
    let kept = u64::from(engines) * 8;
    for number in 0..u64::from(REPEATS) {
        now += Duration::from_millis(20);
        let group: Name = format!("group-{:05}", number % 6900).into();
        let started = Instant::now();
        state.submit(reserve(number, &group), now);
        state.dispatch(now);
        if number >= kept {
            state.release(&release(number - kept), now);
        }
        let nanos = u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX);
        if number >= kept * 2 {
            histogram.record(nanos).map_err(|error| error.to_string())?;
        }
    }
    Ok(histogram)
}

/// Puts all engines into one pool.
fn rename_pools(text: &str) -> String {
    let mut lines = Vec::new();
    let mut pools = 0;
    let mut skipping = false;
    for line in text.lines() {
        if line.starts_with("[[") {
            skipping = line == "[[pool]]" && pools > 0;
            pools += u32::from(line == "[[pool]]");
        }
        if skipping {
            continue;
        }
        lines.push(if line.starts_with("pool = ") { "pool = \"pool-0000\"" } else { line });
    }
    lines.join("\n")
}
