//! Metrics of the requests that a host forwards.

use std::time::Duration;

use dillspool_metrics::write_labels;
use dillspool_schema::Name;
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Labels of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OutcomeLabels {
    /// Name of the route, or empty if none matched.
    pub route: Name,
    /// `answered`, `failed`, `refused`, `broken` or `caller_gone`.
    pub outcome: &'static str,
    /// Cause of a refusal, or empty.
    pub cause: &'static str,
}

impl EncodeLabelSet for OutcomeLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        let labels = [("route", &*self.route), ("outcome", self.outcome), ("cause", self.cause)];
        write_labels(encoder, &labels)
    }
}

/// Labels of a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FailureLabels {
    /// State of its backend server: `ended`, `lives`, `leaving` or `unclear`.
    found: &'static str,
}

impl EncodeLabelSet for FailureLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        write_labels(encoder, &[("found", self.found)])
    }
}

/// Labels of a stream that was resumed at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ResumptionLabels {
    /// Who resumed it: `host` within one response, or `caller` with another attempt.
    pub(crate) by: &'static str,
    /// Whether the engine runs the software version that began the stream: `same`, `other` or `unknown`.
    pub(crate) software: &'static str,
}

impl EncodeLabelSet for ResumptionLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        write_labels(encoder, &[("by", self.by), ("software", self.software)])
    }
}

/// Labels of an event whose position is wrong or can't be told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IrregularLabels {
    /// What is wrong with it.
    flaw: &'static str,
    /// `passed` to the caller, since engines of the service number so, or `rejected`.
    outcome: &'static str,
}

impl EncodeLabelSet for IrregularLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        write_labels(encoder, &[("flaw", self.flaw), ("outcome", self.outcome)])
    }
}

/// Counters and histograms of the requests of one host.
#[derive(Clone, Debug)]
pub struct ForwardMetrics {
    requests: Family<OutcomeLabels, Counter>,
    in_flight: Gauge,
    first_part: Histogram,
    duration: Histogram,
    retries: Counter,
    prefills: Counter,
    prefill_time: Histogram,
    reservations_refused: Counter,
    overruled_decisions: Counter,
    throttled: Counter,
    failed_attempts: Family<FailureLabels, Counter>,
    resumptions: Family<ResumptionLabels, Counter>,
    irregular_events: Family<IrregularLabels, Counter>,
}

impl Default for ForwardMetrics {
    fn default() -> Self {
        // 5 ms to about 9 s, each bucket 1.6 times the one before.
        let buckets = || exponential_buckets(0.005, 1.6, 17);
        Self {
            requests: Family::default(),
            in_flight: Gauge::default(),
            first_part: Histogram::new(buckets()),
            duration: Histogram::new(buckets()),
            retries: Counter::default(),
            prefills: Counter::default(),
            prefill_time: Histogram::new(buckets()),
            reservations_refused: Counter::default(),
            overruled_decisions: Counter::default(),
            throttled: Counter::default(),
            failed_attempts: Family::default(),
            resumptions: Family::default(),
            irregular_events: Family::default(),
        }
    }
}

impl ForwardMetrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("forward_requests", "Requests by outcome", self.requests.clone());
        registry.register("forward_in_flight", "Requests in flight", self.in_flight.clone());
        registry.register_with_unit(
            "forward_first_part",
            "Time to the first part of an answer",
            Unit::Seconds,
            self.first_part.clone(),
        );
        registry.register_with_unit(
            "forward_whole",
            "Time to the end of an answer",
            Unit::Seconds,
            self.duration.clone(),
        );
        registry.register(
            "forward_repeated_sends",
            "Sends to another backend server",
            self.retries.clone(),
        );
        registry.register("forward_prefills", "Prefills asked for", self.prefills.clone());
        registry.register_with_unit(
            "forward_prefill",
            "Time from asking for a prefill to its result or failure",
            Unit::Seconds,
            self.prefill_time.clone(),
        );
        registry.register(
            "forward_holds_refused",
            "Reservations that an engine refused",
            self.reservations_refused.clone(),
        );
        registry.register(
            "forward_overruled_decisions",
            "Decisions for a backend server that this host knows to leave or to be gone",
            self.overruled_decisions.clone(),
        );
        registry.register(
            "forward_throttled_sends",
            "Sends that a backend server's own limit left no room for",
            self.throttled.clone(),
        );
        registry.register(
            "forward_broken_runs",
            "Runs that broke off, by what became of their backend servers",
            self.failed_attempts.clone(),
        );
        registry.register(
            "forward_resumed_streams",
            "Streams that went on at an engine, by whether it runs the software version that began them",
            self.resumptions.clone(),
        );
        registry.register(
            "forward_irregular_events",
            "Events of engines whose position is wrong or can't be told",
            self.irregular_events.clone(),
        );
    }

    pub(crate) fn record_start(&self) {
        self.in_flight.inc();
    }

    pub(crate) fn record_end(&self, labels: &OutcomeLabels, elapsed: Duration) {
        self.in_flight.dec();
        if labels.outcome == "answered" {
            self.duration.observe(elapsed.as_secs_f64());
        }
        self.requests.get_or_create(labels).inc();
    }

    pub(crate) fn record_first_part(&self, after: Duration) {
        self.first_part.observe(after.as_secs_f64());
    }

    pub(crate) fn record_retry(&self) {
        self.retries.inc();
    }

    pub(crate) fn record_prefill(&self) {
        self.prefills.inc();
    }

    pub(crate) fn record_prefill_duration(&self, took: Duration) {
        self.prefill_time.observe(took.as_secs_f64());
    }

    pub(crate) fn record_reservation_refused(&self) {
        self.reservations_refused.inc();
    }

    pub(crate) fn record_failed_attempt(&self, found: &'static str) {
        self.failed_attempts.get_or_create(&FailureLabels { found }).inc();
    }

    pub(crate) fn record_resumption(&self, labels: &ResumptionLabels) {
        self.resumptions.get_or_create(labels).inc();
    }

    pub(crate) fn record_irregular_event(&self, flaw: &'static str, is_passed: bool) {
        let outcome = if is_passed { "passed" } else { "rejected" };
        self.irregular_events.get_or_create(&IrregularLabels { flaw, outcome }).inc();
    }

    pub(crate) fn record_throttled(&self) {
        self.throttled.inc();
    }

    pub(crate) fn record_overruled_decision(&self) {
        self.overruled_decisions.inc();
    }
}
