//! Estimates which prefixes each prefill engine has cached, and how many tokens that saves.

use std::collections::BTreeMap;

use dillspool_engine::{CacheEvent, CacheEventKind};

/// Maximum number of prefixes tracked per engine.
const MAX_PREFIXES: usize = 1024;
/// Weight of a new observation, in percent.
const NEW_WEIGHT_PERCENT: u64 = 30;

#[derive(Clone, Copy, Debug)]
struct PrefixRecord {
    /// Moving average of the tokens that the cache saved.
    saved_tokens: u64,
    /// Use counter at the last use, for LRU eviction.
    last_use: u64,
}

/// Estimated prefix cache of one engine.
#[derive(Debug, Default)]
pub(crate) struct PrefixCacheModel {
    records: BTreeMap<u64, PrefixRecord>,
    use_count: u64,
    last_cache_event: u64,
}

impl PrefixCacheModel {
    /// Estimates how many prompt tokens the engine has cached.
    pub(crate) fn expected_cached_tokens(&self, prefix: u64) -> u64 {
        self.records.get(&prefix).map_or(0, |record| record.saved_tokens)
    }

    /// Records a prompt that ran on the engine and the number of its tokens that were cached.
    pub(crate) fn observe(&mut self, prefix: u64, cached: u64, prompt: u64) {
        if prefix == 0 {
            return;
        }
        self.use_count += 1;
        let last_use = self.use_count;
        // The first run stores the prompt. How much of it later prompts share is unknown, so assume one
        // block until there is an observation.
        let initial_saving =
            if cached > 0 { cached } else { (dillspool_engine::BLOCK_TOKENS as u64).min(prompt) };
        let record = self
            .records
            .entry(prefix)
            .or_insert(PrefixRecord { saved_tokens: initial_saving, last_use });
        record.last_use = last_use;
        if cached > 0 {
            record.saved_tokens = (record.saved_tokens * (100 - NEW_WEIGHT_PERCENT)
                + cached * NEW_WEIGHT_PERCENT)
                / 100;
        }
        if self.records.len() > MAX_PREFIXES {
            self.evict_least_recent();
        }
    }

    fn evict_least_recent(&mut self) {
        let oldest = self.records.iter().min_by_key(|(_, record)| record.last_use);
        if let Some(prefix) = oldest.map(|(prefix, _)| *prefix) {
            self.records.remove(&prefix);
        }
    }

    /// Applies numbered cache events; clears the cache estimate on a gap, which may hide removals.
    pub(crate) fn apply_cache_events(&mut self, events: &[CacheEvent]) {
        for event in events {
            if event.number != self.last_cache_event + 1 {
                self.records.clear();
            }
            self.last_cache_event = event.number;
            if event.kind == CacheEventKind::Removed {
                self.records.remove(&event.prefix);
            }
        }
    }

    /// Returns the number of the last event applied.
    pub(crate) fn last_cache_event(&self) -> u64 {
        self.last_cache_event
    }
}
