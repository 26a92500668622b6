//! Keeps the ledger from growing: answers are dropped first, keys much later.

use std::time::Duration;

use dillspool_io::WallClock;
use dillspool_platform::{
    CommitReply, PlatformError, RowPrecondition, RowWrite, ScanRequest, ScannedRow, TableStore,
};
use dillspool_schema::Name;

use crate::call::ROW_PREFIX;
use crate::guard::hold_to_era;
use crate::record::{CallRecord, CallState};

/// Rows read in one page.
const PAGE_ROWS: usize = 256;

/// How long the parts of a row are kept.
#[derive(Clone, Copy, Debug)]
pub struct RetentionTimes {
    /// A resend within this time gets the recorded answer.
    pub answer: Duration,
    /// A resend within this time gets `unknown`; after it the key counts as new.
    pub key: Duration,
}

impl Default for RetentionTimes {
    fn default() -> Self {
        Self { answer: Duration::from_hours(24), key: Duration::from_hours(24 * 30) }
    }
}

/// Where a sweep stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SweepPage {
    /// Key to go on after; empty once the end was reached.
    pub next: Name,
    /// Rows shortened or deleted.
    pub changed: usize,
}

/// Sweeps one page of the ledger after a key.
///
/// Several hosts may sweep at once: each row changes only at the version that was read.
///
/// # Errors
///
/// [`PlatformError`] when the table does not answer.
pub async fn sweep_page(
    table: &TableStore,
    clock: &WallClock,
    times: RetentionTimes,
    after: Name,
) -> Result<SweepPage, PlatformError> {
    let request = ScanRequest { prefix: ROW_PREFIX.into(), after, limit: PAGE_ROWS };
    let reply = (table.scan)(request).await?;
    let next = match reply.rows.last() {
        Some(last) if reply.rows.len() == PAGE_ROWS => Name::clone(&last.key),
        _ => "".into(),
    };
    let now = clock.now();
    let writes: Vec<RowWrite> = reply
        .rows
        .iter()
        .filter_map(|scanned| shorten(scanned, |record| now.since(record.at), times))
        .collect();
    let changed = writes.len();
    let Some(era) = reply.rows.first().map(|first| first.row.version.era()) else {
        return Ok(SweepPage { next, changed });
    };
    if changed == 0 {
        return Ok(SweepPage { next, changed });
    }
    let writes = writes.into_iter().chain([hold_to_era(era)]).collect();
    let changed = match table.commit(writes).await? {
        CommitReply::Committed => changed,
        // Someone else changed a row of the page; the next sweep comes by again.
        CommitReply::Conflict(_) => 0,
    };
    Ok(SweepPage { next, changed })
}

fn shorten(
    scanned: &ScannedRow,
    age: impl Fn(&CallRecord) -> Duration,
    times: RetentionTimes,
) -> Option<RowWrite> {
    let record = CallRecord::parse(&scanned.row.value)?;
    let age = age(&record);
    let expect = RowPrecondition::Version(scanned.row.version);
    let key = Name::clone(&scanned.key);
    if age >= times.key {
        return Some(RowWrite { key, expect, value: None });
    }
    let droppable = match record.state {
        CallState::Answered | CallState::Intent => true,
        // Proven not run: the key may be used again at any time.
        CallState::NotRun => {
            return (age >= times.answer).then_some(RowWrite { key, expect, value: None });
        }
        CallState::Expired => false,
    };
    if !droppable || age < times.answer {
        return None;
    }
    let expired = CallRecord { state: CallState::Expired, answer: None, ..record };
    Some(RowWrite { key, expect, value: expired.text() })
}
