//! What hosts tell each other of requests under which backend servers ended: a row of each host.
//!
//! A host writes its own row only, so that no two writers meet, and takes the rows of all. They reach it
//! with the rows of hosts, by the store or by other hosts, and stay when all hosts are lost. What no row tells,
//! since whoever saw it is gone, a host that schedules a pool writes into its own. See `docs/design/suspects.md`.

mod row;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{UnixMillis, WallClock};
use dillspool_platform::{
    CommitReply, PlatformError, RowPrecondition, RowWrite, StoreEra, StoreVersion, TableStore,
};
use dillspool_schema::Name;
use dillspool_suspects::{RequestFingerprint, SuspectTracker, SuspectUpdate};
use dillspool_watch::TableReplica;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::unreadable_rows::UnreadableRows;
use row::{DeskClock, SuspectRow};

/// Start of the keys of these rows.
const ROW_PREFIX: &str = "suspects/";
/// Time in which news are gathered for one write: a crash breaks off all its runs within some milliseconds.
const GATHER: Duration = Duration::from_millis(20);
/// Pause after a row that could not be written; doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(8);
/// Time for which the row of whoever saw an end is waited for, in seconds, drawn anew each time so that one host
/// writes what others need not write then.
const ROW_WAIT_S: std::ops::Range<f64> = 2.0..5.0;
/// Ends that are written for others at most.
const MOST_ADOPTED: usize = 64;
/// Time between two looks at what stands against nobody any more, in seconds, drawn anew each time so that
/// hosts do not look together.
const LOOK_EVERY_S: std::ops::Range<f64> = 60.0..180.0;
/// Age from which on a row of a host that tells nothing of use any more is deleted.
const ROW_LIFE: Duration = Duration::from_hours(1);

/// Writes this host's row and takes the rows of all.
pub(crate) struct SuspectKeeper {
    pub(crate) host: Name,
    pub(crate) table: Name,
    pub(crate) store: TableStore,
    pub(crate) rows: watch::Receiver<TableReplica>,
    pub(crate) unreadable: UnreadableRows,
    pub(crate) desk: SuspectTracker,
    pub(crate) wall: WallClock,
    /// Tells news on this host's links, which go on while the store is away.
    pub(crate) tell: Arc<dyn Fn(&SuspectUpdate) + Send + Sync>,
    /// Whether this host schedules a pool, and so hears of all ends there.
    pub(crate) schedules: Arc<dyn Fn() -> bool + Send + Sync>,
}

/// How far the rows and the desk agree.
#[derive(Default)]
struct KeeperState {
    /// Era of the store in which rows were taken last.
    era: StoreEra,
    /// Version of each row that was taken.
    taken: HashMap<Name, StoreVersion>,
    own: SuspectRow,
    /// Ends that some row told.
    in_rows: HashSet<(RequestFingerprint, Name)>,
    /// When ends are written that no row has told by then.
    adopt_at: Option<Instant>,
    /// The text that the store has or will have as far as this host knows.
    written: Option<String>,
    /// When the next write may be tried after one that failed.
    paused: Option<(Instant, Duration)>,
}

impl SuspectKeeper {
    /// Runs until `cancel`.
    pub(crate) async fn run(self, cancel: CancellationToken) {
        tokio::select! {
            () = self.keep() => {}
            () = cancel.cancelled() => {}
        }
    }

    async fn keep(mut self) {
        let clock = DeskClock { desk: self.desk.clone(), wall: self.wall.clone() };
        let mut state = KeeperState::default();
        let mut look_at = Instant::now() + look_pause();
        loop {
            let is_known = self.take_rows(&mut state, &clock);
            self.take_news(&mut state, &clock);
            self.plan_adoption(&mut state);
            let adopt_at = state.adopt_at.unwrap_or_else(Instant::now);
            let text = serde_json::to_string(&state.own).unwrap_or_default();
            let is_due = is_known
                && state.own != SuspectRow::default()
                && state.written.as_ref() != Some(&text);
            let write_at = state.paused.map_or_else(Instant::now, |(until, _pause)| until);
            tokio::select! {
                changed = self.rows.changed() => if changed.is_err() { return },
                () = self.desk.changed() => self.gather(&mut state, &clock).await,
                () = tokio::time::sleep_until(write_at), if is_due => {
                    self.write(&mut state, text).await;
                }
                () = tokio::time::sleep_until(adopt_at), if state.adopt_at.is_some() => {
                    self.adopt(&mut state, &clock);
                }
                () = tokio::time::sleep_until(look_at) => {
                    self.desk.remove_expired();
                    state.own.prune(&self.desk);
                    state.in_rows.retain(|(print, _end)| self.desk.decide(*print).ends() > 0);
                    self.delete_one(&clock).await;
                    look_at = Instant::now() + look_pause();
                }
            }
        }
    }

    /// Tells news on the links at once, and waits a moment for more before they are written.
    async fn gather(&self, state: &mut KeeperState, clock: &DeskClock) {
        self.take_news(state, clock);
        tokio::time::sleep(GATHER).await;
    }

    fn take_news(&self, state: &mut KeeperState, clock: &DeskClock) {
        for news in self.desk.take_updates() {
            (self.tell)(&news);
            state.own.add(&news, clock);
        }
    }

    /// Ends that more than one row should tell of, and none does.
    fn missing(&self, state: &KeeperState) -> Vec<SuspectUpdate> {
        let mut repeated = self.desk.newest_repeated(MOST_ADOPTED);
        repeated.retain(|news| match news {
            SuspectUpdate::Crashed(end) => {
                !state.in_rows.contains(&(end.fingerprint, Name::clone(&end.backend)))
                    && !state.own.tells(end)
            }
            SuspectUpdate::Succeeded { .. } => false,
        });
        repeated
    }

    fn plan_adoption(&self, state: &mut KeeperState) {
        if !(self.schedules)() || self.missing(state).is_empty() {
            state.adopt_at = None;
        } else if state.adopt_at.is_none() {
            let wait = rand::Rng::random_range(&mut rand::rng(), ROW_WAIT_S);
            state.adopt_at = Some(Instant::now() + Duration::from_secs_f64(wait));
        }
    }

    /// Takes what no row tells into this host's own.
    fn adopt(&self, state: &mut KeeperState, clock: &DeskClock) {
        state.adopt_at = None;
        let missing = self.missing(state);
        log::info!("event=suspects_adopted ends={}", missing.len());
        for news in missing {
            state.own.add(&news, clock);
        }
    }

    fn own_key(&self) -> Name {
        format!("{ROW_PREFIX}{}", self.host).into()
    }

    /// Takes the rows that changed; false while the table is not known.
    fn take_rows(&mut self, state: &mut KeeperState, clock: &DeskClock) -> bool {
        let own_key = self.own_key();
        let mut told = Vec::new();
        let belief = self.rows.borrow_and_update();
        let era = belief.version.era();
        if era > state.era {
            // Rows that were written since the copy from which the store came back are gone.
            state.era = era;
            state.taken.clear();
            state.in_rows.clear();
            state.written = None;
        }
        for (key, row) in belief.rows.range(Name::from(ROW_PREFIX)..) {
            if !key.starts_with(ROW_PREFIX) {
                break;
            }
            if state.taken.insert(Name::clone(key), row.version) == Some(row.version) {
                continue;
            }
            let Some(text) = &row.value else { continue };
            let decoded = match SuspectRow::decode(text) {
                Ok(decoded) => decoded,
                Err(cause) => {
                    self.unreadable.note(&self.table, key, row.version, &cause);
                    if *key == own_key {
                        state.written = None;
                    }
                    continue;
                }
            };
            told.extend(decoded.news(clock));
            if *key == own_key {
                // Of this host before it started anew, or of a write that was done late.
                state.own.adopt(&decoded);
                state.written = Some(text.to_string());
            }
        }
        // A good end clears only what is known, and may stand in another row than the ends before it.
        told.sort_by_key(|news| matches!(news, SuspectUpdate::Succeeded { .. }));
        for news in told {
            self.desk.apply_update(&news);
            if let SuspectUpdate::Crashed(end) = news {
                state.in_rows.insert((end.fingerprint, end.backend));
            }
        }
        belief.version.is_known()
    }

    async fn write(&self, state: &mut KeeperState, text: String) {
        let write = RowWrite {
            key: self.own_key(),
            expect: RowPrecondition::Any,
            value: Some(text.clone()),
        };
        match self.store.commit(vec![write]).await {
            Ok(CommitReply::Committed | CommitReply::Conflict(_)) => {
                log::info!(
                    "event=suspects_told ends={} whole={}",
                    state.own.ends.len(),
                    state.own.whole.len(),
                );
                state.written = Some(text);
                state.paused = None;
            }
            Err(error) => {
                let pause = state
                    .paused
                    .map_or(FIRST_PAUSE, |(_until, pause)| (pause * 2).min(LONGEST_PAUSE));
                state.paused = Some((Instant::now() + pause, pause));
                log::info!("event=suspects_not_told cause=\"{error}\"");
            }
        }
    }

    /// Deletes one row of a host, perhaps gone, that tells nothing of use any more.
    async fn delete_one(&self, clock: &DeskClock) {
        let now = clock.wall.now();
        let old = {
            let belief = self.rows.borrow();
            let rows = belief.rows.iter().filter(|(key, _row)| key.starts_with(ROW_PREFIX));
            rows.filter_map(|(key, row)| Some((key, row.version, row.value.as_ref()?)))
                .find(|(_key, _version, text)| self.is_old(text, now))
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

    fn is_old(&self, text: &str, now: UnixMillis) -> bool {
        SuspectRow::decode(text).is_ok_and(|mut row| {
            let age = now.since(row.newest());
            row.prune(&self.desk);
            age > ROW_LIFE && row.ends.is_empty()
        })
    }
}

fn look_pause() -> Duration {
    Duration::from_secs_f64(rand::Rng::random_range(&mut rand::rng(), LOOK_EVERY_S))
}
