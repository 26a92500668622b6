//! The story of one request, from the logs of several hosts.
//!
//! `docs/OPERATIONS.md` shows how it is used.

mod backend_limits;
mod calls;
mod late;
mod limits;
mod line;
mod story;
mod suspects;

pub use backend_limits::{BackendLimitStats, BackendLimitTable};
pub use calls::{CallStats, CallTable};
pub use late::{OutcomeTable, RequestOutcome};
pub use limits::{LimitTable, WorkspaceStats};
pub use line::LogLine;
pub use story::{RequestReport, explain};
pub use suspects::{SuspectStats, SuspectTable};
