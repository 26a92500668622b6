//! The ledger of non-idempotent calls, which runs the call of each key at most once.
//!
//! Before a call is sent, its key and attempt token are written to the platform's table as an
//! intent. An intent is never replaced by another attempt, so even a host that resumes after a
//! pause cannot run a call twice. A journal in the object store lists the attempts that a restored
//! table may have lost. See `docs/design/ledger.md`.

mod batch;
mod call;
mod closing;
mod fence;
mod journal;
mod journal_sweep;
mod ledger;
mod recent_keys;
mod record;
mod recovery;
mod restore;
mod row_cache;
mod sweep;

pub use batch::{BatchWriter, WriteOutcome};
pub use call::{CallKey, CallRequest};
pub use journal_sweep::{JOURNAL_RETENTION, JournalSweeper};
pub use ledger::{BeginOutcome, CallLedger, CallTicket, LedgerSettings};
pub use record::{CallRecord, CallState, RecordedResponse};
pub use sweep::{RetentionTimes, SweepPage, sweep_page};
