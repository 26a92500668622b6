//! Requests to the call queue, its decisions, and the outcomes that are reported to it.

use std::time::Duration;

use dillspool_routing::BackendInstance;
use dillspool_schema::Name;

/// Identifies a call in a queue; unique among the calls that wait or are in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A backend server that currently takes calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallServer {
    /// The backend server instance.
    pub backend: BackendInstance,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Calls that it runs concurrently; `None` if it reports none, and then its limit is learned.
    pub slots: Option<u32>,
    /// Connections that it accepts; it resets those beyond.
    pub max_connections: u32,
}

/// A call that needs a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// Priority of its workspace, compared before that of its route; 0 is the highest.
    pub workspace_priority: u32,
    /// Priority of its route; 0 is the highest.
    pub priority: u32,
    /// Failure domain of the host that the caller is connected to.
    pub failure_domain: Name,
    /// Time left in which an answer is on time; zero if it will be late anyway.
    pub objective_left: Duration,
    /// Time left until the caller gives up.
    pub time_left: Duration,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Backend servers that it must not be sent to again.
    pub excluded: Vec<Name>,
}

/// Why a call is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectCause {
    /// There is no backend server that it may be sent to.
    NoServer,
    /// The backend servers do not have the capacity to answer it in its time.
    NoCapacity,
}

/// The decision on a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallDecision {
    /// Send it to this backend server now.
    Send {
        /// The backend server that it is sent to.
        backend: BackendInstance,
    },
    /// It waits; [`CallQueue::poll`](crate::CallQueue::poll) returns its decision.
    Wait,
    /// Reject it; it has not run.
    Reject {
        /// Why it is rejected.
        cause: RejectCause,
        /// Time after which its caller should retry.
        retry_after: Duration,
    },
}

/// How a call ended that was sent or waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The backend server answered it as it should.
    Answered,
    /// The backend server answered with a failure of its own.
    Failed,
    /// The backend server rejected it; it did not run.
    NotRun,
    /// No connection could be made.
    NotSent,
    /// No proper answer came; it may have run.
    Lost,
    /// Its caller disconnected, or its host did not carry out the decision.
    Abandoned,
}
