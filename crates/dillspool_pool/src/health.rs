//! Ejects engines after consecutive failures; after a backoff, new requests probe them.

use std::time::Duration;

use tokio::time::Instant;

/// Consecutive failures after which an engine is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// First ejection time; doubles with each further failure.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Longest ejection time.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// Health of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineHealth {
    failures: u32,
    ejected_until: Option<Instant>,
    unreachable: bool,
}

impl EngineHealth {
    /// Whether the engine may get new work.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        !self.unreachable && self.ejected_until.is_none_or(|until| until <= now)
    }

    /// Records a successful request.
    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
        self.ejected_until = None;
    }

    /// Records a failed request.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures < MAX_CONSECUTIVE_FAILURES {
            return;
        }
        let doublings = (self.failures - MAX_CONSECUTIVE_FAILURES).min(5);
        let pause = (BASE_EJECTION_TIME * 2_u32.pow(doublings)).min(MAX_EJECTION_TIME);
        self.ejected_until = Some(now + pause);
    }

    /// Records whether the engine answered the periodic listing.
    pub(crate) fn record_listing(&mut self, answered: bool) {
        self.unreachable = !answered;
    }
}
