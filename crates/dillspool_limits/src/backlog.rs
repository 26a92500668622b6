//! Refused amounts whose retry is still expected.

use std::collections::BTreeMap;

/// Refused amounts by priority until their retry time; the most urgent come first.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefusedBacklog {
    by_priority: BTreeMap<u32, f64>,
}

impl RefusedBacklog {
    /// Adds a refused amount.
    pub(crate) fn add(&mut self, priority: u32, amount: f64) {
        *self.by_priority.entry(priority).or_default() += amount;
    }

    /// Removes amounts that the refill has made room for, starting with the most urgent.
    pub(crate) fn drain(&mut self, mut refilled: f64) {
        while let Some(mut first) = self.by_priority.first_entry() {
            if *first.get() > refilled {
                *first.get_mut() -= refilled;
                return;
            }
            refilled -= first.remove();
        }
    }

    /// Removes the amount of a request that was retried.
    pub(crate) fn remove(&mut self, priority: u32, amount: f64) {
        if let Some(pending) = self.by_priority.get_mut(&priority) {
            *pending -= amount;
            if *pending <= 0.0 {
                self.by_priority.remove(&priority);
            }
        }
    }

    /// Sum of the amounts that are more urgent than a priority.
    pub(crate) fn ahead_of(&self, priority: u32) -> f64 {
        self.by_priority.range(..priority).map(|(_priority, amount)| amount).sum()
    }

    /// Sum of the amounts that precede a new one of a priority.
    pub(crate) fn up_to(&self, priority: u32) -> f64 {
        self.by_priority.range(..=priority).map(|(_priority, amount)| amount).sum()
    }
}
