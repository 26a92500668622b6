//! Backend servers name how much they take while hosts and the store are in trouble, and count what they get.

use std::time::Duration;

use dillspool_site_standin::{StandinBackend, StandinKind};
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::check::Violation;
use crate::faults::{DueFault, FaultKind};
use crate::world::SoakWorld;

/// Time over which a backend server counts what it gets.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from which on a limit holds.
const HOLDS_AFTER: Duration = Duration::from_secs(3);
/// How often the limit of a window may be had,
const MOST_RATIO: f64 = 1.5;
/// and so many requests beyond.
const MOST_BEYOND: f64 = 5.0;
/// Limits that are named, in requests a second.
const LIMITS: [f64; 4] = [0.5, 2.0, 5.0, 9.0];
/// Faults that strike while they are.
const FAULTS: usize = 7;
/// Time between two of them.
const FAULTS_APART: Duration = Duration::from_millis(1_600);
/// What may strike: the backend servers themselves stay as they are.
const KINDS: [FaultKind; 6] = [
    FaultKind::Kill,
    FaultKind::Stop,
    FaultKind::Pause,
    FaultKind::Reload,
    FaultKind::Store,
    FaultKind::StoreLink,
];

/// A backend server that names a limit.
struct LimitedBackend {
    backend: StandinBackend,
    per_s: f64,
    named: Instant,
}

impl LimitedBackend {
    /// The most that it got in a window, of what came since it named the limit.
    fn most(&self) -> usize {
        let mut arrivals = self.backend.arrivals();
        arrivals.retain(|at| *at >= self.named);
        let ends = arrivals.iter().filter(|end| **end >= self.named + HOLDS_AFTER);
        let within = |end: &Instant| {
            let counts = |at: &&Instant| **at <= *end && end.duration_since(**at) < WINDOW;
            arrivals.iter().filter(counts).count()
        };
        ends.map(within).max().unwrap_or_default()
    }

    fn violation(&self) -> Option<Violation> {
        let (most, allowed) =
            (self.most(), MOST_RATIO * self.per_s * WINDOW.as_secs_f64() + MOST_BEYOND);
        let passed = f64::from(u32::try_from(most).unwrap_or(u32::MAX)) > allowed;
        passed.then(|| Violation {
            promise: "a backend server gets no more than it names",
            detail: format!(
                "{} names {} a second and got {most} in {WINDOW:?}, {allowed} allowed",
                self.backend.id, self.per_s,
            ),
        })
    }
}

/// Has some backend servers name limits, two of three plain ones among them, lets faults strike, and checks.
pub(crate) async fn play_limits(
    world: &mut SoakWorld,
    random: &mut SmallRng,
) -> std::io::Result<Vec<Violation>> {
    let mut limited = Vec::new();
    for kind in [StandinKind::Plain, StandinKind::Plain, StandinKind::Decode, StandinKind::Prefill]
    {
        let is_named = |id: &str| limited.iter().any(|it: &LimitedBackend| it.backend.id == id);
        let free = world.backends.iter().filter(|place| place.kind == kind);
        let free = free.map(|place| place.backend.clone()).find(|backend| !is_named(&backend.id));
        let Some(backend) = free else { continue };
        let per_s = LIMITS[random.random_range(0..LIMITS.len())];
        backend.name_limits(&[per_s.to_string().as_str()]);
        limited.push(LimitedBackend { backend, per_s, named: Instant::now() });
    }
    for _fault in 0..FAULTS {
        world.pass(FAULTS_APART).await?;
        let fault = DueFault::draw(random, &KINDS);
        world.strike(fault).await?;
    }
    world.heal();
    for limit in &limited {
        limit.backend.name_limits(&[]);
    }
    Ok(limited.iter().filter_map(LimitedBackend::violation).collect())
}
