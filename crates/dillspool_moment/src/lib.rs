//! Points in time of a clock that the caller passes in.

use std::ops::Add;
use std::time::Duration;

/// A point in time, as the time since the origin of the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// The point `time` after the origin.
    pub fn after_origin(time: Duration) -> Self {
        Self(time)
    }

    /// Subtracts `time`, saturating at the origin.
    #[must_use]
    pub fn saturating_sub(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time))
    }

    /// Subtracts `time`; `None` if the result would be before the origin.
    #[must_use]
    pub fn checked_sub(self, time: Duration) -> Option<Self> {
        self.0.checked_sub(time).map(Self)
    }

    /// Time elapsed since `earlier`; zero if it is not earlier.
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
