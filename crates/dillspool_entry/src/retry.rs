//! Retries as a fraction of the successes, so that a failure brings no storm.

use std::sync::{Arc, Mutex, PoisonError};

/// Parts of a retry that one unit of the budget stands for.
const WHOLE_RETRY: u64 = 100;
/// Retries saved up at most.
const MOST_SAVED: u64 = 20 * WHOLE_RETRY;
/// Retries that a host may make before it had any success.
const FIRST_SAVED: u64 = 10 * WHOLE_RETRY;

/// A budget that all causes of retries share.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: Arc<Mutex<u64>>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: Arc::new(Mutex::new(FIRST_SAVED)) }
    }
}

impl RetryBudget {
    /// Notes a success, which earns `percent` hundredths of a retry.
    pub fn record_success(&self, percent: u32) {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        *saved = (*saved + u64::from(percent)).min(MOST_SAVED);
    }

    /// Takes a retry from the budget, if there is one.
    #[must_use]
    pub fn try_withdraw(&self) -> bool {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(rest) = saved.checked_sub(WHOLE_RETRY) else {
            return false;
        };
        *saved = rest;
        true
    }
}
