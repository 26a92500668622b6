//! Limits requests that may crash engines: one copy of a suspect runs at a time in the whole fleet.
//!
//! The scheduler sees all copies of a request, whichever host they arrive at. Entry hosts report the
//! engines that crashed under a request, and repeat the report to a new scheduler. See
//! `docs/design/suspects.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_schema::StreamId;
use dillspool_schema::messages::{EndedRun, RefuseCause, ReleaseCause, ReleaseMessage};
use dillspool_suspects::{CopyGuard, CopyRefusal, RequestFingerprint, SuspectTracker};

/// Copies of requests that are queued or running in a pool.
#[derive(Debug)]
pub(crate) struct CopyRegistry {
    tracker: SuspectTracker,
    active: BTreeMap<StreamId, CopyGuard>,
}

impl CopyRegistry {
    pub(crate) fn new(tracker: SuspectTracker) -> Self {
        Self { tracker, active: BTreeMap::new() }
    }

    /// Admits a copy to the queue, or returns why it is refused.
    pub(crate) fn admit(
        &mut self,
        stream: &StreamId,
        fingerprint: Option<&str>,
    ) -> Result<(), RefuseCause> {
        // A host of another version may send no fingerprint or one in another format.
        let Some(fingerprint) = fingerprint.and_then(|text| text.parse().ok()) else {
            return Ok(());
        };
        match self.tracker.admit(fingerprint) {
            Ok(guard) => {
                self.active.insert(stream.clone(), guard);
                Ok(())
            }
            Err(CopyRefusal::Deadly { .. } | CopyRefusal::DeadlyPart { .. }) => {
                Err(RefuseCause::Deadly)
            }
            Err(CopyRefusal::CopyRuns { .. }) => Err(RefuseCause::CopyRuns),
        }
    }

    /// Removes a copy that is no longer queued or running.
    pub(crate) fn remove(&mut self, stream: &StreamId) {
        self.active.remove(stream);
    }

    /// Drops copies whose owners are gone.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&StreamId) -> bool) {
        self.active.retain(|stream, _guard| is_known(stream));
    }

    /// Records the outcome of a copy.
    pub(crate) fn record_release(&mut self, message: &ReleaseMessage) {
        self.remove(&message.stream);
        let Some(fingerprint) = message.print.as_ref().and_then(|text| text.parse().ok()) else {
            return;
        };
        if let Some(engine) = &message.ended {
            self.tracker.record_unidentified_crash(fingerprint, engine, Duration::ZERO);
        } else if message.cause == ReleaseCause::Done {
            self.tracker.record_success(fingerprint);
        }
    }

    /// Records the crashes that an entry host reports to a new scheduler.
    pub(crate) fn apply_reported_crashes(&self, crashes: &[EndedRun]) {
        for crash in crashes {
            if let Ok(fingerprint) = crash.print.parse::<RequestFingerprint>() {
                let age = Duration::from_millis(crash.age_ms);
                self.tracker.record_unidentified_crash(fingerprint, &crash.engine, age);
            }
        }
    }
}
