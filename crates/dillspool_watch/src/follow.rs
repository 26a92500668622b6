//! Follows one table of the store.

use std::sync::Arc;
use std::time::Duration;

use dillspool_platform::{TableWatch, WatchError};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::belief::SharedBelief;

/// How the store is followed.
#[derive(Clone, Debug)]
pub struct FollowSettings {
    /// How long the store may hold a question for changes open.
    pub wait: Duration,
    /// Time beyond it after which the answer counts as lost.
    pub slack: Duration,
    /// Shortest time between two questions; bounds the calls when a table changes all the time.
    pub spacing: Duration,
    /// First pause after a failed call; doubles up to `longest_pause`.
    pub first_pause: Duration,
    /// Longest pause after a failed call.
    pub longest_pause: Duration,
}

impl FollowSettings {
    /// Settings for a wait; the rest is derived from what the platform promises.
    pub fn with_wait(wait: Duration) -> Self {
        Self {
            wait,
            // An answer takes a few milliseconds; a slow store takes up to 60 times as long.
            slack: Duration::from_millis(700),
            // A quarter of the shortest time in which a change must be in force.
            spacing: Duration::from_millis(300),
            first_pause: Duration::from_millis(100),
            longest_pause: Duration::from_millis(600),
        }
    }
}

/// Whether this host reaches the store, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReach {
    /// Whether the last call was answered.
    pub reachable: bool,
    /// When that began.
    pub since: Instant,
}

impl StoreReach {
    /// The start: not reached yet.
    pub fn unknown() -> Self {
        Self { reachable: false, since: Instant::now() }
    }
}

fn note_reach(reach: &watch::Sender<StoreReach>, table: &str, reachable: bool, cause: &str) {
    reach.send_if_modified(|state| {
        if state.reachable == reachable {
            return false;
        }
        let before_ms = state.since.elapsed().as_millis();
        let event = if reachable { "store_regained" } else { "store_lost" };
        log::info!("event={event} table={table} after_ms={before_ms} cause=\"{cause}\"");
        *state = StoreReach { reachable, since: Instant::now() };
        true
    });
}

/// Keeps a belief up to date until `cancel`.
pub async fn follow_table(
    store: TableWatch,
    belief: SharedBelief,
    reach: watch::Sender<StoreReach>,
    settings: FollowSettings,
    cancel: CancellationToken,
) {
    let follow = follow_forever(store, belief, reach, settings);
    tokio::select! {
        () = follow => {}
        () = cancel.cancelled() => {}
    }
}

async fn follow_forever(
    store: TableWatch,
    belief: SharedBelief,
    reach: watch::Sender<StoreReach>,
    settings: FollowSettings,
) {
    // A belief that came from another host may lack rows, so the first read is always whole.
    let mut complete = false;
    let mut pause = settings.first_pause;
    // After a failure the next question is short, so that the store's return is seen at once.
    let mut wait = Duration::ZERO;
    loop {
        let asked = Instant::now();
        let outcome = if complete {
            ask_changes(&store, &belief, wait, settings.slack).await
        } else {
            read_whole(&store, &belief, &settings).await
        };
        match outcome {
            Ok(_changed) => {
                complete = true;
                pause = settings.first_pause;
                wait = settings.wait;
                note_reach(&reach, &belief.table, true, "answered");
            }
            Err(WatchError::HistoryGone) => {
                log::info!(
                    "event=history_gone table={} version={}",
                    belief.table,
                    belief.version()
                );
                note_reach(&reach, &belief.table, true, "answered");
                complete = false;
            }
            Err(WatchError::Store { source }) => {
                note_reach(&reach, &belief.table, false, &source.to_string());
                wait = Duration::ZERO;
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(settings.longest_pause);
            }
        }
        // A store that answers at once, whatever it is asked, must not be asked without end.
        tokio::time::sleep_until(asked + settings.spacing).await;
    }
}

async fn read_whole(
    store: &TableWatch,
    belief: &SharedBelief,
    settings: &FollowSettings,
) -> Result<bool, WatchError> {
    let snapshot = (store.snapshot)(Arc::clone(&belief.table));
    let answer = tokio::time::timeout(settings.slack, snapshot).await;
    let answer = answer.map_err(|_elapsed| silent(settings.slack))?;
    let delta = answer.map_err(|source| WatchError::Store { source })?;
    Ok(belief.merge(&delta))
}

async fn ask_changes(
    store: &TableWatch,
    belief: &SharedBelief,
    wait: Duration,
    slack: Duration,
) -> Result<bool, WatchError> {
    let changes = (store.changes)(Arc::clone(&belief.table), belief.version(), wait);
    let limit = wait + slack;
    let answer = tokio::time::timeout(limit, changes).await;
    let delta = answer.map_err(|_elapsed| silent(limit))??;
    Ok(belief.merge(&delta))
}

fn silent(limit: Duration) -> WatchError {
    let reason = format!("silent for {limit:?}");
    WatchError::Store { source: dillspool_platform::PlatformError::Unknown { reason } }
}
