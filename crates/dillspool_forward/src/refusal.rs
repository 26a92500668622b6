//! Error responses that the router itself generates.

use std::time::Duration;

use dillspool_io::{ResponseBody, text_response};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Why the router responds itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// No configuration or backend server is known yet.
    NotReady,
    /// The request has no attempt id, or is malformed.
    Malformed,
    /// The body is longer than the configuration allows.
    BodyTooLarge,
    /// The body did not arrive completely.
    BodyLost,
    /// This host has too many requests in flight.
    HostFull,
    /// No route matches the request.
    NoRoute,
    /// The API key is missing, or belongs to no workspace.
    UnknownKey,
    /// The route or key is unknown, and this host's configuration may be stale.
    StaleConfig,
    /// The workspace exceeds its rate limit.
    OverLimit,
    /// No host that holds the workspace's rate limit is reachable.
    LimitUnknown,
    /// The request is suspected of crashing backend servers.
    Deadly,
    /// Backend servers crashed on the request, and another copy of it is running.
    CopyRuns,
    /// The rate limits that its backend servers set are exhausted.
    BackendsLimited,
    /// No backend server of the service accepts requests.
    NoBackend,
    /// The backend servers of the service cannot respond before the deadline.
    NoRoom,
    /// No engine with the software version that began the stream accepts requests.
    SoftwareGone,
    /// It is not known which software version began the stream.
    SoftwareUnknown,
    /// No engine has memory for the response.
    NoMemory,
    /// No engine can prefill the prompt in time.
    NoPrefill,
    /// The backend servers that were tried did not run the request.
    NotRun,
    /// The deadline passed before the request ran.
    TooLateNotRun,
    /// The deadline passed and the request may have run.
    TimedOut,
    /// The backend server's response was lost or invalid; the request may have run.
    Unknown,
}

impl RefusalCause {
    /// Value in logs, metrics and the response body.
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
            Self::SoftwareGone => "software_gone",
            Self::SoftwareUnknown => "software_unknown",
            Self::NoMemory => "no_memory",
            Self::NoPrefill => "no_prefill",
            Self::NotRun => "not_run",
            Self::TooLateNotRun => "too_late_not_run",
            Self::TimedOut => "timed_out",
            Self::Unknown => "unknown",
        }
    }

    /// Whether the status guarantees that the request did not run and never will.
    pub fn did_not_run(self) -> bool {
        matches!(self.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
    }

    /// Status of the response; 429 and 503 guarantee that the request did not run and never will.
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
            | Self::SoftwareGone
            | Self::SoftwareUnknown
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

/// A final response of the router itself, with a retry delay if the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub cause: RefusalCause,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal without a `Retry-After` header.
    pub fn new(cause: RefusalCause) -> Self {
        Self { cause, retry_after: None }
    }

    /// A refusal with a `Retry-After` header, for a request that did not run.
    pub fn with_retry_after(cause: RefusalCause, after: Duration) -> Self {
        Self { cause, retry_after: Some(after) }
    }

    /// Whether the backend servers' rate limits are exhausted, which is temporary.
    pub(crate) fn is_backends_limited(&self) -> bool {
        self.cause == RefusalCause::BackendsLimited
    }

    /// The response to the caller.
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
            // On a reused connection the rest of the body would be parsed as the next request.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
