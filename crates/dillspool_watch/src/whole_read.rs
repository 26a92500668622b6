//! Whole reads of a table, and why there are any: each costs the store all rows.

use std::sync::Arc;

use dillspool_io::MomentPassed;
use dillspool_platform::{StoreEra, StoreVersion, TableWatch, WatchError};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::belief::SharedReplica;
use crate::follow::{FollowRole, FollowSettings, note_reached, silent};
use crate::reach::StoreReachability;

/// Why a table is read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadCause {
    /// It was not read since this host started.
    First,
    /// The store has forgotten what changed since.
    HistoryGone,
    /// The store has come back from a copy.
    Restored,
}

impl ReadCause {
    fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::HistoryGone => "history_gone",
            Self::Restored => "restored",
        }
    }
}

/// Tells a whole read, which costs the store all rows of a table, the version of its answer, and how long no peer has
/// told of the table (`none` where none ever did).
pub(crate) fn log_read(
    belief: &SharedReplica,
    cause: ReadCause,
    role: FollowRole,
    asked_at: Instant,
    answer: Option<&StoreVersion>,
) {
    let answer = answer.map_or_else(|| "none".to_owned(), StoreVersion::to_string);
    let unheard = belief.heard().unheard();
    let unheard_ms =
        unheard.map_or_else(|| "none".to_owned(), |passed| passed.as_millis().to_string());
    log::info!(
        "event=table_read table={} cause={} role={role:?} answer={answer} rows={} version={} after_ms={} unheard_ms={unheard_ms}",
        belief.table,
        cause.name(),
        belief.subscribe().borrow().rows.len(),
        belief.version(),
        asked_at.elapsed().as_millis(),
    );
}

/// Notes that the store has forgotten the changes since what is believed.
pub(crate) fn note_history_gone(
    reach: &watch::Sender<StoreReachability>,
    belief: &SharedReplica,
) -> ReadCause {
    let (table, version) = (&belief.table, belief.version());
    log::info!("event=history_gone table={table} version={version}");
    note_reached(reach, version.era());
    ReadCause::HistoryGone
}

/// Notes that the store has come back from a copy since what is believed.
pub(crate) fn note_restored(
    reach: &watch::Sender<StoreReachability>,
    belief: &SharedReplica,
    era: StoreEra,
) -> ReadCause {
    let (table, version) = (&belief.table, belief.version());
    log::info!("event=store_restored table={table} version={version} era={era}");
    note_reached(reach, era);
    ReadCause::Restored
}

/// Reads a table whole; the version of the answer.
pub(crate) async fn read_whole(
    store: &TableWatch,
    belief: &SharedReplica,
    settings: &FollowSettings,
) -> Result<StoreVersion, WatchError> {
    let snapshot = (store.snapshot)(Arc::clone(&belief.table));
    let answer = belief.heard().clock().timeout(settings.snapshot_timeout, snapshot).await;
    let answer = answer.map_err(|MomentPassed| silent(settings.snapshot_timeout))?;
    let delta = answer.map_err(|source| WatchError::Store { source })?;
    belief.merge(&delta);
    Ok(delta.version)
}
