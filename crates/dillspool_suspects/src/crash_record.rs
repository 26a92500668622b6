//! Crashes recorded for one request or prompt part.

use std::sync::Arc;

use dillspool_moment::Moment;

use crate::fingerprint::RequestFingerprint;
use crate::registry::CrashedInstance;

/// When a registry is full, this fraction (one eighth) is evicted at once rather than one entry at a
/// time.
const EVICTION_DIVISOR: usize = 8;

/// What is known about one request or prompt part.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashRecord {
    crashes: Vec<(CrashedInstance, Moment)>,
    /// When it last succeeded; only later crashes are held against it.
    succeeded_at: Option<Moment>,
}

/// Result of adding a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AddOutcome {
    /// It was recorded before.
    Known,
    /// It is new; the oldest crash may have been dropped for it.
    Added { dropped: Option<CrashedInstance> },
}

impl CrashRecord {
    /// Adds a crash, and drops the oldest one beyond `max_crashes`.
    pub(crate) fn add(
        &mut self,
        backend: &CrashedInstance,
        at: Moment,
        max_crashes: usize,
    ) -> AddOutcome {
        if self.crashes.iter().any(|(known, _at)| known == backend) {
            return AddOutcome::Known;
        }
        self.crashes.push((Arc::clone(backend), at));
        let dropped = (self.crashes.len() > max_crashes).then(|| self.crashes.remove(0).0);
        AddOutcome::Added { dropped }
    }

    /// Records a success; returns whether it clears any crashes.
    pub(crate) fn record_success(&mut self, at: Moment) -> bool {
        let clears = self.consecutive().any(|(_backend, crashed_at)| *crashed_at <= at);
        self.succeeded_at = self.succeeded_at.max(Some(at));
        clears
    }

    /// Whether it has succeeded at this moment or later.
    pub(crate) fn has_succeeded_since(&self, at: Moment) -> bool {
        self.succeeded_at.is_some_and(|success| success >= at)
    }

    /// Crashes since the last success.
    pub(crate) fn consecutive(&self) -> impl Iterator<Item = &(CrashedInstance, Moment)> {
        self.crashes
            .iter()
            .filter(|(_backend, at)| self.succeeded_at.is_none_or(|success| *at > success))
    }

    /// Instances of all recorded crashes.
    pub(crate) fn instances(&self) -> impl Iterator<Item = &CrashedInstance> {
        self.crashes.iter().map(|(backend, _at)| backend)
    }

    pub(crate) fn latest_crash(&self) -> Moment {
        self.crashes.iter().map(|(_backend, at)| *at).max().unwrap_or_default()
    }
}

/// The records to evict from a full registry: those with the fewest and oldest crashes, `excess` of
/// them or an eighth of `max_records`.
pub(crate) fn evicted<'a>(
    records: impl Iterator<Item = (&'a RequestFingerprint, &'a CrashRecord)>,
    excess: usize,
    max_records: usize,
) -> Vec<RequestFingerprint> {
    if excess == 0 {
        return Vec::new();
    }
    let mut order: Vec<_> = records
        .map(|(fingerprint, record)| {
            (record.consecutive().count(), record.latest_crash(), *fingerprint)
        })
        .collect();
    order.sort_unstable();
    let count = excess.max(max_records / EVICTION_DIVISOR);
    order.into_iter().take(count).map(|(_crashes, _latest, fingerprint)| fingerprint).collect()
}
