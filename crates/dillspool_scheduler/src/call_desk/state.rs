//! What a desk of calls keeps, and what it does with it while it is locked.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use dillspool_calls::{CallDecision, CallId, CallQueue, CallRequest, CallServer};
use dillspool_io::HostClock;
use dillspool_moment::Moment;
use dillspool_routing::{BackendEntry, DirectoryView, RoutingConfig};
use dillspool_schema::Name;

use super::CallSchedulerSettings;

/// Slots, as a factor of those below which one host decides, from which on each host decides again: a server that
/// leaves and comes back does not switch a service back and forth.
const CEASE_FACTOR: f64 = 1.2;
/// Bits of an id that are the host's own; the rest number its link.
pub(super) const TICKET_BITS: u32 = 32;

pub(super) type DecisionFn = Box<dyn FnOnce(CallDecision) + Send>;
pub(super) type Decided = Vec<(DecisionFn, CallDecision)>;

/// A call that waits or is in flight.
pub(super) struct CallRecord {
    pub(super) service: Name,
    pub(super) waiter: Option<DecisionFn>,
}

pub(super) struct ServiceDesk {
    pub(super) queue: CallQueue,
    /// Hosts whose calls are decided here.
    pub(super) served: usize,
    /// Part of the servers' limits that this host may use for itself alone.
    pub(super) own_share: f64,
}

/// What a plain service has, as the directory shows it.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceView {
    pub(super) servers: Vec<CallServer>,
    /// Whether this host knows only some of its backend servers.
    pub(super) is_part: bool,
}

impl ServiceView {
    pub(super) fn slots(&self) -> u64 {
        self.servers.iter().filter_map(|server| server.slots).map(u64::from).sum()
    }
}

pub(super) struct DeskState {
    pub(super) terms: CallSchedulerSettings,
    pub(super) seed: u64,
    pub(super) clock: HostClock,
    /// The plain services.
    pub(super) views: BTreeMap<Name, ServiceView>,
    pub(super) services: HashMap<Name, ServiceDesk>,
    pub(super) calls: HashMap<CallId, CallRecord>,
    /// Until when the task that serves those who wait sleeps; `None` for without end.
    pub(super) sleeps_until: Option<Moment>,
}

impl DeskState {
    /// The queue of a service that is known, from its first use on.
    pub(super) fn service(&mut self, name: &Name) -> Option<&mut ServiceDesk> {
        let view = self.views.get(name)?;
        let (now, terms, seed) = (self.clock.now(), self.terms, self.seed);
        Some(self.services.entry(Name::clone(name)).or_insert_with(|| {
            let mut queue = CallQueue::new(terms.policy, seed);
            queue.set_servers(view.servers.iter().cloned(), now);
            ServiceDesk { queue, served: 0, own_share: 1.0 }
        }))
    }

    /// What a queue decides for those who wait.
    pub(super) fn poll(&mut self, name: &Name) -> Vec<(CallId, CallDecision)> {
        let now = self.clock.now();
        self.services.get_mut(name).map(|service| service.queue.poll(now)).unwrap_or_default()
    }

    /// The waiters of decisions; a call that is rejected is over.
    pub(super) fn waiters(&mut self, decided: Vec<(CallId, CallDecision)>) -> Decided {
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

    pub(super) fn serve(&mut self, name: &Name) -> Decided {
        let decided = self.poll(name);
        self.waiters(decided)
    }

    pub(super) fn serve_all(&mut self) -> Decided {
        let names: Vec<_> = self.services.keys().cloned().collect();
        names.iter().flat_map(|name| self.serve(name)).collect()
    }

    pub(super) fn next_due(&self) -> Option<Moment> {
        self.services.values().filter_map(|service| service.queue.next_deadline()).min()
    }

    /// Whether the task that serves those who wait sleeps beyond what is due next.
    pub(super) fn oversleeps(&self, name: &Name) -> bool {
        let due = self.services.get(name).and_then(|service| service.queue.next_deadline());
        due.is_some_and(|due| self.sleeps_until.is_none_or(|until| due < until))
    }

    pub(super) fn ask(
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
            // A call that comes before others may leave these no time.
            decided = self.poll(name);
            if let Some(place) = decided.iter().position(|(decided, _decision)| *decided == id) {
                decision = decided.swap_remove(place).1;
            }
        }
        let waiter = (decision == CallDecision::Wait).then_some(waiter);
        if !matches!(decision, CallDecision::Reject { .. }) {
            self.calls.insert(id, CallRecord { service: Name::clone(name), waiter });
        }
        Some((decision, self.waiters(decided)))
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
        self.serve(&record.service)
    }

    pub(super) fn forget_link(&mut self, name: &Name, number: u64) -> Decided {
        let now = self.clock.now();
        let gone = self
            .calls
            .extract_if(|id, record| record.service == *name && id.0 >> TICKET_BITS == number);
        let gone: Vec<_> = gone.map(|(id, _record)| id).collect();
        if let Some(service) = self.services.get_mut(name) {
            for id in gone {
                service.queue.forget(id, now);
            }
        }
        self.serve(name)
    }

    pub(super) fn set_views(&mut self, views: BTreeMap<Name, ServiceView>) -> Decided {
        self.views = views;
        let now = self.clock.now();
        for (name, service) in &mut self.services {
            let servers = self.views.get(name).map(|view| view.servers.clone()).unwrap_or_default();
            service.queue.set_servers(servers.into_iter(), now);
        }
        self.serve_all()
    }

    /// Whether one host should decide on a service's calls.
    pub(super) fn should_schedule(
        &self,
        view: &ServiceView,
        hosts: usize,
        scheduled: bool,
    ) -> bool {
        if view.is_part {
            return false;
        }
        if view.servers.is_empty() {
            return scheduled;
        }
        #[expect(clippy::cast_precision_loss, reason = "hosts and slots are counted in thousands")]
        let (slots, bound) = (view.slots() as f64, self.terms.slots_per_host * hosts as f64);
        slots < if scheduled { CEASE_FACTOR * bound } else { bound }
    }

    /// Drops queues that nobody uses.
    pub(super) fn drop_unused(&mut self, scheduled: &BTreeSet<Name>) {
        let used: BTreeSet<_> =
            self.calls.values().map(|record| Name::clone(&record.service)).collect();
        self.services.retain(|name, service| {
            service.served > 0 || scheduled.contains(name) || used.contains(name)
        });
    }
}

impl ServiceDesk {
    /// Sets the part of the limits that is used here: all while this host decides for others.
    pub(super) fn set_share(&mut self) {
        self.queue.set_share(if self.served > 0 { 1.0 } else { self.own_share });
    }
}

/// The plain services of a configuration, with the backend servers that take new calls.
pub(super) fn plain_services(
    config: &RoutingConfig,
    directory: &DirectoryView,
) -> BTreeMap<Name, ServiceView> {
    let is_part = |name: &Name| {
        directory.subset.as_ref().is_some_and(|part| part.for_class(name).sampling_bits > 0)
    };
    let plain = config.services.values().filter(|service| service.engine.is_none());
    let mut views: BTreeMap<_, _> = plain
        .map(|service| {
            let view = ServiceView { servers: Vec::new(), is_part: is_part(&service.name) };
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
