//! Final answers of the router's own.

use std::time::Duration;

use dillspool_io::{ResponseBody, text_response};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Why the router answers by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// No configuration or no backend server is known yet.
    NotReady,
    /// The request names no attempt, or is malformed.
    Malformed,
    /// The body is longer than the configuration allows.
    BodyTooLarge,
    /// The body did not arrive.
    BodyLost,
    /// This host has too much in flight.
    HostFull,
    /// No route takes the request.
    NoRoute,
    /// The caller's key is missing, or no workspace has it.
    UnknownKey,
    /// Its route or key is not known here, and this host's configuration may be old.
    StaleConfig,
    /// Its workspace has asked for more than its limit.
    OverLimit,
    /// No host that counts its workspace's limit can be asked.
    LimitUnknown,
    /// Backend servers end under it.
    Deadly,
    /// Backend servers ended under it, and another copy of it runs.
    CopyRuns,
    /// Its backend servers name how much they take, and that is spent.
    BackendsLimited,
    /// No backend server of the service takes requests.
    NoBackend,
    /// The backend servers of the service cannot answer it in its time.
    NoRoom,
    /// No engine had memory for the answer.
    NoMemory,
    /// No engine would read the prompt in time.
    NoPrefill,
    /// The backend servers that were asked did not run it.
    NotRun,
    /// The time is over before the request ran.
    TooLateNotRun,
    /// The time is over and the request may have run.
    TimedOut,
    /// The backend server's answer was lost or was none.
    Unknown,
}

impl RefusalCause {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::Malformed => "malformed",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyLost => "body_lost",
            Self::HostFull => "host_full",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::StaleConfig => "stale_config",
            Self::OverLimit => "over_limit",
            Self::LimitUnknown => "limit_unknown",
            Self::Deadly => "deadly",
            Self::CopyRuns => "copy_runs",
            Self::BackendsLimited => "backends_limited",
            Self::NoBackend => "no_backend",
            Self::NoRoom => "no_room",
            Self::NoMemory => "no_memory",
            Self::NoPrefill => "no_prefill",
            Self::NotRun => "not_run",
            Self::TooLateNotRun => "too_late_not_run",
            Self::TimedOut => "timed_out",
            Self::Unknown => "unknown",
        }
    }

    /// Whether the request did not run and never will, as its status promises.
    pub fn did_not_run(self) -> bool {
        matches!(self.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
    }

    /// Status of the answer; 429 and 503 say that the request did not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NotReady
            | Self::HostFull
            | Self::StaleConfig
            | Self::LimitUnknown
            | Self::Deadly
            | Self::CopyRuns
            | Self::BackendsLimited
            | Self::NoBackend
            | Self::NoRoom
            | Self::NoMemory
            | Self::NoPrefill
            | Self::NotRun
            | Self::TooLateNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLost => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown => StatusCode::BAD_GATEWAY,
        }
    }
}

/// A final answer of the router's own, with when to come back if the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal without a time to come back.
    pub fn new(cause: RefusalCause) -> Self {
        Self { cause, retry_after: None }
    }

    /// A refusal of a request that did not run.
    pub fn with_retry_after(cause: RefusalCause, after: Duration) -> Self {
        Self { cause, retry_after: Some(after) }
    }

    /// Whether its backend servers have room again in a while.
    pub(crate) fn is_backends_limited(&self) -> bool {
        self.cause == RefusalCause::BackendsLimited
    }

    /// The answer to the caller.
    pub fn response(&self) -> Response<ResponseBody> {
        let mut response =
            text_response(self.cause.status(), "text/plain", self.cause.name().to_owned());
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.2}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        if self.cause == RefusalCause::BodyLost || self.cause == RefusalCause::BodyTooLarge {
            // What is left of the body would be read as the next request.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
