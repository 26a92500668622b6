//! The call queues of all plain services on one host, and the callbacks of queued calls.
//!
//! Load pattern: a service with fewer slots than there are hosts. Each host sees a small part of
//! the calls, and most slots are occupied by calls of other hosts. Hosts that decide independently
//! would send one server several times its capacity, so one host decides for all.

mod state;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_calls::{CallDecision, CallId, CallOutcome, CallPolicy, CallRequest, QueueSnapshot};
use dillspool_io::HostClock;
use dillspool_routing::{BackendInstance, DirectoryView, RoutingConfig};
use dillspool_schema::Name;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use self::state::{
    CallRecord, Decided, SchedulerState, ServiceQueue, ServiceView, TICKET_BITS, plain_services,
};

/// Interval between two readings of the number of hosts.
const HOST_COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum sleep between two polls of the queues, whatever deadline they report.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// For which services one host decides on all calls, and how. The same on all hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallSchedulerSettings {
    /// One host decides while the ready backend servers have fewer slots than this times the number
    /// of hosts; 0 disables it.
    pub slots_per_host: f64,
    /// Limits of the queues.
    pub policy: CallPolicy,
}

/// Decides on calls for this host, and for other hosts while it is their scheduler.
#[derive(Clone)]
pub struct CallScheduler {
    state: Arc<Mutex<SchedulerState>>,
    /// Services for whose calls one host decides.
    scheduled: Arc<watch::Sender<BTreeSet<Name>>>,
    /// Wakes the task that polls the queues.
    changed: Arc<Notify>,
    clock: HostClock,
}

impl fmt::Debug for CallScheduler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallDesk")
    }
}

impl CallScheduler {
    /// Creates a scheduler without services; `seed` differs between hosts.
    pub fn new(settings: CallSchedulerSettings, seed: u64, clock: HostClock) -> Self {
        let state = SchedulerState {
            settings,
            seed,
            clock: clock.clone(),
            views: BTreeMap::new(),
            services: HashMap::new(),
            calls: HashMap::new(),
            wakes_at: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            scheduled: Arc::default(),
            changed: Arc::default(),
            clock,
        }
    }

    /// Returns the id of a call by the number of its link; 0 stands for this host itself.
    pub(crate) fn id_on_link(number: u64, ticket: u64) -> CallId {
        CallId((number << TICKET_BITS) | (ticket & ((1 << TICKET_BITS) - 1)))
    }

    pub(crate) fn clock(&self) -> &HostClock {
        &self.clock
    }

    fn with<T>(&self, run: impl FnOnce(&mut SchedulerState) -> T) -> T {
        run(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes a service's queue, and notifies the waiters of calls that the change decides.
    fn update_service(&self, name: &Name, run: impl FnOnce(&mut SchedulerState) -> Decided) {
        let (decided, needs_wakeup) = self.with(|state| (run(state), state.needs_wakeup(name)));
        for (waiter, decision) in decided {
            waiter(decision);
        }
        if needs_wakeup {
            self.changed.notify_one();
        }
    }

    /// Replaces the plain services and their backend servers, and selects those for which one of
    /// `hosts` hosts decides.
    pub fn set_services(
        &self,
        config: &RoutingConfig,
        directory: &DirectoryView,
        hosts: Option<usize>,
    ) {
        let views = plain_services(config, directory);
        let before = self.scheduled.borrow().clone();
        let (decided, scheduled, switched) = self.with(|state| {
            let should = |(name, view): (&Name, &ServiceView)| {
                let was = before.contains(name);
                hosts.map_or(was, |hosts| state.should_schedule(view, hosts, was))
            };
            let scheduled: BTreeSet<_> = views
                .iter()
                .filter(|service| should(*service))
                .map(|(name, _view)| Name::clone(name))
                .collect();
            let switched: Vec<_> = scheduled
                .symmetric_difference(&before)
                .map(|name| (Name::clone(name), views.get(name).map_or(0, ServiceView::slots)))
                .collect();
            let decided = state.set_views(views);
            state.drop_unused(&scheduled);
            (decided, scheduled, switched)
        });
        for (waiter, decision) in decided {
            waiter(decision);
        }
        for (name, slots) in &switched {
            let by = if scheduled.contains(name) { "one_host" } else { "each_host" };
            log::info!(
                "event=calls_scheduled service={name} by={by} slots={slots} hosts={}",
                hosts.unwrap_or_default(),
            );
        }
        if !switched.is_empty() {
            self.scheduled.send_replace(scheduled);
        }
    }

    /// Follows the configuration, the directory and the number of hosts, and polls the queues,
    /// until `cancel`.
    pub async fn run(
        self,
        mut config: watch::Receiver<Option<Arc<RoutingConfig>>>,
        mut directory: watch::Receiver<Arc<DirectoryView>>,
        hosts: impl Fn() -> Option<usize> + Send + Sync + 'static,
        cancel: CancellationToken,
    ) {
        if self.with(|state| state.settings.slots_per_host) <= 0.0 {
            return;
        }
        let mut counted_at = self.clock.now();
        loop {
            let known = config.borrow_and_update().clone();
            let view = directory.borrow_and_update().clone();
            // An unknown directory would show all services without backend servers.
            if let Some(known) = known.filter(|_known| view.version.is_known()) {
                self.set_services(&known, &view, hosts());
            }
            let count_at = counted_at + HOST_COUNT_INTERVAL;
            loop {
                let due = self.with(|state| {
                    let least = state.clock.now() + MIN_SLEEP;
                    state.wakes_at = state.next_deadline().map(|due| due.max(least));
                    state.wakes_at
                });
                let wake = due.map_or(count_at, |due| due.min(count_at));
                tokio::select! {
                    changed = config.changed() => if changed.is_err() { return } else { break },
                    changed = directory.changed() => if changed.is_err() { return } else { break },
                    () = self.changed.notified() => {}
                    () = self.clock.sleep_until(wake) => self.notify_waiters(),
                    () = cancel.cancelled() => return,
                }
                if self.clock.now() >= count_at {
                    counted_at = self.clock.now();
                    break;
                }
            }
        }
    }

    fn notify_waiters(&self) {
        for (waiter, decision) in self.with(SchedulerState::poll_all) {
            waiter(decision);
        }
    }

    /// Returns whether one host decides on the calls of a service.
    pub fn is_scheduled(&self, service: &str) -> bool {
        self.scheduled.borrow().contains(service)
    }

    /// Watches the services for whose calls one host decides.
    pub(crate) fn scheduled(&self) -> watch::Receiver<BTreeSet<Name>> {
        self.scheduled.subscribe()
    }

    /// Returns whether all backend servers of a service are known, so that its calls can be decided
    /// here.
    pub fn has_service(&self, service: &str) -> bool {
        self.with(|state| state.views.get(service).is_some_and(|view| !view.is_subset))
    }

    /// Counts a host as served until the guard is dropped, which also removes the host's calls.
    pub(crate) fn serve_host(&self, service: &Name, number: u64) -> ServedGuard {
        self.update_served(service, |served| served + 1);
        ServedGuard { scheduler: self.clone(), service: Name::clone(service), number }
    }

    fn update_served(&self, service: &Name, count: impl FnOnce(usize) -> usize) {
        self.update_service(service, |state| {
            if let Some(entry) = state.service(service) {
                entry.served = count(entry.served);
                entry.set_share();
            }
            state.poll_service(service)
        });
    }

    /// Returns the number of hosts whose calls are decided here, this host included.
    pub(crate) fn host_count(&self, service: &Name) -> usize {
        self.with(|state| state.services.get(service).map_or(0, |entry| entry.served) + 1)
    }

    /// Sets the share of the servers' limits that this host may use while it decides for itself
    /// only.
    pub(crate) fn set_local_share(&self, service: &Name, share: f64) {
        self.with(|state| {
            if let Some(entry) = state.service(service) {
                entry.local_share = share;
                entry.set_share();
            }
        });
    }

    /// Decides on a call. If the decision is to wait, `waiter` is called with the final decision
    /// later. `None` if the service is not known.
    pub(crate) fn submit(
        &self,
        id: CallId,
        service: &Name,
        request: CallRequest,
        waiter: impl FnOnce(CallDecision) + Send + 'static,
    ) -> Option<CallDecision> {
        let mut decision = None;
        self.update_service(service, |state| {
            let Some((decided, others)) = state.submit(id, service, request, Box::new(waiter))
            else {
                return Vec::new();
            };
            decision = Some(decided);
            others
        });
        decision
    }

    /// Adopts a call that was decided elsewhere and has been in flight for `ran`.
    pub(crate) fn adopt(
        &self,
        id: CallId,
        service: &Name,
        request: CallRequest,
        backend: BackendInstance,
        ran: Duration,
    ) {
        self.update_service(service, |state| {
            let now = state.clock.now();
            if let Some(entry) = state.service(service) {
                entry.queue.adopt(id, request, backend, ran, now);
                let record = CallRecord { service: Name::clone(service), waiter: None };
                state.calls.insert(id, record);
            }
            Vec::new()
        });
    }

    /// Records how a call ended; removes it from the queue if it is still waiting.
    pub(crate) fn complete(&self, id: CallId, end: CallOutcome, took: Duration) {
        let Some(service) = self.with(|state| Some(Name::clone(&state.calls.get(&id)?.service)))
        else {
            return;
        };
        self.update_service(&service, |state| {
            state.remove(id, |queue, now| queue.complete(id, end, took, now))
        });
    }

    /// Returns a snapshot of each queue in use.
    pub fn snapshots(&self) -> Vec<(Name, QueueSnapshot)> {
        self.with(|state| {
            let now = state.clock.now();
            let read = |(name, service): (&Name, &ServiceQueue)| {
                (Name::clone(name), service.queue.snapshot(now))
            };
            state.services.iter().map(read).collect()
        })
    }
}

/// Counts a served host until it is dropped.
pub(crate) struct ServedGuard {
    scheduler: CallScheduler,
    service: Name,
    number: u64,
}

impl Drop for ServedGuard {
    fn drop(&mut self) {
        // A live host reports its calls to the next scheduler; calls of a dead host are over.
        self.scheduler
            .update_service(&self.service, |state| state.remove_link(&self.service, self.number));
        self.scheduler.update_served(&self.service, |served| served.saturating_sub(1));
    }
}
