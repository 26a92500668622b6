//! What all requests of a host share.

use std::sync::Arc;
use std::time::Duration;

use dillspool_routing::{BackendEntry, BackendId, DirectoryView, RoutedRequest};
use dillspool_scheduler::{CallClient, LimitClient, ScheduleClient};
use dillspool_schema::Name;
use dillspool_suspects::SuspectTracker;
use dillspool_throttle::ThrottleTracker;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::backend_probe::BackendProbes;
use crate::backend_tracker::BackendTracker;
use crate::calls::{BackendCalls, CallError};
use crate::metrics::ForwardMetrics;
use crate::picker::BackendPicker;
use crate::retry_budget::RetryBudgets;
use crate::trace::log_decision_overruled;

/// Why something under way at a backend server is lost.
pub(crate) const RESTARTED_CAUSE: &str = "it started again";
/// Time for which something under way is still waited for once its backend server is known to have started
/// again: what the start before had sent comes within some round trips, and events a few dozen
/// milliseconds apart come if it lives on beside its successor.
const RESTART_GRACE: Duration = Duration::from_millis(250);

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
    /// Decides where calls of plain services go whose slots are few.
    pub call_client: CallClient,
    /// Tells whether a workspace's limit has room.
    pub limits: LimitClient,
    /// What backend servers say they take.
    pub throttle: ThrottleTracker,
    /// Tells whether they take one request more.
    pub backend_limits: LimitClient,
    /// What is under way at backend servers that play no part.
    pub backend_tracker: BackendTracker,
    /// Budget of repeated sends.
    pub budgets: RetryBudgets,
    /// Looks at backend servers whose runs broke off.
    pub probes: BackendProbes,
    /// Requests under which backend servers ended.
    pub suspects: SuspectTracker,
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
        let ready = view.entries.get(id).filter(|entry| view.accepts_requests(entry)).cloned();
        if ready.is_none() {
            self.metrics.record_overruled_decision();
            log_decision_overruled(request, id, &view);
        }
        ready
    }

    /// Waits until the directory shows another start of a backend server, and a moment longer for what
    /// the one before may still send; for ever where no start is told.
    pub(crate) async fn wait_for_restart(&self, entry: &BackendEntry) {
        let mut directory = self.directory.clone();
        if entry.start.is_none()
            || directory.wait_for(|view| view.has_restarted(entry)).await.is_err()
        {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(RESTART_GRACE).await;
    }

    /// Waits for a call to a backend server, but no longer than its start lasts: one that has started again
    /// does not answer what was asked before.
    pub(crate) async fn cancel_on_restart<T>(
        &self,
        entry: &BackendEntry,
        call: impl Future<Output = Result<T, CallError>>,
    ) -> Result<T, CallError> {
        tokio::select! {
            biased;
            answer = call => answer,
            () = self.wait_for_restart(entry) => Err(CallError::Lost { reason: RESTARTED_CAUSE.to_owned() }),
        }
    }

    /// Chooses from this host's place.
    pub(crate) fn picker<'a>(&'a self, view: &'a DirectoryView) -> BackendPicker<'a> {
        let (tracker, throttle) = (&self.backend_tracker, &self.throttle);
        BackendPicker { view, tracker, throttle, failure_domain: &self.failure_domain }
    }
}
