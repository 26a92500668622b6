//! What a request asks of a limit.

use dillspool_schema::Name;

use crate::bucket::LimitRate;

/// What a request asks of a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct SpendRequest {
    /// Whose limit.
    pub workspace: Name,
    /// The limit, as the host of the request knows it.
    pub rate: LimitRate,
    /// Version of the configuration that states it.
    pub version: u64,
    /// How much the request counts for.
    pub amount: f64,
}
