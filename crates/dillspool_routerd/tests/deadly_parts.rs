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

use fleet::{PromptReply, PromptSource, RestartIdentity, TestFleet};
use tokio::time::Instant;

/// Time after which a host in touch must have acted on what happened.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Crashes after which a part must be known to crash engines.
const KNOWN_AFTER: usize = 5;
/// Requests with such a part that may reach engines from `CONTACT_TIME` after that.
const MAX_LATER_SENDS: usize = 3;
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

const CASES: [PartCase; 10] = [
    MIDDLE,
    PartCase { name: "the same with one host", hosts: 1, ..MIDDLE },
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
