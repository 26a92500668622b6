//! How a call to the platform fails.

use dillspool_io::HttpError;
use snafu::Snafu;

/// A failed call, by what is known of its effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PlatformError {
    /// The call had no effect and will have none.
    #[snafu(display("the platform's service refused the call: {reason}; try again later"))]
    NotDone {
        /// What the service or the connection said.
        reason: String,
    },
    /// The call may have taken effect, or may yet.
    #[snafu(display(
        "the platform's service gave no answer: {reason}; read back what was written"
    ))]
    Unknown {
        /// What broke the answer off.
        reason: String,
    },
}

impl From<HttpError> for PlatformError {
    fn from(error: HttpError) -> Self {
        let reason = error.to_string();
        match error {
            // The service answers an error status only for calls that it did not carry out.
            HttpError::NotSent { .. } | HttpError::Status { .. } => Self::NotDone { reason },
            HttpError::Lost { .. } => Self::Unknown { reason },
        }
    }
}
