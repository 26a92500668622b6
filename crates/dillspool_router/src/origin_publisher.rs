//! Shares with other hosts which software version began each stream of this host.

use std::sync::Arc;

use dillspool_origins::OriginTracker;
use dillspool_routing::DirectoryView;
use dillspool_scheduler::ScheduleClient;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Feeds the directory to the tracker, and the tracker's records to the schedulers.
pub(crate) struct OriginPublisher {
    pub(crate) tracker: OriginTracker,
    pub(crate) schedule: ScheduleClient,
    pub(crate) directory: watch::Receiver<Arc<DirectoryView>>,
}

impl OriginPublisher {
    /// Runs until `cancel`.
    pub(crate) async fn run(mut self, cancel: CancellationToken) {
        loop {
            let view = Arc::clone(&self.directory.borrow_and_update());
            self.tracker.observe_directory(&view);
            loop {
                for (service, records) in self.tracker.take_outgoing() {
                    self.schedule.publish_origins(&service, records);
                }
                tokio::select! {
                    changed = self.directory.changed() => {
                        if changed.is_err() {
                            return;
                        }
                        break;
                    }
                    () = self.tracker.changed() => {}
                    () = cancel.cancelled() => return,
                }
            }
        }
    }
}
