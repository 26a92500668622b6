//! How long a request waits for decode memory, and how often it asks.

use std::ops::Range;
use std::time::Duration;

use dillspool_routing::RoutedRequest;
use rand::Rng;
use tokio::time::Instant;

/// Longest wait for memory of a caller that was refused before; a second refusal is its last. A
/// longer wait serves more of them late in place of others in time (trials with 0, 0.5, 1 and 3 s).
const RETURNED_WAIT: Duration = Duration::from_millis(200);
/// Pause between two rounds of asking for memory.
const ASK_PAUSE_MS: Range<u64> = 60..120;
/// The same for a stream that is to go on elsewhere, which may take some seconds; each round
/// asks all engines.
const REOPEN_PAUSE_MS: Range<u64> = 250..400;

/// How long memory is waited for.
#[derive(Clone, Debug)]
pub(crate) struct MemoryWait {
    until: Instant,
    /// Pause between two rounds of asking, in milliseconds.
    pause_ms: Range<u64>,
}

impl MemoryWait {
    /// For a request that has just arrived: a caller that was refused before has used up part of
    /// its time and waits; a fresh one does not.
    pub(crate) fn of_arrival(request: &RoutedRequest) -> Self {
        let wait = if request.is_returned() { RETURNED_WAIT } else { Duration::ZERO };
        Self { until: request.arrived + wait, pause_ms: ASK_PAUSE_MS }
    }

    /// Waits until then, if that is later, for a stream that is to go on elsewhere.
    pub(crate) fn extend(&mut self, until: Instant) {
        self.until = self.until.max(until);
        self.pause_ms = REOPEN_PAUSE_MS;
    }

    /// Whether no other round is due.
    pub(crate) fn is_over(&self) -> bool {
        Instant::now() >= self.until
    }

    /// Waits for the next round of asking.
    pub(crate) async fn pause(&self) {
        let pause = rand::rng().random_range(self.pause_ms.clone());
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}
