//! Crashed instances, with what was running on each.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;

use crate::fingerprint::RequestFingerprint;
use crate::registry::{BackendCrash, CrashedInstance};

/// Crashes within this time count as simultaneous: a host detects each within a round trip.
pub(crate) const SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(100);

/// The fingerprints recorded for a crashed instance.
#[derive(Clone, Debug)]
pub(crate) struct CrashedRuns {
    pub(crate) fingerprints: Vec<RequestFingerprint>,
    /// Detection time of the crash, from the first report.
    pub(crate) at: Moment,
    /// When this host learnt of the crash.
    pub(crate) learned_at: Moment,
}

/// The recorded crashes by instance and by time.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashIndex {
    by_instance: HashMap<CrashedInstance, CrashedRuns>,
    by_time: BTreeSet<(Moment, CrashedInstance)>,
}

impl CrashIndex {
    pub(crate) fn add(&mut self, crash: &BackendCrash, learned_at: Moment) {
        let new = || CrashedRuns { fingerprints: Vec::new(), at: crash.at, learned_at };
        let runs = self.by_instance.entry(Arc::clone(&crash.backend)).or_insert_with(new);
        runs.fingerprints.push(crash.fingerprint);
        self.by_time.insert((runs.at, Arc::clone(&crash.backend)));
    }

    pub(crate) fn remove(&mut self, fingerprint: RequestFingerprint, backend: &CrashedInstance) {
        let Some(runs) = self.by_instance.get_mut(backend) else { return };
        runs.fingerprints.retain(|other| *other != fingerprint);
        if runs.fingerprints.is_empty() {
            self.by_time.remove(&(runs.at, Arc::clone(backend)));
            self.by_instance.remove(backend);
        }
    }

    /// What was running on a crashed instance.
    pub(crate) fn runs(&self, backend: &CrashedInstance) -> Option<&CrashedRuns> {
        self.by_instance.get(backend)
    }

    /// Instances that crashed at the same time.
    pub(crate) fn simultaneous(&self, at: Moment) -> impl Iterator<Item = &CrashedInstance> {
        let first = (at.saturating_sub(SIMULTANEOUS_WINDOW), CrashedInstance::from(""));
        let last = at + SIMULTANEOUS_WINDOW;
        let near = self.by_time.range(first..).take_while(move |(at, _other)| *at <= last);
        near.map(|(_at, backend)| backend)
    }
}

/// Sorts moments and merges those within `window`.
pub(crate) fn distinct_moments(
    moments: impl Iterator<Item = Moment>,
    window: Duration,
) -> Vec<Moment> {
    let mut moments: Vec<Moment> = moments.collect();
    moments.sort_unstable();
    moments.dedup_by(|later, first| later.since(*first) <= window);
    moments
}
