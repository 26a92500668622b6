//! Requests, routes and backend servers as the router represents them.
//!
//! These types are independent of wire formats and of scheduling policy; see
//! `docs/design/platform_site.md`.

mod backend;
mod config;
mod request;
mod route;
mod workspace;

pub use backend::{
    BackendEntry, BackendId, BackendInstance, BackendStart, BackendState, DirectoryView,
    EngineStage, SoftwareVersion,
};
pub use config::{ClientLimits, EnginePool, RoutingConfig, ServiceEntry};
pub use request::{
    GenerationParams, MAX_TOKENS, PromptPart, RequestMetadata, ResumePosition, RoutedRequest,
};
pub use route::{RequestKind, RouteEntry, RouteTable, ServiceShare};
pub use workspace::{LimitUnit, WorkspaceEntry, WorkspaceLimit, WorkspaceTable};
