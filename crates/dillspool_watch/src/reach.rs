//! Whether and how recently this host hears from the store, by itself or through a peer.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// What this host hears from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReach {
    /// Whether the store answered this host's own last call.
    pub direct: bool,
    /// Whether a peer that reaches the store relays its tables to this host.
    pub relayed: bool,
    /// When the store came into reach, or went out of it.
    pub since: Instant,
    /// When the store last answered this host itself.
    pub answered: Option<Instant>,
    /// Newest moment at which a relaying peer knew the store's tables to be complete.
    pub relayed_as_of: Option<Instant>,
}

impl StoreReach {
    /// The start: nothing was heard yet.
    pub fn unknown() -> Self {
        Self {
            direct: false,
            relayed: false,
            since: Instant::now(),
            answered: None,
            relayed_as_of: None,
        }
    }

    /// Whether what this host believes comes from a store that answers.
    pub fn is_reachable(&self) -> bool {
        self.direct || self.relayed
    }

    /// Until when a peer's word spares this host its own questions, if it counts for so long.
    pub(crate) fn spared_until(&self, fresh: Duration) -> Option<Instant> {
        self.relayed_as_of.map(|as_of| as_of + fresh)
    }

    /// Time since the store's tables were last known to be complete, by this host itself or by what
    /// is relayed to it; what it relays in turn is as old.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.answered.max(self.relayed_as_of).map(|as_of| as_of.elapsed())
    }
}

/// Changes the state, and logs when the store comes into reach or goes out of it.
pub(crate) fn note(
    reach: &watch::Sender<StoreReach>,
    cause: &str,
    change: impl FnOnce(&mut StoreReach),
) {
    reach.send_if_modified(|state| {
        let before = *state;
        change(state);
        if state.is_reachable() != before.is_reachable() {
            let before_ms = before.since.elapsed().as_millis();
            let event = if state.is_reachable() { "store_regained" } else { "store_lost" };
            log::info!("event={event} after_ms={before_ms} cause=\"{cause}\"");
            state.since = Instant::now();
        }
        // Moments alone wake nobody.
        state.direct != before.direct || state.relayed != before.relayed
    });
}
