//! Errors of engine calls.

use dillspool_io::HttpError;
use hyper::StatusCode;
use snafu::Snafu;

/// A failed engine call, classified by what the caller can do next.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EngineError {
    /// The engine has no capacity or doesn't hold the requested data; try another engine.
    #[snafu(display("the engine refused the request: {text}; place it on another engine"))]
    Refused {
        /// Body of the engine's response.
        text: String,
    },
    /// The engine cannot be reached.
    #[snafu(display("the engine is unreachable: {reason}; place the request on another engine"))]
    Unreachable {
        /// Why the connection failed.
        reason: String,
    },
    /// The call or stream was interrupted or failed in the engine, which may still hold memory for it.
    #[snafu(display(
        "the engine's response was interrupted: {reason}; resume or cancel the stream"
    ))]
    Interrupted {
        /// What interrupted the response.
        reason: String,
    },
    /// The stream is open but delivers no tokens; the engine still holds memory for it.
    #[snafu(display(
        "the engine's stream stalled: no token within {limit:?}; cancel it and continue on another engine"
    ))]
    Stalled {
        /// Maximum time between tokens.
        limit: std::time::Duration,
    },
    /// The engine sent data that belongs to another request or violates the protocol.
    #[snafu(display("the engine sent an invalid response: {reason}; the stream is abandoned"))]
    InvalidResponse {
        /// Which check failed.
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
