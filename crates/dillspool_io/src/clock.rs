//! Wall clock time, which unlike a steady clock stays comparable across restarts of the process.

use std::fmt;
use std::ops::Add;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Unix time in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Returns the time since `earlier`, or zero if `earlier` is in the future.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for UnixMillis {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

/// Source of wall clock time.
#[derive(Clone)]
pub struct WallClock {
    now: Arc<dyn Fn() -> UnixMillis + Send + Sync>,
}

impl WallClock {
    /// Returns the system's wall clock.
    pub fn system() -> Self {
        Self::from_fn(|| {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            UnixMillis::default() + since_epoch
        })
    }

    /// Returns a clock that starts at `start` and follows tokio's clock, which tests can pause.
    pub fn tokio(start: UnixMillis) -> Self {
        let origin = tokio::time::Instant::now();
        Self::from_fn(move || start + origin.elapsed())
    }

    /// Returns a clock that reads the time from a closure.
    pub fn from_fn(now: impl Fn() -> UnixMillis + Send + Sync + 'static) -> Self {
        Self { now: Arc::new(now) }
    }

    /// Returns the current time.
    pub fn now(&self) -> UnixMillis {
        (self.now)()
    }
}

impl fmt::Debug for WallClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "WallClock({:?})", self.now())
    }
}
