//! Calls that wait, in the order in which they are served.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_moment::Moment;

use crate::request::CallId;

/// Span of the ends of objectives that one group of calls on time has. Predictions are made for whole groups,
/// so that their cost follows from the objective and not from the number of calls.
const ON_TIME_SPAN: Duration = Duration::from_millis(10);
/// Span of the arrivals that one group of late calls has.
const LATE_SPAN: Duration = Duration::from_millis(50);

/// Order of the groups; the least is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LineRank {
    pub(crate) is_late: bool,
    workspace_priority: u32,
    priority: u32,
    /// Number of the span.
    span: u128,
}

/// Place of one call; the least is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LineKey {
    pub(crate) rank: LineRank,
    moment: Moment,
    entry: u64,
}

impl LineRank {
    /// The rank of a call on time by the end of its objective, or of a late one by its arrival.
    pub(crate) fn new(is_late: bool, priorities: (u32, u32), moment: Moment) -> Self {
        let span = if is_late { LATE_SPAN } else { ON_TIME_SPAN };
        let span = moment.since(Moment::default()).as_micros() / span.as_micros();
        Self { is_late, workspace_priority: priorities.0, priority: priorities.1, span }
    }

    /// The priorities of the workspace and the route.
    pub(crate) fn priorities(&self) -> (u32, u32) {
        (self.workspace_priority, self.priority)
    }
}

#[derive(Clone, Copy, Debug)]
struct LineCall {
    id: CallId,
    /// When it must have ended.
    due: Moment,
}

#[derive(Clone, Debug)]
struct RankGroup {
    calls: BTreeMap<(Moment, u64), LineCall>,
    /// No call must have ended before this.
    earliest: Moment,
}

/// The calls that wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitLine {
    groups: BTreeMap<LineRank, RankGroup>,
    on_time: usize,
    late: usize,
    entries: u64,
}

impl WaitLine {
    /// Calls on time that wait.
    pub(crate) fn on_time(&self) -> usize {
        self.on_time
    }

    pub(crate) fn len(&self) -> usize {
        self.on_time + self.late
    }

    fn count(&mut self, is_late: bool) -> &mut usize {
        if is_late { &mut self.late } else { &mut self.on_time }
    }

    pub(crate) fn enter(
        &mut self,
        rank: LineRank,
        moment: Moment,
        id: CallId,
        due: Moment,
    ) -> LineKey {
        self.entries += 1;
        let group = self
            .groups
            .entry(rank)
            .or_insert_with(|| RankGroup { calls: BTreeMap::new(), earliest: due });
        group.earliest = group.earliest.min(due);
        group.calls.insert((moment, self.entries), LineCall { id, due });
        let key = LineKey { rank, moment, entry: self.entries };
        *self.count(rank.is_late) += 1;
        key
    }

    pub(crate) fn leave(&mut self, key: &LineKey) {
        let Some(group) = self.groups.get_mut(&key.rank) else { return };
        if group.calls.remove(&(key.moment, key.entry)).is_some() {
            if group.calls.is_empty() {
                self.groups.remove(&key.rank);
            }
            *self.count(key.rank.is_late) -= 1;
        }
    }

    /// Calls of the same kind, on time or late, that are served before a call of this rank.
    pub(crate) fn ahead(&self, rank: &LineRank) -> usize {
        let groups = self.groups.range(..=*rank);
        let alike = groups.filter(|(it, _group)| it.is_late == rank.is_late);
        alike.map(|(_rank, group)| group.calls.len()).sum()
    }

    /// The first call, on time or late, after a place.
    pub(crate) fn next(&self, is_late: bool, after: Option<&LineKey>) -> Option<(LineKey, CallId)> {
        let groups = match after {
            Some(key) => self.groups.range(key.rank..),
            None => self.groups.range(..),
        };
        for (rank, group) in groups.filter(|(rank, _group)| rank.is_late == is_late) {
            let from = after
                .filter(|key| key.rank == *rank)
                .map_or((Moment::default(), 0), |key| (key.moment, key.entry + 1));
            if let Some((place, call)) = group.calls.range(from..).next() {
                return Some((LineKey { rank: *rank, moment: place.0, entry: place.1 }, call.id));
            }
        }
        None
    }

    /// The calls that are predicted to end too late. `predicted` has the end of a call from its rank and
    /// the number of calls of its kind, on time or late, ahead of it. Only groups of which the last call may fail are looked into.
    pub(crate) fn failing(
        &mut self,
        predicted: impl Fn(&LineRank, usize) -> Moment,
    ) -> Vec<CallId> {
        let (mut failing, mut ahead) = (Vec::new(), [0, 0]);
        for (rank, group) in &mut self.groups {
            let ahead = &mut ahead[usize::from(rank.is_late)];
            let last = *ahead + group.calls.len() - 1;
            if predicted(rank, last) <= group.earliest {
                *ahead += group.calls.len();
                continue;
            }
            let mut earliest = None;
            for call in group.calls.values() {
                if predicted(rank, *ahead) > call.due {
                    failing.push(call.id);
                } else {
                    *ahead += 1;
                    earliest = Some(earliest.map_or(call.due, |it: Moment| it.min(call.due)));
                }
            }
            group.earliest = earliest.unwrap_or(group.earliest);
        }
        failing
    }
}
