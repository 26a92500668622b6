//! The keys that this process sent lately.

use std::collections::{BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::call::CallKey;

/// Keys remembered; about 2 MB.
const REMEMBERED: usize = 16_384;

#[derive(Debug, Default)]
struct KeyWindow {
    keys: BTreeSet<CallKey>,
    order: VecDeque<CallKey>,
}

/// A bounded memory of keys, the newest kept.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentKeys {
    window: Arc<Mutex<KeyWindow>>,
}

impl RecentKeys {
    fn lock(&self) -> MutexGuard<'_, KeyWindow> {
        self.window.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn add(&self, key: CallKey) {
        let mut window = self.lock();
        if window.keys.insert(key.clone()) {
            window.order.push_back(key);
        }
        if window.order.len() > REMEMBERED
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
