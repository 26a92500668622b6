//! Determines the backend servers in use from the directory's rows and from the responses of
//! backend servers.
//!
//! Rows of running backend servers may lapse while the store is unavailable. A row that disappears
//! around an outage therefore counts as deleted only some time after the store is back. Rows do not
//! change during an outage, so a backend server that announces in a response that it is leaving is
//! trusted over its row; see `docs/design/notices.md`. A store that was restored from a backup
//! shows outdated rows, which must not bring back a backend server that has left; see
//! `docs/design/store_eras.md`.

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

use crate::departed_backends::{DepartedBackends, StaleCause};
use crate::drained_domains::DrainedDomains;
use crate::site::SiteProtocol;
use crate::unreadable_rows::UnreadableRows;

/// Settings for reading the directory.
#[derive(Clone, Debug)]
pub struct DirectorySettings {
    /// Time after the store is back during which lapsed backend servers may register again.
    pub lapse_grace: Duration,
    /// Addresses on which this host listens. A row with one of them was not written by a
    /// backend server and is rejected: requests sent there would come back as new requests.
    pub own_addresses: Vec<SocketAddr>,
}

/// Content of the newest row of an ID.
struct BackendRecord {
    /// `None` if the row does not describe a backend server.
    entry: Option<Arc<BackendEntry>>,
    row_version: StoreVersion,
    /// Whether its row is currently missing.
    is_lapsed: bool,
    /// Set while its row, which was restored from a backup, is not trusted to be ready.
    stale_cause: Option<StaleCause>,
}

impl BackendRecord {
    /// Returns whether it accepts new requests, according to its last row and its own responses.
    fn is_ready(&self, leaving: &LeavingRegistry) -> bool {
        let is_ready =
            |entry: &Arc<BackendEntry>| entry.is_ready() && !leaving.is_leaving(&entry.instance());
        self.stale_cause.is_none() && self.entry.as_ref().is_some_and(is_ready)
    }

    /// Returns whether this instance was leaving, according to its row or because the row is not
    /// trusted.
    fn was_leaving(&self, backend: &BackendInstance) -> bool {
        self.entry.as_ref().is_some_and(|entry| {
            let is_same = !BackendStart::are_different(entry.start, backend.start);
            is_same && (!entry.is_ready() || self.stale_cause.is_some())
        })
    }

    /// Entry to publish: that of its row, but draining if the backend server announced that it is
    /// leaving or the row is not trusted.
    fn effective_entry(&self, leaving: &LeavingRegistry) -> Option<Arc<BackendEntry>> {
        let entry = self.entry.as_ref()?;
        if entry.is_ready() == self.is_ready(leaving) {
            return Some(Arc::clone(entry));
        }
        Some(Arc::new(BackendEntry { state: BackendState::Draining, ..BackendEntry::clone(entry) }))
    }
}

/// Inputs from which the directory is computed.
#[derive(Debug)]
pub struct DirectorySources {
    /// Rows of backend servers.
    pub backends: watch::Receiver<TableReplica>,
    /// The operator's rows.
    pub operator: watch::Receiver<TableReplica>,
    /// Whether the store is reachable.
    pub reachability: watch::Receiver<StoreReachability>,
    /// Backend servers that announced in a response that they are leaving.
    pub leaving: watch::Receiver<LeavingRegistry>,
}

struct DirectoryTracker {
    site: SiteProtocol,
    settings: DirectorySettings,
    unreadable: UnreadableRows,
    records: BTreeMap<BackendId, BackendRecord>,
    departed: DepartedBackends,
    /// Version of the table that was applied last.
    version: StoreVersion,
    drained: DrainedDomains,
    /// Subset of the table that this host stores.
    subset: Option<Arc<TableSubset>>,
}

/// Publishes the backend servers in use until a replica is closed.
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
        records: BTreeMap::new(),
        departed: DepartedBackends::default(),
        version: StoreVersion::default(),
        drained,
        subset: None,
    };
    // Whether a backend server announced that it is leaving since the last view.
    let mut leaving_changed = false;
    loop {
        let state = *reachability.borrow_and_update();
        let drains_changed = tracker.drained.update(&operator.borrow_and_update());
        {
            let (rows, leaving) = (backends.borrow_and_update(), leaving.borrow_and_update());
            let changed = tracker.update(&rows, &leaving, state);
            if changed || drains_changed || leaving_changed || leaving.has_changed() {
                view.send_replace(Arc::new(tracker.view(rows.version, &leaving)));
            }
            leaving_changed = false;
        }
        let next_expiry = tracker.next_expiry(state);
        tokio::select! {
            changed = backends.changed() => if changed.is_err() { return },
            changed = operator.changed() => if changed.is_err() { return },
            changed = reachability.changed() => if changed.is_err() { return },
            changed = leaving.changed() => {
                if changed.is_err() {
                    return;
                }
                leaving_changed = true;
            }
            () = sleep_until(next_expiry) => {}
        }
    }
}

/// Waits until a point in time, or forever if there is none.
pub(crate) async fn sleep_until(moment: Option<Instant>) {
    match moment {
        Some(moment) => tokio::time::sleep_until(moment).await,
        None => std::future::pending().await,
    }
}

impl DirectoryTracker {
    fn view(&self, version: StoreVersion, leaving: &LeavingRegistry) -> DirectoryView {
        let entry = |(id, record): (&BackendId, &BackendRecord)| {
            Some((BackendId::clone(id), record.effective_entry(leaving)?))
        };
        let entries = self.records.iter().filter_map(entry);
        let (drained_domains, subset) = (self.drained.names().clone(), self.subset.clone());
        DirectoryView { version, entries: entries.collect(), drained_domains, subset }
    }

    /// Returns whether a row that is missing now may belong to a running backend server.
    fn may_lapse(&self, state: StoreReachability) -> bool {
        !state.is_reachable() || Instant::now() < self.lapse_deadline(state)
    }

    /// When missing entries count as deleted while the store is reachable. Entries registered after
    /// the backup was taken are missing too when the store is restored from it.
    fn lapse_deadline(&self, state: StoreReachability) -> Instant {
        let returned_at = self.departed.restored_at().map_or(state.since, |at| at.max(state.since));
        returned_at + self.settings.lapse_grace
    }

    /// When entries next change without an event: a lapsed one is deleted, or an untrusted one
    /// becomes trusted.
    fn next_expiry(&self, state: StoreReachability) -> Option<Instant> {
        let any_lapsed = self.records.values().any(|record| record.is_lapsed);
        let lapse_deadline =
            (any_lapsed && state.is_reachable()).then(|| self.lapse_deadline(state));
        let stale_until = |record: &BackendRecord| match record.stale_cause {
            Some(StaleCause::Gone { until }) => Some(until),
            Some(StaleCause::Leaves) | None => None,
        };
        let deadlines = lapse_deadline.into_iter().chain(self.drained.next_expiry());
        self.records.values().filter_map(stale_until).chain(deadlines).min()
    }

    /// Trusts rows that still exist although an abandoned row would have lapsed by now; returns
    /// whether any changed.
    fn expire_stale(&mut self) -> bool {
        let now = Instant::now();
        let mut any = false;
        for (id, record) in &mut self.records {
            if matches!(record.stale_cause, Some(StaleCause::Gone { until }) if until <= now) {
                log::info!("event=backend_believed backend={id} row={}", record.row_version);
                record.stale_cause = None;
                any = true;
            }
        }
        any
    }

    fn update(
        &mut self,
        replica: &TableReplica,
        leaving: &LeavingRegistry,
        state: StoreReachability,
    ) -> bool {
        if self.departed.record_version(replica.version, self.version) {
            let (before, version) = (self.version, replica.version);
            log::info!("event=directory_restored version={version} before={before}");
        }
        self.version = replica.version;
        let mut changed = self.subset != replica.subset;
        if changed {
            let subset = replica.subset.as_deref().map(ToString::to_string).unwrap_or_default();
            log::info!(
                "event=directory_part part=\"{subset}\" rows={} version={}",
                replica.rows.len(),
                replica.version
            );
            self.subset.clone_from(&replica.subset);
        }
        for (id, row) in &replica.rows {
            let Some(text) = &row.value else { continue };
            changed |= self.apply_row(id, row.version, text);
        }
        changed |= self.expire_stale();
        let may_lapse = self.may_lapse(state);
        let mut gone = Vec::new();
        for (id, record) in &mut self.records {
            if replica.value(id).is_some() {
                continue;
            }
            // One that was already leaving is gone.
            if may_lapse && record.is_ready(leaving) {
                if !record.is_lapsed {
                    log::info!("event=backend_lapsed backend={id} version={}", replica.version);
                }
                record.is_lapsed = true;
            } else {
                gone.push(BackendId::clone(id));
            }
        }
        for id in &gone {
            let Some(entry) = self.records.remove(id).and_then(|record| record.entry) else {
                continue;
            };
            log::info!("event=backend_gone backend={id} version={}", replica.version);
            changed = true;
            // A row that is no longer in this host's subset was not deleted.
            if replica.rows.contains_key(id) {
                self.departed.record_gone(entry.instance(), replica.version);
            }
        }
        changed
    }

    fn decode_row(&self, id: &BackendId, text: &str) -> Result<BackendEntry, String> {
        let entry = (self.site.decode_backend)(id, text)?;
        if self.settings.own_addresses.contains(&entry.address) {
            return Err(format!("this host itself listens on {}", entry.address));
        }
        Ok(entry)
    }

    /// Why an entry in state ready is not trusted: its row may come from the backup that the store
    /// was restored from.
    fn stale_cause(&self, entry: &BackendEntry, row_version: StoreVersion) -> Option<StaleCause> {
        if !entry.is_ready() || !self.departed.may_predate_restore(row_version) {
            return None;
        }
        let backend = entry.instance();
        match self.records.get(&backend.id) {
            Some(record) if record.row_version.era() == row_version.era() => record.stale_cause,
            Some(record) => record.was_leaving(&backend).then_some(StaleCause::Leaves),
            None => self.departed.find_gone(&backend, row_version),
        }
    }

    fn apply_row(&mut self, id: &BackendId, row_version: StoreVersion, text: &str) -> bool {
        let record = self.records.get_mut(id);
        if let Some(record) = record
            && record.row_version == row_version
        {
            record.is_lapsed = false;
            return false;
        }
        let entry = match self.decode_row(id, text) {
            Ok(entry) => Some(Arc::new(entry)),
            Err(cause) => {
                self.unreadable.record(&self.site.directory_table, id, row_version, &cause);
                None
            }
        };
        let stale_cause = entry.as_deref().and_then(|entry| self.stale_cause(entry, row_version));
        let record =
            BackendRecord { entry: entry.clone(), row_version, is_lapsed: false, stale_cause };
        let previous = self.records.insert(BackendId::clone(id), record);
        let was_stale = previous.as_ref().and_then(|record| record.stale_cause);
        if let Some(cause) = stale_cause {
            log::info!("event=backend_held_back backend={id} row={row_version} cause={cause:?}");
        }
        let previous = previous.and_then(|record| record.entry);
        if previous == entry && was_stale.is_some() == stale_cause.is_some() {
            return false;
        }
        let Some(entry) = entry else {
            log::info!("event=backend_gone backend={id} version={row_version}");
            return true;
        };
        if let Some(previous) = &previous
            && BackendStart::are_different(previous.start, entry.start)
        {
            log::info!("event=backend_restarted backend={id} row={row_version}");
        }
        let start = entry.start.map_or(String::new(), |start| format!(" start={start}"));
        log::info!(
            "event=backend_seen backend={id} service={} software={} address={} failure_domain={} state={:?} stage={:?} row={row_version}{start}",
            entry.service,
            entry.software,
            entry.address,
            entry.failure_domain,
            entry.state,
            entry.stage,
        );
        true
    }
}
