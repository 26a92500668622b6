//! The limits of the call queue, each with the load pattern that it answers.

use std::time::Duration;

/// Limits of a call queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallPolicy {
    /// Calls in flight beyond a server's slots, as a part of the slots: a freed slot has work while the next
    /// decision is in transit.
    pub extra_part: f64,
    /// Mean latency assumed of a server before any call of the service was answered.
    pub assumed_latency: Duration,
    /// Part of the time left after which a rejected caller returns at the latest.
    pub longest_retry_part: f64,
}

impl Default for CallPolicy {
    fn default() -> Self {
        Self {
            extra_part: 0.25,
            assumed_latency: Duration::from_millis(30),
            longest_retry_part: 1.0 / 3.0,
        }
    }
}
