//! Fleet-wide scheduling: for each pool, for each share of the rate limits and for each plain
//! service with few slots, one host decides for all hosts.
//!
//! Every host runs a [`PlacementScheduler`] and accepts links from other hosts. Hosts choose the
//! scheduler by ranking the host rows they know, without an election. A scheduler holds only what
//! the hosts it serves report to it; its successor gets the same reports again. A host that reaches
//! no scheduler decides from its own streams with the same code. See `docs/design/scheduling.md`.

mod call_client;
mod call_scheduler;
mod call_serve;
mod call_wire;
mod candidates;
mod client;
mod fleet_bus;
mod limit_client;
mod link;
mod link_manager;
mod local_share;
mod origin_relay;
mod placement_scheduler;
mod rate_limiter;
mod serve;
mod tunnel_client;
mod tunnel_serve;
mod tunnel_stream;
mod wire;

pub use call_client::{CallClient, CallTicket};
pub use call_scheduler::{CallScheduler, CallSchedulerSettings};
pub use candidates::{SchedulerCandidate, rank_candidates};
pub use client::{PlacementTicket, ScheduleClient};
pub use fleet_bus::{BusHandlers, FleetBus, FleetUpdate, NoticeHandlers, SuspectHandlers};
pub use limit_client::{LimitClient, SpendGrant};
pub use link_manager::SchedulePeers;
pub use local_share::LocalShare;
pub use placement_scheduler::{PlacementEvent, PlacementScheduler};
pub use rate_limiter::{RateLimiter, RateLimiterSettings};
pub use serve::{ScheduleServices, serve_schedule};
pub use tunnel_client::tunnel_opener;
pub use wire::ScheduleError;
