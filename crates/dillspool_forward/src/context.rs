//! State shared by all requests of a host.

use std::sync::Arc;
use std::time::Duration;

use dillspool_origins::OriginTracker;
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
use crate::event_checker::HabitTracker;
use crate::metrics::ForwardMetrics;
use crate::picker::BackendPicker;
use crate::retry_budget::RetryBudgets;
use crate::trace::log_decision_overruled;

/// Cause reported for work that is lost because its backend server restarted.
pub(crate) const RESTARTED_CAUSE: &str = "the backend server restarted";
/// How long a response is still awaited after its backend server is known to have restarted. Data sent before
/// the restart arrives within a few round trips; if the old process still runs beside its successor, its events
/// arrive a few dozen milliseconds apart.
const RESTART_GRACE: Duration = Duration::from_millis(250);

/// Shared by all requests of a host.
#[derive(Clone, Debug)]
pub struct ForwardContext {
    /// Failure domain of this host.
    pub failure_domain: Name,
    /// Calls to backend servers.
    pub calls: BackendCalls,
    /// The current directory of backend servers.
    pub directory: watch::Receiver<Arc<DirectoryView>>,
    /// Places model requests on engines.
    pub schedule: ScheduleClient,
    /// Assigns calls of plain services that have few slots.
    pub call_client: CallClient,
    /// Checks the rate limits of workspaces.
    pub limits: LimitClient,
    /// Rate limits and backoff periods that backend servers asked for.
    pub throttle: ThrottleTracker,
    /// Checks the rate limits of backend servers.
    pub backend_limits: LimitClient,
    /// Load of backend servers without a prefill or decode stage.
    pub backend_tracker: BackendTracker,
    /// Retry budgets of all services.
    pub budgets: RetryBudgets,
    /// Probes of backend servers whose attempts failed.
    pub probes: BackendProbes,
    /// Requests suspected of crashing backend servers.
    pub suspects: SuspectTracker,
    /// The software versions that began streams.
    pub origins: OriginTracker,
    /// What sound engines of a service do with the ids of events.
    pub habits: HabitTracker,
    /// Counters and histograms.
    pub metrics: ForwardMetrics,
    /// Tasks that outlive their request, such as releasing a reservation.
    pub tasks: TaskTracker,
}

impl ForwardContext {
    /// The current directory.
    pub(crate) fn view(&self) -> Arc<DirectoryView> {
        Arc::clone(&self.directory.borrow())
    }

    /// The scheduled backend server, if it accepts new requests as far as this host knows. A scheduler that is
    /// partitioned from the store may decide on older data. Overruled decisions are logged and counted.
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

    /// Waits until the directory shows a restart of a backend server, plus [`RESTART_GRACE`] for data that the
    /// previous instance sent, unless the new one has another software version. Never returns for a backend server that reports no start.
    pub(crate) async fn wait_for_restart(&self, entry: &BackendEntry) {
        let mut directory = self.directory.clone();
        if entry.start.is_none()
            || directory.wait_for(|view| view.has_restarted(entry)).await.is_err()
        {
            std::future::pending::<()>().await;
        }
        if !self.view().has_changed_software(entry) {
            tokio::time::sleep(RESTART_GRACE).await;
        }
    }

    /// Runs a call to a backend server and fails it if the backend server restarts, since a new instance does not
    /// answer calls to the previous one.
    pub(crate) async fn cancel_on_restart<T>(
        &self,
        entry: &BackendEntry,
        call: impl Future<Output = Result<T, CallError>>,
    ) -> Result<T, CallError> {
        tokio::select! {
            biased;
            response = call => response,
            () = self.wait_for_restart(entry) => Err(CallError::Lost { reason: RESTARTED_CAUSE.to_owned() }),
        }
    }

    /// A picker that prefers backend servers near this host.
    pub(crate) fn picker<'a>(&'a self, view: &'a DirectoryView) -> BackendPicker<'a> {
        let (tracker, throttle) = (&self.backend_tracker, &self.throttle);
        BackendPicker { view, tracker, throttle, failure_domain: &self.failure_domain }
    }
}
