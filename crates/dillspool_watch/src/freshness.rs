//! How old this host's replica of one table is.
//!
//! Freshness is tracked for each table, since polls of different tables succeed, fail and are
//! relayed independently. If any response counted for all tables, a host would serve an outdated
//! configuration, and relay it as current, for as long as the other tables keep changing.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_io::{HostClock, StallDetector};
use dillspool_moment::Moment;

/// Times at which a table was known to be complete.
#[derive(Clone, Copy, Debug, Default)]
struct FreshnessTimes {
    /// From the store's response to this host's own poll.
    polled_at: Option<Moment>,
    /// From a peer's relay message.
    relayed_at: Option<Moment>,
}

/// When a table was last known to be complete.
#[derive(Clone, Debug)]
pub(crate) struct TableFreshness {
    times: Arc<Mutex<FreshnessTimes>>,
    awake: StallDetector,
}

impl TableFreshness {
    pub(crate) fn new(awake: StallDetector) -> Self {
        Self { times: Arc::default(), awake }
    }

    /// The clock that the table's age is measured by.
    pub(crate) fn clock(&self) -> &HostClock {
        self.awake.clock()
    }

    /// The latest time that a response awaited since `since` can reflect; earlier than now if the
    /// host was suspended while it waited.
    pub(crate) fn valid_as_of(&self, since: Moment) -> Moment {
        self.awake.observed_at(since)
    }

    fn with<T>(&self, run: impl FnOnce(&mut FreshnessTimes) -> T) -> T {
        run(&mut self.times.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records that a poll of the store returned the table as of a given time.
    pub(crate) fn record_poll(&self, as_of: Moment) {
        self.with(|times| times.polled_at = times.polled_at.max(Some(as_of)));
    }

    /// Records that a peer knew the table to be complete as of a given time.
    pub(crate) fn record_relayed(&self, as_of: Option<Moment>) {
        self.with(|times| times.relayed_at = times.relayed_at.max(as_of));
    }

    /// Until when a peer's message replaces this host's own poll, if it counts as fresh for
    /// `fresh`.
    pub(crate) fn fresh_until(&self, fresh: Duration) -> Option<Moment> {
        self.with(|times| times.relayed_at.map(|as_of| as_of + fresh))
    }

    /// Time since the table was complete according to the last relay message; `None` without any.
    pub(crate) fn since_relayed(&self) -> Option<Duration> {
        self.with(|times| times.relayed_at).map(|as_of| self.clock().since(as_of))
    }

    /// Time since the table was last known to be complete, by this host's own poll or a relay
    /// message. This host relays the table with the same age.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.with(|times| times.polled_at.max(times.relayed_at))
            .map(|as_of| self.clock().since(as_of))
    }
}
