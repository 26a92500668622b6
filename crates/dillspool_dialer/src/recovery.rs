//! Probes lost links to backend servers until they are restored.

use std::time::Duration;

use futures_util::future::{join, join_all};
use tokio_util::sync::CancellationToken;

use crate::dialer::{BackendDialer, DialerFleet};

/// Number of backend servers of a service that are probed at once while this host is partitioned from it.
const RECOVERY_PROBES: usize = 2;
/// Number of single links that are probed at once.
const DETOUR_PROBES: usize = 8;
/// Interval between probes.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);

/// Sets what a dialer knows of the fleet, and probes links that are lost, until `cancel`.
pub async fn dial_backends(dialer: BackendDialer, fleet: DialerFleet, cancel: CancellationToken) {
    if !dialer.set_fleet(fleet) {
        log::error!("event=dialer_started_twice");
        return;
    }
    let mut lost = dialer.lost_links().subscribe();
    let probing = async {
        while lost.wait_for(|lost| *lost).await.is_ok() {
            tokio::time::sleep(RECOVERY_INTERVAL).await;
            dialer.lost_links().send_replace(false);
            let services = dialer.partitioned_services();
            let detoured = dialer.detoured(DETOUR_PROBES);
            if !services.is_empty() || !detoured.is_empty() {
                dialer.lost_links().send_replace(true);
            }
            let services = services.iter().map(|it| dialer.probe(it, RECOVERY_PROBES));
            let links = detoured.iter().map(|entry| dialer.probe_link(entry));
            join(join_all(services), join_all(links)).await;
        }
    };
    tokio::select! {
        () = probing => {}
        () = cancel.cancelled() => {}
    }
}
