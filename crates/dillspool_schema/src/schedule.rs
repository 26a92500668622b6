//! What hosts and the scheduler of a pool say to each other.
#![allow(
    clippy::all,
    clippy::pedantic,
    clippy::clone_on_ref_ptr,
    missing_docs,
    reason = "generated from the schema; see docs/design/schema.md"
)]

include!("generated/schedule.rs");
