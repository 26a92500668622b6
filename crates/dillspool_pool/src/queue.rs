//! Queue that orders the requests of a pool.
//!
//! Priority classes come first. Within a class, start-time fair queueing applies the groups' shares,
//! and a bound keeps lower classes from starving. See `docs/design/fairness.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_schema::messages::ReserveMessage;
use dillspool_schema::{Name, StreamId};
use tokio::time::Instant;

/// A class with queued requests gets at least this fraction (as its inverse) of the service.
const MIN_SERVICE_DIVISOR: u64 = 20;
/// Virtual time units per microsecond of pool time at share 1.
const VIRTUAL_TIME_SCALE: u64 = 1_000;

/// Arrivals between two removals of idle groups.
const CLEANUP_INTERVAL_ARRIVALS: u64 = 4096;

/// Position of a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTag {
    /// Priority class; 0 is served first.
    pub priority: u32,
    /// Virtual start time within the class.
    pub start: u64,
    /// Arrival number, to break ties.
    pub arrival: u64,
}

/// A request that waits for a placement.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The original request.
    pub message: ReserveMessage,
    /// Deadline of the first token.
    pub first_token_deadline: Instant,
    /// Pool time that the request takes.
    pub cost: Duration,
    /// Target time for each further token.
    pub per_token: Duration,
    /// Priority class; 0 is served first.
    pub priority: u32,
}

#[derive(Debug, Default)]
struct ClassState {
    /// Virtual start time of the last request served.
    virtual_time: u64,
    /// Service owed to the class under the starvation bound, in microseconds.
    deficit_us: u64,
    waiting: usize,
}

/// Queued requests in order of their tags.
#[derive(Debug, Default)]
pub struct FairQueue {
    requests: BTreeMap<QueueTag, QueuedRequest>,
    by_stream: BTreeMap<StreamId, QueueTag>,
    /// Virtual finish time of the last request of each class and group.
    finish_times: BTreeMap<(u32, Name), u64>,
    classes: BTreeMap<u32, ClassState>,
    arrivals: u64,
    /// Arrival number at which idle groups are removed next.
    next_cleanup: u64,
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl FairQueue {
    /// Adds a request of a group with the given share and priority.
    pub fn push(&mut self, request: QueuedRequest, share: u32, priority: u32) -> QueueTag {
        let class = self.classes.entry(priority).or_default();
        let key = (priority, Name::clone(&request.message.group));
        let finish = self.finish_times.entry(key).or_default();
        let start = class.virtual_time.max(*finish);
        *finish = start + micros(request.cost) * VIRTUAL_TIME_SCALE / u64::from(share.max(1));
        class.waiting += 1;
        self.arrivals += 1;
        let tag = QueueTag { priority, start, arrival: self.arrivals };
        self.by_stream.insert(request.message.stream.clone(), tag);
        self.requests.insert(tag, request);
        tag
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Iterates over all requests in order of their tags.
    pub fn iter(&self) -> impl Iterator<Item = (&QueueTag, &QueuedRequest)> {
        self.requests.iter()
    }

    /// Returns the tags in order of service; classes that are owed service come first.
    pub fn service_order(&self) -> Vec<QueueTag> {
        let owed_heads = self.classes.iter().filter_map(|(priority, class)| {
            let head = self.head_of(*priority)?;
            let cost = micros(self.requests.get(&head)?.cost);
            (class.deficit_us > 0 && class.deficit_us >= cost).then_some(head)
        });
        let mut tags: Vec<QueueTag> = owed_heads.collect();
        tags.extend(
            self.requests.keys().filter(|tag| !tags.contains(tag)).copied().collect::<Vec<_>>(),
        );
        tags
    }

    fn head_of(&self, priority: u32) -> Option<QueueTag> {
        let from = QueueTag { priority, start: 0, arrival: 0 };
        let (tag, _) = self.requests.range(from..).next()?;
        (tag.priority == priority).then_some(*tag)
    }

    /// Returns a request by its tag.
    pub fn get(&self, tag: &QueueTag) -> Option<&QueuedRequest> {
        self.requests.get(tag)
    }

    /// Removes a request to serve it, and updates the service owed to each class.
    pub fn serve(&mut self, tag: &QueueTag) -> Option<QueuedRequest> {
        let request = self.remove(tag)?;
        let cost = micros(request.cost);
        for (priority, class) in &mut self.classes {
            if *priority == tag.priority {
                class.virtual_time = class.virtual_time.max(tag.start);
                class.deficit_us = class.deficit_us.saturating_sub(cost);
            } else if class.waiting == 0 {
                class.deficit_us = 0;
            } else if *priority > tag.priority {
                class.deficit_us += cost / MIN_SERVICE_DIVISOR;
            }
        }
        Some(request)
    }

    /// Removes a request without serving it; its group is not charged.
    pub fn withdraw(&mut self, tag: &QueueTag, share: u32) -> Option<QueuedRequest> {
        let request = self.remove(tag)?;
        let key = (tag.priority, Name::clone(&request.message.group));
        if let Some(finish) = self.finish_times.get_mut(&key) {
            let charge = micros(request.cost) * VIRTUAL_TIME_SCALE / u64::from(share.max(1));
            *finish = finish.saturating_sub(charge);
        }
        Some(request)
    }

    /// Returns the tag of a queued stream.
    pub fn tag_of(&self, stream: &StreamId) -> Option<QueueTag> {
        self.by_stream.get(stream).copied()
    }

    fn remove(&mut self, tag: &QueueTag) -> Option<QueuedRequest> {
        let request = self.requests.remove(tag)?;
        self.by_stream.remove(&request.message.stream);
        if let Some(class) = self.classes.get_mut(&tag.priority) {
            class.waiting -= 1;
        }
        Some(request)
    }

    /// Removes groups whose virtual finish time lies behind their class, to bound memory.
    ///
    /// It visits every group, so it does nothing until `CLEANUP_INTERVAL_ARRIVALS` further arrivals.
    pub fn remove_idle_groups(&mut self) {
        if self.arrivals < self.next_cleanup {
            return;
        }
        self.next_cleanup = self.arrivals + CLEANUP_INTERVAL_ARRIVALS;
        let classes = &self.classes;
        self.finish_times.retain(|(priority, _), finish| {
            classes.get(priority).is_some_and(|class| *finish > class.virtual_time)
        });
    }
}
