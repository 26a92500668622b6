//! Replicates between hosts which requests crashed backend servers, with one row per host.
//!
//! A host writes only its own row, so writers never conflict, and reads the rows of all. They are
//! replicated together with the host rows, from the store or by other hosts, and survive the loss
//! of all hosts. Crashes that no row records, because the host that saw them is gone, are written
//! by a host that schedules a pool into its own row. See `docs/design/suspects.md`.

mod row;

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{UnixMillis, WallClock};
use dillspool_platform::{
    CommitReply, PlatformError, RowPrecondition, RowWrite, StoreEra, StoreVersion, TableStore,
};
use dillspool_schema::Name;
use dillspool_suspects::{RequestFingerprint, SuspectTracker, SuspectUpdate};
use dillspool_watch::TableReplica;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::unreadable_rows::UnreadableRows;
use row::{SuspectRow, TrackerClock};

/// Key prefix of these rows.
const SUSPECT_KEY_PREFIX: &str = "suspects/";
/// Time for which updates are batched into one write: a crash ends all requests on a backend server
/// within a few milliseconds.
const BATCH_WINDOW: Duration = Duration::from_millis(20);
/// Batches of updates that wait while a write to the store is pending.
const MAX_PENDING_BATCHES: usize = 256;
/// Delay after a failed write; doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Time in seconds to wait for the row of the host that saw a crash. It is random each time, so
/// that one host writes what the others then need not write.
const ADOPTION_DELAY_S: std::ops::Range<f64> = 2.0..5.0;
/// Maximum number of crashes written on behalf of others.
const MAX_ADOPTED: usize = 64;
/// Time in seconds between removals of expired entries. It is random each time, so that hosts do
/// not run at the same moment.
const CLEANUP_INTERVAL_S: std::ops::Range<f64> = 60.0..180.0;
/// Minimum age at which a host's row without useful entries is deleted.
const MIN_DELETE_AGE: Duration = Duration::from_hours(1);

/// Writes this host's row and applies the rows of all hosts.
pub(crate) struct SuspectReplicator {
    pub(crate) host: Name,
    pub(crate) table: Name,
    pub(crate) store: TableStore,
    pub(crate) rows: watch::Receiver<TableReplica>,
    pub(crate) unreadable: UnreadableRows,
    pub(crate) tracker: SuspectTracker,
    pub(crate) wall: WallClock,
    /// Sends an update over this host's links, which work while the store is unavailable.
    pub(crate) publish: Arc<dyn Fn(&SuspectUpdate) + Send + Sync>,
    /// Whether this host schedules a pool, and therefore learns of all crashes in it.
    pub(crate) is_scheduler: Arc<dyn Fn() -> bool + Send + Sync>,
}

/// State of replication between the rows and the tracker.
#[derive(Default)]
struct ReplicatorState {
    /// Store era in which rows were last applied.
    era: StoreEra,
    /// Version of each applied row.
    row_versions: HashMap<Name, StoreVersion>,
    own: SuspectRow,
    /// [`SuspectTracker::cleared_parts`] as of which the own row has no cleared crash of a part.
    cleared_parts: Option<u64>,
    /// Crashes that some row records.
    recorded_crashes: HashSet<(RequestFingerprint, Name)>,
    /// When crashes that no row records by then are written to this host's row.
    adopt_at: Option<Instant>,
    /// Content that the store has or will have, as far as this host knows.
    written: Option<String>,
    /// Earliest time of the next write after a failed one, and its delay.
    backoff: Option<(Instant, Duration)>,
}

impl SuspectReplicator {
    /// Runs until `cancel`.
    pub(crate) async fn run(self, cancel: CancellationToken) {
        let (batches, received) = mpsc::channel(MAX_PENDING_BATCHES);
        let publishing = publish_updates(self.tracker.clone(), Arc::clone(&self.publish), batches);
        tokio::select! {
            () = self.replicate(received) => {}
            () = publishing => {}
            () = cancel.cancelled() => {}
        }
    }

    async fn replicate(mut self, mut batches: mpsc::Receiver<VecDeque<SuspectUpdate>>) {
        let clock = TrackerClock { tracker: self.tracker.clone(), wall: self.wall.clone() };
        let mut state = ReplicatorState::default();
        let mut cleanup_at = Instant::now() + cleanup_interval();
        loop {
            let is_known = self.take_rows(&mut state, &clock);
            self.drop_cleared_parts(&mut state, &clock);
            self.schedule_adoption(&mut state);
            let adopt_at = state.adopt_at.unwrap_or_else(Instant::now);
            let text = serde_json::to_string(&state.own).unwrap_or_default();
            let is_due = is_known
                && state.own != SuspectRow::default()
                && state.written.as_ref() != Some(&text);
            let write_at = state.backoff.map_or_else(Instant::now, |(until, _delay)| until);
            tokio::select! {
                changed = self.rows.changed() => if changed.is_err() { return },
                Some(batch) = batches.recv() => {
                    add_to_row(&mut state, batch, &clock);
                    tokio::time::sleep(BATCH_WINDOW).await;
                    while let Ok(batch) = batches.try_recv() {
                        add_to_row(&mut state, batch, &clock);
                    }
                }
                () = tokio::time::sleep_until(write_at), if is_due => {
                    self.write(&mut state, text).await;
                }
                () = tokio::time::sleep_until(adopt_at), if state.adopt_at.is_some() => {
                    self.adopt(&mut state, &clock);
                }
                () = tokio::time::sleep_until(cleanup_at) => {
                    self.tracker.remove_expired();
                    state.own.prune(&self.tracker);
                    state.recorded_crashes.retain(|(fingerprint, _backend)| {
                        self.tracker.decide(*fingerprint).ends() > 0
                    });
                    self.delete_obsolete(&clock).await;
                    cleanup_at = Instant::now() + cleanup_interval();
                }
            }
        }
    }

    /// Removes the crashes of parts that are not held against them any more. A popular part is in most
    /// crashes and soon cleared; a host that starts later learns only of what the rows still have.
    fn drop_cleared_parts(&self, state: &mut ReplicatorState, clock: &TrackerClock) {
        let cleared_parts = Some(self.tracker.cleared_parts());
        if state.cleared_parts != cleared_parts {
            state.cleared_parts = cleared_parts;
            state.own.drop_cleared_parts(clock);
        }
    }

    /// Crashes that no row records, of requests with more than one crash.
    fn unrecorded_crashes(&self, state: &ReplicatorState) -> Vec<SuspectUpdate> {
        let mut repeated = self.tracker.newest_repeated(MAX_ADOPTED);
        repeated.retain(|update| match update {
            SuspectUpdate::Crashed(crash) => {
                !state.recorded_crashes.contains(&(crash.fingerprint, Name::clone(&crash.backend)))
                    && !state.own.contains(crash)
            }
            SuspectUpdate::Succeeded { .. } => false,
        });
        repeated
    }

    fn schedule_adoption(&self, state: &mut ReplicatorState) {
        if !(self.is_scheduler)() || self.unrecorded_crashes(state).is_empty() {
            state.adopt_at = None;
        } else if state.adopt_at.is_none() {
            let wait = rand::Rng::random_range(&mut rand::rng(), ADOPTION_DELAY_S);
            state.adopt_at = Some(Instant::now() + Duration::from_secs_f64(wait));
        }
    }

    /// Adds crashes that no row records to this host's row.
    fn adopt(&self, state: &mut ReplicatorState, clock: &TrackerClock) {
        state.adopt_at = None;
        let unrecorded_crashes = self.unrecorded_crashes(state);
        log::info!("event=suspects_adopted ends={}", unrecorded_crashes.len());
        for update in unrecorded_crashes {
            state.own.add(&update, clock);
        }
    }

    fn own_key(&self) -> Name {
        format!("{SUSPECT_KEY_PREFIX}{}", self.host).into()
    }

    /// Applies the rows that changed; returns false while the table is unknown.
    fn take_rows(&mut self, state: &mut ReplicatorState, clock: &TrackerClock) -> bool {
        let own_key = self.own_key();
        let mut updates = Vec::new();
        let replica = self.rows.borrow_and_update();
        let era = replica.version.era();
        if era > state.era {
            // Rows written since the backup that the store was restored from are lost.
            state.era = era;
            state.row_versions.clear();
            state.recorded_crashes.clear();
            state.written = None;
        }
        for (key, row) in replica.rows.range(Name::from(SUSPECT_KEY_PREFIX)..) {
            if !key.starts_with(SUSPECT_KEY_PREFIX) {
                break;
            }
            if state.row_versions.insert(Name::clone(key), row.version) == Some(row.version) {
                continue;
            }
            let Some(text) = &row.value else { continue };
            let decoded = match SuspectRow::decode(text) {
                Ok(decoded) => decoded,
                Err(cause) => {
                    self.unreadable.record(&self.table, key, row.version, &cause);
                    if *key == own_key {
                        state.written = None;
                    }
                    continue;
                }
            };
            updates.extend(decoded.updates(clock));
            if *key == own_key {
                // Written by this host before it restarted, or by a write that completed late.
                state.own.adopt(&decoded);
                state.cleared_parts = None;
                state.written = Some(text.to_string());
            }
        }
        // A success only clears known crashes, which may be in another row, so crashes are applied
        // first.
        updates.sort_by_key(|update| matches!(update, SuspectUpdate::Succeeded { .. }));
        for update in updates {
            self.tracker.apply_update(&update);
            if let SuspectUpdate::Crashed(crash) = update {
                state.recorded_crashes.insert((crash.fingerprint, crash.backend));
            }
        }
        replica.version.is_known()
    }

    async fn write(&self, state: &mut ReplicatorState, text: String) {
        let write = RowWrite {
            key: self.own_key(),
            expect: RowPrecondition::Any,
            value: Some(text.clone()),
        };
        match self.store.commit(vec![write]).await {
            Ok(CommitReply::Committed | CommitReply::Conflict(_)) => {
                log::info!(
                    "event=suspects_told ends={} whole={}",
                    state.own.crashes.len(),
                    state.own.successes.len(),
                );
                state.written = Some(text);
                state.backoff = None;
            }
            Err(error) => {
                let delay = state
                    .backoff
                    .map_or(INITIAL_BACKOFF, |(_until, delay)| (delay * 2).min(MAX_BACKOFF));
                state.backoff = Some((Instant::now() + delay, delay));
                log::info!("event=suspects_not_told cause=\"{error}\"");
            }
        }
    }

    /// Deletes the row of one host, possibly gone, that has no useful entries.
    async fn delete_obsolete(&self, clock: &TrackerClock) {
        let now = clock.wall.now();
        let old = {
            let replica = self.rows.borrow();
            let rows =
                replica.rows.iter().filter(|(key, _row)| key.starts_with(SUSPECT_KEY_PREFIX));
            rows.filter_map(|(key, row)| Some((key, row.version, row.value.as_ref()?)))
                .find(|(_key, _version, text)| self.is_obsolete(text, now))
                .map(|(key, version, _text)| (Name::clone(key), version))
        };
        let Some((key, version)) = old else { return };
        let write = RowWrite {
            key: Name::clone(&key),
            expect: RowPrecondition::Version(version),
            value: None,
        };
        match self.store.commit(vec![write]).await {
            Ok(reply) => log::info!("event=suspects_row_deleted key={key} reply={reply:?}"),
            Err(PlatformError::NotDone { reason } | PlatformError::Unknown { reason }) => {
                log::info!("event=suspects_row_not_deleted key={key} cause=\"{reason}\"");
            }
        }
    }

    fn is_obsolete(&self, text: &str, now: UnixMillis) -> bool {
        SuspectRow::decode(text).is_ok_and(|mut row| {
            let age = now.since(row.newest());
            row.prune(&self.tracker);
            age > MIN_DELETE_AGE && row.crashes.is_empty()
        })
    }
}

/// Sends updates over this host's links at once, and passes them on for the row, whose writes may wait
/// for the store.
async fn publish_updates(
    tracker: SuspectTracker,
    publish: Arc<dyn Fn(&SuspectUpdate) + Send + Sync>,
    batches: mpsc::Sender<VecDeque<SuspectUpdate>>,
) {
    loop {
        let batch = tracker.take_updates();
        for update in &batch {
            publish(update);
        }
        if batches.try_send(batch).is_err() {
            log::info!("event=suspects_not_told cause=\"too many updates wait for the store\"");
        }
        tracker.changed().await;
    }
}

fn add_to_row(state: &mut ReplicatorState, batch: VecDeque<SuspectUpdate>, clock: &TrackerClock) {
    for update in batch {
        state.own.add(&update, clock);
    }
}

fn cleanup_interval() -> Duration {
    Duration::from_secs_f64(rand::Rng::random_range(&mut rand::rng(), CLEANUP_INTERVAL_S))
}
