//! Crashes of backend servers by the prompt parts on which runs were starting.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;

use crate::crash_index::{CrashIndex, distinct_moments};
use crate::crash_record::{AddOutcome, CrashRecord};
use crate::fingerprint::RequestFingerprint;
use crate::part_policy::{PartAttribution, PartPolicy};
use crate::recent::RecentFingerprints;
use crate::registry::{BackendCrash, CrashedInstance};
use crate::request_registry::EVICTION_DIVISOR;

/// Crashes of a refused part that are this far apart come from different trials; those of requests
/// that were in progress when it was refused follow each other faster.
const TRIAL_GAP: Duration = Duration::from_secs(3);
/// Crashes within this time count as simultaneous. They are one for a part: what ends several
/// backend servers at once ends runs with a popular part at each.
const PART_SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(25);
/// Time within which all hosts report a crash. Until then a part that was in the same crash as another
/// one may seem not to have been, so nothing is blamed on a part for it.
const REPORT_WINDOW: Duration = Duration::from_millis(100);
/// Number of crashes from which on a part counts as a companion although one report of it is missing:
/// the host that saw it may have died.
const MIN_CRASHES_FOR_MISSING: usize = 4;
/// Most recent crashes kept per part.
const MAX_PART_CRASHES: usize = 12;
/// Most recent crashes kept per group.
const MAX_GROUP_CRASHES: usize = 8;

/// Parts of which one crashes backend servers; requests that contain all of them are refused. Usually
/// this is a single part. Several have been in the same crashes, and no answer has begun well on any
/// since; a request that contains only some of them tells which one it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartGroup {
    /// The parts.
    pub parts: Vec<RequestFingerprint>,
    /// Consecutive crashes under requests that contained all of them, oldest first.
    pub crashes: Vec<(CrashedInstance, Moment)>,
    /// Time after the last crash for which requests are refused.
    pub refusal_period: Duration,
    /// Whether answers had recently begun well on the parts when they were first refused.
    is_proven: bool,
    /// Consecutive crashes after which the group was refused.
    refused_after: usize,
}

impl PartGroup {
    /// Time of the last crash.
    pub fn last_crash(&self) -> Moment {
        self.crashes.last().map(|(_backend, at)| *at).unwrap_or_default()
    }

    fn is_contained_in(&self, parts: &[RequestFingerprint]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }
}

/// Decision on a request with prompt parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartDecision<'a> {
    /// None of its parts is refused.
    Clear,
    /// The group has been refused for long enough: one request may run to see whether it still
    /// causes a crash.
    Trial(&'a PartGroup),
    /// It is not sent to any backend server.
    Refused(&'a PartGroup),
}

/// Prompt parts on which runs were starting when backend servers crashed.
///
/// Several requests are usually starting when a backend server crashes, and popular parts are among
/// them each time, so most of what is recorded is innocent: an answer that begins well on a part
/// clears it. `docs/design/suspects.md` compares the ways to tell which of the others is the cause.
#[derive(Clone, Debug)]
pub(crate) struct PartRegistry {
    policy: PartPolicy,
    records: HashMap<RequestFingerprint, CrashRecord>,
    index: CrashIndex,
    /// Parts on which answers have recently begun well, with or without recorded crashes.
    proven: RecentFingerprints,
    groups: Vec<PartGroup>,
    /// Instances whose crash a refused group explains.
    explained: HashSet<CrashedInstance>,
    /// Crashes up to this moment have been reported by all hosts that saw them.
    settled_until: Moment,
    /// When the newest crash settles, if it had not at the last refresh.
    unsettled_until: Option<Moment>,
}

/// A part that may be refused.
struct PartCandidate {
    part: RequestFingerprint,
    crashes: Vec<CrashedInstance>,
    is_proven: bool,
}

impl PartRegistry {
    pub(crate) fn new(policy: PartPolicy) -> Self {
        Self {
            policy,
            records: HashMap::new(),
            index: CrashIndex::default(),
            proven: RecentFingerprints::new(policy.max_parts),
            groups: Vec::new(),
            explained: HashSet::new(),
            settled_until: Moment::default(),
            unsettled_until: None,
        }
    }

    /// Records a crash of a backend server at which a run with the part was starting; returns
    /// whether it was new.
    pub(crate) fn record_crash(&mut self, crash: &BackendCrash) -> bool {
        let part = crash.fingerprint;
        let record = self.records.entry(part).or_default();
        let AddOutcome::Added { dropped } = record.add(&crash.backend, crash.at, MAX_PART_CRASHES)
        else {
            return false;
        };
        // It began well here after the crash, which this host learns of only now.
        if let Some(proven_at) = self.proven.last(part) {
            record.record_success(proven_at);
        }
        if let Some(dropped) = dropped {
            self.index.remove(part, &dropped);
        }
        self.index.add(crash);
        if self.records.len() > self.policy.max_parts {
            self.evict(crash.at);
        }
        true
    }

    /// Records that an answer began well; returns whether this cleared any crashes of the part.
    pub(crate) fn record_success(&mut self, part: RequestFingerprint, at: Moment) -> bool {
        self.proven.insert(part, at);
        self.records.get_mut(&part).is_some_and(|record| record.record_success(at))
    }

    /// When an answer last began well on a part, as far as this host knows.
    pub(crate) fn last_success(&self, part: RequestFingerprint) -> Option<Moment> {
        self.proven.last(part)
    }

    /// Decides on a request with these parts. `spread`, from 0 to 1, delays trials by up to half a
    /// refusal period, so that not all hosts begin one at the same moment.
    pub(crate) fn decide(
        &self,
        parts: &[RequestFingerprint],
        spread: f64,
        now: Moment,
    ) -> PartDecision<'_> {
        let groups = self.groups.iter().filter(|group| group.is_contained_in(parts));
        let mut trial = PartDecision::Clear;
        for group in groups {
            let quiet_for = now.since(group.last_crash());
            if quiet_for < group.refusal_period + group.refusal_period.mul_f64(spread / 2.0) {
                return PartDecision::Refused(group);
            }
            if quiet_for < self.policy.retention {
                trial = PartDecision::Trial(group);
            }
        }
        trial
    }

    /// When to refresh because a crash has settled.
    pub(crate) fn unsettled_until(&self) -> Option<Moment> {
        self.unsettled_until
    }

    pub(crate) fn groups(&self) -> &[PartGroup] {
        &self.groups
    }

    /// Instances whose crash a refused group explains.
    pub(crate) fn explained(&self) -> &HashSet<CrashedInstance> {
        &self.explained
    }

    fn is_refused_alone(&self, part: RequestFingerprint) -> bool {
        self.groups.iter().any(|group| group.parts == [part])
    }

    /// The group of a part, if it is refused.
    pub(crate) fn group_of(&self, part: RequestFingerprint) -> Option<&PartGroup> {
        self.groups.iter().find(|group| group.parts.contains(&part))
    }

    /// Consecutive crashes of a part.
    pub(crate) fn crashes(&self, part: RequestFingerprint) -> Vec<BackendCrash> {
        let crashes = self.records.get(&part).into_iter().flat_map(CrashRecord::consecutive);
        crashes
            .map(|(backend, at)| BackendCrash {
                fingerprint: part,
                backend: Arc::clone(backend),
                at: *at,
            })
            .collect()
    }

    /// Parts with recorded crashes.
    pub(crate) fn parts(&self) -> impl Iterator<Item = RequestFingerprint> {
        self.records.keys().copied()
    }

    /// Number of parts with consecutive crashes that are not refused.
    pub(crate) fn count_watched(&self, now: Moment) -> usize {
        let is_watched = |(part, record): &(&RequestFingerprint, &CrashRecord)| {
            self.is_current(record, now)
                && record.consecutive().next().is_some()
                && self.group_of(**part).is_none()
        };
        self.records.iter().filter(is_watched).count()
    }

    /// Number of distinct moments of a part's consecutive crashes.
    pub(crate) fn count_crashes(&self, part: RequestFingerprint, now: Moment) -> usize {
        let record = self.records.get(&part).filter(|record| self.is_current(record, now));
        let crashes = record.into_iter().flat_map(CrashRecord::consecutive);
        distinct_moments(crashes.map(|(_backend, at)| *at), PART_SIMULTANEOUS_WINDOW).len()
    }

    /// Whether one more crash may cause the part to be refused.
    pub(crate) fn is_near_refusal(&self, part: RequestFingerprint, now: Moment) -> bool {
        self.count_crashes(part, now) + 1 >= self.policy.refuse_after
    }

    /// Finds the groups to refuse anew. `requests` lists the crashes with the requests running there.
    pub(crate) fn refresh(&mut self, requests: &CrashIndex, now: Moment) {
        self.settled_until = now.saturating_sub(REPORT_WINDOW);
        let crashes = self.records.values().map(CrashRecord::latest_crash);
        let newest = crashes.max().unwrap_or_default();
        self.unsettled_until = (newest > self.settled_until).then_some(newest + REPORT_WINDOW);
        self.explained.clear();
        let known = std::mem::take(&mut self.groups);
        for group in known {
            self.keep_group(group, now);
        }
        while let Some(candidate) = self.find_candidate(requests, now) {
            let group = self.new_group(&candidate);
            self.explained.extend(candidate.crashes);
            self.groups.push(group);
        }
    }

    /// Keeps a refused group, without the parts on which an answer has begun well since.
    fn keep_group(&mut self, mut group: PartGroup, now: Moment) {
        let last_crash = group.last_crash();
        let has_succeeded = |part: &RequestFingerprint| {
            self.records.get(part).is_none_or(|record| record.has_succeeded_since(last_crash))
        };
        group.parts.retain(|part| !has_succeeded(part));
        let Some(first) = group.parts.first().and_then(|part| self.records.get(part)) else {
            return;
        };
        if now.since(last_crash) >= self.policy.retention {
            return;
        }
        for (backend, at) in first.consecutive() {
            let is_known = group.crashes.iter().any(|(known, _at)| known == backend);
            if !is_known && group.parts.iter().all(|part| self.is_held(*part, backend)) {
                group.crashes.push((Arc::clone(backend), *at));
            }
        }
        group.crashes.sort_by_key(|(_backend, at)| *at);
        group.crashes.drain(..group.crashes.len().saturating_sub(MAX_GROUP_CRASHES));
        let moments = distinct_moments(
            group.crashes.iter().map(|(_backend, at)| *at),
            PART_SIMULTANEOUS_WINDOW,
        );
        let later = moments.windows(2).skip(group.refused_after.saturating_sub(1));
        let trials = later.filter(|pair| pair[1].since(pair[0]) >= TRIAL_GAP).count();
        let trials = u32::try_from(trials).unwrap_or(u32::MAX);
        group.refusal_period = self.policy.refusal_time(group.is_proven, trials);
        self.explained.extend(group.crashes.iter().map(|(backend, _at)| Arc::clone(backend)));
        self.groups.push(group);
    }

    /// Whether a crash is held against a part.
    fn is_held(&self, part: RequestFingerprint, backend: &CrashedInstance) -> bool {
        let record = self.records.get(&part);
        record.is_some_and(|record| record.consecutive().any(|(other, _at)| other == backend))
    }

    fn new_group(&self, candidate: &PartCandidate) -> PartGroup {
        let mut parts = vec![candidate.part];
        if self.policy.attribution == PartAttribution::FewestCauses {
            parts.extend(self.companions(candidate));
        }
        let at = |backend: &CrashedInstance| self.index.runs(backend).map(|runs| runs.at);
        let crashes = candidate.crashes.iter();
        let mut crashes: Vec<_> =
            crashes.filter_map(|backend| Some((Arc::clone(backend), at(backend)?))).collect();
        crashes.sort_by_key(|(_backend, at)| *at);
        let moments =
            distinct_moments(crashes.iter().map(|(_backend, at)| *at), PART_SIMULTANEOUS_WINDOW);
        PartGroup {
            parts,
            crashes,
            refusal_period: self.policy.refusal_time(candidate.is_proven, 0),
            is_proven: candidate.is_proven,
            refused_after: moments.len(),
        }
    }

    /// Other parts that were present in all crashes of a candidate, as far as these were reported. If
    /// answers have recently begun well on the candidate, so they have on its companions.
    fn companions(&self, candidate: &PartCandidate) -> Vec<RequestFingerprint> {
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
        let settled = crashes.filter(|(_backend, at)| *at <= self.settled_until);
        settled.map(|(backend, at)| (backend, *at)).collect()
    }

    /// Settled consecutive crashes of a part that no refused group explains.
    fn open_crashes(&self, part: RequestFingerprint) -> Vec<&CrashedInstance> {
        let backends = self.settled_crashes(part).into_iter().map(|(backend, _at)| backend);
        backends.filter(|backend| !self.explained.contains(*backend)).collect()
    }

    fn is_current(&self, record: &CrashRecord, now: Moment) -> bool {
        now.since(record.latest_crash()) < self.policy.watch_period
    }

    /// The part to refuse next, among those with enough crashes: one on which no answer has begun well,
    /// then one that two others don't explain as well, as they do a part that is in most prompts; of
    /// these the one in the most crashes.
    fn find_candidate(&self, requests: &CrashIndex, now: Moment) -> Option<PartCandidate> {
        let suspects = self.records.iter().filter(|(part, record)| {
            record.consecutive().count() >= self.policy.refuse_after
                && self.is_current(record, now)
                && !self.is_refused_alone(**part)
        });
        let blamed = suspects.filter_map(|(part, _record)| {
            let mut open = self.open_crashes(*part);
            if self.is_only_common_part(*part) {
                open = self.settled_crashes(*part).into_iter().map(|crash| crash.0).collect();
            }
            self.is_blamed(*part, &open, requests).then_some((*part, open))
        });
        let rank = |(part, open): &(RequestFingerprint, Vec<&CrashedInstance>)| {
            let is_proven = self.proven.contains(*part);
            (is_proven, self.is_broad(*part, open), std::cmp::Reverse(open.len()), *part)
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

    /// Removes parts against which no crashes are held any more.
    pub(crate) fn remove_expired(&mut self, now: Moment) {
        let is_held = |part: &RequestFingerprint, record: &CrashRecord| {
            self.is_current(record, now)
                || (self.group_of(*part).is_some()
                    && now.since(record.latest_crash()) < self.policy.retention)
        };
        let expired = self.records.iter().filter(|(part, record)| !is_held(part, record));
        let expired: Vec<_> = expired.map(|(part, _record)| *part).collect();
        for part in expired {
            self.remove(part);
        }
    }

    fn evict(&mut self, now: Moment) {
        self.remove_expired(now);
        let excess = self.records.len().saturating_sub(self.policy.max_parts);
        if excess == 0 {
            return;
        }
        let records = self.records.iter().filter(|(part, _record)| self.group_of(**part).is_none());
        let mut order: Vec<_> = records
            .map(|(part, record)| (record.consecutive().count(), record.latest_crash(), *part))
            .collect();
        order.sort_unstable();
        let dropped = excess.max(self.policy.max_parts / EVICTION_DIVISOR);
        for (_crashes, _latest, part) in order.into_iter().take(dropped) {
            self.remove(part);
        }
    }

    fn remove(&mut self, part: RequestFingerprint) {
        let Some(record) = self.records.remove(&part) else { return };
        for backend in record.instances() {
            self.index.remove(part, backend);
        }
    }
}
