//! What this host knows of requests under which backend servers ended, and which copies run here.

use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dillspool_io::HostClock;
use dillspool_moment::Moment;
use tokio::sync::Notify;

use crate::book::{BackendCrash, CrashedInstance, SuspectDecision, SuspectRegistry, SuspectUpdate};
use crate::policy::SuspectPolicy;
use crate::print::RequestFingerprint;
use crate::starts::StartNames;

/// News that wait to be told to other hosts at most; the oldest go first.
const MOST_NEWS: usize = 1024;

struct DeskState {
    book: SuspectRegistry,
    /// Requests that an operator lets run.
    lifted: HashSet<RequestFingerprint>,
    /// Copies under way on this host.
    under_way: HashMap<RequestFingerprint, usize>,
    news: VecDeque<SuspectUpdate>,
    starts: StartNames,
}

/// Decides on copies of requests, by what this host saw and what others told.
#[derive(Clone)]
pub struct SuspectTracker {
    state: Arc<Mutex<DeskState>>,
    clock: HostClock,
    changed: Arc<Notify>,
}

impl fmt::Debug for SuspectTracker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SuspectDesk")
    }
}

/// Why a copy is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyRefusal {
    /// Backend servers end under it.
    Deadly {
        /// Ends in a row.
        ends: usize,
    },
    /// Another copy runs here, and shall show first whether it does harm.
    CopyRuns {
        /// Ends in a row.
        ends: usize,
    },
}

impl SuspectTracker {
    /// A desk that knows nothing yet.
    pub fn new(policy: SuspectPolicy, clock: HostClock) -> Self {
        let state = DeskState {
            book: SuspectRegistry::new(policy),
            lifted: HashSet::new(),
            under_way: HashMap::new(),
            news: VecDeque::new(),
            starts: StartNames::default(),
        };
        Self { state: Arc::new(Mutex::new(state)), clock, changed: Arc::default() }
    }

    fn state(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The moment now, as this desk counts.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Takes the requests that an operator lets run whatever ended under them.
    pub fn set_lifted(&self, prints: Vec<RequestFingerprint>) {
        self.state().lifted = prints.into_iter().collect();
    }

    /// Waits for news, or for what others told of a request under which more than one backend server ended.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes the news since the last call.
    pub fn take_updates(&self) -> VecDeque<SuspectUpdate> {
        std::mem::take(&mut self.state().news)
    }

    /// Takes what another host, or this one before it started anew, has told; whether it is news here.
    pub fn apply_update(&self, news: &SuspectUpdate) -> bool {
        let now = self.now();
        let mut state = self.state();
        let (print, is_new) = match news {
            SuspectUpdate::Crashed(end) => (end.fingerprint, state.book.record_crash(end)),
            SuspectUpdate::Succeeded { fingerprint: print, at } => {
                (*print, state.book.record_success(*print, *at))
            }
        };
        let decision = state.book.decide(print, now);
        drop(state);
        // The host that saw it tells of a single end: hundreds of hosts would repeat each of its lines.
        if is_new && decision.ends() != 1 {
            log_decision(print, decision, "told");
            self.changed.notify_one();
        }
        is_new
    }

    /// What other hosts need to know beside news that came: all ends in a row of a request under which
    /// more than one backend server has ended. A crash stands against all that ran there, and most of
    /// that is of no use to others.
    pub fn updates_to_forward(&self, news: &SuspectUpdate) -> Vec<SuspectUpdate> {
        match news {
            SuspectUpdate::Succeeded { .. } => vec![news.clone()],
            SuspectUpdate::Crashed(end) => {
                let ends = self.state().book.crashes(end.fingerprint);
                let known = if ends.len() > 1 { ends } else { Vec::new() };
                known.into_iter().map(SuspectUpdate::Crashed).collect()
            }
        }
    }

    /// All ends that stand, the newest `most` of them.
    pub fn newest_updates(&self, most: usize) -> Vec<SuspectUpdate> {
        newest(self.state().book.all_crashes(), most)
    }

    /// The same of requests under which more than one backend server has ended.
    pub fn newest_repeated(&self, most: usize) -> Vec<SuspectUpdate> {
        let mut ends = self.state().book.all_crashes();
        let mut counts: HashMap<RequestFingerprint, usize> = HashMap::new();
        for end in &ends {
            *counts.entry(end.fingerprint).or_default() += 1;
        }
        ends.retain(|end| counts.get(&end.fingerprint).is_some_and(|count| *count > 1));
        newest(ends, most)
    }

    /// Forgets what stands against nobody any more.
    pub fn remove_expired(&self) {
        let now = self.now();
        self.state().book.remove_expired(now);
    }

    /// Requests that are watched, and those that are refused.
    pub fn counts(&self) -> (usize, usize) {
        let now = self.now();
        self.state().book.counts(now)
    }

    /// What is known of a request now.
    pub fn decide(&self, print: RequestFingerprint) -> SuspectDecision {
        let now = self.now();
        self.state().decide(print, now)
    }

    /// Whether it should be known why a run broke off before the request is sent once more.
    pub fn needs_failure_cause(&self, print: RequestFingerprint) -> bool {
        let now = self.now();
        self.state().book.is_near_refusal(print, now)
    }

    /// Lets a copy run, or tells why not.
    ///
    /// # Errors
    ///
    /// [`CopyRefusal`] when backend servers end under it, or another copy shall show first whether they do.
    pub fn admit(&self, print: RequestFingerprint) -> Result<CopyGuard, CopyRefusal> {
        let now = self.now();
        let mut state = self.state();
        let under_way = state.under_way.get(&print).copied().unwrap_or_default();
        match state.decide(print, now) {
            // What many ask alike is not held up by one crash that it may only have run beside.
            SuspectDecision::Clear | SuspectDecision::Watched { ends: 1 } => {}
            SuspectDecision::Watched { ends } | SuspectDecision::Trial { ends } => {
                if under_way > 0 {
                    return Err(CopyRefusal::CopyRuns { ends });
                }
            }
            SuspectDecision::Refused { ends } => return Err(CopyRefusal::Deadly { ends }),
        }
        *state.under_way.entry(print).or_default() += 1;
        Ok(CopyGuard { desk: self.clone(), print })
    }

    /// Notes that a backend server ended under a request that ran there.
    pub fn record_crash(&self, print: RequestFingerprint, backend: CrashedInstance) {
        self.note_end_at(BackendCrash { fingerprint: print, backend, at: self.now() });
    }

    fn note_end_at(&self, end: BackendCrash) {
        let print = end.fingerprint;
        let mut state = self.state();
        if !state.book.record_crash(&end) {
            return;
        }
        let decision = state.book.decide(print, end.at);
        state.tell(SuspectUpdate::Crashed(end));
        drop(state);
        log_decision(print, decision, "seen");
        self.changed.notify_one();
    }

    /// Notes that a backend server ended under a request some time ago, where nothing tells its start.
    pub fn record_unidentified_crash(
        &self,
        print: RequestFingerprint,
        backend: &str,
        age: Duration,
    ) {
        let at = self.now().saturating_sub(age);
        let start = self.state().starts.name(backend, at);
        self.note_end_at(BackendCrash { fingerprint: print, backend: start, at });
    }

    /// Notes that a copy came to a good end.
    pub fn record_success(&self, print: RequestFingerprint) {
        let at = self.now();
        let mut state = self.state();
        if !state.book.record_success(print, at) {
            return;
        }
        state.tell(SuspectUpdate::Succeeded { fingerprint: print, at });
        drop(state);
        log_decision(print, SuspectDecision::Clear, "seen");
        self.changed.notify_one();
    }
}

impl DeskState {
    fn decide(&self, print: RequestFingerprint, now: Moment) -> SuspectDecision {
        if self.lifted.contains(&print) {
            return SuspectDecision::Clear;
        }
        self.book.decide(print, now)
    }

    fn tell(&mut self, news: SuspectUpdate) {
        if self.news.len() >= MOST_NEWS {
            self.news.pop_front();
        }
        self.news.push_back(news);
    }
}

/// The newest `most` of some ends.
fn newest(mut ends: Vec<BackendCrash>, most: usize) -> Vec<SuspectUpdate> {
    ends.sort_by_key(|end| std::cmp::Reverse(end.at));
    ends.into_iter().take(most).map(SuspectUpdate::Crashed).collect()
}

fn log_decision(print: RequestFingerprint, decision: SuspectDecision, from: &str) {
    log::info!("event=suspect print={print} decision={decision:?} from={from}");
}

/// A copy that runs here; dropping it ends it.
#[derive(Debug)]
pub struct CopyGuard {
    desk: SuspectTracker,
    print: RequestFingerprint,
}

impl Drop for CopyGuard {
    fn drop(&mut self) {
        let mut state = self.desk.state();
        if let Some(count) = state.under_way.get_mut(&self.print) {
            *count -= 1;
            if *count == 0 {
                state.under_way.remove(&self.print);
            }
        }
    }
}
