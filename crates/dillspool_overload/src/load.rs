//! The load of a host's link and processor.

use std::time::Duration;

use dillspool_moment::Moment;

/// Minimum time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time over which samples are averaged.
const SMOOTHING_TIME: Duration = Duration::from_millis(400);

/// Bytes that a host has sent and received since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficTotals {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Recent load of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostLoad {
    /// Fraction of the link's rate used for sending; 0 if the rate is unknown.
    pub sent: f64,
    /// Fraction of the link's rate used for receiving; 0 if the rate is unknown.
    pub received: f64,
    /// Shortest time, in each sample, from accepting a connection to the first run of its task. It grows with the
    /// work that always waits for the processor; a mean would also grow with bursts.
    pub start_delay: Duration,
}

/// Samples the load of a host.
#[derive(Clone, Debug)]
pub struct LoadTracker {
    /// Rate of the link in each direction; `None` if unknown.
    link_bytes_per_s: Option<f64>,
    /// When and at which totals the last sample was taken.
    sampled: Option<(Moment, TrafficTotals)>,
    /// Shortest start delay since the last sample.
    min_start_delay: Option<Duration>,
    load: HostLoad,
}

impl LoadTracker {
    /// Creates a tracker for a host with a link of `link_bytes_per_s` in each direction.
    pub fn new(link_bytes_per_s: Option<f64>) -> Self {
        let load = HostLoad::default();
        Self { link_bytes_per_s, sampled: None, min_start_delay: None, load }
    }

    /// Records how long the task of an accepted connection waited for its first run.
    pub fn record_start(&mut self, delay: Duration) {
        let shortest = self.min_start_delay.map_or(delay, |shortest| shortest.min(delay));
        self.min_start_delay = Some(shortest);
    }

    /// Returns the load if a sample is due.
    pub fn sample(&mut self, totals: TrafficTotals, now: Moment) -> Option<HostLoad> {
        let Some((sampled_at, earlier)) = self.sampled else {
            self.sampled = Some((now, totals));
            return None;
        };
        let elapsed = now.since(sampled_at);
        if elapsed < SAMPLE_INTERVAL {
            return None;
        }
        self.sampled = Some((now, totals));
        let used = |bytes: u64| {
            let rate = self.link_bytes_per_s.unwrap_or(f64::INFINITY);
            #[expect(clippy::cast_precision_loss, reason = "far below 2^52 bytes")]
            let bytes = bytes as f64;
            bytes / elapsed.as_secs_f64() / rate
        };
        let weight = 1.0 - (-elapsed.as_secs_f64() / SMOOTHING_TIME.as_secs_f64()).exp();
        let smooth = |old: f64, new: f64| old + weight * (new - old);
        let start_delay = self.min_start_delay.take().unwrap_or_default();
        self.load = HostLoad {
            sent: smooth(self.load.sent, used(totals.sent.saturating_sub(earlier.sent))),
            received: smooth(
                self.load.received,
                used(totals.received.saturating_sub(earlier.received)),
            ),
            start_delay: Duration::from_secs_f64(smooth(
                self.load.start_delay.as_secs_f64(),
                start_delay.as_secs_f64(),
            )),
        };
        Some(self.load)
    }

    /// Returns the load at the last sample.
    pub fn load(&self) -> HostLoad {
        self.load
    }
}
