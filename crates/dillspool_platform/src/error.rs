//! Errors of calls to the platform services.

use dillspool_io::HttpError;
use snafu::Snafu;

/// A failed call, by what is known about its effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PlatformError {
    /// The call had no effect and will have none.
    #[snafu(display("the platform service rejected the request: {reason}; retry later"))]
    NotDone {
        /// Error of the service or the connection.
        reason: String,
    },
    /// The call may have taken effect, or may still.
    #[snafu(display(
        "the platform service did not respond: {reason}; read the data back to learn the outcome"
    ))]
    Unknown {
        /// Error that interrupted the response.
        reason: String,
    },
}

impl From<HttpError> for PlatformError {
    fn from(error: HttpError) -> Self {
        let reason = error.to_string();
        match error {
            // The service responds with an error status only to calls that it did not apply.
            HttpError::NotSent { .. } | HttpError::Status { .. } => Self::NotDone { reason },
            HttpError::Lost { .. } => Self::Unknown { reason },
        }
    }
}
