//! Rate limit and backoff announced in one answer.

use std::fmt;
use std::time::Duration;

/// Maximum accepted rate; anything above is as good as unlimited.
const MAX_RATE_PER_S: f64 = 1e6;

/// Requests per second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate; `None` if the value is out of range.
    pub fn new(per_s: f64) -> Option<Self> {
        (0.0..=MAX_RATE_PER_S).contains(&per_s).then_some(Self(per_s))
    }

    /// Requests per second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What an answer says about the backend server's rate limit.
#[derive(Clone, Debug, PartialEq)]
pub enum RateNotice {
    /// No limit.
    Unlimited,
    /// Rate limit for all hosts together, valid as long as answers repeat it.
    Limited(RequestRate),
    /// The value is not a rate.
    Malformed(String),
}

/// What an answer says about a pause that the backend server asks this host for.
#[derive(Clone, Debug, PartialEq)]
pub enum BackoffNotice {
    /// No pause.
    None,
    /// Send nothing from this host for this long.
    For(Duration),
    /// The value is not a duration.
    Malformed(String),
}
