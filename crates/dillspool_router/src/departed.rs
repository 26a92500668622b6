//! Backend servers that had left before the store came back from a copy, which may show them as ready.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dillspool_platform::{StoreEra, StoreVersion};
use dillspool_routing::{BackendId, BackendInstance, BackendStart};
use tokio::time::Instant;

/// Starts that are remembered at most; the oldest are forgotten first.
const MOST_GONE: usize = 2_000;
/// Time after which a row that nobody writes has lapsed, several times three heartbeats: one that is still there
/// has a writer.
const ROW_LIFE: Duration = Duration::from_secs(10);

/// Why a row that says ready is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeldBack {
    /// Its backend server had said that it leaves; until the row is written again.
    Leaves,
    /// Its backend server was gone; until the row is written again, or has outlived one that nobody writes.
    Gone {
        /// When it has.
        until: Instant,
    },
}

/// Which backend servers are gone, and when the store came back from a copy.
#[derive(Debug, Default)]
pub(crate) struct DepartedBook {
    era: StoreEra,
    /// When the store's last restoration was noticed, and the version that it showed then.
    restored: Option<(Instant, StoreVersion)>,
    /// Starts by id, with the version of the store at which the row was missing.
    gone: HashMap<BackendId, (Option<BackendStart>, StoreVersion)>,
    /// In the order in which they were noted.
    order: VecDeque<BackendId>,
}

impl DepartedBook {
    /// Notes a version of the table; whether the store has come back from a copy since the one before.
    pub(crate) fn note_version(&mut self, version: StoreVersion, before: StoreVersion) -> bool {
        let is_restored = before.is_known() && version.era() > self.era;
        self.era = version.era();
        if is_restored {
            self.restored = Some((Instant::now(), version));
        }
        is_restored
    }

    /// Time of the last restoration that this host noticed.
    pub(crate) fn restored_at(&self) -> Option<Instant> {
        self.restored.map(|(at, _version)| at)
    }

    /// Whether a row may be of the copy from which the store came back.
    pub(crate) fn may_be_copied(&self, row_version: StoreVersion) -> bool {
        self.restored
            .is_some_and(|(_at, first)| row_version.era() == first.era() && row_version <= first)
    }

    /// Notes that a backend server's row was deleted.
    pub(crate) fn note_gone(&mut self, backend: BackendInstance, at: StoreVersion) {
        if self.gone.insert(BackendId::clone(&backend.id), (backend.start, at)).is_none() {
            self.order.push_back(backend.id);
        }
        if self.order.len() > MOST_GONE
            && let Some(oldest) = self.order.pop_front()
        {
            self.gone.remove(&oldest);
        }
    }

    /// Whether a row that says ready shows a backend server that was gone in an earlier era.
    pub(crate) fn find_gone(
        &self,
        backend: &BackendInstance,
        row_version: StoreVersion,
    ) -> Option<HeldBack> {
        let (start, at) = self.gone.get(&backend.id)?;
        let was_gone = at.era() < row_version.era() && self.may_be_copied(row_version);
        let until = self.restored_at()? + ROW_LIFE;
        let is_same = !BackendStart::are_different(*start, backend.start);
        (was_gone && is_same && Instant::now() < until).then_some(HeldBack::Gone { until })
    }
}
