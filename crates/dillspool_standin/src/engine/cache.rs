//! The bounded prefix cache and its late events with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use dillspool_engine::{BLOCK_TOKENS, CacheEvent, CacheEventKind, block_hashes};
use tokio::time::Instant;

/// Events kept for readers.
const KEPT_EVENTS: usize = 1024;

#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    /// Block hashes, least lately used first.
    blocks: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    next_number: u64,
}

impl PrefixCache {
    /// Looks a prompt up, keeps its blocks, and returns the tokens that were cached.
    pub(crate) fn touch(&mut self, prompt: &str, capacity: usize) -> u64 {
        let mut cached = 0;
        let mut unbroken = true;
        for hash in block_hashes(prompt) {
            let held = self.blocks.iter().position(|block| *block == hash);
            unbroken &= held.is_some();
            if unbroken {
                cached += BLOCK_TOKENS as u64;
            }
            match held {
                Some(index) => {
                    self.blocks.remove(index);
                }
                None => self.note(CacheEventKind::Stored, hash),
            }
            self.blocks.push_back(hash);
        }
        while self.blocks.len() > capacity {
            if let Some(hash) = self.blocks.pop_front() {
                self.note(CacheEventKind::Removed, hash);
            }
        }
        cached
    }

    fn note(&mut self, kind: CacheEventKind, prefix: u64) {
        self.next_number += 1;
        let event = CacheEvent { number: self.next_number, kind, prefix };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events after a number that are old enough to be seen, with every n-th lost.
    pub(crate) fn events(&self, after: u64, lag: Duration, lose_every: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.number > after && at.elapsed() >= lag)
            .filter(|(_, event)| lose_every == 0 || event.number % lose_every != 0)
            .map(|(_, event)| *event)
            .collect()
    }
}
