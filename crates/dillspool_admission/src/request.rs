//! Input and output types of the planner.

use std::time::Duration;

use dillspool_part::ClassSubset;
use dillspool_routing::{BackendInstance, SoftwareVersion};
use dillspool_schema::Name;

/// Identifies a request to the planner; unique among the requests in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// An engine that accepts requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolEngine {
    /// The engine's backend server and its start.
    pub backend: BackendInstance,
    /// The engine's failure domain.
    pub failure_domain: Name,
    /// Whether the engine runs prefills; otherwise it decodes.
    pub is_prefill: bool,
    /// Version of the engine's software.
    pub software: SoftwareVersion,
}

/// What an answer is worth to its caller, in descending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkClass {
    /// The answer has begun and must be resumed elsewhere; its caller gives up within seconds.
    UnderWay,
    /// The first event can still meet the objective.
    InTime,
    /// The answer misses the objective in any case, for example because its caller was rejected
    /// before.
    Late,
}

/// A model request that needs an engine.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// What the answer is worth.
    pub class: WorkClass,
    /// Priority of the workspace, which precedes that of the route; 0 is the highest.
    pub workspace_priority: u32,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Failure domain of the host to which the caller is connected.
    pub failure_domain: Name,
    /// Tokens to prefill before the first event, including those of an interrupted answer.
    pub prompt_tokens: u64,
    /// The caller's estimate of the answer's length.
    pub estimated_tokens: u64,
    /// Maximum length of the answer.
    pub max_tokens: u64,
    /// Time left for the first event to meet the objective; zero if the objective is missed
    /// already.
    pub objective_left: Duration,
    /// Maximum time to wait for an engine, regardless of the outcome.
    pub max_wait: Duration,
    /// Time until the caller gives up.
    pub time_left: Duration,
    /// Maximum time between two events of an answer that counts as in time.
    pub max_event_gap: Option<Duration>,
    /// Engines that must not be tried again.
    pub excluded: Vec<Name>,
    /// Number of engines that have refused a reservation for this request.
    pub refusals: usize,
    /// The engines that the request's host knows; `None` for all.
    pub subset: Option<ClassSubset>,
    /// The only software version at which the stream may go on; `None` for any.
    pub software: Option<SoftwareVersion>,
}

/// The priority of a queued request; the lowest value is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePriority {
    class: WorkClass,
    workspace_priority: u32,
    priority: u32,
}

impl PlacementRequest {
    /// Whether the request's host allows placing it on the engine.
    pub(crate) fn allows_engine(&self, engine: &Name) -> bool {
        !self.excluded.contains(engine) && self.subset.is_none_or(|subset| subset.contains(engine))
    }

    /// Whether the stream may run at an engine with this software version.
    pub(crate) fn allows_software(&self, software: &SoftwareVersion) -> bool {
        self.software.as_ref().is_none_or(|required| required == software)
    }

    /// The queue priority: class first, then workspace, then route.
    pub(crate) fn queue_priority(&self) -> QueuePriority {
        QueuePriority {
            class: self.class,
            workspace_priority: self.workspace_priority,
            priority: self.priority,
        }
    }
}

/// The engines that run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPlacement {
    /// Engine that decodes.
    pub decode_engine: Name,
    /// Tokens of memory to reserve on the decode engine.
    pub reserve_tokens: u64,
    /// Engine that prefills the prompt; `None` if the decode engine does.
    pub prefill_engine: Option<Name>,
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementRejection {
    /// No engine accepts requests.
    NoEngine,
    /// No engine will have enough memory in time.
    NoMemory,
    /// No engine will have prefilled the prompt in time.
    NoPrefill,
    /// Too many engines refused the request, so the planner's view of them must be wrong.
    Refused,
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementDecision {
    /// Run the request on these engines.
    Place(StreamPlacement),
    /// The request is queued; a later poll decides.
    Wait,
    /// The request is rejected.
    Reject {
        /// Why.
        cause: PlacementRejection,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}

/// An unexpected result from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFault {
    /// The engine had no memory for a reservation.
    NoMemory,
    /// The engine refused a prefill.
    PrefillRefused,
    /// The engine refused a request for which it had reserved memory.
    ReservedRequestRefused,
    /// No connection could be made.
    Unreachable,
    /// No valid response arrived.
    NoResponse,
    /// The engine responded with an error of its own.
    Failed,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamEnd {
    /// Whether the answer is complete; only then its lifetime is a sample for other answers.
    pub is_complete: bool,
    /// Mean time between two events, if there were at least two.
    pub event_gap: Option<Duration>,
}

/// Capacity of each engine of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Tokens that fit into the memory of an engine.
    pub memory_tokens: u64,
    /// Requests that an engine runs concurrently.
    pub slots: u32,
}

/// Settings of the planner's decisions; `docs/design/admission.md` has the runs behind each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Fraction of the estimated answer that is reserved on the decode engine.
    pub reserved_part: f64,
    /// Standard deviations of an engine's forecast memory that must fit in addition to its mean.
    pub memory_deviations: f64,
    /// Fraction of an engine's memory that must stay free next to a late answer.
    pub late_margin: f64,
    /// Maximum wait of a late answer for memory, as a fraction of the mean lifetime of an answer.
    pub late_wait: f64,
    /// Whether requests of equal priority are ordered by memory times expected lifetime, lowest
    /// first, instead of by arrival.
    pub by_cost: bool,
    /// Earliest retry of a rejected caller, as a fraction of the time it has left.
    pub come_back_from: f64,
    /// Minimum probability that a late answer completes before its deadline for it to be started;
    /// half of this for other answers, 0 to start all.
    pub completion_chance: f64,
    /// Whether decode engines may prefill prompts.
    pub reads_at_decode: bool,
    /// Number of engines that may refuse a request before it is rejected.
    pub most_refusals: usize,
    /// Consecutive failures after which an engine's circuit breaker opens; 0 disables this.
    pub failures_before_shut: u32,
    /// Penalty in ranking for an engine that takes twice as long per token as usual, as a fraction
    /// of its memory; 0 ignores the speed of engines.
    pub slow_weight: f64,
    /// Penalty in ranking for an engine whose requests all fail, as a fraction of its memory.
    pub failure_weight: f64,
}

impl EngineCapacity {
    /// Capacity of engines without a configured capacity: no shortage is forecast, and only
    /// refusals by the engines limit them.
    pub const UNLIMITED: Self = Self { memory_tokens: u32::MAX as u64, slots: u32::MAX };
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        Self {
            reserved_part: 0.4,
            memory_deviations: 1.8,
            late_margin: 0.05,
            late_wait: 1.0,
            by_cost: false,
            come_back_from: 0.23,
            completion_chance: 0.0,
            reads_at_decode: true,
            most_refusals: 12,
            failures_before_shut: 2,
            slow_weight: 0.0,
            failure_weight: 1.0,
        }
    }
}
