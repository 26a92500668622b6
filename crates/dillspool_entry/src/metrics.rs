//! Metrics of an entry host.

use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use dillspool_metrics::write_labels;
use dillspool_schema::Name;

/// Labels of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestLabels {
    /// Name of the group.
    pub group: Name,
    /// `good`, `late`, `refused`, `incomplete`, `gone` or `failed`.
    pub outcome: &'static str,
    /// Cause of a refusal or failure, empty for complete responses.
    pub cause: &'static str,
}

impl EncodeLabelSet for RequestLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        let labels = [("group", &*self.group), ("outcome", self.outcome), ("cause", self.cause)];
        write_labels(encoder, &labels)
    }
}

/// Label that says why a prefill was wasted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CauseLabels {
    /// Short cause, such as `transfer_failed`.
    pub cause: &'static str,
}

impl EncodeLabelSet for CauseLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        write_labels(encoder, &[("cause", self.cause)])
    }
}

/// Counters and histograms of the callers' API.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    requests: Family<RequestLabels, Counter>,
    prefills: Counter,
    wasted_prefills: Family<CauseLabels, Counter>,
    tokens: Counter,
    retries: Counter,
    first_token: Histogram,
    per_token: Histogram,
    queue_time: Histogram,
    in_flight: Gauge,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let buckets = || Histogram::new(exponential_buckets(0.001, 2.0, 14));
        Self {
            requests: Family::default(),
            prefills: Counter::default(),
            wasted_prefills: Family::default(),
            tokens: Counter::default(),
            retries: Counter::default(),
            first_token: buckets(),
            per_token: buckets(),
            queue_time: buckets(),
            in_flight: Gauge::default(),
        }
    }
}

impl EntryMetrics {
    /// Registers all metrics under their Prometheus names.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("requests", "Requests by group and outcome", self.requests.clone());
        registry.register("prefills", "Prefills started", self.prefills.clone());
        registry.register("wasted_prefills", "Prefills never used", self.wasted_prefills.clone());
        registry.register("tokens", "Tokens streamed to callers", self.tokens.clone());
        registry.register("retries", "Placements tried again", self.retries.clone());
        registry.register("in_flight", "Requests in flight", self.in_flight.clone());
        let seconds = |name: &str, help: &str, histogram: &Histogram, registry: &mut Registry| {
            registry.register_with_unit(name, help, Unit::Seconds, histogram.clone());
        };
        seconds("first_token", "Time to the first token", &self.first_token, registry);
        seconds("per_token", "Time for each further token", &self.per_token, registry);
        seconds("queue_time", "Time until a placement", &self.queue_time, registry);
    }

    pub(crate) fn count_request(&self, group: &Name, outcome: &'static str, cause: &'static str) {
        let labels = RequestLabels { group: Name::clone(group), outcome, cause };
        self.requests.get_or_create(&labels).inc();
    }

    pub(crate) fn count_prefill(&self) {
        self.prefills.inc();
    }

    pub(crate) fn count_wasted_prefill(&self, cause: &'static str) {
        self.wasted_prefills.get_or_create(&CauseLabels { cause }).inc();
    }

    pub(crate) fn count_token(&self) {
        self.tokens.inc();
    }

    pub(crate) fn count_retry(&self) {
        self.retries.inc();
    }

    pub(crate) fn observe_first_token(&self, time: Duration) {
        self.first_token.observe(time.as_secs_f64());
    }

    pub(crate) fn observe_per_token(&self, time: Duration) {
        self.per_token.observe(time.as_secs_f64());
    }

    pub(crate) fn observe_queue_time(&self, time: Duration) {
        self.queue_time.observe(time.as_secs_f64());
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> i64 {
        self.in_flight.get()
    }

    pub(crate) fn start_request(&self) -> InFlightGuard {
        self.in_flight.inc();
        InFlightGuard { gauge: self.in_flight.clone() }
    }
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    gauge: Gauge,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}
