//! Requests that recently succeeded.

use std::collections::HashSet;

use crate::fingerprint::RequestFingerprint;

/// The most recently succeeded requests.
///
/// Uses two generations: when the newer set is full, it replaces the older one, so inserting never
/// has to search for the oldest entry.
#[derive(Clone, Debug)]
pub(crate) struct RecentFingerprints {
    newer: HashSet<RequestFingerprint>,
    older: HashSet<RequestFingerprint>,
    /// Capacity of one generation.
    capacity: usize,
}

impl RecentFingerprints {
    /// Remembers at least the last `capacity` fingerprints, and at most twice as many.
    pub(crate) fn new(capacity: usize) -> Self {
        Self { newer: HashSet::new(), older: HashSet::new(), capacity }
    }

    pub(crate) fn insert(&mut self, fingerprint: RequestFingerprint) {
        if self.newer.len() >= self.capacity {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(fingerprint);
    }

    pub(crate) fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.newer.contains(&fingerprint) || self.older.contains(&fingerprint)
    }
}
