//! Requests that may end the engines of a pool: one copy of a suspect runs at a time in the whole fleet.
//!
//! The scheduler is where all copies of a request meet, whatever host they come to. Entry hosts tell it
//! which engines ended under them, and tell a new scheduler again. See `docs/design/suspects.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use dillspool_schema::StreamId;
use dillspool_schema::messages::{EndedRun, RefuseCause, ReleaseCause, ReleaseMessage};
use dillspool_suspects::{CopyGuard, CopyRefusal, RequestFingerprint, SuspectTracker};

/// Copies under way in a pool.
#[derive(Debug)]
pub(crate) struct CopyBook {
    desk: SuspectTracker,
    under_way: BTreeMap<StreamId, CopyGuard>,
}

impl CopyBook {
    pub(crate) fn new(desk: SuspectTracker) -> Self {
        Self { desk, under_way: BTreeMap::new() }
    }

    /// Lets a copy wait for engines, or tells why not.
    pub(crate) fn enter(
        &mut self,
        stream: &StreamId,
        print: Option<&str>,
    ) -> Result<(), RefuseCause> {
        // A sender of another version names no request, or names it otherwise.
        let Some(print) = print.and_then(|print| print.parse().ok()) else { return Ok(()) };
        match self.desk.admit(print) {
            Ok(guard) => {
                self.under_way.insert(stream.clone(), guard);
                Ok(())
            }
            Err(CopyRefusal::Deadly { .. }) => Err(RefuseCause::Deadly),
            Err(CopyRefusal::CopyRuns { .. }) => Err(RefuseCause::CopyRuns),
        }
    }

    /// A copy waits or runs no more.
    pub(crate) fn leave(&mut self, stream: &StreamId) {
        self.under_way.remove(stream);
    }

    /// Drops copies whose owners are gone.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&StreamId) -> bool) {
        self.under_way.retain(|stream, _guard| is_known(stream));
    }

    /// Takes what a copy came to.
    pub(crate) fn note_released(&mut self, message: &ReleaseMessage) {
        self.leave(&message.stream);
        let Some(print) = message.print.as_ref().and_then(|print| print.parse().ok()) else {
            return;
        };
        if let Some(engine) = &message.ended {
            self.desk.record_unidentified_crash(print, engine, Duration::ZERO);
        } else if message.cause == ReleaseCause::Done {
            self.desk.record_success(print);
        }
    }

    /// Takes what an entry host had told the scheduler before.
    pub(crate) fn learn(&self, ended: &[EndedRun]) {
        for end in ended {
            if let Ok(print) = end.print.parse::<RequestFingerprint>() {
                let age = Duration::from_millis(end.age_ms);
                self.desk.record_unidentified_crash(print, &end.engine, age);
            }
        }
    }
}
