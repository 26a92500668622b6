//! What all requests of a host share.

use std::sync::Arc;

use dillspool_routing::{BackendEntry, BackendId, DirectoryView, RoutedRequest};
use dillspool_scheduler::{LimitClient, ScheduleClient};
use dillspool_schema::Name;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::book::BackendBook;
use crate::budget::RetryBudgets;
use crate::calls::BackendCalls;
use crate::choose::Chooser;
use crate::metrics::ForwardMetrics;
use crate::trace::log_overruled;

/// Shared by all requests of a host.
#[derive(Clone, Debug)]
pub struct ForwardContext {
    /// Failure domain of this host.
    pub failure_domain: Name,
    /// Calls to backend servers.
    pub calls: BackendCalls,
    /// The backend servers known now.
    pub directory: watch::Receiver<Arc<DirectoryView>>,
    /// Decides where model requests run.
    pub schedule: ScheduleClient,
    /// Tells whether a workspace's limit has room.
    pub limits: LimitClient,
    /// What is under way at backend servers that play no part.
    pub book: BackendBook,
    /// Budget of repeated sends.
    pub budgets: RetryBudgets,
    /// Counters and histograms.
    pub metrics: ForwardMetrics,
    /// Work that goes on when its request is gone, such as giving memory back.
    pub tasks: TaskTracker,
}

impl ForwardContext {
    /// The directory as it is now.
    pub(crate) fn view(&self) -> Arc<DirectoryView> {
        Arc::clone(&self.directory.borrow())
    }

    /// The backend server that was decided on, if it takes new requests as far as this host knows. A
    /// scheduler that is cut off from the store may know less; where it does, that is told.
    pub(crate) fn ready_entry(
        &self,
        request: &RoutedRequest,
        id: &BackendId,
    ) -> Option<Arc<BackendEntry>> {
        let view = self.view();
        let ready = view.entries.get(id).filter(|entry| entry.is_ready()).cloned();
        if ready.is_none() {
            self.metrics.note_overruled();
            log_overruled(request, id, &view);
        }
        ready
    }

    /// Chooses from this host's place.
    pub(crate) fn chooser<'a>(&'a self, view: &'a DirectoryView) -> Chooser<'a> {
        Chooser { view, book: &self.book, failure_domain: &self.failure_domain }
    }
}
