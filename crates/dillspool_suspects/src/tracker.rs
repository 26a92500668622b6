//! Tracks crashes and running copies of requests for one host.

mod state;

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_moment::Moment;
use tokio::sync::{Notify, watch};

use crate::fingerprint::RequestFingerprint;
use crate::part_registry::PartDecision;
use crate::policy::SuspectPolicy;
use crate::registry::{BackendCrash, CrashedInstance, SuspectDecision, SuspectUpdate};
use state::TrackerState;

/// Up to this many consecutive crashes of a part, all of them are told again with each new one.
const MAX_REPEATED_CRASHES: usize = 4;

/// Interval at which a waiting request looks whether reports of a crash have become complete.
const SETTLE_INTERVAL: Duration = Duration::from_millis(50);

/// Decides on copies of requests, based on crashes seen by this host and reported by others.
#[derive(Clone)]
pub struct SuspectTracker {
    state: Arc<Mutex<TrackerState>>,
    clock: HostClock,
    changed: Arc<Notify>,
    /// Changes when a request may have become refused.
    refusals: watch::Sender<()>,
}

impl fmt::Debug for SuspectTracker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SuspectDesk")
    }
}

/// Why a copy is not sent. Log lines print it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyRefusal {
    /// Backend servers crash while running the request.
    Deadly {
        /// Consecutive crashes.
        ends: usize,
    },
    /// Backend servers crash when they begin an answer on a part of its prompt.
    DeadlyPart {
        /// The part, or one of several that were in the same crashes.
        part: RequestFingerprint,
        /// Consecutive crashes.
        ends: usize,
    },
    /// Another copy, or another trial of a part, is running on this host; its outcome is awaited
    /// first.
    CopyRuns {
        /// Consecutive crashes.
        ends: usize,
    },
}

impl SuspectTracker {
    /// Creates a tracker without any recorded crashes.
    pub fn new(policy: SuspectPolicy, clock: HostClock) -> Self {
        Self {
            state: Arc::new(Mutex::new(TrackerState::new(policy))),
            clock,
            changed: Arc::default(),
            refusals: watch::Sender::new(()),
        }
    }

    fn state(&self) -> MutexGuard<'_, TrackerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Current time on this tracker's clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Sets the requests and parts that an operator exempts, whatever crashes are recorded for them.
    pub fn set_lifted(&self, fingerprints: Vec<RequestFingerprint>) {
        self.state().lifted = fingerprints.into_iter().collect();
    }

    /// Waits for updates to send, or for reports from others on a request with more than one crash.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes the updates queued since the last call.
    pub fn take_updates(&self) -> VecDeque<SuspectUpdate> {
        std::mem::take(&mut self.state().updates)
    }

    /// Applies an update from another host, or from this one before its restart; returns whether it
    /// was new.
    pub fn apply_update(&self, update: &SuspectUpdate) -> bool {
        let now = self.now();
        let mut state = self.state();
        let (fingerprint, is_new) = match update {
            SuspectUpdate::Crashed(crash) => {
                let crashes = std::slice::from_ref(crash);
                (crash.fingerprint, !state.registry.record_crashes(crashes, now).is_empty())
            }
            SuspectUpdate::Succeeded { fingerprint, at } => {
                (*fingerprint, state.registry.record_success(*fingerprint, *at))
            }
        };
        if is_new {
            state.record_change(update);
        }
        let decision = state.registry.decide(fingerprint, now);
        drop(state);
        if is_new {
            self.refusals.send_replace(());
        }
        // A single crash is logged only by the host that saw it; otherwise hundreds of hosts would
        // repeat each line.
        if is_new && decision.ends() != 1 {
            log_decision(fingerprint, decision, "told");
            self.changed.notify_one();
        }
        is_new
    }

    /// Updates to send to other hosts after `update` has been applied: all consecutive crashes of
    /// the request if there is more than one. A crash is recorded for every request that was
    /// running there, and most of these records are of no use to other hosts.
    pub fn updates_to_forward(&self, update: &SuspectUpdate) -> Vec<SuspectUpdate> {
        match update {
            SuspectUpdate::Succeeded { .. } => vec![update.clone()],
            SuspectUpdate::Crashed(crash) => {
                let crashes = self.state().registry.crashes(crash.fingerprint);
                // A popular part has a crash whenever an engine crashes; other hosts have the
                // earlier ones by now.
                if crash.fingerprint.is_part() && crashes.len() > MAX_REPEATED_CRASHES {
                    return vec![update.clone()];
                }
                let known = if crashes.len() > 1 { crashes } else { Vec::new() };
                known.into_iter().map(SuspectUpdate::Crashed).collect()
            }
        }
    }

    /// The newest `max_updates` crashes that are held against requests.
    pub fn newest_updates(&self, max_updates: usize) -> Vec<SuspectUpdate> {
        newest(self.state().registry.all_crashes(), max_updates)
    }

    /// Like [`Self::newest_updates`], for requests with more than one crash.
    pub fn newest_repeated(&self, max_updates: usize) -> Vec<SuspectUpdate> {
        let mut crashes = self.state().registry.all_crashes();
        let mut counts: HashMap<RequestFingerprint, usize> = HashMap::new();
        for crash in &crashes {
            *counts.entry(crash.fingerprint).or_default() += 1;
        }
        crashes.retain(|crash| counts.get(&crash.fingerprint).is_some_and(|count| *count > 1));
        let now = self.now();
        let state = self.state();
        let (refused, others): (Vec<_>, Vec<_>) =
            crashes.into_iter().partition(|crash| state.is_refused(crash.fingerprint, now));
        drop(state);
        // What is refused goes first: among many crashes it is what others must not send.
        let mut updates = newest(refused, max_updates);
        updates.extend(newest(others, max_updates - updates.len()));
        updates
    }

    /// Whether a crash is held against a request or part.
    pub fn holds_crash(&self, fingerprint: RequestFingerprint, backend: &str) -> bool {
        let crashes = self.state().registry.crashes(fingerprint);
        crashes.iter().any(|crash| &*crash.backend == backend)
    }

    /// Returns when an answer last began well on a part, as far as this host knows.
    pub fn last_success(&self, part: RequestFingerprint) -> Option<Moment> {
        self.state().registry.last_success(part)
    }

    /// Number of times that crashes of parts were cleared; changes whenever
    /// [`Self::holds_crash`] may have for a part.
    pub fn cleared_parts(&self) -> u64 {
        self.state().cleared_parts
    }

    /// Removes requests against which no crashes are held any more.
    pub fn remove_expired(&self) {
        let now = self.now();
        self.state().registry.remove_expired(now);
    }

    /// Number of watched requests, and of refused ones.
    pub fn counts(&self) -> (usize, usize) {
        let now = self.now();
        self.state().registry.counts(now)
    }

    /// Number of watched parts, and of groups of parts that are refused.
    pub fn part_counts(&self) -> (usize, usize) {
        let now = self.now();
        self.state().registry.part_counts(now)
    }

    /// Decides on a request as of now.
    pub fn decide(&self, fingerprint: RequestFingerprint) -> SuspectDecision {
        let now = self.now();
        self.state().decide(fingerprint, now)
    }

    /// Whether a request with these prompt parts is refused as of now.
    pub fn is_refused(
        &self,
        fingerprint: RequestFingerprint,
        parts: &[RequestFingerprint],
    ) -> bool {
        let now = self.now();
        let mut state = self.state();
        state.settle(now);
        let is_copy_refused =
            matches!(state.decide(fingerprint, now), SuspectDecision::Refused { .. });
        is_copy_refused || matches!(state.decide_parts(parts, now), PartDecision::Refused(_))
    }

    /// Waits until a request with these prompt parts is refused.
    pub async fn wait_until_refused(
        &self,
        fingerprint: RequestFingerprint,
        parts: &[RequestFingerprint],
    ) {
        let mut refusals = self.refusals.subscribe();
        while !self.is_refused(fingerprint, parts) {
            let is_unsettled = self.state().registry.is_unsettled();
            tokio::select! {
                // The tracker holds the sender.
                _changed = refusals.changed() => {}
                () = tokio::time::sleep(SETTLE_INTERVAL), if is_unsettled => {}
            }
        }
    }

    /// Whether the cause of a failed run should be known before the request is sent again.
    pub fn needs_failure_cause(
        &self,
        fingerprint: RequestFingerprint,
        parts: &[RequestFingerprint],
    ) -> bool {
        let now = self.now();
        let state = self.state();
        let mut fingerprints = parts.iter().chain(std::iter::once(&fingerprint));
        fingerprints.any(|fingerprint| state.registry.is_near_refusal(*fingerprint, now))
    }

    /// Admits a copy of a request without prompt parts.
    ///
    /// # Errors
    ///
    /// See [`Self::admit_prompt`].
    pub fn admit(&self, fingerprint: RequestFingerprint) -> Result<CopyGuard, CopyRefusal> {
        self.admit_prompt(fingerprint, &[])
    }

    /// Admits a copy of a request with these prompt parts.
    ///
    /// # Errors
    ///
    /// [`CopyRefusal`] if the request or one of its parts crashes backend servers, or if the outcome
    /// of another copy or trial is awaited.
    pub fn admit_prompt(
        &self,
        fingerprint: RequestFingerprint,
        parts: &[RequestFingerprint],
    ) -> Result<CopyGuard, CopyRefusal> {
        let now = self.now();
        let mut state = self.state();
        state.settle(now);
        let running = state.running.get(&fingerprint).copied().unwrap_or_default();
        match state.decide(fingerprint, now) {
            // Popular requests are not held up by a single crash, which they may not have caused.
            SuspectDecision::Clear | SuspectDecision::Watched { ends: 1 } => {}
            SuspectDecision::Watched { ends } | SuspectDecision::Trial { ends } => {
                if running > 0 {
                    return Err(CopyRefusal::CopyRuns { ends });
                }
            }
            SuspectDecision::Refused { ends } => return Err(CopyRefusal::Deadly { ends }),
        }
        let mut admitted = vec![fingerprint];
        match state.decide_parts(parts, now) {
            PartDecision::Clear => {}
            PartDecision::Trial(group) => {
                if group.parts.iter().any(|part| state.running.contains_key(part)) {
                    return Err(CopyRefusal::CopyRuns { ends: group.crashes.len() });
                }
                admitted.extend(&group.parts);
            }
            PartDecision::Refused(group) => {
                let (part, ends) = (group.parts[0], group.crashes.len());
                return Err(CopyRefusal::DeadlyPart { part, ends });
            }
        }
        for fingerprint in &admitted {
            *state.running.entry(*fingerprint).or_default() += 1;
        }
        drop(state);
        Ok(CopyGuard { tracker: self.clone(), fingerprints: admitted })
    }

    /// Records that a backend server crashed while running a request, and the prompt parts on which
    /// that run was starting.
    pub fn record_crash(
        &self,
        fingerprint: RequestFingerprint,
        starting_parts: &[RequestFingerprint],
        backend: &CrashedInstance,
    ) {
        let at = self.now();
        let fingerprints = starting_parts.iter().chain(std::iter::once(&fingerprint));
        let crashes: Vec<BackendCrash> = fingerprints
            .map(|fingerprint| BackendCrash {
                fingerprint: *fingerprint,
                backend: Arc::clone(backend),
                at,
            })
            .collect();
        self.record_crashes_at(&crashes);
    }

    fn record_crashes_at(&self, crashes: &[BackendCrash]) {
        let now = self.now();
        let mut state = self.state();
        let new = state.registry.record_crashes(crashes, now);
        let mut decisions = Vec::new();
        for crash in new {
            decisions.push((crash.fingerprint, state.registry.decide(crash.fingerprint, crash.at)));
            state.queue_update(SuspectUpdate::Crashed(crash));
        }
        state.log_group_changes();
        drop(state);
        for (fingerprint, decision) in &decisions {
            log_decision(*fingerprint, *decision, "seen");
        }
        if !decisions.is_empty() {
            self.changed.notify_one();
            self.refusals.send_replace(());
        }
    }

    /// Records that a backend server with an unknown start time crashed `age` ago while running a
    /// request.
    pub fn record_unidentified_crash(
        &self,
        fingerprint: RequestFingerprint,
        backend: &str,
        age: Duration,
    ) {
        let at = self.now().saturating_sub(age);
        let start = self.state().instance_names.name(backend, at);
        self.record_crashes_at(&[BackendCrash { fingerprint, backend: start, at }]);
    }

    /// Records that a copy succeeded.
    pub fn record_success(&self, fingerprint: RequestFingerprint) {
        self.record_success_at(fingerprint, self.now());
    }

    /// Records that an answer whose first event arrived `age` ago has begun well on these parts.
    pub fn record_begun_well(&self, parts: &[RequestFingerprint], age: Duration) {
        let at = self.now().saturating_sub(age);
        for part in parts {
            self.record_success_at(*part, at);
        }
    }

    fn record_success_at(&self, fingerprint: RequestFingerprint, at: Moment) {
        let mut state = self.state();
        if !state.registry.record_success(fingerprint, at) {
            return;
        }
        let update = SuspectUpdate::Succeeded { fingerprint, at };
        state.record_change(&update);
        state.queue_update(update);
        drop(state);
        log_decision(fingerprint, SuspectDecision::Clear, "seen");
        self.changed.notify_one();
    }
}

/// Returns the newest `max_updates` crashes.
fn newest(mut crashes: Vec<BackendCrash>, max_updates: usize) -> Vec<SuspectUpdate> {
    crashes.sort_by_key(|crash| std::cmp::Reverse(crash.at));
    crashes.into_iter().take(max_updates).map(SuspectUpdate::Crashed).collect()
}

fn log_decision(fingerprint: RequestFingerprint, decision: SuspectDecision, from: &str) {
    log::info!("event=suspect print={fingerprint} decision={decision:?} from={from}");
}

/// A running copy; dropping the guard marks it as finished.
#[derive(Debug)]
pub struct CopyGuard {
    tracker: SuspectTracker,
    /// The request, and the parts that it tries.
    fingerprints: Vec<RequestFingerprint>,
}

impl Drop for CopyGuard {
    fn drop(&mut self) {
        let mut state = self.tracker.state();
        for fingerprint in &self.fingerprints {
            if let Some(count) = state.running.get_mut(fingerprint) {
                *count -= 1;
                if *count == 0 {
                    state.running.remove(fingerprint);
                }
            }
        }
    }
}
