//! Messages, settings and declared configuration, generated from `schema/`.
//!
//! The JSON Schema files are the source; `cargo run --bin dillspool-dev -- generate` writes the
//! Rust types, which are committed so that the build needs no generator. The reasons stand in
//! `docs/design/schema.md`.

pub mod configuration;
pub mod engine;
pub mod messages;
pub mod relay;
pub mod router;
pub mod schedule;
pub mod settings;
pub mod tunnel;

mod name;
mod secret;
mod stream_id;

pub use name::Name;
pub use secret::Secret;
pub use stream_id::{ParseStreamIdError, StreamId};
