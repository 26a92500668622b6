//! A pool's scheduler as the rest of the host sees it.

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
use crate::suspects::CopyBook;
use crate::sweep::sweep_engines;

/// How long a scheduler stays awake after it was last asked.
const AWAKE_TIME: Duration = Duration::from_secs(10);

/// Whether the owner of a stream is dead beyond doubt.
///
/// The first argument is the host, the second its incarnation. See `docs/design/orphans.md`.
#[derive(Clone)]
pub struct LivenessCheck {
    /// Returns true only for an owner that no host has heard of for the lease time.
    pub is_dead: Arc<dyn Fn(Name, u64) -> dillspool_io::BoxFuture<bool> + Send + Sync>,
    /// Whether this host is the one that should schedule a pool now.
    pub is_scheduler: Arc<dyn Fn(&str) -> bool + Send + Sync>,
}

impl fmt::Debug for LivenessCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LivenessCheck")
    }
}

/// What a scheduler did so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulerCounts {
    /// Requests granted.
    pub granted: u64,
    /// Requests refused.
    pub refused: u64,
    /// Streams of dead owners, or released ones, that were cancelled on engines.
    pub orphans: u64,
}

pub(crate) struct SchedulerInner {
    pub(crate) state: PoolState,
    waiters: BTreeMap<StreamId, oneshot::Sender<ReserveAnswer>>,
    pub(crate) counts: SchedulerCounts,
    copies: CopyBook,
    last_asked: Option<Instant>,
}

/// Handle of a pool's scheduler on this host.
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
    /// Starts a scheduler for a pool; it sleeps until it is asked or chosen.
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
            copies: CopyBook::new(suspects),
            last_asked: None,
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

    /// Name of the pool.
    pub fn pool(&self) -> &Name {
        &self.pool
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, SchedulerInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state and pumps the queue.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut PoolState, Instant) -> T) -> T {
        let now = Instant::now();
        let mut inner = self.lock();
        let result = change(&mut inner.state, now);
        inner.dispatch(now);
        drop(inner);
        self.changed.notify_one();
        result
    }

    /// Asks for a placement and waits for the answer; dropping the future withdraws the request.
    pub async fn reserve(&self, message: ReserveMessage) -> Option<ReserveAnswer> {
        let stream = message.stream.clone();
        let (sender, receiver) = oneshot::channel();
        {
            let now = Instant::now();
            let mut inner = self.lock();
            inner.last_asked = Some(now);
            if let Err(cause) = inner.copies.enter(&stream, message.print.as_deref()) {
                inner.counts.refused += 1;
                return Some(refusal(&stream, cause, COPY_RETRY_DELAY));
            }
            match inner.state.submit(message, now) {
                ReserveOutcome::Answered(answer) => {
                    inner.counts.refused += 1;
                    inner.copies.leave(&stream);
                    return Some(answer);
                }
                ReserveOutcome::Queued => inner.waiters.insert(stream, sender),
            };
            inner.dispatch(now);
        }
        self.changed.notify_one();
        receiver.await.ok()
    }

    /// Gives a placement back.
    pub fn release(&self, message: &ReleaseMessage) {
        self.lock().copies.note_released(message);
        self.update(|state, now| state.release(message, now));
        self.lock().waiters.remove(&message.stream);
    }

    /// Takes over all placements that an entry host, named with its incarnation, holds.
    pub fn apply_report(&self, host: &Name, incarnation: u64, report: &PlacementReport) {
        self.lock().copies.learn(&report.ended);
        self.update(|state, now| state.apply_report((host, incarnation), &report.placements, now));
    }

    /// Drops copies of requests that neither wait nor hold a placement.
    pub(crate) fn drop_lost_copies(&self) {
        let mut inner = self.lock();
        let SchedulerInner { state, copies, .. } = &mut *inner;
        copies.retain(|stream| state.is_known(stream));
    }

    /// Takes a new configuration over.
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

    /// Requests waiting and slots held.
    pub fn load(&self) -> (usize, usize) {
        self.lock().state.counts()
    }

    /// What was done so far.
    pub fn counts(&self) -> SchedulerCounts {
        self.lock().counts
    }

    pub(crate) fn was_asked_lately(&self) -> bool {
        self.lock().last_asked.is_some_and(|at| at.elapsed() < AWAKE_TIME)
    }
}

impl SchedulerInner {
    fn dispatch(&mut self, now: Instant) {
        for answer in self.state.dispatch(now) {
            if answer.grant.is_some() {
                self.counts.granted += 1;
            } else {
                self.counts.refused += 1;
                self.copies.leave(&answer.stream);
            }
            let Some(waiter) = self.waiters.remove(&answer.stream) else {
                continue;
            };
            let stream = answer.stream.clone();
            let granted = answer.grant.is_some();
            if waiter.send(answer).is_err() && granted {
                // The asker left while it waited.
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
        self.copies.leave(&message.stream);
        self.state.release(&message, now);
    }
}

/// Pumps the queue whenever a prefill engine becomes free or a deadline may have passed.
async fn dispatch_queue(scheduler: PoolScheduler, cancel: CancellationToken) {
    loop {
        let wake = scheduler.lock().state.next_dispatch(Instant::now());
        let nap = async {
            match wake {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = nap => {
                scheduler.lock().dispatch(Instant::now());
            }
            () = scheduler.changed.notified() => {}
            () = cancel.cancelled() => return,
        }
    }
}
