//! The path of a request to its backend server and of the answer back.
//!
//! Plain requests go to one backend server of their service. Model requests reserve decode
//! memory, are prefilled, and are streamed event by event. What may be sent again, and when,
//! is decided here and nowhere else; `docs/design/platform_site.md` has the reasons.

mod answer;
mod backend_tracker;
mod broken_run;
mod calls;
mod context;
mod events;
mod generate;
mod long_answer;
mod metrics;
mod picker;
mod placement;
mod plain;
mod prefill;
mod reader;
mod refusal;
mod relay;
mod retry_budget;
mod scheduled;
mod stages;
mod throttle;
mod trace;
mod tried;
mod workspace_limit;

pub use answer::answer_request;
pub use backend_tracker::BackendTracker;
pub use broken_run::BreakLooks;
pub use calls::{
    BackendAnswer, BackendCalls, BackendSign, CallError, ForwardTerms, HoldTerms, OrderOutcome,
    PrefillTerms, PrefilledPrompt, StageOrder, WorkRank,
};
pub use context::ForwardContext;
pub use events::{EventSplitter, StreamEvent};
pub use metrics::{ForwardMetrics, OutcomeLabels};
pub use refusal::{Refusal, RefusalCause};
pub use retry_budget::{BudgetSettings, BudgetUsage, RetryBudgets};
