//! Which backend server a call of a plain service goes to, how long it waits for that, and when it is rejected.
//!
//! These are decisions over outcomes that are reported and a clock that is passed in: no input or output, no
//! task, no log. The host that decides the calls of a service for all hosts uses one [`CallQueue`] with all of
//! the servers' limits; a host that has lost it uses one of its own with a small share of them.
//! `docs/design/calls.md` has the load patterns, the failures and the approaches that were compared.

mod block;
mod forecast;
mod limit;
mod line;
mod meter;
mod policy;
mod queue;
mod reading;
mod request;
mod retry;
mod server;
mod servers;

pub use policy::CallPolicy;
pub use queue::CallQueue;
pub use reading::{QueueSnapshot, ServerSnapshot};
pub use request::{CallDecision, CallId, CallOutcome, CallRequest, CallServer, RejectCause};
