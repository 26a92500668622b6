//! Small bodies of the engines' interface that are not in the schema of messages.

use dillspool_schema::{Name, StreamId};
use serde::{Deserialize, Serialize};

/// Asks for the rest of a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ResumeRequest {
    /// The stream.
    pub stream: StreamId,
    /// Index of the first token that is wanted.
    pub from: u64,
}

/// Ends a stream and frees all memory that it holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CancelRequest {
    /// The stream.
    pub stream: StreamId,
}

/// Whether there was something to cancel.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct CancelReply {
    /// The engine held something of the stream.
    pub found: bool,
}

/// An engine's load some time ago.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct LoadReport {
    /// Streams that ran.
    pub running: u32,
    /// Prefills that waited.
    pub waiting: u32,
}

/// What an order met.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct OrderReply {
    /// Epoch that the engine holds now.
    pub epoch: u64,
    /// Token of the order that set it.
    pub token: Name,
    /// Why the order was not carried out, if it was not.
    pub refusal: Option<OrderRefusal>,
}

/// Why an engine refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderRefusal {
    /// A newer epoch was there already.
    OldEpoch,
}

/// What happened to a cached prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix is kept.
    Stored,
    /// The prefix was dropped.
    Removed,
}

/// One event of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct CacheEvent {
    /// Number of the event; a gap means that events were lost.
    pub number: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Hash of the prefix.
    pub prefix: u64,
}

/// Events after a number.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CacheEvents {
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
}
