//! Checks that requests are served while one host gets more new connections than it bears, or while it decides on
//! its calls without a scheduler.
//!
//! A connection that the host closes unread does not count if its caller's retry at another host is served.

mod fleet;

use std::time::Duration;

use dillspool_io::LinkMode;
use dillspool_scheduler::CallSchedulerSettings;
use dillspool_site_standin::PlainCapacity;
use fleet::{FleetOptions, RestartIdentity, TestFleet};
use tokio::time::Instant;

/// Time for which requests are sent to all hosts, and then to one.
const SPAN: Duration = Duration::from_secs(7);
/// Share of the usual first attempts that must be served at the crowded host, of those that it reads.
const MIN_SERVED_SHARE: f64 = 0.75;
/// Time for which a caller waits.
const CALLER_WAIT: Duration = Duration::from_secs(3);
/// Time from which on that must hold.
const CONTACT_TIME: Duration = Duration::from_secs(4);

const PLAIN_CAPACITY: PlainCapacity = PlainCapacity {
    slots: 6,
    queue: 24,
    connections: 430,
    work: Duration::from_millis(60),
    refusal: Duration::from_millis(1),
};

/// What happens to the scheduler of the plain service during the crowd.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SchedulerFault {
    None,
    /// It falls silent, for all hosts.
    Frozen,
    /// It is gone.
    Gone,
    /// It and the crowded host lose each other.
    CutFromHost,
    /// The crowded host and all others lose each other.
    AllCutFromHost,
}

struct CrowdedCase {
    name: &'static str,
    hosts: usize,
    path: &'static str,
    body_bytes: usize,
    /// Requests per second of all callers, before and while they go to one host.
    requests_per_s: u32,
    crowded_per_s: u32,
    link_mbps: Option<u32>,
    plain_capacity: Option<PlainCapacity>,
    scheduler: SchedulerFault,
}

const USUAL: CrowdedCase = CrowdedCase {
    name: "",
    hosts: 10,
    path: "/again/1",
    body_bytes: 5_000,
    requests_per_s: 200,
    crowded_per_s: 250,
    link_mbps: None,
    plain_capacity: None,
    scheduler: SchedulerFault::None,
};

const LINK_CASES: [CrowdedCase; 4] = [
    CrowdedCase { name: "calls at a slow link", link_mbps: Some(8), ..USUAL },
    CrowdedCase { name: "streams at a slow link", path: "/stream/1", link_mbps: Some(10), ..USUAL },
    CrowdedCase {
        name: "resumable streams at a slow link",
        path: "/resumed/1",
        link_mbps: Some(10),
        ..USUAL
    },
    CrowdedCase {
        name: "five times what the link bears",
        crowded_per_s: 600,
        link_mbps: Some(8),
        ..USUAL
    },
];

const SCHEDULER_CASES: [CrowdedCase; 4] = [
    CrowdedCase {
        name: "a frozen scheduler",
        hosts: 20,
        body_bytes: 5,
        plain_capacity: Some(PLAIN_CAPACITY),
        scheduler: SchedulerFault::Frozen,
        ..USUAL
    },
    CrowdedCase {
        name: "a lost scheduler",
        hosts: 20,
        body_bytes: 5,
        plain_capacity: Some(PLAIN_CAPACITY),
        scheduler: SchedulerFault::Gone,
        ..USUAL
    },
    CrowdedCase {
        name: "a scheduler that the host does not reach",
        hosts: 20,
        body_bytes: 5,
        plain_capacity: Some(PLAIN_CAPACITY),
        scheduler: SchedulerFault::CutFromHost,
        ..USUAL
    },
    CrowdedCase {
        name: "no other host within reach",
        hosts: 20,
        body_bytes: 5,
        plain_capacity: Some(PLAIN_CAPACITY),
        scheduler: SchedulerFault::AllCutFromHost,
        ..USUAL
    },
];

/// Returns whether a request is served at the first of its two attempts that a host reads; the second one goes to
/// another host.
async fn is_served(fleet: &TestFleet, case: &CrowdedCase, host: usize, number: usize) -> bool {
    let (begun, body) = (Instant::now(), "x".repeat(case.body_bytes));
    let (reply, was_read) = fleet.send_alone(host, case.path, &body).await;
    if was_read || reply.status.is_some() {
        return reply.is_served();
    }
    let other = (host + 1 + number % (case.hosts - 1)) % case.hosts;
    let (reply, _was_read) = fleet.send_alone(other, case.path, &body).await;
    reply.is_served() && begun.elapsed() <= CALLER_WAIT
}

/// Sends requests, each on a new connection, to the hosts that `host_of` names; returns the share that is served of
/// those from [`CONTACT_TIME`] on.
async fn served_share(
    fleet: &TestFleet,
    case: &CrowdedCase,
    per_s: u32,
    host_of: impl Fn(usize) -> usize,
) -> f64 {
    let count = per_s * u32::try_from(SPAN.as_secs()).expect("few");
    let begun = Instant::now();
    let host_of = &host_of;
    let callers = (0..count).map(|number| async move {
        let sent = SPAN * number / count;
        tokio::time::sleep_until(begun + sent).await;
        let number = usize::try_from(number).expect("few");
        (sent, is_served(fleet, case, host_of(number), number).await)
    });
    let requests = futures_util::future::join_all(callers).await;
    let later: Vec<_> = requests.iter().filter(|(sent, _served)| *sent >= CONTACT_TIME).collect();
    let served = later.iter().filter(|(_sent, served)| *served).count();
    f64::from(u32::try_from(served).expect("few"))
        / f64::from(u32::try_from(later.len()).expect("few"))
}

async fn check_crowd(case: &CrowdedCase) -> Result<(), String> {
    let options = FleetOptions {
        plain_capacity: case.plain_capacity,
        link_mbps: case.link_mbps,
        calls: CallSchedulerSettings { slots_per_host: 2.0, ..CallSchedulerSettings::default() },
        ..FleetOptions::default()
    };
    let fleet = TestFleet::start_with(case.hosts, RestartIdentity::NewId, &options).await;
    let scheduler = fleet.scheduler_host("plain");
    let crowded = (scheduler + 3) % case.hosts;
    let every = |number: usize| number % case.hosts;
    let before = served_share(&fleet, case, case.requests_per_s, every).await;
    let lose_scheduler = async {
        tokio::time::sleep(CONTACT_TIME).await;
        let others: Vec<_> = (0..case.hosts).collect();
        match case.scheduler {
            SchedulerFault::None => {}
            SchedulerFault::Frozen => fleet.set_links(&[scheduler], &others, LinkMode::Frozen),
            SchedulerFault::Gone => fleet.kill_host(scheduler).await,
            SchedulerFault::CutFromHost => {
                fleet.set_links(&[scheduler], &[crowded], LinkMode::Frozen);
            }
            SchedulerFault::AllCutFromHost => {
                fleet.set_links(&[crowded], &others, LinkMode::Frozen);
            }
        }
    };
    let most_to_one = |number: usize| {
        let host = if number % 10 == 9 { number % case.hosts } else { crowded };
        if host == scheduler { crowded } else { host }
    };
    let sending = served_share(&fleet, case, case.crowded_per_s, most_to_one);
    let (during, ()) = tokio::join!(sending, lose_scheduler);
    if before < 0.9 {
        return Err(format!("{}: {before} are served without the crowd", case.name));
    }
    println!("{}: {during:.3} are served, {before:.3} before", case.name);
    if during < before * MIN_SERVED_SHARE {
        return Err(format!("{}: {during:.3} are served, {before:.3} before", case.name));
    }
    Ok(())
}

async fn check_cases(cases: &[CrowdedCase]) {
    let mut failures = Vec::new();
    for case in cases {
        failures.extend(check_crowd(case).await.err());
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[tokio::test(start_paused = true)]
async fn requests_are_served_while_one_host_gets_more_than_its_link_bears() {
    check_cases(&LINK_CASES).await;
}

#[tokio::test(start_paused = true)]
async fn requests_are_served_while_a_crowded_host_decides_without_a_scheduler() {
    check_cases(&SCHEDULER_CASES).await;
}
