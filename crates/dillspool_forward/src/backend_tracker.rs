//! Load and health of each backend server as seen by this host, with outlier ejection.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_routing::BackendInstance;
use tokio::time::Instant;

/// Weight of the newest observation in a moving average; about the last ten requests dominate.
const EWMA_WEIGHT: f64 = 0.15;
/// Latency in milliseconds assumed of a backend server that has not responded yet.
const DEFAULT_LATENCY_MS: f64 = 60.0;
/// Time for which a backend server is first ejected.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);
/// Maximum time for which a backend server is ejected.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);
/// Consecutive unanswered requests after which a backend server is ejected.
const FAILURES_BEFORE_EJECTION: u32 = 2;
/// Maximum number of tracked instances; each start of a backend server is an instance of its own.
const MAX_ENTRIES: usize = 8192;

#[derive(Clone, Debug)]
struct BackendLoad {
    outstanding: u32,
    latency_ms: f64,
    /// Moving average of failures, 0 to 1.
    failure_rate: f64,
    consecutive_failures: u32,
    ejected_until: Option<Instant>,
}

impl Default for BackendLoad {
    fn default() -> Self {
        Self {
            outstanding: 0,
            latency_ms: DEFAULT_LATENCY_MS,
            failure_rate: 0.0,
            consecutive_failures: 0,
            ejected_until: None,
        }
    }
}

/// Load and health of one instance of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LoadSnapshot {
    pub(crate) outstanding: u32,
    pub(crate) latency_ms: f64,
    pub(crate) failure_rate: f64,
    pub(crate) is_ejected: bool,
}

/// Tracks backend servers by instance: the history of one start says nothing about the next.
#[derive(Clone, Debug, Default)]
pub struct BackendTracker {
    loads: Arc<Mutex<HashMap<BackendInstance, BackendLoad>>>,
}

impl BackendTracker {
    fn with<T>(&self, backend: &BackendInstance, run: impl FnOnce(&mut BackendLoad) -> T) -> T {
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        if loads.len() >= MAX_ENTRIES {
            loads.retain(|_backend, load| load.outstanding > 0);
        }
        run(loads.entry(backend.clone()).or_default())
    }

    pub(crate) fn snapshot(&self, backend: &BackendInstance) -> LoadSnapshot {
        let now = Instant::now();
        let loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        let load = loads.get(backend).cloned().unwrap_or_default();
        LoadSnapshot {
            outstanding: load.outstanding,
            latency_ms: load.latency_ms,
            failure_rate: load.failure_rate,
            is_ejected: load.ejected_until.is_some_and(|until| until > now),
        }
    }

    /// Counts a request as outstanding until the guard is dropped.
    pub(crate) fn track_request(&self, backend: &BackendInstance) -> LoadGuard {
        self.with(backend, |load| load.outstanding += 1);
        LoadGuard { tracker: self.clone(), backend: backend.clone() }
    }

    /// Records a successful response.
    pub(crate) fn record_success(&self, backend: &BackendInstance, latency: Duration) {
        let latency_ms = latency.as_secs_f64() * 1000.0;
        self.with(backend, |load| {
            load.latency_ms += EWMA_WEIGHT * (latency_ms - load.latency_ms);
            load.failure_rate -= EWMA_WEIGHT * load.failure_rate;
            load.consecutive_failures = 0;
            load.ejected_until = None;
        });
    }

    /// Records a failure response of the backend server.
    pub(crate) fn record_failure(&self, backend: &BackendInstance) {
        self.with(backend, |load| load.failure_rate += EWMA_WEIGHT * (1.0 - load.failure_rate));
    }

    /// Records that no connection could be made; ejects the backend server at once.
    pub(crate) fn record_connect_failure(&self, backend: &BackendInstance, cause: &str) {
        self.record_unanswered(backend, 1, cause);
    }

    /// Records that a backend server did not respond; ejects it if that happens repeatedly.
    pub(crate) fn record_no_response(&self, backend: &BackendInstance, cause: &str) {
        self.record_unanswered(backend, FAILURES_BEFORE_EJECTION, cause);
    }

    /// Ejects a backend server once it has reached a number of consecutive failures, for twice as
    /// long with each further one.
    fn record_unanswered(&self, backend: &BackendInstance, failure_threshold: u32, cause: &str) {
        let now = Instant::now();
        let ejection = self.with(backend, |load| {
            load.failure_rate += EWMA_WEIGHT * (1.0 - load.failure_rate);
            load.consecutive_failures += 1;
            let doublings = load.consecutive_failures.checked_sub(failure_threshold)?.min(8);
            let duration = (BASE_EJECTION_TIME * 2_u32.pow(doublings)).min(MAX_EJECTION_TIME);
            load.ejected_until = Some(now + duration);
            Some((load.consecutive_failures, duration))
        });
        if let Some((failures, duration)) = ejection {
            let duration_ms = duration.as_millis();
            log::info!(
                "event=backend_aside backend={} failures={failures} for_ms={duration_ms} cause=\"{cause}\"",
                backend.id,
            );
        }
    }
}

/// A request outstanding at a backend server, until it is dropped.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    tracker: BackendTracker,
    backend: BackendInstance,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.tracker
            .with(&self.backend, |load| load.outstanding = load.outstanding.saturating_sub(1));
    }
}
