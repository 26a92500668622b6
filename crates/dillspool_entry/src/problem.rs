//! Refusals: problem details (RFC 9457) that also fit the `OpenAI` clients.

use std::time::Duration;

use dillspool_io::{ResponseBody, text_response};
use dillspool_suspects::{COPY_RETRY_DELAY, CopyRefusal};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

/// What is true of the work behind a refused or broken request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkOutcome {
    /// The work did not run, and no trace of it can take effect later.
    NotRun,
    /// It is not known whether the work ran.
    Unknown,
    /// The work ran in part; no whole answer will come.
    Incomplete,
}

impl WorkOutcome {
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Incomplete => "incomplete",
        }
    }
}

/// A request that gets no answer.
#[derive(Clone, Debug)]
pub(crate) struct RequestProblem {
    pub(crate) status: StatusCode,
    /// Short cause for machines and metrics.
    pub(crate) code: &'static str,
    /// What happened and what to do.
    pub(crate) detail: String,
    pub(crate) outcome: WorkOutcome,
    /// When to come back.
    pub(crate) retry_after: Option<Duration>,
}

impl RequestProblem {
    /// A refusal before any work.
    pub(crate) fn not_run(
        status: StatusCode,
        code: &'static str,
        detail: impl Into<String>,
    ) -> Self {
        let outcome = WorkOutcome::NotRun;
        Self { status, code, detail: detail.into(), outcome, retry_after: None }
    }

    /// The same with a time to come back.
    pub(crate) fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The same with another truth about the work.
    pub(crate) fn outcome(mut self, outcome: WorkOutcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// The body as JSON text.
    pub(crate) fn text(&self) -> String {
        let retry_after_ms =
            self.retry_after.map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        json!({
            "type": format!("urn:dillspool:{}", self.code),
            "title": self.status.canonical_reason(),
            "status": self.status.as_u16(),
            "detail": self.detail,
            "outcome": self.outcome.text(),
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
        let mut response = text_response(self.status, "application/problem+json", self.text());
        if let Some(after) = self.retry_after {
            // The header knows whole seconds only; never tell a caller to come too early.
            let seconds = after.as_millis().div_ceil(1000).max(1);
            if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Backend servers ended under copies of the request; it names no time to come back, since it is not run then
/// either.
pub(crate) fn deadly_problem() -> RequestProblem {
    let detail =
        "backend servers ended while they ran this request; change it before you send it again";
    RequestProblem::not_run(StatusCode::SERVICE_UNAVAILABLE, "deadly_request", detail)
}

/// Why a copy of a suspect is not run.
pub(crate) fn copy_problem(refused: CopyRefusal) -> RequestProblem {
    match refused {
        CopyRefusal::Deadly { .. } => deadly_problem(),
        CopyRefusal::CopyRuns { .. } => copy_runs_problem(),
    }
}

/// Another copy shows first whether it ends what runs it.
pub(crate) fn copy_runs_problem() -> RequestProblem {
    let detail =
        "a copy of this request runs, and backend servers ended under others; come back later";
    RequestProblem::not_run(StatusCode::SERVICE_UNAVAILABLE, "copy_runs", detail)
        .retry_after(COPY_RETRY_DELAY)
}
