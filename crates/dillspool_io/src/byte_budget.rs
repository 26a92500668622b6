//! A budget for the bytes that a host buffers for all its exchanges.
//!
//! The host has to buffer bytes for a peer that reads or sends slowly. Without a limit, a few dozen such
//! peers fill the memory of a small host; `docs/design/held_bytes.md` gives the figures.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time for which an exchange in progress waits for capacity before the largest exchange is aborted.
const CAPACITY_WAIT: Duration = Duration::from_secs(1);
/// Percent of the limit above which the host reports that it is not ready for new connections.
const READY_MAX_PERCENT: u64 = 90;
/// Percent of the limit at or below which the host reports that it is ready again. The hysteresis keeps
/// readiness from flapping.
const READY_RESUME_PERCENT: u64 = 70;
/// Percent of the limit up to which new requests are admitted. The rest is reserved for exchanges in
/// progress: if request bodies filled the whole budget, no response would fit.
const ADMISSION_MAX_PERCENT: u64 = 95;

/// Limits of a [`ByteBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteLimits {
    /// Bytes that all exchanges together may hold.
    pub max_bytes: u64,
    /// Size of the largest response that is read completely before it is forwarded.
    pub max_buffered_response_bytes: usize,
    /// Time without reads or writes by a peer after which its exchange is aborted.
    pub stall_timeout: Duration,
}

/// Why an exchange was aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalledSide {
    /// The caller neither read nor sent.
    Caller,
    /// The backend server neither read nor sent.
    Backend,
    /// The exchange held the most bytes while another exchange waited for capacity.
    Budget,
}

impl StalledSide {
    /// All variants in order of declaration.
    pub const ALL: [Self; 3] = [Self::Caller, Self::Backend, Self::Budget];

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Backend => "backend",
            Self::Budget => "budget",
        }
    }
}

#[derive(Debug)]
struct ExchangeAccount {
    id: Arc<str>,
    held: u64,
    started_at: Instant,
    closing: CancellationToken,
    /// Whether the exchange was aborted for lack of capacity; its bytes are about to be released.
    is_aborted: bool,
}

#[derive(Debug, Default)]
struct BudgetState {
    held: u64,
    peak_held: u64,
    /// Number of exchanges in progress that wait for capacity.
    waiting: usize,
    is_overloaded: bool,
    next_key: u64,
    accounts: HashMap<u64, ExchangeAccount>,
    stalled: [u64; StalledSide::ALL.len()],
}

struct SharedBudget {
    limits: ByteLimits,
    state: Mutex<BudgetState>,
    released: Notify,
}

/// Usage of a [`ByteBudget`] at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetSnapshot {
    /// Bytes held.
    pub held: u64,
    /// Most bytes held at once so far.
    pub peak_held: u64,
    /// Limit on the bytes held.
    pub limit: u64,
    /// Number of aborted exchanges by cause, in the order of [`StalledSide::ALL`].
    pub stalled: [u64; StalledSide::ALL.len()],
}

/// Limits the bytes that a host holds for all its exchanges. Clones share the budget.
#[derive(Clone)]
pub struct ByteBudget {
    shared: Arc<SharedBudget>,
}

impl fmt::Debug for ByteBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ByteBudget({:?})", self.snapshot())
    }
}

impl ByteBudget {
    /// Creates a budget with no bytes held.
    pub fn new(limits: ByteLimits) -> Self {
        let (state, released) = (Mutex::default(), Notify::new());
        Self { shared: Arc::new(SharedBudget { limits, state, released }) }
    }

    /// Returns the limits.
    pub fn limits(&self) -> ByteLimits {
        self.shared.limits
    }

    /// Returns the current usage.
    pub fn snapshot(&self) -> BudgetSnapshot {
        let state = self.state();
        BudgetSnapshot {
            held: state.held,
            peak_held: state.peak_held,
            limit: self.shared.limits.max_bytes,
            stalled: state.stalled,
        }
    }

    /// Returns whether the host is ready for new connections.
    pub fn is_ready(&self) -> bool {
        !self.state().is_overloaded
    }

    /// Returns whether a new request can be admitted whose body has at least `body_bytes`.
    ///
    /// No request is admitted while an exchange in progress waits for capacity.
    pub fn can_admit(&self, body_bytes: u64) -> bool {
        let state = self.state();
        state.waiting == 0 && state.held.saturating_add(body_bytes) <= self.admission_limit()
    }

    fn admission_limit(&self) -> u64 {
        self.shared.limits.max_bytes / 100 * ADMISSION_MAX_PERCENT
    }

    /// Registers an exchange; `closing` is cancelled when the budget aborts it.
    pub fn open_exchange(&self, id: &str, closing: CancellationToken) -> ExchangeBytes {
        let mut state = self.state();
        let key = state.next_key;
        state.next_key += 1;
        let (id, started_at) = (id.into(), Instant::now());
        let account = ExchangeAccount { id, held: 0, started_at, closing, is_aborted: false };
        state.accounts.insert(key, account);
        drop(state);
        ExchangeBytes { state: Some(Arc::new(ExchangeState { budget: self.clone(), key })) }
    }

    fn has_capacity(&self) -> bool {
        self.state().held <= self.shared.limits.max_bytes
    }

    fn state(&self) -> MutexGuard<'_, BudgetState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the bytes of one reservation of an exchange from `before` to `after`.
    ///
    /// Does nothing and returns false if this is an increase and the total would exceed `max_total`.
    fn change(&self, key: u64, before: u64, after: u64, max_total: u64) -> bool {
        let limit = self.shared.limits.max_bytes;
        let mut state = self.state();
        let held = (state.held - before).saturating_add(after);
        if after > before && held > max_total {
            return false;
        }
        state.held = held;
        state.peak_held = state.peak_held.max(held);
        if let Some(account) = state.accounts.get_mut(&key) {
            account.held = account.held.saturating_sub(before) + after;
        }
        let percent = if state.is_overloaded { READY_RESUME_PERCENT } else { READY_MAX_PERCENT };
        state.is_overloaded = held.saturating_mul(100) > limit.saturating_mul(percent);
        let should_notify = after < before && state.waiting > 0;
        drop(state);
        if should_notify {
            self.shared.released.notify_waiters();
        }
        true
    }

    /// Aborts the exchange that holds the most, so that `needed` bytes fit for exchange `key`.
    ///
    /// Does nothing if the exchanges aborted earlier will release enough.
    fn abort_largest(&self, key: u64, needed: u64) {
        let limit = self.shared.limits.max_bytes;
        let mut state = self.state();
        let to_be_released =
            state.accounts.values().filter(|it| it.is_aborted).map(|it| it.held).sum();
        if state.held.saturating_sub(to_be_released).saturating_add(needed) <= limit {
            return;
        }
        // The waiting exchange counts with what it asks for, so that it can be the largest itself.
        let size = |(it, account): &(&u64, &mut ExchangeAccount)| {
            account.held + if **it == key { needed } else { 0 }
        };
        let active = state.accounts.iter_mut().filter(|(_key, account)| !account.is_aborted);
        let Some((_key, account)) = active.max_by_key(size) else { return };
        account.is_aborted = true;
        account.closing.cancel();
        log_stall(account, StalledSide::Budget);
        state.stalled[StalledSide::Budget as usize] += 1;
    }
}

fn log_stall(account: &ExchangeAccount, side: StalledSide) {
    log::info!(
        "event=exchange_stalled id={} side={} held={} age_ms={}",
        account.id,
        side.name(),
        account.held,
        account.started_at.elapsed().as_millis(),
    );
}

struct ExchangeState {
    budget: ByteBudget,
    key: u64,
}

impl Drop for ExchangeState {
    fn drop(&mut self) {
        self.budget.state().accounts.remove(&self.key);
    }
}

/// The bytes that a host holds for one exchange, from the caller's request to the end of the response.
///
/// The default value belongs to no budget: it counts and limits nothing.
#[derive(Clone, Default)]
pub struct ExchangeBytes {
    state: Option<Arc<ExchangeState>>,
}

impl fmt::Debug for ExchangeBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ExchangeBytes({})", self.held())
    }
}

impl ExchangeBytes {
    /// Returns the limits of the budget, if there is one.
    pub fn limits(&self) -> Option<ByteLimits> {
        self.state.as_ref().map(|state| state.budget.limits())
    }

    /// Returns the bytes held for this exchange.
    pub fn held(&self) -> u64 {
        let Some(state) = &self.state else { return 0 };
        state.budget.state().accounts.get(&state.key).map_or(0, |account| account.held)
    }

    /// Returns a guard that charges no bytes yet; see [`ByteGuard::resize`].
    pub fn empty_guard(&self) -> ByteGuard {
        ByteGuard { exchange: self.clone(), bytes: 0 }
    }

    /// Reserves `bytes` if they fit now.
    pub fn try_reserve(&self, bytes: u64) -> Option<ByteGuard> {
        let mut guard = self.empty_guard();
        let state = self.state.as_ref();
        // While more than the limit is held, even a reservation of zero bytes must fail.
        let has_capacity = state.is_none_or(|state| state.budget.has_capacity());
        (has_capacity && guard.try_resize(bytes)).then_some(guard)
    }

    /// Waits while the budget holds more than its limit, as [`ExchangeBytes::reserve`] does.
    pub async fn wait_for_capacity(&self) {
        drop(self.reserve(0).await);
    }

    /// Waits until `bytes` fit and reserves them.
    ///
    /// If they do not fit within a second, the exchange that holds the most is aborted. If that is this
    /// exchange, its connection is closed, which drops this future.
    pub async fn reserve(&self, bytes: u64) -> ByteGuard {
        let Some(state) = &self.state else { return self.empty_guard() };
        if let Some(guard) = self.try_reserve(bytes) {
            return guard;
        }
        let _waiting = CapacityWaiter::new(&state.budget);
        let mut deadline = Instant::now() + CAPACITY_WAIT;
        loop {
            let mut released = std::pin::pin!(state.budget.shared.released.notified());
            // Registers before the check, so that a release in between is not missed.
            released.as_mut().enable();
            if let Some(guard) = self.try_reserve(bytes) {
                return guard;
            }
            if tokio::time::timeout_at(deadline, released).await.is_err() {
                state.budget.abort_largest(state.key, bytes);
                deadline = Instant::now() + CAPACITY_WAIT;
            }
        }
    }

    /// Counts and logs that the exchange is aborted because a peer neither read nor sent.
    pub fn record_stall(&self, side: StalledSide) {
        let Some(exchange) = &self.state else { return };
        let mut state = exchange.budget.state();
        state.stalled[side as usize] += 1;
        if let Some(account) = state.accounts.get(&exchange.key) {
            log_stall(account, side);
        }
    }
}

/// Counts as a waiting exchange until it is dropped.
struct CapacityWaiter<'a> {
    budget: &'a ByteBudget,
}

impl<'a> CapacityWaiter<'a> {
    fn new(budget: &'a ByteBudget) -> Self {
        budget.state().waiting += 1;
        Self { budget }
    }
}

impl Drop for CapacityWaiter<'_> {
    fn drop(&mut self) {
        self.budget.state().waiting -= 1;
    }
}

/// Bytes charged to an exchange, released on drop.
#[derive(Debug, Default)]
pub struct ByteGuard {
    exchange: ExchangeBytes,
    bytes: u64,
}

impl ByteGuard {
    /// Sets the charge to `bytes`, even beyond the limit: for bytes that are already in memory.
    pub fn resize(&mut self, bytes: u64) {
        self.change(bytes, |_budget| u64::MAX);
    }

    /// Sets the charge to `bytes` if they fit.
    #[must_use]
    pub fn try_resize(&mut self, bytes: u64) -> bool {
        self.change(bytes, |budget| budget.limits().max_bytes)
    }

    /// As [`ByteGuard::try_resize`], for a request that has not run: it leaves the capacity that is
    /// reserved for exchanges in progress.
    #[must_use]
    pub fn try_resize_for_admission(&mut self, bytes: u64) -> bool {
        self.change(bytes, ByteBudget::admission_limit)
    }

    /// Takes over the charge of another guard of the same exchange.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Returns `bytes` with the guard attached, which is released when their last clone is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(GuardedBytes { bytes, _guard: self })
    }

    fn change(&mut self, bytes: u64, max_total: impl Fn(&ByteBudget) -> u64) -> bool {
        let Some(state) = &self.exchange.state else { return true };
        let budget = &state.budget;
        let changed =
            bytes == self.bytes || budget.change(state.key, self.bytes, bytes, max_total(budget));
        if changed {
            self.bytes = bytes;
        }
        changed
    }
}

impl Drop for ByteGuard {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// Bytes with the guard that charges them.
struct GuardedBytes {
    bytes: Bytes,
    _guard: ByteGuard,
}

impl AsRef<[u8]> for GuardedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
