//! What the scheduler keeps of each engine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dillspool_schema::configuration::BackendEntry;
use dillspool_schema::{Name, StreamId};
use tokio::time::Instant;

use crate::affinity::PrefixMemory;
use crate::health::EngineHealth;

const MICROS: u64 = 1_000_000;

/// Time that `amount` takes at `rate` a second.
pub(crate) fn time_at(amount: u64, rate: u64) -> Duration {
    let micros = u128::from(amount) * u128::from(MICROS) / u128::from(rate.max(1));
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}

/// A prefill engine: works one prompt after the other.
#[derive(Debug)]
pub struct PrefillState {
    pub(crate) entry: BackendEntry,
    /// When the work granted so far is expected to be done.
    pub(crate) free_at: Instant,
    pub(crate) memory: PrefixMemory,
    pub(crate) health: EngineHealth,
    pub(crate) leaving: bool,
}

impl PrefillState {
    pub(crate) fn new(entry: BackendEntry, now: Instant) -> Self {
        Self {
            entry,
            free_at: now,
            memory: PrefixMemory::default(),
            health: EngineHealth::default(),
            leaving: false,
        }
    }

    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        !self.leaving && !self.entry.leaving && self.health.is_usable(now)
    }

    /// Time to prefill a prompt, less what is probably cached.
    pub(crate) fn work_time(&self, prompt: u64, prefix: u64) -> Duration {
        let saved = self.memory.expected_saving(prefix).min(prompt.saturating_sub(1));
        time_at(prompt - saved, self.entry.prefill_tokens_per_s)
    }
}

/// A slot that is promised or used.
#[derive(Clone, Debug)]
pub struct SlotHold {
    pub(crate) prefill: Name,
    pub(crate) since: Instant,
    /// When an engine last listed the stream.
    pub(crate) seen: Instant,
    /// Prompt tokens and prefix, to learn what was cached; 0 when reported by an entry host.
    pub(crate) prompt: u64,
    pub(crate) prefix: u64,
}

/// A decode engine: a batch of bounded size, fed over one link.
#[derive(Debug)]
pub struct DecodeState {
    pub(crate) entry: BackendEntry,
    pub(crate) holds: BTreeMap<StreamId, SlotHold>,
    /// Streams that the engine lists and this scheduler did not place.
    pub(crate) foreign: BTreeSet<StreamId>,
    /// When the transfers promised so far are expected to be done.
    pub(crate) link_free_at: Instant,
    pub(crate) health: EngineHealth,
    pub(crate) leaving: bool,
}

impl DecodeState {
    pub(crate) fn new(entry: BackendEntry, now: Instant) -> Self {
        Self {
            entry,
            holds: BTreeMap::new(),
            foreign: BTreeSet::new(),
            link_free_at: now,
            health: EngineHealth::default(),
            leaving: false,
        }
    }

    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        !self.leaving && !self.entry.leaving && self.health.is_usable(now)
    }

    /// Slots used or promised.
    pub(crate) fn used(&self) -> u32 {
        u32::try_from(self.holds.len() + self.foreign.len()).unwrap_or(u32::MAX)
    }

    /// Streams that a step may carry so that each token meets its target.
    pub(crate) fn batch_limit(&self, per_token: Duration) -> u32 {
        let base = Duration::from_micros(self.entry.step_base_us);
        let Some(room) = per_token.checked_sub(base) else {
            return 1;
        };
        let room = u64::try_from(room.as_micros()).unwrap_or(u64::MAX);
        let limit = room / self.entry.step_per_stream_us.max(1);
        u32::try_from(limit).unwrap_or(u32::MAX).clamp(1, self.entry.slots)
    }

    /// Time of a step of a batch.
    pub(crate) fn step_time(&self, batch: u32) -> Duration {
        let micros = self.entry.step_base_us + self.entry.step_per_stream_us * u64::from(batch);
        Duration::from_micros(micros)
    }
}
