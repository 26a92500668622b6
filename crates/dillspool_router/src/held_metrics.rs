//! Metrics of held bytes and stalled exchanges, updated on each scrape.

use std::sync::atomic::{AtomicU64, Ordering};

use dillspool_io::{ByteBudget, StalledSide};
use dillspool_metrics::write_labels;
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

/// Why an exchange was aborted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StalledLabels {
    /// `caller`, `backend` or `budget`.
    side: &'static str,
}

impl EncodeLabelSet for StalledLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        write_labels(encoder, &[("side", self.side)])
    }
}

/// Metrics of a host's byte budget; without a budget there are none.
#[derive(Clone, Debug)]
pub(crate) struct HeldMetrics {
    budget: Option<ByteBudget>,
    held: Gauge<u64, AtomicU64>,
    limit: Gauge<u64, AtomicU64>,
    stalled: Family<StalledLabels, Counter>,
}

impl HeldMetrics {
    pub(crate) fn new(budget: Option<ByteBudget>) -> Self {
        let (held, limit, stalled) = (Gauge::default(), Gauge::default(), Family::default());
        Self { budget, held, limit, stalled }
    }

    /// Registers the metrics if there is a budget.
    pub(crate) fn register(&self, registry: &mut Registry) {
        if self.budget.is_none() {
            return;
        }
        let help = "Bytes of requests and answers held now";
        registry.register_with_unit("held", help, Unit::Bytes, self.held.clone());
        let help = "Bytes of requests and answers that may be held";
        registry.register_with_unit("held_limit", help, Unit::Bytes, self.limit.clone());
        let help = "Exchanges ended because a peer neither read nor sent, or for want of room";
        registry.register("exchanges_stalled", help, self.stalled.clone());
    }

    /// Updates the metrics to the current values.
    pub(crate) fn refresh(&self) {
        let Some(budget) = &self.budget else { return };
        let snapshot = budget.snapshot();
        self.held.set(snapshot.held);
        self.limit.set(snapshot.limit);
        for (side, count) in StalledSide::ALL.into_iter().zip(snapshot.stalled) {
            let counter = self.stalled.get_or_create(&StalledLabels { side: side.name() });
            counter.inner().store(count, Ordering::Relaxed);
        }
    }
}
