//! The host's metrics in the Prometheus text format.

use dillspool_entry::EntryMetrics;
use dillspool_io::ResponseBody;
use dillspool_metrics::metrics_response;
use hyper::Response;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

/// Metrics of the host itself, updated at each scrape.
#[derive(Debug)]
pub(crate) struct HostMetrics {
    registry: Registry,
    config_version: Gauge,
    control_bytes: Counter,
    peers_linked: Gauge,
    placements: Gauge,
    orphans: Counter,
    granted: Counter,
    refused: Counter,
}

/// Values at the time of a scrape.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MetricsSnapshot {
    pub(crate) config_version: u64,
    pub(crate) control_bytes: u64,
    pub(crate) peers_linked: usize,
    pub(crate) placements: usize,
    pub(crate) orphans: u64,
    pub(crate) granted: u64,
    pub(crate) refused: u64,
}

impl HostMetrics {
    pub(crate) fn new(entry: &EntryMetrics) -> Self {
        let mut registry = Registry::with_prefix("dillspool");
        entry.register(&mut registry);
        let metrics = Self {
            config_version: Gauge::default(),
            control_bytes: Counter::default(),
            peers_linked: Gauge::default(),
            placements: Gauge::default(),
            orphans: Counter::default(),
            granted: Counter::default(),
            refused: Counter::default(),
            registry: Registry::default(),
        };
        let mut add = |name: &str, help: &str, gauge: &Gauge| {
            registry.register(name, help, gauge.clone());
        };
        add("config_version", "Configuration version in force", &metrics.config_version);
        add("peers_linked", "Peer connections that are up", &metrics.peers_linked);
        add("placements", "Placements held by this host", &metrics.placements);
        let mut add = |name: &str, help: &str, counter: &Counter| {
            registry.register(name, help, counter.clone());
        };
        add("orphans", "Streams of dead owners cancelled", &metrics.orphans);
        add("grants", "Placements granted by this host's schedulers", &metrics.granted);
        add("refusals", "Placements refused by this host's schedulers", &metrics.refused);
        registry.register_with_unit(
            "control",
            "Control traffic between hosts, both ways",
            Unit::Bytes,
            metrics.control_bytes.clone(),
        );
        Self { registry, ..metrics }
    }

    pub(crate) fn page(&self, snapshot: MetricsSnapshot) -> Response<ResponseBody> {
        let gauge = |gauge: &Gauge, value: usize| {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        gauge(&self.config_version, usize::try_from(snapshot.config_version).unwrap_or(usize::MAX));
        gauge(&self.peers_linked, snapshot.peers_linked);
        gauge(&self.placements, snapshot.placements);
        let raise = |counter: &Counter, value: u64| {
            counter.inc_by(value.saturating_sub(counter.get()));
        };
        raise(&self.control_bytes, snapshot.control_bytes);
        raise(&self.orphans, snapshot.orphans);
        raise(&self.granted, snapshot.granted);
        raise(&self.refused, snapshot.refused);
        metrics_response(&self.registry)
    }
}
