//! Where a model request runs, how long it waits for that, and when it is turned away.
//!
//! These are decisions over readings and a clock that is passed in: no input or output, no task,
//! no log. Who knows more decides better with the same code: one host with its own streams, or the
//! scheduler of a pool with those of all hosts. `docs/design/admission.md` names the load pattern
//! that each decision answers.

mod decode_book;
mod length;
mod planner;
mod prefill_book;
mod request;
mod shut;
mod waiting;

pub use length::LengthModel;
pub use planner::{PoolPlanner, PoolReading};
pub use request::{
    AdmissionPolicy, EngineFault, PlacementDecision, PlacementRequest, PoolEngine, PoolTerms,
    StreamEnd, StreamPlacement, TicketId, TurnAwayCause, WorkClass,
};
