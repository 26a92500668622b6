//! How old this host's knowledge of one table is.
//!
//! What is learnt of one table says nothing of another: their questions are answered, lost and
//! relayed one by one. A host that took any answer as news of all tables would serve an old
//! configuration, and relay it as new, for as long as the other tables change.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::{AwakeWatch, HostClock};
use dillspool_moment::Moment;

/// Moments at which a table was known to be complete.
#[derive(Clone, Copy, Debug, Default)]
struct AgeMoments {
    /// By the store's answer to this host's own question.
    answered: Option<Moment>,
    /// By the word of a peer.
    relayed: Option<Moment>,
}

/// When a table was last known to be complete.
#[derive(Clone, Debug)]
pub(crate) struct TableAge {
    moments: Arc<Mutex<AgeMoments>>,
    awake: AwakeWatch,
}

impl TableAge {
    pub(crate) fn new(awake: AwakeWatch) -> Self {
        Self { moments: Arc::default(), awake }
    }

    /// The clock by which the table grows old.
    pub(crate) fn clock(&self) -> &HostClock {
        self.awake.clock()
    }

    /// The moment up to which an answer that was waited for since a moment tells of the table.
    pub(crate) fn heard_at(&self, since: Moment) -> Moment {
        self.awake.heard_at(since)
    }

    fn with<T>(&self, run: impl FnOnce(&mut AgeMoments) -> T) -> T {
        run(&mut self.moments.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Notes that the store's answer showed the table as it was at a moment.
    pub(crate) fn note_answered(&self, as_of: Moment) {
        self.with(|moments| moments.answered = moments.answered.max(Some(as_of)));
    }

    /// Notes that a peer knew the table to be complete at a moment.
    pub(crate) fn note_relayed(&self, as_of: Option<Moment>) {
        self.with(|moments| moments.relayed = moments.relayed.max(as_of));
    }

    /// Until when a peer's word spares this host its own question, if it counts for so long.
    pub(crate) fn spared_until(&self, fresh: Duration) -> Option<Moment> {
        self.with(|moments| moments.relayed.map(|as_of| as_of + fresh))
    }

    /// Time since the moment that the last word of a peer told of; `None` without any.
    pub(crate) fn unheard(&self) -> Option<Duration> {
        self.with(|moments| moments.relayed).map(|as_of| self.clock().since(as_of))
    }

    /// Time since the table was last known to be complete, by this host's own question or by a peer's
    /// word; what this host relays is as old.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.with(|moments| moments.answered.max(moments.relayed))
            .map(|as_of| self.clock().since(as_of))
    }
}
