//! The order in which waiting requests are served.
//!
//! Priority classes first, within a class start-time fair queueing over the groups' shares, with
//! a bound that keeps lower classes from starving. See `docs/design/fairness.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_schema::messages::ReserveMessage;
use dillspool_schema::{Name, StreamId};
use tokio::time::Instant;

/// Part of the service that a class with work waiting gets at least, one in this many.
const STARVATION_BOUND: u64 = 20;
/// Virtual time units of a microsecond of pool time at share 1.
const TAG_SCALE: u64 = 1_000;

/// Arrivals after which idle groups are forgotten.
const FORGET_EVERY: u64 = 4096;

/// Place of a request in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTag {
    /// Priority class, 0 first.
    pub priority: u32,
    /// Virtual start time within the class.
    pub start: u64,
    /// Order of arrival, to break ties.
    pub arrival: u64,
}

/// A request that waits for a placement.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// What was asked.
    pub message: ReserveMessage,
    /// When the first token is due.
    pub first_token_deadline: Instant,
    /// Share of the pool's time that the request takes.
    pub cost: Duration,
    /// Target for each further token.
    pub per_token: Duration,
    /// Priority class, 0 first.
    pub priority: u32,
}

#[derive(Debug, Default)]
struct ClassState {
    /// Virtual time of the request served last.
    virtual_time: u64,
    /// Service owed to the class by the starvation bound, in microseconds.
    owed: u64,
    waiting: usize,
}

/// Waiting requests in their order of service.
#[derive(Debug, Default)]
pub struct FairQueue {
    order: BTreeMap<QueueTag, QueuedRequest>,
    by_stream: BTreeMap<StreamId, QueueTag>,
    /// Virtual finish time of each group's last request, by class and group.
    finish: BTreeMap<(u32, Name), u64>,
    classes: BTreeMap<u32, ClassState>,
    arrivals: u64,
    /// Count of arrivals at which idle groups are forgotten next.
    forget_at: u64,
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl FairQueue {
    /// Adds a request of a group with this share and priority.
    pub fn push(&mut self, request: QueuedRequest, share: u32, priority: u32) -> QueueTag {
        let class = self.classes.entry(priority).or_default();
        let key = (priority, Name::clone(&request.message.group));
        let finish = self.finish.entry(key).or_default();
        let start = class.virtual_time.max(*finish);
        *finish = start + micros(request.cost) * TAG_SCALE / u64::from(share.max(1));
        class.waiting += 1;
        self.arrivals += 1;
        let tag = QueueTag { priority, start, arrival: self.arrivals };
        self.by_stream.insert(request.message.stream.clone(), tag);
        self.order.insert(tag, request);
        tag
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// All requests in order of tags.
    pub fn iter(&self) -> impl Iterator<Item = (&QueueTag, &QueuedRequest)> {
        self.order.iter()
    }

    /// Tags in the order of service: a class that is owed service comes first.
    pub fn service_order(&self) -> Vec<QueueTag> {
        let owed = self.classes.iter().filter_map(|(priority, class)| {
            let head = self.head_of(*priority)?;
            let cost = micros(self.order.get(&head)?.cost);
            (class.owed > 0 && class.owed >= cost).then_some(head)
        });
        let mut tags: Vec<QueueTag> = owed.collect();
        tags.extend(
            self.order.keys().filter(|tag| !tags.contains(tag)).copied().collect::<Vec<_>>(),
        );
        tags
    }

    fn head_of(&self, priority: u32) -> Option<QueueTag> {
        let from = QueueTag { priority, start: 0, arrival: 0 };
        let (tag, _) = self.order.range(from..).next()?;
        (tag.priority == priority).then_some(*tag)
    }

    /// A request by its tag.
    pub fn get(&self, tag: &QueueTag) -> Option<&QueuedRequest> {
        self.order.get(tag)
    }

    /// Takes a request out because it is served: its class and the others are charged.
    pub fn serve(&mut self, tag: &QueueTag) -> Option<QueuedRequest> {
        let request = self.take(tag)?;
        let cost = micros(request.cost);
        for (priority, class) in &mut self.classes {
            if *priority == tag.priority {
                class.virtual_time = class.virtual_time.max(tag.start);
                class.owed = class.owed.saturating_sub(cost);
            } else if class.waiting == 0 {
                class.owed = 0;
            } else if *priority > tag.priority {
                class.owed += cost / STARVATION_BOUND;
            }
        }
        Some(request)
    }

    /// Takes a request out unserved; its group is not charged for it.
    pub fn withdraw(&mut self, tag: &QueueTag, share: u32) -> Option<QueuedRequest> {
        let request = self.take(tag)?;
        let key = (tag.priority, Name::clone(&request.message.group));
        if let Some(finish) = self.finish.get_mut(&key) {
            let charge = micros(request.cost) * TAG_SCALE / u64::from(share.max(1));
            *finish = finish.saturating_sub(charge);
        }
        Some(request)
    }

    /// Tag of a waiting stream.
    pub fn tag_of(&self, stream: &StreamId) -> Option<QueueTag> {
        self.by_stream.get(stream).copied()
    }

    fn take(&mut self, tag: &QueueTag) -> Option<QueuedRequest> {
        let request = self.order.remove(tag)?;
        self.by_stream.remove(&request.message.stream);
        if let Some(class) = self.classes.get_mut(&tag.priority) {
            class.waiting -= 1;
        }
        Some(request)
    }

    /// Forgets groups whose virtual finish lies behind their class, to bound the memory.
    ///
    /// It looks at every group, so it does so only once for many served requests.
    pub fn remove_idle_groups(&mut self) {
        if self.arrivals < self.forget_at {
            return;
        }
        self.forget_at = self.arrivals + FORGET_EVERY;
        let classes = &self.classes;
        self.finish.retain(|(priority, _), finish| {
            classes.get(priority).is_some_and(|class| *finish > class.virtual_time)
        });
    }
}
