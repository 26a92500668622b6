//! What is asked of the planner, and what it decides.

use std::time::Duration;

use dillspool_part::ClassSubset;
use dillspool_routing::BackendInstance;
use dillspool_schema::Name;

/// Names a request with the planner; unique among those under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// An engine that takes requests now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolEngine {
    /// Which one, and of which start.
    pub backend: BackendInstance,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Whether it prefills; else it decodes.
    pub is_prefill: bool,
}

/// How much an answer is worth to its caller, most first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkClass {
    /// An answer that has begun and must go on elsewhere; its caller leaves within seconds.
    UnderWay,
    /// An answer whose first event can still be in time.
    InTime,
    /// An answer that is late whatever happens, as of a caller that was refused before.
    Late,
}

/// A model request that needs an engine.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// What it is worth.
    pub class: WorkClass,
    /// Rank of its workspace, before that of its route; 0 is the highest.
    pub workspace_priority: u32,
    /// Rank of its route; 0 is the highest.
    pub priority: u32,
    /// Failure domain of the host that has the caller.
    pub failure_domain: Name,
    /// Tokens to read before the first event, those of a broken answer included.
    pub prompt_tokens: u64,
    /// The caller's guess of the answer's tokens.
    pub estimated_tokens: u64,
    /// Most tokens that the answer may have.
    pub max_tokens: u64,
    /// Time in which the first event is in time; zero when it is late anyway.
    pub objective_left: Duration,
    /// Longest that it may wait for an engine, whatever comes of it.
    pub max_wait: Duration,
    /// Time until the caller gives up.
    pub time_left: Duration,
    /// Longest pause between two events of an answer that is in time.
    pub max_event_gap: Option<Duration>,
    /// Engines that it must not go to again.
    pub excluded: Vec<Name>,
    /// Engines that have refused it a place until now.
    pub refusals: usize,
    /// The engines that its host knows; `None` for all.
    pub subset: Option<ClassSubset>,
}

/// The place of a request among those that wait; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestRank {
    class: WorkClass,
    workspace_priority: u32,
    priority: u32,
}

impl PlacementRequest {
    /// Whether it may go to an engine, as far as its host is concerned.
    pub(crate) fn may_go_to(&self, engine: &Name) -> bool {
        !self.excluded.contains(engine) && self.subset.is_none_or(|part| part.contains(engine))
    }

    /// Its place among those that wait: what it is worth, then who asks, then for what.
    pub(crate) fn rank(&self) -> RequestRank {
        RequestRank {
            class: self.class,
            workspace_priority: self.workspace_priority,
            priority: self.priority,
        }
    }
}

/// Where a request runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPlacement {
    /// Engine that decodes.
    pub decode_engine: Name,
    /// Tokens of memory to reserve there.
    pub reserve_tokens: u64,
    /// Engine that reads the prompt; `None` when the decode engine reads it itself.
    pub prefill_engine: Option<Name>,
}

/// Why a request was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementRejection {
    /// No engine takes requests.
    NoEngine,
    /// No engine will have memory for it in time.
    NoMemory,
    /// No engine will have read its prompt in time.
    NoPrefill,
    /// So many engines refused it that what is believed of them cannot be right.
    Refused,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementDecision {
    /// It runs there.
    Place(StreamPlacement),
    /// It waits; a later look at the line decides.
    Wait,
    /// It is refused at once.
    Reject {
        /// Why.
        cause: PlacementRejection,
        /// When its caller should come back.
        retry_after: Duration,
    },
}

/// What an engine did other than expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFault {
    /// It had no memory for a reservation.
    NoMemory,
    /// It refused a prefill.
    PrefillRefused,
    /// It refused a request for which it had reserved memory.
    ReservedRequestRefused,
    /// It gave no connection.
    Unreachable,
    /// It gave no proper answer.
    NoResponse,
    /// It answered with a failure of its own.
    Failed,
}

/// How a stream left its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamEnd {
    /// Whether its answer is whole, so that its life tells of others.
    pub is_complete: bool,
    /// Mean time between two of its events, if it had some.
    pub event_gap: Option<Duration>,
}

/// What the engines of a pool have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Tokens that fit into an engine's memory.
    pub memory_tokens: u64,
    /// Requests that an engine runs at once.
    pub slots: u32,
}

/// The limits by which the planner decides; `docs/design/admission.md` has the run behind each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Part of the guess that is reserved at the engine.
    pub reserved_part: f64,
    /// Standard deviations of an engine's foreseen memory that must fit beside its mean.
    pub memory_deviations: f64,
    /// Part of an engine's memory that must be left beside a late answer.
    pub late_margin: f64,
    /// Longest wait of a late answer for memory, as a part of the mean life of an answer.
    pub late_wait: f64,
    /// Whether, among equals in rank, requests that take little memory for a short time go first, in
    /// place of those that came first.
    pub by_cost: bool,
    /// When a refused caller should come back at the earliest, as a part of the time that it has left.
    pub come_back_from: f64,
    /// Chance that a late answer is whole at its deadline below which it is not begun; half of it
    /// for others, 0 to begin all.
    pub completion_chance: f64,
    /// Whether prompts may be read at decode engines.
    pub reads_at_decode: bool,
    /// Engines that may refuse one request before it is turned away.
    pub most_refusals: usize,
    /// Failures in a row after which an engine is left alone; 0 for never.
    pub failures_before_shut: u32,
    /// Room that an engine counts as having less that takes twice as long as usual, as a part of its
    /// memory; 0 where the engines' paces are not told apart.
    pub slow_weight: f64,
    /// Room that an engine whose requests all fail counts as having less, as a part of its memory.
    pub failure_weight: f64,
}

impl EngineCapacity {
    /// Of engines that the configuration says nothing of: nothing is foreseen to run out, and their
    /// own refusals decide.
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
