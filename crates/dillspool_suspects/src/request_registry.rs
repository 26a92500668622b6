//! Crashes of backend servers by the requests that were running.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use dillspool_moment::Moment;

use crate::crash_index::{CrashIndex, CrashedRuns, SIMULTANEOUS_WINDOW, distinct_moments};
use crate::crash_record::{AddOutcome, CrashRecord, evicted};
use crate::fingerprint::RequestFingerprint;
use crate::policy::{CrashAttribution, SuspectPolicy};
use crate::recent::RecentFingerprints;
use crate::registry::{BackendCrash, CrashedInstance, SuspectDecision};

/// Most recent crashes kept per request; more would not change a decision.
const MAX_CRASHES: usize = 8;

/// Requests that were running when backend servers crashed.
///
/// A crash interrupts everything that was running, so it is recorded for many requests of which at
/// most one is the cause: the one whose copies crash other backend servers, too.
/// `docs/design/suspects.md` compares the ways to tell them apart.
#[derive(Clone, Debug)]
pub(crate) struct RequestRegistry {
    policy: SuspectPolicy,
    records: HashMap<RequestFingerprint, CrashRecord>,
    index: CrashIndex,
    /// Requests that recently succeeded on this host, with or without recorded crashes.
    recent_successes: RecentFingerprints,
    /// Instances that something else is known to have crashed.
    explained: HashSet<CrashedInstance>,
}

impl RequestRegistry {
    pub(crate) fn new(policy: SuspectPolicy) -> Self {
        Self {
            policy,
            records: HashMap::new(),
            index: CrashIndex::default(),
            recent_successes: RecentFingerprints::new(policy.max_fingerprints),
            explained: HashSet::new(),
        }
    }

    /// Records a crash; returns whether it was new.
    pub(crate) fn record_crash(&mut self, crash: &BackendCrash) -> bool {
        let record = self.records.entry(crash.fingerprint).or_default();
        let AddOutcome::Added { dropped } = record.add(&crash.backend, crash.at, MAX_CRASHES)
        else {
            return false;
        };
        if let Some(dropped) = dropped {
            self.index.remove(crash.fingerprint, &dropped);
        }
        self.index.add(crash, crash.at);
        if self.records.len() > self.policy.max_fingerprints {
            self.evict(crash.at);
        }
        true
    }

    /// Records that a copy succeeded; returns whether this cleared any crashes.
    pub(crate) fn record_success(&mut self, fingerprint: RequestFingerprint, at: Moment) -> bool {
        self.recent_successes.insert(fingerprint, at);
        self.records.get_mut(&fingerprint).is_some_and(|record| record.record_success(at))
    }

    /// Sets the instances that something else is known to have crashed; these crashes are not held
    /// against any request.
    pub(crate) fn set_explained(&mut self, explained: HashSet<CrashedInstance>) {
        self.explained = explained;
    }

    /// The crashes with the requests that were running.
    pub(crate) fn index(&self) -> &CrashIndex {
        &self.index
    }

    /// Decides on a copy of the request that arrives now.
    pub(crate) fn decide(&self, fingerprint: RequestFingerprint, now: Moment) -> SuspectDecision {
        let Some(record) = self.records.get(&fingerprint) else { return SuspectDecision::Clear };
        let ends = self.count_crashes(fingerprint, self.unexplained(record));
        let quiet_for = now.since(record.latest_crash());
        let refused = ends >= self.policy.always_refuse_after
            || self.attributed_crashes(fingerprint, record) >= self.policy.refuse_after;
        match (refused, ends) {
            (_, 0) => SuspectDecision::Clear,
            (true, ends) if quiet_for < self.policy.refusal_time(ends) => {
                SuspectDecision::Refused { ends }
            }
            (true, ends) if quiet_for < self.policy.retention => SuspectDecision::Trial { ends },
            (false, ends) if quiet_for < self.policy.watch_period => {
                SuspectDecision::Watched { ends }
            }
            (true | false, _) => SuspectDecision::Clear,
        }
    }

    /// Consecutive crashes of a request.
    pub(crate) fn crashes(&self, fingerprint: RequestFingerprint) -> Vec<BackendCrash> {
        let record = self.records.get(&fingerprint);
        let crashes = record.into_iter().flat_map(CrashRecord::consecutive);
        crashes
            .map(|(backend, at)| BackendCrash {
                fingerprint,
                backend: Arc::clone(backend),
                at: *at,
            })
            .collect()
    }

    /// Consecutive crashes of all requests.
    pub(crate) fn all_crashes(&self) -> Vec<BackendCrash> {
        self.records.keys().flat_map(|fingerprint| self.crashes(*fingerprint)).collect()
    }

    /// Whether one more crash may cause it to be refused.
    pub(crate) fn is_near_refusal(&self, fingerprint: RequestFingerprint, now: Moment) -> bool {
        self.decide(fingerprint, now).ends() + 1 >= self.policy.refuse_after
    }

    /// Consecutive crashes that nothing else is known to have caused.
    fn unexplained<'a>(
        &'a self,
        record: &'a CrashRecord,
    ) -> impl Iterator<Item = &'a (CrashedInstance, Moment)> {
        record.consecutive().filter(|(backend, _at)| !self.explained.contains(backend))
    }

    /// Number of consecutive crashes that are attributed to the request.
    fn attributed_crashes(&self, fingerprint: RequestFingerprint, record: &CrashRecord) -> usize {
        let own_crashes = self.unexplained(record).count();
        let is_prime_suspect = |runs: &CrashedRuns| {
            self.most_crashes(&runs.fingerprints, Some(fingerprint)) < own_crashes
        };
        let counts = |backend: &CrashedInstance| {
            let Some(runs) = self.index.runs(backend) else { return true };
            match self.policy.attribution {
                CrashAttribution::EveryCrash => true,
                CrashAttribution::PrimeSuspect => is_prime_suspect(runs),
                CrashAttribution::NoCommonCause => {
                    is_prime_suspect(runs)
                        && !self.has_common_cause(fingerprint, own_crashes, runs.at)
                }
            }
        };
        self.count_crashes(
            fingerprint,
            self.unexplained(record).filter(|(backend, _at)| counts(backend)),
        )
    }

    /// Counts crashes. For a request that succeeded before, simultaneous crashes count as one: many
    /// clients send it, so it runs on many backend servers, and when several of these crash at
    /// once, the request that crashed none of them before is not the cause.
    fn count_crashes<'a>(
        &self,
        fingerprint: RequestFingerprint,
        crashes: impl Iterator<Item = &'a (CrashedInstance, Moment)>,
    ) -> usize {
        if !self.recent_successes.contains(fingerprint) {
            return crashes.count();
        }
        distinct_moments(crashes.map(|(_backend, at)| *at), SIMULTANEOUS_WINDOW).len()
    }

    /// Whether another backend server crashed at the same time although neither this request was
    /// running there nor any other one with as many crashes.
    fn has_common_cause(
        &self,
        fingerprint: RequestFingerprint,
        own_crashes: usize,
        at: Moment,
    ) -> bool {
        let near = self.index.simultaneous(at);
        let mut others = near.filter_map(|other| self.index.runs(other));
        others.any(|other| {
            !other.fingerprints.contains(&fingerprint)
                && self.most_crashes(&other.fingerprints, None) < own_crashes
        })
    }

    /// Highest number of consecutive crashes among the given requests, leaving out `except`.
    fn most_crashes(
        &self,
        fingerprints: &[RequestFingerprint],
        except: Option<RequestFingerprint>,
    ) -> usize {
        let others = fingerprints.iter().filter(|other| Some(**other) != except);
        let records = others.filter_map(|other| self.records.get(other));
        records.map(|record| self.unexplained(record).count()).max().unwrap_or_default()
    }

    /// Number of watched requests, and of refused or tried ones.
    pub(crate) fn counts(&self, now: Moment) -> (usize, usize) {
        let mut counts = (0, 0);
        for fingerprint in self.records.keys() {
            match self.decide(*fingerprint, now) {
                SuspectDecision::Clear => {}
                SuspectDecision::Watched { .. } => counts.0 += 1,
                SuspectDecision::Trial { .. } | SuspectDecision::Refused { .. } => counts.1 += 1,
            }
        }
        counts
    }

    /// Removes requests against which no crashes are held any more.
    pub(crate) fn remove_expired(&mut self, now: Moment) {
        let fingerprints: Vec<RequestFingerprint> = self.records.keys().copied().collect();
        for fingerprint in fingerprints {
            // A request that succeeded is kept just as long: rows of other hosts may still list its
            // crashes.
            let quiet_for =
                self.records.get(&fingerprint).map(|record| now.since(record.latest_crash()));
            let is_old = quiet_for.is_none_or(|quiet_for| quiet_for >= self.policy.watch_period);
            if is_old && self.decide(fingerprint, now) == SuspectDecision::Clear {
                self.remove(fingerprint);
            }
        }
    }

    fn evict(&mut self, now: Moment) {
        self.remove_expired(now);
        let excess = self.records.len().saturating_sub(self.policy.max_fingerprints);
        for fingerprint in evicted(self.records.iter(), excess, self.policy.max_fingerprints) {
            self.remove(fingerprint);
        }
    }

    fn remove(&mut self, fingerprint: RequestFingerprint) {
        let Some(record) = self.records.remove(&fingerprint) else { return };
        for backend in record.instances() {
            self.index.remove(fingerprint, backend);
        }
    }
}
