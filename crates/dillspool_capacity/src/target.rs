//! Maintains the number of prefill engines of a pool, with hysteresis.

use std::time::Duration;

use tokio::time::Instant;

/// Deviation of the required number from the target, in engines, above which the target may change:
/// half an engine from rounding, plus the variation of estimates from a few dozen requests.
const DEAD_BAND_ENGINES: f64 = 0.65;
/// The same as a fraction of the target, for large pools: estimates from a few dozen requests vary
/// by a fifth, and of many hosts the one with the largest error would decide.
const DEAD_BAND_FRACTION: f64 = 0.25;
/// Fraction of the dead band that is added when the target decreases, since the host that requests
/// the decrease is usually one whose estimate is too low.
const DECREASE_MARGIN: f64 = 0.33;
/// Time for which the required number must stay below the target. A prefill engine has nothing to
/// finish before it changes its role, and most rejections are for lack of decode memory, so a
/// decrease costs little.
const DECREASE_DELAY: Duration = Duration::from_secs(2);
/// Time for which the required number must stay above the target. A decode engine completes its
/// answers before it changes its role and is unavailable for ten seconds or more, which costs up to
/// a tenth of the value of half a minute (`docs/DECIDING.md`). A deviation of less than a minute,
/// such as a burst, does not repay this.
const INCREASE_DELAY: Duration = Duration::from_mins(1);

/// The target of a pool as known to this host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SplitTarget {
    /// Number of prefill engines.
    pub prefill_engines: usize,
    /// The current deviation of the required number from the target, if it exceeds the dead band.
    deviation: Option<TargetDeviation>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct TargetDeviation {
    is_above: bool,
    since: Instant,
}

/// A change of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetChange {
    /// Previous number of prefill engines.
    pub from: usize,
    /// New number of prefill engines.
    pub to: usize,
}

impl SplitTarget {
    /// Creates a target without a pending deviation.
    pub fn new(prefill_engines: usize) -> Self {
        Self { prefill_engines, deviation: None }
    }

    /// Updates the target from the required number of prefill engines at `now`; a deviation that
    /// has lasted long enough moves the target to the required number at once.
    ///
    /// `total` is the number of engines of the pool; at least one of them prefills and, if there
    /// are two, at least one decodes.
    pub fn update(&mut self, required: f64, total: usize, now: Instant) -> Option<TargetChange> {
        #[expect(clippy::cast_precision_loss, reason = "engines are counted in thousands")]
        let target = self.prefill_engines as f64;
        let (distance, band) =
            (required - target, DEAD_BAND_ENGINES.max(DEAD_BAND_FRACTION * target));
        if distance.abs() <= band {
            self.deviation = None;
            return None;
        }
        let is_above = distance > 0.0;
        let previous = self.deviation.filter(|deviation| deviation.is_above == is_above);
        let since = previous.map_or(now, |deviation| deviation.since);
        self.deviation = Some(TargetDeviation { is_above, since });
        let delay = if is_above { INCREASE_DELAY } else { DECREASE_DELAY };
        if now.saturating_duration_since(since) < delay {
            return None;
        }
        let from = self.prefill_engines;
        let required = if is_above { required } else { required + DECREASE_MARGIN * band };
        *self = Self::new(whole_engines(required, total));
        (from != self.prefill_engines).then_some(TargetChange { from, to: self.prefill_engines })
    }
}

/// Rounds the required number; each role keeps at least one engine if there are two.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the required number lies between 0 and the number of engines"
)]
fn whole_engines(required: f64, total: usize) -> usize {
    let engines = required.round().max(1.0) as usize;
    engines.min(total.saturating_sub(1)).max(1)
}
