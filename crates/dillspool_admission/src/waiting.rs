//! Requests that wait for an engine, in the order in which they are served.

use std::time::Duration;

use dillspool_moment::Moment;

use crate::request::{PlacementRequest, RequestRank, TicketId};

/// The place of a request in the line; the least goes first.
///
/// What costs less memory goes first among equals, and what has waited longer among those.
pub(crate) type LinePlace = (RequestRank, u64, Moment);

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRecord {
    pub(crate) ticket: TicketId,
    pub(crate) request: PlacementRequest,
    pub(crate) since: Moment,
    /// When waiting any longer is of no use.
    pub(crate) give_up: Moment,
    /// Memory that it will reserve.
    pub(crate) tokens: u64,
    /// Memory times the time for which it is mostly held, in tokens x ms; 0 where that does not count.
    pub(crate) cost: u64,
}

impl WaitingRecord {
    /// The request as it stands at a moment: the times that it has left are shorter by its wait.
    pub(crate) fn request_at(&self, now: Moment) -> PlacementRequest {
        let waited = now.since(self.since);
        let mut request = self.request.clone();
        request.objective_left = request.objective_left.saturating_sub(waited);
        request.max_wait = request.max_wait.saturating_sub(waited);
        request.time_left = request.time_left.saturating_sub(waited);
        request
    }

    fn place(&self) -> LinePlace {
        (self.request.rank(), self.cost, self.since)
    }
}

/// All requests that wait, first to be served first.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingLine {
    records: Vec<WaitingRecord>,
}

impl WaitingLine {
    pub(crate) fn push(&mut self, record: WaitingRecord) {
        let at = self.records.partition_point(|other| other.place() <= record.place());
        self.records.insert(at, record);
    }

    pub(crate) fn remove(&mut self, ticket: TicketId) {
        self.records.retain(|record| record.ticket != ticket);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// The tickets in order.
    pub(crate) fn tickets(&self) -> Vec<TicketId> {
        self.records.iter().map(|record| record.ticket).collect()
    }

    pub(crate) fn get(&self, ticket: TicketId) -> Option<&WaitingRecord> {
        self.records.iter().find(|record| record.ticket == ticket)
    }

    /// Memory that those will take who are served before a request of this place.
    pub(crate) fn tokens_ahead(&self, place: LinePlace) -> u64 {
        let before = |record: &&WaitingRecord| record.place() <= place;
        self.records.iter().filter(before).map(|record| record.tokens).sum()
    }

    /// How long the first has waited.
    pub(crate) fn longest_wait(&self, now: Moment) -> Duration {
        self.records.iter().map(|record| now.since(record.since)).max().unwrap_or_default()
    }
}
