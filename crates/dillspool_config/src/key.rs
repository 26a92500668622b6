//! Caller and operator keys, kept as hashes.

use std::fmt;

use dillspool_schema::Name;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Length of a SHA-256 in hexadecimal.
pub(crate) const HASH_LENGTH: usize = 64;

/// The SHA-256 of a key, in hexadecimal, as configuration and settings hold it.
pub fn hash_key(key: &str) -> Name {
    hex::encode(Sha256::digest(key.as_bytes())).into()
}

/// A key as a caller presented it, known only by its hash.
#[derive(Clone)]
pub struct CallerKey {
    hash: Name,
}

impl CallerKey {
    /// Takes the key from an `Authorization: Bearer` value.
    pub fn from_bearer(value: &str) -> Option<Self> {
        let key = value.strip_prefix("Bearer ")?.trim();
        (!key.is_empty()).then(|| Self { hash: hash_key(key) })
    }

    /// The hash of the key.
    pub fn hash(&self) -> &Name {
        &self.hash
    }

    /// Compares with a stored hash in constant time.
    pub fn matches(&self, stored: &str) -> bool {
        self.hash.as_bytes().ct_eq(stored.as_bytes()).into()
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(redacted)")
    }
}
