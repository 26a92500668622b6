//! Crashes of backend servers by what was running, and the resulting decisions.

use std::sync::Arc;

use dillspool_moment::Moment;

use crate::fingerprint::RequestFingerprint;
use crate::part_group::PartGroup;
use crate::part_registry::{PartDecision, PartRegistry};
use crate::policy::SuspectPolicy;
use crate::request_registry::RequestRegistry;

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

/// Requests and prompt parts that may have crashed backend servers.
#[derive(Clone, Debug)]
pub struct SuspectRegistry {
    requests: RequestRegistry,
    parts: PartRegistry,
}

impl SuspectRegistry {
    /// Creates an empty registry.
    pub fn new(policy: SuspectPolicy) -> Self {
        Self { requests: RequestRegistry::new(policy), parts: PartRegistry::new(policy.parts) }
    }

    /// Records crashes, of one instance or several, of which this host learns now; returns those that
    /// are new.
    pub fn record_crashes(&mut self, crashes: &[BackendCrash], now: Moment) -> Vec<BackendCrash> {
        let mut new = Vec::new();
        for crash in crashes {
            let is_new = if crash.fingerprint.is_part() {
                self.parts.record_crash(crash, now)
            } else {
                self.requests.record_crash(crash)
            };
            if is_new {
                new.push(crash.clone());
            }
        }
        if !new.is_empty() {
            self.refresh(now);
        }
        new
    }

    /// Records a crash of which this host learns as it is detected; returns whether it was new.
    pub fn record_crash(&mut self, crash: &BackendCrash) -> bool {
        !self.record_crashes(std::slice::from_ref(crash), crash.at).is_empty()
    }

    /// Records that a copy of a request succeeded, or that an answer began well on a part; returns
    /// whether this cleared any crashes.
    pub fn record_success(&mut self, fingerprint: RequestFingerprint, at: Moment) -> bool {
        if !fingerprint.is_part() {
            return self.requests.record_success(fingerprint, at);
        }
        let has_cleared = self.parts.record_success(fingerprint, at);
        if has_cleared {
            self.refresh(at);
        }
        has_cleared
    }

    /// Finds anew which parts are refused, and which crashes that explains.
    fn refresh(&mut self, now: Moment) {
        self.parts.refresh(self.requests.index(), now);
        self.requests.set_explained(self.parts.explained().clone());
    }

    /// Finds anew which parts are refused if reports of a crash have become complete since the last
    /// time; returns whether they have.
    pub fn settle(&mut self, now: Moment) -> bool {
        let is_due = self.parts.unsettled_until().is_some_and(|until| until <= now);
        if is_due {
            self.refresh(now);
        }
        is_due
    }

    /// Whether reports of a crash may still be incomplete.
    pub fn is_unsettled(&self) -> bool {
        self.parts.unsettled_until().is_some()
    }

    /// Decides on a copy of a request that arrives now. For a part: what is known of it, whatever
    /// else the request contains.
    pub fn decide(&self, fingerprint: RequestFingerprint, now: Moment) -> SuspectDecision {
        if !fingerprint.is_part() {
            return self.requests.decide(fingerprint, now);
        }
        let group = self.parts.group_of(fingerprint);
        let group_parts = group.map_or(&[][..], |group| &group.parts);
        match self.parts.decide(group_parts, 0.0, now) {
            PartDecision::Refused(group) => SuspectDecision::Refused { ends: group.crashes.len() },
            PartDecision::Trial(group) => SuspectDecision::Trial { ends: group.crashes.len() },
            PartDecision::Clear => match self.parts.count_crashes(fingerprint, now) {
                0 => SuspectDecision::Clear,
                ends => SuspectDecision::Watched { ends },
            },
        }
    }

    /// Decides on a request with these prompt parts that arrives now. `spread`, from 0 to 1, delays
    /// trials by up to half a refusal period.
    pub fn decide_parts(
        &self,
        parts: &[RequestFingerprint],
        spread: f64,
        now: Moment,
    ) -> PartDecision<'_> {
        self.parts.decide(parts, spread, now)
    }

    /// Groups of parts that are refused or tried.
    pub fn part_groups(&self) -> &[PartGroup] {
        self.parts.groups()
    }

    /// When an answer last began well on a part, as far as this host knows.
    pub fn last_success(&self, part: RequestFingerprint) -> Option<Moment> {
        self.parts.last_success(part)
    }

    /// Consecutive crashes of a request or part.
    pub fn crashes(&self, fingerprint: RequestFingerprint) -> Vec<BackendCrash> {
        if fingerprint.is_part() {
            self.parts.crashes(fingerprint)
        } else {
            self.requests.crashes(fingerprint)
        }
    }

    /// Consecutive crashes of all requests and parts.
    pub fn all_crashes(&self) -> Vec<BackendCrash> {
        let mut crashes = self.requests.all_crashes();
        crashes.extend(self.parts.parts().flat_map(|part| self.parts.crashes(part)));
        crashes
    }

    /// Whether one more crash may cause it to be refused.
    pub fn is_near_refusal(&self, fingerprint: RequestFingerprint, now: Moment) -> bool {
        if fingerprint.is_part() {
            self.parts.is_near_refusal(fingerprint, now)
        } else {
            self.requests.is_near_refusal(fingerprint, now)
        }
    }

    /// Number of watched requests, and of refused or tried ones.
    pub fn counts(&self, now: Moment) -> (usize, usize) {
        self.requests.counts(now)
    }

    /// Number of watched parts, and of groups of parts that are refused or tried.
    pub fn part_counts(&self, now: Moment) -> (usize, usize) {
        (self.parts.count_watched(now), self.parts.groups().len())
    }

    /// Removes requests and parts against which no crashes are held any more.
    pub fn remove_expired(&mut self, now: Moment) {
        self.requests.remove_expired(now);
        self.parts.remove_expired(now);
        self.refresh(now);
    }
}
