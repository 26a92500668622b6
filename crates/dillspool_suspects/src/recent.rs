//! Requests that came to a good end of late.

use std::collections::HashSet;

use crate::print::RequestFingerprint;

/// Prints that came to a good end, the newest of them.
///
/// Two sets take turns: the older one goes whole when the newer one is full, so that noting one costs no
/// search for the oldest.
#[derive(Clone, Debug)]
pub(crate) struct RecentPrints {
    newer: HashSet<RequestFingerprint>,
    older: HashSet<RequestFingerprint>,
    /// Prints of a set at most.
    most: usize,
}

impl RecentPrints {
    /// Remembers `most` prints at least, once so many have come, and twice as many at most.
    pub(crate) fn new(most: usize) -> Self {
        Self { newer: HashSet::new(), older: HashSet::new(), most }
    }

    pub(crate) fn note(&mut self, print: RequestFingerprint) {
        if self.newer.len() >= self.most {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(print);
    }

    pub(crate) fn contains(&self, print: RequestFingerprint) -> bool {
        self.newer.contains(&print) || self.older.contains(&print)
    }
}
