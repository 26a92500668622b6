//! Checks that a part of prompts which crashes each engine that begins an answer on it is refused, and that sound
//! prompts are not.
//!
//! Guards against requests that have nothing in common but one part. When only whole requests were known, each of
//! them counted as new and crashed another decode engine. In the logs, each crash has one run without an event,
//! always under another fingerprint:
//!
//! ```text
//! 8.69 event=break_traced id=e251 print=7416 backend=i-509221f028 found=ended   (no event after 275 ms)
//! 8.69 event=break_traced id=243e print=5fdf backend=i-509221f028 found=ended   (54 events)
//! 8.73 event=break_traced id=2484 print=4c2d backend=i-c003c712e4 found=ended   (no event after 283 ms)
//! 9.03 event=break_traced id=82de print=a14a backend=i-d13f7af2ea found=ended   (no event after 161 ms)
//! ```

mod fleet;

use std::time::Duration;

use dillspool_io::LinkMode;
use dillspool_site_standin::{StandinBackend, StandinKind, StoreMode};
use fleet::{PromptReply, PromptSource, RestartIdentity, TestFleet};
use tokio::time::Instant;

/// Time after which a host in touch must have acted on what happened.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Crashes after which a part must be known to crash engines.
const KNOWN_AFTER: usize = 5;
/// Requests with such a part that may reach engines from `CONTACT_TIME` after that.
const MAX_LATER_SENDS: usize = 3;
/// Time after which a killed host starts again.
const KILLED_TIME: Duration = Duration::from_secs(5);
/// Time for which prompts are sent.
const SPAN: Duration = Duration::from_secs(25);

struct PartCase {
    name: &'static str,
    path: &'static str,
    hosts: usize,
    restart_identity: RestartIdentity,
    deadly: &'static [&'static str],
    /// Parts of prompts that contain a deadly one.
    guilty: &'static [&'static [&'static str]],
    /// Parts of the others.
    sound: &'static [&'static [&'static str]],
}

const MIDDLE: PartCase = PartCase {
    name: "a part in the middle",
    path: "/stream/1",
    hosts: 3,
    restart_identity: RestartIdentity::NewId,
    deadly: &["bad"],
    guilty: &[&["first", "bad"]],
    sound: &[&["first", "x"], &["first", "y"], &["first", "z"]],
};

const CASES: [PartCase; 11] = [
    MIDDLE,
    PartCase { name: "the same with one host", hosts: 1, ..MIDDLE },
    PartCase { name: "the same with twenty hosts", hosts: 20, ..MIDDLE },
    PartCase {
        name: "engines restart under the same IDs",
        restart_identity: RestartIdentity::SameId,
        ..MIDDLE
    },
    PartCase { name: "resumable streams", path: "/resumed/1", ..MIDDLE },
    PartCase {
        name: "behind parts that sound prompts have, too",
        guilty: &[&["first", "x", "bad"], &["first", "y", "bad"], &["first", "bad", "z"]],
        ..MIDDLE
    },
    PartCase {
        name: "beside a part of no sound prompt",
        guilty: &[&["first", "bad", "only"], &["first", "only", "bad"]],
        ..MIDDLE
    },
    PartCase {
        name: "the first part",
        guilty: &[&["bad", "x"], &["bad", "y"], &["bad", "z"], &["bad", "u"], &["bad", "v"]],
        ..MIDDLE
    },
    PartCase {
        name: "the first part with one other part",
        guilty: &[&["bad", "x"]],
        sound: &[&["first", "u"], &["first", "v"]],
        ..MIDDLE
    },
    PartCase {
        name: "two parts",
        deadly: &["bad", "worse"],
        guilty: &[&["first", "bad"], &["first", "worse"]],
        ..MIDDLE
    },
    PartCase {
        name: "two parts, one of them the first",
        deadly: &["bad", "worse"],
        guilty: &[&["first", "bad"], &["worse", "x"], &["first", "y", "bad"], &["worse", "y"]],
        ..MIDDLE
    },
];

/// Replies to prompts with and without deadly parts.
struct PartReplies {
    guilty: Vec<PromptReply>,
    sound: Vec<PromptReply>,
}

async fn send_both(fleet: &TestFleet, case: &PartCase, span: Duration) -> PartReplies {
    let source = |parts, interval_ms, offset: usize| PromptSource {
        path: case.path,
        parts,
        interval: Duration::from_millis(interval_ms),
        hosts: (0..case.hosts).map(|host| (host + offset) % case.hosts).collect(),
    };
    let (guilty, sound) = (source(case.guilty, 170, 0), source(case.sound, 90, 1));
    let (guilty, sound) = futures_util::future::join(
        fleet.send_prompts(&guilty, span),
        fleet.send_prompts(&sound, span),
    )
    .await;
    PartReplies { guilty, sound }
}

/// When `part` had crashed [`KNOWN_AFTER`] engines, or the last one if there were fewer.
fn known_at(fleet: &TestFleet, part: &str) -> Option<Instant> {
    let crashes = fleet.deadly_parts.crashes();
    crashes.iter().filter(|crash| crash.part == part).take(KNOWN_AFTER).last().map(|it| it.at)
}

/// Returns what is wrong: too many requests with a deadly part that reached engines, or sound prompts not served.
fn find_faults(fleet: &TestFleet, case: &PartCase, replies: &PartReplies) -> Vec<String> {
    let mut faults = Vec::new();
    let mut all_known_at = Instant::now() - SPAN;
    for part in case.deadly {
        let Some(known) = known_at(fleet, part) else {
            faults.push(format!("{part} crashed no engine, so the case checks nothing"));
            continue;
        };
        all_known_at = all_known_at.max(known);
        let late = replies.guilty.iter().filter(|prompt| prompt.parts.contains(part));
        let late = late.filter(|prompt| {
            let arrivals = fleet.runs.arrivals_of(&prompt.reply.id);
            arrivals.iter().any(|at| *at > known + CONTACT_TIME)
        });
        let (late, crashes) = (late.count(), fleet.crashes());
        if late > MAX_LATER_SENDS {
            faults.push(format!("{late} requests with {part} sent on; {crashes} engines crashed"));
        }
    }
    let refused = replies.sound.iter().filter(|prompt| prompt.is_final_refusal()).count();
    if refused > 0 {
        faults.push(format!("{refused} sound prompts are refused as deadly"));
    }
    let settled_at = all_known_at + CONTACT_TIME * 2;
    let later: Vec<_> = replies.sound.iter().filter(|prompt| prompt.sent_at > settled_at).collect();
    let served = later.iter().filter(|prompt| prompt.reply.is_served()).count();
    if later.len() < 20 || served * 2 < later.len() {
        faults.push(format!("{served} of {} sound prompts are served", later.len()));
    }
    faults
}

#[tokio::test(start_paused = true)]
async fn requests_with_a_part_that_crashes_engines_are_refused() {
    let mut faults = Vec::new();
    for case in &CASES {
        let fleet = TestFleet::start(case.hosts, case.restart_identity).await;
        fleet.deadly_parts.set(case.deadly);
        let replies = send_both(&fleet, case, SPAN).await;
        let found = find_faults(&fleet, case, &replies);
        faults.extend(found.into_iter().map(|fault| format!("{}: {fault}", case.name)));
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

struct OutageCase {
    name: &'static str,
    mode: StoreMode,
}

#[tokio::test(start_paused = true)]
async fn a_deadly_part_is_refused_during_a_store_outage() {
    let cases = [
        OutageCase { name: "refuses", mode: StoreMode::Busy },
        OutageCase { name: "is silent", mode: StoreMode::Silent },
        OutageCase { name: "loses answers", mode: StoreMode::LosingAnswers },
        OutageCase { name: "forgets its history", mode: StoreMode::Forgetful },
    ];
    let mut faults = Vec::new();
    for outage in cases {
        // Engines that keep their IDs are used again although the store cannot deliver their new rows.
        let case = PartCase { restart_identity: RestartIdentity::SameId, ..MIDDLE };
        let fleet = TestFleet::start(case.hosts, case.restart_identity).await;
        fleet.deadly_parts.set(case.deadly);
        fleet.store.set_mode(outage.mode);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let replies = send_both(&fleet, &case, SPAN).await;
        let found = find_faults(&fleet, &case, &replies);
        faults.extend(found.into_iter().map(|fault| format!("the store {}: {fault}", outage.name)));
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against updates that wait for a write to the store: other hosts learnt of crashes only after its timeout.
#[tokio::test(start_paused = true)]
async fn other_hosts_learn_of_a_deadly_part_while_a_write_to_the_store_is_pending() {
    for mode in [StoreMode::Serving, StoreMode::Silent] {
        let fleet = TestFleet::start(3, RestartIdentity::NewId).await;
        fleet.deadly_parts.set(MIDDLE.deadly);
        fleet.store.set_mode(mode);
        for _crash in 0..3 {
            fleet.send_prompt(0, 0, MIDDLE.path, MIDDLE.guilty[0]).await;
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        assert_eq!(fleet.crashes(), 3);
        for host in 0..3 {
            let reply = fleet.send_prompt(1, host, MIDDLE.path, MIDDLE.guilty[0]).await;
            let is_final = reply.status == Some(503) && !reply.has_retry_after;
            assert!(is_final, "{mode:?}, host {host}: {reply:?}");
        }
    }
}

struct LostHostsCase {
    name: &'static str,
    mode: StoreMode,
    /// Hosts that are killed in turn, and the time between two kills.
    killed: &'static [usize],
    kill_interval_ms: u64,
}

/// Kills hosts in turn and starts each again some seconds later.
async fn kill_in_turn(fleet: &TestFleet, case: &LostHostsCase) {
    let kills = case.killed.iter().zip(1_u32..).map(|(host, turn)| async move {
        tokio::time::sleep(Duration::from_millis(case.kill_interval_ms) * turn).await;
        fleet.kill_host(*host).await;
        tokio::time::sleep(KILLED_TIME).await;
        fleet.set_all_links(*host, LinkMode::Open);
        fleet.start_host(*host).await;
    });
    futures_util::future::join_all(kills).await;
}

/// Hosts that have seen a crash are killed before the next one.
#[tokio::test(start_paused = true)]
async fn a_deadly_part_is_refused_although_hosts_are_killed_between_crashes() {
    let case = |name, mode, killed, kill_interval_ms| LostHostsCase {
        name,
        mode,
        killed,
        kill_interval_ms,
    };
    let cases = [
        case("one after the other", StoreMode::Serving, &[0, 1, 2, 3, 4, 5], 300),
        case("some, without the store", StoreMode::Silent, &[0, 1, 2, 3], 300),
        case("twice", StoreMode::Serving, &[0, 1, 2, 3, 4, 5, 0, 1, 2], 1500),
    ];
    let mut faults = Vec::new();
    for lost in cases {
        let case = PartCase { hosts: 6, restart_identity: RestartIdentity::SameId, ..MIDDLE };
        let fleet = TestFleet::start(case.hosts, case.restart_identity).await;
        fleet.deadly_parts.set(case.deadly);
        fleet.store.set_mode(lost.mode);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let sending = send_both(&fleet, &case, SPAN);
        let (mut replies, ()) =
            futures_util::future::join(sending, kill_in_turn(&fleet, &lost)).await;
        if lost.mode != StoreMode::Serving {
            // A host that starts without the store serves nobody.
            replies.sound.retain(|prompt| !lost.killed.contains(&prompt.host));
        }
        let found = find_faults(&fleet, &case, &replies);
        faults.extend(found.into_iter().map(|fault| format!("{}: {fault}", lost.name)));
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Prompts with the deadly part of [`MIDDLE`], to all hosts in turn.
fn deadly_prompts(hosts: usize, interval_ms: u64) -> PromptSource {
    PromptSource {
        path: MIDDLE.path,
        parts: MIDDLE.guilty,
        interval: Duration::from_millis(interval_ms),
        hosts: (0..hosts).collect(),
    }
}

#[tokio::test(start_paused = true)]
async fn a_deadly_part_is_refused_after_all_hosts_restart() {
    let fleet = TestFleet::start(3, RestartIdentity::NewId).await;
    fleet.deadly_parts.set(MIDDLE.deadly);
    send_both(&fleet, &MIDDLE, Duration::from_secs(5)).await;
    let before = fleet.crashes();
    fleet.restart_all_hosts().await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let replies = fleet.send_prompts(&deadly_prompts(3, 300), Duration::from_secs(10)).await;
    assert_eq!(fleet.crashes(), before);
    assert!(replies.iter().all(PromptReply::is_final_refusal), "{replies:?}");
    let first = fleet.send_prompt(0, 0, MIDDLE.path, &["first", "x"]).await;
    assert!(first.is_served(), "{first:?}");
}

/// A refusal costs no prefill, reservation or send, and ends once the part is sound.
#[tokio::test(start_paused = true)]
async fn a_part_that_has_become_sound_is_served_again() {
    let fleet = TestFleet::start(3, RestartIdentity::NewId).await;
    fleet.deadly_parts.set(MIDDLE.deadly);
    let replies = send_both(&fleet, &MIDDLE, Duration::from_secs(8)).await;
    let refused = replies.guilty.iter().filter(|prompt| prompt.is_final_refusal());
    let sent = |prompt: &&PromptReply| !fleet.runs.arrivals_of(&prompt.reply.id).is_empty();
    let known = known_at(&fleet, "bad").expect("crashes");
    let late = refused.filter(|prompt| prompt.sent_at > known + CONTACT_TIME).filter(sent);
    assert_eq!(late.count(), 0, "refused requests that reached an engine");
    fleet.deadly_parts.set(&[]);
    let crashes = fleet.crashes();
    // One trial after the first refusal period, at some moment of its second half on each host.
    let later = fleet.send_prompts(&deadly_prompts(3, 300), Duration::from_mins(1)).await;
    let served = later.iter().rposition(|prompt| !prompt.reply.is_served());
    assert!(served.is_some_and(|last_refused| last_refused < later.len() - 20), "{served:?}");
    assert_eq!(fleet.crashes(), crashes);
}

struct OwnCrashCase {
    name: &'static str,
    /// Decode engines that crash at once, how often, and the time between.
    engines: usize,
    times: usize,
    interval_ms: u64,
}

/// Popular parts are in the crash of every engine; what ends engines may be something else.
#[tokio::test(start_paused = true)]
async fn prompts_are_served_beside_engines_that_crash_by_themselves() {
    let case =
        |name, engines, times, interval_ms| OwnCrashCase { name, engines, times, interval_ms };
    let cases = [
        case("one after the other", 1, 10, 700),
        case("two at once", 2, 6, 1500),
        case("all at once", 4, 5, 3000),
        case("all within a second", 1, 4, 200),
    ];
    for OwnCrashCase { name, engines, times, interval_ms } in cases {
        let fleet = TestFleet::start(3, RestartIdentity::NewId).await;
        let source = PromptSource { interval: Duration::from_millis(50), ..sound_prompts() };
        let crashing = async {
            for _time in 0..times {
                tokio::time::sleep(Duration::from_millis(interval_ms)).await;
                let mut up = fleet.backends(StandinKind::Decode);
                up.retain(|backend| !backend.has_ended());
                up.iter().take(engines).for_each(StandinBackend::crash);
            }
        };
        let sending = fleet.send_prompts(&source, SPAN);
        let (replies, ()) = futures_util::future::join(sending, crashing).await;
        assert!(fleet.crashes() >= times, "{name}: {} crashes", fleet.crashes());
        let refused = replies.iter().filter(|prompt| prompt.is_final_refusal()).count();
        assert_eq!(refused, 0, "{name}: sound prompts are refused as deadly");
    }
}

fn sound_prompts() -> PromptSource {
    PromptSource {
        path: MIDDLE.path,
        parts: MIDDLE.sound,
        interval: Duration::from_millis(90),
        hosts: vec![0, 1, 2],
    }
}
