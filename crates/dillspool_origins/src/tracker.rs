//! Shares an [`OriginRegistry`] and a [`VersionHistory`] between all requests of a host.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dillspool_io::{BoxFuture, HostClock};
use dillspool_moment::Moment;
use dillspool_routing::{DirectoryView, SoftwareVersion};
use dillspool_schema::Name;
use tokio::sync::Notify;

use crate::decision::OriginAnswer;
use crate::history::{ServiceVersions, VersionHistory};
use crate::registry::{OriginRecord, OriginRegistry};

/// Maximum number of records queued for other hosts, and sent at once when a service begins to have
/// several versions; the oldest are dropped first.
const MAX_QUEUED_RECORDS: usize = 4_096;

/// Time for which records are shared at least, so that a directory that is stale now and then does not
/// have all of them sent again and again.
const MIN_SHARED_TIME: Duration = Duration::from_secs(10);

/// Time after which a host that was out of step has its links again, and what the other hosts know of
/// streams.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Brings the versions of a service that a tracker knows up to date with the store; returns whether the
/// store answered.
pub type ConfirmVersionsFn = dyn Fn(OriginTracker, Name) -> BoxFuture<bool> + Send + Sync;

/// What a tracker depends on.
#[derive(Clone)]
pub struct OriginSettings {
    /// Whether the fleet starts for the first time, so that no stream is in progress.
    pub is_first_start: bool,
    /// Whether this host's directory shows every engine that may run a request now.
    pub is_directory_fresh: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Confirms with the store which versions there are.
    pub confirm_versions: Arc<ConfirmVersionsFn>,
    /// The clock of all ages.
    pub clock: HostClock,
}

impl fmt::Debug for OriginSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OriginSettings")
            .field("is_first_start", &self.is_first_start)
            .finish_non_exhaustive()
    }
}

impl OriginSettings {
    /// Settings of a host in a new fleet, whose directory is always fresh.
    pub fn new_fleet(clock: HostClock) -> Self {
        Self {
            is_first_start: true,
            is_directory_fresh: Arc::new(|| true),
            confirm_versions: Arc::new(|_tracker, _service| Box::pin(async { true })),
            clock,
        }
    }
}

struct TrackerState {
    registry: OriginRegistry,
    history: VersionHistory,
    /// Services of which this host knows only a part of the backend servers.
    partial: BTreeSet<Name>,
    /// Services for which the scheduler asks for records.
    requested: BTreeSet<Name>,
    /// Services whose records all hosts need, and since when.
    shared: HashMap<Name, Moment>,
    outgoing: VecDeque<OriginRecord>,
    /// Whether the directory has been fresh.
    was_fresh: bool,
    /// When this host was last found to be out of step with the store.
    out_of_step_at: Option<Moment>,
}

/// Wakes the tasks that act on a tracker's changes.
#[derive(Debug, Default)]
struct TrackerSignals {
    /// Records are queued for other hosts.
    records: Notify,
    /// A service has a version that it did not have.
    versions: Notify,
}

/// Tracks which software version began each stream.
#[derive(Clone)]
pub struct OriginTracker {
    state: Arc<Mutex<TrackerState>>,
    settings: Arc<OriginSettings>,
    signals: Arc<TrackerSignals>,
}

impl fmt::Debug for OriginTracker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OriginTracker")
    }
}

impl OriginTracker {
    /// Creates a tracker without any streams.
    pub fn new(settings: OriginSettings) -> Self {
        let history = VersionHistory::new(settings.is_first_start, settings.clock.now());
        let state = TrackerState {
            registry: OriginRegistry::default(),
            history,
            partial: BTreeSet::new(),
            requested: BTreeSet::new(),
            shared: HashMap::new(),
            outgoing: VecDeque::new(),
            was_fresh: false,
            out_of_step_at: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            settings: Arc::new(settings),
            signals: Arc::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, TrackerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the first event of a stream, or a later one; `software` is `None` if the version is in
    /// doubt.
    pub fn record(&self, service: &Name, attempt: &Name, software: Option<SoftwareVersion>) {
        let at = self.settings.clock.now();
        let (service, attempt) = (Name::clone(service), Name::clone(attempt));
        let mut state = self.state();
        let record = OriginRecord { attempt, service, software, at };
        if !state.registry.record(record.clone(), at) {
            return;
        }
        self.update_sharing(&mut state, &record.service);
        state.queue(record);
        self.notify_if_due(&state);
    }

    /// Applies a record of another host; returns whether it was new.
    pub fn apply_record(&self, record: OriginRecord) -> bool {
        let now = self.settings.clock.now();
        self.state().registry.record(record, now)
    }

    /// What this host knows of a stream of `service`, and of the service's versions.
    pub fn find(&self, service: &str, attempt: Option<&str>) -> OriginAnswer {
        let now = self.settings.clock.now();
        let mut state = self.state();
        if (self.settings.is_directory_fresh)() {
            state.was_fresh = true;
        } else if state.was_fresh {
            state.out_of_step_at = Some(now);
        }
        let record = attempt.and_then(|attempt| state.registry.get(attempt, now)).cloned();
        let versions = self.complete_versions(&state, service);
        OriginAnswer { record, versions }
    }

    /// Brings the versions of a service up to date with the store as of this call; returns whether the
    /// store answered.
    pub async fn confirm_versions(&self, service: &Name) -> bool {
        (self.settings.confirm_versions)(self.clone(), Name::clone(service)).await
    }

    /// Records that this host did not know what the store knows, or cannot learn it.
    pub fn record_out_of_step(&self) {
        self.state().out_of_step_at = Some(self.settings.clock.now());
    }

    /// Whether other hosts may know streams that this host would know if it had been in step.
    pub fn is_out_of_step(&self) -> bool {
        let now = self.settings.clock.now();
        self.state().out_of_step_at.is_some_and(|at| now.since(at) < SETTLE_TIME)
    }

    /// The versions of `service`; complete only while this host knows all of its backend servers.
    fn complete_versions(&self, state: &TrackerState, service: &str) -> ServiceVersions {
        let mut versions = state.history.versions(service, self.settings.clock.now());
        versions.is_complete &=
            !state.partial.contains(service) && (self.settings.is_directory_fresh)();
        versions
    }

    /// Records the current directory.
    pub fn observe_directory(&self, view: &DirectoryView) {
        let now = self.settings.clock.now();
        let mut state = self.state();
        if state.history.observe(view, now) {
            self.signals.versions.notify_one();
        }
        let services: Vec<_> = state.history.services().cloned().collect();
        let is_partial = |service: &&Name| {
            view.subset.as_ref().is_some_and(|subset| subset.for_class(service).sampling_bits > 0)
        };
        state.partial = services.iter().filter(is_partial).cloned().collect();
        for service in &services {
            self.update_sharing(&mut state, service);
        }
        self.notify_if_due(&state);
    }

    /// Applies the longest time for which a route lets a request run.
    pub fn set_longest_timeout(&self, timeout: Duration) {
        self.state().history.set_longest_timeout(timeout);
    }

    /// Records versions of a service that the directory's table has.
    pub fn record_present(
        &self,
        service: &Name,
        versions: impl IntoIterator<Item = SoftwareVersion>,
    ) {
        let mut state = self.state();
        if state.history.record_present(service, versions) {
            self.signals.versions.notify_one();
        }
        self.update_sharing(&mut state, service);
        self.notify_if_due(&state);
    }

    /// Records the versions that the store names for a service.
    pub fn record_stored(
        &self,
        service: &Name,
        versions: impl IntoIterator<Item = SoftwareVersion>,
    ) {
        let mut state = self.state();
        state.history.record_stored(service, versions, self.settings.clock.now());
        self.update_sharing(&mut state, service);
        self.notify_if_due(&state);
    }

    /// Records whether the scheduler of a service asks for records.
    pub fn set_requested(&self, service: &Name, is_requested: bool) {
        let mut state = self.state();
        let has_changed = if is_requested {
            state.requested.insert(Name::clone(service))
        } else {
            state.requested.remove(service)
        };
        if !has_changed {
            return;
        }
        self.update_sharing(&mut state, service);
        self.notify_if_due(&state);
    }

    /// Whether all hosts need the records of a service: several versions may have begun its streams,
    /// or it is not known that only one has. Otherwise a few hosts keep them, in case there will be
    /// several.
    pub fn is_shared(&self, service: &Name) -> bool {
        let mut state = self.state();
        let is_shared = self.update_sharing(&mut state, service);
        self.notify_if_due(&state);
        is_shared
    }

    /// Determines whether all hosts need the records of a service, and queues all of them when that
    /// begins.
    fn update_sharing(&self, state: &mut TrackerState, service: &Name) -> bool {
        let now = self.settings.clock.now();
        let is_shared = state.requested.contains(service)
            || state.history.versions(service, now).versions.len() > 1
            || !(self.settings.is_directory_fresh)();
        let since = state.shared.get(service).copied();
        if let Some(since) = since {
            if !is_shared && now.since(since) >= MIN_SHARED_TIME {
                state.shared.remove(service);
            }
        } else if is_shared {
            state.shared.insert(Name::clone(service), now);
            log::info!("event=origins_shared service={service}");
            for record in state.newest(MAX_QUEUED_RECORDS, now, |record| record.service == *service)
            {
                state.queue(record);
            }
        }
        state.shared.contains_key(service)
    }

    /// The newest `max_records` records of services whose records all hosts need.
    pub fn newest_shared(&self, max_records: usize) -> Vec<OriginRecord> {
        let now = self.settings.clock.now();
        let state = self.state();
        state.newest(max_records, now, |record| state.shared.contains_key(&record.service))
    }

    fn notify_if_due(&self, state: &TrackerState) {
        if !state.outgoing.is_empty() {
            self.signals.records.notify_one();
        }
    }

    /// Waits for records to send.
    pub async fn changed(&self) {
        self.signals.records.notified().await;
    }

    /// Waits until a service has a version that it did not have.
    pub async fn versions_changed(&self) {
        self.signals.versions.notified().await;
    }

    /// Takes the records queued since the last call, by service.
    pub fn take_outgoing(&self) -> HashMap<Name, Vec<OriginRecord>> {
        let mut outgoing: HashMap<Name, Vec<OriginRecord>> = HashMap::new();
        for record in std::mem::take(&mut self.state().outgoing) {
            outgoing.entry(Name::clone(&record.service)).or_default().push(record);
        }
        outgoing
    }

    /// The versions of each service that may have streams in progress, where this host can tell.
    pub fn complete_services(&self) -> Vec<(Name, BTreeSet<SoftwareVersion>)> {
        let state = self.state();
        let services = state.history.services().filter_map(|service| {
            let known = self.complete_versions(&state, service);
            known.is_complete.then(|| (Name::clone(service), known.versions))
        });
        services.collect()
    }

    /// Number of streams remembered, and of services whose records all hosts need.
    pub fn counts(&self) -> (usize, usize) {
        let state = self.state();
        (state.registry.count(), state.shared.len())
    }

    /// The clock of all ages.
    pub fn clock(&self) -> &HostClock {
        &self.settings.clock
    }
}

impl TrackerState {
    fn newest(
        &self,
        max_records: usize,
        now: Moment,
        is_selected: impl Fn(&OriginRecord) -> bool,
    ) -> Vec<OriginRecord> {
        let records = self.registry.newest(usize::MAX, now).filter(|record| is_selected(record));
        records.take(max_records).cloned().collect()
    }

    fn queue(&mut self, record: OriginRecord) {
        if self.outgoing.len() >= MAX_QUEUED_RECORDS {
            self.outgoing.pop_front();
        }
        self.outgoing.push_back(record);
    }
}
