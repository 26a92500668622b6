//! Requests and prompt parts that recently succeeded.

use std::collections::HashMap;

use dillspool_moment::Moment;

use crate::fingerprint::RequestFingerprint;

/// The fingerprints that most recently succeeded, with the time of the last success.
///
/// Uses two generations: when the newer set is full, it replaces the older one, so inserting never
/// has to search for the oldest entry.
#[derive(Clone, Debug)]
pub(crate) struct RecentFingerprints {
    newer: HashMap<RequestFingerprint, Moment>,
    older: HashMap<RequestFingerprint, Moment>,
    /// Capacity of one generation.
    capacity: usize,
}

impl RecentFingerprints {
    /// Remembers at least the last `capacity` fingerprints, and at most twice as many.
    pub(crate) fn new(capacity: usize) -> Self {
        Self { newer: HashMap::new(), older: HashMap::new(), capacity }
    }

    pub(crate) fn insert(&mut self, fingerprint: RequestFingerprint, at: Moment) {
        if self.newer.len() >= self.capacity && !self.newer.contains_key(&fingerprint) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(fingerprint, at);
    }

    pub(crate) fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.last(fingerprint).is_some()
    }

    /// When the fingerprint last succeeded.
    pub(crate) fn last(&self, fingerprint: RequestFingerprint) -> Option<Moment> {
        self.newer.get(&fingerprint).or_else(|| self.older.get(&fingerprint)).copied()
    }
}
