//! Metrics of the plain services' calls that this host schedules, updated on each scrape.

use std::sync::atomic::{AtomicU64, Ordering};

use dillspool_calls::RejectCause;
use dillspool_metrics::write_labels;
use dillspool_scheduler::CallScheduler;
use dillspool_schema::Name;
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ServiceLabels {
    service: Name,
}

impl EncodeLabelSet for ServiceLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        write_labels(encoder, &[("service", &*self.service)])
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RejectLabels {
    service: Name,
    /// `no_server` or `no_room`.
    cause: &'static str,
}

impl EncodeLabelSet for RejectLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        write_labels(encoder, &[("service", &*self.service), ("cause", self.cause)])
    }
}

/// Metrics of a host's call queues.
#[derive(Clone, Debug)]
pub(crate) struct CallMetrics {
    scheduler: CallScheduler,
    waiting: Family<ServiceLabels, Gauge>,
    in_flight: Family<ServiceLabels, Gauge>,
    limit: Family<ServiceLabels, Gauge>,
    rejected: Family<RejectLabels, Counter<u64, AtomicU64>>,
}

impl CallMetrics {
    pub(crate) fn new(scheduler: CallScheduler) -> Self {
        Self {
            scheduler,
            waiting: Family::default(),
            in_flight: Family::default(),
            limit: Family::default(),
            rejected: Family::default(),
        }
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Calls that wait at this host for a backend server";
        registry.register("calls_waiting", help, self.waiting.clone());
        let help = "Calls in flight that this host decided on";
        registry.register("calls_in_flight", help, self.in_flight.clone());
        let help = "Calls that may be in flight by this host's decisions";
        registry.register("calls_limit", help, self.limit.clone());
        let help = "Calls that this host decided to reject";
        registry.register("calls_rejected", help, self.rejected.clone());
    }

    /// Updates the metrics to the current values.
    pub(crate) fn refresh(&self) {
        // A service that this host no longer schedules must not keep its last values.
        self.waiting.clear();
        self.in_flight.clear();
        self.limit.clear();
        for (service, snapshot) in self.scheduler.snapshots() {
            let labels = ServiceLabels { service: Name::clone(&service) };
            let servers = snapshot.servers.iter();
            let (in_flight, limit) = servers.fold((0_i64, 0_i64), |(in_flight, limit), server| {
                (in_flight + i64::from(server.in_flight), limit + i64::from(server.limit))
            });
            let waiting = i64::try_from(snapshot.waiting).unwrap_or(i64::MAX);
            self.waiting.get_or_create(&labels).set(waiting);
            self.in_flight.get_or_create(&labels).set(in_flight);
            self.limit.get_or_create(&labels).set(limit);
            for (cause, count) in snapshot.rejected {
                let cause = match cause {
                    RejectCause::NoServer => "no_server",
                    RejectCause::NoCapacity => "no_room",
                };
                let labels = RejectLabels { service: Name::clone(&service), cause };
                let counter = self.rejected.get_or_create(&labels);
                counter.inner().store(count, Ordering::Relaxed);
            }
        }
    }
}
