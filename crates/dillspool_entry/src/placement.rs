//! Resources that a request holds on schedulers and engines, and their release.
//!
//! Each guard releases its resource when it is dropped, so that nothing leaks when a caller
//! disconnects, at whatever stage. See `docs/design/orphans.md`.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use backon::{ExponentialBuilder, Retryable};
use dillspool_engine::EngineClient;
use dillspool_schema::messages::{
    EndedRun, HeldPlacement, PlacementGrant, PlacementReport, ReleaseCause, ReleaseMessage,
    ReserveMessage, ReserveRefusal,
};
use dillspool_schema::{Name, StreamId};
use tokio::time::Instant;

use crate::completion_stream::CompletionParams;
use crate::context::EntryContext;

/// Delay before the first retry of a cancel.
const CANCEL_INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Retries of a cancel; after that the pool's scheduler cleans up the orphaned stream.
const CANCEL_MAX_RETRIES: usize = 8;

/// Maximum number of engine crashes, the newest, that are reported to a new scheduler; each takes
/// about 100 bytes.
const MAX_REPORTED_CRASHES: usize = 256;

#[derive(Clone, Debug)]
struct RegisteredPlacement {
    pool: Name,
    held: HeldPlacement,
}

/// An engine that crashed while it ran a request of this host.
#[derive(Clone, Debug)]
struct RegisteredCrash {
    pool: Name,
    fingerprint: Name,
    engine: Name,
    at: Instant,
}

/// Placements that this host holds, and recent engine crashes, for reports to new schedulers.
#[derive(Clone, Debug, Default)]
pub struct PlacementRegistry {
    placements: Arc<Mutex<BTreeMap<StreamId, RegisteredPlacement>>>,
    crashes: Arc<Mutex<VecDeque<RegisteredCrash>>>,
}

impl PlacementRegistry {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<StreamId, RegisteredPlacement>> {
        self.placements.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a report for each pool, including pools in which this host holds nothing.
    pub fn reports(&self, pools: &[Name]) -> Vec<PlacementReport> {
        let held = self.lock();
        let report = |pool: &Name| PlacementReport {
            pool: Name::clone(pool),
            placements: held
                .values()
                .filter(|it| it.pool == *pool)
                .map(|it| it.held.clone())
                .collect(),
            ended: self.crashes_in(pool),
        };
        pools.iter().map(report).collect()
    }

    fn record_crash(&self, pool: &Name, fingerprint: &Name, engine: &Name) {
        let (pool, fingerprint, engine) =
            (Name::clone(pool), Name::clone(fingerprint), Name::clone(engine));
        let mut crashes = self.crashes.lock().unwrap_or_else(PoisonError::into_inner);
        crashes.push_back(RegisteredCrash { pool, fingerprint, engine, at: Instant::now() });
        if crashes.len() > MAX_REPORTED_CRASHES {
            crashes.pop_front();
        }
    }

    fn crashes_in(&self, pool: &Name) -> Vec<EndedRun> {
        let crashes = self.crashes.lock().unwrap_or_else(PoisonError::into_inner);
        let crashes = crashes.iter().filter(|crash| crash.pool == *pool);
        let run = |crash: &RegisteredCrash| EndedRun {
            print: Name::clone(&crash.fingerprint),
            engine: Name::clone(&crash.engine),
            age_ms: u64::try_from(crash.at.elapsed().as_millis()).unwrap_or(u64::MAX),
        };
        crashes.map(run).collect()
    }

    /// Number of placements held.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no placement is held.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }
}

/// Name and address of an engine or another backend server.
#[derive(Clone, Debug)]
pub(crate) struct BackendRef {
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
}

/// A reservation and the decode stream that uses it.
#[derive(Debug)]
pub(crate) struct Placement {
    context: EntryContext,
    stream: StreamId,
    pool: Name,
    group: Name,
    fingerprint: Name,
    scheduler: Option<Name>,
    decode: Option<BackendRef>,
    pub(crate) tokens: u64,
    pub(crate) cached: u64,
    is_released: bool,
}

/// A scheduler's decision on a reservation.
#[derive(Debug)]
pub(crate) enum ReserveOutcome {
    Granted(PlacementGrant),
    Refused(ReserveRefusal),
}

impl Placement {
    /// Creates a placement that is not reserved yet.
    pub(crate) fn new(context: &EntryContext, params: &CompletionParams) -> Self {
        Self {
            context: context.clone(),
            stream: context.ids.next(),
            pool: Name::clone(&params.pool.name),
            group: Name::clone(&params.group.name),
            fingerprint: params.fingerprint.to_string().into(),
            scheduler: None,
            decode: None,
            tokens: 0,
            cached: 0,
            is_released: false,
        }
    }

    pub(crate) fn stream(&self) -> &StreamId {
        &self.stream
    }

    /// Fingerprint of the request, equal for all its copies.
    pub(crate) fn fingerprint(&self) -> &Name {
        &self.fingerprint
    }

    /// Asks the pool's scheduler for a reservation and registers the grant.
    pub(crate) async fn reserve(&mut self, message: ReserveMessage) -> ReserveOutcome {
        let output = message.output;
        let reply = (self.context.placement_client.reserve)(message).await;
        self.scheduler = Some(reply.scheduler);
        if let Some(grant) = reply.answer.grant {
            let held = HeldPlacement {
                stream: self.stream.clone(),
                group: Name::clone(&self.group),
                prefill: Name::clone(&grant.prefill),
                decode: Name::clone(&grant.decode),
                output,
            };
            let registered = RegisteredPlacement { pool: Name::clone(&self.pool), held };
            self.context.placements.lock().insert(self.stream.clone(), registered);
            return ReserveOutcome::Granted(grant);
        }
        // The scheduler refused, so there is nothing to release.
        self.is_released = true;
        let default_refusal = ReserveRefusal {
            cause: dillspool_schema::messages::RefuseCause::NoEngine,
            retry_ms: 1000,
        };
        ReserveOutcome::Refused(reply.answer.refusal.unwrap_or(default_refusal))
    }

    /// Records that the decode engine may hold memory for the stream from now on.
    pub(crate) fn start_decode(&mut self, engine: BackendRef) {
        self.decode = Some(engine);
    }

    pub(crate) fn decode_engine(&self) -> Option<&BackendRef> {
        self.decode.as_ref()
    }

    /// Releases the placement.
    pub(crate) fn release(mut self, cause: ReleaseCause) {
        self.send_release(cause, None);
    }

    /// Releases the placement and reports the engine that crashed, if any, to the scheduler.
    pub(crate) fn release_after_failure(mut self, cause: ReleaseCause, crashed: Option<Name>) {
        if let Some(engine) = &crashed {
            log::info!(
                "event=engine_ended stream={} print={} engine={engine}",
                self.stream,
                self.fingerprint,
            );
            self.context.placements.record_crash(&self.pool, &self.fingerprint, engine);
        }
        self.send_release(cause, crashed);
    }

    fn send_release(&mut self, cause: ReleaseCause, crashed: Option<Name>) {
        if self.is_released {
            return;
        }
        self.is_released = true;
        self.context.placements.lock().remove(&self.stream);
        let message = ReleaseMessage {
            stream: self.stream.clone(),
            pool: Name::clone(&self.pool),
            cause,
            tokens: self.tokens,
            cached: self.cached,
            print: Some(Name::clone(&self.fingerprint)),
            ended: crashed,
        };
        let release = Arc::clone(&self.context.placement_client.release);
        let scheduler = self.scheduler.take();
        // A stream that was read to its end holds no memory, and neither does a crashed engine.
        let needs_cancel = cause != ReleaseCause::Done && message.ended.is_none();
        let decode = self.decode.take().filter(|_| needs_cancel);
        let Some(decode) = decode else {
            release(scheduler, message);
            return;
        };
        let engines = self.context.engines.clone();
        let stream = self.stream.clone();
        self.context.tasks.spawn(async move {
            // The slot is free only after the engine has released it.
            let cancelled = engines.cancel(decode.address, &stream).await;
            release(scheduler, message);
            if cancelled.is_err() {
                cancel_stream(&engines, &decode, &stream).await;
            }
        });
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.send_release(ReleaseCause::Cancelled, None);
    }
}

/// Cancels a stream with retries; if all fail, the scheduler's sweep cleans it up.
async fn cancel_stream(engines: &EngineClient, engine: &BackendRef, stream: &StreamId) {
    let cancel = || engines.cancel(engine.address, stream);
    let backoff = ExponentialBuilder::default()
        .with_min_delay(CANCEL_INITIAL_BACKOFF)
        .with_max_times(CANCEL_MAX_RETRIES)
        .with_jitter();
    if let Err(error) = cancel.retry(backoff).await {
        log::warn!("event=cancel_failed engine={} stream={stream} error=\"{error}\"", engine.name);
    }
}

/// A prefill that is running or exported, until a decode engine has imported its KV cache.
#[derive(Debug)]
pub(crate) struct ExportGuard {
    context: EntryContext,
    stream: StreamId,
    pub(crate) engine: BackendRef,
    /// Handle of the exported KV cache, once there is one.
    pub(crate) kv: Option<Name>,
    /// When the KV cache was exported.
    pub(crate) exported_at: Instant,
    is_settled: bool,
}

impl ExportGuard {
    pub(crate) fn new(context: &EntryContext, stream: &StreamId, engine: BackendRef) -> Self {
        Self {
            context: context.clone(),
            stream: stream.clone(),
            engine,
            kv: None,
            exported_at: Instant::now(),
            is_settled: false,
        }
    }

    /// Records that a decode engine imported the KV cache.
    pub(crate) fn mark_imported(&mut self) {
        self.is_settled = true;
    }

    /// Cancels an unused prefill and counts it as wasted with the cause.
    pub(crate) fn discard(mut self, cause: &'static str) {
        self.cancel_unused(cause);
    }

    fn cancel_unused(&mut self, cause: &'static str) {
        if self.is_settled {
            return;
        }
        self.is_settled = true;
        self.context.metrics.count_wasted_prefill(cause);
        let engines = self.context.engines.clone();
        let (engine, stream) = (self.engine.clone(), self.stream.clone());
        self.context.tasks.spawn(async move {
            cancel_stream(&engines, &engine, &stream).await;
        });
    }
}

impl Drop for ExportGuard {
    fn drop(&mut self) {
        self.cancel_unused("cancelled");
    }
}
