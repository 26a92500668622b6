//! Which callers have come back, learnt from the times that they name.
//!
//! A caller names the time that it has left. One that was refused before has spent part of it, so it
//! names less than a first attempt of the same route does. The route's own time limit says nothing
//! of that: an operator may set it shorter or longer than the callers' patience. Nor do all callers
//! have the same patience: to take an impatient one for one that came back would cost it its place
//! before others that can be in time.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dillspool_schema::Name;
use tokio::time::Instant;

/// Time after which a longest time that nobody named again is forgotten; callers change their
/// patience with their releases, not within minutes.
const FORGET_AFTER: Duration = Duration::from_mins(2);
/// Part of the longest time from which a caller counts as one that confirms it: its way to the
/// host takes milliseconds of seconds.
const CONFIRMS_FROM: f64 = 0.98;
/// Part of the longest time that a caller which came back has spent at least. Callers that are told to
/// come back for want of engines are told to after 0.23 of their time and more
/// (`dillspool_admission`); one that came back sooner may still be in time.
const SPENT_AT_LEAST: f64 = 0.2;
/// Time in which half of what was counted of callers is forgotten; a refused caller comes back within
/// seconds.
const COUNTS_HALVED: Duration = Duration::from_secs(10);
/// Refused callers for each that names little time, from which on such callers are taken for those that
/// came back. Hosts count their own; a refused caller comes back to any of them.
const REFUSED_FOR_EACH: f64 = 0.25;
/// Routes kept at most; the names come from the configuration, which may change often.
const MOST_ROUTES: usize = 4096;

/// A count of which half is forgotten in [`COUNTS_HALVED`].
#[derive(Clone, Copy, Debug)]
struct FadingCount {
    count: f64,
    at: Instant,
}

impl FadingCount {
    fn none(now: Instant) -> Self {
        Self { count: 0.0, at: now }
    }

    fn read(&self, now: Instant) -> f64 {
        let halvings = (now - self.at).as_secs_f64() / COUNTS_HALVED.as_secs_f64();
        self.count * 0.5_f64.powf(halvings)
    }

    fn add(&mut self, now: Instant) {
        *self = Self { count: self.read(now) + 1.0, at: now };
    }
}

#[derive(Clone, Copy, Debug)]
struct RoutePatience {
    longest: Duration,
    confirmed: Instant,
    /// Callers that named little time.
    short: FadingCount,
    /// Callers that were refused and may come back.
    refused: FadingCount,
}

/// What callers named, by route.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    routes: Arc<Mutex<HashMap<Name, RoutePatience>>>,
}

impl RetryDetector {
    /// Notes the time that a caller has left, and returns what it has spent on attempts before this one;
    /// zero if it has not come back, as far as can be told.
    pub fn record_request(&self, route: &Name, left: Duration) -> Duration {
        self.with(route, left, |patience, now| {
            if left >= patience.longest || patience.confirmed + FORGET_AFTER <= now {
                (patience.longest, patience.confirmed) = (left, now);
            } else if left >= patience.longest.mul_f64(CONFIRMS_FROM) {
                patience.confirmed = now;
            }
            let spent = patience.longest.saturating_sub(left);
            if spent < patience.longest.mul_f64(SPENT_AT_LEAST) {
                return Duration::ZERO;
            }
            patience.short.add(now);
            let expected = patience.refused.read(now);
            let came_back = expected >= REFUSED_FOR_EACH * patience.short.read(now);
            if came_back { spent } else { Duration::ZERO }
        })
    }

    /// Notes that a caller was refused and may come back.
    pub fn record_refusal(&self, route: &Name) {
        self.with(route, Duration::ZERO, |patience, now| patience.refused.add(now));
    }

    fn with<T>(
        &self,
        route: &Name,
        longest: Duration,
        run: impl FnOnce(&mut RoutePatience, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if routes.len() >= MOST_ROUTES {
            routes.retain(|_route, patience| patience.confirmed + FORGET_AFTER > now);
        }
        let none = FadingCount::none(now);
        let fresh = RoutePatience { longest, confirmed: now, short: none, refused: none };
        run(routes.entry(Name::clone(route)).or_insert(fresh), now)
    }
}
