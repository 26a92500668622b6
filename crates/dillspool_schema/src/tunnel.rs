//! Answers to hosts that ask for a tunnel.
#![allow(
    clippy::all,
    clippy::pedantic,
    clippy::clone_on_ref_ptr,
    missing_docs,
    reason = "generated from the schema; see docs/design/schema.md"
)]

include!("generated/tunnel.rs");
