//! Request and response bodies of the engine API that are not part of the message schema.

use dillspool_schema::{Name, StreamId};
use serde::{Deserialize, Serialize};

/// Request to reopen a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ResumeRequest {
    /// Identifier of the stream.
    pub stream: StreamId,
    /// Index of the first token to send.
    pub from: u64,
}

/// Request to end a stream and free all memory that it holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CancelRequest {
    /// Identifier of the stream.
    pub stream: StreamId,
}

/// Response to a [`CancelRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct CancelReply {
    /// Whether the engine held memory of the stream.
    pub found: bool,
}

/// Load of an engine, which lags behind its current load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct LoadReport {
    /// Number of running streams.
    pub running: u32,
    /// Number of queued prefills.
    pub waiting: u32,
}

/// Response to an order.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct OrderReply {
    /// Current epoch of the engine.
    pub epoch: u64,
    /// Token of the order that set the epoch.
    pub token: Name,
    /// Why the order was not executed; `None` if it was.
    pub refusal: Option<OrderRefusal>,
}

/// Why an engine refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderRefusal {
    /// The engine has already seen a newer epoch.
    OldEpoch,
}

/// Kind of change to a prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was removed from the cache.
    Removed,
}

/// One event of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap means that events were lost.
    pub number: u64,
    /// Kind of change.
    pub kind: CacheEventKind,
    /// Hash of the prefix.
    pub prefix: u64,
}

/// Cache events that follow an event number.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CacheEvents {
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
}
