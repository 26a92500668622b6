//! The clock of a host for deadlines and ages.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;
use nix::time::{ClockId, clock_gettime};
use tokio::sync::watch;
use tokio::time::Instant;

/// A monotonic clock that includes the time during which the host was suspended.
///
/// The monotonic clock of `std` and `tokio` stops while a machine is suspended, so an expired lease would
/// seem valid and stale data fresh. Timers of `tokio` only wake a task, which then checks its deadline
/// against this clock. A timer set before a suspension fires late by the duration of the suspension; waits
/// for a deadline therefore use [`HostClock::sleep_until`]. See `docs/design/clocks.md`.
#[derive(Clone)]
pub struct HostClock {
    now: Arc<dyn Fn() -> Moment + Send + Sync>,
    /// Number of stalls recorded with this clock or a clone of it.
    stalls: Arc<watch::Sender<u64>>,
}

/// Time from the origin of the clocks to the start of the machine. Other hosts tell of events of before
/// that, and their order must not be lost.
const ORIGIN_AGE: Duration = Duration::from_hours(48);

/// The deadline elapsed before the future was ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeadlineElapsed;

impl HostClock {
    /// Returns `CLOCK_BOOTTIME`, or the steady clock on systems without it.
    pub fn boot() -> Self {
        let steady = Self::steady();
        Self::from_fn(move || match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => Moment::after_origin(ORIGIN_AGE + Duration::from(time)),
            Err(_no_such_clock) => steady.now(),
        })
    }

    /// Returns a clock that follows tokio's clock, which tests can pause.
    pub fn steady() -> Self {
        let origin = Instant::now();
        Self::from_fn(move || Moment::after_origin(ORIGIN_AGE + origin.elapsed()))
    }

    /// Returns a clock that reads the time from a closure.
    pub fn from_fn(now: impl Fn() -> Moment + Send + Sync + 'static) -> Self {
        Self { now: Arc::new(now), stalls: Arc::default() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Moment {
        (self.now)()
    }

    /// Returns the time since `moment`, or zero if it is in the future.
    pub fn since(&self, moment: Moment) -> Duration {
        self.now().since(moment)
    }

    /// Returns the time until `moment`, or zero if it is in the past.
    pub fn until(&self, moment: Moment) -> Duration {
        moment.since(self.now())
    }

    /// Waits until `moment`, counting the time during which the host is suspended.
    ///
    /// This needs a [`StallDetector`](crate::StallDetector) on this clock or a clone of it. Without one, a
    /// suspension delays the wake-up by its duration.
    pub async fn sleep_until(&self, moment: Moment) {
        let mut stalls = self.stalls.subscribe();
        while !self.until(moment).is_zero() {
            tokio::select! {
                () = tokio::time::sleep_until(self.to_instant(moment)) => {}
                // The sender lives as long as this clock.
                _changed = stalls.changed() => {}
            }
        }
    }

    /// Waits until the next stall is recorded.
    pub async fn next_stall(&self) {
        // The sender lives as long as this clock.
        let _changed = self.stalls.subscribe().changed().await;
    }

    /// Waits for a future until `moment`, which is observed as in [`HostClock::sleep_until`].
    ///
    /// # Errors
    ///
    /// [`DeadlineElapsed`] when `moment` comes first.
    pub async fn timeout_at<T>(
        &self,
        moment: Moment,
        future: impl Future<Output = T>,
    ) -> Result<T, DeadlineElapsed> {
        tokio::select! {
            biased;
            value = future => Ok(value),
            () = self.sleep_until(moment) => Err(DeadlineElapsed),
        }
    }

    /// Waits for a future for at most `timeout`, which is observed as in [`HostClock::sleep_until`].
    ///
    /// # Errors
    ///
    /// [`DeadlineElapsed`] when `timeout` elapses first.
    pub async fn timeout<T>(
        &self,
        timeout: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, DeadlineElapsed> {
        self.timeout_at(self.now() + timeout, future).await
    }

    /// Wakes the tasks that wait on this clock, so that they check the time again.
    pub(crate) fn record_stall(&self) {
        self.stalls.send_modify(|stalls| *stalls += 1);
    }

    /// Converts `moment` to the time at which a tokio timer should fire.
    ///
    /// A suspension in the meantime makes the timer late, so the task has to check this clock after the
    /// wake-up.
    pub fn to_instant(&self, moment: Moment) -> Instant {
        Instant::now() + self.until(moment)
    }
}

impl fmt::Debug for HostClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HostClock({:?})", self.now())
    }
}
