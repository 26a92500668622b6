//! One host schedules the requests of a pool for all hosts, one counts a limit that all keep together, and one
//! decides on the calls of a plain service that has few slots.
//!
//! Every host has a [`PlacementScheduler`] and listens for others; which one they ask follows from the rows
//! of the hosts. What a scheduler knows is told to it by the hosts it serves, and another one
//! learns it from them anew. A host that reaches no scheduler decides from its own streams with
//! the same code. See `docs/design/scheduling.md`.

mod call_client;
mod call_desk;
mod call_serve;
mod call_wire;
mod candidates;
mod client;
mod desk;
mod fleet_bus;
mod keeper;
mod limit_client;
mod limit_desk;
mod link;
mod serve;
mod wire;

pub use call_client::{CallClient, CallTicket};
pub use call_desk::{CallScheduler, CallSchedulerSettings};
pub use candidates::{SchedulerCandidate, rank_candidates};
pub use client::{PlacementTicket, ScheduleClient};
pub use desk::{PlacementEvent, PlacementScheduler};
pub use fleet_bus::{BusHandlers, FleetBus, FleetUpdate, NoticeHandlers, SuspectHandlers};
pub use keeper::SchedulePeers;
pub use limit_client::{LimitClient, SpendGrant};
pub use limit_desk::{RateLimiter, RateLimiterSettings};
pub use serve::{ScheduleServices, serve_schedule};
pub use wire::ScheduleError;
