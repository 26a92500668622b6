//! Forwards requests to backend servers and relays their responses.
//!
//! Plain requests go to one backend server of their service. Model requests reserve decode
//! memory, are prefilled, and are streamed event by event. All retry decisions are made in this
//! crate; `docs/design/platform_site.md` has the reasons.

mod backend_probe;
mod backend_tracker;
mod calls;
mod context;
mod event_checker;
mod generate;
mod handle;
mod metrics;
mod picker;
mod placement;
mod plain;
mod prefill;
mod reader;
mod refusal;
mod relay;
mod response_body;
mod retry_budget;
mod scheduled;
mod stages;
mod throttle;
mod trace;
mod tried;
mod workspace_limit;

pub use backend_probe::BackendProbes;
pub use backend_tracker::BackendTracker;
pub use calls::{
    BackendCalls, BackendResponse, CallError, ForwardParams, OrderOutcome, PrefillParams,
    PrefilledPrompt, ProbeResult, ReservationParams, StageOrder, WorkPriority,
};
pub use context::ForwardContext;
pub use event_checker::HabitTracker;
pub use handle::handle_request;
pub use metrics::{ForwardMetrics, OutcomeLabels};
pub use refusal::{Refusal, RefusalCause};
pub use retry_budget::{BudgetSettings, BudgetUsage, RetryBudgets};
