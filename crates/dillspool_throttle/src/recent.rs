//! Sliding-window counter of sends.

use std::collections::VecDeque;
use std::time::Duration;

use dillspool_moment::Moment;

/// Length of the window.
pub(crate) const WINDOW: Duration = Duration::from_secs(1);
/// Number of slices that the window is divided into.
const WINDOW_SLICES: u32 = 10;

/// Sends within the last [`WINDOW`], counted per slice.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentCount {
    /// Start of each slice and its number of sends.
    slices: VecDeque<(Moment, u32)>,
}

impl RecentCount {
    /// Counts a send.
    pub(crate) fn add(&mut self, now: Moment) {
        self.expire(now);
        match self.slices.back_mut() {
            Some((start, count)) if now.since(*start) < WINDOW / WINDOW_SLICES => *count += 1,
            Some(_) | None => self.slices.push_back((now, 1)),
        }
    }

    /// Number of sends in the window that ends now.
    pub(crate) fn total(&self, now: Moment) -> u32 {
        let is_recent = |(start, _count): &&(Moment, u32)| now.since(*start) < WINDOW;
        self.slices.iter().filter(is_recent).map(|(_start, count)| count).sum()
    }

    fn expire(&mut self, now: Moment) {
        while self.slices.front().is_some_and(|(start, _count)| now.since(*start) >= WINDOW) {
            self.slices.pop_front();
        }
    }
}
