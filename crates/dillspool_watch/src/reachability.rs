//! Whether and how recently the store was reachable from this host, directly or through a peer.

use dillspool_platform::StoreEra;
use tokio::sync::watch;
use tokio::time::Instant;

/// Whether this host receives updates from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReachability {
    /// Whether the store answered this host's last call.
    pub direct: bool,
    /// Whether a peer that reaches the store relays its tables to this host.
    pub relayed: bool,
    /// When the store last became reachable or unreachable.
    pub since: Instant,
    /// When the store last answered a call of this host, for any table. It shows that the store can
    /// be polled, not that a particular table is fresh ([`crate::SharedReplica::age`]).
    pub last_answered: Option<Instant>,
    /// Newest era seen in any of the store's tables.
    pub era: StoreEra,
}

impl StoreReachability {
    /// The initial state, before any response.
    pub fn unknown() -> Self {
        Self {
            direct: false,
            relayed: false,
            since: Instant::now(),
            last_answered: None,
            era: StoreEra::default(),
        }
    }

    /// Whether this host's replicas are backed by a store that answers.
    pub fn is_reachable(&self) -> bool {
        self.direct || self.relayed
    }
}

/// Changes the state, and logs when the store becomes reachable or unreachable.
pub(crate) fn update(
    status: &watch::Sender<StoreReachability>,
    cause: &str,
    change: impl FnOnce(&mut StoreReachability),
) {
    status.send_if_modified(|state| {
        let before = *state;
        change(state);
        if state.is_reachable() != before.is_reachable() {
            let before_ms = before.since.elapsed().as_millis();
            let event = if state.is_reachable() { "store_regained" } else { "store_lost" };
            log::info!("event={event} after_ms={before_ms} cause=\"{cause}\"");
            state.since = Instant::now();
        }
        // A change of timestamps alone does not notify receivers.
        state.direct != before.direct || state.relayed != before.relayed || state.era != before.era
    });
}
