//! Failure domains that the operator has drained, from the operator's rows.

use std::collections::BTreeSet;
use std::time::Duration;

use dillspool_platform::StoreVersion;
use dillspool_schema::Name;
use dillspool_watch::TableReplica;
use tokio::time::Instant;

/// Returns the failure domain that an operator's key drains, if any.
type DomainOfKey = fn(&str) -> Option<&str>;

/// Domains that stay drained although the restored store does not show it, so that the operator can
/// drain them again.
#[derive(Debug)]
struct RetainedDomains {
    until: Instant,
    /// Version at which the restored store was first seen; a drain that is lifted later than this
    /// ends.
    seen_at: StoreVersion,
    domains: BTreeSet<Name>,
}

/// The drained failure domains.
#[derive(Debug)]
pub(crate) struct DrainedDomains {
    domain_of: DomainOfKey,
    /// Time after a restore in which the operator writes lost rows again.
    grace: Duration,
    version: StoreVersion,
    drained: BTreeSet<Name>,
    retained: Option<RetainedDomains>,
}

impl DrainedDomains {
    pub(crate) fn new(domain_of: DomainOfKey, grace: Duration) -> Self {
        let (version, drained) = (StoreVersion::default(), BTreeSet::new());
        Self { domain_of, grace, version, drained, retained: None }
    }

    pub(crate) fn names(&self) -> &BTreeSet<Name> {
        &self.drained
    }

    /// When retained domains expire.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.retained.as_ref().map(|retained| retained.until)
    }

    /// Applies the operator's rows; returns whether the set of drained domains changed.
    pub(crate) fn update(&mut self, operator: &TableReplica) -> bool {
        let is_restored = self.version.is_known() && operator.version.era() > self.version.era();
        self.version = operator.version;
        if is_restored {
            let (until, seen_at) = (Instant::now() + self.grace, operator.version);
            self.retained = Some(RetainedDomains { until, seen_at, domains: self.drained.clone() });
        }
        self.retained.take_if(|retained| retained.until <= Instant::now());
        let rows = operator.rows.iter();
        let mut drained = BTreeSet::new();
        for (key, row) in rows {
            let Some(domain) = (self.domain_of)(key) else { continue };
            if row.value.is_some() {
                drained.insert(Name::from(domain));
            } else if let Some(retained) = &mut self.retained
                && row.version > retained.seen_at
            {
                retained.domains.remove(domain);
            }
        }
        drained.extend(self.retained.iter().flat_map(|retained| retained.domains.iter().cloned()));
        for domain in drained.difference(&self.drained) {
            log::info!(
                "event=failure_domain_drained failure_domain={domain} version={}",
                operator.version
            );
        }
        for domain in self.drained.difference(&drained) {
            log::info!(
                "event=failure_domain_restored failure_domain={domain} version={}",
                operator.version
            );
        }
        let changed = drained != self.drained;
        self.drained = drained;
        changed
    }
}
