//! Crashes of backend servers by the requests that were running, and the resulting decisions.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;

use crate::fingerprint::RequestFingerprint;
use crate::policy::{CrashAttribution, SuspectPolicy};
use crate::recent::RecentFingerprints;

/// Most recent crashes kept per request; more would not change a decision.
const MAX_CRASHES: usize = 8;
/// When the registry is full, this fraction (one eighth) is evicted at once rather than one request
/// at a time.
const EVICTION_DIVISOR: usize = 8;

/// Crashes within this time count as simultaneous: a host detects each within a round trip.
const SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(100);

/// Identifies the instance of a backend server that crashed.
pub type CrashedInstance = Arc<str>;

/// A backend server crashed while it was running a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendCrash {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The instance that crashed.
    pub backend: CrashedInstance,
    /// When the crash was detected.
    pub at: Moment,
}

/// An observation of one host that other hosts need to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectUpdate {
    /// A backend server crashed while it was running a request.
    Crashed(BackendCrash),
    /// A copy of a request with recorded crashes succeeded.
    Succeeded {
        /// The request.
        fingerprint: RequestFingerprint,
        /// When it succeeded.
        at: Moment,
    },
}

/// Decision on a copy of a request. Log lines print it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectDecision {
    /// No crashes are held against it.
    Clear,
    /// Backend servers have crashed while running it, but too few to refuse it: one copy may run at
    /// a time.
    Watched {
        /// Consecutive crashes.
        ends: usize,
    },
    /// It has been refused for long enough: one copy may run to see whether it still causes a
    /// crash.
    Trial {
        /// Consecutive crashes.
        ends: usize,
    },
    /// It is not sent to any backend server.
    Refused {
        /// Consecutive crashes.
        ends: usize,
    },
}

impl SuspectDecision {
    /// Number of consecutive crashes.
    pub fn ends(self) -> usize {
        match self {
            Self::Clear => 0,
            Self::Watched { ends } | Self::Trial { ends } | Self::Refused { ends } => ends,
        }
    }
}

/// What is known about one request.
#[derive(Clone, Debug, Default)]
struct SuspectRecord {
    crashes: Vec<(CrashedInstance, Moment)>,
    /// When it last succeeded; only later crashes are held against it.
    succeeded_at: Option<Moment>,
}

impl SuspectRecord {
    /// Crashes since the last success.
    fn consecutive(&self) -> impl Iterator<Item = &(CrashedInstance, Moment)> {
        self.crashes
            .iter()
            .filter(|(_backend, at)| self.succeeded_at.is_none_or(|success| *at > success))
    }

    fn latest_crash(&self) -> Moment {
        self.crashes.iter().map(|(_backend, at)| *at).max().unwrap_or_default()
    }
}

/// The requests that were running on a crashed instance.
#[derive(Clone, Debug)]
struct CrashedRuns {
    fingerprints: Vec<RequestFingerprint>,
    /// Detection time of the crash, from the first report.
    at: Moment,
}

/// Requests that were running when backend servers crashed.
///
/// A crash interrupts everything that was running, so it is recorded for many requests of which at
/// most one is the cause: the one whose copies crash other backend servers, too.
/// `docs/design/suspects.md` compares the ways to tell them apart.
#[derive(Clone, Debug)]
pub struct SuspectRegistry {
    policy: SuspectPolicy,
    records: HashMap<RequestFingerprint, SuspectRecord>,
    /// The requests that were running on each crashed instance.
    by_instance: HashMap<CrashedInstance, CrashedRuns>,
    /// The same instances, ordered by the time of the crash.
    by_time: BTreeSet<(Moment, CrashedInstance)>,
    /// Requests that recently succeeded on this host, with or without recorded crashes.
    recent_successes: RecentFingerprints,
}

impl SuspectRegistry {
    /// Creates an empty registry.
    pub fn new(policy: SuspectPolicy) -> Self {
        Self {
            policy,
            records: HashMap::new(),
            by_instance: HashMap::new(),
            by_time: BTreeSet::new(),
            recent_successes: RecentFingerprints::new(policy.max_fingerprints),
        }
    }

    /// Records a crash; returns whether it was new.
    pub fn record_crash(&mut self, crash: &BackendCrash) -> bool {
        let record = self.records.entry(crash.fingerprint).or_default();
        if record.crashes.iter().any(|(backend, _at)| *backend == crash.backend) {
            return false;
        }
        record.crashes.push((Arc::clone(&crash.backend), crash.at));
        let oldest = (record.crashes.len() > MAX_CRASHES).then(|| record.crashes.remove(0).0);
        if let Some(oldest) = oldest {
            self.unindex(crash.fingerprint, &oldest);
        }
        self.index(crash);
        if self.records.len() > self.policy.max_fingerprints {
            self.evict(crash.at);
        }
        true
    }

    /// Records that a copy succeeded; returns whether this cleared any crashes.
    pub fn record_success(&mut self, fingerprint: RequestFingerprint, at: Moment) -> bool {
        self.recent_successes.insert(fingerprint);
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        let cleared = record.consecutive().any(|(_backend, crashed_at)| *crashed_at <= at);
        record.succeeded_at = record.succeeded_at.max(Some(at));
        cleared
    }

    /// Decides on a copy of the request that arrives now.
    pub fn decide(&self, fingerprint: RequestFingerprint, now: Moment) -> SuspectDecision {
        let Some(record) = self.records.get(&fingerprint) else { return SuspectDecision::Clear };
        let ends = self.count_crashes(fingerprint, record.consecutive());
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
    pub fn crashes(&self, fingerprint: RequestFingerprint) -> Vec<BackendCrash> {
        let record = self.records.get(&fingerprint);
        let crashes = record.into_iter().flat_map(SuspectRecord::consecutive);
        crashes
            .map(|(backend, at)| BackendCrash {
                fingerprint,
                backend: Arc::clone(backend),
                at: *at,
            })
            .collect()
    }

    /// Consecutive crashes of all requests.
    pub fn all_crashes(&self) -> Vec<BackendCrash> {
        self.records.keys().flat_map(|fingerprint| self.crashes(*fingerprint)).collect()
    }

    /// Whether one more crash may cause it to be refused.
    pub fn is_near_refusal(&self, fingerprint: RequestFingerprint, now: Moment) -> bool {
        self.decide(fingerprint, now).ends() + 1 >= self.policy.refuse_after
    }

    /// Number of consecutive crashes that are attributed to the request.
    fn attributed_crashes(&self, fingerprint: RequestFingerprint, record: &SuspectRecord) -> usize {
        let own_crashes = record.consecutive().count();
        let is_prime_suspect = |runs: &CrashedRuns| {
            self.most_crashes(&runs.fingerprints, Some(fingerprint)) < own_crashes
        };
        let counts = |backend: &CrashedInstance| {
            let Some(runs) = self.by_instance.get(backend) else { return true };
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
            record.consecutive().filter(|(backend, _at)| counts(backend)),
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
        let mut moments: Vec<Moment> = crashes.map(|(_backend, at)| *at).collect();
        moments.sort_unstable();
        moments.dedup_by(|later, first| later.since(*first) <= SIMULTANEOUS_WINDOW);
        moments.len()
    }

    /// Whether another backend server crashed at the same time although neither this request was
    /// running there nor any other one with as many crashes.
    fn has_common_cause(
        &self,
        fingerprint: RequestFingerprint,
        own_crashes: usize,
        at: Moment,
    ) -> bool {
        let first = (at.saturating_sub(SIMULTANEOUS_WINDOW), CrashedInstance::from(""));
        let last = at + SIMULTANEOUS_WINDOW;
        let near = self.by_time.range(first..).take_while(|(at, _other)| *at <= last);
        let mut others = near.filter_map(|(_at, other)| self.by_instance.get(other));
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
        records.map(|record| record.consecutive().count()).max().unwrap_or_default()
    }

    /// Number of watched requests, and of refused or tried ones.
    pub fn counts(&self, now: Moment) -> (usize, usize) {
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
    pub fn remove_expired(&mut self, now: Moment) {
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
        if excess == 0 {
            return;
        }
        let mut order: Vec<(usize, Moment, RequestFingerprint)> = self
            .records
            .iter()
            .map(|(fingerprint, record)| {
                (record.consecutive().count(), record.latest_crash(), *fingerprint)
            })
            .collect();
        order.sort_unstable();
        let dropped = excess.max(self.policy.max_fingerprints / EVICTION_DIVISOR);
        for (_crashes, _latest, fingerprint) in order.into_iter().take(dropped) {
            self.remove(fingerprint);
        }
    }

    fn remove(&mut self, fingerprint: RequestFingerprint) {
        let Some(record) = self.records.remove(&fingerprint) else { return };
        for (backend, _at) in &record.crashes {
            self.unindex(fingerprint, backend);
        }
    }

    fn index(&mut self, crash: &BackendCrash) {
        let new = || CrashedRuns { fingerprints: Vec::new(), at: crash.at };
        let runs = self.by_instance.entry(Arc::clone(&crash.backend)).or_insert_with(new);
        runs.fingerprints.push(crash.fingerprint);
        self.by_time.insert((runs.at, Arc::clone(&crash.backend)));
    }

    fn unindex(&mut self, fingerprint: RequestFingerprint, backend: &CrashedInstance) {
        let Some(runs) = self.by_instance.get_mut(backend) else { return };
        runs.fingerprints.retain(|other| *other != fingerprint);
        if runs.fingerprints.is_empty() {
            self.by_time.remove(&(runs.at, Arc::clone(backend)));
            self.by_instance.remove(backend);
        }
    }
}
