//! Instances of backend servers that are shutting down.

use std::collections::{HashMap, VecDeque};

use dillspool_moment::Moment;
use dillspool_routing::{BackendId, BackendInstance, BackendStart};

/// Maximum number of instances remembered; the oldest are dropped first.
const MAX_INSTANCES: usize = 8_192;

/// A backend server announced that it is shutting down.
#[derive(Clone, Debug, PartialEq)]
pub struct LeavingUpdate {
    /// The instance that announced it.
    pub backend: BackendInstance,
    /// When it was announced.
    pub at: Moment,
}

/// Instances that announced their shutdown. An instance never takes this back; after a restart, the
/// backend server is another instance.
#[derive(Clone, Debug, Default)]
pub struct LeavingRegistry {
    starts: HashMap<BackendId, Vec<Option<BackendStart>>>,
    /// In the order in which they were recorded.
    order: VecDeque<LeavingUpdate>,
}

impl LeavingRegistry {
    /// Records that an instance is leaving; returns whether this was new.
    pub fn record(&mut self, update: &LeavingUpdate) -> bool {
        let backend = &update.backend;
        if self.is_leaving(backend) {
            return false;
        }
        if self.order.len() >= MAX_INSTANCES {
            self.remove_oldest();
        }
        self.starts.entry(BackendId::clone(&backend.id)).or_default().push(backend.start);
        self.order.push_back(update.clone());
        true
    }

    /// Whether an instance is leaving. If a start time is unknown, instances with the same ID count
    /// as one.
    pub fn is_leaving(&self, backend: &BackendInstance) -> bool {
        let starts = self.starts.get(&backend.id);
        starts.is_some_and(|known| {
            known.iter().any(|start| !BackendStart::are_different(*start, backend.start))
        })
    }

    /// The newest `max_updates` announcements, newest first.
    pub fn newest(&self, max_updates: usize) -> impl Iterator<Item = &LeavingUpdate> {
        self.order.iter().rev().take(max_updates)
    }

    /// Number of instances remembered.
    pub fn count(&self) -> usize {
        self.order.len()
    }

    fn remove_oldest(&mut self) {
        let Some(LeavingUpdate { backend: oldest, at: _ }) = self.order.pop_front() else { return };
        if let Some(starts) = self.starts.get_mut(&oldest.id) {
            starts.retain(|start| *start != oldest.start);
            if starts.is_empty() {
                self.starts.remove(&oldest.id);
            }
        }
    }
}
