//! One version of the configuration, indexed for lookups on the request path.

use std::collections::BTreeMap;
use std::fmt;

use dillspool_keys::{CallerKey, KeyDigest};
use dillspool_schema::Name;
use dillspool_schema::configuration::{
    BackendEntry, BackendRole, Configuration, GroupEntry, PoolEntry, RouteEntry,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Version number of a configuration: 0 before the first, incremented by each accepted change.
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

/// Returns the SHA-256 digest, in hexadecimal, of a configuration in canonical order.
pub fn digest_configuration(configuration: &Configuration) -> Name {
    // Serialization can't fail: the structs hold only numbers, strings and lists.
    let bytes = serde_json::to_vec(configuration).unwrap_or_default();
    hex::encode(Sha256::digest(bytes)).into()
}

/// A committed configuration, with the lookups that request handling needs.
#[derive(Debug)]
pub struct ConfigSnapshot {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Digest of the whole configuration.
    pub digest: Name,
    /// The configuration itself.
    pub configuration: Configuration,
    group_by_key: BTreeMap<KeyDigest, usize>,
}

impl ConfigSnapshot {
    /// Computes the digest of a configuration and indexes its caller keys.
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

    /// Looks up the group that a caller's key belongs to.
    pub fn group_of_key(&self, key: &CallerKey) -> Option<&GroupEntry> {
        let index = self.group_by_key.get(key.digest())?;
        self.configuration.group.get(*index)
    }

    /// Looks up a group by name.
    pub fn group(&self, name: &str) -> Option<&GroupEntry> {
        let groups = &self.configuration.group;
        let index = groups.binary_search_by(|group| (*group.name).cmp(name)).ok()?;
        groups.get(index)
    }

    /// Iterates over the pools that serve a model.
    pub fn pools_of_model<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a PoolEntry> {
        self.configuration.pool.iter().filter(move |pool| &*pool.model == model)
    }

    /// Looks up a pool by name.
    pub fn pool(&self, name: &str) -> Option<&PoolEntry> {
        self.configuration.pool.iter().find(|pool| &*pool.name == name)
    }

    /// Iterates over the backend servers of a pool or service that have a role.
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

    /// Looks up a backend server by name.
    pub fn backend(&self, name: &str) -> Option<&BackendEntry> {
        let backends = &self.configuration.backend;
        let index = backends.binary_search_by(|backend| (*backend.name).cmp(name)).ok()?;
        backends.get(index)
    }

    /// Looks up the route with the longest prefix that matches a path.
    pub fn route(&self, path: &str) -> Option<&RouteEntry> {
        self.configuration
            .route
            .iter()
            .filter(|route| matches_prefix(&route.prefix, path))
            .max_by_key(|route| route.prefix.len())
    }
}

/// Whether a route's prefix matches a path, in whole path segments.
fn matches_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
