//! One version of the configuration, indexed for the request path.

use std::collections::BTreeMap;
use std::fmt;

use dillspool_keys::{CallerKey, KeyDigest};
use dillspool_schema::Name;
use dillspool_schema::configuration::{
    BackendEntry, BackendRole, Configuration, GroupEntry, PoolEntry, RouteEntry,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of a configuration; grows by one with each accepted change, 0 before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The digest of a configuration in canonical order.
pub fn digest_configuration(configuration: &Configuration) -> Name {
    // Plain structs of numbers and texts always serialize.
    let bytes = serde_json::to_vec(configuration).unwrap_or_default();
    hex::encode(Sha256::digest(bytes)).into()
}

/// A configuration in force, with the look-ups that requests need.
#[derive(Debug)]
pub struct ConfigSnapshot {
    /// Version.
    pub version: ConfigVersion,
    /// Digest of the whole.
    pub digest: Name,
    /// The configuration itself.
    pub configuration: Configuration,
    group_by_key: BTreeMap<KeyDigest, usize>,
}

impl ConfigSnapshot {
    /// Indexes a configuration.
    pub fn new(version: ConfigVersion, configuration: Configuration) -> Self {
        let mut group_by_key = BTreeMap::new();
        for (index, group) in configuration.group.iter().enumerate() {
            let hashes = group.key_hashes.iter();
            group_by_key
                .extend(hashes.filter_map(|hash| Some((KeyDigest::from_hex(hash)?, index))));
        }
        let digest = digest_configuration(&configuration);
        Self { version, digest, configuration, group_by_key }
    }

    /// The group that a caller's key belongs to.
    pub fn group_of_key(&self, key: &CallerKey) -> Option<&GroupEntry> {
        let index = self.group_by_key.get(key.digest())?;
        self.configuration.group.get(*index)
    }

    /// A group by name.
    pub fn group(&self, name: &str) -> Option<&GroupEntry> {
        let groups = &self.configuration.group;
        let index = groups.binary_search_by(|group| (*group.name).cmp(name)).ok()?;
        groups.get(index)
    }

    /// Pools that serve a model.
    pub fn pools_of_model<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a PoolEntry> {
        self.configuration.pool.iter().filter(move |pool| &*pool.model == model)
    }

    /// A pool by name.
    pub fn pool(&self, name: &str) -> Option<&PoolEntry> {
        self.configuration.pool.iter().find(|pool| &*pool.name == name)
    }

    /// Backend servers of a pool or service in one role.
    pub fn backends<'a>(
        &'a self,
        pool: &'a str,
        role: BackendRole,
    ) -> impl Iterator<Item = &'a BackendEntry> {
        self.configuration
            .backend
            .iter()
            .filter(move |backend| &*backend.pool == pool && backend.role == role)
    }

    /// A backend server by name.
    pub fn backend(&self, name: &str) -> Option<&BackendEntry> {
        let backends = &self.configuration.backend;
        let index = backends.binary_search_by(|backend| (*backend.name).cmp(name)).ok()?;
        backends.get(index)
    }

    /// The route with the longest prefix of a path.
    pub fn route(&self, path: &str) -> Option<&RouteEntry> {
        self.configuration
            .route
            .iter()
            .filter(|route| takes(&route.prefix, path))
            .max_by_key(|route| route.prefix.len())
    }
}

/// Whether a route's prefix is the path or a folder above it.
fn takes(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
