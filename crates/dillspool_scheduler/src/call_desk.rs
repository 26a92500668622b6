//! The call queues of all plain services on one host, and those who wait for their decisions.
//!
//! Load pattern: a service with fewer slots than there are hosts. Each host sees a small part of its calls and the
//! slots of all are taken by others, so hosts that decide by themselves send one server several times what it
//! takes. For such a service one host decides for all.

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
    CallRecord, Decided, DeskState, ServiceDesk, ServiceView, TICKET_BITS, plain_services,
};

/// Time between two looks at the number of hosts.
const COUNT_EVERY: Duration = Duration::from_secs(1);
/// Least pause between two looks at calls that wait, whatever the queues foresee.
const LEAST_PAUSE: Duration = Duration::from_millis(1);
/// Which services' calls one host decides on, and how; the same on all hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallSchedulerSettings {
    /// One host decides where the slots of the ready backend servers are fewer than this times the hosts; 0 for
    /// none.
    pub slots_per_host: f64,
    /// Limits of the queues.
    pub policy: CallPolicy,
}

/// Decides on calls for this host, and for others when it decides for all.
#[derive(Clone)]
pub struct CallScheduler {
    state: Arc<Mutex<DeskState>>,
    /// Services whose calls one host decides on.
    scheduled: Arc<watch::Sender<BTreeSet<Name>>>,
    /// Wakes the task that serves those who wait.
    changed: Arc<Notify>,
    clock: HostClock,
}

impl fmt::Debug for CallScheduler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallDesk")
    }
}

impl CallScheduler {
    /// A desk that knows no service; `seed` differs between hosts.
    pub fn new(terms: CallSchedulerSettings, seed: u64, clock: HostClock) -> Self {
        let state = DeskState {
            terms,
            seed,
            clock: clock.clone(),
            views: BTreeMap::new(),
            services: HashMap::new(),
            calls: HashMap::new(),
            sleeps_until: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            scheduled: Arc::default(),
            changed: Arc::default(),
            clock,
        }
    }

    /// The id of a call of the host on a link; 0 is this host itself.
    pub(crate) fn id_on_link(number: u64, ticket: u64) -> CallId {
        CallId((number << TICKET_BITS) | (ticket & ((1 << TICKET_BITS) - 1)))
    }

    pub(crate) fn clock(&self) -> &HostClock {
        &self.clock
    }

    fn with<T>(&self, run: impl FnOnce(&mut DeskState) -> T) -> T {
        run(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes a service's queue and tells those whose wait that ends.
    fn change(&self, name: &Name, run: impl FnOnce(&mut DeskState) -> Decided) {
        let (decided, oversleeps) = self.with(|state| (run(state), state.oversleeps(name)));
        for (waiter, decision) in decided {
            waiter(decision);
        }
        if oversleeps {
            self.changed.notify_one();
        }
    }

    /// Takes the plain services and their backend servers as they are now, for so many hosts.
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

    /// Follows the configuration, the directory and the number of hosts, and serves those who wait, until
    /// `cancel`.
    pub async fn run(
        self,
        mut config: watch::Receiver<Option<Arc<RoutingConfig>>>,
        mut directory: watch::Receiver<Arc<DirectoryView>>,
        hosts: impl Fn() -> Option<usize> + Send + Sync + 'static,
        cancel: CancellationToken,
    ) {
        if self.with(|state| state.terms.slots_per_host) <= 0.0 {
            return;
        }
        let mut counted_at = self.clock.now();
        loop {
            let known = config.borrow_and_update().clone();
            let view = directory.borrow_and_update().clone();
            // Before the directory is known, all services would seem to have no backend servers.
            if let Some(known) = known.filter(|_known| view.version.is_known()) {
                self.set_services(&known, &view, hosts());
            }
            let count_at = counted_at + COUNT_EVERY;
            loop {
                let due = self.with(|state| {
                    let least = state.clock.now() + LEAST_PAUSE;
                    state.sleeps_until = state.next_due().map(|due| due.max(least));
                    state.sleeps_until
                });
                let wake = due.map_or(count_at, |due| due.min(count_at));
                tokio::select! {
                    changed = config.changed() => if changed.is_err() { return } else { break },
                    changed = directory.changed() => if changed.is_err() { return } else { break },
                    () = self.changed.notified() => {}
                    () = self.clock.sleep_until(wake) => self.serve_waiters(),
                    () = cancel.cancelled() => return,
                }
                if self.clock.now() >= count_at {
                    counted_at = self.clock.now();
                    break;
                }
            }
        }
    }

    fn serve_waiters(&self) {
        for (waiter, decision) in self.with(DeskState::serve_all) {
            waiter(decision);
        }
    }

    /// Whether one host decides on the calls of a service.
    pub fn is_scheduled(&self, service: &str) -> bool {
        self.scheduled.borrow().contains(service)
    }

    /// The services whose calls one host decides on.
    pub(crate) fn scheduled(&self) -> watch::Receiver<BTreeSet<Name>> {
        self.scheduled.subscribe()
    }

    /// Whether a service is known, so that its calls can be decided here.
    pub fn has_service(&self, service: &str) -> bool {
        self.with(|state| state.views.get(service).is_some_and(|view| !view.is_part))
    }

    /// Counts a host among those that are served until the guard is dropped, which forgets its calls.
    pub(crate) fn serve_host(&self, service: &Name, number: u64) -> ServedGuard {
        self.note_served(service, |served| served + 1);
        ServedGuard { desk: self.clone(), service: Name::clone(service), number }
    }

    fn note_served(&self, service: &Name, count: impl FnOnce(usize) -> usize) {
        self.change(service, |state| {
            if let Some(desk) = state.service(service) {
                desk.served = count(desk.served);
                desk.set_share();
            }
            state.serve(service)
        });
    }

    /// Hosts whose calls are decided here, this one included.
    pub(crate) fn hosts(&self, service: &Name) -> usize {
        self.with(|state| state.services.get(service).map_or(0, |desk| desk.served) + 1)
    }

    /// Sets the part of the servers' limits that this host may use for itself alone.
    pub(crate) fn set_own_share(&self, service: &Name, share: f64) {
        self.with(|state| {
            if let Some(desk) = state.service(service) {
                desk.own_share = share;
                desk.set_share();
            }
        });
    }

    /// Decides on a call; one that waits is decided later by a call of `waiter`. `None` when the service is not
    /// known.
    pub(crate) fn submit(
        &self,
        id: CallId,
        service: &Name,
        request: CallRequest,
        waiter: impl FnOnce(CallDecision) + Send + 'static,
    ) -> Option<CallDecision> {
        let mut decision = None;
        self.change(service, |state| {
            let Some((decided, others)) = state.ask(id, service, request, Box::new(waiter)) else {
                return Vec::new();
            };
            decision = Some(decided);
            others
        });
        decision
    }

    /// Takes over a call that was decided elsewhere and has been in flight for `ran`.
    pub(crate) fn adopt(
        &self,
        id: CallId,
        service: &Name,
        request: CallRequest,
        backend: BackendInstance,
        ran: Duration,
    ) {
        self.change(service, |state| {
            let now = state.clock.now();
            if let Some(desk) = state.service(service) {
                desk.queue.adopt(id, request, backend, ran, now);
                let record = CallRecord { service: Name::clone(service), waiter: None };
                state.calls.insert(id, record);
            }
            Vec::new()
        });
    }

    /// Notes how a call ended; one that waits is taken off.
    pub(crate) fn complete(&self, id: CallId, end: CallOutcome, took: Duration) {
        let Some(service) = self.with(|state| Some(Name::clone(&state.calls.get(&id)?.service)))
        else {
            return;
        };
        self.change(&service, |state| {
            state.remove(id, |queue, now| queue.complete(id, end, took, now))
        });
    }

    /// What is believed now of each service whose calls were decided here.
    pub fn snapshots(&self) -> Vec<(Name, QueueSnapshot)> {
        self.with(|state| {
            let now = state.clock.now();
            let read =
                |(name, desk): (&Name, &ServiceDesk)| (Name::clone(name), desk.queue.snapshot(now));
            state.services.iter().map(read).collect()
        })
    }
}

/// A host whose calls are decided here.
pub(crate) struct ServedGuard {
    desk: CallScheduler,
    service: Name,
    number: u64,
}

impl Drop for ServedGuard {
    fn drop(&mut self) {
        // A host that lives reports its calls to whoever decides next; those of one that is gone are over.
        self.desk.change(&self.service, |state| state.forget_link(&self.service, self.number));
        self.desk.note_served(&self.service, |served| served.saturating_sub(1));
    }
}
