//! Checks with seeded series of faults that streams go on at the software version that began them.
//!
//! Engines of three versions crash and start again with another one, under new or the same IDs; hosts are killed, restart
//! and lose each other, their callers and the store; faults overlap. `SOFTWARE_SEEDS=100-149` runs other seeds.

mod fleet;

use std::ops::RangeInclusive;
use std::time::Duration;

use dillspool_cases::seeds;
use dillspool_io::LinkMode;
use dillspool_site_standin::{BackendFault, StandinKind, StoreMode};
use fleet::{FleetOptions, RestartIdentity, TakenStream, TestFleet};
use futures_util::future::{join, join_all};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Seeds that run in CI.
const CI_SEEDS: RangeInclusive<u64> = 1..=4;
const HOSTS: usize = 4;
/// Streams that may hold events of several versions, as the rule says.
const MAX_MIXED: usize = 2;
/// Time in which streams begin.
const BEGIN_TIME: Duration = Duration::from_secs(14);
/// Interval between two streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(20);
/// Tries of a caller, and the time between them.
const TRIES: usize = 6;
const TRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a killed host starts again.
const KILLED_TIME: Duration = Duration::from_secs(5);

/// Software version of a start of a backend server; those of one stage differ at any time.
fn software(number: usize, start: u64) -> &'static str {
    let turns = usize::try_from(start).expect("few starts") / 2;
    ["v1", "v2", "v3"][(number / 3 + turns) % 3]
}

/// A fault injected into the fleet.
#[derive(Clone, Debug)]
enum InjectedFault {
    /// The links between two sets of hosts are in a mode for a time.
    HostLinks(Vec<usize>, LinkMode, Duration),
    /// Callers do not reach a host for a time.
    CallerLinks(usize, Duration),
    /// These hosts restart.
    Restart(Vec<usize>),
    /// These hosts are killed, and start again later.
    Kill(Vec<usize>),
    /// The store is in a mode for a time.
    Store(StoreMode, Duration),
    /// These engines, by their place among those of their stage, crash and start again.
    Crash(StandinKind, Vec<usize>),
    /// A decode engine treats its streams so for a time.
    Engine(usize, BackendFault, Duration),
}

#[derive(Clone, Debug)]
struct SeriesStep {
    at: Duration,
    fault: InjectedFault,
}

fn draw_some(rng: &mut SmallRng, count: usize) -> Vec<usize> {
    if rng.random_bool(0.5) {
        return vec![rng.random_range(0..count)];
    }
    (0..count).filter(|_one| rng.random_bool(0.6)).collect()
}

fn draw_fault(rng: &mut SmallRng) -> InjectedFault {
    let time = Duration::from_millis(rng.random_range(100..5_000));
    match rng.random_range(0..12) {
        0 => InjectedFault::HostLinks(draw_some(rng, HOSTS), LinkMode::Frozen, time),
        1 => InjectedFault::HostLinks(draw_some(rng, HOSTS), LinkMode::Cut, time),
        2 => InjectedFault::CallerLinks(rng.random_range(0..HOSTS), time),
        3 => InjectedFault::Restart(draw_some(rng, HOSTS)),
        4 | 5 => InjectedFault::Kill(draw_some(rng, HOSTS)),
        6 => {
            let modes = [StoreMode::Busy, StoreMode::Silent, StoreMode::LosingAnswers];
            InjectedFault::Store(modes[rng.random_range(0..3)], time)
        }
        7..=9 => InjectedFault::Crash(StandinKind::Decode, draw_some(rng, 4)),
        10 => InjectedFault::Crash(StandinKind::Prefill, draw_some(rng, 4)),
        _last => {
            let faults = [BackendFault::BreaksOff, BackendFault::Stalls];
            InjectedFault::Engine(rng.random_range(0..4), faults[rng.random_range(0..2)], time)
        }
    }
}

fn draw_series(rng: &mut SmallRng) -> Vec<SeriesStep> {
    let count = rng.random_range(3..10);
    let steps = (0..count).map(|_step| SeriesStep {
        at: Duration::from_millis(rng.random_range(500..12_000)),
        fault: draw_fault(rng),
    });
    steps.collect()
}

async fn inject(fleet: &TestFleet, step: &SeriesStep) {
    tokio::time::sleep(step.at).await;
    let others: Vec<_> = (0..HOSTS).collect();
    match &step.fault {
        InjectedFault::HostLinks(hosts, mode, time) => {
            fleet.set_links(hosts, &others, *mode);
            tokio::time::sleep(*time).await;
            fleet.set_links(hosts, &others, LinkMode::Open);
        }
        InjectedFault::CallerLinks(host, time) => {
            fleet.set_caller_links(*host, LinkMode::Cut);
            tokio::time::sleep(*time).await;
            fleet.set_caller_links(*host, LinkMode::Open);
        }
        InjectedFault::Restart(hosts) => {
            join_all(hosts.iter().map(|host| fleet.restart_host(*host))).await;
        }
        InjectedFault::Kill(hosts) => {
            for host in hosts {
                fleet.kill_host(*host).await;
            }
            tokio::time::sleep(KILLED_TIME).await;
            for host in hosts {
                fleet.set_all_links(*host, LinkMode::Open);
                fleet.restart_host(*host).await;
            }
        }
        InjectedFault::Store(mode, time) => {
            fleet.store.set_mode(*mode);
            tokio::time::sleep(*time).await;
            fleet.store.set_mode(StoreMode::Serving);
        }
        InjectedFault::Crash(kind, places) => {
            let engines = fleet.backends(*kind);
            for place in places {
                engines[*place].crash();
            }
        }
        InjectedFault::Engine(place, fault, time) => {
            let engine = fleet.backends(StandinKind::Decode).swap_remove(*place);
            engine.set_fault(*fault);
            tokio::time::sleep(*time).await;
            engine.set_fault(BackendFault::None);
        }
    }
}

async fn take_stream(fleet: &TestFleet, number: usize) -> TakenStream {
    tokio::time::sleep(STREAM_INTERVAL * u32::try_from(number).expect("few")).await;
    let hosts = (number..).take(TRIES).map(|host| host % HOSTS);
    fleet.take_stream(number, hosts, TRY_INTERVAL, false).await
}

/// Runs a series and returns the violations.
async fn run_case(seed: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let restart_identity =
        if rng.random_bool(0.7) { RestartIdentity::NewId } else { RestartIdentity::SameId };
    let series = draw_series(&mut rng);
    let options =
        FleetOptions { software: Some(software), is_first_start: true, ..FleetOptions::default() };
    let fleet = TestFleet::start_with(HOSTS, restart_identity, &options).await;
    let count = usize::try_from(BEGIN_TIME.as_millis() / STREAM_INTERVAL.as_millis());
    let callers = join_all((0..count.expect("few")).map(|number| take_stream(&fleet, number)));
    let faults = join_all(series.iter().map(|step| inject(&fleet, step)));
    let (streams, _faults) = join(callers, faults).await;
    let mixed: Vec<_> = streams.iter().filter(|it| it.versions().len() > 1).collect();
    let resumed = streams.iter().filter(|it| it.was_resumed());
    let (resumed, gone_on) = resumed.fold((0, 0), |(resumed, gone_on), stream| {
        (resumed + 1, gone_on + usize::from(stream.is_whole()))
    });
    let begun = streams.iter().filter(|it| it.events().next().is_some()).count();
    println!(
        "seed {seed}: {} streams, {begun} begun, {gone_on} of {resumed} resumed went on, {} mixed",
        streams.len(),
        mixed.len(),
    );
    if std::env::var_os("SOFTWARE_TRACE").is_some() {
        println!("{series:?}");
        for stream in streams.iter().filter(|it| it.was_resumed() && !it.is_whole()) {
            println!("{stream:?}");
        }
    }
    let mut violations = Vec::new();
    if mixed.len() > MAX_MIXED {
        violations.push(format!("seed {seed}: {} mixed, {:?}", mixed.len(), mixed[0]));
    }
    let crossed = fleet.runs.crossed();
    if crossed.len() > MAX_MIXED {
        violations.push(format!("seed {seed}: {} KV caches of another version", crossed.len()));
    }
    if !violations.is_empty() {
        violations.push(format!("seed {seed}: {restart_identity:?}, {series:?}"));
    }
    violations
}

/// Guards against streams that go on at another version while hosts, engines and the store fail in any order.
#[tokio::test(start_paused = true)]
async fn streams_keep_their_software_version_in_a_series_of_faults() {
    let mut violations = Vec::new();
    for seed in seeds("SOFTWARE_SEEDS", CI_SEEDS) {
        violations.extend(run_case(seed).await);
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
