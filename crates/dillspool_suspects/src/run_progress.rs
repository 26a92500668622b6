//! How far a run had come when its backend server crashed.

use std::time::Duration;

/// Time after its first event for which a run counts as starting. Crashes on a part come before the
/// first event; the rest is for one that was sent but not processed.
pub const START_PERIOD: Duration = Duration::from_millis(100);
/// Time after its first event from which a run shows that its answer has begun well.
pub const PROOF_PERIOD: Duration = Duration::from_millis(250);

/// How far a run had come when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunProgress {
    /// It had sent no event, or its first one within [`START_PERIOD`].
    Starting,
    /// It had sent events for longer than that.
    Underway,
}

impl RunProgress {
    /// Progress of a run whose first event arrived that long ago, if it has.
    pub fn since_first_event(elapsed: Option<Duration>) -> Self {
        if elapsed.is_some_and(|elapsed| elapsed >= START_PERIOD) {
            Self::Underway
        } else {
            Self::Starting
        }
    }

    /// Value in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Underway => "underway",
        }
    }
}
