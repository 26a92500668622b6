//! Decides whether this host is partitioned from the backend servers of a service.

use std::collections::HashMap;
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_schema::Name;

/// Minimum time between two verifications of a service whose backend servers were found reachable.
const VERIFICATION_INTERVAL: Duration = Duration::from_millis(250);

/// Result of probing several backend servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTally {
    /// When the probes began.
    pub started: Moment,
    /// Number of backend servers that were probed.
    pub probed: usize,
    /// Whether one of them accepted a connection.
    pub is_any_reachable: bool,
}

/// A change of the links to the backend servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// This host is partitioned from all of them.
    Lost,
    /// A connection succeeded again.
    Restored {
        /// Time since the links were found lost.
        after: Duration,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceLinks {
    /// When the links were found lost; `None` if they are sound.
    lost: Option<Moment>,
    last_verified: Option<Moment>,
    last_connected: Option<Moment>,
}

/// The links of this host to the backend servers, by service.
///
/// A single failed connection never counts as a partition: the links are lost when probes of several backend
/// servers all fail and no connection succeeded meanwhile. One success restores them.
#[derive(Clone, Debug, Default)]
pub struct LinkHealth {
    services: HashMap<Name, ServiceLinks>,
}

impl LinkHealth {
    /// Whether this host is partitioned from the backend servers of a service.
    pub fn is_partitioned(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|links| links.lost.is_some())
    }

    /// Services from whose backend servers this host is partitioned.
    pub fn partitioned_services(&self) -> Vec<Name> {
        let lost = self.services.iter().filter(|(_service, links)| links.lost.is_some());
        lost.map(|(service, _links)| Name::clone(service)).collect()
    }

    /// Whether a failed connection calls for a verification.
    pub fn needs_verification(&self, service: &str, now: Moment) -> bool {
        let links = self.services.get(service).copied().unwrap_or_default();
        links.lost.is_none()
            && links.last_verified.is_none_or(|at| now.since(at) >= VERIFICATION_INTERVAL)
    }

    /// Records a successful connection.
    pub fn record_connected(&mut self, service: &Name, now: Moment) -> Option<LinkChange> {
        let links = self.entry(service);
        links.last_connected = Some(now);
        let lost_at = links.lost.take()?;
        Some(LinkChange::Restored { after: now.since(lost_at) })
    }

    /// Records the result of a verification.
    pub fn record_verification(
        &mut self,
        service: &Name,
        tally: ProbeTally,
        now: Moment,
    ) -> Option<LinkChange> {
        if tally.is_any_reachable {
            self.entry(service).last_verified = Some(now);
            return self.record_connected(service, now);
        }
        let links = self.entry(service);
        let has_connected = links.last_connected.is_some_and(|at| at >= tally.started);
        if tally.probed == 0 || has_connected || links.lost.is_some() {
            return None;
        }
        links.lost = Some(now);
        Some(LinkChange::Lost)
    }

    fn entry(&mut self, service: &Name) -> &mut ServiceLinks {
        self.services.entry(Name::clone(service)).or_default()
    }
}
