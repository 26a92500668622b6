//! Hosts lose their links to all backend servers, while callers, the store and the other hosts still reach them.
//!
//! Guards against requests that are refused at such a host although other hosts could have had them run.

mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_io::LinkMode;
use fleet::{CallerReply, FleetOptions, RestartIdentity, TestFleet};
use tokio::time::Instant;

const HOSTS: usize = 6;
/// Hosts 0, 2 and 4 are in one failure domain, the others in the other one.
const FAILURE_DOMAINS: usize = 2;
/// Interval between the requests of all callers together; hosts get them in turn.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Paths of all kinds of requests: repeatable and unrepeatable calls, streams and resumable streams.
const PATHS: [&str; 4] = ["/again/1", "/once/1", "/stream/1", "/resumed/1"];
/// Time after a partition within which a host must serve its callers again.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Time for which callers of all hosts are compared.
const MEASURED_TIME: Duration = Duration::from_secs(4);
/// Time before the partition, and after its end until all hosts must serve as before.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Smallest ratio of the share of requests served at partitioned hosts to that at the others.
const MIN_SERVED_RATIO: f64 = 2.0 / 3.0;

struct PartitionCase {
    /// What happens to the links between these hosts and the backend servers.
    mode: LinkMode,
    hosts: &'static [usize],
}

const CASES: [PartitionCase; 9] = [
    PartitionCase { mode: LinkMode::Cut, hosts: &[1] },
    PartitionCase { mode: LinkMode::Cut, hosts: &[0, 2] },
    PartitionCase { mode: LinkMode::Cut, hosts: &[0, 2, 4] },
    PartitionCase { mode: LinkMode::Frozen, hosts: &[1] },
    PartitionCase { mode: LinkMode::Frozen, hosts: &[0, 2] },
    PartitionCase { mode: LinkMode::Frozen, hosts: &[0, 2, 4] },
    PartitionCase { mode: LinkMode::Closed, hosts: &[1] },
    PartitionCase { mode: LinkMode::Closed, hosts: &[0, 2] },
    PartitionCase { mode: LinkMode::Closed, hosts: &[0, 2, 4] },
];

/// Replies to requests by host and path.
type Replies = Vec<(usize, &'static str, CallerReply)>;

/// Sends requests to all hosts in turn and with all paths in turn, for a time.
async fn send_for(fleet: &TestFleet, span: Duration) -> Replies {
    let total = usize::try_from(span.as_millis() / REQUEST_INTERVAL.as_millis()).expect("few");
    let callers = (0..total).map(|number| async move {
        tokio::time::sleep(REQUEST_INTERVAL * u32::try_from(number).expect("few")).await;
        let (host, path) = (number % HOSTS, PATHS[number / HOSTS % PATHS.len()]);
        (host, path, fleet.send(number % 8, host, path, "sound").await)
    });
    futures_util::future::join_all(callers).await
}

fn served_share(replies: &Replies, is_counted: impl Fn(usize, &str) -> bool) -> f64 {
    let counted = replies.iter().filter(|(host, path, _reply)| is_counted(*host, path));
    let (served, all) = counted.fold((0_u32, 0_u32), |(served, all), (_host, _path, reply)| {
        (served + u32::from(reply.is_served()), all + 1)
    });
    f64::from(served) / f64::from(all.max(1))
}

/// Unrepeatable requests that ran more than once, and requests that ran although their reply says that they did not.
fn find_false_runs(fleet: &TestFleet, replies: &Replies) -> Vec<String> {
    let runs: BTreeMap<_, _> =
        fleet.runs.ids().into_iter().map(|id| (id.clone(), fleet.runs.of(&id).len())).collect();
    let ran = |reply: &CallerReply| runs.get(&reply.id).copied().unwrap_or_default();
    let is_false = |path: &str, reply: &CallerReply| {
        let is_unrepeatable = path == "/once/1" || path == "/stream/1";
        (is_unrepeatable && ran(reply) > 1) || (reply.status == Some(503) && ran(reply) > 0)
    };
    let found = replies.iter().filter(|(_host, path, reply)| is_false(path, reply));
    found.map(|(host, path, reply)| format!("{path} at {host} ran falsely: {reply:?}")).collect()
}

/// Plays a case and returns what is wrong.
async fn run_case(case: &PartitionCase) -> Vec<String> {
    let options = FleetOptions { failure_domains: FAILURE_DOMAINS, ..FleetOptions::default() };
    let fleet = TestFleet::start_with(HOSTS, RestartIdentity::NewId, &options).await;
    let mut all = send_for(&fleet, SETTLE_TIME).await;
    for host in case.hosts {
        fleet.set_backend_links(*host, case.mode);
    }
    all.extend(send_for(&fleet, RECOVERY_TIME).await);
    let measured = send_for(&fleet, MEASURED_TIME).await;
    for host in case.hosts {
        fleet.set_backend_links(*host, LinkMode::Open);
    }
    all.extend(send_for(&fleet, SETTLE_TIME).await);
    let healed = send_for(&fleet, SETTLE_TIME).await;
    let mut wrong = Vec::new();
    for path in PATHS {
        let partitioned =
            served_share(&measured, |host, of| of == path && case.hosts.contains(&host));
        let others = served_share(&measured, |host, of| of == path && !case.hosts.contains(&host));
        if partitioned < MIN_SERVED_RATIO * others || others < MIN_SERVED_RATIO {
            wrong.push(format!(
                "{path}: {partitioned:.2} served at partitioned hosts, {others:.2} at others"
            ));
        }
    }
    if served_share(&healed, |_host, _path| true) < 1.0 {
        wrong.push("requests failed after the links were restored".to_owned());
    }
    all.extend(measured);
    wrong.extend(find_false_runs(&fleet, &all));
    wrong
}

#[tokio::test(start_paused = true)]
async fn callers_of_partitioned_hosts_are_served_like_others() {
    let mut wrong = Vec::new();
    for case in CASES {
        for line in run_case(&case).await {
            wrong.push(format!("{:?} at hosts {:?}: {line}", case.mode, case.hosts));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Streams at each partitioned host when its links break.
const OPEN_STREAMS: usize = 12;
/// Streams at a partitioned host while four others stop and start again.
const STREAMS_DURING_STOPS: usize = 700;
/// Longest time of a stream at a sound host; without other load it takes half as long.
const MAX_STREAM_TIME: Duration = Duration::from_millis(330);
/// Streams at all sound hosts afterwards.
const SOUND_STREAMS: usize = 24;
/// Time from the start of these streams until then.
const OPEN_TIME: Duration = Duration::from_millis(60);
/// Time after which half the hosts have reported what they take for failures of backend servers.
const REPORT_TIME: Duration = Duration::from_millis(200);

/// Counts the attempts at a host that broke off, as if under a crash of their backend servers.
async fn count_broken(fleet: &TestFleet, host: usize, found: &str) -> u64 {
    let start = format!("dillspool_forward_broken_runs_total{{found=\"{found}\"}} ");
    let lines = fleet.metrics(host, &start).await;
    lines.iter().filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

/// Streams of half the hosts break at one moment, at all engines. Guards against these failures being held against the
/// engines, which would keep the requests of sound hosts from them, and against the requests, as if they had crashed
/// their engines.
#[tokio::test(start_paused = true)]
async fn broken_links_are_not_held_against_backend_servers() {
    let (partitioned, sound) = ([0, 2, 4], [1, 3, 5]);
    let options = FleetOptions { failure_domains: FAILURE_DOMAINS, ..FleetOptions::default() };
    let fleet = TestFleet::start_with(HOSTS, RestartIdentity::NewId, &options).await;
    let fleet = &fleet;
    let streams = (0..OPEN_STREAMS * partitioned.len()).map(|number| async move {
        fleet.send(number % 8, partitioned[number % partitioned.len()], "/stream/1", "sound").await
    });
    let others = async {
        tokio::time::sleep(OPEN_TIME).await;
        for host in partitioned {
            fleet.set_backend_links(host, LinkMode::Cut);
        }
        tokio::time::sleep(REPORT_TIME).await;
        let requests = (0..SOUND_STREAMS).map(|number| async move {
            let (sent, host) = (Instant::now(), sound[number % sound.len()]);
            (fleet.send(number % 8, host, "/stream/1", "sound").await, sent.elapsed())
        });
        futures_util::future::join_all(requests).await
    };
    let (streams, others) =
        futures_util::future::join(futures_util::future::join_all(streams), others).await;
    let broken = streams.iter().filter(|reply| !reply.is_served()).count();
    assert!(broken > OPEN_STREAMS, "only {broken} streams broke, so this checks nothing");
    for host in partitioned {
        assert_eq!(count_broken(fleet, host, "ended").await, 0, "crashes found at host {host}");
    }
    for (reply, took) in others {
        assert!(
            reply.is_served() && took <= MAX_STREAM_TIME,
            "at a sound host: {reply:?} after {took:?}"
        );
    }
}

/// Hosts stop one after the other while another one reaches backend servers through them. Guards against a planned stop
/// that breaks off the streams of that other host.
#[tokio::test(start_paused = true)]
async fn hosts_that_stop_break_off_no_streams_of_partitioned_hosts() {
    let fleet = TestFleet::start(HOSTS, RestartIdentity::NewId).await;
    let fleet = &fleet;
    fleet.set_backend_links(0, LinkMode::Cut);
    // Finds the links lost.
    fleet.send(0, 0, "/stream/1", "sound").await;
    let stops = async {
        for host in 1..HOSTS - 1 {
            fleet.restart_host(host).await;
        }
    };
    let streams = (0..STREAMS_DURING_STOPS).map(|number| async move {
        let interval = REQUEST_INTERVAL * u32::try_from(number).expect("few");
        tokio::time::sleep(interval).await;
        fleet.send(number % 8, 0, "/stream/1", "sound").await
    });
    let (replies, ()) =
        futures_util::future::join(futures_util::future::join_all(streams), stops).await;
    let broken: Vec<_> =
        replies.iter().filter(|reply| reply.status == Some(200) && reply.body.is_none()).collect();
    assert!(broken.is_empty(), "{} streams broke off: {:?}", broken.len(), broken.first());
    let served = replies.iter().filter(|reply| reply.is_served()).count();
    assert!(served * 100 >= replies.len() * 98, "{served} of {} served", replies.len());
}

/// Longest time until a request that no host can have run is refused.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(100);

/// No host reaches a backend server. Guards against callers that wait for what is known not to be served, and against
/// backend servers that are taken for crashed.
#[tokio::test(start_paused = true)]
async fn requests_are_refused_at_once_when_all_hosts_are_partitioned() {
    for mode in [LinkMode::Cut, LinkMode::Frozen, LinkMode::Closed] {
        let fleet = TestFleet::start(HOSTS, RestartIdentity::NewId).await;
        for host in 0..HOSTS {
            fleet.set_backend_links(host, mode);
        }
        send_for(&fleet, RECOVERY_TIME).await;
        for (number, path) in PATHS.into_iter().cycle().take(HOSTS * PATHS.len()).enumerate() {
            let sent = Instant::now();
            let reply = fleet.send(number % 8, number % HOSTS, path, "sound").await;
            let took = sent.elapsed();
            assert!(
                reply.is_refusal() && took <= MAX_REFUSAL_TIME,
                "{mode:?}: {reply:?} after {took:?}"
            );
            assert!(fleet.runs.of(&reply.id).is_empty(), "{mode:?}: {reply:?} ran");
        }
        for host in 0..HOSTS {
            assert_eq!(
                count_broken(&fleet, host, "ended").await,
                0,
                "{mode:?}: crashes at host {host}"
            );
        }
    }
}

/// Guards against tunnels that cost a fleet whose links are sound.
#[tokio::test(start_paused = true)]
async fn hosts_with_sound_links_open_no_tunnels() {
    let fleet = TestFleet::start(HOSTS, RestartIdentity::NewId).await;
    send_for(&fleet, MEASURED_TIME).await;
    for host in 0..HOSTS {
        for name in ["opened", "failed", "served"] {
            let lines = fleet.metrics(host, &format!("dillspool_tunnels_{name} ")).await;
            assert_eq!(lines, [format!("dillspool_tunnels_{name} 0")], "host {host}");
        }
    }
}
