//! Queueing and load balancing of the calls of one plain service: which backend server a call is
//! sent to, how long it waits for that, and when it is rejected.
//!
//! The crate decides from reported outcomes and a clock that is passed in; it does no I/O, spawns
//! no tasks and writes no logs. The host that decides the calls of a service for all hosts uses one
//! [`CallQueue`] with the full limits of all servers. A host that has lost contact with it uses a
//! queue of its own with a small share of the limits. `docs/design/calls.md` has the load patterns,
//! the failures and the approaches that were compared.

mod breaker;
mod estimators;
mod forecast;
mod limit;
mod policy;
mod queue;
mod request;
mod retry;
mod server;
mod servers;
mod snapshot;
mod wait_queue;

pub use policy::CallPolicy;
pub use queue::CallQueue;
pub use request::{CallDecision, CallId, CallOutcome, CallRequest, CallServer, RejectCause};
pub use snapshot::{QueueSnapshot, ServerSnapshot};
