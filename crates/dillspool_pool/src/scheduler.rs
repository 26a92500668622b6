//! Handle through which the rest of the host uses a pool's scheduler.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dillspool_config::ConfigSnapshot;
use dillspool_engine::EngineClient;
use dillspool_schema::configuration::PoolEntry;
use dillspool_schema::messages::{PlacementReport, ReleaseMessage, ReserveAnswer, ReserveMessage};
use dillspool_schema::{Name, StreamId};
use dillspool_suspects::{COPY_RETRY_DELAY, SuspectTracker};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::state::{PoolState, ReserveOutcome, refusal};
use crate::suspects::CopyRegistry;
use crate::sweep::sweep_engines;

/// How long a scheduler stays active after the last request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Checks whether the owner of a stream is confirmed dead.
///
/// See `docs/design/orphans.md`.
#[derive(Clone)]
pub struct LivenessCheck {
    /// Takes host and incarnation; returns true only if no host has heard of that owner for the lease
    /// time.
    pub is_dead: Arc<dyn Fn(Name, u64) -> dillspool_io::BoxFuture<bool> + Send + Sync>,
    /// Whether this host should currently schedule a pool.
    pub is_scheduler: Arc<dyn Fn(&str) -> bool + Send + Sync>,
}

impl fmt::Debug for LivenessCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LivenessCheck")
    }
}

/// Counters of a scheduler.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulerCounts {
    /// Requests granted.
    pub granted: u64,
    /// Requests refused.
    pub refused: u64,
    /// Streams of dead owners, and released streams, that were cancelled on engines.
    pub orphans: u64,
}

pub(crate) struct SchedulerInner {
    pub(crate) state: PoolState,
    waiters: BTreeMap<StreamId, oneshot::Sender<ReserveAnswer>>,
    pub(crate) counts: SchedulerCounts,
    copies: CopyRegistry,
    last_request_at: Option<Instant>,
}

/// Shared handle of a pool's scheduler on this host.
#[derive(Clone)]
pub struct PoolScheduler {
    pool: Name,
    inner: Arc<Mutex<SchedulerInner>>,
    changed: Arc<Notify>,
}

impl fmt::Debug for PoolScheduler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PoolScheduler({})", self.pool)
    }
}

impl PoolScheduler {
    /// Starts a scheduler for a pool; it is idle until the first request or until this host is chosen.
    pub fn start(
        pool: &PoolEntry,
        snapshot: &Arc<ConfigSnapshot>,
        engines: EngineClient,
        liveness: LivenessCheck,
        suspects: SuspectTracker,
        cancel: CancellationToken,
    ) -> Self {
        let inner = SchedulerInner {
            state: PoolState::new(pool, snapshot, Instant::now()),
            waiters: BTreeMap::new(),
            counts: SchedulerCounts::default(),
            copies: CopyRegistry::new(suspects),
            last_request_at: None,
        };
        let scheduler = Self {
            pool: Name::clone(&pool.name),
            inner: Arc::new(Mutex::new(inner)),
            changed: Arc::new(Notify::new()),
        };
        tokio::spawn(dispatch_queue(scheduler.clone(), cancel.clone()));
        tokio::spawn(sweep_engines(scheduler.clone(), engines, liveness, cancel));
        scheduler
    }

    /// Returns the name of the pool.
    pub fn pool(&self) -> &Name {
        &self.pool
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, SchedulerInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state and dispatches queued requests.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut PoolState, Instant) -> T) -> T {
        let now = Instant::now();
        let mut inner = self.lock();
        let result = change(&mut inner.state, now);
        inner.dispatch(now);
        drop(inner);
        self.changed.notify_one();
        result
    }

    /// Requests a placement and waits for the answer; dropping the future withdraws the request.
    pub async fn reserve(&self, message: ReserveMessage) -> Option<ReserveAnswer> {
        let stream = message.stream.clone();
        let (sender, receiver) = oneshot::channel();
        {
            let now = Instant::now();
            let mut inner = self.lock();
            inner.last_request_at = Some(now);
            if let Err(cause) = inner.copies.admit(&stream, message.print.as_deref()) {
                inner.counts.refused += 1;
                return Some(refusal(&stream, cause, COPY_RETRY_DELAY));
            }
            match inner.state.submit(message, now) {
                ReserveOutcome::Answered(answer) => {
                    inner.counts.refused += 1;
                    inner.copies.remove(&stream);
                    return Some(answer);
                }
                ReserveOutcome::Queued => inner.waiters.insert(stream, sender),
            };
            inner.dispatch(now);
        }
        self.changed.notify_one();
        receiver.await.ok()
    }

    /// Releases a placement.
    pub fn release(&self, message: &ReleaseMessage) {
        self.lock().copies.record_release(message);
        self.update(|state, now| state.release(message, now));
        self.lock().waiters.remove(&message.stream);
    }

    /// Replaces the placements of an entry host, given with its incarnation, by those it reports.
    pub fn apply_report(&self, host: &Name, incarnation: u64, report: &PlacementReport) {
        self.lock().copies.apply_reported_crashes(&report.ended);
        self.update(|state, now| state.apply_report((host, incarnation), &report.placements, now));
    }

    /// Drops copies of requests that are neither queued nor placed.
    pub(crate) fn drop_lost_copies(&self) {
        let mut inner = self.lock();
        let SchedulerInner { state, copies, .. } = &mut *inner;
        copies.retain(|stream| state.is_known(stream));
    }

    /// Applies a new configuration.
    pub fn apply_config(&self, snapshot: &Arc<ConfigSnapshot>) {
        self.update(|state, now| state.apply_config(snapshot, now));
    }

    /// Marks the backend servers that are leaving.
    pub fn set_leaving(&self, is_leaving: impl Fn(&str) -> bool) {
        self.update(|state, _now| state.set_leaving(is_leaving));
    }

    /// Refuses new requests from now on.
    pub fn set_draining(&self) {
        self.update(|state, _now| state.set_draining());
    }

    /// Returns the number of queued requests and of slots in use.
    pub fn load(&self) -> (usize, usize) {
        self.lock().state.counts()
    }

    /// Returns the counters so far.
    pub fn counts(&self) -> SchedulerCounts {
        self.lock().counts
    }

    pub(crate) fn had_recent_request(&self) -> bool {
        self.lock().last_request_at.is_some_and(|at| at.elapsed() < IDLE_TIMEOUT)
    }
}

impl SchedulerInner {
    fn dispatch(&mut self, now: Instant) {
        for answer in self.state.dispatch(now) {
            if answer.grant.is_some() {
                self.counts.granted += 1;
            } else {
                self.counts.refused += 1;
                self.copies.remove(&answer.stream);
            }
            let Some(waiter) = self.waiters.remove(&answer.stream) else {
                continue;
            };
            let stream = answer.stream.clone();
            let granted = answer.grant.is_some();
            if waiter.send(answer).is_err() && granted {
                // The requester gave up while its request was queued.
                self.release_unused(stream, now);
            }
        }
    }

    fn release_unused(&mut self, stream: StreamId, now: Instant) {
        use dillspool_schema::messages::ReleaseCause::Cancelled;
        let pool = "".into();
        let message = ReleaseMessage {
            stream,
            pool,
            cause: Cancelled,
            tokens: 0,
            cached: 0,
            print: None,
            ended: None,
        };
        self.copies.remove(&message.stream);
        self.state.release(&message, now);
    }
}

/// Dispatches the queue whenever a prefill engine becomes free or a deadline may have passed.
async fn dispatch_queue(scheduler: PoolScheduler, cancel: CancellationToken) {
    loop {
        let next_dispatch = scheduler.lock().state.next_dispatch(Instant::now());
        let timer = async {
            match next_dispatch {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = timer => {
                scheduler.lock().dispatch(Instant::now());
            }
            () = scheduler.changed.notified() => {}
            () = cancel.cancelled() => return,
        }
    }
}
