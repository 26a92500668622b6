//! Detects when this process was suspended or stopped.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_moment::Moment;
use tokio_util::sync::CancellationToken;

use crate::host_clock::HostClock;

const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Gap between two checks from which on the process counts as stalled. Load alone delays a check by less.
const STALL_THRESHOLD: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug)]
struct DetectorState {
    last_check: Moment,
    /// Start and end of the last stall.
    stall: Option<(Moment, Moment)>,
}

/// Detects stalls, in which the host was suspended or its process stopped, and wakes the waiters of its
/// [`HostClock`].
///
/// Data that arrived during a stall waits in socket buffers. Without the detector, a reader would date it
/// to the time of the read and take stale data for fresh. See `docs/design/clocks.md`.
#[derive(Clone)]
pub struct StallDetector {
    clock: HostClock,
    state: Arc<Mutex<DetectorState>>,
}

impl fmt::Debug for StallDetector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AwakeWatch")
    }
}

impl StallDetector {
    /// Starts a task that checks `clock` for stalls until `cancel`.
    pub fn start(clock: HostClock, cancel: CancellationToken) -> Self {
        let state = DetectorState { last_check: clock.now(), stall: None };
        let detector = Self { clock, state: Arc::new(Mutex::new(state)) };
        tokio::spawn(detector.clone().run(cancel));
        detector
    }

    /// Returns the clock that the detector checks.
    pub fn clock(&self) -> &HostClock {
        &self.clock
    }

    async fn run(self, cancel: CancellationToken) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(CHECK_INTERVAL) => {
                    self.check();
                }
                () = cancel.cancelled() => return,
            }
        }
    }

    /// Records a stall if the last check is too long ago, and returns the start and end of the last stall.
    fn check(&self) -> Option<(Moment, Moment)> {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let gap = now.since(state.last_check);
        if gap >= STALL_THRESHOLD {
            state.stall = Some((state.last_check, now));
            log::info!("event=stalled for_ms={}", gap.as_millis());
            self.clock.record_stall();
        }
        state.last_check = state.last_check.max(now);
        state.stall
    }

    /// Returns the time as of which data is known to be current that a wait begun at `since` has just
    /// returned.
    ///
    /// This is the present, or the start of the last stall if that stall ended after `since`, since the data
    /// may have arrived at any time during it. It is never before `since`.
    pub fn observed_at(&self, since: Moment) -> Moment {
        let stall = self.check();
        let within = stall.filter(|(_from, to)| since < *to);
        within.map_or_else(|| self.clock.now(), |(from, _to)| from.max(since))
    }
}
