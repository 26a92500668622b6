//! The planners of all pools on one host, and those who wait for their decisions.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_admission::{
    AdmissionPolicy, EngineFault, Moment, PlacementDecision, PlacementRequest, PoolPlanner,
    PoolReading, PoolTerms, StreamEnd, StreamPlacement, TicketId,
};
use dillspool_routing::{DirectoryView, EngineStage, RoutingConfig};
use dillspool_schema::Name;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time between two looks at those who wait, while nothing else happens: memory is foreseen to be
/// free by time alone, too.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// What became of a request at its engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeskNote {
    /// Its prompt was read.
    Prefilled {
        /// Time from the call to its answer.
        took: Duration,
    },
    /// Its decode engine took it.
    Started,
    /// An engine did other than expected; the request leaves it.
    Fault {
        /// The engine.
        engine: Name,
        /// What it did.
        fault: EngineFault,
    },
    /// It is over.
    Ended(StreamEnd),
}

type DecisionFn = Box<dyn FnOnce(PlacementDecision) + Send>;

struct DeskState {
    planners: HashMap<Name, PoolPlanner>,
    /// Pool of each request under way.
    services: HashMap<TicketId, Name>,
    waiters: HashMap<TicketId, DecisionFn>,
    origin: Instant,
    policy: AdmissionPolicy,
    seed: u64,
}

impl DeskState {
    fn now(&self) -> Moment {
        Moment::after_origin(self.origin.elapsed())
    }

    fn planner_of(&mut self, ticket: TicketId) -> Option<&mut PoolPlanner> {
        let service = self.services.get(&ticket)?;
        self.planners.get_mut(service)
    }

    fn set_pools(&mut self, config: &RoutingConfig, view: &DirectoryView) {
        for service in config.services.values() {
            let is_pool = view.ready(&service.name).any(|entry| entry.stage.is_some());
            if service.engine.is_none() && !is_pool {
                continue;
            }
            let terms = service.engine.as_ref().map_or(PoolTerms::UNKNOWN, |pool| PoolTerms {
                memory_tokens: pool.memory_tokens,
                slots: pool.slots,
            });
            let (policy, seed) = (self.policy, self.seed);
            let planner = self.planners.entry(Name::clone(&service.name));
            let planner = planner.or_insert_with(|| PoolPlanner::new(terms, policy, seed));
            planner.set_terms(terms);
            let engines = view.ready(&service.name).filter_map(|entry| {
                let prefills = entry.stage? == EngineStage::Prefill;
                Some((&entry.id, &entry.failure_domain, prefills))
            });
            planner.set_engines(engines);
        }
        self.planners.retain(|service, _planner| config.services.contains_key(service));
    }

    fn poll(&mut self) -> Vec<(DecisionFn, PlacementDecision)> {
        let now = self.now();
        let mut decided = Vec::new();
        for planner in self.planners.values_mut().filter(|planner| planner.is_waited_for()) {
            for (ticket, decision) in planner.poll(now) {
                if let Some(waiter) = self.waiters.remove(&ticket) {
                    decided.push((waiter, decision));
                }
            }
        }
        decided
    }
}

/// Decides for this host, and for others when it schedules their pool.
#[derive(Clone)]
pub struct PoolDesk {
    state: Arc<Mutex<DeskState>>,
    /// Wakes those who wait when something has changed.
    changed: Arc<Notify>,
}

impl fmt::Debug for PoolDesk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PoolDesk")
    }
}

impl PoolDesk {
    /// A desk that knows no pool; `seed` differs between hosts.
    pub fn new(policy: AdmissionPolicy, seed: u64) -> Self {
        let state = DeskState {
            planners: HashMap::new(),
            services: HashMap::new(),
            waiters: HashMap::new(),
            origin: Instant::now(),
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
    pub fn knows(&self, service: &str) -> bool {
        self.with(|state| state.planners.contains_key(service))
    }

    /// What is believed of a pool now.
    pub fn read(&self, service: &str) -> Option<PoolReading> {
        self.with(|state| {
            let now = state.now();
            state.planners.get(service).map(|planner| planner.read(now))
        })
    }

    /// Decides on a request; one that waits is decided later by a call of `waiter`. `None` when
    /// the pool is not known.
    pub fn ask(
        &self,
        ticket: TicketId,
        service: &Name,
        request: PlacementRequest,
        waiter: impl FnOnce(PlacementDecision) + Send + 'static,
    ) -> Option<PlacementDecision> {
        self.with(|state| {
            let now = state.now();
            let decision = state.planners.get_mut(service)?.ask(ticket, request, now);
            state.services.insert(ticket, Name::clone(service));
            if decision == PlacementDecision::Wait {
                state.waiters.insert(ticket, Box::new(waiter));
                // The look at those who wait may not be due yet.
                self.changed.notify_one();
            }
            Some(decision)
        })
    }

    /// Chooses another prefill engine for a request that has its decode engine.
    pub fn ask_prefill(&self, ticket: TicketId, request: &PlacementRequest) -> Option<Name> {
        self.with(|state| {
            let now = state.now();
            state.planner_of(ticket)?.ask_prefill(ticket, request, now)
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
            planner.adopt(ticket, request, placement, now);
            if let Some(ran) = ran {
                planner.note_started(ticket, now.before(ran));
            }
            state.services.insert(ticket, Name::clone(service));
        });
    }

    /// Notes what became of a request.
    pub fn note(&self, ticket: TicketId, note: DeskNote) {
        let waited = self.with(|state| {
            let now = state.now();
            let is_over = matches!(note, DeskNote::Ended(_));
            if let Some(planner) = state.planner_of(ticket) {
                match note {
                    DeskNote::Prefilled { took } => planner.note_prefilled(ticket, took),
                    DeskNote::Started => planner.note_started(ticket, now),
                    DeskNote::Fault { engine, fault } => {
                        planner.note_fault(ticket, &engine, fault, now);
                    }
                    DeskNote::Ended(end) => planner.note_ended(ticket, end, now),
                }
            }
            if is_over {
                state.services.remove(&ticket);
                state.waiters.remove(&ticket);
            }
            !state.waiters.is_empty()
        });
        if waited {
            self.changed.notify_one();
        }
    }
}
