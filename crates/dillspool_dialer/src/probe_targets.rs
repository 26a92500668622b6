//! Chooses the backend servers that show whether this host is partitioned.

use std::collections::HashMap;
use std::sync::Arc;

use dillspool_routing::{BackendEntry, DirectoryView};
use rand::Rng;
use rand::seq::SliceRandom;

/// Chooses up to `count` ready backend servers of a service at random, from as many failure domains as possible:
/// one domain that is down or partitioned must not look like the whole service.
pub fn choose_probe_targets(
    view: &DirectoryView,
    service: &str,
    count: usize,
    rng: &mut impl Rng,
) -> Vec<Arc<BackendEntry>> {
    let mut candidates: Vec<_> = view.ready(service).cloned().collect();
    candidates.shuffle(rng);
    let mut seen: HashMap<&str, usize> = HashMap::new();
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|entry| {
            let rank = seen.entry(&entry.failure_domain).or_default();
            *rank += 1;
            (*rank, Arc::clone(entry))
        })
        .collect();
    ranked.sort_by_key(|(rank, _entry)| *rank);
    ranked.into_iter().take(count).map(|(_rank, entry)| entry).collect()
}
