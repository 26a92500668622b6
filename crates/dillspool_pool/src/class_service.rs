//! Recent service of each priority class of a pool.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the exponential decay.
const DECAY: Duration = Duration::from_secs(2);
/// Cap on the fraction of the service that higher classes are assumed to keep.
const MAX_HIGHER_CLASS_SHARE: f64 = 0.95;

/// Exponentially decayed service of each class.
#[derive(Debug)]
pub(crate) struct ClassService {
    served: BTreeMap<u32, f64>,
    decayed_at: Instant,
}

impl ClassService {
    pub(crate) fn new(now: Instant) -> Self {
        Self { served: BTreeMap::new(), decayed_at: now }
    }

    /// Records service of a class.
    pub(crate) fn record(&mut self, priority: u32, cost: Duration, now: Instant) {
        let age = now.duration_since(self.decayed_at).as_secs_f64();
        let fade = (-age / DECAY.as_secs_f64()).exp();
        for served in self.served.values_mut() {
            *served *= fade;
        }
        self.decayed_at = now;
        *self.served.entry(priority).or_default() += cost.as_secs_f64();
    }

    /// Scales the wait of a class by the fraction of service that higher classes recently got.
    pub(crate) fn scale_wait(&self, priority: u32, wait: Duration) -> Duration {
        let total: f64 = self.served.values().sum();
        let above: f64 = self.served.range(..priority).map(|(_, served)| served).sum();
        if total <= 0.0 {
            return wait;
        }
        wait.div_f64(1.0 - (above / total).min(MAX_HIGHER_CLASS_SHARE))
    }
}
