//! What this host has under way at each backend server, and how the last sends went.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_routing::BackendInstance;
use tokio::time::Instant;

/// Weight of the newest observation in an average; some ten sends decide.
const NEWEST_WEIGHT: f64 = 0.15;
/// Latency assumed of a backend server that has not answered yet, in milliseconds.
const ASSUMED_LATENCY_MS: f64 = 60.0;
/// First time that a backend server is left out after a send that did not get through.
const FIRST_ASIDE: Duration = Duration::from_millis(500);
/// Longest time that it is left out.
const LONGEST_ASIDE: Duration = Duration::from_secs(4);
/// Failures in a row after which a backend server is left out.
const FAILURES_BEFORE_ASIDE: u32 = 2;
/// Entries kept at most; each start of a backend server has its own.
const MOST_ENTRIES: usize = 8192;

#[derive(Clone, Debug)]
struct BackendLoad {
    outstanding: u32,
    latency_ms: f64,
    /// Average of failures, 0 to 1.
    failures: f64,
    failures_in_row: u32,
    aside_until: Option<Instant>,
}

impl Default for BackendLoad {
    fn default() -> Self {
        Self {
            outstanding: 0,
            latency_ms: ASSUMED_LATENCY_MS,
            failures: 0.0,
            failures_in_row: 0,
            aside_until: None,
        }
    }
}

/// A reading of one backend server's entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LoadSnapshot {
    pub(crate) outstanding: u32,
    pub(crate) latency_ms: f64,
    pub(crate) failures: f64,
    pub(crate) is_aside: bool,
}

/// The book of all backend servers, by their starts: what one did says nothing of the next.
#[derive(Clone, Debug, Default)]
pub struct BackendTracker {
    loads: Arc<Mutex<HashMap<BackendInstance, BackendLoad>>>,
}

impl BackendTracker {
    fn with<T>(&self, backend: &BackendInstance, run: impl FnOnce(&mut BackendLoad) -> T) -> T {
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        if loads.len() >= MOST_ENTRIES {
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
            failures: load.failures,
            is_aside: load.aside_until.is_some_and(|until| until > now),
        }
    }

    /// Notes work that is sent to a backend server until the ticket is dropped.
    pub(crate) fn track_request(&self, backend: &BackendInstance) -> LoadGuard {
        self.with(backend, |load| load.outstanding += 1);
        LoadGuard { book: self.clone(), backend: backend.clone() }
    }

    /// Notes an answer that came as it should.
    pub(crate) fn record_success(&self, backend: &BackendInstance, latency: Duration) {
        let latency_ms = latency.as_secs_f64() * 1000.0;
        self.with(backend, |load| {
            load.latency_ms += NEWEST_WEIGHT * (latency_ms - load.latency_ms);
            load.failures -= NEWEST_WEIGHT * load.failures;
            load.failures_in_row = 0;
            load.aside_until = None;
        });
    }

    /// Notes a failure that the backend server told of.
    pub(crate) fn record_failure(&self, backend: &BackendInstance) {
        self.with(backend, |load| load.failures += NEWEST_WEIGHT * (1.0 - load.failures));
    }

    /// Notes that no connection could be made; leaves the backend server out at once.
    pub(crate) fn record_connect_failure(&self, backend: &BackendInstance, cause: &str) {
        self.record_unanswered(backend, 1, cause);
    }

    /// Notes that a backend server did not answer; leaves it out for a while when that repeats.
    pub(crate) fn record_no_response(&self, backend: &BackendInstance, cause: &str) {
        self.record_unanswered(backend, FAILURES_BEFORE_ASIDE, cause);
    }

    /// Leaves a backend server out from so many failures in a row on, for longer each time.
    fn record_unanswered(&self, backend: &BackendInstance, failures_before: u32, cause: &str) {
        let now = Instant::now();
        let aside = self.with(backend, |load| {
            load.failures += NEWEST_WEIGHT * (1.0 - load.failures);
            load.failures_in_row += 1;
            let doublings = load.failures_in_row.checked_sub(failures_before)?.min(8);
            let span = (FIRST_ASIDE * 2_u32.pow(doublings)).min(LONGEST_ASIDE);
            load.aside_until = Some(now + span);
            Some((load.failures_in_row, span))
        });
        if let Some((failures, span)) = aside {
            let span_ms = span.as_millis();
            log::info!(
                "event=backend_aside backend={} failures={failures} for_ms={span_ms} cause=\"{cause}\"",
                backend.id,
            );
        }
    }
}

/// Work under way at a backend server; dropping it takes it off the book.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    book: BackendTracker,
    backend: BackendInstance,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.book.with(&self.backend, |load| load.outstanding = load.outstanding.saturating_sub(1));
    }
}
