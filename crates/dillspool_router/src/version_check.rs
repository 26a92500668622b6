//! Confirms with the store which software versions of a service may have streams in progress.
//!
//! A host that was cut off or suspended for a moment has an outdated directory which still counts as
//! fresh. Its list of versions decides on a stream without a record only after the store has confirmed
//! it since the caller returned. See `docs/design/software_versions.md`.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_origins::OriginTracker;
use dillspool_platform::ReadRequest;
use dillspool_routing::SoftwareVersion;
use dillspool_schema::Name;
use dillspool_watch::SharedReplica;
use tokio::sync::Mutex;

use crate::fleet_tasks::HostCount;
use crate::site::SiteProtocol;
use crate::version_rows::{decode_versions, versions_key};

/// Longest time for the store's answers to one check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between two checks of a host, times the number of hosts. It bounds the calls to the store
/// while streams come back to all hosts.
const CHECK_INTERVAL_PER_HOST: Duration = Duration::from_millis(8);

/// The last check of a service; locked while one runs.
type LastCheck = Arc<Mutex<Option<FinishedCheck>>>;

#[derive(Clone, Copy, Debug)]
struct FinishedCheck {
    started_at: Moment,
    is_confirmed: bool,
}

/// Confirms the versions of services; requests that wait at the same time share a check.
#[derive(Clone)]
pub(crate) struct VersionCheck {
    site: SiteProtocol,
    backends: SharedReplica,
    host_count: HostCount,
    last_checks: Arc<std::sync::Mutex<HashMap<Name, LastCheck>>>,
}

impl VersionCheck {
    pub(crate) fn new(site: SiteProtocol, backends: SharedReplica, host_count: HostCount) -> Self {
        Self { site, backends, host_count, last_checks: Arc::default() }
    }

    fn last_check(&self, service: &Name) -> LastCheck {
        let mut checks = self.last_checks.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(checks.entry(Name::clone(service)).or_default())
    }

    /// Brings the versions of a service up to date with the store as of this call; returns whether the
    /// store answered.
    pub(crate) async fn confirm(&self, tracker: OriginTracker, service: Name) -> bool {
        let clock = tracker.clock();
        let asked_at = clock.now();
        let last_check = self.last_check(&service);
        let mut last_check = last_check.lock().await;
        if let Some(check) = *last_check {
            if check.started_at >= asked_at {
                return check.is_confirmed;
            }
            clock.sleep_until(check.started_at + self.check_interval()).await;
        }
        let started_at = clock.now();
        let known_before = tracker.find(&service, None).versions.versions;
        let reading = clock.timeout(CHECK_TIMEOUT, self.read(&tracker, &service)).await;
        let is_confirmed = matches!(reading, Ok(true));
        let known = tracker.find(&service, None).versions.versions;
        if !is_confirmed || known != known_before {
            log::info!("event=versions_outdated service={service} confirmed={is_confirmed}");
            tracker.record_out_of_step();
        }
        *last_check = Some(FinishedCheck { started_at, is_confirmed });
        is_confirmed
    }

    fn check_interval(&self) -> Duration {
        let hosts = u32::try_from(self.host_count.get().unwrap_or(1)).unwrap_or(u32::MAX);
        CHECK_INTERVAL_PER_HOST.saturating_mul(hosts)
    }

    async fn read(&self, tracker: &OriginTracker, service: &Name) -> bool {
        let key = versions_key(service);
        let changes = (self.site.watch.changes)(
            Arc::clone(&self.backends.table),
            self.backends.version(),
            Duration::ZERO,
        );
        let stored = (self.site.store.read)(ReadRequest { keys: vec![key] });
        let (Ok(delta), Ok(stored)) = tokio::join!(changes, stored) else { return false };
        self.backends.merge(&delta);
        // The directory is computed later, by another task.
        tracker.record_present(service, self.present_versions(service));
        for row in stored.rows.into_iter().flatten() {
            let Ok(versions) = decode_versions(&row.value) else { return false };
            tracker.record_stored(service, versions);
        }
        true
    }

    /// The versions of a service in this host's replica of the directory's table.
    fn present_versions(&self, service: &Name) -> BTreeSet<SoftwareVersion> {
        let replica = self.backends.subscribe();
        let replica = replica.borrow();
        let texts = replica.rows.iter().filter_map(|(key, row)| Some((key, row.value.as_ref()?)));
        let entries = texts.filter_map(|(key, text)| (self.site.decode_backend)(key, text).ok());
        entries.filter(|entry| entry.service == *service).map(|entry| entry.software).collect()
    }
}
