//! Picks the backend server for a request.

use std::sync::Arc;

use dillspool_routing::{BackendEntry, DirectoryView, SoftwareVersion};
use dillspool_throttle::ThrottleTracker;
use rand::Rng;

use crate::backend_tracker::BackendTracker;
use crate::tried::TriedBackends;

/// Cost factor of a backend server in another failure domain for a plain call, for billed traffic
/// and added latency.
const CROSS_DOMAIN_FACTOR: f64 = 1.3;
/// How much a failure rate of 1 adds to the cost, as a multiple of it.
const FAILURE_FACTOR: f64 = 6.0;
/// Maximum random increase of a cost, so that hosts with the same view do not all pick the same
/// backend server.
const MAX_COST_SPREAD: f64 = 0.1;

/// Picks backend servers from the point of view of one host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendPicker<'a> {
    pub(crate) view: &'a DirectoryView,
    pub(crate) tracker: &'a BackendTracker,
    pub(crate) throttle: &'a ThrottleTracker,
    pub(crate) failure_domain: &'a str,
}

impl BackendPicker<'_> {
    /// The backend server of a service with the least expected wait, except blocked ones.
    pub(crate) fn pick_plain(
        &self,
        service: &str,
        tried: &TriedBackends,
    ) -> Option<Arc<BackendEntry>> {
        self.pick_with_software(service, tried, None)
    }

    /// Like [`Self::pick_plain`], only among backend servers with a software version if there is one.
    pub(crate) fn pick_with_software(
        &self,
        service: &str,
        tried: &TriedBackends,
        software: Option<&SoftwareVersion>,
    ) -> Option<Arc<BackendEntry>> {
        let candidates = self.view.ready(service).filter(|entry| !tried.contains(entry));
        let candidates =
            candidates.filter(|entry| software.is_none_or(|software| entry.software == *software));
        let candidates =
            candidates.filter(|entry| self.throttle.blocked_until(&entry.instance()).is_none());
        least_cost(candidates, |entry| {
            let load = self.tracker.snapshot(&entry.instance());
            let domain_factor = if self.is_same_domain(entry) { 1.0 } else { CROSS_DOMAIN_FACTOR };
            let queue = f64::from(load.outstanding + 1) * load.latency_ms;
            (load.is_ejected, queue * (1.0 + FAILURE_FACTOR * load.failure_rate) * domain_factor)
        })
    }

    fn is_same_domain(&self, entry: &BackendEntry) -> bool {
        &*entry.failure_domain == self.failure_domain
    }
}

fn random_spread() -> f64 {
    1.0 + rand::rng().random_range(0.0..MAX_COST_SPREAD)
}

/// The candidate with the least cost; an ejected one only if all are.
fn least_cost<'a>(
    candidates: impl Iterator<Item = &'a Arc<BackendEntry>>,
    cost: impl Fn(&BackendEntry) -> (bool, f64),
) -> Option<Arc<BackendEntry>> {
    candidates
        .map(|entry| {
            let (is_ejected, cost) = cost(entry);
            (is_ejected, cost * random_spread(), entry)
        })
        .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
        .map(|(_is_ejected, _cost, entry)| Arc::clone(entry))
}
