//! From the directory's rows, and what backend servers say themselves, to the backend servers in use.
//!
//! Rows of living backend servers may lapse while the store is away. A row that goes missing
//! around an outage therefore counts as gone only some time after the store's return. Rows do not change
//! meanwhile, so a backend server that says in an answer that it leaves is believed whatever its row says;
//! `docs/design/notices.md` has the reasons. A store that comes back from a copy shows rows of before, which bring
//! no backend server back that has left; `docs/design/store_eras.md` has those.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_leaving::LeavingRegistry;
use dillspool_part::TableSubset;
use dillspool_platform::StoreVersion;
use dillspool_routing::{
    BackendEntry, BackendId, BackendInstance, BackendStart, BackendState, DirectoryView,
};
use dillspool_watch::{StoreReachability, TableReplica};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::departed::{DepartedBook, HeldBack};
use crate::drained_domains::DrainedDomains;
use crate::site::SiteProtocol;
use crate::unreadable_rows::UnreadableRows;

/// How the directory is read.
#[derive(Clone, Debug)]
pub struct DirectorySettings {
    /// Time after the store's return in which lapsed backend servers may register again.
    pub lapse_grace: Duration,
    /// Addresses at which this host listens. A row that claims one of them is another writer's: requests
    /// sent there would come back as new ones.
    pub own_addresses: Vec<SocketAddr>,
}

/// What the newest row of an id says.
struct KnownBackend {
    /// `None` when the row names no backend server.
    entry: Option<Arc<BackendEntry>>,
    row_version: StoreVersion,
    /// Whether its row is missing, for now.
    lapsed: bool,
    /// Set while its row, of the copy from which the store came back, is not believed to be ready.
    held_back: Option<HeldBack>,
}

impl KnownBackend {
    /// Whether it takes new requests, as far as its last row and itself say.
    fn is_ready(&self, leaving: &LeavingRegistry) -> bool {
        let is_ready =
            |entry: &Arc<BackendEntry>| entry.is_ready() && !leaving.is_leaving(&entry.instance());
        self.held_back.is_none() && self.entry.as_ref().is_some_and(is_ready)
    }

    /// Whether its row said, or is held to say, that a start leaves.
    fn leaves(&self, backend: &BackendInstance) -> bool {
        self.entry.as_ref().is_some_and(|entry| {
            let is_same = !BackendStart::are_different(entry.start, backend.start);
            is_same && (!entry.is_ready() || self.held_back.is_some())
        })
    }

    /// What is in use of it: its row, unless it has said itself that it leaves.
    fn used_entry(&self, leaving: &LeavingRegistry) -> Option<Arc<BackendEntry>> {
        let entry = self.entry.as_ref()?;
        if entry.is_ready() == self.is_ready(leaving) {
            return Some(Arc::clone(entry));
        }
        Some(Arc::new(BackendEntry { state: BackendState::Draining, ..BackendEntry::clone(entry) }))
    }
}

/// What the directory in use follows from.
#[derive(Debug)]
pub struct DirectorySources {
    /// Rows of backend servers.
    pub backends: watch::Receiver<TableReplica>,
    /// The operator's rows.
    pub operator: watch::Receiver<TableReplica>,
    /// Whether the store is reached.
    pub reachability: watch::Receiver<StoreReachability>,
    /// Backend servers that have said in an answer that they leave.
    pub leaving: watch::Receiver<LeavingRegistry>,
}

struct DirectoryTracker {
    site: SiteProtocol,
    settings: DirectorySettings,
    unreadable: UnreadableRows,
    known: BTreeMap<BackendId, KnownBackend>,
    departed: DepartedBook,
    /// Version of the table that was taken last.
    version: StoreVersion,
    drained: DrainedDomains,
    /// The part of the table that this host holds.
    part: Option<Arc<TableSubset>>,
}

/// Publishes the backend servers in use until the belief ends.
pub async fn track_directory(
    site: SiteProtocol,
    settings: DirectorySettings,
    unreadable: UnreadableRows,
    sources: DirectorySources,
    view: watch::Sender<Arc<DirectoryView>>,
) {
    let DirectorySources { mut backends, mut operator, mut reachability, mut leaving } = sources;
    let drained = DrainedDomains::new(site.drained_domain, settings.lapse_grace);
    let mut tracker = DirectoryTracker {
        site,
        settings,
        unreadable,
        known: BTreeMap::new(),
        departed: DepartedBook::default(),
        version: StoreVersion::default(),
        drained,
        part: None,
    };
    // Whether a backend server has said that it leaves since the last view.
    let mut leaves_more = false;
    loop {
        let state = *reachability.borrow_and_update();
        let drains_changed = tracker.drained.take_rows(&operator.borrow_and_update());
        {
            let (rows, leaving) = (backends.borrow_and_update(), leaving.borrow_and_update());
            let changed = tracker.update(&rows, &leaving, state);
            if changed || drains_changed || leaves_more || leaving.has_changed() {
                view.send_replace(Arc::new(tracker.view(rows.version, &leaving)));
            }
            leaves_more = false;
        }
        let next_end = tracker.next_end(state);
        tokio::select! {
            changed = backends.changed() => if changed.is_err() { return },
            changed = operator.changed() => if changed.is_err() { return },
            changed = reachability.changed() => if changed.is_err() { return },
            changed = leaving.changed() => {
                if changed.is_err() {
                    return;
                }
                leaves_more = true;
            }
            () = sleep_until(next_end) => {}
        }
    }
}

/// Waits until a moment; for ever where there is none.
pub(crate) async fn sleep_until(moment: Option<Instant>) {
    match moment {
        Some(moment) => tokio::time::sleep_until(moment).await,
        None => std::future::pending().await,
    }
}

impl DirectoryTracker {
    fn view(&self, version: StoreVersion, leaving: &LeavingRegistry) -> DirectoryView {
        let entry = |(id, known): (&BackendId, &KnownBackend)| {
            Some((BackendId::clone(id), known.used_entry(leaving)?))
        };
        let entries = self.known.iter().filter_map(entry);
        let (drained, part) = (self.drained.names().clone(), self.part.clone());
        DirectoryView {
            version,
            entries: entries.collect(),
            drained_domains: drained,
            subset: part,
        }
    }

    /// Whether a row that is missing now may belong to a living backend server.
    fn may_lapse(&self, state: StoreReachability) -> bool {
        !state.is_reachable() || Instant::now() < self.lapse_end(state)
    }

    /// When entries that are missing count as gone, while the store is reachable. Those that were recorded after
    /// the copy from which the store came back are missing, too.
    fn lapse_end(&self, state: StoreReachability) -> Instant {
        let returned_at = self.departed.restored_at().map_or(state.since, |at| at.max(state.since));
        returned_at + self.settings.lapse_grace
    }

    /// When entries change by time alone: lapsed ones are gone, or ones that were held back are not any more.
    fn next_end(&self, state: StoreReachability) -> Option<Instant> {
        let any_lapsed = self.known.values().any(|known| known.lapsed);
        let lapse_end = (any_lapsed && state.is_reachable()).then(|| self.lapse_end(state));
        let held_until = |known: &KnownBackend| match known.held_back {
            Some(HeldBack::Gone { until }) => Some(until),
            Some(HeldBack::Leaves) | None => None,
        };
        let ends = lapse_end.into_iter().chain(self.drained.next_end());
        self.known.values().filter_map(held_until).chain(ends).min()
    }

    /// Lets rows count that have outlived those that nobody writes; whether there are any.
    fn release_held(&mut self) -> bool {
        let now = Instant::now();
        let mut any = false;
        for (id, known) in &mut self.known {
            if matches!(known.held_back, Some(HeldBack::Gone { until }) if until <= now) {
                log::info!("event=backend_believed backend={id} row={}", known.row_version);
                known.held_back = None;
                any = true;
            }
        }
        any
    }

    fn update(
        &mut self,
        belief: &TableReplica,
        leaving: &LeavingRegistry,
        state: StoreReachability,
    ) -> bool {
        if self.departed.note_version(belief.version, self.version) {
            let (before, version) = (self.version, belief.version);
            log::info!("event=directory_restored version={version} before={before}");
        }
        self.version = belief.version;
        let mut changed = self.part != belief.subset;
        if changed {
            let part = belief.subset.as_deref().map(ToString::to_string).unwrap_or_default();
            log::info!(
                "event=directory_part part=\"{part}\" rows={} version={}",
                belief.rows.len(),
                belief.version
            );
            self.part.clone_from(&belief.subset);
        }
        for (id, row) in &belief.rows {
            let Some(text) = &row.value else { continue };
            changed |= self.take_row(id, row.version, text);
        }
        changed |= self.release_held();
        let may_lapse = self.may_lapse(state);
        let mut gone = Vec::new();
        for (id, known) in &mut self.known {
            if belief.value(id).is_some() {
                continue;
            }
            // One that was about to leave has left.
            if may_lapse && known.is_ready(leaving) {
                if !known.lapsed {
                    log::info!("event=backend_lapsed backend={id} version={}", belief.version);
                }
                known.lapsed = true;
            } else {
                gone.push(BackendId::clone(id));
            }
        }
        for id in &gone {
            let Some(entry) = self.known.remove(id).and_then(|known| known.entry) else { continue };
            log::info!("event=backend_gone backend={id} version={}", belief.version);
            changed = true;
            // A row that is none of this host's part any more was not deleted.
            if belief.rows.contains_key(id) {
                self.departed.note_gone(entry.instance(), belief.version);
            }
        }
        changed
    }

    fn read_row(&self, id: &BackendId, text: &str) -> Result<BackendEntry, String> {
        let entry = (self.site.decode_backend)(id, text)?;
        if self.settings.own_addresses.contains(&entry.address) {
            return Err(format!("this host itself listens at {}", entry.address));
        }
        Ok(entry)
    }

    /// Why an entry that says ready is not believed: its row may be of the copy from which the store came back.
    fn held_back(&self, entry: &BackendEntry, row_version: StoreVersion) -> Option<HeldBack> {
        if !entry.is_ready() || !self.departed.may_be_copied(row_version) {
            return None;
        }
        let backend = entry.instance();
        match self.known.get(&backend.id) {
            Some(known) if known.row_version.era() == row_version.era() => known.held_back,
            Some(known) => known.leaves(&backend).then_some(HeldBack::Leaves),
            None => self.departed.find_gone(&backend, row_version),
        }
    }

    fn take_row(&mut self, id: &BackendId, row_version: StoreVersion, text: &str) -> bool {
        let known = self.known.get_mut(id);
        if let Some(known) = known
            && known.row_version == row_version
        {
            known.lapsed = false;
            return false;
        }
        let entry = match self.read_row(id, text) {
            Ok(entry) => Some(Arc::new(entry)),
            Err(cause) => {
                self.unreadable.note(&self.site.directory_table, id, row_version, &cause);
                None
            }
        };
        let held_back = entry.as_deref().and_then(|entry| self.held_back(entry, row_version));
        let known = KnownBackend { entry: entry.clone(), row_version, lapsed: false, held_back };
        let before = self.known.insert(BackendId::clone(id), known);
        let was_held = before.as_ref().and_then(|known| known.held_back);
        if let Some(cause) = held_back {
            log::info!("event=backend_held_back backend={id} row={row_version} cause={cause:?}");
        }
        let before = before.and_then(|known| known.entry);
        if before == entry && was_held.is_some() == held_back.is_some() {
            return false;
        }
        let Some(entry) = entry else {
            log::info!("event=backend_gone backend={id} version={row_version}");
            return true;
        };
        if let Some(before) = &before
            && BackendStart::are_different(before.start, entry.start)
        {
            log::info!("event=backend_restarted backend={id} row={row_version}");
        }
        let start = entry.start.map_or(String::new(), |start| format!(" start={start}"));
        log::info!(
            "event=backend_seen backend={id} service={} address={} failure_domain={} state={:?} stage={:?} row={row_version}{start}",
            entry.service,
            entry.address,
            entry.failure_domain,
            entry.state,
            entry.stage,
        );
        true
    }
}
