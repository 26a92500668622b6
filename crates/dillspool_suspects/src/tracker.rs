//! Tracks crashes and running copies of requests for one host.

use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_moment::Moment;
use tokio::sync::Notify;

use crate::fingerprint::RequestFingerprint;
use crate::instance_names::InstanceNames;
use crate::policy::SuspectPolicy;
use crate::registry::{
    BackendCrash, CrashedInstance, SuspectDecision, SuspectRegistry, SuspectUpdate,
};

/// Maximum number of updates queued for other hosts; the oldest are dropped first.
const MAX_QUEUED_UPDATES: usize = 1024;

struct TrackerState {
    registry: SuspectRegistry,
    /// Requests that an operator has exempted.
    lifted: HashSet<RequestFingerprint>,
    /// Number of copies running on this host.
    running: HashMap<RequestFingerprint, usize>,
    updates: VecDeque<SuspectUpdate>,
    instance_names: InstanceNames,
}

/// Decides on copies of requests, based on crashes seen by this host and reported by others.
#[derive(Clone)]
pub struct SuspectTracker {
    state: Arc<Mutex<TrackerState>>,
    clock: HostClock,
    changed: Arc<Notify>,
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
    /// Another copy is running on this host; its outcome is awaited first.
    CopyRuns {
        /// Consecutive crashes.
        ends: usize,
    },
}

impl SuspectTracker {
    /// Creates a tracker without any recorded crashes.
    pub fn new(policy: SuspectPolicy, clock: HostClock) -> Self {
        let state = TrackerState {
            registry: SuspectRegistry::new(policy),
            lifted: HashSet::new(),
            running: HashMap::new(),
            updates: VecDeque::new(),
            instance_names: InstanceNames::default(),
        };
        Self { state: Arc::new(Mutex::new(state)), clock, changed: Arc::default() }
    }

    fn state(&self) -> MutexGuard<'_, TrackerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Current time on this tracker's clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Sets the requests that an operator exempts, whatever crashes are recorded for them.
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
                (crash.fingerprint, state.registry.record_crash(crash))
            }
            SuspectUpdate::Succeeded { fingerprint, at } => {
                (*fingerprint, state.registry.record_success(*fingerprint, *at))
            }
        };
        let decision = state.registry.decide(fingerprint, now);
        drop(state);
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
        newest(crashes, max_updates)
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

    /// Decides on a request as of now.
    pub fn decide(&self, fingerprint: RequestFingerprint) -> SuspectDecision {
        let now = self.now();
        self.state().decide(fingerprint, now)
    }

    /// Whether the cause of a failed run should be known before the request is sent again.
    pub fn needs_failure_cause(&self, fingerprint: RequestFingerprint) -> bool {
        let now = self.now();
        self.state().registry.is_near_refusal(fingerprint, now)
    }

    /// Admits a copy of a request.
    ///
    /// # Errors
    ///
    /// [`CopyRefusal`] if the request crashes backend servers, or if the outcome of another copy is
    /// awaited.
    pub fn admit(&self, fingerprint: RequestFingerprint) -> Result<CopyGuard, CopyRefusal> {
        let now = self.now();
        let mut state = self.state();
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
        *state.running.entry(fingerprint).or_default() += 1;
        Ok(CopyGuard { tracker: self.clone(), fingerprint })
    }

    /// Records that a backend server crashed while running a request.
    pub fn record_crash(&self, fingerprint: RequestFingerprint, backend: CrashedInstance) {
        self.record_crash_at(BackendCrash { fingerprint, backend, at: self.now() });
    }

    fn record_crash_at(&self, crash: BackendCrash) {
        let fingerprint = crash.fingerprint;
        let mut state = self.state();
        if !state.registry.record_crash(&crash) {
            return;
        }
        let decision = state.registry.decide(fingerprint, crash.at);
        state.queue_update(SuspectUpdate::Crashed(crash));
        drop(state);
        log_decision(fingerprint, decision, "seen");
        self.changed.notify_one();
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
        self.record_crash_at(BackendCrash { fingerprint, backend: start, at });
    }

    /// Records that a copy succeeded.
    pub fn record_success(&self, fingerprint: RequestFingerprint) {
        let at = self.now();
        let mut state = self.state();
        if !state.registry.record_success(fingerprint, at) {
            return;
        }
        state.queue_update(SuspectUpdate::Succeeded { fingerprint, at });
        drop(state);
        log_decision(fingerprint, SuspectDecision::Clear, "seen");
        self.changed.notify_one();
    }
}

impl TrackerState {
    fn decide(&self, fingerprint: RequestFingerprint, now: Moment) -> SuspectDecision {
        if self.lifted.contains(&fingerprint) {
            return SuspectDecision::Clear;
        }
        self.registry.decide(fingerprint, now)
    }

    fn queue_update(&mut self, update: SuspectUpdate) {
        if self.updates.len() >= MAX_QUEUED_UPDATES {
            self.updates.pop_front();
        }
        self.updates.push_back(update);
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
    fingerprint: RequestFingerprint,
}

impl Drop for CopyGuard {
    fn drop(&mut self) {
        let mut state = self.tracker.state();
        if let Some(count) = state.running.get_mut(&self.fingerprint) {
            *count -= 1;
            if *count == 0 {
                state.running.remove(&self.fingerprint);
            }
        }
    }
}
