//! Follows one table of the store.

use std::sync::Arc;
use std::time::Duration;

use dillspool_platform::{TableWatch, WatchError};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::belief::SharedBelief;
use crate::reach::{self, StoreReach};

/// Whose questions to the store a host's beliefs come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowRole {
    /// Its own.
    Alone,
    /// Its own, on which other hosts rely.
    Source,
    /// A source's, as long as one is fresh.
    Relayed,
}

/// How the store is followed.
#[derive(Clone, Debug)]
pub struct FollowSettings {
    /// How long the store may hold a question for changes open.
    pub wait: Duration,
    /// The same on a host that relays the store's tables to others, which rely on its age.
    pub source_wait: Duration,
    /// Time beyond it after which the answer counts as lost.
    pub slack: Duration,
    /// Time for a whole read, which may take many pages; each page has a deadline of its own.
    pub whole_limit: Duration,
    /// Shortest time between two questions; bounds the calls when a table changes all the time.
    pub spacing: Duration,
    /// First pause after a failed call; doubles up to `longest_pause`.
    pub first_pause: Duration,
    /// Longest pause after a failed call.
    pub longest_pause: Duration,
    /// The same on a host with sources, which see the store's return before.
    pub relayed_pause: Duration,
}

impl FollowSettings {
    /// Settings for a wait; the rest is derived from what the platform promises.
    pub fn with_wait(wait: Duration) -> Self {
        Self {
            wait,
            // With the relay's own pauses this stays below the age that spares a question.
            source_wait: Duration::from_millis(800),
            // An answer takes a few milliseconds; a slow store takes up to 60 times as long.
            slack: Duration::from_millis(700),
            // 3,000 backend servers are 1.3 MB, 1.1 s on the narrowest link (10 Mbit/s).
            whole_limit: Duration::from_secs(8),
            // A quarter of the shortest time in which a change must be in force.
            spacing: Duration::from_millis(300),
            first_pause: Duration::from_millis(100),
            longest_pause: Duration::from_millis(600),
            relayed_pause: Duration::from_secs(2),
        }
    }
}

impl FollowSettings {
    fn longest_wait(&self, role: FollowRole) -> Duration {
        match role {
            FollowRole::Alone | FollowRole::Relayed => self.wait,
            FollowRole::Source => self.source_wait,
        }
    }

    fn longest_pause(&self, role: FollowRole) -> Duration {
        match role {
            FollowRole::Alone | FollowRole::Source => self.longest_pause,
            FollowRole::Relayed => self.relayed_pause,
        }
    }
}

/// Keeps a belief up to date until `cancel`.
///
/// While a peer's relay is fresh the store is not asked.
pub async fn follow_table(
    store: TableWatch,
    belief: SharedBelief,
    reach: watch::Sender<StoreReach>,
    settings: FollowSettings,
    role: watch::Receiver<FollowRole>,
    cancel: CancellationToken,
) {
    let follow = follow_forever(store, belief, reach, settings, role);
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
    role: watch::Receiver<FollowRole>,
) {
    // A belief that came from another host may lack rows, so the first read is always whole.
    let mut complete = false;
    let mut pause = settings.first_pause;
    // After a failure the next question is short, so that the store's return is seen at once.
    let mut wait = Duration::ZERO;
    loop {
        while let Some(until) = spared_until(&reach) {
            tokio::time::sleep_until(until).await;
            wait = Duration::ZERO;
        }
        let asked = Instant::now();
        let outcome = if complete {
            let longest = settings.longest_wait(*role.borrow());
            ask_changes(&store, &belief, wait.min(longest), settings.slack).await
        } else {
            read_whole(&store, &belief, &settings).await
        };
        match outcome {
            Ok(_changed) => {
                complete = true;
                pause = settings.first_pause;
                wait = settings.wait;
                note_answered(&reach);
            }
            Err(WatchError::HistoryGone) => {
                log::info!(
                    "event=history_gone table={} version={}",
                    belief.table,
                    belief.version()
                );
                note_answered(&reach);
                complete = false;
            }
            Err(WatchError::Store { source }) => {
                reach::note(&reach, &source.to_string(), |state| state.direct = false);
                wait = Duration::ZERO;
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(settings.longest_pause(*role.borrow()));
            }
        }
        // A store that answers at once, whatever it is asked, must not be asked without end.
        tokio::time::sleep_until(asked + settings.spacing).await;
    }
}

/// When the next question is due, while a peer's word spares it.
fn spared_until(reach: &watch::Sender<StoreReach>) -> Option<Instant> {
    reach.borrow().spared_until().filter(|until| *until > Instant::now())
}

fn note_answered(reach: &watch::Sender<StoreReach>) {
    reach::note(reach, "answered", |state| {
        state.direct = true;
        state.answered = Some(Instant::now());
    });
}

async fn read_whole(
    store: &TableWatch,
    belief: &SharedBelief,
    settings: &FollowSettings,
) -> Result<bool, WatchError> {
    let snapshot = (store.snapshot)(Arc::clone(&belief.table));
    let answer = tokio::time::timeout(settings.whole_limit, snapshot).await;
    let answer = answer.map_err(|_elapsed| silent(settings.whole_limit))?;
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
