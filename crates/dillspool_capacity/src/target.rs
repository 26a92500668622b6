//! The number of prefill engines that a pool keeps, changed only for a reason that lasts.

use std::time::Duration;

use tokio::time::Instant;

/// Distance of the need from the target, in engines, above which it asks for a change: half an
/// engine by rounding, and what readings of some dozen requests vary by.
const DEAD_BAND: f64 = 0.65;
/// The same as a part of the target, for large pools: readings of some dozen requests vary by a
/// fifth, and of many hosts the one that is furthest off would decide.
const DEAD_PART: f64 = 0.25;
/// Part of the dead band by which a smaller target stays above the need, since the host that asks
/// for it is mostly one that reads too low.
const CAUTION: f64 = 0.33;
/// Time for which the need must be below the target. A prefill engine has nothing to finish before
/// it turns, and decode memory is what most requests are refused for, so this costs little.
const FEWER_SPAN: Duration = Duration::from_secs(2);
/// Time for which the need must be above it. A decode engine ends its answers before it turns and is
/// gone for ten seconds and more, which costs up to a tenth of the worth of half a minute
/// (`docs/DECIDING.md`); a need that lasts for less than a minute, as in a burst, does not repay it.
const MORE_SPAN: Duration = Duration::from_mins(1);

/// The target of one pool as this host knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SplitTarget {
    /// Prefill engines.
    pub prefill_engines: usize,
    /// Since when the need has been off, and in which direction.
    off: Option<OffNeed>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct OffNeed {
    more: bool,
    since: Instant,
}

/// A change of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetChange {
    /// Prefill engines before.
    pub from: usize,
    /// Prefill engines from now on.
    pub to: usize,
}

impl SplitTarget {
    /// A target that nothing speaks against yet.
    pub fn new(engines: usize) -> Self {
        Self { prefill_engines: engines, off: None }
    }

    /// Takes the need at a moment; the target moves at once to what the need asks for when that
    /// has been so for long enough.
    ///
    /// `all` is the number of engines of the pool; at least one of them prefills and, if there are
    /// two, one decodes.
    pub fn update(&mut self, need: f64, all: usize, now: Instant) -> Option<TargetChange> {
        #[expect(clippy::cast_precision_loss, reason = "engines are counted in thousands")]
        let target = self.prefill_engines as f64;
        let (distance, band) = (need - target, DEAD_BAND.max(DEAD_PART * target));
        if distance.abs() <= band {
            self.off = None;
            return None;
        }
        let more = distance > 0.0;
        let before = self.off.filter(|off| off.more == more);
        let since = before.map_or(now, |off| off.since);
        self.off = Some(OffNeed { more, since });
        let span = if more { MORE_SPAN } else { FEWER_SPAN };
        if now.saturating_duration_since(since) < span {
            return None;
        }
        let from = self.prefill_engines;
        let need = if more { need } else { need + CAUTION * band };
        *self = Self::new(engines_for(need, all));
        (from != self.prefill_engines).then_some(TargetChange { from, to: self.prefill_engines })
    }
}

/// Whole engines for a need.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a need lies between 0 and the number of engines"
)]
fn engines_for(need: f64, all: usize) -> usize {
    let whole = need.round().max(1.0) as usize;
    whole.min(all.saturating_sub(1)).max(1)
}
