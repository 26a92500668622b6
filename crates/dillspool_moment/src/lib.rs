//! Moments of a clock that the caller passes in.

use std::ops::Add;
use std::time::Duration;

/// A moment, as the time since the caller's own origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// The moment so long after the origin.
    pub fn after_origin(time: Duration) -> Self {
        Self(time)
    }

    /// The moment so long before; not before the origin.
    #[must_use]
    pub fn saturating_sub(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time))
    }

    /// The moment so long before; `None` if that is before the origin.
    #[must_use]
    pub fn checked_sub(self, time: Duration) -> Option<Self> {
        self.0.checked_sub(time).map(Self)
    }

    /// Time since an earlier moment; zero if it is not earlier.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time))
    }
}
