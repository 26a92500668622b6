//! Keeps in the store which software versions of each pool may have streams in progress, with one row
//! per pool.
//!
//! A host that starts knows only the versions that it sees. With these rows it also knows those whose
//! engines have left just before, even if all hosts were lost. The scheduler of a pool writes its row,
//! only when the versions change. See `docs/design/software_versions.md`.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_origins::OriginTracker;
use dillspool_platform::{RowPrecondition, RowWrite, StoreVersion, TableStore};
use dillspool_routing::SoftwareVersion;
use dillspool_scheduler::ScheduleClient;
use dillspool_schema::Name;
use dillspool_watch::TableReplica;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::unreadable_rows::UnreadableRows;

/// Key prefix of these rows.
const VERSIONS_KEY_PREFIX: &str = "versions/";
/// Interval between two comparisons of the rows with what this host knows.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time in seconds after which a host that is not the scheduler writes a row: the scheduler may run an
/// earlier build, or may not reach the store. It is random, so that one host writes what the others
/// then need not write.
const FALLBACK_DELAY_S: std::ops::Range<f64> = 5.0..20.0;
/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Content of a row.
#[derive(Debug, Deserialize, Serialize)]
struct VersionRow {
    /// Versions that may have streams in progress.
    versions: BTreeSet<Name>,
}

/// Writes the rows of the pools that this host schedules, and applies all rows.
pub(crate) struct VersionRecorder {
    pub(crate) table: Name,
    pub(crate) store: TableStore,
    pub(crate) rows: watch::Receiver<TableReplica>,
    pub(crate) unreadable: UnreadableRows,
    pub(crate) tracker: OriginTracker,
    pub(crate) schedule: ScheduleClient,
}

/// What the rows say, and since when that differs from what this host knows.
#[derive(Default)]
struct RecorderState {
    row_versions: HashMap<Name, StoreVersion>,
    /// Versions by service, as stored.
    stored: HashMap<Name, BTreeSet<SoftwareVersion>>,
    /// When this host writes the row of a service unless another one has.
    write_at: HashMap<Name, Moment>,
}

impl VersionRecorder {
    /// Runs until `cancel`.
    pub(crate) async fn run(mut self, cancel: CancellationToken) {
        tokio::select! {
            () = self.record() => {}
            () = cancel.cancelled() => {}
        }
    }

    async fn record(&mut self) {
        let mut state = RecorderState::default();
        loop {
            if self.take_rows(&mut state) {
                self.write_due(&mut state).await;
            }
            tokio::select! {
                changed = self.rows.changed() => if changed.is_err() { return },
                // The row has to name a version before all hosts that know its streams are lost.
                () = self.tracker.versions_changed() => {}
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
        }
    }

    /// Applies the rows that changed; returns false while the table is unknown.
    fn take_rows(&mut self, state: &mut RecorderState) -> bool {
        let replica = self.rows.borrow_and_update();
        for (key, row) in replica.rows.range(Name::from(VERSIONS_KEY_PREFIX)..) {
            let Some(service) = key.strip_prefix(VERSIONS_KEY_PREFIX) else { break };
            if state.row_versions.insert(Name::clone(key), row.version) == Some(row.version) {
                continue;
            }
            let service = Name::from(service);
            state.stored.remove(&service);
            let Some(text) = &row.value else { continue };
            match decode_versions(text) {
                Ok(versions) => {
                    self.tracker.record_stored(&service, versions.iter().cloned());
                    state.stored.insert(service, versions);
                }
                Err(error) => {
                    self.unreadable.record(&self.table, key, row.version, &error.to_string());
                }
            }
        }
        replica.version.is_known()
    }

    /// Writes the rows that differ from what this host knows, and are this host's to write.
    async fn write_due(&self, state: &mut RecorderState) {
        for (service, versions) in self.tracker.complete_services() {
            if !self.schedule.is_pool(&service) {
                continue;
            }
            if state.stored.get(&service) == Some(&versions) {
                state.write_at.remove(&service);
                continue;
            }
            let now = self.tracker.clock().now();
            let write_at = state.write_at.entry(Name::clone(&service));
            let is_fallback_due = *write_at.or_insert_with(|| now + fallback_delay()) <= now;
            if !is_fallback_due && !self.schedule.is_scheduler_for(&service) {
                continue;
            }
            if self.write(&service, &versions).await {
                state.stored.insert(Name::clone(&service), versions);
                state.write_at.remove(&service);
            } else {
                state.write_at.insert(service, now + fallback_delay());
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn write(&self, service: &Name, versions: &BTreeSet<SoftwareVersion>) -> bool {
        let names = versions.iter().map(|version| Name::clone(&version.0)).collect();
        let listed = versions.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
        let value = serde_json::to_string(&VersionRow { versions: names }).ok();
        let key = versions_key(service);
        let write = RowWrite { key, expect: RowPrecondition::Any, value };
        match self.store.commit(vec![write]).await {
            Ok(_reply) => {
                log::info!("event=versions_recorded service={service} versions={listed}");
                true
            }
            Err(error) => {
                log::info!("event=versions_not_recorded service={service} cause=\"{error}\"");
                false
            }
        }
    }
}

/// Key of the row of a service.
pub(crate) fn versions_key(service: &str) -> Name {
    format!("{VERSIONS_KEY_PREFIX}{service}").into()
}

/// Decodes a row.
pub(crate) fn decode_versions(text: &str) -> serde_json::Result<BTreeSet<SoftwareVersion>> {
    let row: VersionRow = serde_json::from_str(text)?;
    Ok(row.versions.into_iter().map(SoftwareVersion).collect())
}

fn fallback_delay() -> Duration {
    Duration::from_secs_f64(rand::rng().random_range(FALLBACK_DELAY_S))
}
