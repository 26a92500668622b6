//! Small periodic work: signs of life through the table, and the ledger's retention.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_entry::PlacementRegistry;
use dillspool_io::WallClock;
use dillspool_ledger::{JOURNAL_RETENTION, JournalSweeper, RetentionTimes, sweep_page};
use dillspool_peer::{HostView, PeerLinks};
use dillspool_platform::{ObjectStore, TableStore};
use dillspool_schema::Name;
use tokio_util::sync::CancellationToken;

use crate::alive_rows::{ALIVE_INTERVAL, AliveRows};
use crate::directory::PoolDirectory;

/// Time between two pages of a ledger sweep.
const PAGE_INTERVAL: Duration = Duration::from_secs(10);
/// How often a change of schedulers is looked for.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Name under which the host that sweeps the ledger is chosen.
const SWEEP_ROLE: &str = "ledger-sweep";

/// Writes this host's row while a connection that should be up is down.
pub(crate) async fn show_alive(
    rows: AliveRows,
    view: HostView,
    directory: PoolDirectory,
    cancel: CancellationToken,
) {
    let mut shown = false;
    loop {
        let lost = view.has_lost_link(&directory.names());
        if lost || shown {
            rows.write(view.host(), lost).await;
        }
        shown = lost;
        tokio::select! {
            () = tokio::time::sleep(ALIVE_INTERVAL) => {}
            () = cancel.cancelled() => return,
        }
    }
}

/// Tells each new scheduler of a pool what this host holds there.
pub(crate) async fn report_placements(
    view: HostView,
    links: PeerLinks,
    directory: PoolDirectory,
    registry: PlacementRegistry,
    cancel: CancellationToken,
) {
    let mut schedulers: BTreeMap<Name, Name> = BTreeMap::new();
    loop {
        for pool in directory.names() {
            let scheduler = view.scheduler(&pool);
            let known = schedulers.insert(Name::clone(&pool), Name::clone(&scheduler));
            if known.is_none_or(|known| known != scheduler) {
                report_pool(&view, &links, &directory, &registry, &scheduler, &pool);
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
    directory: &PoolDirectory,
    registry: &PlacementRegistry,
    scheduler: &Name,
    pool: &Name,
) {
    let Some(report) = registry.reports(std::slice::from_ref(pool)).pop() else { return };
    if scheduler != view.host() {
        // A connection that is made later begins with a report.
        let _not_connected = links.report(scheduler, report);
        return;
    }
    if let Some(own) = directory.get(pool) {
        own.apply_report(view.host(), view.incarnation(), &report);
    }
}

/// Shortens and deletes old ledger rows, and old parts of the journal, while this host is the one chosen for it.
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
            () = tokio::time::sleep(PAGE_INTERVAL) => {}
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
