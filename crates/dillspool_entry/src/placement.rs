//! What a request holds on schedulers and engines, and how it is given back.
//!
//! A guard gives back whatever it stands for when it is dropped, so that a caller who leaves at
//! any stage leaves nothing behind. See `docs/design/orphans.md`.

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

use crate::context::EntryContext;
use crate::stream::AnswerTerms;

/// First pause before a cancel is tried again.
const CANCEL_FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Tries to cancel; the pool's scheduler finds what is left by then.
const CANCEL_TRIES: usize = 8;

/// Ends of engines that a new scheduler is told of at most, the newest; each takes some 100 bytes.
const MOST_ENDS_TOLD: usize = 256;

#[derive(Clone, Debug)]
struct RegisteredPlacement {
    pool: Name,
    held: HeldPlacement,
}

/// An engine that ended under a request of this host.
#[derive(Clone, Debug)]
struct RegisteredEnd {
    pool: Name,
    print: Name,
    engine: Name,
    at: Instant,
}

/// The placements that this host holds, for reports to new schedulers.
#[derive(Clone, Debug, Default)]
pub struct PlacementRegistry {
    placements: Arc<Mutex<BTreeMap<StreamId, RegisteredPlacement>>>,
    ended: Arc<Mutex<VecDeque<RegisteredEnd>>>,
}

impl PlacementRegistry {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<StreamId, RegisteredPlacement>> {
        self.placements.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One report for each pool, also for those in which nothing is held.
    pub fn reports(&self, pools: &[Name]) -> Vec<PlacementReport> {
        let held = self.lock();
        let report = |pool: &Name| PlacementReport {
            pool: Name::clone(pool),
            placements: held
                .values()
                .filter(|it| it.pool == *pool)
                .map(|it| it.held.clone())
                .collect(),
            ended: self.ended_in(pool),
        };
        pools.iter().map(report).collect()
    }

    fn note_end(&self, pool: &Name, print: &Name, engine: &Name) {
        let (pool, print, engine) = (Name::clone(pool), Name::clone(print), Name::clone(engine));
        let mut ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        ended.push_back(RegisteredEnd { pool, print, engine, at: Instant::now() });
        if ended.len() > MOST_ENDS_TOLD {
            ended.pop_front();
        }
    }

    fn ended_in(&self, pool: &Name) -> Vec<EndedRun> {
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        let ended = ended.iter().filter(|end| end.pool == *pool);
        let run = |end: &RegisteredEnd| EndedRun {
            print: Name::clone(&end.print),
            engine: Name::clone(&end.engine),
            age_ms: u64::try_from(end.at.elapsed().as_millis()).unwrap_or(u64::MAX),
        };
        ended.map(run).collect()
    }

    /// Placements held now.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }
}

/// An engine by name and address.
#[derive(Clone, Debug)]
pub(crate) struct EngineRef {
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
    print: Name,
    scheduler: Option<Name>,
    decode: Option<EngineRef>,
    pub(crate) tokens: u64,
    pub(crate) cached: u64,
    ended: bool,
}

/// What a scheduler answered.
#[derive(Debug)]
pub(crate) enum ReserveEnd {
    Granted(PlacementGrant),
    Refused(ReserveRefusal),
}

impl Placement {
    /// A placement that is about to be asked for.
    pub(crate) fn new(context: &EntryContext, terms: &AnswerTerms) -> Self {
        Self {
            context: context.clone(),
            stream: context.ids.next(),
            pool: Name::clone(&terms.pool.name),
            group: Name::clone(&terms.group.name),
            print: terms.print.to_string().into(),
            scheduler: None,
            decode: None,
            tokens: 0,
            cached: 0,
            ended: false,
        }
    }

    pub(crate) fn stream(&self) -> &StreamId {
        &self.stream
    }

    /// Names the request, whichever copy of it this is.
    pub(crate) fn print(&self) -> &Name {
        &self.print
    }

    /// Asks the pool's scheduler and notes what it granted.
    pub(crate) async fn reserve(&mut self, message: ReserveMessage) -> ReserveEnd {
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
            return ReserveEnd::Granted(grant);
        }
        // Nothing is held: the scheduler answered a refusal.
        self.ended = true;
        let silent = ReserveRefusal {
            cause: dillspool_schema::messages::RefuseCause::NoEngine,
            retry_ms: 1000,
        };
        ReserveEnd::Refused(reply.answer.refusal.unwrap_or(silent))
    }

    /// From now on the decode engine may hold memory for the stream.
    pub(crate) fn start_decode(&mut self, engine: EngineRef) {
        self.decode = Some(engine);
    }

    pub(crate) fn decode_engine(&self) -> Option<&EngineRef> {
        self.decode.as_ref()
    }

    /// Gives the placement back.
    pub(crate) fn end(mut self, cause: ReleaseCause) {
        self.give_back(cause, None);
    }

    /// Gives the placement back; tells the scheduler if an engine ended under the request.
    pub(crate) fn end_at(mut self, cause: ReleaseCause, ended: Option<Name>) {
        if let Some(engine) = &ended {
            log::info!(
                "event=engine_ended stream={} print={} engine={engine}",
                self.stream,
                self.print,
            );
            self.context.placements.note_end(&self.pool, &self.print, engine);
        }
        self.give_back(cause, ended);
    }

    fn give_back(&mut self, cause: ReleaseCause, ended: Option<Name>) {
        if self.ended {
            return;
        }
        self.ended = true;
        self.context.placements.lock().remove(&self.stream);
        let message = ReleaseMessage {
            stream: self.stream.clone(),
            pool: Name::clone(&self.pool),
            cause,
            tokens: self.tokens,
            cached: self.cached,
            print: Some(Name::clone(&self.print)),
            ended,
        };
        let release = Arc::clone(&self.context.placement_client.release);
        let scheduler = self.scheduler.take();
        // A stream that was read to its end holds nothing, and neither does a process that has ended.
        let holds = cause != ReleaseCause::Done && message.ended.is_none();
        let decode = self.decode.take().filter(|_| holds);
        let Some(decode) = decode else {
            release(scheduler, message);
            return;
        };
        let engines = self.context.engines.clone();
        let stream = self.stream.clone();
        self.context.tasks.spawn(async move {
            // The slot is free only once the engine has let go of it.
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
        self.give_back(ReleaseCause::Cancelled, None);
    }
}

/// Cancels again and again; the scheduler's sweep comes after the last try.
async fn cancel_stream(engines: &EngineClient, engine: &EngineRef, stream: &StreamId) {
    let cancel = || engines.cancel(engine.address, stream);
    let pauses = ExponentialBuilder::default()
        .with_min_delay(CANCEL_FIRST_PAUSE)
        .with_max_times(CANCEL_TRIES)
        .with_jitter();
    if let Err(error) = cancel.retry(pauses).await {
        log::warn!("event=cancel_failed engine={} stream={stream} error=\"{error}\"", engine.name);
    }
}

/// A prefill under way or exported, until a decode engine has imported it.
#[derive(Debug)]
pub(crate) struct ExportGuard {
    context: EntryContext,
    stream: StreamId,
    pub(crate) engine: EngineRef,
    /// Handle of the exported KV cache, once there is one.
    pub(crate) kv: Option<Name>,
    /// When the KV cache was exported.
    pub(crate) since: Instant,
    used: bool,
}

impl ExportGuard {
    pub(crate) fn new(context: &EntryContext, stream: &StreamId, engine: EngineRef) -> Self {
        Self {
            context: context.clone(),
            stream: stream.clone(),
            engine,
            kv: None,
            since: Instant::now(),
            used: false,
        }
    }

    /// The export was imported; the prefill was of use.
    pub(crate) fn mark_used(&mut self) {
        self.used = true;
    }

    /// Gives an unused prefill up, counted with its cause.
    pub(crate) fn waste(mut self, cause: &'static str) {
        self.give_up(cause);
    }

    fn give_up(&mut self, cause: &'static str) {
        if self.used {
            return;
        }
        self.used = true;
        self.context.metrics.count_wasted(cause);
        let engines = self.context.engines.clone();
        let (engine, stream) = (self.engine.clone(), self.stream.clone());
        self.context.tasks.spawn(async move {
            cancel_stream(&engines, &engine, &stream).await;
        });
    }
}

impl Drop for ExportGuard {
    fn drop(&mut self) {
        self.give_up("cancelled");
    }
}
