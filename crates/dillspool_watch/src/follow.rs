//! Follows one table of the store by long polling.

use std::sync::Arc;
use std::time::Duration;

use dillspool_io::DeadlineElapsed;
use dillspool_moment::Moment;
use dillspool_platform::{StoreEra, StoreVersion, TableWatch, WatchError};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::reachability::{self, StoreReachability};
use crate::replica::SharedReplica;
use crate::snapshot::{
    SnapshotCause, handle_history_gone, handle_restored, log_snapshot_read, read_snapshot,
};

/// Which polls of the store a host's replicas are based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowRole {
    /// The host's own polls.
    Alone,
    /// The host's own polls, which other hosts also rely on.
    Source,
    /// The polls of a source, while its relay messages are fresh.
    Relayed,
}

/// How a table of the store is followed.
#[derive(Clone, Debug)]
pub struct FollowSettings {
    /// How long the store may hold a long poll open.
    pub long_poll_wait: Duration,
    /// The same on a source, whose table age other hosts rely on.
    pub source_long_poll_wait: Duration,
    /// How long a peer's relay message replaces this host's own polls.
    pub relay_freshness: Duration,
    /// How long a host that relies on peers waits for a relay message before its first poll; zero
    /// to poll at once.
    pub first_poll_delay: Duration,
    /// How long a host that relies on peers waits for a relay message before it reads a snapshot,
    /// if it was relayed the table before and the store has compacted the changes since; zero to
    /// read at once.
    pub snapshot_delay: Duration,
    /// How long such a host polls for changes before it reads a snapshot, counted from the store's
    /// first response. All hosts notice at the same moment that the store is back, and would
    /// otherwise all read snapshots then.
    pub changes_only_period: Duration,
    /// Time beyond the long poll after which the response counts as lost.
    pub response_slack: Duration,
    /// Timeout for a snapshot, which may take many pages; each page has a deadline of its own.
    pub snapshot_timeout: Duration,
    /// Minimum time between two polls; bounds the call rate when a table changes constantly.
    pub min_poll_interval: Duration,
    /// Backoff after the first failed call; doubles up to `max_backoff`.
    pub initial_backoff: Duration,
    /// Maximum backoff after a failed call.
    pub max_backoff: Duration,
    /// The same on a host with sources, which notice earlier that the store is back.
    pub relayed_max_backoff: Duration,
    /// How long to wait for the result of the probing table's poll.
    pub probe_timeout: Duration,
    /// Whether this table is polled while the store is unreachable; the other tables wait for its
    /// result.
    pub is_probe: bool,
}

impl FollowSettings {
    /// Settings for a long poll of `wait`, where changes must be in force within `limit`. The rest
    /// is derived from what the platform guarantees.
    pub fn new(wait: Duration, limit: Duration) -> Self {
        Self {
            long_poll_wait: wait,
            // After two relay hops, each after a heartbeat, the age is still below
            // `relay_freshness`.
            source_long_poll_wait: limit.mul_f64(0.4),
            // The poll that follows takes a few milliseconds.
            relay_freshness: limit.mul_f64(0.8),
            first_poll_delay: Duration::ZERO,
            snapshot_delay: Duration::ZERO,
            changes_only_period: Duration::ZERO,
            // A response takes a few milliseconds; a slow store takes up to 60 times as long.
            response_slack: Duration::from_millis(700),
            // Several times the transfer of a whole table over the slowest link.
            snapshot_timeout: Duration::from_secs(8),
            // A quarter of the shortest time in which a change must be in force.
            min_poll_interval: Duration::from_millis(300),
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_millis(600),
            relayed_max_backoff: limit,
            // Together with `relay_freshness` this leaves an eighth of the time limit for the
            // response.
            probe_timeout: limit.mul_f64(0.05),
            is_probe: true,
        }
    }
}

impl FollowSettings {
    fn long_poll_wait(&self, role: FollowRole) -> Duration {
        match role {
            FollowRole::Alone | FollowRole::Relayed => self.long_poll_wait,
            FollowRole::Source => self.source_long_poll_wait,
        }
    }

    fn max_backoff(&self, role: FollowRole) -> Duration {
        match role {
            FollowRole::Alone | FollowRole::Source => self.max_backoff,
            FollowRole::Relayed => self.relayed_max_backoff,
        }
    }
}

/// Probes that may go unanswered after a failure before a table that waits for them polls by
/// itself.
const MAX_MISSED_PROBES: u32 = 4;
/// Interval at which to check for a relay message or a probe result.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps a replica up to date until `cancel`.
///
/// The store is not polled while a relay message for the table is fresh.
pub async fn follow_table(
    store: TableWatch,
    replica: SharedReplica,
    status: watch::Sender<StoreReachability>,
    settings: FollowSettings,
    role: watch::Receiver<FollowRole>,
    cancel: CancellationToken,
) {
    let follow = run_follower(store, replica, status, settings, role);
    tokio::select! {
        () = follow => {}
        () = cancel.cancelled() => {}
    }
}

async fn run_follower(
    store: TableWatch,
    replica: SharedReplica,
    status: watch::Sender<StoreReachability>,
    settings: FollowSettings,
    role: watch::Receiver<FollowRole>,
) {
    // A replica that was relayed may lack rows, so the first read is always a snapshot.
    let mut is_complete = false;
    let mut cause = SnapshotCause::First;
    let mut backoff = settings.initial_backoff;
    // The poll after a failure does not wait, so that the host notices at once when the store is
    // back.
    let mut poll_wait = Duration::ZERO;
    wait_for_first_relay(&replica, &settings, role.clone()).await;
    let polls_first = settings.first_poll_delay.is_zero();
    let mut poll_failed = false;
    // Since when the store has answered for this table while no relay message was fresh.
    let mut answers_since: Option<Instant> = None;
    loop {
        // A fresh relay message replaces polls on a host that no others rely on.
        while let Some(until) = fresh_until(&replica, &settings)
            && (poll_failed || *role.borrow() == FollowRole::Relayed)
        {
            tokio::select! {
                () = replica.freshness().clock().sleep_until(until) => {}
                () = role_changed(role.clone()) => {}
            }
            (poll_wait, answers_since) = (Duration::ZERO, None);
        }
        let is_first_poll = polls_first && !replica.version().is_known() && !poll_failed;
        if !settings.is_probe && !is_first_poll && *role.borrow() == FollowRole::Relayed {
            // When all tables lose their source at once, the poll of one shows whether the store
            // answers.
            wait_for_probe(&status, &replica, &settings).await;
        }
        let relies_on_peers = !is_complete
            && replica.version().is_known()
            && !settings.snapshot_delay.is_zero()
            && *role.borrow() == FollowRole::Relayed;
        if relies_on_peers && cause != SnapshotCause::First {
            wait_for_relay(&replica, &settings, settings.snapshot_delay).await;
            if fresh_until(&replica, &settings).is_some() {
                continue;
            }
        }
        // Peers may notice later than this host that the store is back. The wait for their messages
        // starts at the store's first response: if it started during the outage, it would end on
        // all hosts at the same moment, when the store comes back.
        let polls_changes = relies_on_peers
            && cause == SnapshotCause::First
            && answers_since.is_none_or(|since| since.elapsed() < settings.changes_only_period);
        let was_complete = is_complete;
        let (started, polled_at) = (replica.freshness().clock().now(), Instant::now());
        let outcome = if is_complete || polls_changes {
            let longest = settings.long_poll_wait(*role.borrow());
            poll_changes(&store, &replica, &status, poll_wait.min(longest), settings.response_slack)
                .await
        } else {
            let read = read_snapshot(&store, &replica, &settings).await;
            log_snapshot_read(&replica, cause, *role.borrow(), polled_at, read.as_ref().ok());
            answers_since = None;
            read.map(|_version| PollOutcome::Answered)
        };
        poll_failed = matches!(outcome, Err(WatchError::Store { .. }));
        match outcome {
            Ok(PollOutcome::Abandoned) => poll_wait = Duration::ZERO,
            Ok(PollOutcome::Answered) if polls_changes => {
                answers_since.get_or_insert(polled_at);
                (poll_wait, backoff) = (settings.source_long_poll_wait, settings.initial_backoff);
                record_reachable(&status, replica.version().era());
            }
            Ok(PollOutcome::Answered) => {
                is_complete = true;
                backoff = settings.initial_backoff;
                // A snapshot takes several pages; its rows are as of its start.
                let as_of =
                    if was_complete { replica.freshness().valid_as_of(started) } else { started };
                replica.freshness().record_poll(as_of);
                // A response that was awaited while the host was suspended is outdated, and must
                // not count as fresh until the next long poll ends.
                let is_old = was_complete
                    && replica.freshness().clock().since(as_of) > settings.min_poll_interval;
                poll_wait = if is_old { Duration::ZERO } else { settings.long_poll_wait };
                record_reachable(&status, replica.version().era());
            }
            Err(WatchError::HistoryGone) => {
                is_complete = false;
                cause = handle_history_gone(&status, &replica);
            }
            Err(WatchError::Restored { era }) => {
                is_complete = false;
                cause = handle_restored(&status, &replica, era);
            }
            Err(WatchError::Store { source }) => {
                answers_since = None;
                reachability::update(&status, &source.to_string(), |state| state.direct = false);
                poll_wait = Duration::ZERO;
                let role = *role.borrow();
                let longest = settings.max_backoff(role);
                // A single call may be lost; a host with sources can afford to back off.
                let has_sources = role == FollowRole::Relayed;
                let is_first_failure = backoff == settings.initial_backoff && !has_sources;
                if settings.is_probe && has_sources {
                    wait_until_relayed(&status, Instant::now() + longest).await;
                } else if settings.is_probe || is_first_failure {
                    tokio::time::sleep(backoff).await;
                } else {
                    wait_until_reachable(&status, longest * MAX_MISSED_PROBES).await;
                }
                backoff = (backoff * 2).min(longest);
            }
        }
        // Bounds the poll rate for a store that answers every poll at once.
        tokio::time::sleep_until(polled_at + settings.min_poll_interval).await;
        if is_complete && !was_complete && *role.borrow() == FollowRole::Relayed {
            // A snapshot that was just read is fresh for as long as a relay message; a peer's
            // message arrives by then.
            wait_until_relayed(&status, polled_at + settings.relay_freshness).await;
            poll_wait = Duration::ZERO;
        }
    }
}

/// Waits for the first relay message, at most for `first_poll_delay`.
async fn wait_for_first_relay(
    replica: &SharedReplica,
    settings: &FollowSettings,
    mut role: watch::Receiver<FollowRole>,
) {
    let started = Instant::now();
    while replica.freshness().fresh_until(settings.relay_freshness).is_none()
        && started.elapsed() < settings.first_poll_delay
        && *role.borrow() == FollowRole::Relayed
    {
        tokio::select! {
            () = tokio::time::sleep(RELAY_CHECK_INTERVAL) => {}
            // A host that others rely on, or that has no source, polls as soon as it learns that.
            _changed = role.wait_for(|role| *role != FollowRole::Relayed) => {}
        }
    }
}

/// Waits briefly until the probing table has been answered or a relay message for this table is
/// fresh. The wait is bounded because tables age independently: the probing table may be fresh and
/// not be polled for seconds.
async fn wait_for_probe(
    status: &watch::Sender<StoreReachability>,
    replica: &SharedReplica,
    settings: &FollowSettings,
) {
    let since = Instant::now();
    while since.elapsed() < settings.probe_timeout {
        let last_answered = status.borrow().last_answered;
        let is_answered = last_answered
            .is_some_and(|answered_at| answered_at + settings.min_poll_interval >= since);
        if is_answered || fresh_until(replica, settings).is_some() {
            return;
        }
        tokio::time::sleep(RELAY_CHECK_INTERVAL).await;
    }
}

/// Waits for a fresh relay message, at most for `limit`.
async fn wait_for_relay(replica: &SharedReplica, settings: &FollowSettings, limit: Duration) {
    let since = Instant::now();
    while fresh_until(replica, settings).is_none() && since.elapsed() < limit {
        tokio::time::sleep(RELAY_CHECK_INTERVAL).await;
    }
}

/// Waits until the role changes; forever if its sender is gone.
async fn role_changed(mut role: watch::Receiver<FollowRole>) {
    let before = *role.borrow_and_update();
    if role.wait_for(|role| *role != before).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Waits until the store is reachable again, directly or through a peer, at most for `limit`.
async fn wait_until_reachable(status: &watch::Sender<StoreReachability>, limit: Duration) {
    let mut state = status.subscribe();
    let reachable = state.wait_for(StoreReachability::is_reachable);
    // After that the table polls by itself, without waiting for the probe.
    let _elapsed = tokio::time::timeout(limit, reachable).await;
}

/// Waits until a peer relays the tables, at most until `until`.
async fn wait_until_relayed(status: &watch::Sender<StoreReachability>, until: Instant) {
    let mut state = status.subscribe();
    let relayed = state.wait_for(|state| state.relayed);
    // Without a peer the store is polled.
    let _elapsed = tokio::time::timeout_at(until, relayed).await;
}

/// Until when a relay message is fresh and no poll is due; `None` if none is.
fn fresh_until(replica: &SharedReplica, settings: &FollowSettings) -> Option<Moment> {
    let freshness = replica.freshness();
    freshness.fresh_until(settings.relay_freshness).filter(|until| *until > freshness.clock().now())
}

/// Records that the store answered, with whatever result, and its era.
pub(crate) fn record_reachable(status: &watch::Sender<StoreReachability>, era: StoreEra) {
    reachability::update(status, "answered", |state| {
        state.direct = true;
        state.last_answered = Some(Instant::now());
        state.era = state.era.max(era);
    });
}

/// Waits until another table shows that the store was restored from a backup since `version`, and
/// returns the new era.
async fn restore_detected(
    status: &watch::Sender<StoreReachability>,
    version: StoreVersion,
) -> StoreEra {
    let mut state = status.subscribe();
    let restored = state.wait_for(|state| state.era > version.era()).await;
    let era = restored.map(|state| state.era);
    match era {
        Ok(era) => era,
        Err(_closed) => std::future::pending().await,
    }
}

/// How a poll of the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollOutcome {
    /// The replica is up to date with the response.
    Answered,
    /// The host was suspended meanwhile, so the poll was abandoned.
    Abandoned,
}

async fn poll_changes(
    store: &TableWatch,
    replica: &SharedReplica,
    status: &watch::Sender<StoreReachability>,
    wait: Duration,
    slack: Duration,
) -> Result<PollOutcome, WatchError> {
    let version = replica.version();
    let changes = (store.changes)(Arc::clone(&replica.table), version, wait);
    let limit = wait + slack;
    let clock = replica.freshness().clock();
    let response = tokio::select! {
        biased;
        response = clock.timeout(limit, changes) => response,
        // The response would reflect the time before the suspension.
        () = clock.next_stall() => return Ok(PollOutcome::Abandoned),
        // A restored store may hold the poll open until it times out, waiting for a version of the
        // previous era.
        era = restore_detected(status, version) => return Err(WatchError::Restored { era }),
    };
    let delta = response.map_err(|DeadlineElapsed| timeout_error(limit))??;
    replica.merge(&delta);
    Ok(PollOutcome::Answered)
}

pub(crate) fn timeout_error(limit: Duration) -> WatchError {
    let reason = format!("no response within {limit:?}");
    WatchError::Store { source: dillspool_platform::PlatformError::Unknown { reason } }
}
