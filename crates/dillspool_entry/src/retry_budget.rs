//! Limits retries to a fraction of the successes, so that a failure causes no retry storm.

use std::sync::{Arc, Mutex, PoisonError};

/// Budget units that one retry costs.
const UNITS_PER_RETRY: u64 = 100;
/// Maximum balance: 20 retries.
const MAX_BALANCE: u64 = 20 * UNITS_PER_RETRY;
/// Initial balance: 10 retries before the first success.
const INITIAL_BALANCE: u64 = 10 * UNITS_PER_RETRY;

/// Retry budget shared by all requests of a host, whatever the cause of the retry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: Arc<Mutex<u64>>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: Arc::new(Mutex::new(INITIAL_BALANCE)) }
    }
}

impl RetryBudget {
    /// Records a success, which adds `percent` hundredths of a retry to the balance.
    pub fn record_success(&self, percent: u32) {
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        *balance = (*balance + u64::from(percent)).min(MAX_BALANCE);
    }

    /// Withdraws one retry; returns `false` if the balance is too low.
    #[must_use]
    pub fn try_withdraw(&self) -> bool {
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(remaining) = balance.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        *balance = remaining;
        true
    }
}
