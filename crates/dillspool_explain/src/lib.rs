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

pub use backend_limits::{BackendLimitTable, BackendLimitUse};
pub use calls::{CallTable, CallUse};
pub use late::{EndTable, RequestEnd};
pub use limits::{LimitTable, WorkspaceUse};
pub use line::LogLine;
pub use story::{RequestStory, explain};
pub use suspects::{SuspectTable, SuspectUse};
