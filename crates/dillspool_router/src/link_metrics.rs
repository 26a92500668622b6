//! Metrics of the links to backend servers, updated on each scrape.

use dillspool_dialer::BackendDialer;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Gauges of a host's links to backend servers.
#[derive(Clone, Debug)]
pub(crate) struct LinkMetrics {
    dialer: BackendDialer,
    partitioned: Gauge,
}

impl LinkMetrics {
    pub(crate) fn new(dialer: BackendDialer) -> Self {
        Self { dialer, partitioned: Gauge::default() }
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Services to none of whose backend servers this host can connect";
        registry.register("links_lost_services", help, self.partitioned.clone());
    }

    /// Updates the gauges to the current values.
    pub(crate) fn refresh(&self) {
        let services = self.dialer.partitioned_services().len();
        self.partitioned.set(i64::try_from(services).unwrap_or(i64::MAX));
    }
}
