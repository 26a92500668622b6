//! Shares with other hosts which software version began each stream of this host.

use std::sync::Arc;

use dillspool_origins::OriginTracker;
use dillspool_routing::{DirectoryView, RoutingConfig};
use dillspool_scheduler::ScheduleClient;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Feeds the directory and the configuration to the tracker, and the tracker's records to the schedulers.
pub(crate) struct OriginPublisher {
    pub(crate) tracker: OriginTracker,
    pub(crate) schedule: ScheduleClient,
    pub(crate) directory: watch::Receiver<Arc<DirectoryView>>,
    pub(crate) config: watch::Receiver<Option<Arc<RoutingConfig>>>,
}

impl OriginPublisher {
    /// Runs until `cancel`.
    pub(crate) async fn run(mut self, cancel: CancellationToken) {
        loop {
            if let Some(config) = &*self.config.borrow_and_update() {
                self.tracker.set_longest_timeout(config.routes.longest_timeout());
            }
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
                    changed = self.config.changed() => {
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
