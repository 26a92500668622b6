//! How much of the pool's service each priority class got of late.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Time after which service counts a third of what it did.
const DECAY: Duration = Duration::from_secs(2);
/// Largest part of the service that is believed to go to higher classes for good.
const MOST_TAKEN: f64 = 0.95;

/// Service of each class, fading with time.
#[derive(Debug)]
pub(crate) struct ClassService {
    served: BTreeMap<u32, f64>,
    faded_at: Instant,
}

impl ClassService {
    pub(crate) fn new(now: Instant) -> Self {
        Self { served: BTreeMap::new(), faded_at: now }
    }

    /// Notes service of a class.
    pub(crate) fn note(&mut self, priority: u32, cost: Duration, now: Instant) {
        let age = now.duration_since(self.faded_at).as_secs_f64();
        let fade = (-age / DECAY.as_secs_f64()).exp();
        for served in self.served.values_mut() {
            *served *= fade;
        }
        self.faded_at = now;
        *self.served.entry(priority).or_default() += cost.as_secs_f64();
    }

    /// The wait of a class when the classes above go on taking what they took of late.
    pub(crate) fn stretch(&self, priority: u32, wait: Duration) -> Duration {
        let total: f64 = self.served.values().sum();
        let above: f64 = self.served.range(..priority).map(|(_, served)| served).sum();
        if total <= 0.0 {
            return wait;
        }
        wait.div_f64(1.0 - (above / total).min(MOST_TAKEN))
    }
}
