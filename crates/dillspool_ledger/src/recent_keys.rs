//! Keys of the calls that this process sent recently.

use std::collections::{BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::call::CallKey;

/// Maximum number of keys; they take about 2 MB.
const MAX_RECENT_KEYS: usize = 16_384;

#[derive(Debug, Default)]
struct KeyWindow {
    keys: BTreeSet<CallKey>,
    order: VecDeque<CallKey>,
}

/// A bounded set of keys that evicts the oldest.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentKeys {
    window: Arc<Mutex<KeyWindow>>,
}

impl RecentKeys {
    fn lock(&self) -> MutexGuard<'_, KeyWindow> {
        self.window.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn insert(&self, key: CallKey) {
        let mut window = self.lock();
        if window.keys.insert(key.clone()) {
            window.order.push_back(key);
        }
        if window.order.len() > MAX_RECENT_KEYS
            && let Some(oldest) = window.order.pop_front()
        {
            window.keys.remove(&oldest);
        }
    }

    pub(crate) fn remove(&self, key: &CallKey) {
        self.lock().keys.remove(key);
    }

    pub(crate) fn contains(&self, key: &CallKey) -> bool {
        self.lock().keys.contains(key)
    }
}
