//! Failure domains that the operator has drained, by the operator's rows.

use std::collections::BTreeSet;
use std::time::Duration;

use dillspool_platform::StoreVersion;
use dillspool_schema::Name;
use dillspool_watch::TableReplica;
use tokio::time::Instant;

/// Names the failure domain that a key of the operator's drains, if it does.
type DomainOfKey = fn(&str) -> Option<&str>;

/// Domains that stay drained though a copy does not show it: the operator drains them again.
#[derive(Debug)]
struct KeptDomains {
    until: Instant,
    /// Version at which the copy was first seen; what is taken back later is not drained any more.
    seen_at: StoreVersion,
    domains: BTreeSet<Name>,
}

/// The drained failure domains.
#[derive(Debug)]
pub(crate) struct DrainedDomains {
    domain_of: DomainOfKey,
    /// Time after the store's return in which the operator writes again what was lost.
    grace: Duration,
    version: StoreVersion,
    drained: BTreeSet<Name>,
    kept: Option<KeptDomains>,
}

impl DrainedDomains {
    pub(crate) fn new(domain_of: DomainOfKey, grace: Duration) -> Self {
        let (version, drained) = (StoreVersion::default(), BTreeSet::new());
        Self { domain_of, grace, version, drained, kept: None }
    }

    pub(crate) fn names(&self) -> &BTreeSet<Name> {
        &self.drained
    }

    /// When domains change by time alone.
    pub(crate) fn next_end(&self) -> Option<Instant> {
        self.kept.as_ref().map(|kept| kept.until)
    }

    /// Takes the operator's rows; whether other domains are drained than before.
    pub(crate) fn take_rows(&mut self, operator: &TableReplica) -> bool {
        let is_restored = self.version.is_known() && operator.version.era() > self.version.era();
        self.version = operator.version;
        if is_restored {
            let (until, seen_at) = (Instant::now() + self.grace, operator.version);
            self.kept = Some(KeptDomains { until, seen_at, domains: self.drained.clone() });
        }
        self.kept.take_if(|kept| kept.until <= Instant::now());
        let rows = operator.rows.iter();
        let mut drained = BTreeSet::new();
        for (key, row) in rows {
            let Some(domain) = (self.domain_of)(key) else { continue };
            if row.value.is_some() {
                drained.insert(Name::from(domain));
            } else if let Some(kept) = &mut self.kept
                && row.version > kept.seen_at
            {
                kept.domains.remove(domain);
            }
        }
        drained.extend(self.kept.iter().flat_map(|kept| kept.domains.iter().cloned()));
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
