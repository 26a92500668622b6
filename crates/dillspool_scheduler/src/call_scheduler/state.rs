//! State of the call scheduler behind its lock.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use dillspool_calls::{CallDecision, CallId, CallQueue, CallRequest, CallServer};
use dillspool_io::HostClock;
use dillspool_moment::Moment;
use dillspool_routing::{BackendEntry, DirectoryView, RoutingConfig};
use dillspool_schema::Name;

use super::CallSchedulerSettings;

/// Hysteresis: each host decides for itself again once the slots reach this multiple of the
/// threshold. It keeps a server that leaves and returns from toggling the service between the two
/// modes.
const DISABLE_FACTOR: f64 = 1.2;
/// Low bits of a call id that hold the host's own ticket; the high bits number its link.
pub(super) const TICKET_BITS: u32 = 32;

pub(super) type DecisionFn = Box<dyn FnOnce(CallDecision) + Send>;
pub(super) type Decided = Vec<(DecisionFn, CallDecision)>;

/// A call that is queued or in flight.
pub(super) struct CallRecord {
    pub(super) service: Name,
    pub(super) waiter: Option<DecisionFn>,
}

pub(super) struct ServiceQueue {
    pub(super) queue: CallQueue,
    /// Number of other hosts whose calls are decided here.
    pub(super) served: usize,
    /// Share of the servers' limits that this host may use while it decides for itself only.
    pub(super) local_share: f64,
}

/// A plain service as the directory shows it.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceView {
    pub(super) servers: Vec<CallServer>,
    /// Whether this host knows only some of the backend servers.
    pub(super) is_subset: bool,
}

impl ServiceView {
    pub(super) fn slots(&self) -> u64 {
        self.servers.iter().filter_map(|server| server.slots).map(u64::from).sum()
    }
}

pub(super) struct SchedulerState {
    pub(super) settings: CallSchedulerSettings,
    pub(super) seed: u64,
    pub(super) clock: HostClock,
    pub(super) views: BTreeMap<Name, ServiceView>,
    pub(super) services: HashMap<Name, ServiceQueue>,
    pub(super) calls: HashMap<CallId, CallRecord>,
    /// When the task that polls the queues wakes up; `None` if it sleeps without a timer.
    pub(super) wakes_at: Option<Moment>,
}

impl SchedulerState {
    /// Returns the queue of a known service; creates it on first use.
    pub(super) fn service(&mut self, name: &Name) -> Option<&mut ServiceQueue> {
        let view = self.views.get(name)?;
        let (now, settings, seed) = (self.clock.now(), self.settings, self.seed);
        Some(self.services.entry(Name::clone(name)).or_insert_with(|| {
            let mut queue = CallQueue::new(settings.policy, seed);
            queue.set_servers(view.servers.iter().cloned(), now);
            ServiceQueue { queue, served: 0, local_share: 1.0 }
        }))
    }

    /// Returns the new decisions on queued calls.
    pub(super) fn poll_queue(&mut self, name: &Name) -> Vec<(CallId, CallDecision)> {
        let now = self.clock.now();
        self.services.get_mut(name).map(|service| service.queue.poll(now)).unwrap_or_default()
    }

    /// Takes the callbacks of decided calls. A rejected call is removed.
    pub(super) fn take_waiters(&mut self, decided: Vec<(CallId, CallDecision)>) -> Decided {
        let waiter = |(id, decision)| {
            let waiter = match &decision {
                CallDecision::Reject { .. } => self.calls.remove(&id)?.waiter,
                CallDecision::Send { .. } | CallDecision::Wait => {
                    self.calls.get_mut(&id)?.waiter.take()
                }
            };
            Some((waiter?, decision))
        };
        decided.into_iter().filter_map(waiter).collect()
    }

    pub(super) fn poll_service(&mut self, name: &Name) -> Decided {
        let decided = self.poll_queue(name);
        self.take_waiters(decided)
    }

    pub(super) fn poll_all(&mut self) -> Decided {
        let names: Vec<_> = self.services.keys().cloned().collect();
        names.iter().flat_map(|name| self.poll_service(name)).collect()
    }

    pub(super) fn next_deadline(&self) -> Option<Moment> {
        self.services.values().filter_map(|service| service.queue.next_deadline()).min()
    }

    /// Returns whether the task that polls the queues would sleep past the next deadline.
    pub(super) fn needs_wakeup(&self, name: &Name) -> bool {
        let due = self.services.get(name).and_then(|service| service.queue.next_deadline());
        due.is_some_and(|due| self.wakes_at.is_none_or(|until| due < until))
    }

    pub(super) fn submit(
        &mut self,
        id: CallId,
        name: &Name,
        request: CallRequest,
        waiter: DecisionFn,
    ) -> Option<(CallDecision, Decided)> {
        let now = self.clock.now();
        let mut decision = self.service(name)?.queue.submit(id, request, now);
        let mut decided = Vec::new();
        if decision == CallDecision::Wait {
            // A call that goes ahead of others may leave them too little time.
            decided = self.poll_queue(name);
            if let Some(index) = decided.iter().position(|(decided, _decision)| *decided == id) {
                decision = decided.swap_remove(index).1;
            }
        }
        let waiter = (decision == CallDecision::Wait).then_some(waiter);
        if !matches!(decision, CallDecision::Reject { .. }) {
            self.calls.insert(id, CallRecord { service: Name::clone(name), waiter });
        }
        Some((decision, self.take_waiters(decided)))
    }

    pub(super) fn remove(
        &mut self,
        id: CallId,
        remove: impl FnOnce(&mut CallQueue, Moment),
    ) -> Decided {
        let now = self.clock.now();
        let Some(record) = self.calls.remove(&id) else { return Vec::new() };
        if let Some(service) = self.services.get_mut(&record.service) {
            remove(&mut service.queue, now);
        }
        self.poll_service(&record.service)
    }

    pub(super) fn remove_link(&mut self, name: &Name, number: u64) -> Decided {
        let now = self.clock.now();
        let removed = self
            .calls
            .extract_if(|id, record| record.service == *name && id.0 >> TICKET_BITS == number);
        let removed: Vec<_> = removed.map(|(id, _record)| id).collect();
        if let Some(service) = self.services.get_mut(name) {
            for id in removed {
                service.queue.forget(id, now);
            }
        }
        self.poll_service(name)
    }

    pub(super) fn set_views(&mut self, views: BTreeMap<Name, ServiceView>) -> Decided {
        self.views = views;
        let now = self.clock.now();
        for (name, service) in &mut self.services {
            let servers = self.views.get(name).map(|view| view.servers.clone()).unwrap_or_default();
            service.queue.set_servers(servers.into_iter(), now);
        }
        self.poll_all()
    }

    /// Returns whether one host should decide on a service's calls.
    pub(super) fn should_schedule(
        &self,
        view: &ServiceView,
        hosts: usize,
        scheduled: bool,
    ) -> bool {
        if view.is_subset {
            return false;
        }
        if view.servers.is_empty() {
            return scheduled;
        }
        #[expect(clippy::cast_precision_loss, reason = "hosts and slots are counted in thousands")]
        let (slots, bound) = (view.slots() as f64, self.settings.slots_per_host * hosts as f64);
        slots < if scheduled { DISABLE_FACTOR * bound } else { bound }
    }

    /// Drops queues that are no longer used.
    pub(super) fn drop_unused(&mut self, scheduled: &BTreeSet<Name>) {
        let used: BTreeSet<_> =
            self.calls.values().map(|record| Name::clone(&record.service)).collect();
        self.services.retain(|name, service| {
            service.served > 0 || scheduled.contains(name) || used.contains(name)
        });
    }
}

impl ServiceQueue {
    /// Sets the share of the servers' limits that is used here: all of it while this host decides
    /// for others.
    pub(super) fn set_share(&mut self) {
        self.queue.set_share(if self.served > 0 { 1.0 } else { self.local_share });
    }
}

/// Returns the plain services of a configuration with the backend servers that accept new calls.
pub(super) fn plain_services(
    config: &RoutingConfig,
    directory: &DirectoryView,
) -> BTreeMap<Name, ServiceView> {
    let is_subset = |name: &Name| {
        directory.subset.as_ref().is_some_and(|subset| subset.for_class(name).sampling_bits > 0)
    };
    let plain = config.services.values().filter(|service| service.engine.is_none());
    let mut views: BTreeMap<_, _> = plain
        .map(|service| {
            let view = ServiceView { servers: Vec::new(), is_subset: is_subset(&service.name) };
            (Name::clone(&service.name), view)
        })
        .collect();
    for entry in directory.entries.values().filter(|entry| directory.accepts_requests(entry)) {
        if entry.stage.is_some() {
            views.remove(&entry.service);
        }
        if let Some(view) = views.get_mut(&entry.service)
            && let Some(service) = config.services.get(&entry.service)
        {
            view.servers.push(call_server(entry, service.max_connections));
        }
    }
    views
}

fn call_server(entry: &BackendEntry, max_connections: u32) -> CallServer {
    CallServer {
        backend: entry.instance(),
        failure_domain: Name::clone(&entry.failure_domain),
        slots: entry.slots,
        max_connections,
    }
}
