//! The ledger of unrepeatable calls: each key runs at most once.
//!
//! Before a call is sent, its key and attempt token stand in the platform's table; an intent is
//! never superseded, so that not even a host that was paused and wakes can run a call twice.
//! See `docs/design/ledger.md`.

mod batch;
mod call;
mod closing;
mod ledger;
mod memory;
mod recent;
mod record;
mod restore;
mod sweep;

pub use batch::{BatchWriter, WriteOutcome};
pub use call::{CallKey, CallRequest};
pub use ledger::{BeginOutcome, CallLedger, CallTicket, LedgerSettings};
pub use record::{CallRecord, CallState, RecordedAnswer};
pub use sweep::{RetentionTimes, SweepPage, sweep_page};
