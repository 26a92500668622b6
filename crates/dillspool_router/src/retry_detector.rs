//! Detects retries by callers from the time budgets that they send.
//!
//! A caller sends the time it has left. After a refusal it has used up part of that time, so a
//! retry has a smaller budget than a first attempt on the same route. The route's own timeout does
//! not help here: an operator may set it shorter or longer than the callers' budgets. Callers also
//! have different budgets, and mistaking an impatient caller for a retry would cost it its place
//! before others that can still be in time.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_schema::Name;
use tokio::time::Instant;

/// Time after which a maximum budget that was not confirmed expires; callers change their budgets
/// with their releases, not within minutes.
const BUDGET_EXPIRY: Duration = Duration::from_mins(2);
/// Fraction of the maximum budget from which a request confirms it; the way to the host takes
/// milliseconds out of seconds.
const CONFIRMATION_RATIO: f64 = 0.98;
/// Minimum fraction of the maximum budget that a retry has used up. Callers refused for lack of
/// engines are told to retry after at least 0.23 of their time (`dillspool_admission`); one that
/// retries sooner may still be in time.
const MIN_SPENT_RATIO: f64 = 0.2;
/// Half-life of the counters; a refused caller retries within seconds.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(10);
/// Refusals per request with a short budget above which such requests count as retries. Each host
/// counts only its own refusals; a refused caller may retry on any host.
const MIN_REFUSALS_PER_SHORT_BUDGET: f64 = 0.25;
/// Number of routes from which those with an expired budget are removed; route names come from the
/// configuration, which may change often.
const MAX_ROUTES: usize = 4096;

/// Counter that decays with [`COUNT_HALF_LIFE`].
#[derive(Clone, Copy, Debug)]
struct DecayingCounter {
    count: f64,
    at: Instant,
}

impl DecayingCounter {
    fn zero(now: Instant) -> Self {
        Self { count: 0.0, at: now }
    }

    fn value(&self, now: Instant) -> f64 {
        let halvings = (now - self.at).as_secs_f64() / COUNT_HALF_LIFE.as_secs_f64();
        self.count * 0.5_f64.powf(halvings)
    }

    fn increment(&mut self, now: Instant) {
        *self = Self { count: self.value(now) + 1.0, at: now };
    }
}

#[derive(Clone, Copy, Debug)]
struct RouteBudgets {
    max_budget: Duration,
    confirmed_at: Instant,
    /// Requests with a short budget.
    short_budgets: DecayingCounter,
    /// Refusals after which the caller may retry.
    refusals: DecayingCounter,
}

/// Time budgets sent by callers, by route.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    routes: Arc<Mutex<HashMap<Name, RouteBudgets>>>,
}

impl RetryDetector {
    /// Records the remaining time budget of a request and returns the time spent on earlier
    /// attempts; zero if the request does not seem to be a retry.
    pub fn record_request(&self, route: &Name, remaining: Duration) -> Duration {
        self.with_route(route, remaining, |budgets, now| {
            if remaining >= budgets.max_budget || budgets.confirmed_at + BUDGET_EXPIRY <= now {
                (budgets.max_budget, budgets.confirmed_at) = (remaining, now);
            } else if remaining >= budgets.max_budget.mul_f64(CONFIRMATION_RATIO) {
                budgets.confirmed_at = now;
            }
            let spent = budgets.max_budget.saturating_sub(remaining);
            if spent < budgets.max_budget.mul_f64(MIN_SPENT_RATIO) {
                return Duration::ZERO;
            }
            budgets.short_budgets.increment(now);
            let refusals = budgets.refusals.value(now);
            let is_retry =
                refusals >= MIN_REFUSALS_PER_SHORT_BUDGET * budgets.short_budgets.value(now);
            if is_retry { spent } else { Duration::ZERO }
        })
    }

    /// Records that a request was refused and may be retried.
    pub fn record_refusal(&self, route: &Name) {
        self.with_route(route, Duration::ZERO, |budgets, now| budgets.refusals.increment(now));
    }

    fn with_route<T>(
        &self,
        route: &Name,
        max_budget: Duration,
        run: impl FnOnce(&mut RouteBudgets, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if routes.len() >= MAX_ROUTES {
            routes.retain(|_route, budgets| budgets.confirmed_at + BUDGET_EXPIRY > now);
        }
        let zero = DecayingCounter::zero(now);
        let empty =
            RouteBudgets { max_budget, confirmed_at: now, short_budgets: zero, refusals: zero };
        run(routes.entry(Name::clone(route)).or_insert(empty), now)
    }
}
