//! Log analysis: a report on one request, and tables of outcomes, limits, calls and suspects.
//!
//! The input is the logs of one or more hosts. `docs/OPERATIONS.md` shows how it is used.

mod backend_limits;
mod calls;
mod limits;
mod log_line;
mod outcomes;
mod report;
mod suspects;

pub use backend_limits::{BackendLimitStats, BackendLimitTable};
pub use calls::{CallStats, CallTable};
pub use limits::{LimitTable, WorkspaceStats};
pub use log_line::LogLine;
pub use outcomes::{OutcomeTable, RequestOutcome};
pub use report::{RequestReport, explain};
pub use suspects::{SuspectStats, SuspectTable};
