//! Requests to spend from a limit.

use dillspool_moment::Moment;
use dillspool_schema::Name;

use crate::bucket::LimitRate;

/// Orders several statements of the same limit by age. Log lines print it.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum RateVersion {
    /// Version of the configuration that states it.
    Config(u64),
    /// Time at which the backend server announced it.
    Heard(Moment),
}

/// A request to spend from a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct SpendRequest {
    /// Key of the limit: a workspace, or an instance of a backend server.
    pub subject: Name,
    /// Rate as known to the host that asks.
    pub rate: LimitRate,
    /// Version of the rate.
    pub version: RateVersion,
    /// How much the request counts for.
    pub amount: f64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Amount that the host spent before it knew of the limit; reported once.
    pub unreported: f64,
}
