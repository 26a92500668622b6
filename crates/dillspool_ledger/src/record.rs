//! Rows of the ledger.

use dillspool_io::UnixMillis;
use dillspool_schema::Name;
use serde::{Deserialize, Serialize};

/// Progress of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallState {
    /// The attempt that wrote the row may have sent the call, or may still send it.
    Intent,
    /// The call ran and its response is recorded.
    Answered,
    /// The attempt did not send the call and never will.
    NotRun,
    /// The response was dropped because of its age; the call is never run again.
    Expired,
}

/// A recorded response, as the backend server sent it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: Name,
    /// Body in hexadecimal, since a plain service may respond with arbitrary bytes.
    pub body: Name,
}

impl RecordedResponse {
    /// Encodes a response for the ledger.
    pub fn new(status: u16, content_type: &str, body: &[u8]) -> Self {
        Self { status, content_type: content_type.into(), body: hex::encode(body).into() }
    }

    /// Decodes the body.
    pub fn body_bytes(&self) -> Vec<u8> {
        hex::decode(&*self.body).unwrap_or_default()
    }
}

/// A row of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct CallRecord {
    /// Progress of the call.
    pub state: CallState,
    /// Token of the attempt that owns the row.
    pub token: Name,
    /// Digest of the request; see [`crate::CallRequest::fingerprint`].
    pub fingerprint: Name,
    /// When the attempt began.
    pub at: UnixMillis,
    /// The response, once it is recorded.
    #[serde(rename = "answer")]
    pub response: Option<RecordedResponse>,
    /// With [`CallState::NotRun`]: no call with this key begins before this time, because the row
    /// may have replaced that of another attempt which a restored table lost. The host of that
    /// attempt writes its row back in this time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reserved_until: Option<UnixMillis>,
}

impl CallRecord {
    /// Decodes a row; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    pub(crate) fn to_json(&self) -> Option<String> {
        serde_json::to_string(self).ok()
    }
}
