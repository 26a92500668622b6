//! What an engine holds.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dillspool_engine::{LoadReport, OrderReply};
use dillspool_schema::{Name, StreamId};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::cache::PrefixCache;
use super::model::{EngineFault, EngineModel};

/// An exported KV cache.
#[derive(Clone, Debug)]
pub(crate) struct ExportedCache {
    pub(crate) stream: StreamId,
    pub(crate) prompt_hash: u64,
    pub(crate) length: Option<u64>,
    pub(crate) bytes: u64,
    pub(crate) expires: Instant,
    /// Tokens after which decoding it ends the engine.
    pub(crate) deadly_after: Option<u64>,
}

/// A stream that the engine decodes, with all tokens so far.
#[derive(Debug)]
pub(crate) struct DecodeTask {
    pub(crate) produced: Mutex<u64>,
    pub(crate) first: u64,
    pub(crate) end: u64,
    pub(crate) prompt_hash: u64,
    pub(crate) deadly_after: Option<u64>,
    pub(crate) changed: Notify,
    pub(crate) cancel: CancellationToken,
}

#[derive(Debug, Default)]
pub(crate) struct EngineState {
    pub(crate) fault: EngineFault,
    pub(crate) decodes: BTreeMap<StreamId, Arc<DecodeTask>>,
    /// Streams whose KV cache is being imported; each holds a slot.
    pub(crate) imports: BTreeMap<StreamId, CancellationToken>,
    pub(crate) prefills: BTreeMap<StreamId, CancellationToken>,
    pub(crate) exports: BTreeMap<Name, ExportedCache>,
    pub(crate) cache: PrefixCache,
    /// Prefills in waiting, by priority and order of arrival.
    pub(crate) prefill_queue: BTreeMap<(u32, u64), oneshot::Sender<()>>,
    pub(crate) prefill_busy: bool,
    pub(crate) arrivals: u64,
    pub(crate) link_free_at: Option<Instant>,
    pub(crate) reports: VecDeque<(Instant, LoadReport)>,
    pub(crate) last_order: Option<OrderReply>,
    pub(crate) orders_run: u64,
    pub(crate) prefilled: u64,
    /// Imports that ended well: prefills that were of use.
    pub(crate) imported: u64,
    pub(crate) wasted_exports: u64,
    /// How often the engine ended.
    pub(crate) ends: u64,
}

impl EngineState {
    /// Loses all that the engine holds.
    fn lose_all(&mut self) {
        for task in self.decodes.values() {
            task.cancel.cancel();
        }
        for cancel in self.imports.values().chain(self.prefills.values()) {
            cancel.cancel();
        }
        self.decodes.clear();
        self.imports.clear();
        self.prefills.clear();
        self.exports.clear();
        self.cache = PrefixCache::default();
    }
}

/// An engine shared by its tasks.
#[derive(Clone, Debug)]
pub(crate) struct EngineCore {
    pub(crate) model: EngineModel,
    pub(crate) state: Arc<Mutex<EngineState>>,
    /// Tells that the engine's process ends.
    pub(crate) ended: Arc<Notify>,
}

impl EngineCore {
    pub(crate) fn new(model: EngineModel) -> Self {
        Self { model, state: Arc::default(), ended: Arc::default() }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn fault(&self) -> EngineFault {
        self.lock().fault
    }

    /// Sets a fault; death loses all that the engine holds.
    pub(crate) fn set_fault(&self, fault: EngineFault) {
        let mut state = self.lock();
        state.fault = fault;
        if fault == EngineFault::Dead {
            state.lose_all();
        }
        for task in state.decodes.values() {
            task.changed.notify_waiters();
        }
    }

    /// Ends the engine's process, which starts again after a while.
    pub(crate) fn end(&self) {
        let mut state = self.lock();
        state.ends += 1;
        state.lose_all();
        drop(state);
        self.ended.notify_one();
    }

    /// Frees whatever is held of a stream.
    pub(crate) fn cancel(&self, stream: &StreamId) -> bool {
        let mut state = self.lock();
        if state.fault == EngineFault::IgnoreCancel {
            return true;
        }
        let mut found = false;
        if let Some(task) = state.decodes.remove(stream) {
            task.cancel.cancel();
            found = true;
        }
        let waiting = [state.imports.remove(stream), state.prefills.remove(stream)];
        for cancel in waiting.into_iter().flatten() {
            cancel.cancel();
            found = true;
        }
        let before = state.exports.len();
        state.exports.retain(|_, export| export.stream != *stream);
        found |= state.exports.len() < before;
        found
    }

    /// Drops exports whose time is over; none of them was ever imported.
    pub(crate) fn expire_exports(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let before = state.exports.len();
        state.exports.retain(|_, export| export.expires > now);
        state.wasted_exports += (before - state.exports.len()) as u64;
    }
}

/// The text of a token: the same prompt gives the same answer on every engine.
pub fn token_text(prompt: &str, index: u64) -> String {
    token_of_hash(xxh3_64(prompt.as_bytes()), index)
}

pub(crate) fn token_of_hash(prompt_hash: u64, index: u64) -> String {
    format!("{:04x}.{index} ", prompt_hash & 0xffff)
}

/// Natural length of an answer, which a prompt may set by `#len=N`.
pub(crate) fn natural_length(prompt: &str) -> Option<u64> {
    let (_, rest) = prompt.rsplit_once("#len=")?;
    let digits = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..digits].parse().ok()
}
