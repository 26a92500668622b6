//! The clock by which everything ends or grows old on a host.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use dillspool_moment::Moment;
use nix::time::{ClockId, clock_gettime};
use tokio::sync::watch;
use tokio::time::Instant;

/// Counts the time of a host, that in which it was suspended included.
///
/// The steady clock of `std` and `tokio` stands still while a machine is suspended: a lease that is over
/// would still seem to hold, and an old belief fresh. Timers of `tokio` only wake; what is decided after a
/// wake asks this clock. A timer that was set before a suspension wakes as much later: what is due by then
/// waits by [`HostClock::sleep_until`]. See `docs/design/clocks.md`.
#[derive(Clone)]
pub struct HostClock {
    now: Arc<dyn Fn() -> Moment + Send + Sync>,
    /// Stalls that were noted by this clock or a clone of it.
    stalls: Arc<watch::Sender<u64>>,
}

/// The moment came before what was waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeadlineElapsed;

impl HostClock {
    /// The system's clock since its boot; the steady one where there is none.
    pub fn boot() -> Self {
        let steady = Self::steady();
        Self::from_fn(move || match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => Moment::after_origin(Duration::from(time)),
            Err(_no_such_clock) => steady.now(),
        })
    }

    /// A clock that follows tokio's, which tests pause.
    pub fn steady() -> Self {
        let origin = Instant::now();
        Self::from_fn(move || Moment::after_origin(origin.elapsed()))
    }

    /// A clock read from a closure.
    pub fn from_fn(now: impl Fn() -> Moment + Send + Sync + 'static) -> Self {
        Self { now: Arc::new(now), stalls: Arc::default() }
    }

    /// The moment now.
    pub fn now(&self) -> Moment {
        (self.now)()
    }

    /// Time since a moment; zero if it lies ahead.
    pub fn since(&self, moment: Moment) -> Duration {
        self.now().since(moment)
    }

    /// Time until a moment; zero if it is over.
    pub fn until(&self, moment: Moment) -> Duration {
        moment.since(self.now())
    }

    /// Waits until a moment, which a suspension of the host brings nearer.
    ///
    /// An [`StallDetector`](crate::StallDetector) by this clock, or a clone of it, notes the suspension; without one
    /// this wakes as much later.
    pub async fn sleep_until(&self, moment: Moment) {
        let mut stalls = self.stalls.subscribe();
        while !self.until(moment).is_zero() {
            tokio::select! {
                () = tokio::time::sleep_until(self.to_instant(moment)) => {}
                // The sender lives as long as this clock.
                _noted = stalls.changed() => {}
            }
        }
    }

    /// Waits until the next stall is noted.
    pub async fn next_stall(&self) {
        // The sender lives as long as this clock.
        let _noted = self.stalls.subscribe().changed().await;
    }

    /// Waits for a future until a moment, as [`HostClock::sleep_until`] does.
    ///
    /// # Errors
    ///
    /// [`DeadlineElapsed`] when the moment comes first.
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

    /// Waits for a future for so long, as [`HostClock::sleep_until`] does.
    ///
    /// # Errors
    ///
    /// [`DeadlineElapsed`] when the time is over first.
    pub async fn timeout<T>(
        &self,
        time: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, DeadlineElapsed> {
        self.timeout_at(self.now() + time, future).await
    }

    /// Wakes what waits by this clock, to look at it once more.
    pub(crate) fn record_stall(&self) {
        self.stalls.send_modify(|stalls| *stalls += 1);
    }

    /// When a timer wakes for a moment, if the host is not suspended meanwhile; what is then decided asks
    /// this clock once more.
    pub fn to_instant(&self, moment: Moment) -> Instant {
        Instant::now() + self.until(moment)
    }
}

impl fmt::Debug for HostClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HostClock({:?})", self.now())
    }
}
