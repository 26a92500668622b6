//! Bounds the size of the ledger: responses are dropped first, keys much later.

use std::time::Duration;

use dillspool_io::WallClock;
use dillspool_platform::{
    CommitReply, PlatformError, RowPrecondition, RowWrite, ScanRequest, ScannedRow, TableStore,
};
use dillspool_schema::Name;

use crate::call::ROW_PREFIX;
use crate::fence::require_era;
use crate::record::{CallRecord, CallState};

/// Maximum number of rows in one page.
const PAGE_ROWS: usize = 256;

/// Retention of the parts of a row.
#[derive(Clone, Copy, Debug)]
pub struct RetentionTimes {
    /// A client retry within this time gets the recorded response.
    pub response: Duration,
    /// A client retry within this time gets `unknown`; afterwards the key counts as new.
    pub key: Duration,
}

impl Default for RetentionTimes {
    fn default() -> Self {
        Self { response: Duration::from_hours(24), key: Duration::from_hours(24 * 30) }
    }
}

/// Result of sweeping one page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SweepPage {
    /// Key after which the next page begins; empty at the end of the ledger.
    pub next: Name,
    /// Number of rows expired or deleted.
    pub changed: usize,
}

/// Sweeps the page of the ledger that begins after a key.
///
/// Several hosts may sweep concurrently: each row is changed only at the version that was read.
///
/// # Errors
///
/// [`PlatformError`] if the table does not respond.
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
        .filter_map(|scanned| expire_row(scanned, |record| now.since(record.at), times))
        .collect();
    let changed = writes.len();
    let Some(era) = reply.rows.first().map(|first| first.row.version.era()) else {
        return Ok(SweepPage { next, changed });
    };
    if changed == 0 {
        return Ok(SweepPage { next, changed });
    }
    let writes = writes.into_iter().chain([require_era(era)]).collect();
    let changed = match table.commit(writes).await? {
        CommitReply::Committed => changed,
        // Another host changed a row of the page; the next sweep handles it.
        CommitReply::Conflict(_) => 0,
    };
    Ok(SweepPage { next, changed })
}

fn expire_row(
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
        // The call did not run, so the key may be reused at any time.
        CallState::NotRun => {
            return (age >= times.response).then_some(RowWrite { key, expect, value: None });
        }
        CallState::Expired => false,
    };
    if !droppable || age < times.response {
        return None;
    }
    let expired = CallRecord { state: CallState::Expired, response: None, ..record };
    Some(RowWrite { key, expect, value: expired.to_json() })
}
