//! Observes the load of this host as callers connect, and stops listening beyond what it bears.
//!
//! See `docs/design/overload.md`.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dillspool_io::{ConnectionGate, HostClock, NetStack};
use dillspool_moment::Moment;
use dillspool_overload::{ConnectionLimiter, HostLoad, LoadTracker, OverloadPolicy, TrafficTotals};
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

/// Gate for the connections of callers; it samples the load of this host as they connect.
#[derive(Clone, Debug)]
pub(crate) struct CallerGate {
    state: Arc<Mutex<GateState>>,
    stack: NetStack,
    /// Address for callers.
    address: SocketAddr,
    clock: HostClock,
    accepted: Counter,
    pauses: Counter,
    sent: Counter,
    received: Counter,
    start_delay: Gauge<f64, AtomicU64>,
}

#[derive(Debug)]
struct GateState {
    load: LoadTracker,
    limiter: ConnectionLimiter,
    /// Connections accepted, and pauses, since the last log line, and when it was written.
    accepted: u32,
    pauses: u32,
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
            limiter: ConnectionLimiter::new(OverloadPolicy::default()),
            accepted: 0,
            pauses: 0,
            logged_at: Moment::default(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            stack: stack.clone(),
            address: config.callers,
            clock: clock.clone(),
            accepted: Counter::default(),
            pauses: Counter::default(),
            sent: Counter::default(),
            received: Counter::default(),
            start_delay: Gauge::default(),
        }
    }

    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Connections that callers opened";
        registry.register("caller_connections", help, self.accepted.clone());
        let help = "Times that this host stopped listening for callers because it was overloaded";
        registry.register("caller_listen_pauses", help, self.pauses.clone());
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
        let meter = self.stack.meter();
        for (counter, value) in [(&self.sent, meter.sent()), (&self.received, meter.received())] {
            counter.inner().store(value, std::sync::atomic::Ordering::Relaxed);
        }
        self.start_delay.set(self.lock().load.load().start_delay.as_secs_f64());
    }

    /// Returns the gate for the callers' listener.
    pub(crate) fn connection_gate(&self) -> ConnectionGate {
        let (accepting, starting) = (self.clone(), self.clone());
        let (stack, address) = (self.stack.clone(), self.address);
        ConnectionGate {
            record_accept: Arc::new(move || accepting.record_accept()),
            record_start: Arc::new(move |delay| starting.lock().load.record_start(delay)),
            listen: Arc::new(move || {
                let stack = stack.clone();
                Box::pin(async move { stack.listen(address).await })
            }),
        }
    }

    /// Returns whether the link or the processor was overloaded at the last sample.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.lock().limiter.is_overloaded()
    }

    fn record_accept(&self) -> Option<Duration> {
        let now = self.clock.now();
        let meter = self.stack.meter();
        let totals = TrafficTotals { sent: meter.sent(), received: meter.received() };
        self.accepted.inc();
        let mut state = self.lock();
        state.accepted += 1;
        let load = state.load.sample(totals, now);
        if let Some(load) = &load {
            state.limiter.record_load(load, now);
        }
        let pause = state.limiter.record_accept(now);
        if pause.is_some() {
            state.pauses += 1;
            self.pauses.inc();
        }
        if let Some(load) = &load {
            state.log_load(load, now);
        }
        pause
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateState {
    fn log_load(&mut self, load: &HostLoad, now: Moment) {
        let is_loaded = load.sent.max(load.received) > LOGGED_LINK
            || load.start_delay > LOGGED_START_DELAY
            || self.pauses > 0;
        if !is_loaded || now.since(self.logged_at) < LOG_INTERVAL {
            return;
        }
        self.logged_at = now;
        let accepted = std::mem::take(&mut self.accepted);
        let pauses = std::mem::take(&mut self.pauses);
        log::info!(
            "event=host_load accepted={accepted} pauses={pauses} limit_per_s={:.0} link_sent={:.2} link_received={:.2} start_delay_ms={}",
            self.limiter.limit_per_s().unwrap_or(f64::INFINITY),
            load.sent,
            load.received,
            load.start_delay.as_millis(),
        );
    }
}
