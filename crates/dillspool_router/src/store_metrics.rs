//! Metrics of the replicated tables, updated on each scrape.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use dillspool_metrics::write_labels;
use dillspool_routing::{BackendEntry, DirectoryView, EngineStage, RoutingConfig};
use dillspool_schema::Name;
use dillspool_watch::{SharedReplica, StoreReachability};
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use tokio::sync::watch;

use crate::unreadable_rows::TableLabels;

/// A service, and the role and state of its backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BackendLabels {
    service: Name,
    /// `prefill`, `decode` or `plain`.
    role: &'static str,
    /// `ready` or `draining`.
    state: &'static str,
}

impl BackendLabels {
    fn of(entry: &BackendEntry, view: &DirectoryView) -> Self {
        let role = match entry.stage {
            Some(EngineStage::Prefill) => "prefill",
            Some(EngineStage::Decode) => "decode",
            None => "plain",
        };
        let state = if view.accepts_requests(entry) { "ready" } else { "draining" };
        Self { service: Name::clone(&entry.service), role, state }
    }
}

impl EncodeLabelSet for BackendLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        let labels = [("service", &*self.service), ("part", self.role), ("state", self.state)];
        write_labels(encoder, &labels)
    }
}

/// Gauges of the directory, the configuration and the reachability of the store.
#[derive(Clone, Debug)]
pub(crate) struct StoreMetrics {
    config: watch::Receiver<Option<Arc<RoutingConfig>>>,
    directory: watch::Receiver<Arc<DirectoryView>>,
    reachability: watch::Receiver<StoreReachability>,
    tables: Vec<SharedReplica>,
    table_ages: Family<TableLabels, Gauge<f64, AtomicU64>>,
    backends: Family<BackendLabels, Gauge>,
    config_version: Gauge,
    store_reachable: Gauge,
    store_era: Gauge,
}

impl StoreMetrics {
    pub(crate) fn new(
        config: watch::Receiver<Option<Arc<RoutingConfig>>>,
        directory: watch::Receiver<Arc<DirectoryView>>,
        reachability: watch::Receiver<StoreReachability>,
        tables: Vec<SharedReplica>,
    ) -> Self {
        Self {
            config,
            directory,
            reachability,
            tables,
            table_ages: Family::default(),
            backends: Family::default(),
            config_version: Gauge::default(),
            store_reachable: Gauge::default(),
            store_era: Gauge::default(),
        }
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register("backends", "Backend servers in use", self.backends.clone());
        let version = self.config_version.clone();
        registry.register("config_version", "Configuration version in force", version);
        let reachable = self.store_reachable.clone();
        registry.register("store_in_reach", "Whether the store is heard of, 0 or 1", reachable);
        let era = self.store_era.clone();
        registry.register("store_era", "How often the store came back from a copy", era);
        let ages = self.table_ages.clone();
        registry.register_with_unit(
            "table_age",
            "Time since a table of the store was last known to be complete",
            Unit::Seconds,
            ages,
        );
    }

    /// Updates the gauges to the current values.
    pub(crate) fn refresh(&self) {
        let version = self.config.borrow().as_ref().map_or(0, |config| config.version);
        self.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.store_reachable.set(i64::from(self.reachability.borrow().is_reachable()));
        let era = self.reachability.borrow().era.number();
        self.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
        for table in &self.tables {
            // A table that was never received has no age yet.
            if let Some(age) = table.age() {
                let labels = TableLabels { table: Name::clone(&table.table) };
                self.table_ages.get_or_create(&labels).set(age.as_secs_f64());
            }
        }
        // A role without backend servers must not keep its last count.
        self.backends.clear();
        let view = Arc::clone(&self.directory.borrow());
        for entry in view.entries.values() {
            self.backends.get_or_create(&BackendLabels::of(entry, &view)).inc();
        }
    }
}
