//! What must hold once all faults are over and everything has recovered.

use std::time::Duration;

use crate::callers::{DeadlyRequest, call, send};
use crate::check::{CallKind, CallOutcome, Violation};
use crate::deadly_parts::check_parts;
use crate::router::RouterPlace;
use crate::world::{RECOVERY, SoakTrouble, SoakWorld};

/// Time after a stop in which the process may still run: its grace and a margin.
const STOP_GRACE: Duration = Duration::from_secs(5);
/// Time in which a host that was started again knows the store's tables.
const START: Duration = Duration::from_secs(2);
/// Time in which a leaving backend server must get nothing more.
const DRAIN: Duration = Duration::from_secs(2);
/// Calls of each kind at rest.
const REST_CALLS: usize = 20;
/// Copies of a deadly request until every host refuses it.
const MOST_COPIES: usize = 12;
/// Time between two of them, in which the hosts hear of an end.
const COPIES_APART: Duration = Duration::from_millis(400);
/// Backend servers that a deadly request may crash at rest, if the hosts that knew it were lost.
const MOST_ENDS: usize = 5;

/// Checks what must hold at rest.
pub(crate) async fn check_rest(
    world: &mut SoakWorld,
    deadly: &[DeadlyRequest],
) -> std::io::Result<Vec<Violation>> {
    world.pass(STOP_GRACE.saturating_sub(RECOVERY)).await?;
    // A host that was told to stop is started again, as the platform does.
    let mut violations = world.revive_hosts();
    world.pass(START).await?;
    let places = world.places.clone();
    for request in deadly {
        violations.extend(check_deadly(world, *request, &places).await?);
    }
    if world.plays(SoakTrouble::DeadlyParts) {
        violations.extend(check_parts(world, &places).await?);
    }
    for place in &places {
        violations.extend(check_config(world, place).await);
    }
    for kind in [CallKind::ResumableStream, CallKind::Stream, CallKind::Unrepeatable] {
        violations.extend(check_served(kind, &places).await);
    }
    violations.extend(check_drain(world, &places, 0).await);
    Ok(violations)
}

/// All hosts refuse a request that crashes what runs it, and do not invite it back.
async fn check_deadly(
    world: &mut SoakWorld,
    request: DeadlyRequest,
    places: &[RouterPlace],
) -> std::io::Result<Vec<Violation>> {
    let promise = "a request that crashes what runs it is stopped";
    let before = world.runs().ends(&request.path());
    let (mut refused, mut last) = (0, CallOutcome::Nothing);
    for copy in 0..MOST_COPIES {
        let place = &places[copy % places.len()];
        let record = request.call(format!("rest-{}-{copy}", request.number), place.callers).await;
        let is_refused =
            matches!(&record.outcome, CallOutcome::Answer(503, text) if text == "deadly");
        refused = if is_refused { refused + 1 } else { 0 };
        last = record.outcome;
        if refused == places.len() {
            break;
        }
        world.pass(COPIES_APART).await?;
    }
    let ends = world.runs().ends(&request.path()) - before;
    let mut violations = Vec::new();
    if refused < places.len() {
        let detail = format!("{request:?}: {refused} hosts in a row refuse it, the last: {last:?}");
        violations.push(Violation { promise, detail });
    }
    if ends > MOST_ENDS {
        let detail = format!("{request:?} crashed {ends} at rest, {before} before");
        violations.push(Violation { promise, detail });
    }
    // What it crashed is back before the other checks.
    world.pass(START).await?;
    Ok(violations)
}

pub(crate) async fn check_config(world: &SoakWorld, place: &RouterPlace) -> Vec<Violation> {
    let version = world.config_version;
    let mut violations = Vec::new();
    for (offered, status) in [(version, 200), (version.saturating_sub(1), 404)] {
        let id = format!("probe-{}-{offered}", place.name);
        let path = format!("/version-{offered}/{id}");
        let answer = send(&id, &path, place.callers).await;
        let seen = match answer {
            CallOutcome::Answer(seen, _body) => seen,
            CallOutcome::Nothing => 0,
        };
        if seen != status {
            let detail = format!(
                "{} answers {seen} on the route of version {offered} of {version}, not {status}",
                place.name
            );
            violations.push(Violation { promise: "the newest configuration is in force", detail });
        }
    }
    violations
}

/// Calls of a kind are served at rest.
async fn check_served(kind: CallKind, places: &[RouterPlace]) -> Option<Violation> {
    let mut served = 0;
    let mut missed = Vec::new();
    for number in 0..REST_CALLS {
        let place = &places[number % places.len()];
        let record = call(format!("rest-{kind:?}-{number}"), kind, place.callers).await;
        match record.outcome {
            CallOutcome::Answer(200, _body) => served += 1,
            other => missed.push(other),
        }
    }
    (served < REST_CALLS).then(|| {
        let detail = format!("{served} of {REST_CALLS} {kind:?} served at rest, not {missed:?}");
        Violation { promise: "service recovers", detail }
    })
}

/// A backend server that leaves gets nothing more, a moment later.
pub(crate) async fn check_drain(
    world: &SoakWorld,
    places: &[RouterPlace],
    leaving: usize,
) -> Vec<Violation> {
    let Some(leaving) = world.backends.get(leaving) else { return Vec::new() };
    leaving.drain();
    tokio::time::sleep(DRAIN).await;
    let before = world.runs().at(&leaving.backend.id);
    let mut violations: Vec<_> =
        check_served(CallKind::Repeatable, places).await.into_iter().collect();
    let after = world.runs().at(&leaving.backend.id);
    if after > before {
        let detail = format!("{} runs after {DRAIN:?}", after - before);
        violations.push(Violation { promise: "a leaving backend server gets nothing", detail });
    }
    violations
}
