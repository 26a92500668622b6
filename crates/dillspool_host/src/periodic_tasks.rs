//! Periodic tasks: heartbeat rows, placement reports and the ledger's retention.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_entry::PlacementRegistry;
use dillspool_io::WallClock;
use dillspool_ledger::{JOURNAL_RETENTION, JournalSweeper, RetentionTimes, sweep_page};
use dillspool_peer::{HostView, PeerLinks};
use dillspool_platform::{ObjectStore, TableStore};
use dillspool_schema::Name;
use tokio_util::sync::CancellationToken;

use crate::heartbeat_rows::{HEARTBEAT_INTERVAL, HeartbeatRows};
use crate::scheduler_registry::SchedulerRegistry;

/// Interval between pages of a ledger sweep.
const SWEEP_PAGE_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between checks for a change of schedulers.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Key of the rendezvous hash that chooses the host that sweeps the ledger.
const SWEEP_ROLE: &str = "ledger-sweep";

/// Writes this host's heartbeat row while an expected connection is down.
pub(crate) async fn write_heartbeats(
    rows: HeartbeatRows,
    view: HostView,
    schedulers: SchedulerRegistry,
    cancel: CancellationToken,
) {
    let mut is_written = false;
    loop {
        let has_lost_link = view.has_lost_link(&schedulers.names());
        if has_lost_link || is_written {
            rows.write(view.host(), has_lost_link).await;
        }
        is_written = has_lost_link;
        tokio::select! {
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
            () = cancel.cancelled() => return,
        }
    }
}

/// Reports the placements that this host holds in a pool to each new scheduler of the pool.
pub(crate) async fn report_placements(
    view: HostView,
    links: PeerLinks,
    schedulers: SchedulerRegistry,
    placements: PlacementRegistry,
    cancel: CancellationToken,
) {
    let mut last_schedulers: BTreeMap<Name, Name> = BTreeMap::new();
    loop {
        for pool in schedulers.names() {
            let scheduler = view.scheduler(&pool);
            let last = last_schedulers.insert(Name::clone(&pool), Name::clone(&scheduler));
            if last.is_none_or(|last| last != scheduler) {
                report_pool(&view, &links, &schedulers, &placements, &scheduler, &pool);
            }
        }
        tokio::select! {
            () = tokio::time::sleep(REPORT_INTERVAL) => {}
            () = cancel.cancelled() => return,
        }
    }
}

fn report_pool(
    view: &HostView,
    links: &PeerLinks,
    schedulers: &SchedulerRegistry,
    placements: &PlacementRegistry,
    scheduler: &Name,
    pool: &Name,
) {
    let Some(report) = placements.reports(std::slice::from_ref(pool)).pop() else { return };
    if scheduler != view.host() {
        // If there is no connection yet, a report is sent when it is established.
        let _not_connected = links.report(scheduler, report);
        return;
    }
    if let Some(own) = schedulers.get(pool) {
        own.apply_report(view.host(), view.incarnation(), &report);
    }
}

/// Truncates and deletes old ledger rows, and deletes old journal segments, while this host is the
/// one chosen for the sweep.
pub(crate) async fn sweep_ledger(
    table: TableStore,
    objects: ObjectStore,
    clock: WallClock,
    view: HostView,
    cancel: CancellationToken,
) {
    let mut journal = JournalSweeper::new(table.clone(), objects, JOURNAL_RETENTION);
    let mut after: Name = "".into();
    loop {
        tokio::select! {
            () = tokio::time::sleep(SWEEP_PAGE_INTERVAL) => {}
            () = cancel.cancelled() => return,
        }
        if view.scheduler(SWEEP_ROLE) != *view.host() {
            continue;
        }
        match sweep_page(&table, &clock, RetentionTimes::default(), Name::clone(&after)).await {
            Ok(page) => after = page.next,
            Err(error) => log::debug!("event=ledger_not_swept error=\"{error}\""),
        }
        match journal.sweep().await {
            Ok(0) => {}
            Ok(deleted) => log::debug!("event=call_journal_swept segments={deleted}"),
            Err(error) => log::debug!("event=call_journal_not_swept error=\"{error}\""),
        }
    }
}
