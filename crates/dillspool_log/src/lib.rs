//! Logging of a daemon: one structured line per event on standard output.
//!
//! Logging never blocks the caller: lines go through a bounded queue to a writer thread. Lines that
//! don't fit are dropped, and the log reports their number. See `docs/OPERATIONS.md`.

mod line_queue;
mod log_setup;

pub use line_queue::{LineQueue, LogDrain, QUEUE_LINES, start_writer};
pub use log_setup::{LineFormat, LogSetup, LogSetupError, set_up_log};
