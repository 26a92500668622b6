//! Wall clock time, which outlives a process.

use std::fmt;
use std::ops::Add;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Milliseconds of Unix time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Time since an earlier moment, zero if that moment lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for UnixMillis {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

/// Source of wall clock time.
#[derive(Clone)]
pub struct WallClock {
    now: Arc<dyn Fn() -> UnixMillis + Send + Sync>,
}

impl WallClock {
    /// The system's clock.
    pub fn system() -> Self {
        Self::from_fn(|| {
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            UnixMillis::default() + since
        })
    }

    /// A clock that follows tokio's, which tests pause; it starts at `start`.
    pub fn tokio(start: UnixMillis) -> Self {
        let origin = tokio::time::Instant::now();
        Self::from_fn(move || start + origin.elapsed())
    }

    /// A clock read from a closure.
    pub fn from_fn(now: impl Fn() -> UnixMillis + Send + Sync + 'static) -> Self {
        Self { now: Arc::new(now) }
    }

    /// The time now.
    pub fn now(&self) -> UnixMillis {
        (self.now)()
    }
}

impl fmt::Debug for WallClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "WallClock({:?})", self.now())
    }
}
