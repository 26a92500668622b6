//! The planners of all pools on one host, and those who wait for their decisions.

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

/// Time between two looks at those who wait, while nothing else happens: memory is foreseen to be
/// free by time alone, too.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// What became of a request at its engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementEvent {
    /// Its prompt was read.
    Prefilled {
        /// Time from the call to its answer.
        took: Duration,
    },
    /// Its decode engine reads the prompt itself, other than decided.
    PrefilledLocally,
    /// Its decode engine took it.
    Started,
    /// An engine did other than expected; the request leaves it.
    Fault {
        /// The engine, and the start of it that did so.
        engine: BackendInstance,
        /// What it did.
        fault: EngineFault,
    },
    /// It is over.
    Ended(StreamEnd),
}

type DecisionFn = Box<dyn FnOnce(PlacementDecision) + Send>;

/// A request under way.
struct TicketRecord {
    /// Its pool.
    service: Name,
    prompt_tokens: u64,
    /// What it holds once it has engines.
    _memory: Option<MemoryGuard>,
}

struct DeskState {
    planners: HashMap<Name, PoolPlanner>,
    /// What requests ask of their engines; of all hosts that are served here.
    demand: DemandMeter,
    /// Requests under way.
    tickets: HashMap<TicketId, TicketRecord>,
    waiters: HashMap<TicketId, DecisionFn>,
    /// Hosts that are served, by pool.
    served: HashMap<Name, usize>,
    clock: HostClock,
    policy: AdmissionPolicy,
    seed: u64,
}

impl DeskState {
    fn now(&self) -> Moment {
        self.clock.now()
    }

    fn planner_of(&mut self, ticket: TicketId) -> Option<&mut PoolPlanner> {
        let service = &self.tickets.get(&ticket)?.service;
        self.planners.get_mut(service)
    }

    fn ask(
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
        self.note_decision(ticket, service, prompt_tokens, &decision);
        Some(decision)
    }

    /// Keeps the request and what it holds by a decision.
    fn note_decision(
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

    fn note_prefilled(&mut self, ticket: TicketId, took: Duration) {
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
            let terms = service.engine.as_ref().map_or(EngineCapacity::UNLIMITED, |pool| {
                EngineCapacity { memory_tokens: pool.memory_tokens, slots: pool.slots }
            });
            let (policy, seed) = (self.policy, self.seed);
            let planner = self.planners.entry(Name::clone(&service.name));
            let planner = planner.or_insert_with(|| PoolPlanner::new(terms, policy, seed));
            planner.set_engine_capacity(terms);
            let engines = view.ready(&service.name).filter_map(|entry| {
                let prefills = entry.stage? == EngineStage::Prefill;
                let domain = Name::clone(&entry.failure_domain);
                Some(PoolEngine {
                    backend: entry.instance(),
                    failure_domain: domain,
                    is_prefill: prefills,
                })
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
                self.note_decision(*ticket, &service, prompt, decision);
            }
        }
        let waiter = |(ticket, decision)| Some((self.waiters.remove(&ticket)?, decision));
        decided.into_iter().filter_map(waiter).collect()
    }
}

/// Decides for this host, and for others when it schedules their pool.
#[derive(Clone)]
pub struct PlacementScheduler {
    state: Arc<Mutex<DeskState>>,
    /// Wakes those who wait when something has changed.
    changed: Arc<Notify>,
}

impl fmt::Debug for PlacementScheduler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PoolDesk")
    }
}

impl PlacementScheduler {
    /// A desk that knows no pool; `seed` differs between hosts.
    pub fn new(policy: AdmissionPolicy, seed: u64, demand: DemandMeter, clock: HostClock) -> Self {
        let state = DeskState {
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

    fn with<T>(&self, run: impl FnOnce(&mut DeskState) -> T) -> T {
        run(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes the pools and their engines as they are now.
    pub fn set_pools(&self, config: &RoutingConfig, view: &DirectoryView) {
        self.with(|state| state.set_pools(config, view));
    }

    /// Follows the configuration and the directory, and serves those who wait, until `cancel`.
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
                let waited = self.with(|state| !state.waiters.is_empty());
                let look = async {
                    if waited {
                        tokio::time::sleep(LOOK_EVERY).await;
                    } else {
                        std::future::pending::<()>().await;
                    }
                };
                tokio::select! {
                    changed = config.changed() => if changed.is_err() { return } else { break },
                    changed = directory.changed() => if changed.is_err() { return } else { break },
                    () = self.changed.notified() => self.serve_waiters(),
                    () = look => self.serve_waiters(),
                    () = cancel.cancelled() => return,
                }
            }
        }
    }

    fn serve_waiters(&self) {
        for (waiter, decision) in self.with(DeskState::poll) {
            waiter(decision);
        }
    }

    /// Whether a pool is known, so that its requests can be decided here.
    pub fn has_pool(&self, service: &str) -> bool {
        self.with(|state| state.planners.contains_key(service))
    }

    /// Counts a host among those that are served until the guard is dropped.
    pub(crate) fn serve_host(&self, service: &Name) -> ServedGuard {
        self.with(|state| *state.served.entry(Name::clone(service)).or_default() += 1);
        ServedGuard { desk: self.clone(), service: Name::clone(service) }
    }

    /// Hosts that decide here on a pool's requests, this one included.
    pub(crate) fn hosts(&self, service: &Name) -> usize {
        self.with(|state| state.served.get(service).copied().unwrap_or_default() + 1)
    }

    /// What is believed of a pool now.
    pub fn snapshot(&self, service: &str) -> Option<PoolSnapshot> {
        self.with(|state| {
            let now = state.now();
            state.planners.get(service).map(|planner| planner.snapshot(now))
        })
    }

    /// Decides on a request; one that waits is decided later by a call of `waiter`. `None` when
    /// the pool is not known.
    pub fn submit(
        &self,
        ticket: TicketId,
        service: &Name,
        request: PlacementRequest,
        waiter: impl FnOnce(PlacementDecision) + Send + 'static,
    ) -> Option<PlacementDecision> {
        self.with(|state| {
            let decision = state.ask(ticket, service, request)?;
            if decision == PlacementDecision::Wait {
                state.waiters.insert(ticket, Box::new(waiter));
                // The look at those who wait may not be due yet.
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

    /// Takes over a request that was placed elsewhere, `ran` since its engine took it.
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
            state.note_decision(ticket, service, request.prompt_tokens, &decision);
        });
    }

    /// Notes what became of a request.
    pub fn record_event(&self, ticket: TicketId, note: PlacementEvent) {
        let waited = self.with(|state| {
            let now = state.now();
            match note {
                PlacementEvent::Prefilled { took } => state.note_prefilled(ticket, took),
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
        if waited {
            self.changed.notify_one();
        }
    }
}

/// A host that is served.
pub(crate) struct ServedGuard {
    desk: PlacementScheduler,
    service: Name,
}

impl Drop for ServedGuard {
    fn drop(&mut self) {
        self.desk.with(|state| {
            if let Some(hosts) = state.served.get_mut(&self.service) {
                *hosts = hosts.saturating_sub(1);
            }
        });
    }
}
