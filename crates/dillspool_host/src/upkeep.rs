//! Small periodic work: signs of life through the table, and the ledger's retention.

use std::time::Duration;

use dillspool_io::WallClock;
use dillspool_ledger::{RetentionTimes, sweep_page};
use dillspool_peer::HostView;
use dillspool_platform::TableStore;
use dillspool_schema::Name;
use tokio_util::sync::CancellationToken;

use crate::alive_rows::{ALIVE_INTERVAL, AliveRows};
use crate::directory::PoolDirectory;

/// Time between two pages of a ledger sweep.
const PAGE_INTERVAL: Duration = Duration::from_secs(10);
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

/// Shortens and deletes old ledger rows while this host is the one chosen for it.
pub(crate) async fn sweep_ledger(
    table: TableStore,
    clock: WallClock,
    view: HostView,
    cancel: CancellationToken,
) {
    let mut after: Name = "".into();
    loop {
        tokio::select! {
            () = tokio::time::sleep(PAGE_INTERVAL) => {}
            () = cancel.cancelled() => return,
        }
        if view.scheduler(SWEEP_ROLE) != *view.host() {
            continue;
        }
        match sweep_page(
            &table,
            &clock,
            RetentionTimes::default(),
            Name::clone(&after),
        )
        .await
        {
            Ok(page) => after = page.next,
            Err(error) => log::debug!("event=ledger_not_swept error=\"{error}\""),
        }
    }
}
