//! Which backend server gets a request.

use std::sync::Arc;

use dillspool_routing::{BackendEntry, DirectoryView};
use dillspool_throttle::ThrottleTracker;
use rand::Rng;

use crate::backend_tracker::BackendTracker;
use crate::tried::TriedBackends;

/// Cost of another failure domain for a plain call, as a factor: its bytes are billed, and it takes longer.
const FAR_FACTOR: f64 = 1.3;
/// How much one failure in one call raises the cost of a backend server.
const FAILURE_FACTOR: f64 = 6.0;
/// Part by which costs are spread, so that hosts with the same view do not all choose alike.
const SPREAD: f64 = 0.1;

/// Chooses among backend servers from the place of one host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendPicker<'a> {
    pub(crate) view: &'a DirectoryView,
    pub(crate) tracker: &'a BackendTracker,
    pub(crate) throttle: &'a ThrottleTracker,
    pub(crate) failure_domain: &'a str,
}

impl BackendPicker<'_> {
    /// The backend server of a service with the least expected wait, of those that are not closed.
    pub(crate) fn pick_plain(
        &self,
        service: &str,
        tried: &TriedBackends,
    ) -> Option<Arc<BackendEntry>> {
        let candidates = self.view.ready(service).filter(|entry| !tried.contains(entry));
        let candidates =
            candidates.filter(|entry| self.throttle.blocked_until(&entry.instance()).is_none());
        least(candidates, |entry| {
            let load = self.tracker.snapshot(&entry.instance());
            let far = if self.is_near(entry) { 1.0 } else { FAR_FACTOR };
            let queue = f64::from(load.outstanding + 1) * load.latency_ms;
            (load.is_aside, queue * (1.0 + FAILURE_FACTOR * load.failures) * far)
        })
    }

    fn is_near(&self, entry: &BackendEntry) -> bool {
        &*entry.failure_domain == self.failure_domain
    }
}

fn spread() -> f64 {
    1.0 + rand::rng().random_range(0.0..SPREAD)
}

/// The candidate of the least cost; one that is left out only if all are.
fn least<'a>(
    candidates: impl Iterator<Item = &'a Arc<BackendEntry>>,
    cost: impl Fn(&BackendEntry) -> (bool, f64),
) -> Option<Arc<BackendEntry>> {
    candidates
        .map(|entry| {
            let (aside, cost) = cost(entry);
            (aside, cost * spread(), entry)
        })
        .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
        .map(|(_aside, _cost, entry)| Arc::clone(entry))
}
