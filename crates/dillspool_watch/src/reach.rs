//! Whether and how recently this host hears from the store, by itself or through a peer.

use dillspool_platform::StoreEra;
use tokio::sync::watch;
use tokio::time::Instant;

/// What this host hears from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReachability {
    /// Whether the store answered this host's own last call.
    pub direct: bool,
    /// Whether a peer that reaches the store relays its tables to this host.
    pub relayed: bool,
    /// When the store came into reach, or went out of it.
    pub since: Instant,
    /// When the store last answered this host itself, about any table; shows that it can be asked, and
    /// says nothing of a table ([`crate::SharedReplica::age`]).
    pub last_answered: Option<Instant>,
    /// Newest era that one of the store's tables was seen in.
    pub era: StoreEra,
}

impl StoreReachability {
    /// The start: nothing was heard yet.
    pub fn unknown() -> Self {
        Self {
            direct: false,
            relayed: false,
            since: Instant::now(),
            last_answered: None,
            era: StoreEra::default(),
        }
    }

    /// Whether what this host believes comes from a store that answers.
    pub fn is_reachable(&self) -> bool {
        self.direct || self.relayed
    }
}

/// Changes the state, and logs when the store comes into reach or goes out of it.
pub(crate) fn note(
    reach: &watch::Sender<StoreReachability>,
    cause: &str,
    change: impl FnOnce(&mut StoreReachability),
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
        state.direct != before.direct || state.relayed != before.relayed || state.era != before.era
    });
}
