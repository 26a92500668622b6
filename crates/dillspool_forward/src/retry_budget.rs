//! The budget of repeated sends, a part of which every host may spend by itself.
//!
//! All hosts share one budget a service. A count shared through the store would cost a write a
//! request; instead each host spends the ratio of its own requests and an equal part of what is
//! allowed beyond it.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_limits::FleetSize;
use dillspool_moment::Moment;
use dillspool_schema::Name;

/// Part of the budget that is spent at most; the rest covers windows that begin elsewhere on
/// other hosts, and refusals that cannot be foreseen.
const SPENT_PART: f64 = 0.75;
/// Hosts assumed before any count is known: the users' two-year size.
const ASSUMED_HOSTS: usize = 400;
/// Parts into which a window is cut for counting.
const SLICES: u32 = 20;

/// The budget as the platform states it, for all hosts together.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings {
    /// Repeated sends for each request of a window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Repeated sends of a window beyond the ratio.
    pub extra: f64,
}

/// A service's window on this host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUsage {
    /// Requests of the window.
    pub requests: u32,
    /// Repeated sends of the window.
    pub retries: u32,
    /// Repeated sends that this host's part allows in the window.
    pub allowed: f64,
    /// Hosts that share the budget.
    pub hosts: usize,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    /// Start of a slice, its requests and its repeated sends.
    slices: VecDeque<(Moment, u32, u32)>,
    /// Calls under way that count as repeated sends if they are refused.
    reserved: u32,
    /// When such a call was refused last.
    refused_at: Option<Moment>,
}

impl ServiceWindow {
    fn slice(&mut self, now: Moment, terms: &BudgetSettings) -> &mut (Moment, u32, u32) {
        while self.slices.front().is_some_and(|slice| now.since(slice.0) > terms.window) {
            self.slices.pop_front();
        }
        let fresh =
            self.slices.back().is_none_or(|slice| now.since(slice.0) > terms.window / SLICES);
        if fresh {
            self.slices.push_back((now, 0, 0));
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    fn sums(&self) -> (u32, u32) {
        self.slices.iter().fold((0, 0), |sums, slice| (sums.0 + slice.1, sums.1 + slice.2))
    }
}

/// The budgets of all services.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    terms: BudgetSettings,
    clock: HostClock,
    /// The hosts that share the budgets: where a fleet is cut in two, each half counts itself alone and
    /// both spend, so the largest count stands for a while.
    hosts: Arc<Mutex<FleetSize>>,
    windows: Arc<Mutex<HashMap<Name, ServiceWindow>>>,
}

impl RetryBudgets {
    /// Empty budgets.
    pub fn new(terms: BudgetSettings, clock: HostClock) -> Self {
        Self { terms, clock, hosts: Arc::default(), windows: Arc::default() }
    }

    /// Takes the number of hosts that share the budget; a smaller one than before counts only after
    /// a while.
    pub fn set_host_count(&self, hosts: usize) {
        let mut count = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        count.record(hosts.max(1), self.clock.now());
    }

    fn hosts(&self) -> usize {
        let count = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        count.largest(self.clock.now()).unwrap_or(ASSUMED_HOSTS)
    }

    fn with_window<T>(&self, service: &Name, run: impl FnOnce(&mut ServiceWindow) -> T) -> T {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        run(windows.entry(Name::clone(service)).or_default())
    }

    /// Notes a request of a caller.
    pub fn record_request(&self, service: &Name) {
        self.with_window(service, |window| window.slice(self.clock.now(), &self.terms).1 += 1);
    }

    /// What the window holds now and what it allows this host.
    pub fn usage(&self, service: &Name) -> BudgetUsage {
        self.with_window(service, |window| self.read_window(window))
    }

    fn read_window(&self, window: &mut ServiceWindow) -> BudgetUsage {
        window.slice(self.clock.now(), &self.terms);
        let (requests, retries) = window.sums();
        let hosts = self.hosts();
        let own_part = self.terms.ratio * f64::from(requests);
        #[expect(clippy::cast_precision_loss, reason = "hosts are counted in hundreds")]
        let shared_part = self.terms.extra / hosts as f64;
        let allowed = SPENT_PART * (own_part + shared_part);
        BudgetUsage { requests, retries, allowed, hosts }
    }

    /// Takes a repeated send for a call that counts as one only if it is refused; give it back when
    /// it was taken up.
    ///
    /// `None` when this host's part cannot bear the call. What is kept back for windows that begin
    /// elsewhere may be set aside for such calls, since few of them are refused; once one was
    /// refused within the window, only what is spent otherwise, too.
    pub(crate) fn reserve(&self, service: &Name) -> Option<RetryReservation> {
        let bears = self.with_window(service, |window| {
            let reading = self.read_window(window);
            let refused =
                window.refused_at.is_some_and(|at| self.clock.since(at) < self.terms.window);
            let part = if refused { reading.allowed } else { reading.allowed / SPENT_PART };
            // A small part shall not rule such calls out: one at a time, until one is refused.
            let first = !refused && window.reserved == 0;
            let bears = first || f64::from(reading.retries + window.reserved) + 1.0 <= part;
            window.reserved += u32::from(bears);
            bears
        });
        let service = Name::clone(service);
        bears.then(|| RetryReservation { budgets: self.clone(), service, is_settled: false })
    }

    /// Takes one repeated send from the budget, if this host's part has one left.
    #[must_use]
    pub fn try_withdraw(&self, service: &Name) -> bool {
        self.with_window(service, |window| {
            let reading = self.read_window(window);
            if f64::from(reading.retries + window.reserved) + 1.0 > reading.allowed {
                return false;
            }
            window.slice(self.clock.now(), &self.terms).2 += 1;
            true
        })
    }
}

/// A repeated send that is set aside for a call; one whose end never becomes known stays counted.
#[derive(Debug)]
pub(crate) struct RetryReservation {
    budgets: RetryBudgets,
    service: Name,
    is_settled: bool,
}

impl RetryReservation {
    /// The call was taken up, or never sent, and does not count.
    pub(crate) fn release(mut self) {
        self.budgets.with_window(&self.service, |window| window.reserved -= 1);
        self.is_settled = true;
    }

    /// The call was refused.
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
        let (terms, now) = (&self.budgets.terms, self.budgets.clock.now());
        self.budgets.with_window(&self.service, |window| {
            window.reserved -= 1;
            window.slice(now, terms).2 += 1;
        });
    }
}
