//! When a request counts as the one that ends backend servers.

use std::time::Duration;

/// Which ends count against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndWeight {
    /// Each backend server that ended while the request ran there.
    Each,
    /// Only those that no other request explains as well: one that ran there, too, and under which as many
    /// have ended, or more. Sound requests that run beside a deadly one are not refused with it.
    Singled,
    /// Of those only the ones at whose moment no other backend server ended that neither this request nor
    /// another one of as many ends explains: what ends several at once does not run at one of them, and
    /// what ran there is not refused for it.
    Unexplained,
}

/// When a copy may come back while another one shows whether it does harm: about the time that an answer takes.
pub const COPY_RETRY: Duration = Duration::from_secs(1);

/// When a request is refused, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct SuspectPolicy {
    /// Which ends count.
    pub weight: EndWeight,
    /// Ends in a row, as they count, from which on a request is refused.
    pub ends_refused: usize,
    /// Ends in a row from which on it is refused however they count: two deadly requests that travel
    /// together explain each other's ends.
    pub ends_refused_always: usize,
    /// Time for which an end stands against a request that is not refused.
    pub watched_for: Duration,
    /// Time after the last end for which a request is refused; then one copy is let through as a trial.
    pub refused_for: Duration,
    /// Ends in a row from which on no copy is tried any more before it is forgotten: each trial may end one
    /// backend server, and the platform allows three sends after the third end.
    pub ends_untried: usize,
    /// Time after the last end after which a refused request is forgotten.
    pub remembered_for: Duration,
    /// Requests that are remembered at most; those with the fewest and oldest ends go first.
    pub most_prints: usize,
}

impl Default for SuspectPolicy {
    fn default() -> Self {
        Self {
            weight: EndWeight::Unexplained,
            // The platform allows three ends and three sends more.
            ends_refused: 3,
            ends_refused_always: 5,
            watched_for: Duration::from_mins(15),
            refused_for: Duration::from_hours(1),
            ends_untried: 6,
            remembered_for: Duration::from_hours(24),
            // Some 2 MB.
            most_prints: 4096,
        }
    }
}

impl SuspectPolicy {
    /// Time after the last of so many ends for which a request is refused without a trial.
    pub(crate) fn refusal_time(&self, ends: usize) -> Duration {
        if ends < self.ends_untried { self.refused_for } else { self.remembered_for }
    }
}
