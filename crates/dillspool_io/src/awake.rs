//! Whether this process has been running all the time.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_moment::Moment;
use tokio_util::sync::CancellationToken;

use crate::host_clock::HostClock;

/// Time between two notes that the process runs.
const NOTE_EVERY: Duration = Duration::from_millis(250);
/// Time without a note from which on the process counts as stalled; a busy host is late by less.
const STALL: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug)]
struct AwakeState {
    noted: Moment,
    /// Start and end of the last stall.
    stall: Option<(Moment, Moment)>,
}

/// Notices stalls: the host was suspended, or its process stopped. Wakes whatever waits by its clock.
///
/// What came in meanwhile waits in its connections, and would be taken for news of the moment at which it
/// is read. See `docs/design/clocks.md`.
#[derive(Clone)]
pub struct StallDetector {
    clock: HostClock,
    state: Arc<Mutex<AwakeState>>,
}

impl fmt::Debug for StallDetector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AwakeWatch")
    }
}

impl StallDetector {
    /// Starts a watch by a clock, until `cancel`.
    pub fn start(clock: HostClock, cancel: CancellationToken) -> Self {
        let state = AwakeState { noted: clock.now(), stall: None };
        let watch = Self { clock, state: Arc::new(Mutex::new(state)) };
        tokio::spawn(watch.clone().run(cancel));
        watch
    }

    /// The clock.
    pub fn clock(&self) -> &HostClock {
        &self.clock
    }

    async fn run(self, cancel: CancellationToken) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(NOTE_EVERY) => {
                    self.note();
                }
                () = cancel.cancelled() => return,
            }
        }
    }

    /// Notes that the process runs; the last stall.
    fn note(&self) -> Option<(Moment, Moment)> {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let gap = now.since(state.noted);
        if gap >= STALL {
            state.stall = Some((state.noted, now));
            log::info!("event=stalled for_ms={}", gap.as_millis());
            self.clock.record_stall();
        }
        state.noted = state.noted.max(now);
        state.stall
    }

    /// The moment up to which something that was waited for since `since`, and is there now, tells of the
    /// present: now, or the start of a stall in that time.
    pub fn observed_at(&self, since: Moment) -> Moment {
        let stall = self.note();
        let within = stall.filter(|(_from, to)| since < *to);
        within.map_or_else(|| self.clock.now(), |(from, _to)| from.max(since))
    }
}
