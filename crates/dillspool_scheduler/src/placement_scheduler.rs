//! The planners of all pools on one host, and the callbacks of queued requests.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_admission::{
    AdmissionPolicy, EngineCapacity, EngineFault, PlacementDecision, PlacementRequest, PoolEngine,
    PoolPlanner, PoolSnapshot, StreamEnd, StreamPlacement, TicketId,
};
use dillspool_capacity::{DemandMeter, MemoryGuard};
use dillspool_io::HostClock;
use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, DirectoryView, EngineStage, RoutingConfig};
use dillspool_schema::Name;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

/// Interval between polls of the planners while requests are queued and nothing else happens: the
/// forecast of free memory changes with time alone.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An event in the life of a placed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementEvent {
    /// The prefill has finished.
    Prefilled {
        /// Time from the prefill call to its response.
        took: Duration,
    },
    /// The decode engine runs the prefill itself, contrary to the placement.
    PrefilledLocally,
    /// The decode engine has accepted the request.
    Started,
    /// An engine did not do what the placement expected, and the request leaves it.
    Fault {
        /// The engine instance at fault.
        engine: BackendInstance,
        /// The kind of fault.
        fault: EngineFault,
    },
    /// The request has ended.
    Ended(StreamEnd),
}

type DecisionFn = Box<dyn FnOnce(PlacementDecision) + Send>;

/// A queued or placed request.
struct TicketRecord {
    service: Name,
    prompt_tokens: u64,
    /// Memory that the request occupies once it is placed.
    _memory: Option<MemoryGuard>,
}

struct SchedulerState {
    planners: HashMap<Name, PoolPlanner>,
    /// Demand of the requests of all hosts that are served here.
    demand: DemandMeter,
    /// Queued and placed requests.
    tickets: HashMap<TicketId, TicketRecord>,
    waiters: HashMap<TicketId, DecisionFn>,
    /// Number of served hosts by pool.
    served: HashMap<Name, usize>,
    clock: HostClock,
    policy: AdmissionPolicy,
    seed: u64,
}

impl SchedulerState {
    fn now(&self) -> Moment {
        self.clock.now()
    }

    fn planner_of(&mut self, ticket: TicketId) -> Option<&mut PoolPlanner> {
        let service = &self.tickets.get(&ticket)?.service;
        self.planners.get_mut(service)
    }

    fn submit(
        &mut self,
        ticket: TicketId,
        service: &Name,
        request: PlacementRequest,
    ) -> Option<PlacementDecision> {
        let now = self.now();
        let prompt_tokens = request.prompt_tokens;
        let decision = self.planners.get_mut(service)?.decide(ticket, request, now);
        if !self.tickets.contains_key(&ticket) {
            self.demand.record_prompt(service, prompt_tokens);
        }
        self.record_decision(ticket, service, prompt_tokens, &decision);
        Some(decision)
    }

    /// Records the request with the memory that the decision reserves for it.
    fn record_decision(
        &mut self,
        ticket: TicketId,
        service: &Name,
        prompt_tokens: u64,
        decision: &PlacementDecision,
    ) {
        let memory = match decision {
            PlacementDecision::Place(placement) => {
                Some(self.demand.hold_memory(service, placement.reserve_tokens))
            }
            PlacementDecision::Wait | PlacementDecision::Reject { .. } => None,
        };
        let service = Name::clone(service);
        self.tickets.insert(ticket, TicketRecord { service, prompt_tokens, _memory: memory });
    }

    fn record_prefilled(&mut self, ticket: TicketId, took: Duration) {
        if let Some(record) = self.tickets.get(&ticket) {
            self.demand.record_prefill(&record.service, record.prompt_tokens, took);
        }
        if let Some(planner) = self.planner_of(ticket) {
            planner.record_prefilled(ticket, took);
        }
    }

    fn set_pools(&mut self, config: &RoutingConfig, view: &DirectoryView) {
        for service in config.services.values() {
            let is_pool = view.ready(&service.name).any(|entry| entry.stage.is_some());
            if service.engine.is_none() && !is_pool {
                continue;
            }
            let capacity = service.engine.as_ref().map_or(EngineCapacity::UNLIMITED, |pool| {
                EngineCapacity { memory_tokens: pool.memory_tokens, slots: pool.slots }
            });
            let (policy, seed) = (self.policy, self.seed);
            let planner = self.planners.entry(Name::clone(&service.name));
            let planner = planner.or_insert_with(|| PoolPlanner::new(capacity, policy, seed));
            planner.set_engine_capacity(capacity);
            let engines = view.ready(&service.name).filter_map(|entry| {
                let is_prefill = entry.stage? == EngineStage::Prefill;
                let failure_domain = Name::clone(&entry.failure_domain);
                let (backend, software) = (entry.instance(), entry.software.clone());
                Some(PoolEngine { backend, failure_domain, is_prefill, software })
            });
            planner.set_engines(engines);
        }
        self.planners.retain(|service, _planner| config.services.contains_key(service));
    }

    fn poll(&mut self) -> Vec<(DecisionFn, PlacementDecision)> {
        let now = self.now();
        let mut decided = Vec::new();
        for planner in self.planners.values_mut().filter(|planner| planner.has_queued()) {
            decided.extend(planner.poll(now));
        }
        for (ticket, decision) in &decided {
            if let Some(record) = self.tickets.get(ticket) {
                let (service, prompt) = (Name::clone(&record.service), record.prompt_tokens);
                self.record_decision(*ticket, &service, prompt, decision);
            }
        }
        let waiter = |(ticket, decision)| Some((self.waiters.remove(&ticket)?, decision));
        decided.into_iter().filter_map(waiter).collect()
    }
}

/// Decides on placements for this host, and for other hosts while it schedules their pool.
#[derive(Clone)]
pub struct PlacementScheduler {
    state: Arc<Mutex<SchedulerState>>,
    /// Wakes the task that polls the planners.
    changed: Arc<Notify>,
}

impl fmt::Debug for PlacementScheduler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PoolDesk")
    }
}

impl PlacementScheduler {
    /// Creates a scheduler without pools; `seed` differs between hosts.
    pub fn new(policy: AdmissionPolicy, seed: u64, demand: DemandMeter, clock: HostClock) -> Self {
        let state = SchedulerState {
            planners: HashMap::new(),
            demand,
            tickets: HashMap::new(),
            waiters: HashMap::new(),
            served: HashMap::new(),
            clock,
            policy,
            seed,
        };
        Self { state: Arc::new(Mutex::new(state)), changed: Arc::default() }
    }

    fn with<T>(&self, run: impl FnOnce(&mut SchedulerState) -> T) -> T {
        run(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the pools and their engines.
    pub fn set_pools(&self, config: &RoutingConfig, view: &DirectoryView) {
        self.with(|state| state.set_pools(config, view));
    }

    /// Follows the configuration and the directory, and polls the planners for queued requests,
    /// until `cancel`.
    pub async fn run(
        self,
        mut config: watch::Receiver<Option<Arc<RoutingConfig>>>,
        mut directory: watch::Receiver<Arc<DirectoryView>>,
        cancel: CancellationToken,
    ) {
        loop {
            let known = config.borrow_and_update().clone();
            let view = directory.borrow_and_update().clone();
            if let Some(known) = known {
                self.set_pools(&known, &view);
            }
            loop {
                let has_waiters = self.with(|state| !state.waiters.is_empty());
                let poll_timer = async {
                    if has_waiters {
                        tokio::time::sleep(POLL_INTERVAL).await;
                    } else {
                        std::future::pending::<()>().await;
                    }
                };
                tokio::select! {
                    changed = config.changed() => if changed.is_err() { return } else { break },
                    changed = directory.changed() => if changed.is_err() { return } else { break },
                    () = self.changed.notified() => self.notify_waiters(),
                    () = poll_timer => self.notify_waiters(),
                    () = cancel.cancelled() => return,
                }
            }
        }
    }

    fn notify_waiters(&self) {
        for (waiter, decision) in self.with(SchedulerState::poll) {
            waiter(decision);
        }
    }

    /// Returns whether a pool is known, so that its requests can be decided here.
    pub fn has_pool(&self, service: &str) -> bool {
        self.with(|state| state.planners.contains_key(service))
    }

    /// Counts a host as served until the guard is dropped.
    pub(crate) fn serve_host(&self, service: &Name) -> ServedGuard {
        self.with(|state| *state.served.entry(Name::clone(service)).or_default() += 1);
        ServedGuard { scheduler: self.clone(), service: Name::clone(service) }
    }

    /// Returns the number of hosts whose requests for a pool are decided here, this host included.
    pub(crate) fn host_count(&self, service: &Name) -> usize {
        self.with(|state| state.served.get(service).copied().unwrap_or_default() + 1)
    }

    /// Returns the planner's estimate of a pool.
    pub fn snapshot(&self, service: &str) -> Option<PoolSnapshot> {
        self.with(|state| {
            let now = state.now();
            state.planners.get(service).map(|planner| planner.snapshot(now))
        })
    }

    /// Decides on a request. If the decision is to wait, `waiter` is called with the final decision
    /// later. `None` if the pool is not known.
    pub fn submit(
        &self,
        ticket: TicketId,
        service: &Name,
        request: PlacementRequest,
        waiter: impl FnOnce(PlacementDecision) + Send + 'static,
    ) -> Option<PlacementDecision> {
        self.with(|state| {
            let decision = state.submit(ticket, service, request)?;
            if decision == PlacementDecision::Wait {
                state.waiters.insert(ticket, Box::new(waiter));
                // The task may be sleeping without a poll timer.
                self.changed.notify_one();
            }
            Some(decision)
        })
    }

    /// Chooses another prefill engine for a request that has its decode engine.
    pub fn choose_prefill(&self, ticket: TicketId, request: &PlacementRequest) -> Option<Name> {
        self.with(|state| {
            let now = state.now();
            state.planner_of(ticket)?.choose_prefill(ticket, request, now)
        })
    }

    /// Adopts a request that was placed elsewhere and whose engine accepted it `ran` ago.
    pub fn adopt(
        &self,
        ticket: TicketId,
        service: &Name,
        request: &PlacementRequest,
        placement: StreamPlacement,
        ran: Option<Duration>,
    ) {
        self.with(|state| {
            let now = state.now();
            let Some(planner) = state.planners.get_mut(service) else { return };
            planner.adopt(ticket, request, placement.clone(), now);
            if let Some(ran) = ran {
                planner.record_started(ticket, now.saturating_sub(ran));
            }
            let decision = PlacementDecision::Place(placement);
            state.record_decision(ticket, service, request.prompt_tokens, &decision);
        });
    }

    /// Records an event of a request.
    pub fn record_event(&self, ticket: TicketId, event: PlacementEvent) {
        let has_waiters = self.with(|state| {
            let now = state.now();
            match event {
                PlacementEvent::Prefilled { took } => state.record_prefilled(ticket, took),
                PlacementEvent::PrefilledLocally => {
                    if let Some(planner) = state.planner_of(ticket) {
                        planner.record_local_prefill(ticket, now);
                    }
                }
                PlacementEvent::Started => {
                    if let Some(planner) = state.planner_of(ticket) {
                        planner.record_started(ticket, now);
                    }
                }
                PlacementEvent::Fault { engine, fault } => {
                    if let Some(planner) = state.planner_of(ticket) {
                        planner.record_fault(ticket, &engine, fault, now);
                    }
                }
                PlacementEvent::Ended(end) => {
                    if let Some(planner) = state.planner_of(ticket) {
                        planner.record_ended(ticket, end, now);
                    }
                    state.tickets.remove(&ticket);
                    state.waiters.remove(&ticket);
                }
            }
            !state.waiters.is_empty()
        });
        if has_waiters {
            self.changed.notify_one();
        }
    }
}

/// Counts a served host until it is dropped.
pub(crate) struct ServedGuard {
    scheduler: PlacementScheduler,
    service: Name,
}

impl Drop for ServedGuard {
    fn drop(&mut self) {
        self.scheduler.with(|state| {
            if let Some(hosts) = state.served.get_mut(&self.service) {
                *hosts = hosts.saturating_sub(1);
            }
        });
    }
}
