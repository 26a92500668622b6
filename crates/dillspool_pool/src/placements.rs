//! Placements as they end, are reported by entry hosts, and are listed by engines.

use std::collections::BTreeSet;
use std::time::Duration;

use dillspool_engine::CacheEvent;
use dillspool_schema::engine::StreamListing;
use dillspool_schema::messages::{HeldPlacement, RefuseCause, ReleaseCause, ReleaseMessage};
use dillspool_schema::{Name, StreamId};
use tokio::time::Instant;

use crate::engines::SlotHold;
use crate::state::{PoolState, RETRY_RANGE};

/// How long a released stream is remembered, to cancel what a late start left on an engine.
const TOMBSTONE_TIME: Duration = Duration::from_secs(30);
/// Age at which a released stream that an engine still lists is cancelled.
const RELEASE_GRACE: Duration = Duration::from_secs(2);
/// A placement that no engine has listed for this long is dropped: its release was lost.
const UNSEEN_LIMIT: Duration = Duration::from_secs(15);
/// A new hold time counts one part in this many.
const HOLD_SMOOTHING: u32 = 32;

impl PoolState {
    /// Gives a placement back, or takes a waiting request out.
    pub fn release(&mut self, message: &ReleaseMessage, now: Instant) {
        if let Some(tag) = self.queue.tag_of(&message.stream) {
            self.give_up(&tag, RefuseCause::TooLate, RETRY_RANGE.0);
        }
        self.released.retain(|_, at| now.duration_since(*at) < TOMBSTONE_TIME);
        self.released.insert(message.stream.clone(), now);
        let Some(name) = self.placements.remove(&message.stream) else {
            return;
        };
        let Some(decode) = self.decodes.get_mut(&name) else {
            return;
        };
        let Some(hold) = decode.holds.remove(&message.stream) else {
            return;
        };
        match message.cause {
            ReleaseCause::Done => decode.health.note_success(),
            ReleaseCause::DecodeFailed | ReleaseCause::TransferFailed => {
                decode.health.note_failure(now);
            }
            ReleaseCause::Cancelled | ReleaseCause::PrefillFailed => {}
        }
        if message.cause == ReleaseCause::Done {
            let newest = now.duration_since(hold.since);
            let kept = self.mean_hold * (HOLD_SMOOTHING - 1);
            self.mean_hold = (kept + newest) / HOLD_SMOOTHING;
        }
        let prefill = self.prefills.iter_mut().find(|it| it.entry.name == hold.prefill);
        let Some(prefill) = prefill else { return };
        match message.cause {
            ReleaseCause::PrefillFailed => prefill.health.note_failure(now),
            ReleaseCause::Done => {
                prefill.health.note_success();
                prefill.memory.observe(hold.prefix, message.cached, hold.prompt);
            }
            ReleaseCause::Cancelled | ReleaseCause::TransferFailed | ReleaseCause::DecodeFailed => {
            }
        }
    }

    /// Takes over all that an entry host holds; a new scheduler learns its state so.
    ///
    /// What the host does not hold any more, such as a grant whose answer was lost, is freed.
    pub fn apply_report(&mut self, owner: (&Name, u64), held: &[HeldPlacement], now: Instant) {
        let reported: BTreeSet<&StreamId> = held.iter().map(|it| &it.stream).collect();
        let (host, incarnation) = owner;
        let stale: Vec<StreamId> = self
            .placements
            .keys()
            .filter(|it| it.host == *host && it.incarnation == incarnation)
            .filter(|it| !reported.contains(it))
            .cloned()
            .collect();
        for stream in stale {
            self.drop_placement(&stream);
        }
        for placement in held {
            let Some(decode) = self.decodes.get_mut(&placement.decode) else {
                continue;
            };
            decode.foreign.remove(&placement.stream);
            decode.holds.entry(placement.stream.clone()).or_insert_with(|| SlotHold {
                prefill: Name::clone(&placement.prefill),
                since: now,
                seen: now,
                prompt: 0,
                prefix: 0,
            });
            self.placements.insert(placement.stream.clone(), Name::clone(&placement.decode));
        }
    }

    fn drop_placement(&mut self, stream: &StreamId) {
        let Some(name) = self.placements.remove(stream) else {
            return;
        };
        if let Some(decode) = self.decodes.get_mut(&name) {
            decode.holds.remove(stream);
        }
    }

    /// Compares an engine's listing with the placements; returns released streams that linger.
    pub fn reconcile_listing(
        &mut self,
        engine: &str,
        listing: &StreamListing,
        now: Instant,
    ) -> Vec<StreamId> {
        let listed = || listing.streams.iter().chain(&listing.exports);
        for stream in listed() {
            let decode = self.placements.get(stream).and_then(|it| self.decodes.get_mut(it));
            if let Some(hold) = decode.and_then(|it| it.holds.get_mut(stream)) {
                hold.seen = now;
            }
        }
        if let Some(decode) = self.decodes.get_mut(engine) {
            let foreign = listing.streams.iter().filter(|it| !decode.holds.contains_key(*it));
            let foreign = foreign.filter(|it| !self.released.contains_key(*it));
            decode.foreign = foreign.cloned().collect();
            let unseen = decode.holds.iter().filter(|(_, it)| now - it.seen > UNSEEN_LIMIT);
            let unseen: Vec<StreamId> = unseen.map(|(stream, _)| stream.clone()).collect();
            for stream in unseen {
                self.drop_placement(&stream);
            }
        }
        let lingering = |stream: &&StreamId| {
            let released = self.released.get(*stream);
            released.is_some_and(|at| now.duration_since(*at) >= RELEASE_GRACE)
        };
        listed().filter(lingering).cloned().collect()
    }

    /// Whether an engine answered the periodic listing.
    pub fn record_listing(&mut self, engine: &str, answered: bool) {
        if let Some(decode) = self.decodes.get_mut(engine) {
            decode.health.record_listing(answered);
        }
        if let Some(prefill) = self.prefills.iter_mut().find(|it| &*it.entry.name == engine) {
            prefill.health.record_listing(answered);
        }
    }

    /// Takes cache events of a prefill engine in.
    pub fn apply_cache_events(&mut self, engine: &str, events: &[CacheEvent]) {
        if let Some(prefill) = self.prefills.iter_mut().find(|it| &*it.entry.name == engine) {
            prefill.memory.apply_cache_events(events);
        }
    }

    /// Number of the last cache event seen of a prefill engine.
    pub fn last_cache_event(&self, engine: &str) -> u64 {
        let prefill = self.prefills.iter().find(|it| &*it.entry.name == engine);
        prefill.map_or(0, |it| it.memory.last_cache_event())
    }
}
