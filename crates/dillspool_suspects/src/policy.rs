//! When a request counts as the one that ends backend servers.

use std::time::Duration;

/// Which ends count against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashAttribution {
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
pub const COPY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// When a request is refused, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct SuspectPolicy {
    /// Which ends count.
    pub attribution: CrashAttribution,
    /// Ends in a row, as they count, from which on a request is refused.
    pub refuse_after: usize,
    /// Ends in a row from which on it is refused however they count: two deadly requests that travel
    /// together explain each other's ends.
    pub always_refuse_after: usize,
    /// Time for which an end stands against a request that is not refused.
    pub watch_period: Duration,
    /// Time after the last end for which a request is refused; then one copy is let through as a trial.
    pub refusal_period: Duration,
    /// Ends in a row from which on no copy is tried any more before it is forgotten: each trial may end one
    /// backend server, and the platform allows three sends after the third end.
    pub no_trial_after: usize,
    /// Time after the last end after which a refused request is forgotten.
    pub retention: Duration,
    /// Requests that are remembered at most; those with the fewest and oldest ends go first.
    pub max_fingerprints: usize,
}

impl Default for SuspectPolicy {
    fn default() -> Self {
        Self {
            attribution: CrashAttribution::Unexplained,
            // The platform allows three ends and three sends more.
            refuse_after: 3,
            always_refuse_after: 5,
            watch_period: Duration::from_mins(15),
            refusal_period: Duration::from_hours(1),
            no_trial_after: 6,
            retention: Duration::from_hours(24),
            // Some 2 MB.
            max_fingerprints: 4096,
        }
    }
}

impl SuspectPolicy {
    /// Time after the last of so many ends for which a request is refused without a trial.
    pub(crate) fn refusal_time(&self, ends: usize) -> Duration {
        if ends < self.no_trial_after { self.refusal_period } else { self.retention }
    }
}
