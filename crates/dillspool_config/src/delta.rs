//! The difference between two versions of the configuration.

use std::collections::BTreeMap;

use dillspool_schema::Name;
use dillspool_schema::configuration::{
    BackendEntry, Configuration, GroupEntry, PolicyEntry, PoolEntry, RouteEntry,
};
use serde::{Deserialize, Serialize};

use crate::parse::sort;

/// Entries of one kind that were added or changed, and names that were removed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct SectionDelta<T> {
    /// Entries as they are after the change.
    pub set: Vec<T>,
    /// Names that are gone.
    pub removed: Vec<Name>,
}

impl<T> SectionDelta<T> {
    fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }
}

/// What changes from one version to the next; meaningful only on its base.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ConfigDelta {
    /// The policy, if it changed.
    pub policy: Option<PolicyEntry>,
    /// Groups.
    pub group: SectionDelta<GroupEntry>,
    /// Pools.
    pub pool: SectionDelta<PoolEntry>,
    /// Backend servers.
    pub backend: SectionDelta<BackendEntry>,
    /// Routes.
    pub route: SectionDelta<RouteEntry>,
}

fn diff_section<T: Clone + PartialEq>(
    base: &[T],
    next: &[T],
    name: fn(&T) -> &Name,
) -> SectionDelta<T> {
    let before: BTreeMap<&Name, &T> = base.iter().map(|entry| (name(entry), entry)).collect();
    let after: BTreeMap<&Name, &T> = next.iter().map(|entry| (name(entry), entry)).collect();
    let set = next
        .iter()
        .filter(|entry| before.get(name(entry)).is_none_or(|old| *old != *entry))
        .cloned()
        .collect();
    let removed =
        before.keys().filter(|key| !after.contains_key(*key)).map(|key| Name::clone(key)).collect();
    SectionDelta { set, removed }
}

fn apply_section<T: Clone>(base: &[T], delta: &SectionDelta<T>, name: fn(&T) -> &Name) -> Vec<T> {
    let mut entries: BTreeMap<Name, T> =
        base.iter().map(|entry| (Name::clone(name(entry)), entry.clone())).collect();
    for key in &delta.removed {
        entries.remove(key);
    }
    for entry in &delta.set {
        entries.insert(Name::clone(name(entry)), entry.clone());
    }
    entries.into_values().collect()
}

impl ConfigDelta {
    /// What changes from `base` to `next`.
    pub fn between(base: &Configuration, next: &Configuration) -> Self {
        Self {
            policy: (base.policy != next.policy).then(|| next.policy.clone()),
            group: diff_section(&base.group, &next.group, |entry| &entry.name),
            pool: diff_section(&base.pool, &next.pool, |entry| &entry.name),
            backend: diff_section(&base.backend, &next.backend, |entry| &entry.name),
            route: diff_section(&base.route, &next.route, |entry| &entry.prefix),
        }
    }

    /// The configuration that follows `base`.
    pub fn apply(&self, base: &Configuration) -> Configuration {
        let mut next = Configuration {
            policy: self.policy.clone().unwrap_or_else(|| base.policy.clone()),
            group: apply_section(&base.group, &self.group, |entry| &entry.name),
            pool: apply_section(&base.pool, &self.pool, |entry| &entry.name),
            backend: apply_section(&base.backend, &self.backend, |entry| &entry.name),
            route: apply_section(&base.route, &self.route, |entry| &entry.prefix),
        };
        sort(&mut next);
        next
    }

    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.policy.is_none()
            && self.group.is_empty()
            && self.pool.is_empty()
            && self.backend.is_empty()
            && self.route.is_empty()
    }

    /// One line for each change, for `dillspool diff` and the audit trail.
    pub fn summary_lines(&self) -> Vec<String> {
        let mut lines = Vec::new();
        if self.policy.is_some() {
            lines.push("~ policy".to_owned());
        }
        add_lines(&mut lines, "group", &self.group, |entry| &entry.name);
        add_lines(&mut lines, "pool", &self.pool, |entry| &entry.name);
        add_lines(&mut lines, "backend", &self.backend, |entry| &entry.name);
        add_lines(&mut lines, "route", &self.route, |entry| &entry.prefix);
        lines
    }
}

fn add_lines<T>(
    lines: &mut Vec<String>,
    what: &str,
    section: &SectionDelta<T>,
    name: fn(&T) -> &Name,
) {
    lines.extend(section.set.iter().map(|entry| format!("~ {what} {}", name(entry))));
    lines.extend(section.removed.iter().map(|name| format!("- {what} {name}")));
}
