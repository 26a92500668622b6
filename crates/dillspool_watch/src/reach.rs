//! Whether and how recently this host hears from the store, by itself or through a peer.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// Time since the store's last answer, heard through a peer, for which this host does not ask the
/// store itself. A change must be in force within two seconds on the strictest site, and the
/// direct question that follows takes some milliseconds.
pub(crate) const FRESH_LIMIT: Duration = Duration::from_millis(1600);

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

    /// Until when a peer's word spares this host its own questions.
    pub(crate) fn spared_until(&self) -> Option<Instant> {
        self.relayed_as_of.filter(|_as_of| self.relayed).map(|as_of| as_of + FRESH_LIMIT)
    }

    /// Time since the store was last heard by this host itself.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.answered.map(|answered| answered.elapsed())
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
