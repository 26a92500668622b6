//! How a call to an engine fails.

use dillspool_io::HttpError;
use hyper::StatusCode;
use snafu::Snafu;

/// A failed engine call, by what the caller can do next.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EngineError {
    /// The engine has no room or does not hold what was asked for; ask another.
    #[snafu(display("the engine refused: {text}; place the request on another engine"))]
    Refused {
        /// What the engine said.
        text: String,
    },
    /// The engine cannot be reached.
    #[snafu(display("the engine is out of reach: {reason}; place the request on another engine"))]
    Unreachable {
        /// What the connection met.
        reason: String,
    },
    /// The call or stream broke off, and the engine may still hold memory for it.
    #[snafu(display("the engine's answer broke off: {reason}; resume or cancel the stream"))]
    Interrupted {
        /// What broke off.
        reason: String,
    },
    /// The stream is open but gives no tokens; the engine still holds memory for it.
    #[snafu(display(
        "the engine's stream stalled: no token within {limit:?}; cancel it and go on elsewhere"
    ))]
    Stalled {
        /// Longest silence that was allowed.
        limit: std::time::Duration,
    },
    /// The engine sent something that belongs to another request or to no protocol.
    #[snafu(display("the engine sent a wrong answer: {reason}; the stream is given up"))]
    InvalidResponse {
        /// What was wrong.
        reason: String,
    },
}

impl From<HttpError> for EngineError {
    fn from(error: HttpError) -> Self {
        let reason = error.to_string();
        match error {
            HttpError::NotSent { .. } => Self::Unreachable { reason },
            HttpError::Status { status, text, .. }
                if status != StatusCode::INTERNAL_SERVER_ERROR =>
            {
                Self::Refused { text }
            }
            HttpError::Status { .. } | HttpError::Lost { .. } => Self::Interrupted { reason },
        }
    }
}
