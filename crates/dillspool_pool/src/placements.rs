//! Updates placements from releases, reports of entry hosts and listings of engines.

use std::collections::BTreeSet;
use std::time::Duration;

use dillspool_engine::CacheEvent;
use dillspool_schema::engine::StreamListing;
use dillspool_schema::messages::{HeldPlacement, RefuseCause, ReleaseCause, ReleaseMessage};
use dillspool_schema::{Name, StreamId};
use tokio::time::Instant;

use crate::engines::SlotReservation;
use crate::state::{PoolState, RETRY_AFTER_RANGE};

/// How long a released stream is kept as a tombstone, to cancel what a late start left on an engine.
const TOMBSTONE_TTL: Duration = Duration::from_secs(30);
/// Age at which a released stream that an engine still lists is cancelled.
const RELEASE_GRACE: Duration = Duration::from_secs(2);
/// A placement that no engine has listed for this long is dropped, because its release was lost.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(15);
/// Inverse weight of a new slot time in the moving average.
const SLOT_TIME_SMOOTHING: u32 = 32;

impl PoolState {
    /// Releases a placement or removes a queued request.
    pub fn release(&mut self, message: &ReleaseMessage, now: Instant) {
        if let Some(tag) = self.queue.tag_of(&message.stream) {
            self.reject(&tag, RefuseCause::TooLate, RETRY_AFTER_RANGE.0);
        }
        self.released.retain(|_, at| now.duration_since(*at) < TOMBSTONE_TTL);
        self.released.insert(message.stream.clone(), now);
        let Some(name) = self.placements.remove(&message.stream) else {
            return;
        };
        let Some(decode) = self.decodes.get_mut(&name) else {
            return;
        };
        let Some(reservation) = decode.reservations.remove(&message.stream) else {
            return;
        };
        match message.cause {
            ReleaseCause::Done => decode.health.record_success(),
            ReleaseCause::DecodeFailed | ReleaseCause::TransferFailed => {
                decode.health.record_failure(now);
            }
            ReleaseCause::Cancelled | ReleaseCause::PrefillFailed => {}
        }
        if message.cause == ReleaseCause::Done {
            let newest = now.duration_since(reservation.granted_at);
            let kept = self.mean_slot_time * (SLOT_TIME_SMOOTHING - 1);
            self.mean_slot_time = (kept + newest) / SLOT_TIME_SMOOTHING;
        }
        let prefill = self.prefills.iter_mut().find(|it| it.entry.name == reservation.prefill);
        let Some(prefill) = prefill else { return };
        match message.cause {
            ReleaseCause::PrefillFailed => prefill.health.record_failure(now),
            ReleaseCause::Done => {
                prefill.health.record_success();
                prefill.prefix_cache.observe(
                    reservation.prefix,
                    message.cached,
                    reservation.prompt,
                );
            }
            ReleaseCause::Cancelled | ReleaseCause::TransferFailed | ReleaseCause::DecodeFailed => {
            }
        }
    }

    /// Replaces the placements of an entry host by those it reports; a new scheduler restores its
    /// state from these reports.
    ///
    /// Placements that the host no longer holds, such as a grant whose answer was lost, are freed.
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
            decode.unplaced_streams.remove(&placement.stream);
            decode.reservations.entry(placement.stream.clone()).or_insert_with(|| {
                SlotReservation {
                    prefill: Name::clone(&placement.prefill),
                    granted_at: now,
                    last_listed: now,
                    prompt: 0,
                    prefix: 0,
                }
            });
            self.placements.insert(placement.stream.clone(), Name::clone(&placement.decode));
        }
    }

    fn drop_placement(&mut self, stream: &StreamId) {
        let Some(name) = self.placements.remove(stream) else {
            return;
        };
        if let Some(decode) = self.decodes.get_mut(&name) {
            decode.reservations.remove(stream);
        }
    }

    /// Reconciles an engine's listing with the placements.
    ///
    /// Returns released streams that the engine still lists.
    pub fn reconcile_listing(
        &mut self,
        engine: &str,
        listing: &StreamListing,
        now: Instant,
    ) -> Vec<StreamId> {
        let listed = || listing.streams.iter().chain(&listing.exports);
        for stream in listed() {
            let decode = self.placements.get(stream).and_then(|it| self.decodes.get_mut(it));
            if let Some(reservation) = decode.and_then(|it| it.reservations.get_mut(stream)) {
                reservation.last_listed = now;
            }
        }
        if let Some(decode) = self.decodes.get_mut(engine) {
            let unplaced_streams =
                listing.streams.iter().filter(|it| !decode.reservations.contains_key(*it));
            let unplaced_streams = unplaced_streams.filter(|it| !self.released.contains_key(*it));
            decode.unplaced_streams = unplaced_streams.cloned().collect();
            let unlisted = decode
                .reservations
                .iter()
                .filter(|(_, it)| now - it.last_listed > UNLISTED_TIMEOUT);
            let unlisted: Vec<StreamId> = unlisted.map(|(stream, _)| stream.clone()).collect();
            for stream in unlisted {
                self.drop_placement(&stream);
            }
        }
        let leftover = |stream: &&StreamId| {
            let released = self.released.get(*stream);
            released.is_some_and(|at| now.duration_since(*at) >= RELEASE_GRACE)
        };
        listed().filter(leftover).cloned().collect()
    }

    /// Records whether an engine answered the periodic listing.
    pub fn record_listing(&mut self, engine: &str, answered: bool) {
        if let Some(decode) = self.decodes.get_mut(engine) {
            decode.health.record_listing(answered);
        }
        if let Some(prefill) = self.prefills.iter_mut().find(|it| &*it.entry.name == engine) {
            prefill.health.record_listing(answered);
        }
    }

    /// Applies cache events of a prefill engine.
    pub fn apply_cache_events(&mut self, engine: &str, events: &[CacheEvent]) {
        if let Some(prefill) = self.prefills.iter_mut().find(|it| &*it.entry.name == engine) {
            prefill.prefix_cache.apply_cache_events(events);
        }
    }

    /// Returns the number of the last cache event of a prefill engine.
    pub fn last_cache_event(&self, engine: &str) -> u64 {
        let prefill = self.prefills.iter().find(|it| &*it.entry.name == engine);
        prefill.map_or(0, |it| it.prefix_cache.last_cache_event())
    }
}
