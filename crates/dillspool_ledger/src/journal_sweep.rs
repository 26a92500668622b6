//! Bounds the size of the journal: segments are deleted once no snapshot of the table can lack
//! their rows.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_platform::{ObjectStore, PlatformError, ReadRequest, TableStore};
use dillspool_schema::Name;
use dillspool_version::StoreEra;
use tokio::time::Instant;

use crate::call::ROW_PREFIX;
use crate::journal::{MAX_SEGMENT_AGE, SEGMENT_PREFIX};

/// How long a segment is kept after it was first seen. A table that is restored from an older
/// snapshot may have lost rows that no journal entry lists any more.
pub const JOURNAL_RETENTION: Duration = Duration::from_mins(15);

/// Deletes old segments of all hosts. Several sweepers may run concurrently.
#[derive(Debug)]
pub struct JournalSweeper {
    table: TableStore,
    objects: ObjectStore,
    keep: Duration,
    /// Era of the table at the last sweep.
    era: Option<StoreEra>,
    /// When each segment was first seen in this era.
    first_seen: BTreeMap<Name, Instant>,
}

impl JournalSweeper {
    /// Creates a sweeper that keeps segments for `keep` after they can no longer grow.
    pub fn new(table: TableStore, objects: ObjectStore, keep: Duration) -> Self {
        Self { table, objects, keep, era: None, first_seen: BTreeMap::new() }
    }

    /// Deletes the segments that are old enough and returns their number.
    ///
    /// The age is counted from the last restore that this sweeper saw, so that no segment is
    /// deleted while a table is restored from a snapshot after a long outage.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if one of the stores does not respond. Nothing is deleted while the table
    /// does not respond.
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
            if now - first >= self.keep + MAX_SEGMENT_AGE {
                (self.objects.delete)(segment).await?;
                deleted += 1;
            } else {
                self.first_seen.insert(segment, first);
            }
        }
        Ok(deleted)
    }
}
