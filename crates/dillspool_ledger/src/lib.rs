//! The ledger of unrepeatable calls: each key runs at most once.
//!
//! Before a call is sent, its key and attempt token stand in the platform's table; an intent is
//! never superseded, so that not even a host that was paused and wakes can run a call twice.
//! A journal in the object store names the attempts that a restored table may have lost.
//! See `docs/design/ledger.md`.

mod batch;
mod call;
mod closing;
mod guard;
mod journal;
mod journal_sweep;
mod ledger;
mod memory;
mod recent;
mod record;
mod recovery;
mod restore;
mod sweep;

pub use batch::{BatchWriter, WriteOutcome};
pub use call::{CallKey, CallRequest};
pub use journal_sweep::{JOURNAL_RETENTION, JournalSweeper};
pub use ledger::{BeginOutcome, CallLedger, CallTicket, LedgerSettings};
pub use record::{CallRecord, CallState, RecordedResponse};
pub use sweep::{RetentionTimes, SweepPage, sweep_page};
