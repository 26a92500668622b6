//! Where a model request runs, how long it waits for that, and when it is turned away.
//!
//! These are decisions over readings and a clock that is passed in: no input or output, no task,
//! no log. Who knows more decides better with the same code: one host with its own streams, or the
//! scheduler of a pool with those of all hosts. `docs/design/admission.md` names the load pattern
//! that each decision answers.

mod decode_book;
mod lifetime;
mod planner;
mod prefill_book;
mod request;
mod shut;
mod waiting;

pub use lifetime::LifetimeModel;
pub use planner::{PoolPlanner, PoolSnapshot};
pub use request::{
    AdmissionPolicy, EngineCapacity, EngineFault, PlacementDecision, PlacementRejection,
    PlacementRequest, PoolEngine, StreamEnd, StreamPlacement, TicketId, WorkClass,
};
