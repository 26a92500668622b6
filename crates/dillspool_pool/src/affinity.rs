//! Which prefill engine probably has a prefix cached, and how much it saves.

use std::collections::BTreeMap;

use dillspool_engine::{CacheEvent, CacheEventKind};

/// Prefixes remembered for each engine.
const REMEMBERED: usize = 1024;
/// Weight of a new observation in hundredths.
const NEW_WEIGHT: u64 = 30;

#[derive(Clone, Copy, Debug)]
struct PrefixRecord {
    /// Tokens that the cache saved, averaged.
    saved: u64,
    /// Order of the last use.
    used: u64,
}

/// What one engine probably caches.
#[derive(Debug, Default)]
pub(crate) struct PrefixMemory {
    records: BTreeMap<u64, PrefixRecord>,
    uses: u64,
    last_cache_event: u64,
}

impl PrefixMemory {
    /// Prompt tokens that the engine probably has cached.
    pub(crate) fn expected_saving(&self, prefix: u64) -> u64 {
        self.records.get(&prefix).map_or(0, |record| record.saved)
    }

    /// A prompt ran on the engine and found this many tokens cached.
    pub(crate) fn observe(&mut self, prefix: u64, cached: u64, prompt: u64) {
        if prefix == 0 {
            return;
        }
        self.uses += 1;
        let used = self.uses;
        // A first run stores the prompt; how much of it the next one shares is not known yet, so
        // expect one block until an observation tells.
        let first =
            if cached > 0 { cached } else { (dillspool_engine::BLOCK_TOKENS as u64).min(prompt) };
        let record = self.records.entry(prefix).or_insert(PrefixRecord { saved: first, used });
        record.used = used;
        if cached > 0 {
            record.saved = (record.saved * (100 - NEW_WEIGHT) + cached * NEW_WEIGHT) / 100;
        }
        if self.records.len() > REMEMBERED {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.records.iter().min_by_key(|(_, record)| record.used);
        if let Some(prefix) = oldest.map(|(prefix, _)| *prefix) {
            self.records.remove(&prefix);
        }
    }

    /// Takes numbered events in; a gap may hide removals, so all is forgotten.
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

    /// Number of the last event seen.
    pub(crate) fn last_cache_event(&self) -> u64 {
        self.last_cache_event
    }
}
