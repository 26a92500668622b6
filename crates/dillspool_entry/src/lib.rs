//! The HTTP API for callers: authentication, model requests and plain routes.
//!
//! The pool's scheduler places a model request, a prefill engine computes its KV cache, and a
//! decode engine streams the tokens. The caller gets either the complete response or an explicit
//! error, never a truncated response that looks complete. See `docs/design/path.md`.

mod completion_stream;
mod completions;
mod context;
mod ids;
mod metrics;
mod openai;
mod placement;
mod plain_calls;
mod problem;
mod retry_budget;
mod router;

pub use context::{EntryContext, HostStatus, PlacementClient, ReserveReply};
pub use ids::StreamIds;
pub use metrics::EntryMetrics;
pub use placement::PlacementRegistry;
pub use retry_budget::RetryBudget;
pub use router::callers_handler;
