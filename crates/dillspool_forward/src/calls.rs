//! The calls to backend servers, as closures that a site's protocol implements.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dillspool_io::{BoxFuture, ResponseBody};
use dillspool_routing::{BackendEntry, EngineStage, RoutedRequest};
use dillspool_schema::Name;
use hyper::{HeaderMap, StatusCode};
use snafu::Snafu;

/// How a call failed, by what is known about its effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// No connection was established, so nothing ran.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Error of the connection attempt.
        reason: String,
    },
    /// The backend server responded that it did not execute the call.
    #[snafu(display("refused with {status}"))]
    Refused {
        /// Status of the refusal.
        status: StatusCode,
    },
    /// No valid response arrived; the call may have run.
    #[snafu(display("no valid response: {reason}"))]
    Lost {
        /// What went wrong.
        reason: String,
    },
}

/// The result of a prefill, which its engine keeps for a short time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefilledPrompt {
    /// Engine that holds the KV cache.
    pub engine: Arc<BackendEntry>,
    /// Handle of the KV cache at that engine.
    pub handle: Name,
    /// Length of the prompt in tokens.
    pub tokens: u64,
}

impl PrefilledPrompt {
    /// Address that the decode engine fetches it from.
    pub fn address(&self) -> SocketAddr {
        self.engine.address
    }
}

/// Priority of work in an engine's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkPriority {
    /// The response can still meet its latency objective.
    Normal,
    /// The response misses its objective in any case, so it yields to those that can meet theirs.
    Late,
}

/// Parameters of a prefill beside the request itself.
#[derive(Clone, Copy, Debug)]
pub struct PrefillParams {
    /// Time after which the result is no longer useful.
    pub limit: Duration,
    /// Priority among the queued prompts.
    pub priority: WorkPriority,
}

/// Parameters of a forwarded request beside the request itself.
#[derive(Clone, Debug, Default)]
pub struct ForwardParams {
    /// Time limit for the backend server.
    pub time_budget: Duration,
    /// Memory reservation that the request consumes.
    pub reservation: Option<Name>,
    /// Where the engine fetches the prompt's KV cache.
    pub prefilled: Option<PrefilledPrompt>,
    /// Last event that the caller received; the stream resumes after it.
    pub resume_after: Option<u64>,
}

/// Size and lifetime of a memory reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservationParams {
    /// Tokens to reserve.
    pub tokens: u64,
    /// Time after which the reservation expires.
    pub ttl: Duration,
}

/// A command that switches an engine to another stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOrder {
    /// The new stage.
    pub stage: EngineStage,
    /// Host that issues the order as the lease holder.
    pub holder: Name,
    /// Fencing token, which never decreases.
    pub fence: u64,
}

/// An engine's response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The switch has started.
    Started,
    /// The engine already has that stage.
    Holds,
    /// Another switch is in progress, or the engine has accepted other orders.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
}

/// A backend server's response, with the facts that its head proves.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a separate fact about the head")]
pub struct BackendResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers to pass to the caller.
    pub headers: HeaderMap,
    /// Whether the response echoes the id of the request.
    pub matches_request_id: bool,
    /// Whether it carries the backend server's own seal, which proves its origin.
    pub is_sealed: bool,
    /// Whether the body has a content encoding, which no request asks for.
    pub is_encoded: bool,
    /// Whether the backend server says that the request did not run.
    pub did_not_run: bool,
    /// The body; dropping it closes the connection.
    pub body: ResponseBody,
}

impl BackendResponse {
    /// Whether it is verifiably this backend server's success response to this request.
    pub fn is_verified_success(&self) -> bool {
        self.status.is_success() && self.matches_request_id && self.is_sealed && !self.is_encoded
    }

    /// Whether it is verifiably this backend server's failure and may be passed to the caller unchanged.
    pub fn is_verified_failure(&self) -> bool {
        // These statuses tell the caller that nothing ran, so they need the backend server's explicit statement
        // (`did_not_run`).
        let means_not_run = matches!(
            self.status,
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
        );
        let failed = self.status.is_client_error() || self.status.is_server_error();
        failed && !means_not_run && self.matches_request_id && self.is_sealed && !self.is_encoded
    }
}

/// Result of a connection probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It accepted the connection.
    Reachable,
    /// Its machine refused the connection.
    Refused,
    /// No response.
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
/// Dropping a call's future closes its connection, which tells the backend server to stop.
#[derive(Clone)]
pub struct BackendCalls {
    /// Sends a request and returns when the head of its response arrives.
    pub forward: Arc<ForwardFn>,
    /// Runs the prefill of a request's prompt and keeps its KV cache.
    pub prefill: Arc<PrefillFn>,
    /// Reserves memory and a slot at an engine.
    pub reserve: Arc<ReserveFn>,
    /// Releases a reservation.
    pub release_reservation: Arc<ReleaseFn>,
    /// Releases the result of a prefill.
    pub release_prefill: Arc<ReleaseFn>,
    /// Opens and closes a connection to check whether the backend server accepts any.
    pub probe: Arc<ProbeFn>,
    /// Orders an engine to switch its stage.
    pub order: Arc<OrderFn>,
}

impl fmt::Debug for BackendCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BackendCalls")
    }
}
