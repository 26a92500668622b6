//! Builds what the requests of a host share: its limiters, and what it tracks of requests and streams.

use std::sync::Arc;

use dillspool_io::HostClock;
use dillspool_origins::{OriginSettings, OriginTracker};
use dillspool_scheduler::RateLimiter;
use dillspool_suspects::{SuspectPolicy, SuspectTracker};

use crate::fleet_tasks::HostCount;
use crate::settings::RouterConfig;
use crate::site::SiteProtocol;
use crate::store_replicas::StoreReplicas;
use crate::version_check::VersionCheck;

pub(crate) fn suspect_tracker(config: &RouterConfig, clock: &HostClock) -> SuspectTracker {
    let suspects = SuspectTracker::new(SuspectPolicy::default(), clock.clone());
    suspects.set_lifted(config.lifted.clone());
    suspects
}

/// Limiters of workspaces and of backend servers.
pub(crate) fn rate_limiters(
    config: &RouterConfig,
    clock: &HostClock,
) -> (RateLimiter, RateLimiter) {
    let of_workspaces = RateLimiter::new(config.limits, clock.clone());
    let of_servers = RateLimiter::for_backend_servers(config.limits.shares, clock.clone());
    (of_workspaces, of_servers)
}

/// A poll of the store is held for a time if nothing changes. A directory that is older than that and the time in which a
/// change must be in force does not show every engine any more.
pub(crate) fn origin_tracker(
    config: &RouterConfig,
    replicas: &StoreReplicas,
    site: &SiteProtocol,
    host_count: &HostCount,
    clock: &HostClock,
) -> OriginTracker {
    let check = VersionCheck::new(site.clone(), replicas.backends.clone(), host_count.clone());
    let (backends, limit) = (replicas.backends.clone(), config.watch_wait + config.change_limit);
    let settings = OriginSettings {
        is_first_start: config.first_start,
        confirm_versions: Arc::new(move |tracker, service| {
            let check = check.clone();
            Box::pin(async move { check.confirm(tracker, service).await })
        }),
        is_directory_fresh: Arc::new(move || backends.age().is_some_and(|age| age <= limit)),
        clock: clock.clone(),
    };
    OriginTracker::new(settings)
}
