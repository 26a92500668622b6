//! Which starts of backend servers have said that they leave.

use std::collections::{HashMap, VecDeque};

use dillspool_moment::Moment;
use dillspool_routing::{BackendId, BackendInstance, BackendStart};

/// Starts that are remembered at most; the oldest are forgotten first.
const MOST_STARTS: usize = 8_192;

/// A backend server has said that it leaves.
#[derive(Clone, Debug, PartialEq)]
pub struct LeavingUpdate {
    /// Which start of it.
    pub backend: BackendInstance,
    /// When it said so.
    pub at: Moment,
}

/// The starts that have said so. A start never takes it back; the next start of a backend server is another one.
#[derive(Clone, Debug, Default)]
pub struct LeavingRegistry {
    starts: HashMap<BackendId, Vec<Option<BackendStart>>>,
    /// In the order in which they were noted.
    order: VecDeque<LeavingUpdate>,
}

impl LeavingRegistry {
    /// Notes that a start leaves; whether that is new.
    pub fn record(&mut self, news: &LeavingUpdate) -> bool {
        let backend = &news.backend;
        if self.is_leaving(backend) {
            return false;
        }
        if self.order.len() >= MOST_STARTS {
            self.forget_oldest();
        }
        self.starts.entry(BackendId::clone(&backend.id)).or_default().push(backend.start);
        self.order.push_back(news.clone());
        true
    }

    /// Whether a start has said that it leaves; one that is not told apart from another counts as the same.
    pub fn is_leaving(&self, backend: &BackendInstance) -> bool {
        let starts = self.starts.get(&backend.id);
        starts.is_some_and(|known| {
            known.iter().any(|start| !BackendStart::are_different(*start, backend.start))
        })
    }

    /// The newest `most`, the newest first.
    pub fn newest(&self, most: usize) -> impl Iterator<Item = &LeavingUpdate> {
        self.order.iter().rev().take(most)
    }

    /// Starts that are remembered.
    pub fn count(&self) -> usize {
        self.order.len()
    }

    fn forget_oldest(&mut self) {
        let Some(LeavingUpdate { backend: oldest, at: _ }) = self.order.pop_front() else { return };
        if let Some(starts) = self.starts.get_mut(&oldest.id) {
            starts.retain(|start| *start != oldest.start);
            if starts.is_empty() {
                self.starts.remove(&oldest.id);
            }
        }
    }
}
