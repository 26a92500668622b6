//! Verifies whether this host has lost its links to all backend servers of a service.

use std::sync::Arc;

use dillspool_io::BoxFuture;
use dillspool_schema::Name;
use futures_util::FutureExt;
use futures_util::future::{Shared, select_ok};

use crate::dialer::{BackendDialer, PROBE_TIMEOUT, lock};
use crate::link_health::ProbeTally;
use crate::probe_targets::choose_probe_targets;

/// Number of backend servers that a verification probes.
const VERIFICATION_PROBES: usize = 4;

/// A verification in progress, which tells whether the links are lost.
pub(crate) type SharedVerification = Shared<BoxFuture<bool>>;

impl BackendDialer {
    /// Whether this host is partitioned from the backend servers of a service, by a verification if none is recent.
    pub async fn confirm_partitioned(&self, service: &Name) -> bool {
        if self.is_partitioned(service) {
            return true;
        }
        match self.start_verification(service) {
            Some(verification) => verification.await,
            None => false,
        }
    }

    /// Starts a verification, or joins the one in progress; `None` if a recent one found the links sound.
    pub(crate) fn start_verification(&self, service: &Name) -> Option<SharedVerification> {
        self.state.fleet.get()?;
        let mut verifications = lock(&self.state.verifications);
        if let Some(running) = verifications.get(service) {
            return Some(running.clone());
        }
        if !lock(&self.state.health).needs_verification(service, self.state.clock.now()) {
            return None;
        }
        let (dialer, of) = (self.clone(), Name::clone(service));
        let verifying = tokio::spawn(async move {
            let tally = dialer.probe(&of, VERIFICATION_PROBES).await;
            let now = dialer.state.clock.now();
            let change = lock(&dialer.state.health).record_verification(&of, tally, now);
            dialer.report(&of, change);
            lock(&dialer.state.verifications).remove(&of);
            dialer.is_partitioned(&of)
        });
        let verification: BoxFuture<bool> =
            Box::pin(async move { verifying.await.unwrap_or(false) });
        let verification = verification.shared();
        verifications.insert(Name::clone(service), verification.clone());
        Some(verification)
    }

    /// Probes backend servers of a service until one accepts a connection.
    pub(crate) async fn probe(&self, service: &Name, count: usize) -> ProbeTally {
        let started = self.state.clock.now();
        let targets = self.state.fleet.get().map_or_else(Vec::new, |fleet| {
            let view = Arc::clone(&fleet.directory.borrow());
            choose_probe_targets(&view, service, count, &mut rand::rng())
        });
        let probed = targets.len();
        let attempts = targets.into_iter().map(|entry| {
            let dialer = self.clone();
            Box::pin(async move { dialer.connect_directly(&entry, PROBE_TIMEOUT).await })
        });
        let is_any_reachable = probed > 0 && select_ok(attempts).await.is_ok();
        ProbeTally { started, probed, is_any_reachable }
    }
}
