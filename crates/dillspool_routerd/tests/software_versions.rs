//! Engines of two software versions serve side by side, and streams break off in each way.
//!
//! Guards against a stream that goes on at another version than the one that began it.

mod fleet;

use std::time::Duration;

use dillspool_io::LinkMode;
use dillspool_site_standin::{BackendFault, FIRST_SOFTWARE, StandinBackend, StandinKind};
use fleet::{FleetOptions, RestartIdentity, ResumePoint, SoftwareFn, TakenStream, TestFleet};
use futures_util::future::{join, join_all};

const HOSTS: usize = 5;
/// Streams that begin at the same moment, at all hosts in turn.
const STREAMS: usize = 100;
/// Time from the start of the streams until something happens; each takes about twice as long.
const BEGUN_TIME: Duration = Duration::from_millis(100);
/// Streams that callers take up again, below which a share says nothing.
const MIN_RESUMED: usize = 12;
/// Smallest ratio of the share of resumed streams that go on to the share of new streams that begin.
const MIN_SHARE_RATIO: f64 = 0.5;
/// Time after which killed hosts start again.
const KILLED_TIME: Duration = Duration::from_secs(5);
/// Longest time until a stream is refused that no engine may go on with.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(100);
/// Time in which all hosts know of a changed row.
const NOTICE_TIME: Duration = Duration::from_secs(1);
const SECOND_SOFTWARE: &str = "v2";

/// Half of the engines of each stage have the second version.
fn two_versions(number: usize, _start: u64) -> &'static str {
    if number >= 6 { SECOND_SOFTWARE } else { FIRST_SOFTWARE }
}

fn one_version(_number: usize, _start: u64) -> &'static str {
    FIRST_SOFTWARE
}

/// What happens while streams are in progress.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    /// An engine of each version breaks its streams off.
    BreakingEngines,
    /// An engine of each version stalls.
    StalledEngines,
    /// An engine of each version crashes.
    CrashedEngines,
    /// These hosts are killed.
    KilledHosts(&'static [usize]),
    /// The scheduler and another host are killed.
    KilledScheduler,
    /// Callers and the other hosts do not reach a host, which runs on.
    UnreachableHost,
    /// Callers lose a host, which then stops.
    StoppedHost,
    /// A host is killed, and then the host that its callers go on at.
    KilledInTurn,
    /// All hosts are killed and start again.
    KilledFleet,
}

struct VersionCase {
    software: SoftwareFn,
    disruption: Disruption,
    /// Whether the version of the streams that callers take up again can be known.
    is_known: bool,
}

const CASES: [VersionCase; 11] = [
    case(Disruption::BreakingEngines),
    case(Disruption::StalledEngines),
    case(Disruption::CrashedEngines),
    case(Disruption::KilledHosts(&[0])),
    case(Disruption::KilledHosts(&[0, 1, 2, 3])),
    case(Disruption::KilledScheduler),
    case(Disruption::UnreachableHost),
    case(Disruption::StoppedHost),
    case(Disruption::KilledInTurn),
    VersionCase { is_known: false, ..case(Disruption::KilledFleet) },
    VersionCase { software: one_version, ..case(Disruption::KilledFleet) },
];

const fn case(disruption: Disruption) -> VersionCase {
    VersionCase { software: two_versions, disruption, is_known: true }
}

async fn start_fleet(software: SoftwareFn, restart_identity: RestartIdentity) -> TestFleet {
    let software = Some(software);
    let options = FleetOptions { software, is_first_start: true, ..FleetOptions::default() };
    TestFleet::start_with(HOSTS, restart_identity, &options).await
}

/// The first decode engine of each version.
fn first_of_each_version(fleet: &TestFleet) -> Vec<StandinBackend> {
    let mut engines = fleet.backends(StandinKind::Decode);
    engines.sort_by_key(StandinBackend::software);
    engines.dedup_by_key(|engine| engine.software());
    engines
}

async fn disrupt(fleet: &TestFleet, disruption: Disruption) {
    match disruption {
        // Set before the streams begin.
        Disruption::BreakingEngines | Disruption::StalledEngines => {}
        Disruption::CrashedEngines => {
            first_of_each_version(fleet).iter().for_each(StandinBackend::crash);
        }
        Disruption::KilledHosts(hosts) => {
            for host in hosts {
                fleet.kill_host(*host).await;
            }
        }
        Disruption::KilledScheduler => {
            let scheduler = fleet.scheduler_host("pool");
            fleet.kill_host(scheduler).await;
            fleet.kill_host((scheduler + 1) % HOSTS).await;
        }
        Disruption::UnreachableHost => {
            fleet.set_caller_links(0, LinkMode::Cut);
            fleet.set_links(&[0], &[1, 2, 3, 4], LinkMode::Cut);
        }
        Disruption::StoppedHost => {
            fleet.set_caller_links(0, LinkMode::Cut);
            fleet.stop_host(0).await;
        }
        Disruption::KilledInTurn => {
            fleet.kill_host(0).await;
            tokio::time::sleep(BEGUN_TIME).await;
            fleet.kill_host(1).await;
        }
        Disruption::KilledFleet => {
            for host in 0..HOSTS {
                fleet.kill_host(host).await;
            }
            tokio::time::sleep(KILLED_TIME).await;
            for host in 0..HOSTS {
                fleet.set_all_links(host, LinkMode::Open);
                fleet.start_host(host).await;
            }
        }
    }
}

/// Number of tries of a caller; the hosts are asked in turn.
const TRIES: usize = 2 * HOSTS;
/// Time between two tries of a caller.
const TRY_INTERVAL: Duration = Duration::from_millis(900);

/// A caller that goes on at the next host until it has all events, or is refused without a time to come back.
async fn take_stream(fleet: &TestFleet, number: usize) -> TakenStream {
    let hosts = (number..).take(TRIES).map(|host| host % HOSTS);
    fleet.take_stream(number, hosts, TRY_INTERVAL, true).await
}

async fn take_streams(fleet: &TestFleet) -> Vec<TakenStream> {
    join_all((0..STREAMS).map(|number| take_stream(fleet, number))).await
}

fn whole_share<'a>(streams: impl Iterator<Item = &'a TakenStream>) -> (usize, f64) {
    let (whole, all) = streams.fold((0_u32, 0_u32), |(whole, all), stream| {
        (whole + u32::from(stream.is_whole()), all + 1)
    });
    (all as usize, f64::from(whole) / f64::from(all.max(1)))
}

fn find_mixed(streams: &[TakenStream]) -> Option<String> {
    let mixed: Vec<_> = streams.iter().filter(|it| it.versions().len() > 1).collect();
    let first = mixed.first()?;
    Some(format!("{} streams with events of several versions: {first:?}", mixed.len()))
}

/// Plays a case and returns what is wrong.
async fn play_case(case: &VersionCase) -> Vec<String> {
    let fleet = start_fleet(case.software, RestartIdentity::NewId).await;
    let fault = match case.disruption {
        Disruption::BreakingEngines => BackendFault::BreaksOff,
        Disruption::StalledEngines => BackendFault::Stalls,
        Disruption::CrashedEngines
        | Disruption::KilledHosts(_)
        | Disruption::KilledScheduler
        | Disruption::UnreachableHost
        | Disruption::StoppedHost
        | Disruption::KilledInTurn
        | Disruption::KilledFleet => BackendFault::None,
    };
    for engine in first_of_each_version(&fleet) {
        engine.set_fault(fault);
    }
    let disruption = async {
        tokio::time::sleep(BEGUN_TIME).await;
        disrupt(&fleet, case.disruption).await;
    };
    let (streams, ()) = join(take_streams(&fleet), disruption).await;
    let (_new, begun) = whole_share(take_streams(&fleet).await.iter());
    let mut wrong: Vec<String> = find_mixed(&streams).into_iter().collect();
    let resumed: Vec<_> = streams.iter().filter(|stream| stream.was_resumed()).collect();
    let is_by_callers =
        fault == BackendFault::None && !matches!(case.disruption, Disruption::CrashedEngines);
    if is_by_callers && resumed.len() < MIN_RESUMED {
        wrong.push(format!("only {} streams were taken up again", resumed.len()));
    }
    let (_resumed, gone_on) = whole_share(streams.iter());
    if case.is_known && gone_on < MIN_SHARE_RATIO * begun {
        wrong.push(format!("{gone_on:.2} of all streams are whole, {begun:.2} of new ones"));
    }
    let (_resumed, gone_on) = whole_share(resumed.iter().copied());
    if case.is_known && is_by_callers && gone_on < MIN_SHARE_RATIO * begun {
        wrong.push(format!("{gone_on:.2} of resumed streams went on, {begun:.2} of new ones"));
    }
    let crossed = fleet.runs.crossed();
    if !crossed.is_empty() {
        wrong.push(format!("{} KV caches came from another version", crossed.len()));
    }
    wrong
}

#[tokio::test(start_paused = true)]
async fn streams_go_on_at_the_software_version_that_began_them() {
    let mut wrong = Vec::new();
    for case in CASES {
        for line in play_case(&case).await {
            wrong.push(format!("{:?}: {line}", case.disruption));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Begins streams at host 0 and takes them up again at host 1 after `change`.
async fn resume_after(
    fleet: &TestFleet,
    change: impl AsyncFnOnce(&TestFleet),
) -> Vec<(String, TakenStream)> {
    let streams =
        join_all((0..STREAMS).map(|number| fleet.read_stream(number, 0, "/resumed/1", None)));
    let cut = async {
        tokio::time::sleep(BEGUN_TIME).await;
        fleet.kill_host(0).await;
    };
    let (begun, ()) = join(streams, cut).await;
    change(fleet).await;
    let resumed = begun.into_iter().map(|first| async move {
        let last = first.events.last().cloned().expect("it has begun");
        let resume = ResumePoint { attempt: first.id.clone(), last_event: last.number };
        let next = fleet.read_stream(1, 1, "/resumed/1", Some(&resume)).await;
        (last.software, TakenStream { tries: vec![first, next] })
    });
    join_all(resumed).await
}

/// All engines of a version leave after their streams broke off.
#[tokio::test(start_paused = true)]
async fn streams_of_a_version_without_engines_are_refused_at_once() {
    let fleet = start_fleet(two_versions, RestartIdentity::NewId).await;
    let resumed = resume_after(&fleet, async |fleet| {
        for kind in [StandinKind::Decode, StandinKind::Prefill] {
            let engines = fleet.backends(kind);
            for engine in engines.iter().filter(|it| it.software() == SECOND_SOFTWARE) {
                fleet.write_state(engine, "draining");
            }
        }
        tokio::time::sleep(NOTICE_TIME).await;
    })
    .await;
    for (software, stream) in &resumed {
        let last = &stream.tries[1];
        if software == SECOND_SOFTWARE {
            assert_eq!(last.status, Some(503), "{stream:?}");
            assert!(last.took <= MAX_REFUSAL_TIME, "{stream:?}");
        } else {
            assert!(stream.is_whole(), "{stream:?}");
        }
    }
    let of_second = resumed.iter().filter(|it| it.0 == SECOND_SOFTWARE).count();
    assert!((1..STREAMS).contains(&of_second), "{of_second} streams of the second version");
}

/// Engines of the second version that take the ids and addresses of engines of the first one.
fn changed_on_restart(number: usize, start: u64) -> &'static str {
    if number >= 6 && start > 1 { SECOND_SOFTWARE } else { FIRST_SOFTWARE }
}

/// Streams begin in a fleet of one version. Half of its engines then start again with another one, under new or the same
/// ids, at the same addresses.
#[tokio::test(start_paused = true)]
async fn streams_do_not_go_on_at_an_engine_that_restarted_with_another_version() {
    for restart_identity in [RestartIdentity::NewId, RestartIdentity::SameId] {
        let fleet = start_fleet(changed_on_restart, restart_identity).await;
        let resumed = resume_after(&fleet, async |fleet| {
            for kind in [StandinKind::Decode, StandinKind::Prefill] {
                // The later half of each kind, whose second start has the second version.
                let engines = fleet.backends(kind);
                engines[engines.len() / 2..].iter().for_each(StandinBackend::crash);
            }
            // The second starts take some seconds.
            tokio::time::sleep(5 * NOTICE_TIME).await;
        })
        .await;
        let streams: Vec<_> = resumed.into_iter().map(|it| it.1).collect();
        assert_eq!(find_mixed(&streams), None, "{restart_identity:?}");
        let (all, whole) = whole_share(streams.iter());
        assert!(all >= MIN_RESUMED && whole >= MIN_SHARE_RATIO, "{restart_identity:?}: {whole:.2}");
        assert_eq!(fleet.runs.crossed(), [""; 0], "{restart_identity:?}");
    }
}

/// A stream of which no host knows goes on only where a single version can have begun it.
#[tokio::test(start_paused = true)]
async fn a_stream_of_unknown_origin_is_refused_beside_several_versions() {
    for (software, status) in [(two_versions as SoftwareFn, 503), (one_version, 200)] {
        let fleet = start_fleet(software, RestartIdentity::NewId).await;
        let resume = ResumePoint { attempt: "unknown".to_owned(), last_event: 3 };
        for host in 0..HOSTS {
            let read = fleet.read_stream(0, host, "/resumed/1", Some(&resume)).await;
            assert_eq!(read.status, Some(status), "host {host}: {read:?}");
        }
    }
}
