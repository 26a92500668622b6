//! Keeps the journal from growing: segments are deleted once no copy of the table can lack their rows.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_platform::{ObjectStore, PlatformError, ReadRequest, TableStore};
use dillspool_schema::Name;
use dillspool_version::StoreEra;
use tokio::time::Instant;

use crate::call::ROW_PREFIX;
use crate::journal::{SEGMENT_PREFIX, SEGMENT_TIME};

/// How long a segment is kept after it was first seen: a table that comes back from an older copy may have lost rows
/// that nothing names any more.
pub const JOURNAL_RETENTION: Duration = Duration::from_mins(15);

/// Deletes old segments of all hosts. Several may do so at once.
#[derive(Debug)]
pub struct JournalSweeper {
    table: TableStore,
    objects: ObjectStore,
    keep: Duration,
    /// The table's era at the last sweep.
    era: Option<StoreEra>,
    /// When each segment was first seen in this era.
    first_seen: BTreeMap<Name, Instant>,
}

impl JournalSweeper {
    /// A sweeper that keeps segments for `keep`, and for as long as they may still grow.
    pub fn new(table: TableStore, objects: ObjectStore, keep: Duration) -> Self {
        Self { table, objects, keep, era: None, first_seen: BTreeMap::new() }
    }

    /// Deletes the segments that are old enough; how many.
    ///
    /// The age counts from the last restore that this sweeper saw, so that no segment goes while a table that was
    /// away for long comes back from a copy.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when one of the stores does not answer; nothing is deleted while the table does not.
    pub async fn sweep(&mut self) -> Result<usize, PlatformError> {
        let listed = self.objects.list_all(&SEGMENT_PREFIX.into()).await?;
        let reply = (self.table.read)(ReadRequest { keys: vec![ROW_PREFIX.into()] }).await?;
        let (now, era) = (Instant::now(), Some(reply.version.era()));
        if self.era != era {
            self.first_seen.clear();
            self.era = era;
        }
        let mut seen = std::mem::take(&mut self.first_seen);
        let mut deleted = 0;
        for segment in listed {
            let first = seen.remove(&segment).unwrap_or(now);
            if now - first >= self.keep + SEGMENT_TIME {
                (self.objects.delete)(segment).await?;
                deleted += 1;
            } else {
                self.first_seen.insert(segment, first);
            }
        }
        Ok(deleted)
    }
}
