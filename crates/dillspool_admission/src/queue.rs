//! The queue of requests that wait for an engine.

use std::time::Duration;

use dillspool_moment::Moment;

use crate::request::{PlacementRequest, QueuePriority, TicketId};

/// Position of a request in the queue; the lowest is served first.
///
/// Requests of equal priority are ordered by memory cost, then by arrival.
pub(crate) type QueuePosition = (QueuePriority, u64, Moment);

/// A request in the queue.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) ticket: TicketId,
    pub(crate) request: PlacementRequest,
    pub(crate) queued_at: Moment,
    /// Time from which waiting is no longer useful.
    pub(crate) expires_at: Moment,
    /// Memory that the request will reserve.
    pub(crate) reserve_tokens: u64,
    /// Memory multiplied by the expected time it is held, in tokens x ms; 0 where the cost is
    /// ignored.
    pub(crate) cost: u64,
}

impl QueuedRequest {
    /// The request as of `now`: its remaining times are shortened by its wait.
    pub(crate) fn request_at(&self, now: Moment) -> PlacementRequest {
        let waited = now.since(self.queued_at);
        let mut request = self.request.clone();
        request.objective_left = request.objective_left.saturating_sub(waited);
        request.max_wait = request.max_wait.saturating_sub(waited);
        request.time_left = request.time_left.saturating_sub(waited);
        request
    }

    fn position(&self) -> QueuePosition {
        (self.request.queue_priority(), self.cost, self.queued_at)
    }
}

/// All queued requests in the order in which they are served.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    requests: Vec<QueuedRequest>,
}

impl WaitQueue {
    pub(crate) fn push(&mut self, request: QueuedRequest) {
        let index = self.requests.partition_point(|other| other.position() <= request.position());
        self.requests.insert(index, request);
    }

    pub(crate) fn remove(&mut self, ticket: TicketId) {
        self.requests.retain(|request| request.ticket != ticket);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// The tickets in queue order.
    pub(crate) fn tickets(&self) -> Vec<TicketId> {
        self.requests.iter().map(|request| request.ticket).collect()
    }

    pub(crate) fn get(&self, ticket: TicketId) -> Option<&QueuedRequest> {
        self.requests.iter().find(|request| request.ticket == ticket)
    }

    /// Total memory of the requests that are served before the given position.
    pub(crate) fn tokens_ahead(&self, position: QueuePosition) -> u64 {
        let before = |request: &&QueuedRequest| request.position() <= position;
        self.requests.iter().filter(before).map(|request| request.reserve_tokens).sum()
    }

    /// Wait of the oldest request.
    pub(crate) fn longest_wait(&self, now: Moment) -> Duration {
        self.requests.iter().map(|request| now.since(request.queued_at)).max().unwrap_or_default()
    }
}
