//! Metrics of the links to backend servers, updated on each scrape.

use dillspool_dialer::BackendDialer;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Gauges of a host's links to backend servers.
#[derive(Clone, Debug)]
pub(crate) struct LinkMetrics {
    dialer: BackendDialer,
    partitioned: Gauge,
    tunnels_opened: Gauge,
    tunnels_failed: Gauge,
    tunnels_served: Gauge,
}

impl LinkMetrics {
    pub(crate) fn new(dialer: BackendDialer) -> Self {
        Self {
            dialer,
            partitioned: Gauge::default(),
            tunnels_opened: Gauge::default(),
            tunnels_failed: Gauge::default(),
            tunnels_served: Gauge::default(),
        }
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Services to none of whose backend servers this host can connect";
        registry.register("links_lost_services", help, self.partitioned.clone());
        let help = "Connections to backend servers that other hosts made for this one";
        registry.register("tunnels_opened", help, self.tunnels_opened.clone());
        let help =
            "Connections to backend servers that neither this host nor another one could make";
        registry.register("tunnels_failed", help, self.tunnels_failed.clone());
        let help = "Connections to backend servers that this host made for others";
        registry.register("tunnels_served", help, self.tunnels_served.clone());
    }

    /// Updates the gauges to the current values.
    pub(crate) fn refresh(&self) {
        let services = self.dialer.partitioned_services().len();
        self.partitioned.set(i64::try_from(services).unwrap_or(i64::MAX));
        let counts = self.dialer.tunnel_counts();
        for (gauge, count) in [
            (&self.tunnels_opened, counts.opened),
            (&self.tunnels_failed, counts.failed),
            (&self.tunnels_served, counts.served),
        ] {
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}
