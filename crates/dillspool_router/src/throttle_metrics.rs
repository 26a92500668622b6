//! Metrics of what backend servers announce in their responses and of the requests for limits,
//! updated on each scrape.

use std::sync::atomic::AtomicU64;

use dillspool_leaving::LeavingTracker;
use dillspool_scheduler::LimitClient;
use dillspool_throttle::ThrottleTracker;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of a host's throttle and leaving trackers, and of its limit clients.
#[derive(Clone, Debug)]
pub(crate) struct ThrottleMetrics {
    throttle: ThrottleTracker,
    leaving_tracker: LeavingTracker,
    clients: [LimitClient; 2],
    limited_backends: Gauge,
    backing_off: Gauge,
    leaving: Gauge,
    pending_requests: Gauge,
    limited_sends: Counter<u64, AtomicU64>,
}

impl ThrottleMetrics {
    /// Creates the metrics; `clients` ask for the limits of workspaces and of backend servers.
    pub(crate) fn new(
        throttle: ThrottleTracker,
        leaving_tracker: LeavingTracker,
        clients: [LimitClient; 2],
    ) -> Self {
        Self {
            throttle,
            leaving_tracker,
            clients,
            limited_backends: Gauge::default(),
            backing_off: Gauge::default(),
            leaving: Gauge::default(),
            pending_requests: Gauge::default(),
            limited_sends: Counter::default(),
        }
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Backend servers that name how many requests a second they take";
        registry.register("limited_backends", help, self.limited_backends.clone());
        let help = "Backend servers that want nothing from this host for now";
        registry.register("resting_backends", help, self.backing_off.clone());
        let help = "Starts of backend servers that have said in an answer that they leave";
        registry.register("leaving_backends", help, self.leaving.clone());
        let help = "Questions to the holders of limits that wait for an answer";
        registry.register("limit_questions", help, self.pending_requests.clone());
        let help = "Sends to backend servers that had named how many requests a second they take";
        registry.register("limited_sends", help, self.limited_sends.clone());
    }

    /// Updates the metrics to the current values.
    pub(crate) fn refresh(&self) {
        let (limited, sends) = self.throttle.counts();
        let pending_requests: usize = self.clients.iter().map(LimitClient::pending_requests).sum();
        let set = |gauge: &Gauge, count| gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        set(&self.limited_backends, limited);
        set(&self.backing_off, self.throttle.backing_off());
        set(&self.leaving, self.leaving_tracker.count());
        set(&self.pending_requests, pending_requests);
        self.limited_sends.inner().store(sends, std::sync::atomic::Ordering::Relaxed);
    }
}
