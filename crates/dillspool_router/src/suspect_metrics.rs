//! Requests under which backend servers ended, as gauges that are read when they are scraped.

use dillspool_metrics::write_labels;
use dillspool_suspects::SuspectTracker;
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// What is done with copies of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SuspectLabels {
    /// `watched` or `refused`.
    state: &'static str,
}

impl EncodeLabelSet for SuspectLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        write_labels(encoder, &[("state", self.state)])
    }
}

/// Gauges of a host's suspects.
#[derive(Clone, Debug)]
pub(crate) struct SuspectMetrics {
    desk: SuspectTracker,
    suspects: Family<SuspectLabels, Gauge>,
}

impl SuspectMetrics {
    /// Gauges of a desk.
    pub(crate) fn new(desk: SuspectTracker) -> Self {
        Self { desk, suspects: Family::default() }
    }

    /// Registers all gauges.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Requests under which backend servers ended, by what is done with their copies";
        registry.register("suspects", help, self.suspects.clone());
    }

    /// Takes over what is known now.
    pub(crate) fn refresh(&self) {
        let (watched, refused) = self.desk.counts();
        for (state, count) in [("watched", watched), ("refused", refused)] {
            let gauge = self.suspects.get_or_create(&SuspectLabels { state });
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}
