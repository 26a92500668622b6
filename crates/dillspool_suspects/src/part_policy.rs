//! Policy for refusing requests with prompt parts that crash backend servers.

use std::time::Duration;

/// Which part is held to have caused a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartAttribution {
    /// None: only whole requests are suspects.
    None,
    /// Each part on which a run was starting.
    EveryCrash,
    /// The part with the most crashes among those on which runs were starting.
    MostCrashes,
    /// The part in the most crashes, unless two others explain all of these. Parts that were present
    /// in all of its crashes must be present in a request, too, for it to be refused.
    FewestCauses,
}

/// When requests with a part are refused, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct PartPolicy {
    /// Which part is blamed.
    pub attribution: PartAttribution,
    /// Consecutive unexplained crashes after which a part is refused.
    pub refuse_after: usize,
    /// The same, crashes included at whose moment other backend servers crashed without a cause.
    pub always_refuse_after: usize,
    /// The same for a part all of whose crashes two others may have caused.
    pub refuse_broad_after: usize,
    /// The same for a part on which answers have recently begun well.
    pub refuse_proven_after: usize,
    /// The same for a part to which both apply.
    pub refuse_proven_broad_after: usize,
    /// How long a crash counts against a part that is not refused.
    pub watch_period: Duration,
    /// Time after the last crash for which a part is refused; then one request may run as a trial.
    /// Each further crash multiplies it by [`Self::refusal_factor`].
    pub refusal_period: Duration,
    /// The first such period of a part on which answers have recently begun well.
    pub proven_refusal_period: Duration,
    /// Factor of the refusal period after each failed trial.
    pub refusal_factor: u32,
    /// Longest refusal period.
    pub max_refusal_period: Duration,
    /// Time after the last crash after which a refused part is forgotten.
    pub retention: Duration,
    /// Maximum number of parts tracked; those with the fewest and oldest crashes are evicted first.
    pub max_parts: usize,
}

impl Default for PartPolicy {
    fn default() -> Self {
        Self {
            attribution: PartAttribution::FewestCauses,
            refuse_after: 3,
            // The platform allows five crashes, and three sends from some seconds after them.
            always_refuse_after: 5,
            refuse_broad_after: 5,
            refuse_proven_after: 4,
            refuse_proven_broad_after: 9,
            watch_period: Duration::from_mins(15),
            refusal_period: Duration::from_secs(30),
            proven_refusal_period: Duration::from_secs(4),
            refusal_factor: 4,
            max_refusal_period: Duration::from_hours(1),
            retention: Duration::from_hours(24),
            // About 2 MB.
            max_parts: 4096,
        }
    }
}

impl PartPolicy {
    /// Time after the last crash for which a part is refused, after so many failed trials.
    pub(crate) fn refusal_time(&self, is_proven: bool, failed_trials: u32) -> Duration {
        let exponent = match (is_proven, failed_trials) {
            (true, 0) => return self.proven_refusal_period,
            (true, failed) => failed - 1,
            (false, failed) => failed,
        };
        let factor = self.refusal_factor.saturating_pow(exponent);
        self.refusal_period.saturating_mul(factor).min(self.max_refusal_period)
    }
}
