//! Error responses: problem details (RFC 9457) that `OpenAI` clients also understand.

use std::time::Duration;

use dillspool_io::{ResponseBody, text_response};
use dillspool_suspects::{COPY_RETRY_DELAY, CopyRefusal};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

/// Whether the work of a refused or failed request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkOutcome {
    /// The work did not run and will not take effect later.
    NotRun,
    /// It is not known whether the work ran.
    Unknown,
    /// The work ran in part; there will be no complete response.
    Incomplete,
}

impl WorkOutcome {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Incomplete => "incomplete",
        }
    }
}

/// An error response to a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestProblem {
    pub(crate) status: StatusCode,
    /// Short machine-readable cause, also used in metrics.
    pub(crate) code: &'static str,
    /// What happened and what the caller can do.
    pub(crate) detail: String,
    pub(crate) outcome: WorkOutcome,
    /// Delay before a retry.
    pub(crate) retry_after: Option<Duration>,
}

impl RequestProblem {
    /// Creates a refusal of a request that has not run.
    pub(crate) fn not_run(
        status: StatusCode,
        code: &'static str,
        detail: impl Into<String>,
    ) -> Self {
        let outcome = WorkOutcome::NotRun;
        Self { status, code, detail: detail.into(), outcome, retry_after: None }
    }

    /// Sets the delay before a retry.
    pub(crate) fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets whether the work has run.
    pub(crate) fn with_outcome(mut self, outcome: WorkOutcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// The response body as JSON.
    pub(crate) fn to_json(&self) -> String {
        let retry_after_ms =
            self.retry_after.map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        json!({
            "type": format!("urn:dillspool:{}", self.code),
            "title": self.status.canonical_reason(),
            "status": self.status.as_u16(),
            "detail": self.detail,
            "outcome": self.outcome.as_str(),
            "retry_after_ms": retry_after_ms,
            "error": {
                "message": self.detail,
                "type": self.code,
                "param": null,
                "code": self.code,
            },
        })
        .to_string()
    }

    pub(crate) fn response(&self) -> Response<ResponseBody> {
        let mut response = text_response(self.status, "application/problem+json", self.to_json());
        if let Some(after) = self.retry_after {
            // The header has whole seconds; round up so that a caller never retries too early.
            let seconds = after.as_millis().div_ceil(1000).max(1);
            if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Backend servers crashed while they ran copies of the request. There is no `Retry-After`, since
/// a retry is refused too.
pub(crate) fn deadly_problem() -> RequestProblem {
    let detail =
        "backend servers crashed while they ran this request; change it before you retry it";
    RequestProblem::not_run(StatusCode::SERVICE_UNAVAILABLE, "deadly_request", detail)
}

/// Converts the refusal to run a copy of a suspect request.
pub(crate) fn copy_problem(refusal: CopyRefusal) -> RequestProblem {
    match refusal {
        CopyRefusal::Deadly { .. } | CopyRefusal::DeadlyPart { .. } => deadly_problem(),
        CopyRefusal::CopyRuns { .. } => copy_runs_problem(),
    }
}

/// Another copy is running; it will show whether the request crashes its backend server.
pub(crate) fn copy_runs_problem() -> RequestProblem {
    let detail =
        "a copy of this request is running after others crashed backend servers; retry later";
    RequestProblem::not_run(StatusCode::SERVICE_UNAVAILABLE, "copy_runs", detail)
        .with_retry_after(COPY_RETRY_DELAY)
}
