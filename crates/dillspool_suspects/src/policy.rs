//! Policy for refusing requests that crash backend servers.

use std::time::Duration;

use crate::part_policy::PartPolicy;

/// Which crashes are attributed to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashAttribution {
    /// Every crash of a backend server that was running the request.
    EveryCrash,
    /// Only crashes that no other request explains equally well, that is, no other request running
    /// there has as many crashes or more. Keeps healthy requests that ran next to a poison request
    /// from being refused along with it.
    PrimeSuspect,
    /// Like `PrimeSuspect`, but a crash does not count if another backend server crashed at the
    /// same time and was running neither this request nor any other with as many crashes. What
    /// crashes several backend servers at once is not a request on one of them, so the requests
    /// that were running there are not refused for it.
    NoCommonCause,
}

/// Retry delay for a copy while another copy is being tried; about the time that an answer takes.
pub const COPY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// When a request is refused, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct SuspectPolicy {
    /// Which crashes count.
    pub attribution: CrashAttribution,
    /// Consecutive attributed crashes after which a request is refused.
    pub refuse_after: usize,
    /// Consecutive crashes, attributed or not, after which a request is refused: two poison
    /// requests that always run together explain each other's crashes.
    pub always_refuse_after: usize,
    /// How long a crash counts against a request that is not refused.
    pub watch_period: Duration,
    /// Time after the last crash for which a request is refused; then one copy may run as a trial.
    pub refusal_period: Duration,
    /// Consecutive crashes after which no more trials run until the request is forgotten: each
    /// trial can crash one backend server, and the platform allows three sends after the third
    /// crash.
    pub no_trial_after: usize,
    /// Time after the last crash after which a refused request is forgotten.
    pub retention: Duration,
    /// Maximum number of requests tracked; those with the fewest and oldest crashes are evicted
    /// first.
    pub max_fingerprints: usize,
    /// When requests with a prompt part are refused.
    pub parts: PartPolicy,
}

impl Default for SuspectPolicy {
    fn default() -> Self {
        Self {
            attribution: CrashAttribution::NoCommonCause,
            // The platform allows three crashes and three sends after them.
            refuse_after: 3,
            always_refuse_after: 5,
            watch_period: Duration::from_mins(15),
            refusal_period: Duration::from_hours(1),
            no_trial_after: 6,
            retention: Duration::from_hours(24),
            // About 2 MB.
            max_fingerprints: 4096,
            parts: PartPolicy::default(),
        }
    }
}

impl SuspectPolicy {
    /// Time after the last crash for which a request with this many crashes is refused without a
    /// trial.
    pub(crate) fn refusal_time(&self, crashes: usize) -> Duration {
        if crashes < self.no_trial_after { self.refusal_period } else { self.retention }
    }
}
