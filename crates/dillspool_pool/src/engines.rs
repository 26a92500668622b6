//! Scheduler state of each engine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dillspool_schema::configuration::BackendEntry;
use dillspool_schema::{Name, StreamId};
use tokio::time::Instant;

use crate::affinity::PrefixCacheModel;
use crate::health::EngineHealth;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Returns the time that `amount` takes at a rate per second.
pub(crate) fn duration_at_rate(amount: u64, rate: u64) -> Duration {
    let micros = u128::from(amount) * u128::from(MICROS_PER_SECOND) / u128::from(rate.max(1));
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}

/// A prefill engine, which processes one prompt at a time.
#[derive(Debug)]
pub struct PrefillState {
    pub(crate) entry: BackendEntry,
    /// When the work granted so far is expected to finish.
    pub(crate) available_at: Instant,
    pub(crate) prefix_cache: PrefixCacheModel,
    pub(crate) health: EngineHealth,
    pub(crate) leaving: bool,
}

impl PrefillState {
    pub(crate) fn new(entry: BackendEntry, now: Instant) -> Self {
        Self {
            entry,
            available_at: now,
            prefix_cache: PrefixCacheModel::default(),
            health: EngineHealth::default(),
            leaving: false,
        }
    }

    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        !self.leaving && !self.entry.leaving && self.health.is_usable(now)
    }

    /// Time to prefill a prompt, without the tokens that are probably cached.
    pub(crate) fn prefill_time(&self, prompt: u64, prefix: u64) -> Duration {
        let saved = self.prefix_cache.expected_cached_tokens(prefix).min(prompt.saturating_sub(1));
        duration_at_rate(prompt - saved, self.entry.prefill_tokens_per_s)
    }
}

/// A decode slot that is granted or in use.
#[derive(Clone, Debug)]
pub struct SlotReservation {
    pub(crate) prefill: Name,
    pub(crate) granted_at: Instant,
    /// When an engine last listed the stream.
    pub(crate) last_listed: Instant,
    /// Prompt tokens and prefix, used to learn what was cached; 0 when reported by an entry host.
    pub(crate) prompt: u64,
    pub(crate) prefix: u64,
}

/// A decode engine with a bounded batch and a single link for transfers.
#[derive(Debug)]
pub struct DecodeState {
    pub(crate) entry: BackendEntry,
    pub(crate) reservations: BTreeMap<StreamId, SlotReservation>,
    /// Streams that the engine lists but this scheduler did not place.
    pub(crate) unplaced_streams: BTreeSet<StreamId>,
    /// When the transfers granted so far are expected to finish.
    pub(crate) link_available_at: Instant,
    pub(crate) health: EngineHealth,
    pub(crate) leaving: bool,
}

impl DecodeState {
    pub(crate) fn new(entry: BackendEntry, now: Instant) -> Self {
        Self {
            entry,
            reservations: BTreeMap::new(),
            unplaced_streams: BTreeSet::new(),
            link_available_at: now,
            health: EngineHealth::default(),
            leaving: false,
        }
    }

    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        !self.leaving && !self.entry.leaving && self.health.is_usable(now)
    }

    /// Number of slots granted or in use.
    pub(crate) fn used_slots(&self) -> u32 {
        u32::try_from(self.reservations.len() + self.unplaced_streams.len()).unwrap_or(u32::MAX)
    }

    /// Returns the largest batch in which each token meets its target.
    pub(crate) fn batch_limit(&self, per_token: Duration) -> u32 {
        let base = Duration::from_micros(self.entry.step_base_us);
        let Some(remaining) = per_token.checked_sub(base) else {
            return 1;
        };
        let remaining = u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX);
        let limit = remaining / self.entry.step_per_stream_us.max(1);
        u32::try_from(limit).unwrap_or(u32::MAX).clamp(1, self.entry.slots)
    }

    /// Returns the duration of a step of a batch.
    pub(crate) fn step_time(&self, batch: u32) -> Duration {
        let micros = self.entry.step_base_us + self.entry.step_per_stream_us * u64::from(batch);
        Duration::from_micros(micros)
    }
}
