//! Shares what backend servers announce in their responses with other hosts, and reports earlier
//! sends to the holders of their limits.

use std::sync::Arc;
use std::time::Duration;

use dillspool_leaving::LeavingTracker;
use dillspool_limits::SpendRequest;
use dillspool_routing::DirectoryView;
use dillspool_scheduler::{FleetUpdate, LimitClient, ScheduleClient};
use dillspool_throttle::ThrottleTracker;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Time limit for finding the holder of a limit to report earlier sends; after that they no longer
/// matter.
const CHARGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles that the task works with.
pub(crate) struct NoticePublisher {
    pub(crate) throttle: ThrottleTracker,
    pub(crate) leaving: LeavingTracker,
    pub(crate) limits: LimitClient,
    pub(crate) schedule: ScheduleClient,
    pub(crate) directory: watch::Receiver<Arc<DirectoryView>>,
}

impl NoticePublisher {
    /// Publishes updates until `cancel`.
    pub(crate) async fn run(mut self, cancel: CancellationToken) {
        loop {
            tokio::select! {
                () = self.throttle.changed() => self.publish_limits(),
                () = self.leaving.changed() => self.publish_leaving(),
                changed = self.directory.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.throttle.remove_stale(&self.directory.borrow_and_update());
                }
                () = cancel.cancelled() => return,
            }
        }
    }

    fn publish_leaving(&self) {
        for update in self.leaving.take_updates() {
            self.schedule.publish(&FleetUpdate::Leaving(update));
        }
    }

    fn publish_limits(&self) {
        for update in self.throttle.take_updates() {
            self.schedule.publish(&FleetUpdate::Throttle(update));
        }
        for update in self.throttle.newest_updates(usize::MAX) {
            self.limits.ensure_link(&update.backend.label());
        }
        for unreported in self.throttle.take_unreported() {
            tokio::spawn(charge(self.limits.clone(), unreported));
        }
    }
}

async fn charge(limits: LimitClient, unreported: SpendRequest) {
    let outcome = limits.spend(&unreported, CHARGE_TIMEOUT).await;
    log::debug!(
        "event=backend_limit_charged backend=\"{}\" sent={} told={outcome:?}",
        unreported.subject,
        unreported.unreported
    );
}
