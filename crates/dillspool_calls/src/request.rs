//! What is asked of the call queue, and what it decides.

use std::time::Duration;

use dillspool_routing::BackendInstance;
use dillspool_schema::Name;

/// Names a call with the queue; unique among those that wait or are in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A backend server that takes calls now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallServer {
    /// Which one, and of which start.
    pub backend: BackendInstance,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Calls that it runs at once; `None` where it reports none, and then its limit is learned.
    pub slots: Option<u32>,
    /// Connections that it accepts; it resets those beyond.
    pub max_connections: u32,
}

/// A call that needs a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// Rank of its workspace, before that of its route; 0 is the highest.
    pub workspace_priority: u32,
    /// Rank of its route; 0 is the highest.
    pub priority: u32,
    /// Failure domain of the host that has the caller.
    pub failure_domain: Name,
    /// Time within which an answer is on time; zero when it is late anyway.
    pub objective_left: Duration,
    /// Time until the caller gives up.
    pub time_left: Duration,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Backend servers that it must not go to again.
    pub excluded: Vec<Name>,
}

/// Why a call is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectCause {
    /// There is no backend server that it may go to.
    NoServer,
    /// The backend servers cannot answer it in its time.
    NoCapacity,
}

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallDecision {
    /// It goes to this backend server at once.
    Send {
        /// Where it goes.
        backend: BackendInstance,
    },
    /// It waits; [`CallQueue::poll`](crate::CallQueue::poll) returns its decision.
    Wait,
    /// It is rejected, and has not run.
    Reject {
        /// Why.
        cause: RejectCause,
        /// When its caller should try again.
        retry_after: Duration,
    },
}

/// How a call ended that was sent or waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The backend server answered as it should.
    Answered,
    /// The backend server answered with a failure of its own.
    Failed,
    /// The backend server rejected it; it did not run.
    NotRun,
    /// No connection could be made.
    NotSent,
    /// No proper answer came; it may have run.
    Lost,
    /// Its caller left, or its host did not follow the decision.
    Abandoned,
}
