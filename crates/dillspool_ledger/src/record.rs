//! Rows of the ledger.

use dillspool_io::UnixMillis;
use dillspool_schema::Name;
use serde::{Deserialize, Serialize};

/// How far a call got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallState {
    /// The holder may have sent it, or may yet.
    Intent,
    /// It ran, and the answer is recorded.
    Answered,
    /// The holder proved that it never was and never will be sent.
    NotRun,
    /// The answer was dropped for its age; the call is never run again.
    Expired,
}

/// An answer as it was given.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Name,
    /// Body in hexadecimal, since a plain service may answer any bytes.
    pub body: Name,
}

impl RecordedResponse {
    /// Records an answer.
    pub fn new(status: u16, content_type: &str, body: &[u8]) -> Self {
        Self { status, content_type: content_type.into(), body: hex::encode(body).into() }
    }

    /// The body's bytes.
    pub fn body_bytes(&self) -> Vec<u8> {
        hex::decode(&*self.body).unwrap_or_default()
    }
}

/// One row of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct CallRecord {
    /// How far the call got.
    pub state: CallState,
    /// Token of the attempt that holds the row.
    pub token: Name,
    /// Digest of the call.
    pub fingerprint: Name,
    /// When the attempt began.
    pub at: UnixMillis,
    /// The answer, once there is one.
    pub answer: Option<RecordedResponse>,
    /// Beside [`CallState::NotRun`]: until when no call begins, since the row of another attempt, which a restored
    /// table lost, may belong in its place. The host of that attempt takes it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reserved_until: Option<UnixMillis>,
}

impl CallRecord {
    /// The record that a row holds, `None` for a row that cannot be read.
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    pub(crate) fn text(&self) -> Option<String> {
        serde_json::to_string(self).ok()
    }
}
