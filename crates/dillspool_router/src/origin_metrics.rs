//! Metrics of the origins of streams, updated on each scrape.

use dillspool_origins::OriginTracker;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Gauges of the streams whose origin a host remembers.
#[derive(Clone, Debug)]
pub(crate) struct OriginMetrics {
    tracker: OriginTracker,
    streams: Gauge,
    shared_services: Gauge,
}

impl OriginMetrics {
    pub(crate) fn new(tracker: OriginTracker) -> Self {
        Self { tracker, streams: Gauge::default(), shared_services: Gauge::default() }
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Streams of which this host remembers the software version that began them";
        registry.register("origins_streams", help, self.streams.clone());
        let help =
            "Services of which all hosts need these records, since they may have several versions";
        registry.register("origins_shared_services", help, self.shared_services.clone());
    }

    /// Updates the gauges to the current values.
    pub(crate) fn refresh(&self) {
        let (streams, shared_services) = self.tracker.counts();
        self.streams.set(i64::try_from(streams).unwrap_or(i64::MAX));
        self.shared_services.set(i64::try_from(shared_services).unwrap_or(i64::MAX));
    }
}
