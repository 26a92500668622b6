//! How long the callers of a route wait from their first attempt, learnt from what they send.
//!
//! A caller names the time that it has left. One that was refused before has spent part of it, so
//! the longest time that was named lately is that of a first attempt. The route's own time limit
//! says nothing of it: an operator may set it shorter or longer than the callers' patience.

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
/// Routes kept at most; the names come from the configuration, which may change often.
const MOST_ROUTES: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct LongestTime {
    time: Duration,
    confirmed: Instant,
}

/// The longest time that callers named, by route.
#[derive(Clone, Debug, Default)]
pub struct PatienceTable {
    routes: Arc<Mutex<HashMap<Name, LongestTime>>>,
}

impl PatienceTable {
    /// Notes the time that a caller has left and returns that of a first attempt on its route.
    pub fn note(&self, route: &Name, left: Duration) -> Duration {
        let now = Instant::now();
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if routes.len() >= MOST_ROUTES {
            routes.retain(|_route, longest| longest.confirmed + FORGET_AFTER > now);
        }
        let fresh = LongestTime { time: left, confirmed: now };
        let longest = routes.entry(Name::clone(route)).or_insert(fresh);
        if left >= longest.time || longest.confirmed + FORGET_AFTER <= now {
            *longest = fresh;
        } else if left >= longest.time.mul_f64(CONFIRMS_FROM) {
            longest.confirmed = now;
        }
        longest.time
    }
}
