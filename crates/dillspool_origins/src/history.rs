//! The software versions that may have begun a stream of a service.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::{DirectoryView, SoftwareVersion};
use dillspool_schema::Name;

/// Least time for which a version is remembered that has left.
const MIN_RETENTION: Duration = Duration::from_secs(30);
/// The same as a multiple of the longest time for which a route lets a request run: a stream breaks off
/// at the latest when the last engine of its version ends, and its caller waits for a few attempts.
const CALLER_TIMEOUTS: u32 = 2;

/// The software versions of a service, as far as somebody knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceVersions {
    /// Versions whose engines may have begun a stream that its caller takes up again.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Whether there can be no other one.
    pub is_complete: bool,
}

impl ServiceVersions {
    /// Combines what two know; what is complete for one is complete for both.
    #[must_use]
    pub fn union(mut self, other: &Self) -> Self {
        self.versions.extend(other.versions.iter().cloned());
        self.is_complete |= other.is_complete;
        self
    }

    /// The version that has begun every stream, if there can be no other one.
    pub fn single(&self) -> Option<&SoftwareVersion> {
        let mut versions = self.versions.iter();
        let first = versions.next().filter(|_first| self.is_complete)?;
        versions.next().is_none().then_some(first)
    }
}

/// When a version of a service was last seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastSeen {
    /// The directory has an engine of it.
    Present,
    /// The directory has had none since.
    Until(Moment),
}

impl LastSeen {
    fn is_expired(self, now: Moment, retention: Duration) -> bool {
        match self {
            Self::Present => false,
            Self::Until(at) => now.since(at) >= retention,
        }
    }
}

/// The software versions of all services, with those that left lately.
#[derive(Clone, Debug)]
pub struct VersionHistory {
    services: HashMap<Name, BTreeMap<SoftwareVersion, LastSeen>>,
    /// Services whose earlier versions were read from the store.
    recorded: BTreeSet<Name>,
    /// Since when this history goes back; `None` if nothing was before it.
    since: Option<Moment>,
    /// Time after which the callers of a version that has left have returned or given up.
    retention: Duration,
}

impl VersionHistory {
    /// Creates a history that begins now; `is_first_start` if the fleet has served nothing before.
    pub fn new(is_first_start: bool, now: Moment) -> Self {
        let since = (!is_first_start).then_some(now);
        let retention = MIN_RETENTION;
        Self { services: HashMap::new(), recorded: BTreeSet::new(), since, retention }
    }

    /// Applies the longest time for which a route lets a request run.
    pub fn set_longest_timeout(&mut self, timeout: Duration) {
        self.retention = (timeout * CALLER_TIMEOUTS).max(MIN_RETENTION);
    }

    /// Records the versions in the directory; returns whether one of them is new.
    pub fn observe(&mut self, view: &DirectoryView, now: Moment) -> bool {
        let mut present: HashMap<&Name, BTreeSet<&SoftwareVersion>> = HashMap::new();
        for entry in view.entries.values() {
            present.entry(&entry.service).or_default().insert(&entry.software);
        }
        for (service, versions) in &mut self.services {
            let known = present.get(service);
            for (version, seen) in versions.iter_mut() {
                let is_present = known.is_some_and(|known| known.contains(version));
                if *seen == LastSeen::Present && !is_present {
                    *seen = LastSeen::Until(now);
                }
            }
        }
        self.remove_expired(now);
        let mut is_new = false;
        for (service, versions) in present {
            is_new |= self.record_present(service, versions.into_iter().cloned());
        }
        is_new
    }

    /// Records versions of a service that the directory's table has, whether or not the directory shows
    /// them yet; returns whether one of them is new.
    pub fn record_present(
        &mut self,
        service: &Name,
        versions: impl IntoIterator<Item = SoftwareVersion>,
    ) -> bool {
        let known = self.services.entry(Name::clone(service)).or_default();
        let count = known.len();
        known.extend(versions.into_iter().map(|version| (version, LastSeen::Present)));
        known.len() > count
    }

    /// Records the versions that the store names for a service, which go back to before this
    /// history.
    pub fn record_stored(
        &mut self,
        service: &Name,
        versions: impl IntoIterator<Item = SoftwareVersion>,
        now: Moment,
    ) {
        let known = self.services.entry(Name::clone(service)).or_default();
        for version in versions {
            known
                .entry(version)
                .and_modify(|seen| {
                    if *seen != LastSeen::Present {
                        *seen = LastSeen::Until(now);
                    }
                })
                .or_insert(LastSeen::Until(now));
        }
        self.recorded.insert(Name::clone(service));
    }

    /// The versions of a service; complete only if the history goes back far enough.
    pub fn versions(&self, service: &str, now: Moment) -> ServiceVersions {
        let known = self.services.get(service).into_iter().flatten();
        let current = known.filter(|(_version, seen)| !seen.is_expired(now, self.retention));
        let is_complete = self.recorded.contains(service)
            || self.since.is_none_or(|since| now.since(since) >= self.retention);
        ServiceVersions { versions: current.map(|it| it.0.clone()).collect(), is_complete }
    }

    /// All services with a known version.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.services.keys()
    }

    fn remove_expired(&mut self, now: Moment) {
        let retention = self.retention;
        for versions in self.services.values_mut() {
            versions.retain(|_version, seen| !seen.is_expired(now, retention));
        }
        self.services.retain(|_service, versions| !versions.is_empty());
    }
}
