//! The log of a daemon: one structured line an event on standard output.
//!
//! Whoever logs never waits: lines go through a bounded queue to a thread of their own, and what
//! does not fit is counted in the log itself. See `docs/OPERATIONS.md`.

mod line_queue;
mod log_setup;

pub use line_queue::{LineQueue, LogDrain, QUEUE_LINES, start_writer};
pub use log_setup::{LineFormat, LogSetup, LogSetupError, set_up_log};
