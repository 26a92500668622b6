//! Bytes that a host holds for its exchanges, with a limit for all of them together.
//!
//! A peer that reads or sends slowly leaves its bytes with the host. Without a limit a few dozen such
//! peers fill the memory of a small host; `docs/design/held_bytes.md` has the figures.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time for which an exchange in progress waits for room before the largest one is ended.
const ROOM_WAIT: Duration = Duration::from_secs(1);
/// Percent of the limit above which the host takes no new connections,
const READY_UP_TO: u64 = 90;
/// and percent up to which it takes them again. The gap keeps the answer from alternating.
const READY_AGAIN_UP_TO: u64 = 70;
/// Percent up to which new requests are taken. What is beyond is for exchanges in progress: if the bodies
/// of new requests filled all of it, none of their answers would fit.
const NEW_UP_TO: u64 = 95;

/// Limits on held bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteLimits {
    /// Bytes that all exchanges may hold together.
    pub max_bytes: u64,
    /// Largest answer that is read whole before any of it is passed on, in bytes.
    pub max_buffered_response_bytes: usize,
    /// Time for which a peer may neither read nor send before its exchange is ended.
    pub stall_timeout: Duration,
}

/// Why an exchange was ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalledSide {
    /// Its caller neither read nor sent.
    Caller,
    /// Its backend server neither read nor sent.
    Backend,
    /// It held the most bytes while another exchange found no room.
    Budget,
}

impl StalledSide {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Caller, Self::Backend, Self::Budget];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Backend => "backend",
            Self::Budget => "budget",
        }
    }
}

#[derive(Debug)]
struct HeldAccount {
    id: Arc<str>,
    held: u64,
    began: Instant,
    closing: CancellationToken,
    /// Whether it was ended for want of room; its bytes become free within moments.
    is_ended: bool,
}

#[derive(Debug, Default)]
struct HeldLedger {
    held: u64,
    most_held: u64,
    /// Exchanges in progress that wait for room.
    waiting: usize,
    is_over: bool,
    next_key: u64,
    accounts: HashMap<u64, HeldAccount>,
    stalled: [u64; StalledSide::ALL.len()],
}

struct SharedBudget {
    terms: ByteLimits,
    ledger: Mutex<HeldLedger>,
    freed: Notify,
}

/// What a budget counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetSnapshot {
    /// Bytes held now.
    pub held: u64,
    /// Most bytes held at once so far.
    pub peak_held: u64,
    /// Bytes that may be held.
    pub limit: u64,
    /// Exchanges that were ended, in the order of [`StalledSide::ALL`].
    pub stalled: [u64; StalledSide::ALL.len()],
}

/// The bytes that a host may hold for all its exchanges.
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
    /// A budget of which nothing is held.
    pub fn new(terms: ByteLimits) -> Self {
        let (ledger, freed) = (Mutex::default(), Notify::new());
        Self { shared: Arc::new(SharedBudget { terms, ledger, freed }) }
    }

    /// Its limits.
    pub fn limits(&self) -> ByteLimits {
        self.shared.terms
    }

    /// What it counts.
    pub fn snapshot(&self) -> BudgetSnapshot {
        let ledger = self.ledger();
        BudgetSnapshot {
            held: ledger.held,
            peak_held: ledger.most_held,
            limit: self.shared.terms.max_bytes,
            stalled: ledger.stalled,
        }
    }

    /// Whether the host should get new connections.
    pub fn is_ready(&self) -> bool {
        !self.ledger().is_over
    }

    /// Whether a new request fits, whose body has so many bytes as far as is known; exchanges in
    /// progress that wait for room go first.
    pub fn can_admit(&self, body_bytes: u64) -> bool {
        let ledger = self.ledger();
        ledger.waiting == 0 && ledger.held.saturating_add(body_bytes) <= self.new_limit()
    }

    fn new_limit(&self) -> u64 {
        self.shared.terms.max_bytes / 100 * NEW_UP_TO
    }

    /// Opens the account of an exchange; `closing` is cancelled when the exchange has to end.
    pub fn open_exchange(&self, id: &str, closing: CancellationToken) -> ExchangeBytes {
        let mut ledger = self.ledger();
        let key = ledger.next_key;
        ledger.next_key += 1;
        let (id, began) = (id.into(), Instant::now());
        let account = HeldAccount { id, held: 0, began, closing, is_ended: false };
        ledger.accounts.insert(key, account);
        drop(ledger);
        ExchangeBytes { state: Some(Arc::new(ExchangeState { budget: self.clone(), key })) }
    }

    fn has_room(&self) -> bool {
        self.ledger().held <= self.shared.terms.max_bytes
    }

    fn ledger(&self) -> MutexGuard<'_, HeldLedger> {
        self.shared.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes what an exchange holds from `before` to `after`; more only if all is within `most`.
    fn change(&self, key: u64, before: u64, after: u64, most: u64) -> bool {
        let limit = self.shared.terms.max_bytes;
        let mut ledger = self.ledger();
        let held = (ledger.held - before).saturating_add(after);
        if after > before && held > most {
            return false;
        }
        ledger.held = held;
        ledger.most_held = ledger.most_held.max(held);
        if let Some(account) = ledger.accounts.get_mut(&key) {
            account.held = account.held.saturating_sub(before) + after;
        }
        let percent = if ledger.is_over { READY_AGAIN_UP_TO } else { READY_UP_TO };
        ledger.is_over = held.saturating_mul(100) > limit.saturating_mul(percent);
        let is_awaited = after < before && ledger.waiting > 0;
        drop(ledger);
        if is_awaited {
            self.shared.freed.notify_waiters();
        }
        true
    }

    /// Ends the exchange that holds the most, so that `needed` bytes fit for another one, unless
    /// those that were ended before will free enough.
    fn end_largest(&self, key: u64, needed: u64) {
        let limit = self.shared.terms.max_bytes;
        let mut ledger = self.ledger();
        let ending = ledger.accounts.values().filter(|it| it.is_ended).map(|it| it.held).sum();
        if ledger.held.saturating_sub(ending).saturating_add(needed) <= limit {
            return;
        }
        // One that asks for more than all others hold is the largest itself.
        let size = |(it, account): &(&u64, &mut HeldAccount)| {
            account.held + if **it == key { needed } else { 0 }
        };
        let going_on = ledger.accounts.iter_mut().filter(|(_key, account)| !account.is_ended);
        let Some((_key, account)) = going_on.max_by_key(size) else { return };
        account.is_ended = true;
        account.closing.cancel();
        log_stalled(account, StalledSide::Budget);
        ledger.stalled[StalledSide::Budget as usize] += 1;
    }
}

fn log_stalled(account: &HeldAccount, side: StalledSide) {
    log::info!(
        "event=exchange_stalled id={} side={} held={} age_ms={}",
        account.id,
        side.name(),
        account.held,
        account.began.elapsed().as_millis(),
    );
}

struct ExchangeState {
    budget: ByteBudget,
    key: u64,
}

impl Drop for ExchangeState {
    fn drop(&mut self) {
        self.budget.ledger().accounts.remove(&self.key);
    }
}

/// The bytes that a host holds for one exchange, from its caller's request to the end of its answer.
///
/// The default one counts nothing and limits nothing.
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
    /// The limits, if there are any.
    pub fn limits(&self) -> Option<ByteLimits> {
        self.state.as_ref().map(|state| state.budget.limits())
    }

    /// Bytes held for this exchange.
    pub fn held(&self) -> u64 {
        let Some(state) = &self.state else { return 0 };
        state.budget.ledger().accounts.get(&state.key).map_or(0, |account| account.held)
    }

    /// A guard of nothing; see [`ByteGuard::resize`].
    pub fn empty_guard(&self) -> ByteGuard {
        ByteGuard { exchange: self.clone(), bytes: 0 }
    }

    /// Holds bytes if they fit now.
    pub fn try_reserve(&self, bytes: u64) -> Option<ByteGuard> {
        let mut guard = self.empty_guard();
        let state = self.state.as_ref();
        // Nothing fits beside what is held beyond the limit, not even nothing.
        let has_room = state.is_none_or(|state| state.budget.has_room());
        (has_room && guard.try_resize(bytes)).then_some(guard)
    }

    /// Waits while more is held than the limit, by the rule of [`ExchangeBytes::reserve`].
    pub async fn wait_for_capacity(&self) {
        drop(self.reserve(0).await);
    }

    /// Holds bytes once they fit; if they do not within a second, the exchange that holds the most is
    /// ended, which may be this one: its connection is closed then, and this future with it.
    pub async fn reserve(&self, bytes: u64) -> ByteGuard {
        let Some(state) = &self.state else { return self.empty_guard() };
        if let Some(guard) = self.try_reserve(bytes) {
            return guard;
        }
        let _waiting = RoomWaiter::new(&state.budget);
        let mut until = Instant::now() + ROOM_WAIT;
        loop {
            let mut freed = std::pin::pin!(state.budget.shared.freed.notified());
            // Registered before the look, so that what is freed in between is not missed.
            freed.as_mut().enable();
            if let Some(guard) = self.try_reserve(bytes) {
                return guard;
            }
            if tokio::time::timeout_at(until, freed).await.is_err() {
                state.budget.end_largest(state.key, bytes);
                until = Instant::now() + ROOM_WAIT;
            }
        }
    }

    /// Counts and logs that the exchange ends because a peer neither read nor sent.
    pub fn record_stall(&self, side: StalledSide) {
        let Some(state) = &self.state else { return };
        let mut ledger = state.budget.ledger();
        ledger.stalled[side as usize] += 1;
        if let Some(account) = ledger.accounts.get(&state.key) {
            log_stalled(account, side);
        }
    }
}

/// Counts an exchange in progress that waits for room.
struct RoomWaiter<'a> {
    budget: &'a ByteBudget,
}

impl<'a> RoomWaiter<'a> {
    fn new(budget: &'a ByteBudget) -> Self {
        budget.ledger().waiting += 1;
        Self { budget }
    }
}

impl Drop for RoomWaiter<'_> {
    fn drop(&mut self) {
        self.budget.ledger().waiting -= 1;
    }
}

/// Bytes charged to an exchange; dropping it releases them.
#[derive(Debug, Default)]
pub struct ByteGuard {
    exchange: ExchangeBytes,
    bytes: u64,
}

impl ByteGuard {
    /// Charges so many bytes from now on, also beyond the limit: for what is in memory already.
    pub fn resize(&mut self, bytes: u64) {
        self.change(bytes, |_budget| u64::MAX);
    }

    /// Charges so many bytes from now on if they fit.
    #[must_use]
    pub fn try_resize(&mut self, bytes: u64) -> bool {
        self.change(bytes, |budget| budget.limits().max_bytes)
    }

    /// As [`ByteGuard::try_resize`], for a request that has not run: exchanges in progress keep their room.
    #[must_use]
    pub fn try_resize_for_admission(&mut self, bytes: u64) -> bool {
        self.change(bytes, ByteBudget::new_limit)
    }

    /// Charges what another guard of the same exchange does, too.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Bytes that release the guard when their last copy is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(HeldPart { bytes, _guard: self })
    }

    fn change(&mut self, bytes: u64, most: impl Fn(&ByteBudget) -> u64) -> bool {
        let Some(state) = &self.exchange.state else { return true };
        let budget = &state.budget;
        let changed =
            bytes == self.bytes || budget.change(state.key, self.bytes, bytes, most(budget));
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

/// Bytes and the guard that charges them.
struct HeldPart {
    bytes: Bytes,
    _guard: ByteGuard,
}

impl AsRef<[u8]> for HeldPart {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
