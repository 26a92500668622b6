//! Backend servers say in their answers that they leave, or want nothing for a while, while the store and the links to
//! it are in trouble, and look at what each host still sends them.

use std::time::Duration;

use dillspool_site_standin::{Arrival, StandinBackend, StandinKind};
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::callers::host_of;
use crate::check::Violation;
use crate::faults::{DueFault, FaultKind};
use crate::world::SoakWorld;

/// Time after the answer that says so from which on a host sends nothing to a backend server that leaves.
const DRAIN: Duration = Duration::from_secs(2);
/// What a backend server asks for, in seconds.
const REST: &str = "3";
const REST_SPAN: Duration = Duration::from_secs(3);
/// Time after a refusal in which more may come.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Requests of a host that may come in a rest.
const MOST_IN_REST: usize = 2;
/// Faults that strike meanwhile.
const FAULTS: usize = 6;
/// Time between two of them.
const FAULTS_APART: Duration = Duration::from_millis(1_500);
/// What may strike: a host that is killed or paused need not know what it was told before.
const KINDS: [FaultKind; 4] =
    [FaultKind::Reload, FaultKind::Store, FaultKind::StoreLink, FaultKind::Configuration];
/// What leaves, and what asks for rest; another one of each kind goes on as before.
const KINDS_AT_WORK: [StandinKind; 3] =
    [StandinKind::Plain, StandinKind::Decode, StandinKind::Prefill];

/// Arrivals of one host's requests.
fn of_host(arrivals: &[Arrival], host: usize) -> impl Iterator<Item = &Arrival> {
    arrivals.iter().filter(move |arrival| host_of(&arrival.id) == Some(host))
}

/// Requests that reached a backend server too late after it had told a host that it leaves.
fn check_leaving(backend: &StandinBackend, hosts: usize, since: Instant) -> Vec<Violation> {
    let mut arrivals = backend.arrived();
    arrivals.retain(|arrival| arrival.at >= since);
    let mut violations = Vec::new();
    for host in 0..hosts {
        let Some(told) = of_host(&arrivals, host).map(|arrival| arrival.at).min() else { continue };
        let late = of_host(&arrivals, host).filter(|arrival| arrival.at > told + DRAIN).count();
        if late > 0 {
            let detail = format!("{} got {late} of host {host} after {DRAIN:?}", backend.id);
            let promise = "a backend server that says it leaves gets nothing";
            violations.push(Violation { promise, detail });
        }
    }
    violations
}

/// Requests that reached a backend server in a rest that it had asked a host for.
fn check_rests(backend: &StandinBackend, hosts: usize) -> Vec<Violation> {
    let arrivals = backend.arrived();
    let mut violations = Vec::new();
    for host in 0..hosts {
        let within = |asked: Instant| {
            let disturbs = |it: &&Arrival| it.at > asked + UNDER_WAY && it.at < asked + REST_SPAN;
            of_host(&arrivals, host).filter(disturbs).count()
        };
        let asked = of_host(&arrivals, host).filter(|arrival| arrival.rests);
        let most = asked.map(|arrival| within(arrival.at)).max().unwrap_or_default();
        if most > MOST_IN_REST {
            let detail = format!("{} got {most} of host {host} in a rest", backend.id);
            let promise = "a backend server that asked for rest gets none";
            violations.push(Violation { promise, detail });
        }
    }
    violations
}

/// Has a backend server of each kind leave and another one ask for rest, lets faults strike, and checks.
pub(crate) async fn play_notices(
    world: &mut SoakWorld,
    random: &mut SmallRng,
) -> std::io::Result<Vec<Violation>> {
    let (mut leaving, mut resting) = (Vec::new(), Vec::new());
    for kind in KINDS_AT_WORK {
        let mut places = (0..world.backends.len()).filter(|at| world.backends[*at].kind == kind);
        leaving.extend(places.next());
        resting.extend(places.next().map(|at| world.backends[at].backend.clone()));
    }
    let since = Instant::now();
    for place in &leaving {
        world.backends[*place].backend.say_leaving(&["1"]);
    }
    for fault in 0..FAULTS {
        // Full for a while, twice.
        let texts: &[&str] = if fault % 3 == 0 { &[REST] } else { &[] };
        for backend in &resting {
            backend.ask_rests(texts);
        }
        world.pass(FAULTS_APART).await?;
        let fault = DueFault::draw(random, &KINDS);
        world.strike(fault).await?;
    }
    world.heal();
    let hosts = world.places.len();
    let mut violations = Vec::new();
    for place in leaving {
        violations.extend(check_leaving(&world.backends[place].backend, hosts, since));
        world.backends[place].start_again().await?;
    }
    violations.extend(resting.iter().flat_map(|backend| check_rests(backend, hosts)));
    Ok(violations)
}
