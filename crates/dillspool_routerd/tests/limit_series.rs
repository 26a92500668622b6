//! Checks with seeded series of faults that the hosts together keep to the rate limits of backend servers.
//!
//! Faults overlap: links between hosts freeze and break in any pattern, hosts restart alone or together and also
//! while isolated, and the store is unavailable. `LIMIT_SEEDS=100-149` runs other seeds.

mod fleet;

use std::ops::RangeInclusive;
use std::time::Duration;

use dillspool_cases::seeds;
use dillspool_io::LinkMode;
use dillspool_site_standin::{StandinBackend, StandinKind, StoreMode};
use fleet::{RestartIdentity, TestFleet};
use futures_util::future::join_all;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

/// Seeds that run in CI.
const CI_SEEDS: RangeInclusive<u64> = 60..=63;
const HOSTS: usize = 4;
/// Length of the window over which requests to a backend server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a limit is first announced until it must hold, including for requests sent before.
const ENFORCEMENT_DELAY: Duration = Duration::from_secs(3);
/// Allowed requests as a multiple of the limit.
const MAX_RATIO: f64 = 1.5;
/// Requests allowed on top of [`MAX_RATIO`].
const MAX_EXCESS: f64 = 5.0;
/// Duration of a series.
const CASE_DURATION: Duration = Duration::from_secs(20);
/// Time before the limits are announced.
const UNLIMITED_PHASE: Duration = Duration::from_secs(3);
/// Interval between requests after the limits are announced.
const REQUEST_INTERVAL: Duration = Duration::from_millis(16);

/// A rate limit that backend servers announce in a series.
#[derive(Clone, Copy)]
struct AnnouncedLimit {
    /// Requests per second.
    text: &'static str,
    /// Interval between requests before the announcement; those sent in the last second before it still arrive.
    initial_interval: Duration,
}

const LIMITS: [AnnouncedLimit; 4] = [
    AnnouncedLimit { text: "5", initial_interval: Duration::from_millis(50) },
    AnnouncedLimit { text: "2", initial_interval: Duration::from_millis(100) },
    AnnouncedLimit { text: "0.5", initial_interval: Duration::from_millis(200) },
    AnnouncedLimit { text: "12", initial_interval: Duration::from_millis(50) },
];

/// A fault injected into the fleet.
#[derive(Clone, Debug)]
enum InjectedFault {
    /// The links between these pairs of hosts are in a mode for a time.
    Links(Vec<(usize, usize)>, LinkMode, Duration),
    /// These hosts restart.
    Restart(Vec<usize>),
    /// The store is in a mode for a time.
    Store(StoreMode, Duration),
}

/// A fault and when it starts.
#[derive(Clone, Debug)]
struct SeriesStep {
    at: Duration,
    fault: InjectedFault,
}

fn draw_hosts(rng: &mut SmallRng) -> Vec<usize> {
    if rng.random_bool(0.5) {
        return vec![rng.random_range(0..HOSTS)];
    }
    (0..HOSTS).filter(|_host| rng.random_bool(0.7)).collect()
}

fn draw_links(rng: &mut SmallRng) -> Vec<(usize, usize)> {
    let share = [0.3, 0.7, 1.0][rng.random_range(0..3)];
    let pairs = (0..HOSTS).flat_map(|one| (0..one).map(move |other| (one, other)));
    pairs.filter(|_pair| rng.random_bool(share)).collect()
}

fn draw_trouble(rng: &mut SmallRng) -> InjectedFault {
    let time = Duration::from_millis(rng.random_range(100..5_000));
    match rng.random_range(0..6) {
        0 | 1 => InjectedFault::Links(draw_links(rng), LinkMode::Frozen, time),
        2 => InjectedFault::Links(draw_links(rng), LinkMode::Cut, time),
        3 | 4 => InjectedFault::Restart(draw_hosts(rng)),
        _last => {
            let modes = [StoreMode::Busy, StoreMode::Silent, StoreMode::LosingAnswers];
            InjectedFault::Store(modes[rng.random_range(0..3)], time)
        }
    }
}

fn draw_series(rng: &mut SmallRng) -> Vec<SeriesStep> {
    let count = rng.random_range(2..8);
    let steps = (0..count).map(|_step| SeriesStep {
        at: Duration::from_millis(rng.random_range(3_500..16_000)),
        fault: draw_trouble(rng),
    });
    steps.collect()
}

fn set_links(fleet: &TestFleet, pairs: &[(usize, usize)], mode: LinkMode) {
    for (one, other) in pairs {
        fleet.set_links(&[*one], &[*other], mode);
    }
}

async fn inject(fleet: &TestFleet, step: &SeriesStep) {
    tokio::time::sleep(step.at).await;
    match &step.fault {
        InjectedFault::Links(pairs, mode, time) => {
            set_links(fleet, pairs, *mode);
            tokio::time::sleep(*time).await;
            set_links(fleet, pairs, LinkMode::Open);
        }
        InjectedFault::Restart(hosts) => {
            join_all(hosts.iter().map(|host| fleet.restart_host(*host))).await;
        }
        InjectedFault::Store(mode, time) => {
            fleet.store.set_mode(*mode);
            tokio::time::sleep(*time).await;
            fleet.store.set_mode(StoreMode::Serving);
        }
    }
}

async fn call(fleet: &TestFleet, limit: AnnouncedLimit) {
    let mut moments = vec![Duration::ZERO];
    while let Some(last) = moments.last().copied().filter(|last| *last < CASE_DURATION) {
        let interval =
            if last < UNLIMITED_PHASE { limit.initial_interval } else { REQUEST_INTERVAL };
        moments.push(last + interval);
    }
    let calls = moments.into_iter().enumerate().map(|(number, moment)| async move {
        tokio::time::sleep(moment).await;
        fleet.send(number % 8, number % HOSTS, "/once/1", "sound").await;
    });
    join_all(calls).await;
}

/// Returns the most requests that a backend server got in a window while its limit held, and when that window
/// ended.
fn largest_window(backend: &StandinBackend, named: Instant) -> (usize, Duration) {
    let arrivals = backend.arrivals();
    let ends = arrivals.iter().filter(|at| **at >= named + ENFORCEMENT_DELAY);
    let within = |end: &Instant| {
        arrivals.iter().filter(|at| **at <= *end && end.duration_since(**at) < WINDOW).count()
    };
    let windows = ends.map(|end| (within(end), *end - (named - UNLIMITED_PHASE)));
    windows.max().unwrap_or_default()
}

/// Runs a series and returns the violations.
async fn run_case(seed: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let limit = LIMITS[rng.random_range(0..LIMITS.len())];
    let series = draw_series(&mut rng);
    let fleet = TestFleet::start(HOSTS, RestartIdentity::NewId).await;
    let backends = fleet.backends(StandinKind::Plain);
    let named = Instant::now() + UNLIMITED_PHASE;
    let name_limits = async {
        tokio::time::sleep_until(named).await;
        for backend in &backends {
            backend.name_limits(&[limit.text]);
        }
    };
    let faults = join_all(series.iter().map(|step| inject(&fleet, step)));
    futures_util::future::join3(call(&fleet, limit), name_limits, faults).await;
    let per_s: f64 = limit.text.parse().expect("a number");
    let allowed = MAX_RATIO * per_s * WINDOW.as_secs_f64() + MAX_EXCESS;
    let mut violations = Vec::new();
    for backend in &backends {
        let (most, window_end) = largest_window(backend, named);
        if f64::from(u32::try_from(most).expect("few")) > allowed {
            let id = &backend.id;
            violations
                .push(format!("seed {seed}: {id} got {most} by {window_end:?}, allowed {allowed}"));
        }
    }
    if !violations.is_empty() {
        violations.push(format!("seed {seed}: limit {}, {series:?}", limit.text));
    }
    violations
}

/// Guards against requests beyond a limit when hosts lose contact with each other or restart.
#[tokio::test(start_paused = true)]
async fn hosts_keep_to_announced_limits_in_a_series_of_faults() {
    let mut violations = Vec::new();
    for seed in seeds("LIMIT_SEEDS", CI_SEEDS) {
        violations.extend(run_case(seed).await);
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
