//! How many hosts there are, kept in the store for hosts that start.
//!
//! A host that starts knows its part of what all share only once it has heard how many share it. The
//! schedulers of pools know; when all hosts start at once there is none for a second or two, and that is
//! when callers come back at once.

use std::time::Duration;

use dillspool_platform::{RowExpect, RowWrite, TableStore};
use dillspool_scheduler::ScheduleClient;
use dillspool_watch::TableBelief;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Key of the row.
pub(crate) const FLEET_KEY: &str = "fleet/size";
/// Time between two looks at the count.
const LOOK_EVERY: Duration = Duration::from_secs(5);
/// Time for which there must be fewer hosts before the row says so: those that are missing mostly come back.
const FEWER_FOR: Duration = Duration::from_mins(2);
/// Part of the hosts by which there must be fewer.
const FEWER_PART: f64 = 0.1;

/// When the row changes: with more hosts at once, since parts are too large else; with fewer much later.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    fewer_since: Option<Instant>,
}

impl FleetSize {
    /// What the row should say, if not what it says.
    #[expect(clippy::cast_precision_loss, reason = "hosts are counted in hundreds")]
    pub fn next(&mut self, row: Option<usize>, counted: usize, now: Instant) -> Option<usize> {
        let Some(row) = row else { return Some(counted) };
        let is_fewer = (counted as f64) < row as f64 * (1.0 - FEWER_PART);
        if !is_fewer {
            self.fewer_since = None;
            return (counted > row).then_some(counted);
        }
        let since = *self.fewer_since.get_or_insert(now);
        (now - since >= FEWER_FOR).then_some(counted)
    }
}

/// What the row says.
pub(crate) fn read_size(table: &TableBelief) -> Option<usize> {
    table.value(FLEET_KEY)?.parse().ok().filter(|hosts| *hosts > 0)
}

/// Keeps the row while this host schedules a pool, until `cancel`. Nothing is written where the rows of hosts
/// tell their number.
pub(crate) async fn keep_fleet_size(
    store: TableStore,
    table: watch::Receiver<TableBelief>,
    schedule: ScheduleClient,
    is_told: impl Fn() -> bool + Send,
    cancel: CancellationToken,
) {
    let mut size = FleetSize::default();
    let keep = async {
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let counted = schedule.counted_hosts().filter(|_hosts| !is_told());
            let Some(counted) = counted else { continue };
            let row = read_size(&table.borrow());
            let Some(next) = size.next(row, counted, Instant::now()) else { continue };
            let write = RowWrite {
                key: FLEET_KEY.into(),
                expect: RowExpect::Any,
                value: Some(next.to_string()),
            };
            match store.commit(vec![write]).await {
                Ok(_reply) => log::info!("event=fleet_size hosts={next} before={row:?}"),
                Err(error) => log::info!("event=fleet_size_not_written cause=\"{error}\""),
            }
        }
    };
    tokio::select! {
        () = keep => {}
        () = cancel.cancelled() => {}
    }
}
