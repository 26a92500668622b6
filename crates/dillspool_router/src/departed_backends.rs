//! Backend servers that left before the store was restored from a backup, which may show them as
//! ready.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dillspool_platform::{StoreEra, StoreVersion};
use dillspool_routing::{BackendId, BackendInstance, BackendStart};
use tokio::time::Instant;

/// Maximum number of departed backend servers remembered; the oldest are dropped first.
const MAX_GONE_ENTRIES: usize = 2_000;
/// Time after which a row that nobody writes has lapsed, several times three heartbeats. A row that
/// still exists then has a writer.
const ABANDONED_ROW_TTL: Duration = Duration::from_secs(10);

/// Why a row in state ready is not trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StaleCause {
    /// Its backend server had announced that it is leaving; valid until the row is written again.
    Leaves,
    /// Its backend server was gone; valid until the row is written again, or until an abandoned row
    /// would have lapsed ([`ABANDONED_ROW_TTL`]).
    Gone {
        /// When that time is over.
        until: Instant,
    },
}

/// Departed backend servers, and the last restore of the store.
#[derive(Debug, Default)]
pub(crate) struct DepartedBackends {
    era: StoreEra,
    /// When the last restore was detected, and the version of the store at that time.
    restored: Option<(Instant, StoreVersion)>,
    /// Start times of departed backend servers by ID, with the version of the store at which the
    /// row was missing.
    gone: HashMap<BackendId, (Option<BackendStart>, StoreVersion)>,
    /// IDs in insertion order.
    order: VecDeque<BackendId>,
}

impl DepartedBackends {
    /// Records a version of the table; returns whether the store was restored since the previous
    /// version.
    pub(crate) fn record_version(&mut self, version: StoreVersion, before: StoreVersion) -> bool {
        let is_restored = before.is_known() && version.era() > self.era;
        self.era = version.era();
        if is_restored {
            self.restored = Some((Instant::now(), version));
        }
        is_restored
    }

    /// When this host detected the last restore.
    pub(crate) fn restored_at(&self) -> Option<Instant> {
        self.restored.map(|(at, _version)| at)
    }

    /// Returns whether a row may come from the backup that the store was restored from.
    pub(crate) fn may_predate_restore(&self, row_version: StoreVersion) -> bool {
        self.restored
            .is_some_and(|(_at, first)| row_version.era() == first.era() && row_version <= first)
    }

    /// Records that a backend server's row was deleted.
    pub(crate) fn record_gone(&mut self, backend: BackendInstance, at: StoreVersion) {
        if self.gone.insert(BackendId::clone(&backend.id), (backend.start, at)).is_none() {
            self.order.push_back(backend.id);
        }
        if self.order.len() > MAX_GONE_ENTRIES
            && let Some(oldest) = self.order.pop_front()
        {
            self.gone.remove(&oldest);
        }
    }

    /// Returns a cause if a row in state ready belongs to a backend server that was gone in an
    /// earlier era.
    pub(crate) fn find_gone(
        &self,
        backend: &BackendInstance,
        row_version: StoreVersion,
    ) -> Option<StaleCause> {
        let (start, at) = self.gone.get(&backend.id)?;
        let was_gone = at.era() < row_version.era() && self.may_predate_restore(row_version);
        let until = self.restored_at()? + ABANDONED_ROW_TTL;
        let is_same_start = !BackendStart::are_different(*start, backend.start);
        (was_gone && is_same_start && Instant::now() < until).then_some(StaleCause::Gone { until })
    }
}
