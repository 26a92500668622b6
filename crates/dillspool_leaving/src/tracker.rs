//! Shares a [`LeavingRegistry`] between all requests of a host.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use dillspool_io::HostClock;
use dillspool_routing::BackendInstance;
use tokio::sync::{Notify, watch};

use crate::registry::{LeavingRegistry, LeavingUpdate};

/// Maximum number of updates queued for other hosts; the oldest are dropped first.
const MAX_QUEUED_UPDATES: usize = 1_024;

/// Tracks which backend servers are shutting down.
#[derive(Clone)]
pub struct LeavingTracker {
    registry: Arc<watch::Sender<LeavingRegistry>>,
    /// Announcements from answers, to be sent to other hosts.
    queued_updates: Arc<Mutex<VecDeque<LeavingUpdate>>>,
    changed: Arc<Notify>,
    clock: HostClock,
}

impl fmt::Debug for LeavingTracker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LeavingDesk")
    }
}

impl LeavingTracker {
    /// Creates a tracker without any announcements.
    pub fn new(clock: HostClock) -> Self {
        let registry = Arc::new(watch::Sender::default());
        Self { registry, queued_updates: Arc::default(), changed: Arc::default(), clock }
    }

    /// Records an answer in which a backend server announces its own shutdown.
    pub fn record_response(&self, backend: &BackendInstance) {
        let update = LeavingUpdate { backend: backend.clone(), at: self.clock.now() };
        if !self.record(&update, "answer") {
            return;
        }
        let mut queued_updates = self.queued_updates.lock().unwrap_or_else(PoisonError::into_inner);
        if queued_updates.len() >= MAX_QUEUED_UPDATES {
            queued_updates.pop_front();
        }
        queued_updates.push_back(update);
        drop(queued_updates);
        self.changed.notify_one();
    }

    /// Applies an update from another host; returns whether it was new.
    pub fn apply_update(&self, update: &LeavingUpdate) -> bool {
        self.record(update, "told")
    }

    /// Subscribes to the registry: its current state and each change.
    pub fn subscribe(&self) -> watch::Receiver<LeavingRegistry> {
        self.registry.subscribe()
    }

    /// Waits for updates to send.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes the updates queued since the last call.
    pub fn take_updates(&self) -> VecDeque<LeavingUpdate> {
        std::mem::take(&mut self.queued_updates.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The newest `max_updates` announcements.
    pub fn newest_updates(&self, max_updates: usize) -> Vec<LeavingUpdate> {
        self.registry.borrow().newest(max_updates).cloned().collect()
    }

    /// Number of instances remembered.
    pub fn count(&self) -> usize {
        self.registry.borrow().count()
    }

    /// Records an announcement and its source; returns whether it was new.
    fn record(&self, update: &LeavingUpdate, from: &str) -> bool {
        let is_new = self.registry.send_if_modified(|registry| registry.record(update));
        if is_new {
            let age_ms = self.clock.now().since(update.at).as_millis();
            log::info!(
                "event=backend_leaves backend=\"{}\" from={from} age_ms={age_ms}",
                update.backend.label(),
            );
        }
        is_new
    }
}
