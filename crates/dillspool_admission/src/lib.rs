//! Admission control and placement of model requests: which engines run a request, how long it may
//! queue, and when it is rejected.
//!
//! The decisions are pure functions of observations and of a clock that the caller passes in: no
//! I/O, no tasks, no logging. The same code runs on a single host, which knows its own streams
//! only, and in the scheduler of a pool, which knows those of all hosts and therefore decides
//! better. `docs/design/admission.md` names the load pattern that each decision answers.

mod breaker;
mod decode_state;
mod lifetime;
mod planner;
mod prefill_state;
mod queue;
mod request;

pub use lifetime::LifetimeModel;
pub use planner::{PoolPlanner, PoolSnapshot};
pub use request::{
    AdmissionPolicy, EngineCapacity, EngineFault, PlacementDecision, PlacementRejection,
    PlacementRequest, PoolEngine, StreamEnd, StreamPlacement, TicketId, WorkClass,
};
