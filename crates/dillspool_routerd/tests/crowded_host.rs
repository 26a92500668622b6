//! Checks that requests are served while most new connections go to one host.
//!
//! For some seconds the platform may hand the new connections of a failure domain, or of a whole region, to one of its
//! hosts, while callers open new ones more often. Retries go to any host.

mod fleet;

use std::time::Duration;

use dillspool_site_standin::PlainCapacity;
use fleet::{CallerReply, FleetOptions, RestartIdentity, TestFleet};
use tokio::time::Instant;

const HOSTS: usize = 8;
/// Time for which requests are sent to all hosts, and then to one.
const SPAN: Duration = Duration::from_secs(8);
/// Share of the usual first attempts that must be served at the crowded host.
const MIN_SERVED_SHARE: f64 = 0.75;
/// Time from which on that must hold.
const CONTACT_TIME: Duration = Duration::from_secs(3);

struct CrowdedCase {
    name: &'static str,
    path: &'static str,
    /// Interval between two requests of all callers, before and while they go to one host.
    interval_us: u64,
    crowded_interval_us: u64,
    plain_capacity: Option<PlainCapacity>,
}

const SMALL: PlainCapacity = PlainCapacity {
    slots: 6,
    queue: 24,
    connections: 100,
    work: Duration::from_millis(60),
    refusal: Duration::from_millis(1),
};

const CASES: [CrowdedCase; 5] = [
    CrowdedCase {
        name: "calls",
        path: "/again/1",
        interval_us: 5_000,
        crowded_interval_us: 4_000,
        plain_capacity: None,
    },
    CrowdedCase {
        name: "calls of a service with few slots",
        path: "/again/1",
        interval_us: 5_000,
        crowded_interval_us: 4_500,
        plain_capacity: Some(SMALL),
    },
    CrowdedCase {
        name: "calls that run once",
        path: "/once/1",
        interval_us: 5_000,
        crowded_interval_us: 4_000,
        plain_capacity: None,
    },
    CrowdedCase {
        name: "streams",
        path: "/stream/1",
        interval_us: 8_000,
        crowded_interval_us: 7_000,
        plain_capacity: None,
    },
    CrowdedCase {
        name: "resumable streams",
        path: "/resumed/1",
        interval_us: 8_000,
        crowded_interval_us: 7_000,
        plain_capacity: None,
    },
];

/// Sends requests, each on a new connection, and returns the replies with the time since the first one.
async fn send_requests(
    fleet: &TestFleet,
    case: &CrowdedCase,
    interval_us: u64,
    host_of: impl Fn(usize) -> usize,
) -> Vec<(Duration, CallerReply)> {
    let count = usize::try_from(SPAN.as_micros() / u128::from(interval_us)).expect("few");
    let begun = Instant::now();
    let host_of = &host_of;
    let callers = (0..count).map(|number| async move {
        let delay = Duration::from_micros(interval_us) * u32::try_from(number).expect("few");
        tokio::time::sleep_until(begun + delay).await;
        (delay, fleet.send(number % 8, host_of(number), case.path, "sound").await)
    });
    futures_util::future::join_all(callers).await
}

fn served_share(replies: &[(Duration, CallerReply)]) -> f64 {
    let later: Vec<_> = replies.iter().filter(|(sent, _reply)| *sent >= CONTACT_TIME).collect();
    let served = later.iter().filter(|(_sent, reply)| reply.is_served()).count();
    f64::from(u32::try_from(served).expect("few"))
        / f64::from(u32::try_from(later.len()).expect("few"))
}

#[tokio::test(start_paused = true)]
async fn requests_are_served_while_most_connections_go_to_one_host() {
    for case in &CASES {
        let options =
            FleetOptions { plain_capacity: case.plain_capacity, ..FleetOptions::default() };
        let fleet = TestFleet::start_with(HOSTS, RestartIdentity::NewId, &options).await;
        let before = send_requests(&fleet, case, case.interval_us, |number| number % HOSTS).await;
        let before = served_share(&before);
        let crowded = send_requests(&fleet, case, case.crowded_interval_us, |number| {
            if number % 10 == 9 { number % HOSTS } else { 3 }
        });
        let crowded = served_share(&crowded.await);
        assert!(before > 0.9, "{}: {before} are served without the crowd", case.name);
        assert!(
            crowded >= before * MIN_SERVED_SHARE,
            "{}: {crowded} are served, {before} before",
            case.name
        );
    }
}
