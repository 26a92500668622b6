//! Prompts that share a part which crashes engines, among sound ones.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::callers::{call_prompt, send_prompt};
use crate::check::{CallKind, CallOutcome, CallRecord, Violation};
use crate::router::RouterPlace;
use crate::world::SoakWorld;

/// The part that crashes each engine that begins an answer on it.
pub(crate) const DEADLY_PART: &str = "bad";
/// Time between two prompts.
const PROMPTS_APART: Duration = Duration::from_millis(40);
/// One in so many prompts has the deadly part.
const DEADLY_EVERY: u64 = 5;
/// Prompts with the part that each host gets at rest, and the time between two of them.
const REST_PROMPTS: usize = 4;
const REST_PROMPTS_APART: Duration = Duration::from_millis(400);
/// Engines that the part may crash at rest, if the hosts that knew it were lost.
const MOST_CRASHES: usize = 5;
/// Time after which crashed engines are back and known.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Sound prompts that each host gets at rest; most of them must be served.
const SOUND_PROMPTS: usize = 10;

/// A prompt of a soak: its parts but the last.
fn parts(random: &mut SmallRng, number: u64) -> Vec<&'static str> {
    let shared = ["x", "y", "z"][random.random_range(0..3)];
    if !number.is_multiple_of(DEADLY_EVERY) {
        return vec!["first", shared];
    }
    match random.random_range(0..3) {
        0 => vec!["first", DEADLY_PART],
        1 => vec!["first", DEADLY_PART, shared],
        _ => vec!["first", shared, DEADLY_PART],
    }
}

fn is_deadly_refusal(outcome: &CallOutcome) -> bool {
    matches!(outcome, CallOutcome::Answer(503, text) if text == "deadly")
}

/// What became of the prompts of a soak.
#[derive(Clone, Default)]
pub(crate) struct PromptLog {
    refused_sound: Arc<Mutex<Vec<String>>>,
}

impl PromptLog {
    /// Sound prompts that were refused because of a part.
    pub(crate) fn check(&self) -> Vec<Violation> {
        let refused = self.refused_sound.lock().unwrap_or_else(PoisonError::into_inner);
        if refused.is_empty() {
            return Vec::new();
        }
        let detail = format!("{} refused, among them {:?}", refused.len(), refused.first());
        vec![Violation { promise: "sound prompts are not refused as deadly", detail }]
    }
}

/// Sends prompts to any host, some with the deadly part.
pub(crate) async fn keep_prompting(
    hosts: Vec<SocketAddr>,
    seed: u64,
    log: PromptLog,
    calls: Arc<Mutex<Vec<CallRecord>>>,
    cancel: CancellationToken,
) {
    let mut random = SmallRng::seed_from_u64(seed.rotate_left(11));
    let mut open = JoinSet::new();
    for number in 0_u64.. {
        let host = hosts[random.random_range(0..hosts.len())];
        let kind = [CallKind::Stream, CallKind::ResumableStream][random.random_range(0..2)];
        let (parts, log) = (parts(&mut random, number), log.clone());
        open.spawn(async move {
            let record = call_prompt(format!("{seed:x}-prompt-{number}"), kind, &parts, host).await;
            if is_deadly_refusal(&record.outcome) && !parts.contains(&DEADLY_PART) {
                let mut refused = log.refused_sound.lock().unwrap_or_else(PoisonError::into_inner);
                refused.push(format!("{} {parts:?}", record.id));
            }
            record
        });
        while let Some(Ok(record)) = open.try_join_next() {
            calls.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        }
        tokio::select! {
            () = tokio::time::sleep(PROMPTS_APART) => {}
            () = cancel.cancelled() => break,
        }
    }
    while let Some(Ok(record)) = open.join_next().await {
        calls.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }
}

/// All hosts refuse prompts with the part, and serve others.
pub(crate) async fn check_parts(
    world: &mut SoakWorld,
    places: &[RouterPlace],
) -> std::io::Result<Vec<Violation>> {
    let before = world.deadly_parts().crashes().len();
    let total = REST_PROMPTS * places.len();
    let mut refused = 0;
    for copy in 0..total {
        let id = format!("rest-part-{copy}");
        let host = places[copy % places.len()].callers;
        let outcome = send_prompt(&id, CallKind::Stream, &["first", DEADLY_PART], host).await;
        refused += usize::from(is_deadly_refusal(&outcome));
        world.pass(REST_PROMPTS_APART).await?;
    }
    let crashes = world.deadly_parts().crashes().len() - before;
    let mut violations = Vec::new();
    if refused + MOST_CRASHES < total || crashes > MOST_CRASHES {
        let detail = format!(
            "{refused} of {total} prompts were refused at rest, {crashes} engines crashed, {before} before"
        );
        violations.push(Violation { promise: "a part that crashes engines is stopped", detail });
    }
    // What the part crashed is back before the other checks.
    world.pass(BACK_AFTER).await?;
    for place in places {
        let mut served = 0;
        for number in 0..SOUND_PROMPTS {
            let id = format!("rest-sound-{}-{number}", place.name);
            let outcome = send_prompt(&id, CallKind::Stream, &["first", "x"], place.callers).await;
            served += usize::from(matches!(outcome, CallOutcome::Answer(200, _)));
        }
        if served * 2 < SOUND_PROMPTS {
            let detail = format!("{} served {served} of {SOUND_PROMPTS}", place.name);
            violations.push(Violation { promise: "sound prompts are served", detail });
        }
    }
    Ok(violations)
}
