//! Crashes recorded for one request or prompt part.

use std::sync::Arc;

use dillspool_moment::Moment;

use crate::registry::CrashedInstance;

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
