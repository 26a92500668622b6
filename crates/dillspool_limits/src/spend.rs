//! What a request asks of a limit.

use dillspool_moment::Moment;
use dillspool_schema::Name;

use crate::bucket::LimitRate;

/// Which of two statements of one limit is the newer.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum RateVersion {
    /// Version of the configuration that states it.
    Config(u64),
    /// When it was heard.
    Observed(Moment),
}

/// What a request asks of a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct SpendRequest {
    /// Whose limit: a workspace, or the start of a backend server.
    pub subject: Name,
    /// The limit, as the host of the request knows it.
    pub rate: LimitRate,
    /// How new that is.
    pub version: RateVersion,
    /// How much the request counts for.
    pub amount: f64,
    /// How urgent it is; 0 goes first.
    pub priority: u32,
    /// What the host spent before it knew of the limit, told once.
    pub unreported: f64,
}
