//! A clock that jumps as the one of a suspended host does.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::HostClock;

/// Suspends a host between any two reads of its clock; tokio's clock stands still meanwhile.
#[derive(Clone, Debug, Default)]
pub struct ClockJumps {
    suspended: Arc<Mutex<Duration>>,
}

impl ClockJumps {
    /// A clock that follows tokio's, and counts what is added.
    pub fn clock(&self) -> HostClock {
        let (steady, suspended) = (HostClock::steady(), Arc::clone(&self.suspended));
        HostClock::from_fn(move || {
            steady.now() + *suspended.lock().unwrap_or_else(PoisonError::into_inner)
        })
    }

    /// The host was suspended for so long.
    pub fn suspend(&self, time: Duration) {
        *self.suspended.lock().unwrap_or_else(PoisonError::into_inner) += time;
    }
}
