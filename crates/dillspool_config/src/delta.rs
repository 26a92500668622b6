//! The difference between two versions of the configuration.

use std::collections::BTreeMap;

use dillspool_schema::Name;
use dillspool_schema::configuration::{
    BackendEntry, Configuration, GroupEntry, PolicyEntry, PoolEntry, RouteEntry,
};
use serde::{Deserialize, Serialize};

use crate::parse::sort_entries;

/// Entries of one section that were added or changed, and the names of those removed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct SectionDelta<T> {
    /// Added and changed entries, as they are after the change.
    pub set: Vec<T>,
    /// Names of removed entries.
    pub removed: Vec<Name>,
}

impl<T> SectionDelta<T> {
    fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }
}

/// The changes from one version to the next; valid only when applied to its base version.
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
    /// Computes the changes from `base` to `next`.
    pub fn between(base: &Configuration, next: &Configuration) -> Self {
        Self {
            policy: (base.policy != next.policy).then(|| next.policy.clone()),
            group: diff_section(&base.group, &next.group, |entry| &entry.name),
            pool: diff_section(&base.pool, &next.pool, |entry| &entry.name),
            backend: diff_section(&base.backend, &next.backend, |entry| &entry.name),
            route: diff_section(&base.route, &next.route, |entry| &entry.prefix),
        }
    }

    /// Applies the changes to `base` and returns the next configuration in canonical order.
    pub fn apply(&self, base: &Configuration) -> Configuration {
        let mut next = Configuration {
            policy: self.policy.clone().unwrap_or_else(|| base.policy.clone()),
            group: apply_section(&base.group, &self.group, |entry| &entry.name),
            pool: apply_section(&base.pool, &self.pool, |entry| &entry.name),
            backend: apply_section(&base.backend, &self.backend, |entry| &entry.name),
            route: apply_section(&base.route, &self.route, |entry| &entry.prefix),
        };
        sort_entries(&mut next);
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

    /// Returns one line per change, for `dillspool diff` and the audit trail.
    pub fn summary_lines(&self) -> Vec<String> {
        let mut lines = Vec::new();
        if self.policy.is_some() {
            lines.push("~ policy".to_owned());
        }
        append_section_lines(&mut lines, "group", &self.group, |entry| &entry.name);
        append_section_lines(&mut lines, "pool", &self.pool, |entry| &entry.name);
        append_section_lines(&mut lines, "backend", &self.backend, |entry| &entry.name);
        append_section_lines(&mut lines, "route", &self.route, |entry| &entry.prefix);
        lines
    }
}

fn append_section_lines<T>(
    lines: &mut Vec<String>,
    section_name: &str,
    section: &SectionDelta<T>,
    name: fn(&T) -> &Name,
) {
    lines.extend(section.set.iter().map(|entry| format!("~ {section_name} {}", name(entry))));
    lines.extend(section.removed.iter().map(|name| format!("- {section_name} {name}")));
}
