//! The retry budget, of which each host may spend a share by itself.
//!
//! All hosts share one budget per service. Counting retries in the store would cost a write per
//! request. Instead, each host may spend the ratio of its own requests and an equal share of the
//! extra retries.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_limits::FleetSize;
use dillspool_moment::Moment;
use dillspool_schema::Name;

/// Fraction of the allowed retries that is spent; the rest covers windows that begin at other times
/// on other hosts, and refusals that cannot be foreseen.
const SPEND_FRACTION: f64 = 0.75;
/// Host count assumed until one is known: the fleet size that the users expect in two years.
const DEFAULT_HOST_COUNT: usize = 400;
/// Buckets per window.
const WINDOW_BUCKETS: u32 = 20;

/// The retry budget that the platform specifies, for all hosts together.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings {
    /// Retries per request of a window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Retries of a window beyond the ratio.
    pub extra: f64,
}

/// Use of a service's budget on this host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUsage {
    /// Requests in the window.
    pub requests: u32,
    /// Retries in the window.
    pub retries: u32,
    /// Retries that this host's share allows in the window.
    pub allowed: f64,
    /// Hosts that share the budget.
    pub hosts: usize,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    /// Start of each bucket, its requests and its retries.
    buckets: VecDeque<(Moment, u32, u32)>,
    /// Calls in progress that count as retries if they are refused.
    reserved: u32,
    /// When such a call was last refused.
    refused_at: Option<Moment>,
}

impl ServiceWindow {
    fn bucket(&mut self, now: Moment, settings: &BudgetSettings) -> &mut (Moment, u32, u32) {
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.0) > settings.window) {
            self.buckets.pop_front();
        }
        let needs_bucket = self
            .buckets
            .back()
            .is_none_or(|bucket| now.since(bucket.0) > settings.window / WINDOW_BUCKETS);
        if needs_bucket {
            self.buckets.push_back((now, 0, 0));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn totals(&self) -> (u32, u32) {
        self.buckets
            .iter()
            .fold((0, 0), |totals, bucket| (totals.0 + bucket.1, totals.1 + bucket.2))
    }
}

/// The retry budgets of all services.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    settings: BudgetSettings,
    clock: HostClock,
    /// The hosts that share the budgets. In a network partition each side counts only its own hosts
    /// while both sides spend, so the largest recent count applies for a while.
    host_counts: Arc<Mutex<FleetSize>>,
    windows: Arc<Mutex<HashMap<Name, ServiceWindow>>>,
}

impl RetryBudgets {
    /// Creates empty budgets.
    pub fn new(settings: BudgetSettings, clock: HostClock) -> Self {
        Self { settings, clock, host_counts: Arc::default(), windows: Arc::default() }
    }

    /// Sets the number of hosts that share the budget; a decrease takes effect only after a while.
    pub fn set_host_count(&self, hosts: usize) {
        let mut count = self.host_counts.lock().unwrap_or_else(PoisonError::into_inner);
        count.record(hosts.max(1), self.clock.now());
    }

    fn host_count(&self) -> usize {
        let count = self.host_counts.lock().unwrap_or_else(PoisonError::into_inner);
        count.largest(self.clock.now()).unwrap_or(DEFAULT_HOST_COUNT)
    }

    fn with_window<T>(&self, service: &Name, run: impl FnOnce(&mut ServiceWindow) -> T) -> T {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        run(windows.entry(Name::clone(service)).or_default())
    }

    /// Records a client request.
    pub fn record_request(&self, service: &Name) {
        self.with_window(service, |window| window.bucket(self.clock.now(), &self.settings).1 += 1);
    }

    /// Current use of a service's budget, and what it allows this host.
    pub fn usage(&self, service: &Name) -> BudgetUsage {
        self.with_window(service, |window| self.window_usage(window))
    }

    fn window_usage(&self, window: &mut ServiceWindow) -> BudgetUsage {
        window.bucket(self.clock.now(), &self.settings);
        let (requests, retries) = window.totals();
        let hosts = self.host_count();
        let ratio_share = self.settings.ratio * f64::from(requests);
        #[expect(clippy::cast_precision_loss, reason = "hosts are counted in hundreds")]
        let extra_share = self.settings.extra / hosts as f64;
        let allowed = SPEND_FRACTION * (ratio_share + extra_share);
        BudgetUsage { requests, retries, allowed, hosts }
    }

    /// Reserves a retry for a call that counts as one only if it is refused; release it if the call
    /// is accepted.
    ///
    /// `None` if this host's share does not cover the call. Reservations may also use the margin
    /// that is kept for windows of other hosts, since few such calls are refused. Once one was
    /// refused within the window, they may only use what other retries may.
    pub(crate) fn reserve(&self, service: &Name) -> Option<RetryReservation> {
        let is_allowed = self.with_window(service, |window| {
            let usage = self.window_usage(window);
            let was_refused =
                window.refused_at.is_some_and(|at| self.clock.since(at) < self.settings.window);
            let limit = if was_refused { usage.allowed } else { usage.allowed / SPEND_FRACTION };
            // One call at a time is always allowed until one is refused, so that a small share does
            // not rule them out.
            let is_first = !was_refused && window.reserved == 0;
            let is_allowed = is_first || f64::from(usage.retries + window.reserved) + 1.0 <= limit;
            window.reserved += u32::from(is_allowed);
            is_allowed
        });
        let service = Name::clone(service);
        is_allowed.then(|| RetryReservation { budgets: self.clone(), service, is_settled: false })
    }

    /// Withdraws one retry from the budget, if this host's share has one left.
    #[must_use]
    pub fn try_withdraw(&self, service: &Name) -> bool {
        self.with_window(service, |window| {
            let usage = self.window_usage(window);
            if f64::from(usage.retries + window.reserved) + 1.0 > usage.allowed {
                return false;
            }
            window.bucket(self.clock.now(), &self.settings).2 += 1;
            true
        })
    }
}

/// A retry reserved for a call; it counts as spent if the call's outcome never becomes known.
#[derive(Debug)]
pub(crate) struct RetryReservation {
    budgets: RetryBudgets,
    service: Name,
    is_settled: bool,
}

impl RetryReservation {
    /// The call was accepted, or never sent, and does not count as a retry.
    pub(crate) fn release(mut self) {
        self.budgets.with_window(&self.service, |window| window.reserved -= 1);
        self.is_settled = true;
    }

    /// The call was refused and counts as a retry.
    pub(crate) fn record_refusal(self) {
        let now = self.budgets.clock.now();
        self.budgets.with_window(&self.service, |window| window.refused_at = Some(now));
    }
}

impl Drop for RetryReservation {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        let (settings, now) = (&self.budgets.settings, self.budgets.clock.now());
        self.budgets.with_window(&self.service, |window| {
            window.reserved -= 1;
            window.bucket(now, settings).2 += 1;
        });
    }
}
