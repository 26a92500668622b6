//! What a caller of a test fleet received.

use std::time::Duration;

/// Reply that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerReply {
    /// ID of the attempt.
    pub id: String,
    /// Status, if a response head arrived.
    pub status: Option<u16>,
    /// The body, if it arrived completely.
    pub body: Option<String>,
    /// Whether the response has a `Retry-After` header.
    pub has_retry_after: bool,
}

impl CallerReply {
    /// Stands for the reply before anything was sent.
    pub fn none() -> Self {
        Self { id: String::new(), status: None, body: None, has_retry_after: false }
    }

    /// Whether the caller got a complete successful response.
    pub fn is_served(&self) -> bool {
        self.status == Some(200) && self.body.is_some()
    }

    /// Whether the request was refused with `Retry-After`.
    pub fn is_refusal(&self) -> bool {
        self.status == Some(503) && self.has_retry_after
    }
}

/// Describes the first three replies that are neither served nor refused with `Retry-After` within `limit`.
pub fn find_slow_refusals(replies: &[(CallerReply, Duration)], limit: Duration) -> Vec<String> {
    let others = replies.iter().filter(|(reply, _took)| !reply.is_served());
    let slow = others.filter(|(reply, took)| !reply.is_refusal() || *took > limit);
    slow.take(3)
        .map(|it| format!("neither served nor refused in time with Retry-After: {it:?}"))
        .collect()
}
