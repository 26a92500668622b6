//! Tells other hosts what backend servers say in their answers, and those that count what they take what was sent
//! before.

use std::sync::Arc;
use std::time::Duration;

use dillspool_leaving::LeavingTracker;
use dillspool_limits::SpendRequest;
use dillspool_routing::DirectoryView;
use dillspool_scheduler::{FleetUpdate, LimitClient, ScheduleClient};
use dillspool_throttle::ThrottleTracker;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Time for which the host that counts a limit is looked for to tell it what was sent before; later that does
/// not matter any more.
const TELLING_LIMIT: Duration = Duration::from_secs(1);

/// What the task works with.
pub(crate) struct NoticeKeeper {
    pub(crate) throttle: ThrottleTracker,
    pub(crate) leaving: LeavingTracker,
    pub(crate) limits: LimitClient,
    pub(crate) schedule: ScheduleClient,
    pub(crate) directory: watch::Receiver<Arc<DirectoryView>>,
}

impl NoticeKeeper {
    /// Tells news until `cancel`.
    pub(crate) async fn run(mut self, cancel: CancellationToken) {
        loop {
            tokio::select! {
                () = self.throttle.changed() => self.tell_limits(),
                () = self.leaving.changed() => self.tell_leaving(),
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

    fn tell_leaving(&self) {
        for news in self.leaving.take_updates() {
            self.schedule.publish(&FleetUpdate::Leaving(news));
        }
    }

    fn tell_limits(&self) {
        for news in self.throttle.take_updates() {
            self.schedule.publish(&FleetUpdate::Throttle(news));
        }
        for known in self.throttle.newest_updates(usize::MAX) {
            self.limits.ensure_link(&known.backend.label());
        }
        for before in self.throttle.take_unreported() {
            tokio::spawn(charge(self.limits.clone(), before));
        }
    }
}

async fn charge(limits: LimitClient, before: SpendRequest) {
    let told = limits.spend(&before, TELLING_LIMIT).await;
    log::debug!(
        "event=backend_limit_charged backend=\"{}\" sent={} told={told:?}",
        before.subject,
        before.unreported
    );
}
