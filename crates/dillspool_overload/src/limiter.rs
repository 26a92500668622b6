//! Limits the rate of new connections while a host is overloaded.
//!
//! Load pattern: the balancer hands most new connections of a failure domain, or of a region, to one host, more
//! than its link or processor bears. Each request that it then reads waits for all others and misses its
//! deadline. A connection that is refused costs its caller one round trip, and the retry goes to another host.

use std::time::Duration;

use dillspool_moment::Moment;

use crate::load::HostLoad;

/// Time over which accepted connections are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Time of the limit's rate that may be accepted at once after a pause.
const MAX_BURST_TIME: Duration = Duration::from_millis(100);

/// Bounds on a host's load, and how the limit follows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadPolicy {
    /// Fraction of the link's rate, in each direction, above which the host is overloaded.
    pub max_link: f64,
    /// Delay of a new connection's task above which the host is overloaded.
    pub max_start_delay: Duration,
    /// New connections per second that are always accepted.
    pub min_rate: f64,
    /// Smallest factor by which the limit is reduced at once.
    pub min_reduction: f64,
    /// Time between two reductions, in which the load follows the previous one.
    pub reduction_interval: Duration,
    /// Fraction of the limit by which it rises each second at the bounds of the load; it rises faster below them.
    pub growth_per_s: f64,
    /// Minimum pause in which no connection is accepted.
    pub min_pause: Duration,
    /// The limit is removed when it has caused no pause for this time.
    pub removal_delay: Duration,
}

impl Default for OverloadPolicy {
    fn default() -> Self {
        Self {
            max_link: 0.75,
            max_start_delay: Duration::from_millis(10),
            min_rate: 5.0,
            min_reduction: 0.5,
            reduction_interval: Duration::from_millis(500),
            growth_per_s: 0.2,
            min_pause: Duration::from_millis(100),
            removal_delay: Duration::from_secs(3),
        }
    }
}

impl OverloadPolicy {
    /// Returns the load relative to its bounds; above 1 the host is overloaded.
    pub fn pressure(&self, load: &HostLoad) -> f64 {
        let link = load.sent.max(load.received) / self.max_link;
        link.max(load.start_delay.as_secs_f64() / self.max_start_delay.as_secs_f64())
    }
}

#[derive(Clone, Copy, Debug)]
struct RateLimit {
    per_s: f64,
    tokens: f64,
    /// When the limit was last reduced, or kept since the load was falling, and the pressure then.
    adjusted_at: Moment,
    adjusted_pressure: f64,
    paused_at: Moment,
}

/// Decides when new connections are accepted.
#[derive(Clone, Debug)]
pub struct ConnectionLimiter {
    policy: OverloadPolicy,
    updated_at: Moment,
    /// Decaying number of accepted connections, over [`RATE_WINDOW`].
    accepted: f64,
    /// `None` while the host is not overloaded.
    limit: Option<RateLimit>,
    /// Pressure at the last sample.
    pressure: f64,
}

impl ConnectionLimiter {
    /// Creates a limiter without a limit.
    pub fn new(policy: OverloadPolicy) -> Self {
        let updated_at = Moment::default();
        Self { policy, updated_at, accepted: 0.0, limit: None, pressure: 0.0 }
    }

    /// Returns the limit in connections per second, if there is one.
    pub fn limit_per_s(&self) -> Option<f64> {
        self.limit.map(|limit| limit.per_s)
    }

    /// Returns whether the host was above its bounds at the last sample.
    pub fn is_overloaded(&self) -> bool {
        self.pressure > 1.0
    }

    /// Adjusts the limit to a sample of the load.
    pub fn record_load(&mut self, load: &HostLoad, now: Moment) {
        self.advance(now);
        let OverloadPolicy { min_rate, min_reduction, reduction_interval, .. } = self.policy;
        let pressure = self.policy.pressure(load);
        self.pressure = pressure;
        if !self.is_overloaded() {
            return;
        }
        let Some(limit) = &mut self.limit else {
            let per_s = (self.accepted * (1.0 / pressure).max(min_reduction)).max(min_rate);
            self.limit = Some(RateLimit {
                per_s,
                tokens: 0.0,
                adjusted_at: now,
                adjusted_pressure: pressure,
                paused_at: now,
            });
            return;
        };
        if now.since(limit.adjusted_at) < reduction_interval {
            return;
        }
        // A backlog that is already shrinking needs no lower limit.
        if pressure >= limit.adjusted_pressure {
            let current = limit.per_s.min(self.accepted);
            limit.per_s = (current * (1.0 / pressure).max(min_reduction)).max(min_rate);
        }
        limit.adjusted_at = now;
        limit.adjusted_pressure = pressure;
    }

    /// Records an accepted connection; returns for how long no other one is accepted.
    pub fn record_accept(&mut self, now: Moment) -> Option<Duration> {
        self.advance(now);
        self.accepted += 1.0 / RATE_WINDOW.as_secs_f64();
        let limit = self.limit.as_mut()?;
        limit.tokens -= 1.0;
        if limit.tokens >= 1.0 {
            return None;
        }
        limit.paused_at = now;
        let refill = Duration::from_secs_f64((1.0 - limit.tokens) / limit.per_s);
        Some(refill.max(self.policy.min_pause))
    }

    /// Applies the time since the last call.
    fn advance(&mut self, now: Moment) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.accepted *= (-elapsed / RATE_WINDOW.as_secs_f64()).exp();
        let OverloadPolicy { growth_per_s, removal_delay, .. } = self.policy;
        let pressure = self.pressure;
        let is_overloaded = self.is_overloaded();
        if self
            .limit
            .is_some_and(|limit| !is_overloaded && now.since(limit.paused_at) > removal_delay)
        {
            self.limit = None;
        }
        if let Some(limit) = &mut self.limit {
            if !is_overloaded {
                limit.per_s *= 1.0 + (growth_per_s + 1.0 - pressure) * elapsed.min(1.0);
            }
            let max_tokens = (limit.per_s * MAX_BURST_TIME.as_secs_f64()).max(1.0);
            limit.tokens = (limit.tokens + limit.per_s * elapsed).min(max_tokens);
        }
    }
}
