//! Which backend servers ended under which requests, and what follows for the next copy.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;

use crate::policy::{CrashAttribution, SuspectPolicy};
use crate::print::RequestFingerprint;
use crate::recent::RecentPrints;

/// Ends that are kept of a request, the newest; more decide nothing.
const MOST_ENDS: usize = 8;
/// Part of the requests that go when there are too many, so that room is not made for each anew.
const DROPPED_PART: usize = 8;

/// Time within which ends count as of one moment: a host finds each within a round trip of the break.
const SAME_MOMENT: Duration = Duration::from_millis(100);

/// Names one start of a backend server.
pub type CrashedInstance = Arc<str>;

/// A backend server ended while a request ran there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendCrash {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The start that ended.
    pub backend: CrashedInstance,
    /// When that was found.
    pub at: Moment,
}

/// Something that one host learnt, and that others should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectUpdate {
    /// A backend server ended under a request.
    Crashed(BackendCrash),
    /// A copy of a request under which some had ended came to a good end.
    Succeeded {
        /// The request.
        fingerprint: RequestFingerprint,
        /// When.
        at: Moment,
    },
}

/// What is done with a copy of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectDecision {
    /// Nothing is known against it.
    Clear,
    /// Backend servers have ended under it, too few to refuse it: one copy runs at a time.
    Watched {
        /// Ends in a row.
        ends: usize,
    },
    /// It was refused for long enough: one copy shows whether it still does harm.
    Trial {
        /// Ends in a row.
        ends: usize,
    },
    /// It is not sent to any backend server.
    Refused {
        /// Ends in a row.
        ends: usize,
    },
}

impl SuspectDecision {
    /// Ends in a row.
    pub fn ends(self) -> usize {
        match self {
            Self::Clear => 0,
            Self::Watched { ends } | Self::Trial { ends } | Self::Refused { ends } => ends,
        }
    }
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct SuspectRecord {
    ends: Vec<(CrashedInstance, Moment)>,
    /// When it last came to a good end; only what ended since stands against it.
    whole_at: Option<Moment>,
}

impl SuspectRecord {
    /// The ends in a row.
    fn in_row(&self) -> impl Iterator<Item = &(CrashedInstance, Moment)> {
        self.ends.iter().filter(|(_backend, at)| self.whole_at.is_none_or(|whole| *at > whole))
    }

    fn latest(&self) -> Moment {
        self.ends.iter().map(|(_backend, at)| *at).max().unwrap_or_default()
    }
}

/// What ran at a start that ended.
#[derive(Clone, Debug)]
struct EndedRuns {
    prints: Vec<RequestFingerprint>,
    /// When the end was found, as it was told first.
    at: Moment,
}

/// Requests under which backend servers ended.
///
/// A crash breaks off all that ran there, so each end stands against many requests of which one at most is
/// to blame: the one whose copies end others, too. `docs/design/suspects.md` has the ways that were weighed.
#[derive(Clone, Debug)]
pub struct SuspectRegistry {
    policy: SuspectPolicy,
    records: HashMap<RequestFingerprint, SuspectRecord>,
    /// The requests that ran at each start that ended.
    by_backend: HashMap<CrashedInstance, EndedRuns>,
    /// The same starts in the order of their ends.
    by_moment: BTreeSet<(Moment, CrashedInstance)>,
    /// Requests that came to a good end here, with ends under them or none.
    recent: RecentPrints,
}

impl SuspectRegistry {
    /// An empty book.
    pub fn new(policy: SuspectPolicy) -> Self {
        Self {
            policy,
            records: HashMap::new(),
            by_backend: HashMap::new(),
            by_moment: BTreeSet::new(),
            recent: RecentPrints::new(policy.max_fingerprints),
        }
    }

    /// Notes an end; whether it was not known before.
    pub fn record_crash(&mut self, end: &BackendCrash) -> bool {
        let record = self.records.entry(end.fingerprint).or_default();
        if record.ends.iter().any(|(backend, _at)| *backend == end.backend) {
            return false;
        }
        record.ends.push((Arc::clone(&end.backend), end.at));
        let oldest = (record.ends.len() > MOST_ENDS).then(|| record.ends.remove(0).0);
        if let Some(oldest) = oldest {
            self.unlink(end.fingerprint, &oldest);
        }
        self.link(end);
        if self.records.len() > self.policy.max_fingerprints {
            self.make_room(end.at);
        }
        true
    }

    /// Notes that a copy came to a good end; whether that cleared anything.
    pub fn record_success(&mut self, print: RequestFingerprint, at: Moment) -> bool {
        self.recent.note(print);
        let Some(record) = self.records.get_mut(&print) else { return false };
        let cleared = record.in_row().any(|(_backend, ended_at)| *ended_at <= at);
        record.whole_at = record.whole_at.max(Some(at));
        cleared
    }

    /// What is done with a copy that comes now.
    pub fn decide(&self, print: RequestFingerprint, now: Moment) -> SuspectDecision {
        let Some(record) = self.records.get(&print) else { return SuspectDecision::Clear };
        let ends = self.count(print, record.in_row());
        let rested = now.since(record.latest());
        let refused = ends >= self.policy.always_refuse_after
            || self.weigh(print, record) >= self.policy.refuse_after;
        match (refused, ends) {
            (_, 0) => SuspectDecision::Clear,
            (true, ends) if rested < self.policy.refusal_time(ends) => {
                SuspectDecision::Refused { ends }
            }
            (true, ends) if rested < self.policy.retention => SuspectDecision::Trial { ends },
            (false, ends) if rested < self.policy.watch_period => SuspectDecision::Watched { ends },
            (true | false, _) => SuspectDecision::Clear,
        }
    }

    /// The ends in a row under a request.
    pub fn crashes(&self, print: RequestFingerprint) -> Vec<BackendCrash> {
        let record = self.records.get(&print);
        let ends = record.into_iter().flat_map(SuspectRecord::in_row);
        ends.map(|(backend, at)| BackendCrash {
            fingerprint: print,
            backend: Arc::clone(backend),
            at: *at,
        })
        .collect()
    }

    /// The ends in a row under all requests.
    pub fn all_crashes(&self) -> Vec<BackendCrash> {
        self.records.keys().flat_map(|print| self.crashes(*print)).collect()
    }

    /// Whether one more end would have it refused.
    pub fn is_near_refusal(&self, print: RequestFingerprint, now: Moment) -> bool {
        self.decide(print, now).ends() + 1 >= self.policy.refuse_after
    }

    /// The ends in a row that count against it.
    fn weigh(&self, print: RequestFingerprint, record: &SuspectRecord) -> usize {
        let own = record.in_row().count();
        let is_singled = |runs: &EndedRuns| self.most_ends(&runs.prints, Some(print)) < own;
        let counts = |backend: &CrashedInstance| {
            let Some(runs) = self.by_backend.get(backend) else { return true };
            match self.policy.attribution {
                CrashAttribution::Each => true,
                CrashAttribution::Singled => is_singled(runs),
                CrashAttribution::Unexplained => {
                    is_singled(runs) && !self.has_common_cause(print, own, runs.at)
                }
            }
        };
        self.count(print, record.in_row().filter(|(backend, _at)| counts(backend)))
    }

    /// Counts ends. Of a request that came to a good end those of one moment are one: many ask it alike, it
    /// runs at many backend servers, and what ends several of these at once is not the request, which ended
    /// none before.
    fn count<'a>(
        &self,
        print: RequestFingerprint,
        ends: impl Iterator<Item = &'a (CrashedInstance, Moment)>,
    ) -> usize {
        if !self.recent.contains(print) {
            return ends.count();
        }
        let mut moments: Vec<Moment> = ends.map(|(_backend, at)| *at).collect();
        moments.sort_unstable();
        moments.dedup_by(|later, first| later.since(*first) <= SAME_MOMENT);
        moments.len()
    }

    /// Whether another backend server ended at the same moment, where neither the request ran nor another
    /// one under which as many have ended.
    fn has_common_cause(&self, print: RequestFingerprint, own: usize, at: Moment) -> bool {
        let first = (at.saturating_sub(SAME_MOMENT), CrashedInstance::from(""));
        let last = at + SAME_MOMENT;
        let near = self.by_moment.range(first..).take_while(|(at, _other)| *at <= last);
        let mut others = near.filter_map(|(_at, other)| self.by_backend.get(other));
        others.any(|other| {
            !other.prints.contains(&print) && self.most_ends(&other.prints, None) < own
        })
    }

    /// The most ends in a row under one of these requests, but for one of them.
    fn most_ends(
        &self,
        prints: &[RequestFingerprint],
        except: Option<RequestFingerprint>,
    ) -> usize {
        let others = prints.iter().filter(|other| Some(**other) != except);
        let records = others.filter_map(|other| self.records.get(other));
        records.map(|record| record.in_row().count()).max().unwrap_or_default()
    }

    /// Requests that are watched, and those that are refused or tried.
    pub fn counts(&self, now: Moment) -> (usize, usize) {
        let mut counts = (0, 0);
        for print in self.records.keys() {
            match self.decide(*print, now) {
                SuspectDecision::Clear => {}
                SuspectDecision::Watched { .. } => counts.0 += 1,
                SuspectDecision::Trial { .. } | SuspectDecision::Refused { .. } => counts.1 += 1,
            }
        }
        counts
    }

    /// Forgets what stands against nobody any more.
    pub fn remove_expired(&mut self, now: Moment) {
        let prints: Vec<RequestFingerprint> = self.records.keys().copied().collect();
        for print in prints {
            // One that came to a good end stays as long: rows of other hosts may still tell of its ends.
            let rested = self.records.get(&print).map(|record| now.since(record.latest()));
            let is_old = rested.is_none_or(|rested| rested >= self.policy.watch_period);
            if is_old && self.decide(print, now) == SuspectDecision::Clear {
                self.remove(print);
            }
        }
    }

    fn make_room(&mut self, now: Moment) {
        self.remove_expired(now);
        let excess = self.records.len().saturating_sub(self.policy.max_fingerprints);
        if excess == 0 {
            return;
        }
        let mut order: Vec<(usize, Moment, RequestFingerprint)> = self
            .records
            .iter()
            .map(|(print, record)| (record.in_row().count(), record.latest(), *print))
            .collect();
        order.sort_unstable();
        let dropped = excess.max(self.policy.max_fingerprints / DROPPED_PART);
        for (_ends, _latest, print) in order.into_iter().take(dropped) {
            self.remove(print);
        }
    }

    fn remove(&mut self, print: RequestFingerprint) {
        let Some(record) = self.records.remove(&print) else { return };
        for (backend, _at) in &record.ends {
            self.unlink(print, backend);
        }
    }

    fn link(&mut self, end: &BackendCrash) {
        let new = || EndedRuns { prints: Vec::new(), at: end.at };
        let runs = self.by_backend.entry(Arc::clone(&end.backend)).or_insert_with(new);
        runs.prints.push(end.fingerprint);
        self.by_moment.insert((runs.at, Arc::clone(&end.backend)));
    }

    fn unlink(&mut self, print: RequestFingerprint, backend: &CrashedInstance) {
        let Some(runs) = self.by_backend.get_mut(backend) else { return };
        runs.prints.retain(|other| *other != print);
        if runs.prints.is_empty() {
            self.by_moment.remove(&(runs.at, Arc::clone(backend)));
            self.by_backend.remove(backend);
        }
    }
}
