//! The waiting calls of a service, in the order in which they are served.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_moment::Moment;

use crate::request::CallId;

/// Width of the buckets of on-time calls, by the end of their objective. Predictions are made for
/// whole buckets, so that their cost depends on the objective and not on the number of calls.
const ON_TIME_BUCKET: Duration = Duration::from_millis(10);
/// Width of the buckets of late calls, by their arrival.
const LATE_BUCKET: Duration = Duration::from_millis(50);

/// Order of the buckets; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BucketRank {
    pub(crate) is_late: bool,
    workspace_priority: u32,
    priority: u32,
    /// Index of the bucket.
    index: u128,
}

/// Position of one call; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    pub(crate) rank: BucketRank,
    order_time: Moment,
    sequence: u64,
}

impl BucketRank {
    /// The rank of an on-time call by the end of its objective, or of a late call by its arrival.
    pub(crate) fn new(is_late: bool, priorities: (u32, u32), order_time: Moment) -> Self {
        let width = if is_late { LATE_BUCKET } else { ON_TIME_BUCKET };
        let index = order_time.since(Moment::default()).as_micros() / width.as_micros();
        Self { is_late, workspace_priority: priorities.0, priority: priorities.1, index }
    }

    /// The priorities of the workspace and the route.
    pub(crate) fn priorities(&self) -> (u32, u32) {
        (self.workspace_priority, self.priority)
    }
}

#[derive(Clone, Copy, Debug)]
struct QueuedCall {
    id: CallId,
    /// Time by which it must have ended.
    due: Moment,
}

#[derive(Clone, Debug)]
struct RankBucket {
    calls: BTreeMap<(Moment, u64), QueuedCall>,
    /// Lower bound of the `due` times of the calls.
    earliest: Moment,
}

/// The queue of waiting calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    buckets: BTreeMap<BucketRank, RankBucket>,
    on_time: usize,
    late: usize,
    last_sequence: u64,
}

impl WaitQueue {
    /// Number of waiting on-time calls.
    pub(crate) fn on_time_len(&self) -> usize {
        self.on_time
    }

    pub(crate) fn len(&self) -> usize {
        self.on_time + self.late
    }

    fn count_mut(&mut self, is_late: bool) -> &mut usize {
        if is_late { &mut self.late } else { &mut self.on_time }
    }

    pub(crate) fn insert(
        &mut self,
        rank: BucketRank,
        order_time: Moment,
        id: CallId,
        due: Moment,
    ) -> QueuePosition {
        self.last_sequence += 1;
        let bucket = self
            .buckets
            .entry(rank)
            .or_insert_with(|| RankBucket { calls: BTreeMap::new(), earliest: due });
        bucket.earliest = bucket.earliest.min(due);
        bucket.calls.insert((order_time, self.last_sequence), QueuedCall { id, due });
        let position = QueuePosition { rank, order_time, sequence: self.last_sequence };
        *self.count_mut(rank.is_late) += 1;
        position
    }

    pub(crate) fn remove(&mut self, position: &QueuePosition) {
        let Some(bucket) = self.buckets.get_mut(&position.rank) else { return };
        if bucket.calls.remove(&(position.order_time, position.sequence)).is_some() {
            if bucket.calls.is_empty() {
                self.buckets.remove(&position.rank);
            }
            *self.count_mut(position.rank.is_late) -= 1;
        }
    }

    /// Number of calls of the same kind, on-time or late, that are served before a call of this
    /// rank.
    pub(crate) fn count_ahead(&self, rank: &BucketRank) -> usize {
        let buckets = self.buckets.range(..=*rank);
        let alike = buckets.filter(|(it, _bucket)| it.is_late == rank.is_late);
        alike.map(|(_rank, bucket)| bucket.calls.len()).sum()
    }

    /// The first on-time or late call after a position.
    pub(crate) fn next_after(
        &self,
        is_late: bool,
        after: Option<&QueuePosition>,
    ) -> Option<(QueuePosition, CallId)> {
        let buckets = match after {
            Some(position) => self.buckets.range(position.rank..),
            None => self.buckets.range(..),
        };
        for (rank, bucket) in buckets.filter(|(rank, _bucket)| rank.is_late == is_late) {
            let from = after
                .filter(|position| position.rank == *rank)
                .map_or((Moment::default(), 0), |position| {
                    (position.order_time, position.sequence + 1)
                });
            if let Some((entry, call)) = bucket.calls.range(from..).next() {
                return Some((
                    QueuePosition { rank: *rank, order_time: entry.0, sequence: entry.1 },
                    call.id,
                ));
            }
        }
        None
    }

    /// The calls that are predicted to end too late. `predicted_end` returns the end of a call from
    /// its rank and the number of calls of its kind, on-time or late, ahead of it. Only buckets
    /// whose last call may end too late are searched.
    pub(crate) fn predicted_misses(
        &mut self,
        predicted_end: impl Fn(&BucketRank, usize) -> Moment,
    ) -> Vec<CallId> {
        let (mut misses, mut ahead) = (Vec::new(), [0, 0]);
        for (rank, bucket) in &mut self.buckets {
            let ahead = &mut ahead[usize::from(rank.is_late)];
            let last = *ahead + bucket.calls.len() - 1;
            if predicted_end(rank, last) <= bucket.earliest {
                *ahead += bucket.calls.len();
                continue;
            }
            let mut earliest = None;
            for call in bucket.calls.values() {
                if predicted_end(rank, *ahead) > call.due {
                    misses.push(call.id);
                } else {
                    *ahead += 1;
                    earliest = Some(earliest.map_or(call.due, |it: Moment| it.min(call.due)));
                }
            }
            bucket.earliest = earliest.unwrap_or(bucket.earliest);
        }
        misses
    }
}
