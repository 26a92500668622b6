//! Crashes of backend servers by the prompt parts on which runs were starting.

mod blame;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;

use crate::crash_index::{CrashIndex, distinct_moments};
use crate::crash_record::{AddOutcome, CrashRecord, evicted};
use crate::fingerprint::RequestFingerprint;
use crate::part_group::PartGroup;
use crate::part_policy::{PartAttribution, PartPolicy};
use crate::recent::RecentFingerprints;
use crate::registry::{BackendCrash, CrashedInstance};
use blame::PartCandidate;

/// Crashes of a refused part that are this far apart come from different trials; those of requests
/// that were in progress when it was refused follow each other faster.
const TRIAL_GAP: Duration = Duration::from_secs(3);
/// Crashes within this time count as simultaneous. They are one for a part: what ends several
/// backend servers at once ends runs with a popular part at each.
const PART_SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(25);
/// Time within which all reports of a crash arrive, from the first one on. Until then a part that was in
/// the same crash as another one may seem not to have been, so nothing is blamed on a part for it.
const REPORT_WINDOW: Duration = Duration::from_millis(100);
/// Most recent crashes kept per part.
const MAX_PART_CRASHES: usize = 12;
/// Most recent crashes kept per group; more than per part, so that a group explains all of them.
const MAX_GROUP_CRASHES: usize = 2 * MAX_PART_CRASHES;

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
    /// Crashes learnt of up to this moment have been reported by all hosts that saw them.
    settled_until: Moment,
    /// When this host learnt of the newest crash.
    newest_learned_at: Moment,
    /// When the newest crash settles, if it had not at the last refresh.
    unsettled_until: Option<Moment>,
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
            newest_learned_at: Moment::default(),
            unsettled_until: None,
        }
    }

    /// Records a crash of a backend server at which a run with the part was starting; returns
    /// whether it was new.
    pub(crate) fn record_crash(&mut self, crash: &BackendCrash, now: Moment) -> bool {
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
        self.index.add(crash, now);
        self.newest_learned_at = self.newest_learned_at.max(now);
        if self.records.len() > self.policy.max_parts {
            self.evict(now);
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
        let newest = self.newest_learned_at;
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

    fn is_current(&self, record: &CrashRecord, now: Moment) -> bool {
        now.since(record.latest_crash()) < self.policy.watch_period
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
        let records = self.records.iter().filter(|(part, _record)| self.group_of(**part).is_none());
        let excess = self.records.len().saturating_sub(self.policy.max_parts);
        for part in evicted(records, excess, self.policy.max_parts) {
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
