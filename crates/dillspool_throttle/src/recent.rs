//! How much was sent lately.

use std::collections::VecDeque;
use std::time::Duration;

use dillspool_moment::Moment;

/// Time over which sends are counted.
pub(crate) const RECENT_SPAN: Duration = Duration::from_secs(1);
/// Parts into which it is cut.
const SLICES: u32 = 10;

/// Sends within [`RECENT_SPAN`], to a slice.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentCount {
    /// Starts of slices and their sends.
    slices: VecDeque<(Moment, u32)>,
}

impl RecentCount {
    /// Counts a send.
    pub(crate) fn add(&mut self, now: Moment) {
        self.forget(now);
        match self.slices.back_mut() {
            Some((since, count)) if now.since(*since) < RECENT_SPAN / SLICES => *count += 1,
            Some(_) | None => self.slices.push_back((now, 1)),
        }
    }

    /// Sends of the span that ends now.
    pub(crate) fn read(&self, now: Moment) -> u32 {
        let stands = |(since, _count): &&(Moment, u32)| now.since(*since) < RECENT_SPAN;
        self.slices.iter().filter(stands).map(|(_since, count)| count).sum()
    }

    fn forget(&mut self, now: Moment) {
        while self.slices.front().is_some_and(|(since, _count)| now.since(*since) >= RECENT_SPAN) {
            self.slices.pop_front();
        }
    }
}
