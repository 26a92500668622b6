//! Metrics of requests that crashed backend servers, updated on each scrape.

use dillspool_metrics::write_labels;
use dillspool_suspects::SuspectTracker;
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// How copies of a request, or requests with a part, are handled.
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

/// Gauges of a host's suspect requests and prompt parts.
#[derive(Clone, Debug)]
pub(crate) struct SuspectMetrics {
    tracker: SuspectTracker,
    suspects: Family<SuspectLabels, Gauge>,
    parts: Family<SuspectLabels, Gauge>,
}

impl SuspectMetrics {
    pub(crate) fn new(tracker: SuspectTracker) -> Self {
        Self { tracker, suspects: Family::default(), parts: Family::default() }
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Requests under which backend servers ended, by what is done with their copies";
        registry.register("suspects", help, self.suspects.clone());
        let help = "Parts of prompts on which runs began that backend servers ended under, by what is done with requests that have them";
        registry.register("suspect_parts", help, self.parts.clone());
    }

    /// Updates the gauges to the current values.
    pub(crate) fn refresh(&self) {
        let counts =
            [(&self.suspects, self.tracker.counts()), (&self.parts, self.tracker.part_counts())];
        for (family, (watched, refused)) in counts {
            for (state, count) in [("watched", watched), ("refused", refused)] {
                let gauge = family.get_or_create(&SuspectLabels { state });
                gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
            }
        }
    }
}
