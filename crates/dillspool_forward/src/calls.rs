//! What can be asked of a backend server, as closures that a site's protocol fills.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{BoxFuture, ResponseBody};
use dillspool_routing::{BackendEntry, EngineStage, RoutedRequest};
use dillspool_schema::Name;
use hyper::{HeaderMap, StatusCode};
use snafu::Snafu;

/// How a call failed, by what is known of its effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// No connection was made, so nothing ran.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// What the connection attempt met.
        reason: String,
    },
    /// The backend server answered that it did not do it.
    #[snafu(display("refused with {status}"))]
    Refused {
        /// Status of the refusal.
        status: StatusCode,
    },
    /// It may have run.
    #[snafu(display("no proper answer: {reason}"))]
    Lost {
        /// What was wrong.
        reason: String,
    },
}

/// The result of a prefill, kept at its engine for a short time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefilledPrompt {
    /// Engine that keeps it.
    pub engine: Arc<BackendEntry>,
    /// Names it there.
    pub handle: Name,
    /// Length of the prompt in tokens.
    pub tokens: u64,
}

impl PrefilledPrompt {
    /// Where it is fetched from.
    pub fn address(&self) -> SocketAddr {
        self.engine.address
    }
}

/// How soon an engine should take up work, relative to other work that waits there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkPriority {
    /// An answer that can be in time.
    Normal,
    /// An answer that is late whatever happens; it yields to those that can be in time.
    Late,
}

/// What is said beside the request itself when its prompt is to be read.
#[derive(Clone, Copy, Debug)]
pub struct PrefillParams {
    /// Time after which the result is of no use.
    pub limit: Duration,
    /// Its place among the prompts that wait.
    pub priority: WorkPriority,
}

/// What is said beside the request itself when it is sent to a backend server.
#[derive(Clone, Debug, Default)]
pub struct ForwardParams {
    /// Time that the backend server may take.
    pub time_budget: Duration,
    /// Reservation of memory that the request uses up.
    pub reservation: Option<Name>,
    /// Where the engine fetches the prompt's KV cache.
    pub prefilled: Option<PrefilledPrompt>,
    /// Last event that the caller has; the stream goes on behind it.
    pub resume_after: Option<u64>,
}

/// How much memory is reserved, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservationParams {
    /// Tokens to reserve.
    pub tokens: u64,
    /// Life of the reservation.
    pub ttl: Duration,
}

/// A change of the part that an engine plays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOrder {
    /// The new part.
    pub stage: EngineStage,
    /// Host that gives the order.
    pub holder: Name,
    /// Fencing token; never falls.
    pub fence: u64,
}

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Started,
    /// The engine plays that part already.
    Holds,
    /// Another order is under way, or the engine has taken other orders.
    Conflict,
    /// A higher fencing token was seen.
    Fenced,
}

/// Head and body of an answer, with what its head proves.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is one fact of the head")]
pub struct BackendResponse {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Whether the answer names the request it belongs to.
    pub matches_request_id: bool,
    /// Whether it carries the backend server's own seal.
    pub is_sealed: bool,
    /// Whether the body is encoded, though nobody asked for that.
    pub is_encoded: bool,
    /// Whether the backend server says that the request did not run.
    pub did_not_run: bool,
    /// The body; dropping it closes the connection.
    pub body: ResponseBody,
}

impl BackendResponse {
    /// Whether it is a success that this backend server gave to this request.
    pub fn is_verified_success(&self) -> bool {
        self.status.is_success() && self.matches_request_id && self.is_sealed && !self.is_encoded
    }

    /// Whether it is a failure that may be given to the caller as it is.
    pub fn is_verified_failure(&self) -> bool {
        // A promise that nothing ran must be backed by the backend server's own word.
        let promises = matches!(
            self.status,
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
        );
        let failed = self.status.is_client_error() || self.status.is_server_error();
        failed && !promises && self.matches_request_id && self.is_sealed && !self.is_encoded
    }
}

/// What a look at a backend server found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It takes connections.
    Reachable,
    /// Its machine says that nobody takes connections there.
    Refused,
    /// No answer.
    NoResponse,
}

type Reply<T> = BoxFuture<Result<T, CallError>>;
type ForwardFn = dyn Fn(Arc<BackendEntry>, Arc<RoutedRequest>, ForwardParams) -> Reply<BackendResponse>
    + Send
    + Sync;
type PrefillFn = dyn Fn(Arc<BackendEntry>, Arc<RoutedRequest>, PrefillParams) -> Reply<PrefilledPrompt>
    + Send
    + Sync;
type ReserveFn = dyn Fn(Arc<BackendEntry>, ReservationParams) -> Reply<Name> + Send + Sync;
type ReleaseFn = dyn Fn(Arc<BackendEntry>, Name) -> Reply<()> + Send + Sync;
type ProbeFn = dyn Fn(Arc<BackendEntry>) -> BoxFuture<ProbeResult> + Send + Sync;
type OrderFn = dyn Fn(Arc<BackendEntry>, StageOrder) -> Reply<OrderOutcome> + Send + Sync;

/// The calls to backend servers.
///
/// Dropping a call closes its connection, which tells the backend server to stop.
#[derive(Clone)]
pub struct BackendCalls {
    /// Sends a request and returns once the head of its answer is there.
    pub forward: Arc<ForwardFn>,
    /// Computes and keeps the KV cache of a request's prompt.
    pub prefill: Arc<PrefillFn>,
    /// Reserves memory and a slot.
    pub reserve: Arc<ReserveFn>,
    /// Gives a reservation back.
    pub release_reservation: Arc<ReleaseFn>,
    /// Gives a prefill's result up.
    pub release_prefill: Arc<ReleaseFn>,
    /// Opens a connection and closes it, to see whether the backend server takes any.
    pub probe: Arc<ProbeFn>,
    /// Gives an order.
    pub order: Arc<OrderFn>,
}

impl fmt::Debug for BackendCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BackendCalls")
    }
}
