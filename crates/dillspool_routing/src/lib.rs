//! Requests, routes and backend servers, as the router sees them.
//!
//! These types say what a request needs and where it may go. They know neither a wire format nor
//! a policy; see `docs/design/platform_site.md`.

mod backend;
mod config;
mod request;
mod route;
mod workspace;

pub use backend::{
    BackendEntry, BackendId, BackendInstance, BackendStart, BackendState, DirectoryView,
    EngineStage,
};
pub use config::{ClientLimits, EnginePool, RoutingConfig, ServiceEntry};
pub use request::{GenerationParams, PromptPart, RequestMetadata, RoutedRequest};
pub use route::{RequestKind, RouteEntry, RouteTable, ServiceShare};
pub use workspace::{LimitUnit, WorkspaceEntry, WorkspaceLimit, WorkspaceTable};
