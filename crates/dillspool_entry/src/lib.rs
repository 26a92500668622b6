//! The callers' side: authentication, model requests and plain routes.
//!
//! A model request is placed by the pool's scheduler, prefilled, handed to a decode engine and
//! streamed; whatever happens, the caller gets the whole answer or an unmistakable error. See
//! `docs/design/path.md`.

mod answer;
mod context;
mod ids;
mod metrics;
mod openai;
mod placement;
mod plain;
mod problem;
mod retry;
mod router;
mod stream;

pub use context::{EntryContext, HostStatus, PlacementClient, ReserveReply};
pub use ids::StreamIds;
pub use metrics::EntryMetrics;
pub use placement::PlacementRegistry;
pub use retry::RetryBudget;
pub use router::callers_handler;
