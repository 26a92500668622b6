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
    limited: Gauge,
    resting: Gauge,
    leaving: Gauge,
    questions: Gauge,
    sends: Counter<u64, AtomicU64>,
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
            limited: Gauge::default(),
            resting: Gauge::default(),
            leaving: Gauge::default(),
            questions: Gauge::default(),
            sends: Counter::default(),
        }
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Backend servers that name how many requests a second they take";
        registry.register("limited_backends", help, self.limited.clone());
        let help = "Backend servers that want nothing from this host for now";
        registry.register("resting_backends", help, self.resting.clone());
        let help = "Starts of backend servers that have said in an answer that they leave";
        registry.register("leaving_backends", help, self.leaving.clone());
        let help = "Questions to the holders of limits that wait for an answer";
        registry.register("limit_questions", help, self.questions.clone());
        let help = "Sends to backend servers that had named how many requests a second they take";
        registry.register("limited_sends", help, self.sends.clone());
    }

    /// Updates the metrics to the current values.
    pub(crate) fn refresh(&self) {
        let (limited, sends) = self.throttle.counts();
        let questions: usize = self.clients.iter().map(LimitClient::pending_requests).sum();
        let set = |gauge: &Gauge, count| gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        set(&self.limited, limited);
        set(&self.resting, self.throttle.backing_off());
        set(&self.leaving, self.leaving_tracker.count());
        set(&self.questions, questions);
        self.sends.inner().store(sends, std::sync::atomic::Ordering::Relaxed);
    }
}
