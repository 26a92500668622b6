//! From the directory's rows to the backend servers in use.
//!
//! Rows of living backend servers may lapse while the store is away. A row that goes missing
//! around an outage therefore counts as gone only some time after the store's return.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dillspool_routing::{BackendEntry, BackendId, DirectoryView};
use dillspool_watch::{StoreReach, TableBelief};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::site::SiteProtocol;

/// How the directory is read.
#[derive(Clone, Copy, Debug)]
pub struct DirectorySettings {
    /// Time after the store's return in which lapsed backend servers may register again.
    pub lapse_grace: Duration,
}

struct KnownBackend {
    entry: Arc<BackendEntry>,
    row_version: u64,
    /// Whether its row is missing, for now.
    lapsed: bool,
}

struct DirectoryTracker {
    site: SiteProtocol,
    settings: DirectorySettings,
    known: BTreeMap<BackendId, KnownBackend>,
}

/// Publishes the backend servers in use until the belief ends.
pub async fn track_directory(
    site: SiteProtocol,
    settings: DirectorySettings,
    mut belief: watch::Receiver<TableBelief>,
    mut reach: watch::Receiver<StoreReach>,
    view: watch::Sender<Arc<DirectoryView>>,
) {
    let mut tracker = DirectoryTracker { site, settings, known: BTreeMap::new() };
    loop {
        let state = *reach.borrow_and_update();
        let (changed, version) = {
            let rows = belief.borrow_and_update();
            (tracker.update(&rows, state), rows.version)
        };
        if changed {
            view.send_replace(Arc::new(tracker.view(version)));
        }
        let lapse_end = tracker.lapse_end(state);
        tokio::select! {
            changed = belief.changed() => if changed.is_err() { return },
            changed = reach.changed() => if changed.is_err() { return },
            () = sleep_until(lapse_end) => {}
        }
    }
}

async fn sleep_until(moment: Option<Instant>) {
    match moment {
        Some(moment) => tokio::time::sleep_until(moment).await,
        None => std::future::pending().await,
    }
}

impl DirectoryTracker {
    fn view(&self, version: u64) -> DirectoryView {
        let entries = self.known.iter();
        let entries = entries.map(|(id, known)| (BackendId::clone(id), Arc::clone(&known.entry)));
        DirectoryView { version, entries: entries.collect() }
    }

    /// Whether a row that is missing now may belong to a living backend server.
    fn may_lapse(&self, state: StoreReach) -> bool {
        !state.is_reachable() || state.since.elapsed() < self.settings.lapse_grace
    }

    /// When lapsed entries count as gone, while the store is reachable and there are any.
    fn lapse_end(&self, state: StoreReach) -> Option<Instant> {
        let any = self.known.values().any(|known| known.lapsed);
        (any && state.is_reachable()).then(|| state.since + self.settings.lapse_grace)
    }

    fn update(&mut self, belief: &TableBelief, state: StoreReach) -> bool {
        let mut changed = false;
        for (id, row) in &belief.rows {
            let Some(text) = &row.value else { continue };
            changed |= self.take_row(id, row.version, text);
        }
        let may_lapse = self.may_lapse(state);
        let mut gone = Vec::new();
        for (id, known) in &mut self.known {
            if belief.value(id).is_some() {
                continue;
            }
            // One that was about to leave has left.
            if may_lapse && known.entry.is_ready() {
                if !known.lapsed {
                    log::info!("event=backend_lapsed backend={id} version={}", belief.version);
                }
                known.lapsed = true;
            } else {
                gone.push(BackendId::clone(id));
            }
        }
        for id in &gone {
            log::info!("event=backend_gone backend={id} version={}", belief.version);
            self.known.remove(id);
        }
        changed || !gone.is_empty()
    }

    fn take_row(&mut self, id: &BackendId, row_version: u64, text: &str) -> bool {
        let known = self.known.get_mut(id);
        if let Some(known) = known
            && known.row_version == row_version
        {
            known.lapsed = false;
            return false;
        }
        let entry = match (self.site.decode_backend)(id, text) {
            Ok(entry) => Arc::new(entry),
            Err(cause) => {
                log::error!(
                    "event=backend_malformed backend={id} row={row_version} cause=\"{cause}\""
                );
                return false;
            }
        };
        let before = self.known.get(id).map(|known| Arc::clone(&known.entry));
        let known = KnownBackend { entry: Arc::clone(&entry), row_version, lapsed: false };
        self.known.insert(BackendId::clone(id), known);
        if before.as_ref() == Some(&entry) {
            return false;
        }
        log::info!(
            "event=backend_seen backend={id} service={} address={} failure_domain={} state={:?} stage={:?} row={row_version}",
            entry.service,
            entry.address,
            entry.failure_domain,
            entry.state,
            entry.stage,
        );
        true
    }
}
