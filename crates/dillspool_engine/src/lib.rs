//! Client of model engines: prefill, decode, resume, cancel, list and fenced orders.
//!
//! The only crate that implements an engine's protocol. See `docs/design/engines.md`.

mod client;
mod error;
mod lines;
mod prompt;
mod protocol;
mod tokens;

pub use client::EngineClient;
pub use error::EngineError;
pub use lines::LineBuffer;
pub use prompt::{BLOCK_TOKENS, block_hashes, estimate_tokens, prefix_hash};
pub use protocol::{
    CacheEvent, CacheEventKind, CacheEvents, CancelReply, CancelRequest, LoadReport, OrderRefusal,
    OrderReply, ResumeRequest,
};
pub use tokens::TokenStream;
