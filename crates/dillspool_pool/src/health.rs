//! Puts failing engines aside by evidence and lets them back by probes.

use std::time::Duration;

use tokio::time::Instant;

/// Failures in a row after which an engine is put aside.
const FAILURE_LIMIT: u32 = 3;
/// First time aside; doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest time aside.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// What is known of one engine's health.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineHealth {
    failures: u32,
    aside_until: Option<Instant>,
    unreachable: bool,
}

impl EngineHealth {
    /// Whether new work may go to the engine.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        !self.unreachable && self.aside_until.is_none_or(|until| until <= now)
    }

    /// A request went well.
    pub(crate) fn note_success(&mut self) {
        self.failures = 0;
        self.aside_until = None;
    }

    /// A request failed on the engine.
    pub(crate) fn note_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures < FAILURE_LIMIT {
            return;
        }
        let doublings = (self.failures - FAILURE_LIMIT).min(5);
        let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
        self.aside_until = Some(now + pause);
    }

    /// The engine did or did not answer the periodic listing.
    pub(crate) fn record_listing(&mut self, answered: bool) {
        self.unreachable = !answered;
    }
}
