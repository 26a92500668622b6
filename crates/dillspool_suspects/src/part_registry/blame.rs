//! Finds the part to blame for crashes.

use std::cmp::Reverse;
use std::collections::HashSet;

use dillspool_moment::Moment;

use super::{PART_SIMULTANEOUS_WINDOW, PartRegistry};
use crate::crash_index::{CrashIndex, distinct_moments};
use crate::crash_record::CrashRecord;
use crate::fingerprint::RequestFingerprint;
use crate::part_policy::PartAttribution;
use crate::registry::CrashedInstance;

/// Number of crashes from which on a part counts as a companion although one report of it is missing:
/// the host that saw it may have died.
const MIN_CRASHES_FOR_MISSING: usize = 4;

/// A part that may be refused.
pub(super) struct PartCandidate {
    pub(super) part: RequestFingerprint,
    pub(super) crashes: Vec<CrashedInstance>,
    pub(super) is_proven: bool,
}

impl PartRegistry {
    /// Other parts that were present in all crashes of a candidate, as far as these were reported. If
    /// answers have recently begun well on the candidate, so they have on its companions.
    pub(super) fn companions(&self, candidate: &PartCandidate) -> Vec<RequestFingerprint> {
        let crashes = &candidate.crashes;
        let max_missing = usize::from(crashes.len() >= MIN_CRASHES_FOR_MISSING);
        let is_companion = |part: &RequestFingerprint| {
            let open = self.open_crashes(*part);
            let missing = crashes.iter().filter(|backend| !open.contains(backend)).count();
            (candidate.is_proven || !self.proven.contains(*part)) && missing <= max_missing
        };
        let others: HashSet<_> =
            crashes.iter().flat_map(|backend| self.others_at(candidate.part, backend)).collect();
        others.into_iter().filter(is_companion).collect()
    }

    /// Settled consecutive crashes of a part.
    fn settled_crashes(&self, part: RequestFingerprint) -> Vec<(&CrashedInstance, Moment)> {
        let crashes = self.records.get(&part).into_iter().flat_map(CrashRecord::consecutive);
        let settled = crashes.filter(|(backend, _at)| {
            self.index.runs(backend).is_some_and(|runs| runs.learned_at <= self.settled_until)
        });
        settled.map(|(backend, at)| (backend, *at)).collect()
    }

    /// Settled consecutive crashes of a part that no refused group explains.
    fn open_crashes(&self, part: RequestFingerprint) -> Vec<&CrashedInstance> {
        let backends = self.settled_crashes(part).into_iter().map(|(backend, _at)| backend);
        backends.filter(|backend| !self.explained.contains(*backend)).collect()
    }

    /// The part to refuse next, among those with enough crashes: one on which no answer has begun well,
    /// then one that two others don't explain as well, as they do a part that is in most prompts; of
    /// these the one in the most crashes.
    pub(super) fn find_candidate(
        &self,
        requests: &CrashIndex,
        now: Moment,
    ) -> Option<PartCandidate> {
        let suspects = self.records.iter().filter(|(part, record)| {
            record.consecutive().count() >= self.policy.refuse_after
                && self.is_current(record, now)
                && !self.is_refused_alone(**part)
        });
        let blamed = suspects.filter_map(|(part, _record)| {
            let mut open = self.open_crashes(*part);
            // What is explained already is blamed on nothing else.
            if open.is_empty() {
                return None;
            }
            if self.is_only_common_part(*part) {
                open = self.settled_crashes(*part).into_iter().map(|crash| crash.0).collect();
            }
            self.is_blamed(*part, &open, requests).then_some((*part, open))
        });
        let rank = |(part, open): &(RequestFingerprint, Vec<&CrashedInstance>)| {
            let is_proven = self.proven.contains(*part);
            (is_proven, self.is_broad(*part, open), Reverse(open.len()), *part)
        };
        let (part, open) = blamed.min_by_key(rank)?;
        Some(PartCandidate {
            part,
            crashes: open.into_iter().cloned().collect(),
            is_proven: self.proven.contains(part),
        })
    }

    /// Whether a part has enough unexplained crashes to be refused.
    fn is_blamed(
        &self,
        part: RequestFingerprint,
        open: &[&CrashedInstance],
        requests: &CrashIndex,
    ) -> bool {
        let count = self.count_moments(open.iter().copied());
        match self.policy.attribution {
            PartAttribution::None => false,
            PartAttribution::EveryCrash => count >= self.policy.refuse_after,
            PartAttribution::MostCrashes => {
                let is_most = |backend: &&&CrashedInstance| {
                    self.others_at(part, backend)
                        .all(|other| self.open_crashes(other).len() < open.len())
                };
                self.count_moments(open.iter().filter(is_most).copied()) >= self.policy.refuse_after
            }
            PartAttribution::FewestCauses => {
                let is_proven = self.proven.contains(part);
                let is_broad = self.is_broad(part, open);
                let unexplained = open
                    .iter()
                    .filter(|backend| !self.has_common_cause(part, count, backend, requests));
                let unexplained = self.count_moments(unexplained.copied());
                match (is_proven, is_broad) {
                    (false, _) if self.is_only_common_part(part) => true,
                    (false, false) => {
                        unexplained >= self.policy.refuse_after
                            || count >= self.policy.always_refuse_after
                    }
                    (false, true) => unexplained >= self.policy.refuse_broad_after,
                    (true, false) => unexplained >= self.policy.refuse_proven_after,
                    (true, true) => unexplained >= self.policy.refuse_proven_broad_after,
                }
            }
        }
    }

    /// Whether a part is in many crashes that no two other parts explain. Where answers have recently
    /// begun well on it, engines that crash by themselves are more likely.
    fn is_only_common_part(&self, part: RequestFingerprint) -> bool {
        let crashes = self.settled_crashes(part);
        let count = distinct_moments(crashes.iter().map(|crash| crash.1), PART_SIMULTANEOUS_WINDOW);
        let count = count.len();
        if self.policy.attribution != PartAttribution::FewestCauses
            || count < self.policy.always_refuse_after
            || self.proven.contains(part)
        {
            return false;
        }
        let crashes: Vec<_> = crashes.into_iter().map(|crash| crash.0).collect();
        !self.may_have_two_causes(part, &crashes, |other| !self.proven.contains(other))
    }

    fn count_moments<'a>(&self, backends: impl Iterator<Item = &'a CrashedInstance>) -> usize {
        let times = backends.filter_map(|backend| self.index.runs(backend)).map(|runs| runs.at);
        distinct_moments(times, PART_SIMULTANEOUS_WINDOW).len()
    }

    /// Other parts on which runs were starting at a crashed instance.
    fn others_at<'a>(
        &'a self,
        part: RequestFingerprint,
        backend: &CrashedInstance,
    ) -> impl Iterator<Item = RequestFingerprint> + 'a {
        let runs = self.index.runs(backend);
        let parts = runs.into_iter().flat_map(|runs| &runs.fingerprints).copied();
        parts.filter(move |other| *other != part)
    }

    /// Whether two other parts may be the cause of these crashes, each of some of them. A part on which
    /// an answer has begun well since the first of them is not, nor is one on which answers began well
    /// before if none has on this one.
    fn is_broad(&self, part: RequestFingerprint, open: &[&CrashedInstance]) -> bool {
        let is_proven = self.proven.contains(part);
        let first = open.iter().filter_map(|backend| self.index.runs(backend)).map(|runs| runs.at);
        let first = first.min().unwrap_or_default();
        self.may_have_two_causes(part, open, |other| {
            let last = self.proven.last(other);
            last.is_none_or(|proven_at| is_proven && proven_at < first)
                && !open.iter().all(|backend| self.is_held(other, backend))
        })
    }

    /// Whether two other parts, or one, were present in all of these crashes.
    fn may_have_two_causes(
        &self,
        part: RequestFingerprint,
        crashes: &[&CrashedInstance],
        is_suspect: impl Fn(RequestFingerprint) -> bool,
    ) -> bool {
        let others: HashSet<_> =
            crashes.iter().flat_map(|backend| self.others_at(part, backend)).collect();
        let others: Vec<_> = others.into_iter().filter(|other| is_suspect(*other)).collect();
        others.iter().any(|one| {
            let mut rest = crashes.iter().filter(|backend| !self.is_held(*one, backend)).peekable();
            let Some(first) = rest.peek().copied() else { return true };
            let rest: Vec<_> = rest.collect();
            let mut candidates = self.others_at(part, first).filter(|other| is_suspect(*other));
            candidates.any(|other| rest.iter().all(|backend| self.is_held(other, backend)))
        })
    }

    /// Whether another backend server crashed at the same time although no run with the part, or
    /// with another one of as many crashes, was starting there.
    fn has_common_cause(
        &self,
        part: RequestFingerprint,
        count: usize,
        backend: &CrashedInstance,
        requests: &CrashIndex,
    ) -> bool {
        let Some(at) = self.index.runs(backend).map(|runs| runs.at) else { return false };
        let is_unexplained = |other: &CrashedInstance| {
            if other == backend || self.explained.contains(other) {
                return false;
            }
            let Some(runs) = self.index.runs(other) else { return true };
            !runs.fingerprints.contains(&part)
                && runs.fingerprints.iter().all(|it| self.open_crashes(*it).len() < count)
        };
        let mut others = requests.simultaneous(at).chain(self.index.simultaneous(at));
        others.any(is_unexplained)
    }
}
