//! Observes the load of this host as callers connect.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dillspool_io::{ConnectionGate, HostClock, LinkMeter, NetStack};
use dillspool_moment::Moment;
use dillspool_overload::{HostLoad, LoadTracker, TrafficTotals};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

use crate::settings::RouterConfig;

/// Minimum time between two log lines on the load.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Fraction of the link's rate above which the load is logged.
const LOGGED_LINK: f64 = 0.5;
/// Start delay above which the load is logged.
const LOGGED_START_DELAY: Duration = Duration::from_millis(15);
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Load of this host, sampled as callers connect.
#[derive(Clone, Debug)]
pub(crate) struct CallerGate {
    state: Arc<Mutex<GateState>>,
    meter: LinkMeter,
    clock: HostClock,
    accepted: Counter,
    sent: Counter,
    received: Counter,
    start_delay: Gauge<f64, AtomicU64>,
}

#[derive(Debug)]
struct GateState {
    load: LoadTracker,
    /// Connections accepted since the last log line, and when it was written.
    accepted: u32,
    logged_at: Moment,
}

impl CallerGate {
    /// Creates a gate for a host whose connections go through `stack`.
    pub(crate) fn new(config: &RouterConfig, stack: &NetStack, clock: &HostClock) -> Self {
        // A rate of zero is unknown.
        let link_bytes_per_s =
            (config.link_mbps > 0.0).then_some(config.link_mbps * BYTES_PER_MEGABIT);
        let state = GateState {
            load: LoadTracker::new(link_bytes_per_s),
            accepted: 0,
            logged_at: Moment::default(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            meter: stack.meter().clone(),
            clock: clock.clone(),
            accepted: Counter::default(),
            sent: Counter::default(),
            received: Counter::default(),
            start_delay: Gauge::default(),
        }
    }

    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Connections that callers opened";
        registry.register("caller_connections", help, self.accepted.clone());
        let help = "Bytes written to connections";
        registry.register_with_unit("link_sent", help, Unit::Bytes, self.sent.clone());
        let help = "Bytes read from connections";
        registry.register_with_unit("link_received", help, Unit::Bytes, self.received.clone());
        let help = "Recent time from accepting a connection to the first run of its task";
        registry.register_with_unit(
            "connection_start_delay",
            help,
            Unit::Seconds,
            self.start_delay.clone(),
        );
    }

    /// Updates the metrics to the current values.
    pub(crate) fn refresh(&self) {
        let totals = self.meter.totals();
        for (counter, value) in [(&self.sent, totals.sent), (&self.received, totals.received)] {
            counter.inner().store(value, std::sync::atomic::Ordering::Relaxed);
        }
        self.start_delay.set(self.lock().load.load().start_delay.as_secs_f64());
    }

    /// Returns the gate for the callers' listener.
    pub(crate) fn connection_gate(&self) -> ConnectionGate {
        let (admitting, recording) = (self.clone(), self.clone());
        ConnectionGate {
            admit: Arc::new(move || admitting.admit()),
            record_start: Arc::new(move |delay| recording.lock().load.record_start(delay)),
        }
    }

    fn admit(&self) -> bool {
        let now = self.clock.now();
        let totals = self.meter.totals();
        let totals = TrafficTotals { sent: totals.sent, received: totals.received };
        self.accepted.inc();
        let mut state = self.lock();
        state.accepted += 1;
        if let Some(load) = state.load.sample(totals, now) {
            state.log_load(&load, now);
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateState {
    fn log_load(&mut self, load: &HostLoad, now: Moment) {
        let is_loaded =
            load.sent.max(load.received) > LOGGED_LINK || load.start_delay > LOGGED_START_DELAY;
        if !is_loaded || now.since(self.logged_at) < LOG_INTERVAL {
            return;
        }
        self.logged_at = now;
        let accepted = std::mem::take(&mut self.accepted);
        log::info!(
            "event=host_load accepted={accepted} link_sent={:.2} link_received={:.2} start_delay_ms={}",
            load.sent,
            load.received,
            load.start_delay.as_millis(),
        );
    }
}
