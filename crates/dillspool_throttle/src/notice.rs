//! What one answer says.

use std::fmt;
use std::time::Duration;

/// Largest rate that is believed; more is as good as none.
const LARGEST_RATE: f64 = 1e6;

/// Requests a second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// A rate; `None` for what is none.
    pub fn new(per_s: f64) -> Option<Self> {
        (0.0..=LARGEST_RATE).contains(&per_s).then_some(Self(per_s))
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What one answer of a backend server says of how much it takes.
#[derive(Clone, Debug, PartialEq)]
pub enum RateNotice {
    /// It names no limit.
    Unlimited,
    /// It takes so much from all hosts together, for as long as its answers say so.
    Limited(RequestRate),
    /// It names something that is no rate.
    Malformed(String),
}

/// What one answer of a backend server says of when it takes something from this host again.
#[derive(Clone, Debug, PartialEq)]
pub enum BackoffNotice {
    /// Nothing.
    None,
    /// It takes nothing from this host for so long.
    For(Duration),
    /// It names something that is no time.
    Malformed(String),
}
