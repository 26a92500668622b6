//! Follows one table of the store.

use std::sync::Arc;
use std::time::Duration;

use dillspool_io::MomentPassed;
use dillspool_moment::Moment;
use dillspool_platform::{StoreEra, StoreVersion, TableWatch, WatchError};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::belief::SharedReplica;
use crate::reach::{self, StoreReachability};
use crate::whole_read::{ReadCause, log_read, note_history_gone, note_restored, read_whole};

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
    pub long_poll_wait: Duration,
    /// The same on a host that relays the store's tables to others, which rely on its age.
    pub source_long_poll_wait: Duration,
    /// Time for which a peer's word of the store spares this host its own questions.
    pub relay_freshness: Duration,
    /// Time that a host that relies on peers waits for their word before its first question; zero where it
    /// asks at once.
    pub first_poll_delay: Duration,
    /// Time that a host that relies on peers waits for their word before it reads the whole table, if it was told
    /// the table before and the store has forgotten what changed since; zero where it reads at once.
    pub snapshot_delay: Duration,
    /// Time for which such a host asks only for changes of what it was told, from the store's first answer on: when
    /// the store comes back, all hosts notice at the same moment.
    pub changes_only_period: Duration,
    /// Time beyond it after which the answer counts as lost.
    pub response_slack: Duration,
    /// Time for a whole read, which may take many pages; each page has a deadline of its own.
    pub snapshot_timeout: Duration,
    /// Shortest time between two questions; bounds the calls when a table changes all the time.
    pub min_poll_interval: Duration,
    /// First pause after a failed call; doubles up to `longest_pause`.
    pub initial_backoff: Duration,
    /// Longest pause after a failed call.
    pub max_backoff: Duration,
    /// The same on a host with sources, which see the store's return before.
    pub relayed_max_backoff: Duration,
    /// Longest wait for the answer of the table that probes.
    pub probe_timeout: Duration,
    /// Whether this table is asked for while the store is out of reach; the others wait for its answer.
    pub is_probe: bool,
}

impl FollowSettings {
    /// Settings for a wait, where changes must be in force within `limit`; the rest is derived from
    /// what the platform promises.
    pub fn new(wait: Duration, limit: Duration) -> Self {
        Self {
            long_poll_wait: wait,
            // Twice relayed, each time after a repeat, this stays below the age that spares a
            // question.
            source_long_poll_wait: limit.mul_f64(0.4),
            // The direct question that follows takes some milliseconds.
            relay_freshness: limit.mul_f64(0.8),
            first_poll_delay: Duration::ZERO,
            snapshot_delay: Duration::ZERO,
            changes_only_period: Duration::ZERO,
            // An answer takes a few milliseconds; a slow store takes up to 60 times as long.
            response_slack: Duration::from_millis(700),
            // A whole table over the narrowest link, several times.
            snapshot_timeout: Duration::from_secs(8),
            // A quarter of the shortest time in which a change must be in force.
            min_poll_interval: Duration::from_millis(300),
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_millis(600),
            relayed_max_backoff: limit,
            // With what spares a question this leaves an eighth of the time for the answer.
            probe_timeout: limit.mul_f64(0.05),
            is_probe: true,
        }
    }
}

impl FollowSettings {
    fn longest_wait(&self, role: FollowRole) -> Duration {
        match role {
            FollowRole::Alone | FollowRole::Relayed => self.long_poll_wait,
            FollowRole::Source => self.source_long_poll_wait,
        }
    }

    fn longest_pause(&self, role: FollowRole) -> Duration {
        match role {
            FollowRole::Alone | FollowRole::Source => self.max_backoff,
            FollowRole::Relayed => self.relayed_max_backoff,
        }
    }
}

/// Probes of the store that may go unheard after a failure before a table that waits for them asks itself.
const MISSED_PROBES: u32 = 4;
/// Time between two looks for a peer's word before the first question.
const LOOK_FOR_PEERS: Duration = Duration::from_millis(50);

/// Keeps a belief up to date until `cancel`.
///
/// While a peer's word of this table is fresh the store is not asked.
pub async fn follow_table(
    store: TableWatch,
    belief: SharedReplica,
    reach: watch::Sender<StoreReachability>,
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
    belief: SharedReplica,
    reach: watch::Sender<StoreReachability>,
    settings: FollowSettings,
    role: watch::Receiver<FollowRole>,
) {
    // A belief that came from another host may lack rows, so the first read is always whole.
    let mut complete = false;
    let mut read_cause = ReadCause::First;
    let mut pause = settings.initial_backoff;
    // After a failure the next question is short, so that the store's return is seen at once.
    let mut wait = Duration::ZERO;
    wait_for_first_word(&belief, &settings, role.clone()).await;
    let asks_first = settings.first_poll_delay.is_zero();
    // Whether the last question had no answer.
    let mut failed = false;
    // Since when the store has answered about this table while no peer's word of it was fresh.
    let mut seen_since: Option<Instant> = None;
    loop {
        // A peer's word spares the questions of a host that others do not rely on.
        while let Some(until) = spared_until(&belief, &settings)
            && (failed || *role.borrow() == FollowRole::Relayed)
        {
            tokio::select! {
                () = belief.heard().clock().sleep_until(until) => {}
                () = another_role(role.clone()) => {}
            }
            (wait, seen_since) = (Duration::ZERO, None);
        }
        let is_first = asks_first && !belief.version().is_known() && !failed;
        if !settings.is_probe && !is_first && *role.borrow() == FollowRole::Relayed {
            // Where all tables lose their source at once, one question shows whether the store answers.
            wait_for_probe(&reach, &belief, &settings).await;
        }
        let relies_on_peers = !complete
            && belief.version().is_known()
            && !settings.snapshot_delay.is_zero()
            && *role.borrow() == FollowRole::Relayed;
        if relies_on_peers && read_cause != ReadCause::First {
            wait_for_word(&belief, &settings, settings.snapshot_delay).await;
            if spared_until(&belief, &settings).is_some() {
                continue;
            }
        }
        // Peers may hear later than this host that the store is back. The time for their word runs from an answer of
        // the store on: one that ran during an outage would end as the store comes back, on all hosts at once.
        let asks_changes = relies_on_peers
            && read_cause == ReadCause::First
            && seen_since.is_none_or(|since| since.elapsed() < settings.changes_only_period);
        let was_complete = complete;
        let (asked, asked_at) = (belief.heard().clock().now(), Instant::now());
        let outcome = if complete || asks_changes {
            let longest = settings.longest_wait(*role.borrow());
            ask_changes(&store, &belief, &reach, wait.min(longest), settings.response_slack).await
        } else {
            let read = read_whole(&store, &belief, &settings).await;
            log_read(&belief, read_cause, *role.borrow(), asked_at, read.as_ref().ok());
            seen_since = None;
            read.map(|_version| QuestionEnd::Answered)
        };
        failed = matches!(outcome, Err(WatchError::Store { .. }));
        match outcome {
            Ok(QuestionEnd::GivenUp) => wait = Duration::ZERO,
            Ok(QuestionEnd::Answered) if asks_changes => {
                seen_since.get_or_insert(asked_at);
                (wait, pause) = (settings.source_long_poll_wait, settings.initial_backoff);
                note_reached(&reach, belief.version().era());
            }
            Ok(QuestionEnd::Answered) => {
                complete = true;
                pause = settings.initial_backoff;
                // A whole read takes pages; its rows are those of its start.
                let as_of = if was_complete { belief.heard().heard_at(asked) } else { asked };
                belief.heard().note_answered(as_of);
                // What was waited for through a stall is old, and must not count until a long question ends.
                let is_old = was_complete
                    && belief.heard().clock().since(as_of) > settings.min_poll_interval;
                wait = if is_old { Duration::ZERO } else { settings.long_poll_wait };
                note_reached(&reach, belief.version().era());
            }
            Err(WatchError::HistoryGone) => {
                complete = false;
                read_cause = note_history_gone(&reach, &belief);
            }
            Err(WatchError::Restored { era }) => {
                complete = false;
                read_cause = note_restored(&reach, &belief, era);
            }
            Err(WatchError::Store { source }) => {
                seen_since = None;
                reach::note(&reach, &source.to_string(), |state| state.direct = false);
                wait = Duration::ZERO;
                let role = *role.borrow();
                let longest = settings.longest_pause(role);
                // One call may be lost; a host with sources loses nothing by a pause.
                let has_sources = role == FollowRole::Relayed;
                let is_first = pause == settings.initial_backoff && !has_sources;
                if settings.is_probe && has_sources {
                    wait_for_peers(&reach, Instant::now() + longest).await;
                } else if settings.is_probe || is_first {
                    tokio::time::sleep(pause).await;
                } else {
                    wait_for_store(&reach, longest * MISSED_PROBES).await;
                }
                pause = (pause * 2).min(longest);
            }
        }
        // A store that answers at once, whatever it is asked, must not be asked without end.
        tokio::time::sleep_until(asked_at + settings.min_poll_interval).await;
        if complete && !was_complete && *role.borrow() == FollowRole::Relayed {
            // What was just read counts for as long as a peer's word would; a peer's comes by then.
            wait_for_peers(&reach, asked_at + settings.relay_freshness).await;
            wait = Duration::ZERO;
        }
    }
}

/// Waits until a peer has told the table, but no longer than a host does that has just started.
async fn wait_for_first_word(
    belief: &SharedReplica,
    settings: &FollowSettings,
    mut role: watch::Receiver<FollowRole>,
) {
    let started = Instant::now();
    while belief.heard().spared_until(settings.relay_freshness).is_none()
        && started.elapsed() < settings.first_poll_delay
        && *role.borrow() == FollowRole::Relayed
    {
        tokio::select! {
            () = tokio::time::sleep(LOOK_FOR_PEERS) => {}
            // A host on which others rely, or that has nobody to rely on, asks as soon as it knows.
            _changed = role.wait_for(|role| *role != FollowRole::Relayed) => {}
        }
    }
}

/// Waits until the table that probes has an answer, or a peer has one, but only for a moment: tables age
/// one by one, and the one that probes may be fresh and not ask for seconds.
async fn wait_for_probe(
    reach: &watch::Sender<StoreReachability>,
    belief: &SharedReplica,
    settings: &FollowSettings,
) {
    let since = Instant::now();
    while since.elapsed() < settings.probe_timeout {
        let answered = reach.borrow().last_answered;
        let is_answered =
            answered.is_some_and(|answered| answered + settings.min_poll_interval >= since);
        if is_answered || spared_until(belief, settings).is_some() {
            return;
        }
        tokio::time::sleep(LOOK_FOR_PEERS).await;
    }
}

/// Waits until a peer has said how the table stands, but no longer than a time.
async fn wait_for_word(belief: &SharedReplica, settings: &FollowSettings, limit: Duration) {
    let since = Instant::now();
    while spared_until(belief, settings).is_none() && since.elapsed() < limit {
        tokio::time::sleep(LOOK_FOR_PEERS).await;
    }
}

/// Waits for another role; for ever once there will be none.
async fn another_role(mut role: watch::Receiver<FollowRole>) {
    let before = *role.borrow_and_update();
    if role.wait_for(|role| *role != before).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Waits until the store answers again, or a peer relays it, or the time is over.
async fn wait_for_store(reach: &watch::Sender<StoreReachability>, limit: Duration) {
    let mut state = reach.subscribe();
    let reachable = state.wait_for(StoreReachability::is_reachable);
    // If the probe goes unheard for so long, this table asks for itself.
    let _elapsed = tokio::time::timeout(limit, reachable).await;
}

/// Waits until a peer relays the tables, or until then.
async fn wait_for_peers(reach: &watch::Sender<StoreReachability>, until: Instant) {
    let mut state = reach.subscribe();
    let relayed = state.wait_for(|state| state.relayed);
    // Without a peer the store is asked.
    let _elapsed = tokio::time::timeout_at(until, relayed).await;
}

/// When the next question is due, while a peer's word spares it.
fn spared_until(belief: &SharedReplica, settings: &FollowSettings) -> Option<Moment> {
    let heard = belief.heard();
    heard.spared_until(settings.relay_freshness).filter(|until| *until > heard.clock().now())
}

/// Notes that the store can be asked, whatever it said, and in which era it is.
pub(crate) fn note_reached(reach: &watch::Sender<StoreReachability>, era: StoreEra) {
    reach::note(reach, "answered", |state| {
        state.direct = true;
        state.last_answered = Some(Instant::now());
        state.era = state.era.max(era);
    });
}

/// Waits until another table shows that the store has come back from a copy since a version; its era.
async fn restored_since(
    reach: &watch::Sender<StoreReachability>,
    version: StoreVersion,
) -> StoreEra {
    let mut state = reach.subscribe();
    let restored = state.wait_for(|state| state.era > version.era()).await;
    let era = restored.map(|state| state.era);
    match era {
        Ok(era) => era,
        Err(_closed) => std::future::pending().await,
    }
}

/// How a question to the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QuestionEnd {
    /// The belief is as new as the answer.
    Answered,
    /// The host stood still meanwhile, and nothing was learnt.
    GivenUp,
}

async fn ask_changes(
    store: &TableWatch,
    belief: &SharedReplica,
    reach: &watch::Sender<StoreReachability>,
    wait: Duration,
    slack: Duration,
) -> Result<QuestionEnd, WatchError> {
    let version = belief.version();
    let changes = (store.changes)(Arc::clone(&belief.table), version, wait);
    let limit = wait + slack;
    let clock = belief.heard().clock();
    let answer = tokio::select! {
        biased;
        answer = clock.timeout(limit, changes) => answer,
        // Its answer would tell of the time before.
        () = clock.stalled() => return Ok(QuestionEnd::GivenUp),
        // A restored store may hold the question until its end, and wait for a version of before.
        era = restored_since(reach, version) => return Err(WatchError::Restored { era }),
    };
    let delta = answer.map_err(|MomentPassed| silent(limit))??;
    belief.merge(&delta);
    Ok(QuestionEnd::Answered)
}

pub(crate) fn silent(limit: Duration) -> WatchError {
    let reason = format!("silent for {limit:?}");
    WatchError::Store { source: dillspool_platform::PlatformError::Unknown { reason } }
}
