//! State of a tracker, and what follows from its changes.

use std::collections::{HashMap, HashSet, VecDeque};

use dillspool_moment::Moment;
use rand::Rng;

use crate::fingerprint::{RequestFingerprint, join_fingerprints};
use crate::instance_names::InstanceNames;
use crate::part_group::PartGroup;
use crate::part_registry::PartDecision;
use crate::policy::SuspectPolicy;
use crate::registry::{SuspectDecision, SuspectRegistry, SuspectUpdate};

/// Maximum number of updates queued for other hosts; the oldest are dropped first.
const MAX_QUEUED_UPDATES: usize = 1024;

pub(super) struct TrackerState {
    pub(super) registry: SuspectRegistry,
    /// Requests that an operator has exempted.
    pub(super) lifted: HashSet<RequestFingerprint>,
    /// Number of copies running on this host, and of trials of parts.
    pub(super) running: HashMap<RequestFingerprint, usize>,
    pub(super) updates: VecDeque<SuspectUpdate>,
    pub(super) instance_names: InstanceNames,
    /// Position of this host in the period over which trials of a part are spread, from 0 to 1.
    pub(super) trial_spread: f64,
    /// Groups of parts that the log shows as refused.
    pub(super) logged_groups: Vec<PartGroup>,
    /// Number of times that crashes of parts were cleared.
    pub(super) cleared_parts: u64,
}

impl TrackerState {
    /// A state without any recorded crashes.
    pub(super) fn new(policy: SuspectPolicy) -> Self {
        Self {
            registry: SuspectRegistry::new(policy),
            lifted: HashSet::new(),
            running: HashMap::new(),
            updates: VecDeque::new(),
            instance_names: InstanceNames::default(),
            trial_spread: rand::rng().random_range(0.0..1.0),
            logged_groups: Vec::new(),
            cleared_parts: 0,
        }
    }

    pub(super) fn decide(&self, fingerprint: RequestFingerprint, now: Moment) -> SuspectDecision {
        if self.lifted.contains(&fingerprint) {
            return SuspectDecision::Clear;
        }
        self.registry.decide(fingerprint, now)
    }

    pub(super) fn decide_parts(
        &self,
        parts: &[RequestFingerprint],
        now: Moment,
    ) -> PartDecision<'_> {
        if self.lifted.is_empty() {
            return self.registry.decide_parts(parts, self.trial_spread, now);
        }
        let held: Vec<_> =
            parts.iter().filter(|part| !self.lifted.contains(part)).copied().collect();
        self.registry.decide_parts(&held, self.trial_spread, now)
    }

    pub(super) fn settle(&mut self, now: Moment) {
        if self.registry.settle(now) {
            self.log_group_changes();
        }
    }

    pub(super) fn is_refused(&self, fingerprint: RequestFingerprint, now: Moment) -> bool {
        matches!(self.registry.decide(fingerprint, now), SuspectDecision::Refused { .. })
    }

    /// Follows up on an update that has changed the registry.
    pub(super) fn record_change(&mut self, update: &SuspectUpdate) {
        match update {
            SuspectUpdate::Crashed(crash) if crash.fingerprint.is_part() => {
                let fingerprint = crash.fingerprint;
                // The host that reports it does not know that the part began well here since.
                let success = self.registry.last_success(fingerprint);
                if let Some(at) = success.filter(|at| *at >= crash.at) {
                    self.queue_update(SuspectUpdate::Succeeded { fingerprint, at });
                }
            }
            SuspectUpdate::Succeeded { fingerprint, .. } if fingerprint.is_part() => {
                self.cleared_parts += 1;
            }
            SuspectUpdate::Crashed(_) | SuspectUpdate::Succeeded { .. } => return,
        }
        self.log_group_changes();
    }

    pub(super) fn log_group_changes(&mut self) {
        let groups = self.registry.part_groups();
        if groups == self.logged_groups {
            return;
        }
        for group in groups.iter().filter(|group| !self.logged_groups.contains(group)) {
            log::info!(
                "event=parts_refused parts={} ends={} for_s={}",
                join_fingerprints(&group.parts),
                group.crashes.len(),
                group.refusal_period.as_secs(),
            );
        }
        let is_left = |known: &&PartGroup| !groups.iter().any(|group| group.parts == known.parts);
        for group in self.logged_groups.iter().filter(is_left) {
            log::info!("event=parts_allowed parts={}", join_fingerprints(&group.parts));
        }
        self.logged_groups = groups.to_vec();
    }

    pub(super) fn queue_update(&mut self, update: SuspectUpdate) {
        if self.updates.len() >= MAX_QUEUED_UPDATES {
            self.updates.pop_front();
        }
        self.updates.push_back(update);
    }
}
